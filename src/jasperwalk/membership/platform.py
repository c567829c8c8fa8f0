"""The platform's list of machines: parses it, and derives which hosts to drain.

The list lags behind reality. A host that it lists as leaving is drained at once; one that it no
longer lists is drained only after it was missing from several polls in a row.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import ClassVar

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.member_states import PlatformState
from jasperwalk.config.table_entries import AdminState, MemberEntry
from jasperwalk.errors import InvalidAddress, JasperwalkError

MAX_LIST_BYTES = 16 * 1024 * 1024
"""Maximum size of a list that is parsed."""


class MachineState(enum.StrEnum):
    """State of a machine as the platform lists it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(eq=False)
class InvalidPlatformList(JasperwalkError):
    """A list that does not parse; the last good one stays in use."""

    kind: ClassVar[str] = "invalid-platform-list"
    reason: str

    def describe(self) -> str:
        """Return the message with the parser's reason."""
        return f"invalid platform list: {self.reason}"


@dataclass(frozen=True)
class PlatformMachine:
    """One machine of the list; `address` is its agent's forwarding end point."""

    host: str
    address: Endpoint
    zone: str
    state: MachineState


@dataclass(frozen=True)
class PlatformList:
    """One version of the list; `first_reason` is why the first unreadable entry was skipped."""

    version: int
    machines: list[PlatformMachine]
    unreadable_entries: int = 0
    first_reason: str = ""


class _MachineDocument(msgspec.Struct, frozen=True):
    host: str
    address: str
    zone: str
    state: MachineState


class _ListDocument(msgspec.Struct, frozen=True):
    machines: list[msgspec.Raw]
    version: int


MACHINE_DECODER = msgspec.json.Decoder(_MachineDocument)


def parse_platform_list(data: bytes) -> PlatformList:
    """Parse the list's JSON; raises `InvalidPlatformList` for one that is not valid.

    Entries may come from several writers. One that is unreadable, lacks a field or has an unknown
    state is skipped and counted, and the others are used. A list with entries of which none can be
    read is invalid.
    """
    if len(data) > MAX_LIST_BYTES:
        raise InvalidPlatformList(reason=f"over {MAX_LIST_BYTES} bytes")
    try:
        document = msgspec.json.decode(data, type=_ListDocument)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidPlatformList(reason=str(error)) from error
    machines, reasons = [], []
    for entry in document.machines:
        try:
            machines.append(_machine(MACHINE_DECODER.decode(entry)))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            reasons.append(str(error))
        except InvalidAddress as error:
            reasons.append(error.describe())
    if reasons and not machines:
        raise InvalidPlatformList(reason=reasons[0])
    return PlatformList(
        version=document.version,
        machines=machines,
        unreadable_entries=len(reasons),
        first_reason=reasons[0] if reasons else "",
    )


def _machine(document: _MachineDocument) -> PlatformMachine:
    return PlatformMachine(
        host=document.host,
        address=Endpoint.parse(document.address),
        zone=document.zone,
        state=document.state,
    )


@dataclass(frozen=True)
class ReconcilerConfig:
    """Limits of what an incomplete list may change.

    A host is drained after it was missing from `missing_polls` polls in a row. A list that
    lacks more than `max_missing_share` of the hosts is taken as faulty: hosts that it does not
    list keep their state.
    """

    missing_polls: int = 3
    max_missing_share: float = 0.5


class PlatformReconciler:
    """Compares polls of the list with the members; the leader keeps it while it leads."""

    def __init__(self, config: ReconcilerConfig) -> None:
        self._config = config
        self._newest_version: int | None = None
        self._missing_polls: dict[str, int] = {}
        self._wanted: dict[str, AdminState] = {}
        self.ignored_old_lists = 0
        self.ignored_gaps = 0

    def reconcile(
        self, platform_list: PlatformList, members: Iterable[MemberEntry]
    ) -> list[PlatformState]:
        """Return the states to set: those of hosts that changed since the last poll.

        A list older than the newest one seen is ignored, so that a lagging copy of the list
        cannot put a host back into service. The first poll returns the state of every host
        that the list names.
        """
        if self._newest_version is not None and platform_list.version < self._newest_version:
            self.ignored_old_lists += 1
            return []
        self._newest_version = platform_list.version
        hosts = {member.host for member in members}
        wanted = self._wanted_by_list(platform_list, hosts)
        wanted.update(self._wanted_by_absence(hosts - wanted.keys(), len(hosts)))
        return self._changes(wanted, hosts)

    def repeat(self, hosts: Iterable[str]) -> None:
        """Let the next poll return these hosts' states again, after a lost proposal."""
        for host in hosts:
            self._wanted.pop(host, None)

    def _wanted_by_list(
        self, platform_list: PlatformList, hosts: set[str]
    ) -> dict[str, AdminState]:
        wanted: dict[str, AdminState] = {}
        for machine in platform_list.machines:
            if machine.host not in hosts:
                continue
            leaving = machine.state is MachineState.LEAVING
            # A host that is listed twice is leaving if either entry says so.
            if leaving or machine.host not in wanted:
                wanted[machine.host] = AdminState.DRAINING if leaving else AdminState.ENABLED
            self._missing_polls.pop(machine.host, None)
        return wanted

    def _wanted_by_absence(self, missing: set[str], host_count: int) -> dict[str, AdminState]:
        if len(missing) > host_count * self._config.max_missing_share:
            self.ignored_gaps += 1
            return {}
        wanted: dict[str, AdminState] = {}
        for host in missing:
            polls = self._missing_polls.get(host, 0) + 1
            self._missing_polls[host] = polls
            if polls >= self._config.missing_polls:
                wanted[host] = AdminState.DRAINING
        return wanted

    def _changes(self, wanted: dict[str, AdminState], hosts: set[str]) -> list[PlatformState]:
        changes = [
            PlatformState(host=host, admin_state=state)
            for host, state in sorted(wanted.items())
            if self._wanted.get(host) is not state
        ]
        self._wanted.update(wanted)
        self._wanted = {host: state for host, state in self._wanted.items() if host in hosts}
        self._missing_polls = {
            host: polls for host, polls in self._missing_polls.items() if host in hosts
        }
        return changes
