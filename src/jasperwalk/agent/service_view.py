"""What an agent knows of its own service: its entry, the members and the fleet keys."""

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

    `incarnation` is the agent's own, 0 while control has not registered this start.
    `stopping` is set while the process ends its last requests. `removed` is set once a change
    took this member out of its pool, also to put it into another one: the view then keeps what
    it last knew of the service, so that open flows go on, and takes no new work.
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
        """Pick the agent's own service, its members and the keys from table entries."""
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
        """Return the view after `newer` arrived.

        After a removal `newer` names no service, after a move another one.
        """
        if self.service is None or newer.names_service(self.service.service_id):
            return dataclasses.replace(newer, stopping=self.stopping)
        # Dropping the service at once would cut every open flow, though the change was
        # planned. Control sends a removed agent the keys alone.
        return dataclasses.replace(self, revision=newer.revision, keys=newer.keys, removed=True)

    def names_service(self, service_id: int) -> bool:
        """Tell whether this is the view of a member of the service."""
        return self.service is not None and self.service.service_id == service_id

    @property
    def draining(self) -> bool:
        """Tell whether this agent takes no new work."""
        if self.stopping or self.removed:
            return True
        return self.member is not None and self.member.admin_state is AdminState.DRAINING

    @property
    def serving(self) -> bool:
        """Tell whether this agent has what it needs to answer: service and incarnation."""
        return self.service is not None and self.incarnation > 0

    @property
    def online(self) -> bool:
        """Tell whether control has declared this very start of the agent online."""
        member = self.member
        if member is None or self.incarnation == 0:
            return False
        is_online = member.operating_status is OperatingStatus.ONLINE
        return is_online and member.incarnation == self.incarnation

    def members_of(self, service_id: int) -> list[MemberEntry]:
        """Return the members of a service's pool, none for another service than the own."""
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
