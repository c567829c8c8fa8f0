"""What the leader does besides answering: one loop of small named steps.

Each step looks at the committed state and proposes what is missing, so that it may be repeated
at any time. A leader that was deposed without knowing it cannot commit; what it proposed
before is guarded by the state machine (statuses name an incarnation, the first key stands).
"""

from __future__ import annotations

import asyncio
import secrets
import time
from dataclasses import dataclass, field

import structlog

from jasperwalk.config.member_states import MemberStatus, PlatformState
from jasperwalk.config.table_entries import AdminState
from jasperwalk.control.control_runner import ControlRunner
from jasperwalk.control.in_force import SubscriberSighting
from jasperwalk.control.key_duties import (
    AgentKeys,
    keys_to_activate,
    keys_to_retire,
    missing_keys,
)
from jasperwalk.control.platform_poller import PlatformPoller
from jasperwalk.control.proposal_errors import ProposalError
from jasperwalk.control.proposals import Proposals
from jasperwalk.control.region_view import RegionView
from jasperwalk.control.state.commands import (
    Command,
    SetMemberStatus,
    SetPlatformStates,
)
from jasperwalk.membership.liveness import AgentObservation, LivenessConfig, LivenessTracker
from jasperwalk.membership.platform import PlatformReconciler, ReconcilerConfig
from jasperwalk.messages.distribution import SubscriberRole

STEP_INTERVAL_SECONDS = 0.2
EVALUATION_INTERVAL_SECONDS = 0.5
"""Replicas report as often; judging 24,000 members takes the leader most of 100 ms."""
QUORUM_CONTACT_SECONDS = 1.0
"""A leader whose quorum contact is older than this decides nothing."""
NANOSECONDS_PER_MILLISECOND = 1_000_000
MAX_LOGGED_CHANGES = 50
"""Lines for the members or hosts of one round; a zone that is lost names thousands."""

logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class DutiesConfig:
    """Settings of the leader's duties."""

    liveness: LivenessConfig = field(default_factory=LivenessConfig)
    reconciler: ReconcilerConfig = field(default_factory=ReconcilerConfig)
    step_interval_seconds: float = STEP_INTERVAL_SECONDS


class LeaderDuties:
    """Runs the steps while this replica leads with quorum contact."""

    def __init__(
        self,
        config: DutiesConfig,
        runner: ControlRunner,
        proposals: Proposals,
        region: RegionView,
        poller: PlatformPoller | None,
    ) -> None:
        self._config = config
        self._runner = runner
        self._proposals = proposals
        self._region = region
        self._poller = poller
        self._led_term: int | None = None
        self._next_evaluation_at = 0.0
        self._liveness = LivenessTracker(config.liveness)
        self._reconciler = PlatformReconciler(config.reconciler)

    async def run(self) -> None:
        """Run the steps at an interval until cancelled."""
        while True:
            leads = self._update_leadership()
            if self._poller is not None:
                self._poller.enabled = leads
            if leads:
                await self._run_steps()
            await asyncio.sleep(self._config.step_interval_seconds)

    async def _run_steps(self) -> None:
        try:
            await self._maintain_keys()
            await self._evaluate_members()
            await self._apply_platform_list()
        except ProposalError as error:
            # The next round starts from what has been committed by then.
            logger.info("leader-step-failed", kind=error.kind)

    def _update_leadership(self) -> bool:
        """Tell whether this replica leads; start anew with every term that it leads."""
        if not self._runner.is_leader or self._runner.quorum_age() > QUORUM_CONTACT_SECONDS:
            if not self._runner.is_leader:
                self._led_term = None
            return False
        if self._led_term != self._runner.term:
            self._led_term = self._runner.term
            self._liveness = LivenessTracker(self._config.liveness)
            self._liveness.leader_started(time.monotonic())
            self._reconciler = PlatformReconciler(self._config.reconciler)
            logger.info("leadership-taken", term=self._runner.term)
        return True

    async def _maintain_keys(self) -> None:
        """Install missing keys, activate those that are in force and retire the free ones."""
        table = self._runner.state.table
        for command in (
            *missing_keys(table, secrets.token_bytes),
            *keys_to_activate(table, self._is_in_force, _unix_time_ms),
            *keys_to_retire(table, self._is_in_force, self._agent_keys, _unix_time_ms),
        ):
            await self._propose(command)

    def _is_in_force(self, revision: int) -> bool:
        return self._region.known_in_force(revision).complete

    def _agent_keys(self) -> list[AgentKeys]:
        return [
            AgentKeys(each.address, each.connection_id_generation, each.stateless_reset_generation)
            for each in self._region.subscribers()
            if each.role is SubscriberRole.AGENT
        ]

    async def _evaluate_members(self) -> None:
        """Set the statuses of members that came, went silent or reported their back end down."""
        now = time.monotonic()
        if now < self._next_evaluation_at:
            return
        self._next_evaluation_at = now + EVALUATION_INTERVAL_SECONDS
        for subscriber in self._region.subscribers():
            if subscriber.role is SubscriberRole.AGENT:
                self._liveness.observe(_observation_of(subscriber, now), now)
        statuses = self._liveness.evaluate(self._runner.state.members(), now)
        if statuses:
            await self._propose(SetMemberStatus(statuses=statuses))
            _log_statuses(statuses)

    async def _apply_platform_list(self) -> None:
        """Drain the hosts that the platform takes away, and take back those that stay."""
        platform_list = None if self._poller is None else self._poller.take()
        if platform_list is None:
            return
        states = self._reconciler.reconcile(platform_list, self._runner.state.members())
        states = self._changed_only(states)
        if not states:
            return
        try:
            await self._propose(SetPlatformStates(states=states))
        except ProposalError:
            self._reconciler.repeat(state.host for state in states)
            raise
        _log_platform_states(states)

    def _changed_only(self, states: list[PlatformState]) -> list[PlatformState]:
        """Leave out states that are committed already: a new leader's first poll names all."""
        draining = set(self._runner.state.platform_draining())
        return [
            state
            for state in states
            if (state.admin_state is AdminState.DRAINING) != (state.host in draining)
        ]

    async def _propose(self, command: Command) -> None:
        outcome = await self._proposals.propose(command)
        if not outcome.accepted:
            logger.warning("leader-proposal-refused", kind=outcome.kind, detail=outcome.describe())


def _log_statuses(statuses: list[MemberStatus]) -> None:
    for each in statuses[:MAX_LOGGED_CHANGES]:
        status = each.operating_status.value
        address = str(each.address)
        logger.info("member-status", address=address, incarnation=each.incarnation, status=status)
    if len(statuses) > MAX_LOGGED_CHANGES:
        logger.info("member-statuses-not-logged", count=len(statuses) - MAX_LOGGED_CHANGES)


def _log_platform_states(states: list[PlatformState]) -> None:
    for each in states[:MAX_LOGGED_CHANGES]:
        logger.info("platform-state", host=each.host, state=each.admin_state.value)
    if len(states) > MAX_LOGGED_CHANGES:
        logger.info("platform-states-not-logged", count=len(states) - MAX_LOGGED_CHANGES)


def _unix_time_ms() -> int:
    return time.time_ns() // NANOSECONDS_PER_MILLISECOND


def _observation_of(subscriber: SubscriberSighting, now: float) -> AgentObservation:
    return AgentObservation(
        address=subscriber.address,
        incarnation=subscriber.incarnation,
        healthy=subscriber.healthy,
        silence_seconds=now - subscriber.seen_at,
    )
