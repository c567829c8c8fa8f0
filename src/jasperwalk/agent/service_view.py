"""An agent's view of its own service: the service entry, its members and the fleet keys."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import (
    AdminState,
    KeyEntry,
    KeyPurpose,
    MemberEntry,
    OperatingStatus,
    ServiceEntry,
    TableEntry,
    accepts_new_work,
)


@dataclass(frozen=True)
class ServiceView:
    """One revision of the table as the agent at `address` sees it.

    `incarnation` is the agent's own, 0 until control has registered this start. `stopping` is
    set while the process completes its last requests. `removed` is set once a change removed
    this member from its pool, also when it moved to another pool: the view then keeps the last
    known state of the service, so that open flows continue, and accepts no new work.
    """

    address: Endpoint
    revision: int = 0
    incarnation: int = 0
    service: ServiceEntry | None = None
    member: MemberEntry | None = None
    members: dict[Endpoint, MemberEntry] = field(default_factory=dict)
    keys: tuple[KeyEntry, ...] = ()
    stopping: bool = False
    removed: bool = False

    @classmethod
    def build(
        cls,
        address: Endpoint,
        revision: int,
        incarnation: int,
        entries: Iterable[TableEntry],
    ) -> ServiceView:
        """Select the agent's own service, its members and the keys from table entries."""
        all_entries = list(entries)
        keys = tuple(entry for entry in all_entries if isinstance(entry, KeyEntry))
        members = {entry.address: entry for entry in all_entries if isinstance(entry, MemberEntry)}
        own = members.get(address)
        if own is None:
            return cls(address, revision, incarnation, keys=keys)
        services = {
            entry.service_id: entry for entry in all_entries if isinstance(entry, ServiceEntry)
        }
        same_service = {
            endpoint: member
            for endpoint, member in members.items()
            if member.service_id == own.service_id
        }
        service = services.get(own.service_id)
        return cls(address, revision, incarnation, service, own, same_service, keys)

    def followed_by(self, newer: ServiceView) -> ServiceView:
        """Return the view that follows once `newer` has arrived.

        After a removal `newer` names no service; after a move it names another one.
        """
        if self.service is None or newer.names_service(self.service.service_id):
            return dataclasses.replace(newer, stopping=self.stopping)
        # Dropping the service at once would break every open flow, although the change was
        # planned. Control sends a removed agent only the keys.
        return dataclasses.replace(self, revision=newer.revision, keys=newer.keys, removed=True)

    def names_service(self, service_id: int) -> bool:
        """Return whether this is the view of a member of the service."""
        return self.service is not None and self.service.service_id == service_id

    @property
    def draining(self) -> bool:
        """Return whether this agent accepts no new work."""
        if self.stopping or self.removed:
            return True
        return self.member is not None and self.member.admin_state is AdminState.DRAINING

    @property
    def serving(self) -> bool:
        """Return whether this agent has what it needs to answer: a service and an incarnation."""
        return self.service is not None and self.incarnation > 0

    @property
    def online(self) -> bool:
        """Return whether control has declared this start of the agent online."""
        member = self.member
        if member is None or self.incarnation == 0:
            return False
        is_online = member.operating_status is OperatingStatus.ONLINE
        return is_online and member.incarnation == self.incarnation

    def members_of(self, service_id: int) -> list[MemberEntry]:
        """Return the members of a service's pool; none for any service but the agent's own."""
        if not self.names_service(service_id):
            return []
        return list(self.members.values())

    def keys_for(self, purpose: KeyPurpose) -> list[KeyEntry]:
        """Return the keys of a purpose, the active one first."""
        keys = [key for key in self.keys if key.purpose is purpose]
        return sorted(keys, key=lambda key: (not key.active, key.rotation))

    def other_members(self) -> list[MemberEntry]:
        """Return the other members that accept new work, ordered by address."""
        eligible = [
            member
            for member in self.members.values()
            if member.address != self.address and accepts_new_work(member)
        ]
        return sorted(eligible, key=lambda member: member.address)
