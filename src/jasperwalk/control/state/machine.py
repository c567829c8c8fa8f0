"""The state machine of control: applies the log's commands, deterministically.

Every replica that applies the same commands at the same indices holds the same state and
serialises it to the same bytes: no clock, randomness or hash order is used.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import ClassVar

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import DEFAULT_TOMBSTONE_LIMIT, VersionedTable
from jasperwalk.config.table_entries import MemberEntry
from jasperwalk.control.state.change_register import (
    DEFAULT_CHANGE_LIMIT,
    MAX_CHANGE_ID_LENGTH,
    ChangeRecord,
    ChangeRegister,
    fingerprint_of,
)
from jasperwalk.control.state.commands import (
    ActivateKey,
    ApplyTemplate,
    Command,
    InstallKey,
    OperatorCommand,
    RegisterAgent,
    RemoveTenant,
    RetireKey,
    RotateKey,
    SetHostState,
    SetMemberStatus,
    SetPlatformStates,
    SetTenant,
    decode_command,
)
from jasperwalk.control.state.configuration import (
    Configuration,
    Plan,
    StoredTemplate,
    StoredTenant,
)
from jasperwalk.control.state.configuration_refusals import InvalidIdentifier, ServiceIdsExhausted
from jasperwalk.control.state.fleet_keys import change_keys, rotate_key
from jasperwalk.control.state.frozen_state import FrozenState
from jasperwalk.control.state.host_changes import HostChanges
from jasperwalk.control.state.host_states import HostStates
from jasperwalk.control.state.incarnations import AgentRecord, Incarnations
from jasperwalk.control.state.installer import Installer
from jasperwalk.control.state.outcomes import (
    Accepted,
    ChangeIdReused,
    MalformedCommand,
    Outcome,
    Registered,
)
from jasperwalk.control.state.service_ids import ServiceIds
from jasperwalk.control.state.state_image import (
    configuration_from_image,
    decode_state,
)
from jasperwalk.errors import JasperwalkError, MalformedMessage

PlanJob = Callable[[], Plan | Outcome]
"""Computes whether and how a change can be made; pure, and slow for a template of many tenants."""


@dataclass(eq=False)
class CommandOutOfOrder(JasperwalkError):
    """A command's index is not above the last applied one; an error of the calling process."""

    kind: ClassVar[str] = "command-out-of-order"
    index: int
    last_index: int

    def describe(self) -> str:
        """Name both indices."""
        return f"command of index {self.index} after index {self.last_index}"


class ControlState:
    """Configuration, agents and routing table after the commands applied so far."""

    def __init__(
        self,
        change_limit: int = DEFAULT_CHANGE_LIMIT,
        tombstone_limit: int = DEFAULT_TOMBSTONE_LIMIT,
    ) -> None:
        self.last_index = 0
        self._configuration = Configuration()
        self._changes = ChangeRegister(limit=change_limit)
        self._incarnations = Incarnations()
        self._host_states = HostStates()
        self._installer = Installer(
            VersionedTable(tombstone_limit=tombstone_limit),
            ServiceIds(),
            self._incarnations,
            self._host_states,
        )
        self._hosts = HostChanges(self._installer, self._incarnations, self._host_states)

    @property
    def table(self) -> VersionedTable:
        """The routing table that is published."""
        return self._installer.table

    @property
    def revision(self) -> int:
        """The log index of the last command that changed the table."""
        return self.table.revision

    def apply(self, index: int, command: Command, plan: Plan | Outcome | None = None) -> Outcome:
        """Apply one command; raise `CommandOutOfOrder` for an index already applied.

        `plan` is the result of the job of `background_plan` for this command and this state.
        """
        if index <= self.last_index:
            raise CommandOutOfOrder(index=index, last_index=self.last_index)
        self.last_index = index
        match command:
            case ApplyTemplate() | SetTenant() | RemoveTenant() | SetHostState() | RotateKey():
                return self._apply_once(index, command, plan)
            case RegisterAgent():
                record = self._hosts.register_agent(index, command)
                return self._registered(record) if isinstance(record, AgentRecord) else record
            case SetMemberStatus():
                self._hosts.set_member_status(index, command)
                return self._accepted()
            case SetPlatformStates():
                return self._finish(self._hosts.set_platform_states(index, command))
            case InstallKey() | ActivateKey() | RetireKey():
                return self._finish(change_keys(self.table, command, index))

    def apply_encoded(self, index: int, data: bytes, plan: Plan | Outcome | None = None) -> Outcome:
        """Apply an encoded command of the log; a malformed one changes nothing."""
        try:
            command = decode_command(data)
        except MalformedMessage as error:
            self.last_index = max(self.last_index, index)
            return MalformedCommand(reason=error.reason)
        return self.apply(index, command, plan)

    def background_plan(self, index: int, data: bytes) -> PlanJob | None:
        """Return the part of a command that may take long, or None.

        Its result is passed to `apply_encoded` with the same command. It only reads, so it may
        run in another thread as long as nothing is applied.
        """
        try:
            command = decode_command(data)
        except MalformedMessage:
            return None
        if not isinstance(command, ApplyTemplate):
            return None
        claims = self._installer.claims
        return partial(self._configuration.plan_template, command, index, claims)

    def templates(self) -> list[StoredTemplate]:
        """Return all templates, ordered by name."""
        stored = self._configuration.templates
        return [stored[name] for name in sorted(stored)]

    def template(self, name: str) -> StoredTemplate | None:
        """Return one template."""
        return self._configuration.templates.get(name)

    def tenants(self) -> list[StoredTenant]:
        """Return all tenants, ordered by name."""
        stored = self._configuration.tenants
        return [stored[name] for name in sorted(stored)]

    def tenant(self, name: str) -> StoredTenant | None:
        """Return one tenant."""
        return self._configuration.tenants.get(name)

    def members(self) -> list[MemberEntry]:
        """Return all members, ordered by address."""
        return sorted(self.table.members(), key=lambda member: member.address)

    def agents(self) -> list[AgentRecord]:
        """Return all registered agents, including those that are no members, ordered by address."""
        return self._incarnations.records()

    def agent(self, address: Endpoint) -> AgentRecord | None:
        """Return the record of the agent at an address, or None."""
        return self._incarnations.find(address)

    def operator_draining(self) -> list[str]:
        """Return the hosts that operators drain."""
        return self._host_states.operator_draining()

    def platform_draining(self) -> list[str]:
        """Return the hosts that are leaving by the platform's list."""
        return self._host_states.platform_draining()

    def outcome_of(self, change_id: str) -> Outcome | None:
        """Return the first outcome of a change, or None if it is unknown or no longer kept."""
        record = self._changes.find(change_id)
        return None if record is None else record.outcome

    def freeze(self) -> FrozenState:
        """Return a copy that may be serialised in another thread while this state advances."""
        return FrozenState(
            last_index=self.last_index,
            table=self.table.content(),
            configuration=self._configuration.copy(),
            service_ids=self._installer.service_ids.copy(),
            incarnations=self._incarnations.copy(),
            host_states=self._host_states.copy(),
            changes=self._changes.copy(),
        )

    def serialise(self) -> bytes:
        """Encode the complete state; equal states give equal bytes."""
        return self.freeze().serialise()

    @classmethod
    def restore(cls, data: bytes) -> ControlState:
        """Rebuild a state from its bytes; raise `MalformedState` if they are malformed."""
        image = decode_state(data)
        state = cls()
        state.last_index = image.last_index
        state._configuration = configuration_from_image(image)
        state._changes = ChangeRegister.from_image(image.changes)
        state._incarnations.restore(image.agents)
        state._host_states = HostStates.from_image(image.host_states)
        state._installer = Installer(
            VersionedTable.from_image(image.table),
            ServiceIds.from_image(image.service_ids),
            state._incarnations,
            state._host_states,
        )
        state._hosts = HostChanges(state._installer, state._incarnations, state._host_states)
        return state

    def _apply_once(
        self, index: int, command: OperatorCommand, plan: Plan | Outcome | None
    ) -> Outcome:
        """Apply an operator's change, or repeat the first outcome of its change ID."""
        if not 1 <= len(command.change_id) <= MAX_CHANGE_ID_LENGTH:
            mend = f"use 1 to {MAX_CHANGE_ID_LENGTH} characters"
            return InvalidIdentifier(subject="change ID", text=command.change_id[:80], mend=mend)
        fingerprint = fingerprint_of(command)
        known = self._changes.find(command.change_id)
        if known is not None:
            if known.fingerprint != fingerprint:
                return ChangeIdReused(change_id=command.change_id)
            return known.outcome
        outcome = self._apply_operator_command(index, command, plan)
        self._changes.remember(
            ChangeRecord(
                change_id=command.change_id, fingerprint=fingerprint, index=index, outcome=outcome
            )
        )
        return outcome

    def _apply_operator_command(
        self, index: int, command: OperatorCommand, plan: Plan | Outcome | None
    ) -> Outcome:
        claims = self._installer.claims
        match command:
            case ApplyTemplate():
                if plan is None:
                    plan = self._configuration.plan_template(command, index, claims)
                return self._execute_plan(plan, index, subject_revision=index)
            case SetTenant():
                plan = self._configuration.plan_tenant(command, index, claims)
                return self._execute_plan(plan, index, subject_revision=index)
            case RemoveTenant():
                plan = self._configuration.plan_removal(command)
                outcome = self._execute_plan(plan, index, subject_revision=0)
                if outcome.accepted:
                    del self._configuration.tenants[command.name]
                return outcome
            case SetHostState():
                return self._finish(self._hosts.set_host_state(index, command))
            case RotateKey():
                refusal = rotate_key(self.table, command, index)
                return self._accepted() if refusal is None else refusal

    def _execute_plan(self, plan: Plan | Outcome, index: int, subject_revision: int) -> Outcome:
        """Store and install a plan; return a refusal unchanged."""
        if not isinstance(plan, Plan):
            return plan
        if not self._installer.can_allocate_ids(plan.renderings):
            return ServiceIdsExhausted()
        self._configuration.store(plan)
        self._installer.install(plan.renderings, index)
        return self._accepted(subject_revision=subject_revision)

    def _accepted(self, subject_revision: int = 0) -> Accepted:
        return Accepted(revision=self.revision, subject_revision=subject_revision)

    def _finish(self, refusal: Outcome | None) -> Outcome:
        return self._accepted() if refusal is None else refusal

    def _registered(self, record: AgentRecord) -> Registered:
        return Registered(
            address=str(record.address), incarnation=record.incarnation, revision=self.revision
        )
