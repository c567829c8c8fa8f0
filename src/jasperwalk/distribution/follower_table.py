"""A subscriber's copy of the routing table, with indexes for lookups."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import (
    EntryKey,
    FleetKeyKey,
    KeyEntry,
    KeyPurpose,
    MemberEntry,
    MemberKey,
    ServiceEntry,
    ServiceKey,
    TableEntry,
)

NO_MEMBERS: Mapping[Endpoint, MemberEntry] = MappingProxyType({})


class FollowerTable:
    """The entries at `revision`; an update changes only the entries that it names."""

    def __init__(self) -> None:
        self.revision = 0
        self._services: dict[int, ServiceEntry] = {}
        self._services_by_listener: dict[Endpoint, ServiceEntry] = {}
        self._members: dict[Endpoint, MemberEntry] = {}
        self._members_by_service: dict[int, dict[Endpoint, MemberEntry]] = {}
        self._keys: dict[KeyPurpose, dict[int, KeyEntry]] = {}

    def service(self, service_id: int) -> ServiceEntry | None:
        """Return the service with this ID."""
        return self._services.get(service_id)

    def service_at(self, listener: Endpoint) -> ServiceEntry | None:
        """Return the service whose listener is this VIP and port."""
        return self._services_by_listener.get(listener)

    def services(self) -> Iterable[ServiceEntry]:
        """Return all services, in no particular order."""
        return self._services.values()

    def member(self, address: Endpoint) -> MemberEntry | None:
        """Return the member at this forwarding address."""
        return self._members.get(address)

    def members(self) -> Iterable[MemberEntry]:
        """Return all members, in no particular order."""
        return self._members.values()

    def members_of(self, service_id: int) -> Iterable[MemberEntry]:
        """Return the members of one service, in no particular order."""
        return self._members_by_service.get(service_id, NO_MEMBERS).values()

    def keys_for(self, purpose: KeyPurpose) -> list[KeyEntry]:
        """Return the fleet keys of one purpose in the order of their rotation."""
        rotations = self._keys.get(purpose, {})
        return [rotations[rotation] for rotation in sorted(rotations)]

    def active_key(self, purpose: KeyPurpose) -> KeyEntry | None:
        """Return the key that new values of this purpose use."""
        for key in self.keys_for(purpose):
            if key.active:
                return key
        return None

    def entries(self) -> list[TableEntry]:
        """Return every entry, in no particular order."""
        keys = [key for rotations in self._keys.values() for key in rotations.values()]
        return [*self._services.values(), *self._members.values(), *keys]

    def replace(self, revision: int, entries: Iterable[TableEntry]) -> None:
        """Replace all entries by those of a complete table."""
        self._services.clear()
        self._services_by_listener.clear()
        self._members.clear()
        self._members_by_service.clear()
        self._keys.clear()
        self.update(revision, entries, ())

    def update(
        self, revision: int, upserts: Iterable[TableEntry], removals: Iterable[EntryKey]
    ) -> None:
        """Apply changes: removals first, then upserts."""
        for key in removals:
            self._remove(key)
        for entry in upserts:
            self._upsert(entry)
        self.revision = revision

    def _upsert(self, entry: TableEntry) -> None:
        match entry:
            case ServiceEntry():
                self._remove_service(entry.service_id)
                self._services[entry.service_id] = entry
                self._services_by_listener[entry.listener] = entry
            case MemberEntry():
                self._remove_member(entry.address)
                self._members[entry.address] = entry
                pool = self._members_by_service.setdefault(entry.service_id, {})
                pool[entry.address] = entry
            case KeyEntry():
                self._keys.setdefault(entry.purpose, {})[entry.rotation] = entry

    def _remove(self, key: EntryKey) -> None:
        match key:
            case ServiceKey():
                self._remove_service(key.service_id)
            case MemberKey():
                self._remove_member(key.address)
            case FleetKeyKey():
                self._keys.get(key.purpose, {}).pop(key.rotation, None)

    def _remove_service(self, service_id: int) -> None:
        former = self._services.pop(service_id, None)
        if former is None:
            return
        # Another service may already have taken over the listener within the same update.
        if self._services_by_listener.get(former.listener) is former:
            del self._services_by_listener[former.listener]

    def _remove_member(self, address: Endpoint) -> None:
        former = self._members.pop(address, None)
        if former is None:
            return
        pool = self._members_by_service[former.service_id]
        del pool[address]
        if not pool:
            del self._members_by_service[former.service_id]
