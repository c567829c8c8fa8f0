"""The versioned table: changes by revision, tombstones, horizon and image."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import (
    Changes,
    SnapshotRequired,
    StaleRevision,
    VersionedTable,
)
from jasperwalk.config.table_entries import (
    AdminState,
    EntryKey,
    HealthMonitor,
    MemberEntry,
    MemberKey,
    Objective,
    OperatingStatus,
    ServiceEntry,
    ServiceLimits,
    TableEntry,
    key_of,
)


def member(number: int, service_id: int = 1, weight: int = 1) -> MemberEntry:
    return MemberEntry(
        address=Endpoint(host=f"127.0.0.{number}", port=7000),
        service_id=service_id,
        host=f"h{number}",
        zone="z",
        weight=weight,
        slots=1,
        admin_state=AdminState.ENABLED,
        operating_status=OperatingStatus.ONLINE,
        incarnation=1,
    )


def service(service_id: int, port: int) -> ServiceEntry:
    return ServiceEntry(
        service_id=service_id,
        name=f"s{service_id}",
        tenant="t",
        listener=Endpoint(host="127.1.0.1", port=port),
        objective=Objective.LEAST_IMBALANCE,
        limits=ServiceLimits(1, 1, 1, 1),
        health_monitor=HealthMonitor("/", 1, 1, 1),
    )


def test_an_equal_entry_changes_nothing() -> None:
    table = VersionedTable()
    assert table.upsert(member(1), 1)
    assert not table.upsert(member(1), 2)
    assert not table.remove(key_of(member(2)), 3)
    assert table.revision == 1


def test_a_revision_never_goes_back() -> None:
    table = VersionedTable()
    table.upsert(member(1), 5)
    with pytest.raises(StaleRevision):
        table.upsert(member(2), 4)


def test_follower_from_before_the_horizon_needs_a_snapshot() -> None:
    table = VersionedTable(tombstone_limit=2)
    for number in range(1, 6):
        table.upsert(member(number), number)
    for number in range(1, 4):
        table.remove(key_of(member(number)), 10 + number)
    assert table.horizon == 11
    assert table.changes_since(10) == SnapshotRequired(horizon=11, revision=13)
    changes = table.changes_since(11)
    assert isinstance(changes, Changes)
    assert changes.removals == [key_of(member(2)), key_of(member(3))]


def test_listeners_and_members_may_swap_services() -> None:
    table = VersionedTable()
    table.upsert(service(1, port=1), 1)
    table.upsert(service(2, port=2), 1)
    table.upsert(member(1, service_id=1), 1)
    table.upsert(service(1, port=2), 2)
    table.upsert(service(2, port=1), 2)
    table.upsert(member(1, service_id=2), 2)
    assert table.service_at(Endpoint(host="127.1.0.1", port=1)) == service(2, port=1)
    assert table.service_at(Endpoint(host="127.1.0.1", port=2)) == service(1, port=2)
    assert table.members_of(1) == []
    assert table.members_of(2) == [member(1, service_id=2)]


STEPS = st.lists(st.tuples(st.integers(1, 6), st.integers(0, 3)), max_size=60)


def contents(table: VersionedTable) -> dict[EntryKey, TableEntry]:
    return {key_of(entry): entry for entry in table.entries()}


@settings(derandomize=True, deadline=None, max_examples=200)
@given(steps=STEPS, start=st.integers(0, 60), tombstone_limit=st.integers(0, 4))
def test_changes_bring_any_copy_to_the_same_content(
    steps: list[tuple[int, int]], start: int, tombstone_limit: int
) -> None:
    """Weight 0 means a removal; `start` is the revision at which the copy was taken."""
    table = VersionedTable(tombstone_limit=tombstone_limit)
    followed: dict[EntryKey, TableEntry] = {}
    followed_revision = 0
    for revision, (number, weight) in enumerate(steps, start=1):
        if weight:
            table.upsert(member(number, weight=weight), revision)
        else:
            table.remove(MemberKey(address=member(number).address), revision)
        if revision == start:
            followed = contents(table)
            followed_revision = table.revision
    image = table.image()
    assert contents(table).keys().isdisjoint(each.key for each in image.tombstones)
    restored = VersionedTable.from_image(image)
    assert restored.image() == image
    for source in (table, restored):
        changes = source.changes_since(followed_revision)
        if isinstance(changes, SnapshotRequired):
            assert followed_revision < source.horizon
            continue
        assert all(source.revision_of(key_of(each)) > followed_revision for each in changes.upserts)
        assert contents(source).keys().isdisjoint(changes.removals)
        result = {key: entry for key, entry in followed.items() if key not in changes.removals}
        result.update({key_of(entry): entry for entry in changes.upserts})
        assert result == contents(table)


def test_the_journal_stays_bounded() -> None:
    table = VersionedTable()
    for revision in range(1, 10_001):
        table.upsert(member(1, weight=revision), revision)
    assert len(table._journal_keys) < 2_000
    changes = table.changes_since(9_999)
    assert isinstance(changes, Changes)
    assert changes.upserts == [member(1, weight=10_000)]
