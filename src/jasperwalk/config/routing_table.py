"""The versioned routing table: entries, the revision of each, and removals within a horizon.

A journal ordered by revision makes the cost of `changes_since` proportional to the number of
changes, not to the size of the table.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from typing import ClassVar

import msgspec

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
    key_of,
)
from jasperwalk.errors import JasperwalkError

DEFAULT_TOMBSTONE_LIMIT = 4_096
"""Removals kept; a follower at a revision before the last discarded one needs a snapshot."""

MAX_SUPERSEDED_RECORDS = 1_024
"""Superseded journal records allowed, beyond the number of live ones, before a rebuild."""


@dataclass(eq=False)
class StaleRevision(JasperwalkError):
    """A change has a revision older than the table's; a fault of the calling code."""

    kind: ClassVar[str] = "revision-went-back"
    revision: int
    current: int

    def describe(self) -> str:
        """Name both revisions."""
        return f"change of revision {self.revision} for a table at revision {self.current}"


class Changes(msgspec.Struct, frozen=True):
    """What changed after `base_revision` up to `revision`; both empty where nothing did."""

    base_revision: int
    revision: int
    upserts: list[TableEntry]
    removals: list[EntryKey]


class SnapshotRequired(msgspec.Struct, frozen=True):
    """Removals after the requested revision may have been discarded.

    Only copies at a revision from `horizon` on can be brought up to date by changes.
    """

    horizon: int
    revision: int


class VersionedEntry(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """An entry with the revision at which it last changed."""

    revision: int
    entry: TableEntry


class Tombstone(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """A removed key with the revision at which it was removed."""

    revision: int
    key: EntryKey


class TableImage(msgspec.Struct, frozen=True, array_like=True):
    """Serialised form of a table; lists are ordered by revision, then by key."""

    revision: int
    horizon: int
    tombstone_limit: int
    entries: list[VersionedEntry]
    tombstones: list[Tombstone]


@dataclass(frozen=True)
class TableContent:
    """The rows and removals of a table at one revision, in no particular order."""

    revision: int
    horizon: int
    tombstone_limit: int
    rows: dict[EntryKey, VersionedEntry]
    tombstones: dict[EntryKey, int]

    def image(self) -> TableImage:
        """Return the serialised form, the same for every table of the same content."""
        rows = sorted(self.rows.items(), key=lambda item: _order(item[1].revision, item[0]))
        tombstones = [
            Tombstone(revision=revision, key=key) for key, revision in self.tombstones.items()
        ]
        tombstones.sort(key=lambda tombstone: _order(tombstone.revision, tombstone.key))
        return TableImage(
            revision=self.revision,
            horizon=self.horizon,
            tombstone_limit=self.tombstone_limit,
            entries=[row for _, row in rows],
            tombstones=tombstones,
        )


def _order(revision: int, key: EntryKey) -> tuple[int, bytes]:
    """Sort key: by revision, then by the key's encoding."""
    return revision, msgspec.msgpack.encode(key)


class VersionedTable:
    """Entries by key, with the revision of each and a bounded number of tombstones."""

    def __init__(self, tombstone_limit: int = DEFAULT_TOMBSTONE_LIMIT) -> None:
        self.revision = 0
        self.horizon = 0
        self._tombstone_limit = tombstone_limit
        self._rows: dict[EntryKey, VersionedEntry] = {}
        self._tombstones: dict[EntryKey, int] = {}
        self._journal_revisions: list[int] = []
        self._journal_keys: list[EntryKey] = []
        self._services_by_listener: dict[Endpoint, int] = {}
        self._addresses_by_service: dict[int, dict[Endpoint, None]] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._rows)

    def upsert(self, entry: TableEntry, revision: int) -> bool:
        """Store an entry; return False, and change nothing, if it is already stored."""
        key = key_of(entry)
        previous = self._rows.get(key)
        if previous is not None and previous.entry == entry:
            return False
        self._advance(revision)
        if previous is not None:
            self._unindex(previous.entry)
        self._rows[key] = VersionedEntry(revision=revision, entry=entry)
        self._index(entry)
        self._tombstones.pop(key, None)
        self._record(key, revision)
        return True

    def remove(self, key: EntryKey, revision: int) -> bool:
        """Remove an entry, leaving a tombstone; return False where there is none."""
        if key not in self._rows:
            return False
        self._advance(revision)
        self._unindex(self._rows.pop(key).entry)
        self._tombstones[key] = revision
        self._trim_tombstones()
        self._record(key, revision)
        return True

    def changes_since(self, revision: int) -> Changes | SnapshotRequired:
        """Return what changed after `revision`, or that a snapshot is required.

        A revision at or beyond the table's own gives empty changes.
        """
        if revision < self.horizon:
            return SnapshotRequired(horizon=self.horizon, revision=self.revision)
        upserts: dict[EntryKey, TableEntry] = {}
        removals: dict[EntryKey, None] = {}
        start = bisect.bisect_right(self._journal_revisions, revision)
        for position in range(start, len(self._journal_keys)):
            key = self._journal_keys[position]
            row = self._rows.get(key)
            if row is not None:
                upserts[key] = row.entry
            elif key in self._tombstones:
                removals[key] = None
        return Changes(
            base_revision=revision,
            revision=self.revision,
            upserts=list(upserts.values()),
            removals=list(removals),
        )

    def get(self, key: EntryKey) -> TableEntry | None:
        """Return the entry under a key."""
        row = self._rows.get(key)
        return None if row is None else row.entry

    def revision_of(self, key: EntryKey) -> int | None:
        """Return the revision at which the entry under a key last changed."""
        row = self._rows.get(key)
        return None if row is None else row.revision

    def service(self, service_id: int) -> ServiceEntry | None:
        """Return a service by its ID."""
        entry = self.get(ServiceKey(service_id=service_id))
        return entry if isinstance(entry, ServiceEntry) else None

    def service_at(self, listener: Endpoint) -> ServiceEntry | None:
        """Return the service that listens at a VIP and port."""
        service_id = self._services_by_listener.get(listener)
        return None if service_id is None else self.service(service_id)

    def member(self, address: Endpoint) -> MemberEntry | None:
        """Return a member by its agent's address."""
        entry = self.get(MemberKey(address=address))
        return entry if isinstance(entry, MemberEntry) else None

    def key(self, purpose: KeyPurpose, rotation: int) -> KeyEntry | None:
        """Return a fleet key by its purpose and rotation."""
        entry = self.get(FleetKeyKey(purpose=purpose, rotation=rotation))
        return entry if isinstance(entry, KeyEntry) else None

    def members_of(self, service_id: int) -> list[MemberEntry]:
        """Return the members of a service, ordered by address."""
        addresses = sorted(self._addresses_by_service.get(service_id, ()))
        members = (self.member(address) for address in addresses)
        return [member for member in members if member is not None]

    def entries(self) -> Iterator[TableEntry]:
        """Iterate over all entries, in no particular order."""
        return (row.entry for row in self._rows.values())

    def services(self) -> Iterator[ServiceEntry]:
        """Iterate over all services, in no particular order."""
        return (entry for entry in self.entries() if isinstance(entry, ServiceEntry))

    def members(self) -> Iterator[MemberEntry]:
        """Iterate over all members, in no particular order."""
        return (entry for entry in self.entries() if isinstance(entry, MemberEntry))

    def keys(self) -> Iterator[KeyEntry]:
        """Iterate over all fleet keys, in no particular order."""
        return (entry for entry in self.entries() if isinstance(entry, KeyEntry))

    def content(self) -> TableContent:
        """Return a copy of the rows that later changes do not affect."""
        return TableContent(
            revision=self.revision,
            horizon=self.horizon,
            tombstone_limit=self._tombstone_limit,
            rows=dict(self._rows),
            tombstones=dict(self._tombstones),
        )

    def image(self) -> TableImage:
        """Return the serialised form, the same for every table of the same content."""
        return self.content().image()

    @classmethod
    def from_image(cls, image: TableImage) -> VersionedTable:
        """Rebuild a table from its serialised form."""
        table = cls(tombstone_limit=image.tombstone_limit)
        for row in image.entries:
            table._rows[key_of(row.entry)] = row
            table._index(row.entry)
        for tombstone in image.tombstones:
            table._tombstones[tombstone.key] = tombstone.revision
        table.revision = image.revision
        table.horizon = image.horizon
        table._rebuild_journal()
        return table

    def _advance(self, revision: int) -> None:
        """Move to a new revision, which may not be older than the table's."""
        if revision < self.revision:
            raise StaleRevision(revision=revision, current=self.revision)
        self.revision = revision

    def _record(self, key: EntryKey, revision: int) -> None:
        """Append a change to the journal; rebuild it once most of it is superseded."""
        self._journal_revisions.append(revision)
        self._journal_keys.append(key)
        live = len(self._rows) + len(self._tombstones)
        if len(self._journal_keys) > 2 * live + MAX_SUPERSEDED_RECORDS:
            self._rebuild_journal()

    def _rebuild_journal(self) -> None:
        """Rebuild the journal with one record for each entry and tombstone."""
        records = [(row.revision, key) for key, row in self._rows.items()]
        records.extend((revision, key) for key, revision in self._tombstones.items())
        records.sort(key=lambda record: record[0])
        self._journal_revisions = [revision for revision, _ in records]
        self._journal_keys = [key for _, key in records]

    def _trim_tombstones(self) -> None:
        """Discard the oldest tombstones; followers at an older revision need a snapshot.

        All tombstones of a revision are discarded together, so that what is kept does not
        depend on the order of removals within a revision.
        """
        while len(self._tombstones) > self._tombstone_limit:
            oldest = next(iter(self._tombstones.values()))
            self.horizon = oldest
            while self._tombstones and next(iter(self._tombstones.values())) == oldest:
                del self._tombstones[next(iter(self._tombstones))]

    def _index(self, entry: TableEntry) -> None:
        """Add an entry to the indices by listener and by service."""
        if isinstance(entry, ServiceEntry):
            self._services_by_listener[entry.listener] = entry.service_id
        elif isinstance(entry, MemberEntry):
            self._addresses_by_service.setdefault(entry.service_id, {})[entry.address] = None

    def _unindex(self, entry: TableEntry) -> None:
        """Remove an entry from the indices, unless another entry has replaced it there."""
        if isinstance(entry, ServiceEntry):
            if self._services_by_listener.get(entry.listener) == entry.service_id:
                del self._services_by_listener[entry.listener]
        elif isinstance(entry, MemberEntry):
            addresses = self._addresses_by_service[entry.service_id]
            del addresses[entry.address]
            if not addresses:
                del self._addresses_by_service[entry.service_id]
