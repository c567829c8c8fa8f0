"""The publisher core: byte budgets, coalescing, registration, refusals, join admission."""

import math

import pytest

from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.distribution.follower_events import REPLACED_KIND
from jasperwalk.distribution.publisher import PublisherCore
from jasperwalk.distribution.publisher_events import (
    CloseReason,
    CloseSubscriber,
    PublisherConfig,
    RegisterAgent,
    SendTo,
)
from jasperwalk.messages.distribution import (
    FROM_PUBLISHER_DECODER,
    Acknowledge,
    Delta,
    Heartbeat,
    Reject,
    ReplicaEndpoints,
    Snapshot,
    SubscriberRole,
)

AGENT = SubscriberRole.AGENT


@pytest.fixture
def table(builders) -> VersionedTable:
    """A table at revision 3: a service with two members."""
    table = VersionedTable()
    for revision, entry in enumerate(
        [builders.service(1), builders.member(1, 1), builders.member(2, 1)], 1
    ):
        table.upsert(entry, revision)
    return table


@pytest.fixture
def core(table) -> PublisherCore:
    core = PublisherCore(table, PublisherConfig())
    core.tick(0.0, 0.0)
    return core


def messages(effects: list) -> list:
    return [FROM_PUBLISHER_DECODER.decode(e.payload) for e in effects if isinstance(e, SendTo)]


def of_type(kind: type, effects: list) -> list:
    return [each for each in messages(effects) if isinstance(each, kind)]


def closings(effects: list) -> list:
    return [(e.subscriber_id, e.reason) for e in effects if isinstance(e, CloseSubscriber)]


def acknowledge(core: PublisherCore, subscriber_id: int, revision: int, now: float) -> list:
    return core.message(subscriber_id, Acknowledge(revision, True, 0), now)


def test_a_small_table_is_sent_at_once(builders, core, table) -> None:
    effects = core.subscriber_opened(1, builders.subscribe(), 0.0)
    (snapshot,) = of_type(Delta, effects)
    assert set(snapshot.upserts) == set(table.entries())


def test_a_delta_is_encoded_once_for_all_of_a_scope(builders, core, table) -> None:
    for number in range(50):
        core.subscriber_opened(number, builders.subscribe(name=f"b{number}", revision=3), 0.0)
    table.upsert(builders.member(3, 1), 4)
    effects = core.table_advanced(0.1)
    assert len(effects) == 50
    assert len({id(effect.payload) for effect in effects}) == 1


def test_a_large_table_is_paced_by_the_links_budget(builders, table) -> None:
    for number in range(20_000):
        table.upsert(builders.member(number, 1), 4)
    table.horizon = 1
    config = PublisherConfig(link_burst_bytes=100_000, outstanding_limit=10**6)
    core = PublisherCore(table, config)
    core.tick(0.0, 0.0)
    lengths = [len(e.payload) for e in core.subscriber_opened(1, builders.subscribe(), 0.0)]
    sent, longest = sum(lengths), max(lengths)
    assert 100_000 <= sent <= 100_000 + longest
    now = 0.0
    while now < 60.0:
        now += 0.1
        sent += sum(len(e.payload) for e in core.tick(now, 0.0) if isinstance(e, SendTo))
        acknowledge(core, 1, 0, now)
    assert 0.9 * 60 * 5000 <= sent - 100_000 <= 60 * 5000 + longest


def test_changes_wait_as_one_delta_while_a_subscriber_is_slow(builders, core, table) -> None:
    core.subscriber_opened(1, builders.subscribe(revision=3), 0.0)
    sent = []
    for revision in range(4, 304):
        table.upsert(builders.member(1, 1, weight=revision), revision)
        sent += of_type(Delta, core.table_advanced(1.0))
    assert [each.revision for each in sent] == [4, 5, 6, 7]
    (delta,) = of_type(Delta, acknowledge(core, 1, 7, 2.0))
    assert (delta.base_revision, delta.revision) == (7, 303)
    assert delta.upserts == [builders.member(1, 1, weight=303)]


def test_only_due_heartbeats_are_sent_and_they_carry_the_quorum_age(builders, core) -> None:
    for number in range(2000):
        subscribe = builders.subscribe(name=f"b{number}", revision=3)
        core.subscriber_opened(number, subscribe, number / 4000)
    assert core.next_deadline() == 0.5
    assert len(core.tick(0.55, 0.25)) == 201
    (heartbeat,) = set(messages(core.tick(0.6, 1.5)))
    assert heartbeat == Heartbeat(3, 1500, 0)
    assert core.tick(0.6, 1.5) == []


def test_a_publisher_that_was_suspended_reports_its_true_quorum_age(builders, core) -> None:
    assert closings(core.subscriber_opened(1, builders.subscribe(), 10.0)) == [
        (1, CloseReason.STALE_REPLICA)
    ]


@pytest.mark.parametrize("quorum_age", [2.1, math.inf])
def test_a_replica_without_quorum_refuses(builders, core, quorum_age: float) -> None:
    core.tick(1.0, quorum_age)
    effects = core.subscriber_opened(1, builders.subscribe(), 1.0)
    assert messages(effects) == [Reject("stale-replica", "stale-replica", 1000)]
    assert core.subscriber_count == 0


def test_other_refusals_and_closings(builders, table) -> None:
    core = PublisherCore(table, PublisherConfig(subscriber_limit=1))
    core.tick(0.0, 0.0)
    core.subscriber_opened(1, builders.subscribe(), 0.0)
    assert closings(core.subscriber_opened(2, builders.subscribe(name="x"), 0.0)) == [
        (2, CloseReason.TOO_MANY_SUBSCRIBERS)
    ]
    assert closings(core.message(1, builders.subscribe(), 0.0)) == [
        (1, CloseReason.SUBSCRIBED_TWICE)
    ]
    assert core.message(1, Acknowledge(1, True, 0), 0.0) == []


def test_a_silent_subscriber_is_closed_and_a_reconnect_takes_over(builders, core) -> None:
    core.subscriber_opened(1, builders.subscribe(), 0.0)
    core.tick(0.1, 0.0)
    assert closings(core.subscriber_opened(2, builders.subscribe(), 1.0)) == [
        (1, CloseReason.RECONNECTED)
    ]
    effects = [effect for step in range(140) for effect in core.tick(step / 20, 0.0)]
    assert closings(effects) == [(2, CloseReason.SILENT)]


def test_a_publisher_that_was_suspended_closes_no_subscriber_at_once(builders, core) -> None:
    core.subscriber_opened(1, builders.subscribe(), 0.0)
    core.tick(0.1, 0.0)
    assert closings(core.tick(20.0, 0.0)) == []
    steps = [20.0 + step / 20 for step in range(1, 140)]
    closed_at = [now for now in steps if closings(core.tick(now, 0.0))]
    assert closed_at == [pytest.approx(25.0, abs=0.6)]


def test_an_agent_is_registered_and_notified_at_once(builders, core) -> None:
    subscribe = builders.subscribe(AGENT, builders.address(1), name="host-1")
    wanted = RegisterAgent(builders.address(1), "boot", "host-1", "a")
    assert core.subscriber_opened(1, subscribe, 0.0)[0] == wanted
    proposals = [e for step in range(1, 21) for e in core.tick(step / 10, 0.0)]
    assert proposals.count(wanted) == 2
    assert messages(core.agent_registered(builders.address(1), "boot", 7, 2.1)) == [
        Heartbeat(3, 100, 7)
    ]
    later = [e for step in range(22, 40) for e in core.tick(step / 10, 0.0)]
    assert wanted not in later
    assert of_type(Heartbeat, later)[-1].incarnation == 7
    (link,) = core.links()
    assert (link.subscribe.boot_id, link.incarnation) == ("boot", 7)


def test_the_older_process_at_an_address_is_refused(builders, core) -> None:
    at = builders.address(1)
    core.subscriber_opened(1, builders.subscribe(AGENT, at, boot_id="old"), 0.0)
    core.agent_registered(at, "old", 1, 0.0)
    core.subscriber_opened(2, builders.subscribe(AGENT, at, boot_id="new"), 1.0)
    effects = core.agent_registered(at, "new", 2, 1.0)
    assert closings(effects) == [(1, CloseReason.REPLACED)]
    assert of_type(Reject, effects)[0].kind == REPLACED_KIND
    thawed = builders.subscribe(AGENT, at, boot_id="old", incarnation=1, revision=3)
    effects = core.subscriber_opened(3, thawed, 1.5)
    assert closings(effects) == [(3, CloseReason.REPLACED)]
    assert not [each for each in effects if isinstance(each, RegisterAgent)]
    assert [each.subscribe.boot_id for each in core.links()] == ["new"]


def test_a_replica_behind_proposes_nothing_for_an_agent_that_was_registered(builders, core) -> None:
    at = builders.address(1)
    core.agent_registered(at, "old", 1, 0.0)
    ahead = builders.subscribe(AGENT, at, boot_id="new", incarnation=2, revision=9)
    effects = core.subscriber_opened(1, ahead, 0.0)
    assert messages(effects) == [Heartbeat(3, 0, 0)]
    assert len(effects) == 1
    assert messages(core.agent_registered(at, "new", 2, 0.1)) == [Heartbeat(3, 100, 2)]


def test_an_agent_refused_by_control_is_closed(builders, core) -> None:
    core.subscriber_opened(1, builders.subscribe(AGENT, builders.address(1)), 0.0)
    assert core.agent_refused(builders.address(1), "another") == []
    effects = core.agent_refused(builders.address(1), "boot")
    assert closings(effects) == [(1, CloseReason.REPLACED)]


def test_an_agent_gets_its_own_service_and_another_when_it_moves(builders, core, table) -> None:
    table.upsert(builders.service(2), 4)
    table.upsert(builders.fleet_key(0), 4)
    core.table_advanced(0.0)
    effects = core.subscriber_opened(1, builders.subscribe(AGENT, builders.address(1)), 0.0)
    (first,) = of_type(Snapshot, effects)
    members = {builders.member(1, 1), builders.member(2, 1)}
    assert set(first.entries) == {builders.service(1), builders.fleet_key(0), *members}
    table.upsert(builders.member(2, 2), 5)
    (left,) = of_type(Delta, core.table_advanced(0.1))
    assert (left.upserts, [key.address for key in left.removals]) == ([], [builders.address(2)])
    table.upsert(builders.member(1, 2), 6)
    (moved,) = of_type(Snapshot, core.table_advanced(0.2))
    members = {builders.member(1, 2), builders.member(2, 2)}
    assert set(moved.entries) == {builders.service(2), builders.fleet_key(0), *members}


def test_links_record_what_each_subscriber_acknowledged(builders, core, table) -> None:
    core.subscriber_opened(1, builders.subscribe(name="b1", at=builders.address(10)), 0.0)
    core.subscriber_opened(2, builders.subscribe(name="b2", at=builders.address(11)), 0.0)
    core.subscriber_opened(3, builders.subscribe(AGENT, builders.address(1), name="a1"), 0.0)
    acknowledge(core, 1, 3, 0.5)
    core.message(3, Acknowledge(3, False, 17), 0.7)
    links = {link.subscribe.name: link for link in core.links()}
    revisions = {name: link.acknowledged_revision for name, link in links.items()}
    assert revisions == {"b1": 3, "b2": 0, "a1": 3}
    assert [link.subscribe.role for link in links.values()].count(AGENT) == 1
    agent = links["a1"]
    assert (agent.healthy, agent.open_flows) == (False, 17)
    assert 1.0 - agent.last_seen == pytest.approx(0.3)
    core.subscriber_closed(2)
    assert {link.subscribe.name for link in core.links()} == {"b1", "a1"}
    assert core.subscriber_count == 2


def test_agents_of_a_service_share_the_bytes_of_its_snapshot(builders, core) -> None:
    sent = [
        core.subscriber_opened(
            each, builders.subscribe(AGENT, builders.address(each), name=str(each)), 0.0
        )
        for each in (1, 2)
    ]
    first, second = (effects[-1].payload for effects in sent)
    assert first is second
    assert isinstance(FROM_PUBLISHER_DECODER.decode(first), Snapshot)


def test_subscribers_are_notified_of_the_replicas_once_and_when_they_change(builders, core) -> None:
    first, second = [builders.address(200)], [builders.address(200), builders.address(201)]
    assert of_type(ReplicaEndpoints, core.subscriber_opened(1, builders.subscribe(), 0.0)) == []
    assert of_type(ReplicaEndpoints, core.replicas_changed(7, first)) == [
        ReplicaEndpoints(7, first)
    ]
    assert core.replicas_changed(8, first) == []
    opened = core.subscriber_opened(2, builders.subscribe(name="b2"), 0.0)
    assert of_type(ReplicaEndpoints, opened) == [ReplicaEndpoints(7, first)]
    assert len(of_type(ReplicaEndpoints, core.replicas_changed(9, second))) == 2


def test_concurrent_joins_are_limited_and_refused_ones_retry_one_by_one(builders, table) -> None:
    core = PublisherCore(table, PublisherConfig(join_limit=2, retries_per_second=10))
    core.tick(0.0, 0.0)
    opened = [core.subscriber_opened(n, builders.subscribe(name=f"b{n}"), 0.0) for n in range(5)]
    rejects = [each for effects in opened for each in of_type(Reject, effects)]
    assert [each.kind for each in rejects] == ["too-many-snapshots"] * 3
    assert [each.retry_after_ms for each in rejects] == [1000, 1100, 1200]
    holds_a_table = builders.subscribe(name="b5", revision=2)
    assert of_type(Reject, core.subscriber_opened(5, holds_a_table, 0.0)) == []
    acknowledge(core, 0, 3, 0.1)
    assert of_type(Reject, core.subscriber_opened(6, builders.subscribe(name="b6"), 0.1)) == []
    assert of_type(Reject, core.subscriber_opened(7, builders.subscribe(name="b7"), 0.1)) != []
    core.subscriber_closed(1)
    assert of_type(Reject, core.subscriber_opened(8, builders.subscribe(name="b8"), 0.1)) == []


def test_a_slow_join_keeps_others_out_for_a_bounded_time(builders, table) -> None:
    core = PublisherCore(table, PublisherConfig(join_limit=1, join_seconds=2.0))
    core.tick(0.0, 0.0)
    core.subscriber_opened(1, builders.subscribe(name="b1"), 0.0)
    assert of_type(Reject, core.subscriber_opened(2, builders.subscribe(name="b2"), 1.9)) != []
    assert of_type(Reject, core.subscriber_opened(3, builders.subscribe(name="b3"), 2.0)) == []


def test_retry_times_of_refused_subscribers_are_bounded(builders, core) -> None:
    core.tick(0.0, math.inf)
    waits = [
        of_type(Reject, core.subscriber_opened(n, builders.subscribe(), 0.0))[0].retry_after_ms
        for n in range(4000)
    ]
    assert (min(waits), max(waits)) == (1000, 4000)
    assert max(waits.count(each) for each in set(waits)) <= 3


def test_a_change_goes_out_in_slices_to_each_subscriber_once(builders, table) -> None:
    core = PublisherCore(table, PublisherConfig(slice_subscribers=20))
    core.tick(0.0, 0.0)
    for number in range(50):
        core.subscriber_opened(number, builders.subscribe(name=f"b{number}", revision=3), 0.0)
    table.upsert(builders.member(3, 1), 4)
    slices = [core.table_advanced(0.1)]
    core.subscriber_closed(49)
    while core.next_deadline() < 0.1:
        slices.append(core.tick(0.1, 0.0))
    assert [len(each) for each in slices] == [20, 20, 9]
    assert {each.subscriber_id for effects in slices for each in effects} == set(range(49))
