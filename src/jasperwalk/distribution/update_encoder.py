"""Encodes snapshots and deltas of the table, once for all subscribers of a scope."""

from __future__ import annotations

from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import Changes, VersionedTable
from jasperwalk.config.table_entries import (
    EntryKey,
    FleetKeyKey,
    KeyEntry,
    MemberEntry,
    MemberKey,
    ServiceEntry,
    ServiceKey,
    TableEntry,
)
from jasperwalk.distribution.publisher_events import PublisherConfig
from jasperwalk.distribution.scope_history import ScopeHistory
from jasperwalk.messages import codec
from jasperwalk.messages.distribution import Delta, Snapshot

WHOLE_TABLE = -1
"""Scope of a balancer: every entry."""

KEYS_ONLY = 0
"""Scope of an agent whose address belongs to no service. Other scopes are service IDs."""

MIN_ENTRY_BYTES = 48
"""Minimum size of an encoded entry; a delta certain to be too long is not encoded."""


@dataclass(frozen=True)
class EncodedSnapshot:
    """The encoded parts of a snapshot of one scope, and when it was made (seconds)."""

    revision: int
    parts: list[bytes]
    made_at: float


@dataclass
class GroupedChanges:
    """Changes since one revision, grouped by the scope that they concern."""

    keys: list[TableEntry] = field(default_factory=list)
    removed_keys: list[EntryKey] = field(default_factory=list)
    by_service: dict[int, list[TableEntry]] = field(default_factory=dict)
    removed_services: set[int] = field(default_factory=set)


class UpdateEncoder:
    """Caches the encodings of the table's current revision; call `advance` after every change."""

    def __init__(self, table: VersionedTable, config: PublisherConfig) -> None:
        self.table = table
        self.history = ScopeHistory(table)
        self._config = config
        self._deltas: dict[tuple[int, int], bytes | None] = {}
        self._grouped: dict[int, GroupedChanges] = {}
        self._snapshots: dict[int, EncodedSnapshot] = {}

    def advance(self) -> None:
        """Discard cached deltas after a change of the table."""
        self.history.advance(self.table)
        self._deltas.clear()
        self._grouped.clear()

    def replace_table(self, table: VersionedTable) -> None:
        """Continue with another table object, such as one restored from a snapshot."""
        self.table = table
        self.history = ScopeHistory(table)
        self._deltas.clear()
        self._grouped.clear()
        self._snapshots.clear()

    def scope_of_agent(self, address: Endpoint) -> int:
        """Return the scope of the agent at this address: its service, or the keys alone."""
        member = self.table.member(address)
        return KEYS_ONLY if member is None else member.service_id

    def delta(self, scope: int, base_revision: int) -> bytes | None:
        """Return the encoded delta from `base_revision`, None where a snapshot is needed."""
        cache_key = (scope, base_revision)
        if cache_key not in self._deltas:
            self._deltas[cache_key] = self._encode_delta(scope, base_revision)
        return self._deltas[cache_key]

    def snapshot(self, scope: int, min_revision: int, now: float) -> EncodedSnapshot:
        """Return a snapshot of the scope at `min_revision` or later.

        A recent one of the whole table is reused, so that balancers that load a large table at
        the same time share its bytes; a delta brings them up to date afterwards. One for agents
        is reused at its own revision only: an agent might not have been in the scope earlier.
        """
        recent = self._snapshots.get(scope)
        if recent is not None and self._reusable(recent, scope, min_revision, now):
            return recent
        made = EncodedSnapshot(
            revision=self.table.revision, parts=self._encode_snapshot(scope), made_at=now
        )
        self._snapshots[scope] = made
        return made

    def drop_old_snapshots(self, now: float) -> None:
        """Discard snapshots that are too old to be reused."""
        limit = self._config.snapshot_reuse_seconds
        old = [scope for scope, made in self._snapshots.items() if now - made.made_at > limit]
        for scope in old:
            del self._snapshots[scope]

    def _reusable(self, recent: EncodedSnapshot, scope: int, min_revision: int, now: float) -> bool:
        if recent.revision == self.table.revision:
            return True
        return (
            scope == WHOLE_TABLE
            and now - recent.made_at <= self._config.snapshot_reuse_seconds
            and recent.revision >= min_revision
            and self.delta(scope, recent.revision) is not None
        )

    def _encode_delta(self, scope: int, base_revision: int) -> bytes | None:
        if scope == WHOLE_TABLE:
            delta = self._whole_delta(base_revision)
        else:
            delta = self._scoped_delta(scope, base_revision)
        if delta is None:
            return None
        if len(delta.upserts) * MIN_ENTRY_BYTES > self._config.max_delta_bytes:
            return None
        payload = codec.encode(delta)
        return payload if len(payload) <= self._config.max_delta_bytes else None

    def _whole_delta(self, base_revision: int) -> Delta | None:
        changes = self.table.changes_since(base_revision)
        if not isinstance(changes, Changes):
            return None
        return Delta(
            base_revision=base_revision,
            revision=changes.revision,
            upserts=changes.upserts,
            removals=changes.removals,
        )

    def _scoped_delta(self, scope: int, base_revision: int) -> Delta | None:
        if not self.history.covers(base_revision):
            return None
        grouped = self._grouped_since(base_revision)
        if grouped is None:
            return None
        removals = list(grouped.removed_keys)
        if scope in grouped.removed_services:
            removals.append(ServiceKey(service_id=scope))
        departed = self.history.departed(scope, base_revision)
        removals.extend(MemberKey(address=address) for address in departed)
        return Delta(
            base_revision=base_revision,
            revision=self.table.revision,
            upserts=[*grouped.keys, *grouped.by_service.get(scope, [])],
            removals=removals,
        )

    def _grouped_since(self, base_revision: int) -> GroupedChanges | None:
        if base_revision in self._grouped:
            return self._grouped[base_revision]
        changes = self.table.changes_since(base_revision)
        if not isinstance(changes, Changes):
            return None
        grouped = _group(changes)
        self._grouped[base_revision] = grouped
        return grouped

    def _encode_snapshot(self, scope: int) -> list[bytes]:
        entries = self._entries_of(scope)
        size = self._config.snapshot_part_entries
        chunks = [entries[start : start + size] for start in range(0, len(entries), size)] or [[]]
        return [
            codec.encode(
                Snapshot(revision=self.table.revision, part=part, parts=len(chunks), entries=chunk)
            )
            for part, chunk in enumerate(chunks)
        ]

    def _entries_of(self, scope: int) -> list[TableEntry]:
        if scope == WHOLE_TABLE:
            return list(self.table.entries())
        entries: list[TableEntry] = list(self.table.keys())
        service = self.table.service(scope)
        if service is not None:
            entries.append(service)
        entries.extend(self.table.members_of(scope))
        return entries


def _group(changes: Changes) -> GroupedChanges:
    grouped = GroupedChanges()
    for entry in changes.upserts:
        match entry:
            case KeyEntry():
                grouped.keys.append(entry)
            case ServiceEntry() | MemberEntry():
                grouped.by_service.setdefault(entry.service_id, []).append(entry)
    for key in changes.removals:
        match key:
            case FleetKeyKey():
                grouped.removed_keys.append(key)
            case ServiceKey():
                grouped.removed_services.add(key.service_id)
            case MemberKey():
                # Added from the history, which knows the service that the member was in.
                pass
    return grouped
