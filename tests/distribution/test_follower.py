"""The follower core: faulty messages of a replica, freshness, and the choice of replicas."""

import random

import msgspec
import pytest

from jasperwalk.distribution.follower import FollowerCore, FollowerPhase
from jasperwalk.distribution.follower_events import (
    REPLACED_KIND,
    Connect,
    Disconnect,
    FollowerConfig,
    LeaveReason,
    Replaced,
    Send,
)
from jasperwalk.messages.distribution import (
    Acknowledge,
    Delta,
    Heartbeat,
    Reject,
    ReplicaEndpoints,
    Snapshot,
    SubscriberRole,
)


@pytest.fixture
def core(builders) -> FollowerCore:
    """A follower at revision 10 with service 1, connected at time 0 to one of two replicas."""
    facts = builders.facts("f", SubscriberRole.AGENT, builders.address(1))
    replicas = [builders.address(200), builders.address(201)]
    core = FollowerCore(FollowerConfig(), facts, replicas, random.Random(7))
    connect(core, 0.0)
    core.message(Snapshot(10, 0, 1, [builders.service(1)]), 0.0)
    return core


def connect(core: FollowerCore, now: float) -> list:
    (effect,) = core.tick(now)
    assert isinstance(effect, Connect)
    return core.connected(effect.endpoint, now)


def leave_reason(effects: list) -> LeaveReason | None:
    return next((each.reason for each in effects if isinstance(each, Disconnect)), None)


FAULTS = {
    "older delta": ([Delta(3, 9, [2], [])], None, {1}, 10),
    "delta again": ([Delta(9, 10, [2], [])], None, {1}, 10),
    "delta from an older base": ([Delta(8, 12, [2], [])], None, {1, 2}, 12),
    "delta with a gap": ([Delta(11, 12, [2], [])], LeaveReason.GAP, {1}, 10),
    "older snapshot": ([Snapshot(9, 0, 1, [2])], None, {1}, 10),
    "snapshot of the same revision": ([Snapshot(10, 0, 1, [2])], None, {2}, 10),
    "first of two snapshot parts": ([Snapshot(12, 0, 2, [2])], None, {1}, 10),
    "complete snapshot": ([Snapshot(12, 0, 2, [2]), Snapshot(12, 1, 2, [3])], None, {2, 3}, 12),
    "snapshot started again": (
        [Snapshot(12, 0, 2, [2]), Snapshot(13, 0, 2, [3]), Snapshot(13, 1, 2, [4])],
        None,
        {3, 4},
        13,
    ),
    "part missing": (
        [Snapshot(12, 0, 3, [2]), Snapshot(12, 2, 3, [3])],
        LeaveReason.BROKEN_SNAPSHOT,
        {1},
        10,
    ),
    "part of another": (
        [Snapshot(12, 0, 2, [2]), Snapshot(13, 1, 2, [3])],
        LeaveReason.BROKEN_SNAPSHOT,
        {1},
        10,
    ),
    "no first part": ([Snapshot(12, 1, 2, [2])], LeaveReason.BROKEN_SNAPSHOT, {1}, 10),
    "parts beyond bound": ([Snapshot(12, 0, 2**40, [2])], LeaveReason.BROKEN_SNAPSHOT, {1}, 10),
    "zero parts": ([Snapshot(12, 0, 0, [2])], LeaveReason.BROKEN_SNAPSHOT, {1}, 10),
    "stale quorum": ([Heartbeat(10, 2000, 0)], LeaveReason.STALE_QUORUM, {1}, 10),
    "refusal": ([Reject("stale-replica", "", 1000)], LeaveReason.REJECTED, {1}, 10),
    "replaced": ([Reject(REPLACED_KIND, "", 0)], LeaveReason.REPLACED, {1}, 10),
}


def with_services(message, builders):
    """Put the services in place of their IDs in the table above."""
    match message:
        case Delta():
            upserts = [builders.service(each) for each in message.upserts]
            return Delta(message.base_revision, message.revision, upserts, [])
        case Snapshot():
            entries = [builders.service(each) for each in message.entries]
            return Snapshot(message.revision, message.part, message.parts, entries)
    return message


@pytest.mark.parametrize(
    ("messages", "reason", "services", "revision"), FAULTS.values(), ids=FAULTS.keys()
)
def test_faults(builders, core, messages, reason, services, revision) -> None:
    effects = []
    for message in messages:
        effects += core.message(with_services(message, builders), 0.1)
    assert leave_reason(effects) is reason
    assert {each.service_id for each in core.table.services()} == services
    assert core.table.revision == revision


def test_parts_of_a_snapshot_do_not_outlive_the_connection(builders, core) -> None:
    core.message(Snapshot(12, 0, 2, [builders.service(2)]), 0.1)
    core.disconnected(0.2)
    connect(core, 1.0)
    assert leave_reason(core.message(Snapshot(12, 1, 2, [builders.service(3)]), 1.1)) is not None
    assert core.table.revision == 10


def test_a_refusal_names_when_that_replica_may_be_tried_again(core) -> None:
    refusing = core.replica
    core.message(Reject("too-many-subscribers", "", 30_000), 0.0)
    now, tried = 0.0, []
    while now < 29.9:
        for effect in core.tick(now):
            tried.append(effect.endpoint)
            core.disconnected(now)
        now += 0.05
    assert len(set(tried)) == 1
    assert refusing not in tried
    assert core.next_deadline() > now - 6


def test_a_replaced_agent_loses_its_rights_and_does_not_come_back(core) -> None:
    core.message(Heartbeat(10, 0, 5), 0.1)
    assert core.incarnation == 5
    assert core.fresh(0.1)
    effects = core.message(Reject(REPLACED_KIND, "newer boot", 0), 0.2)
    assert [type(each) for each in effects] == [Replaced, Disconnect]
    assert core.incarnation == 0
    assert not core.fresh(0.2)
    assert core.tick(100.0) == []
    assert core.phase is FollowerPhase.REPLACED


def test_a_resumed_process_does_not_treat_buffered_heartbeats_as_current(core) -> None:
    core.message(Heartbeat(10, 0, 5), 0.1)
    assert core.fresh(2.0)
    effects = core.message(Heartbeat(10, 0, 5), 60.0)
    assert leave_reason(effects) is LeaveReason.SILENT
    assert not core.fresh(60.0)
    (send,) = connect(core, 61.0)
    assert (send.message.revision, send.message.incarnation) == (10, 5)


def test_a_table_is_fresh_only_once_it_has_the_replicas_revision(builders, core) -> None:
    core.message(Heartbeat(11, 100, 0), 1.0)
    assert not core.fresh(1.0)
    core.message(Delta(10, 11, [builders.service(2)], []), 1.2)
    assert core.fresh(1.2)
    assert core.freshness_age(1.2) == pytest.approx(0.3)
    assert not core.fresh(3.0)


def test_acknowledgements_carry_health_and_follow_the_interval(core) -> None:
    core.message(Heartbeat(10, 0, 0), 0.1)
    core.healthy, core.open_flows = False, 12
    assert core.tick(0.49) == []
    assert core.tick(0.5) == [Send(Acknowledge(10, healthy=False, open_flows=12))]
    assert core.next_deadline() == pytest.approx(1.0)


def test_a_connection_that_never_stands_is_given_up(core) -> None:
    core.disconnected(1.0)
    (effect,) = core.tick(2.0)
    assert core.tick(3.9) == []
    assert leave_reason(core.tick(4.0)) is LeaveReason.CONNECT_TIMEOUT
    assert core.connected(effect.endpoint, 4.1) == []


def test_services_may_swap_listeners_within_one_update(builders, core) -> None:
    core.message(Delta(10, 11, [builders.service(2)], []), 0.1)
    swapped = [
        msgspec.structs.replace(builders.service(2), listener=builders.service(1).listener),
        msgspec.structs.replace(builders.service(1), listener=builders.service(2).listener),
    ]
    core.message(Delta(11, 12, swapped, []), 0.2)
    found = [core.table.service_at(builders.service(each).listener) for each in (1, 2)]
    assert found == swapped


def tried_until(core, now, end, refused) -> list:
    """Fail every attempt at a `refused` replica; return all tried up to the first other one."""
    tried = []
    while now < end:
        for effect in core.tick(now):
            tried.append(effect.endpoint)
            if effect.endpoint not in refused:
                return tried
            core.disconnected(now)
        now += 0.05
    return tried


def test_a_follower_finds_control_after_every_configured_replica_was_replaced(
    builders, core
) -> None:
    configured, present = (
        [builders.address(200), builders.address(201)],
        [builders.address(202), builders.address(203)],
    )
    core.message(ReplicaEndpoints(11, present), 0.1)
    core.message(ReplicaEndpoints(10, configured), 0.1)
    core.disconnected(1.0)
    tried = tried_until(core, 1.0, 30.0, refused=configured)
    assert len(tried) == 1
    assert tried[0] in present


def test_configured_replicas_are_tried_when_the_learned_ones_stay_away(builders, core) -> None:
    configured, learned = [builders.address(200), builders.address(201)], [builders.address(202)]
    core.message(ReplicaEndpoints(11, learned), 0.1)
    core.message(ReplicaEndpoints(12, []), 0.1)
    core.disconnected(1.0)
    tried = tried_until(core, 1.0, 60.0, refused=learned)
    assert tried[:-1] == learned * 3
    assert tried[-1] in configured


def test_a_follower_stays_with_a_replica_that_is_not_listed_any_more(builders, core) -> None:
    following = core.replica
    assert core.message(ReplicaEndpoints(11, [builders.address(202)]), 0.1) == []
    core.message(Heartbeat(10, 0, 0), 0.2)
    assert core.replica == following


def test_a_replica_that_regains_its_quorum_soon_is_kept(core) -> None:
    core.message(Heartbeat(10, 0, 0), 0.1)
    for now in (1.0, 1.9, 2.05):
        assert leave_reason(core.message(Heartbeat(10, round(1000 * (now - 0.1)), 0), now)) is None
    assert leave_reason(core.tick(2.11)) is None
    assert not core.fresh(2.11)
    assert leave_reason(core.message(Heartbeat(10, 0, 0), 2.12)) is None
    assert core.fresh(2.12)


def test_a_replica_without_its_quorum_is_left_within_the_spread(core) -> None:
    core.message(Heartbeat(10, 0, 0), 0.1)
    effects = []
    for step in range(1, 32):
        now = 0.1 + step / 10
        effects += core.message(Heartbeat(10, 100 * step, 0), now)
    assert leave_reason(effects) is LeaveReason.STALE_QUORUM


def test_attempts_become_rarer_and_time_outs_longer_while_no_replica_answers(core) -> None:
    core.disconnected(0.0)
    now, tried_at, waited = 0.0, [], []
    while now < 120.0:
        for effect in core.tick(now):
            if isinstance(effect, Connect):
                tried_at.append(now)
            else:
                waited.append(now - tried_at[-1])
        now += 0.05
    assert waited[0] == pytest.approx(2.0, abs=0.1)
    assert waited[-1] == pytest.approx(8.0, abs=0.1)
    assert len(tried_at) < 20
