"""Registered agents: the incarnation of each address, and its last known status.

An incarnation is never assigned twice for an address, even after its member is removed: a
connection ID of an earlier agent at the address must never match a later one.
"""

from __future__ import annotations

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.member_states import MemberStatus
from jasperwalk.config.table_entries import OperatingStatus
from jasperwalk.control.state.commands import RegisterAgent
from jasperwalk.control.state.fleet_refusals import IncarnationsExhausted, SupersededBoot
from jasperwalk.control.state.outcomes import LimitReached

MAX_INCARNATION = 65_535
"""An incarnation has two bytes in a connection ID."""

REMEMBERED_BOOTS = 4
"""Boot IDs kept per address, to recognise a stale registration of an earlier start."""

MAX_AGENT_COUNT = 100_000
"""Maximum addresses that ever register; bounds memory."""


class AgentRecord(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """An address that has registered; the last of `boot_ids` is the current start."""

    address: Endpoint
    incarnation: int
    boot_ids: tuple[str, ...]
    name: str
    zone: str
    operating_status: OperatingStatus


RegistrationRefusal = SupersededBoot | IncarnationsExhausted | LimitReached


class Incarnations:
    """Agent records by address."""

    def __init__(self) -> None:
        self._records: dict[Endpoint, AgentRecord] = {}

    def find(self, address: Endpoint) -> AgentRecord | None:
        """Return the record of the agent at an address, or None."""
        return self._records.get(address)

    def records(self) -> list[AgentRecord]:
        """Return all records, ordered by address."""
        return [self._records[address] for address in sorted(self._records)]

    def has_host(self, name: str) -> bool:
        """Return whether an agent has registered under a host name."""
        return any(record.name == name for record in self._records.values())

    def register(self, command: RegisterAgent) -> AgentRecord | RegistrationRefusal:
        """Register a start: a new boot ID gets the next incarnation, the current one keeps its own.

        A new incarnation is offline until the leader has observed it to be healthy.
        """
        record = self._records.get(command.address)
        if record is None:
            if len(self._records) >= MAX_AGENT_COUNT:
                return LimitReached(subject="agent addresses", limit=MAX_AGENT_COUNT)
            return self._store(command, incarnation=1, boot_ids=(command.boot_id,))
        if command.boot_id == record.boot_ids[-1]:
            return record
        if command.boot_id in record.boot_ids:
            # Race: a proposal of an earlier start, delayed past the registration of a later
            # one, must not reclaim the address.
            return SupersededBoot(address=str(command.address), incarnation=record.incarnation)
        if record.incarnation >= MAX_INCARNATION:
            return IncarnationsExhausted(address=str(command.address))
        boot_ids = (*record.boot_ids, command.boot_id)[-REMEMBERED_BOOTS:]
        return self._store(command, incarnation=record.incarnation + 1, boot_ids=boot_ids)

    def set_status(self, status: MemberStatus) -> bool:
        """Set the status of the current incarnation; return whether anything changed."""
        record = self._records.get(status.address)
        if record is None or record.incarnation != status.incarnation:
            # Race: the status was observed before a newer start registered.
            return False
        if record.operating_status is status.operating_status:
            return False
        changed = msgspec.structs.replace(record, operating_status=status.operating_status)
        self._records[status.address] = changed
        return True

    def copy(self) -> Incarnations:
        """Return a copy that later changes do not affect."""
        copied = Incarnations()
        copied._records = dict(self._records)
        return copied

    def restore(self, records: list[AgentRecord]) -> None:
        """Replace all records by those of a snapshot."""
        self._records = {record.address: record for record in records}

    def _store(
        self, command: RegisterAgent, incarnation: int, boot_ids: tuple[str, ...]
    ) -> AgentRecord:
        record = AgentRecord(
            address=command.address,
            incarnation=incarnation,
            boot_ids=boot_ids,
            name=command.name,
            zone=command.zone,
            operating_status=OperatingStatus.OFFLINE,
        )
        self._records[command.address] = record
        return record
