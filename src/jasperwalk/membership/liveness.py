"""Liveness of agents, decided by the leader from the reports that all replicas receive.

A member is online while its registered process reports itself healthy, and unhealthy as soon as
it reports that it accepts no new work. It is offline `offline_after_seconds` after its last
report to any replica. An unhealthy member's agent still runs, and open flows continue there.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.member_states import MemberStatus
from jasperwalk.config.table_entries import MemberEntry, OperatingStatus
from jasperwalk.membership.mass_silence import MassSilence, MassSilenceConfig

REPORTING_STATUSES = frozenset({OperatingStatus.ONLINE, OperatingStatus.UNHEALTHY})
NOT_SERVING_STATUSES = frozenset({OperatingStatus.UNHEALTHY, OperatingStatus.OFFLINE})


@dataclass(frozen=True)
class LivenessConfig:
    """Thresholds, all times in seconds.

    A new leader declares no silent member offline during `leader_grace_seconds`, because the
    missing reports may still arrive; nor does a leader that has not evaluated for
    `offline_after_seconds`, because it was suspended itself.
    A member that recovered `flap_limit` times within `flap_window_seconds` has to be healthy for
    `flap_hold_seconds` before it is online again.
    `mass_silence` sets when the silence of many members at once needs confirmation.
    """

    offline_after_seconds: float = 1.0
    leader_grace_seconds: float = 4.0
    flap_window_seconds: float = 60.0
    flap_limit: int = 3
    flap_hold_seconds: float = 10.0
    mass_silence: MassSilenceConfig = field(default_factory=MassSilenceConfig)


class AgentObservation(msgspec.Struct, frozen=True, gc=False):
    """One agent's state as a replica received it, `silence_seconds` before the report."""

    address: Endpoint
    incarnation: int
    healthy: bool
    silence_seconds: float


@dataclass
class _AgentRecord:
    incarnation: int
    seen_at: float = -math.inf
    healthy: bool = False
    healthy_since: float = math.inf
    recoveries: deque[float] = field(default_factory=deque)


class LivenessTracker:
    """Keeps the newest observation of every agent; `evaluate` returns the statuses to change."""

    def __init__(self, config: LivenessConfig) -> None:
        self._config = config
        self._records: dict[Endpoint, _AgentRecord] = {}
        self._mass_silence = MassSilence(config.mass_silence)
        self._grace_until = math.inf
        self._evaluated_at = -math.inf

    def leader_started(self, now: float) -> None:
        """Start the grace period of a replica that has just become the leader."""
        self._grace_until = now + self._config.leader_grace_seconds
        self._evaluated_at = now

    def observe(self, observation: AgentObservation, now: float) -> None:
        """Record a report of any replica; older reports and older processes are ignored."""
        if observation.incarnation <= 0:
            return
        seen_at = now - observation.silence_seconds
        record = self._records.get(observation.address)
        if record is None:
            record = _AgentRecord(incarnation=observation.incarnation)
            self._records[observation.address] = record
        if observation.incarnation != record.incarnation:
            self._follow_newer_process(record, observation, seen_at)
            return
        if seen_at <= record.seen_at:
            return
        self._record_observation(record, observation.healthy, seen_at)

    def evaluate(self, members: Iterable[MemberEntry], now: float) -> list[MemberStatus]:
        """Return the changes of status, and remove agents that are not members any more."""
        if now - self._evaluated_at > self._config.offline_after_seconds:
            # This process was suspended: every report is old because of that.
            self.leader_started(now)
        self._evaluated_at = now
        members = list(members)
        silences = [self._is_silent(member, now) for member in members]
        self._check_mass_silence(members, silences, now)
        changes: list[MemberStatus] = []
        kept: dict[Endpoint, _AgentRecord] = {}
        for member, silent in zip(members, silences, strict=True):
            record = self._records.get(member.address)
            if record is not None:
                kept[member.address] = record
            status = self._status(member, record, silent, now)
            if status is not member.operating_status:
                changes.append(self._change(member, record, status, now))
        self._records = kept
        return changes

    def _check_mass_silence(
        self, members: Sequence[MemberEntry], silences: Sequence[bool], now: float
    ) -> None:
        """Extend the grace period while the silence of too many is unconfirmed."""
        of_online = [
            silent
            for member, silent in zip(members, silences, strict=True)
            if member.operating_status is OperatingStatus.ONLINE
        ]
        if self._mass_silence.is_unconfirmed(sum(of_online), len(of_online), now):
            self._grace_until = max(self._grace_until, now + self._config.leader_grace_seconds)

    def _is_silent(self, member: MemberEntry, now: float) -> bool:
        record = self._records.get(member.address)
        if record is None or record.incarnation != member.incarnation:
            return True
        return now - record.seen_at > self._config.offline_after_seconds

    def _follow_newer_process(
        self, record: _AgentRecord, observation: AgentObservation, seen_at: float
    ) -> None:
        # Both processes may be in the reports for a moment; the one with the newest report is kept.
        # `evaluate` compares with the committed incarnation, so a wrong choice is harmless.
        if seen_at <= record.seen_at:
            return
        record.incarnation = observation.incarnation
        record.healthy_since = math.inf
        self._record_observation(record, observation.healthy, seen_at)

    def _record_observation(self, record: _AgentRecord, healthy: bool, seen_at: float) -> None:
        was_silent = seen_at - record.seen_at > self._config.offline_after_seconds
        if not healthy:
            record.healthy_since = math.inf
        elif was_silent or not record.healthy or math.isinf(record.healthy_since):
            record.healthy_since = seen_at
        record.seen_at = seen_at
        record.healthy = healthy

    def _status(
        self, member: MemberEntry, record: _AgentRecord | None, silent: bool, now: float
    ) -> OperatingStatus:
        if member.incarnation == 0:
            return member.operating_status
        if record is None or silent:
            return self._status_without_report(member, now)
        if not record.healthy:
            return OperatingStatus.UNHEALTHY
        if member.operating_status is OperatingStatus.ONLINE:
            return OperatingStatus.ONLINE
        held = self._is_flapping(record, now) and (
            now - record.healthy_since < self._config.flap_hold_seconds
        )
        return member.operating_status if held else OperatingStatus.ONLINE

    def _status_without_report(self, member: MemberEntry, now: float) -> OperatingStatus:
        if member.operating_status in REPORTING_STATUSES and now >= self._grace_until:
            return OperatingStatus.OFFLINE
        return member.operating_status

    def _is_flapping(self, record: _AgentRecord, now: float) -> bool:
        oldest = now - self._config.flap_window_seconds
        while record.recoveries and record.recoveries[0] < oldest:
            record.recoveries.popleft()
        return len(record.recoveries) >= self._config.flap_limit

    def _change(
        self,
        member: MemberEntry,
        record: _AgentRecord | None,
        status: OperatingStatus,
        now: float,
    ) -> MemberStatus:
        recovered = member.operating_status in NOT_SERVING_STATUSES
        if record is not None and recovered and status is OperatingStatus.ONLINE:
            self._record_recovery(record, now)
        return MemberStatus(
            address=member.address, incarnation=member.incarnation, operating_status=status
        )

    def _record_recovery(self, record: _AgentRecord, now: float) -> None:
        # It may take several evaluations until the proposal is applied; this is one recovery.
        if record.recoveries and record.recoveries[-1] >= record.healthy_since:
            return
        record.recoveries.append(now)
