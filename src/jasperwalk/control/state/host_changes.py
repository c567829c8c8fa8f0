"""Changes of hosts and agents: admin states, registrations, statuses.

Each change also updates the entries of the affected members in the table.
"""

from __future__ import annotations

from jasperwalk.control.state.commands import (
    RegisterAgent,
    SetHostState,
    SetMemberStatus,
    SetPlatformStates,
)
from jasperwalk.control.state.fleet_refusals import UnknownHost
from jasperwalk.control.state.host_states import MAX_DRAINING_HOSTS, HostStates
from jasperwalk.control.state.incarnations import AgentRecord, Incarnations, RegistrationRefusal
from jasperwalk.control.state.installer import Installer
from jasperwalk.control.state.outcomes import LimitReached

MAX_SHOWN_HOST_LENGTH = 80
"""Maximum characters of an unknown host that an outcome repeats."""


class HostChanges:
    """Applies changes of hosts; methods that can refuse return the refusal, None on success."""

    def __init__(
        self, installer: Installer, incarnations: Incarnations, host_states: HostStates
    ) -> None:
        self._installer = installer
        self._incarnations = incarnations
        self._host_states = host_states

    def set_host_state(
        self, index: int, command: SetHostState
    ) -> UnknownHost | LimitReached | None:
        """Drain or resume a host at an operator's request."""
        if not self._is_known_host(command.host):
            return UnknownHost(host=command.host[:MAX_SHOWN_HOST_LENGTH])
        if not self._host_states.set_by_operator(command.host, command.admin_state):
            return LimitReached(subject="draining hosts", limit=MAX_DRAINING_HOSTS)
        self._refresh_hosts({command.host}, index)
        return None

    def set_platform_states(self, index: int, command: SetPlatformStates) -> LimitReached | None:
        """Apply the changes of the platform's list."""
        all_stored = True
        for state in command.states:
            stored = self._host_states.set_by_platform(state.host, state.admin_state)
            all_stored = all_stored and stored
        self._refresh_hosts({state.host for state in command.states}, index)
        if not all_stored:
            return LimitReached(subject="leaving hosts", limit=MAX_DRAINING_HOSTS)
        return None

    def register_agent(
        self, index: int, command: RegisterAgent
    ) -> AgentRecord | RegistrationRefusal:
        """Register the start of an agent; return its record, or the refusal."""
        record = self._incarnations.register(command)
        if isinstance(record, AgentRecord):
            self._installer.refresh_member(command.address, index)
        return record

    def set_member_status(self, index: int, command: SetMemberStatus) -> None:
        """Apply the statuses of members that the leader observed."""
        for status in command.statuses:
            if self._incarnations.set_status(status):
                self._installer.refresh_member(status.address, index)

    def _refresh_hosts(self, hosts: set[str], index: int) -> None:
        """Update the entries of the members on the named hosts."""
        members = sorted(self._installer.table.members(), key=lambda member: member.address)
        for member in members:
            if member.host in hosts or str(member.address) in hosts:
                self._installer.refresh_member(member.address, index)

    def _is_known_host(self, host: str) -> bool:
        """Return whether a host name or address is a member's, an agent's, or drained."""
        is_drained = host in self._host_states.operator_draining()
        if is_drained or self._incarnations.has_host(host):
            return True
        members = self._installer.table.members()
        return any(host in (member.host, str(member.address)) for member in members)
