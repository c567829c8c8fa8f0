"""Followers converge on the newest table despite stale publishers, cut-offs and lost links."""

import pytest

from jasperwalk.config.table_entries import (
    FleetKeyKey,
    KeyPurpose,
    MemberEntry,
    MemberKey,
    ServiceKey,
)
from jasperwalk.distribution.follower_events import LeaveReason
from jasperwalk.messages.distribution import SubscriberRole

BALANCER = SubscriberRole.BALANCER
AGENT = SubscriberRole.AGENT


def change_something(fleet, builders) -> None:
    """Append one random change that alters the table."""
    draw = fleet.random
    state = fleet.log.states[-1]
    kind = draw.random()
    if kind < 0.1:
        name, port = str(draw.random()), draw.choice(builders.PORTS)
        fleet.log.upsert(builders.service(draw.randint(1, 3), name, port))
    elif kind < 0.15 and ServiceKey(3) in state:
        fleet.log.remove(ServiceKey(3))
    elif kind < 0.25:
        rotation = draw.randint(0, 4)
        key = FleetKeyKey(KeyPurpose.TICKET, rotation)
        fleet.log.remove(key) if key in state else fleet.log.upsert(builders.fleet_key(rotation))
    elif kind < 0.4 and any(isinstance(each, MemberEntry) for each in state.values()):
        members = [key for key in state if isinstance(key, MemberKey)]
        fleet.log.remove(draw.choice(members))
    else:
        moved = builders.member(draw.randint(1, 9), draw.randint(1, 3), draw.randint(1, 10**9))
        fleet.log.upsert(moved)


def converged(fleet, follower) -> bool:
    revision = len(fleet.log.changes)
    return (
        follower.core.table.revision == revision
        and set(follower.core.table.entries()) == fleet.log.scoped(revision, follower.core.facts)
        and follower.core.fresh(fleet.now)
    )


@pytest.mark.parametrize("seed", range(12))
def test_revisions_never_go_back_and_all_converge(builders, seed: int) -> None:
    print(f"seed {seed}")
    fleet = builders.SimulatedFleet(seed, replicas=3)
    for number in range(1, 5):
        fleet.add_follower(f"b{number}", BALANCER, builders.address(100 + number))
        fleet.add_follower(f"a{number}", AGENT, builders.address(number))
    for _ in range(600):
        inject_faults(fleet, builders)
        fleet.step()
    for replica in fleet.replicas:
        replica.cut_off_since = None
        replica.apply_to(len(fleet.log.changes), fleet.now)
    fleet.run(15)
    assert len(fleet.log.changes) > 150
    assert max(len(follower.connects) for follower in fleet.followers) > 2
    assert [each.core.facts.name for each in fleet.followers if not converged(fleet, each)] == []


def inject_faults(fleet, builders) -> None:
    """Change the log, advance replicas unevenly, cut replicas off, drop links."""
    draw = fleet.random
    if draw.random() < 0.4:
        change_something(fleet, builders)
    replica = draw.choice(fleet.replicas)
    if replica.cut_off_since is None and draw.random() < 0.5:
        replica.apply_to(draw.randint(replica.table.revision, len(fleet.log.changes)), fleet.now)
    if draw.random() < 0.01:
        cut_off = replica.cut_off_since is not None
        replica.cut_off_since = None if cut_off else fleet.now
    if draw.random() < 0.02:
        follower = draw.choice(fleet.followers)
        follower.drop_link()
        follower.perform(follower.core.disconnected(fleet.now), fleet.now)


@pytest.mark.parametrize("role", [BALANCER, AGENT])
@pytest.mark.parametrize("missed", [1, 300])
def test_a_follower_that_was_away_catches_up(builders, role: SubscriberRole, missed: int) -> None:
    fleet = builders.SimulatedFleet(5, replicas=1)
    follower = fleet.add_follower("f", role, builders.address(1))
    fleet.log.upsert(builders.service(1))
    fleet.log.upsert(builders.member(1, 1))
    fleet.replicas[0].apply_to(2, fleet.now)
    fleet.run(1)
    assert converged(fleet, follower)
    follower.drop_link()
    follower.perform(follower.core.disconnected(fleet.now), fleet.now)
    for _ in range(missed):
        change_something(fleet, builders)
        fleet.replicas[0].apply_to(len(fleet.log.changes), fleet.now)
    fleet.run(2)
    assert converged(fleet, follower)
    assert len(follower.revisions) <= 5


@pytest.mark.parametrize("fault", ["cut off", "behind", "silent"])
def test_a_follower_leaves_a_bad_replica_for_a_good_one(builders, fault: str) -> None:
    fleet = builders.SimulatedFleet(1, replicas=2)
    follower = fleet.add_follower("f", BALANCER, builders.address(100))
    fleet.log.upsert(builders.service(1))
    for replica in fleet.replicas:
        replica.apply_to(1, fleet.now)
    fleet.run(1)
    bad = follower.link.replica
    good = next(replica for replica in fleet.replicas if replica is not bad)
    if fault == "cut off":
        bad.cut_off_since = fleet.now
    elif fault == "silent":
        bad.tick = lambda now: None
    else:
        fleet.log.upsert(builders.service(2))
        good.apply_to(2, fleet.now)
        follower.core.table.update(2, [builders.service(2)], [])
    fleet.run(1.5)
    assert follower.link.replica is bad, "left before the limit"
    fleet.run(2)
    assert follower.link.replica is good
    expected = {
        "cut off": LeaveReason.STALE_QUORUM,
        "behind": LeaveReason.BEHIND,
        "silent": LeaveReason.SILENT,
    }
    assert follower.reasons == [expected[fault]]
    assert follower.core.fresh(fleet.now)


def test_without_a_quorum_followers_keep_their_table_and_back_off(builders) -> None:
    fleet = builders.SimulatedFleet(2, replicas=2)
    follower = fleet.add_follower("f", BALANCER, builders.address(100))
    fleet.log.upsert(builders.service(1))
    for replica in fleet.replicas:
        replica.apply_to(1, fleet.now)
    fleet.run(1)
    for replica in fleet.replicas:
        replica.cut_off_since = fleet.now
    fleet.run(60)
    assert not follower.core.fresh(fleet.now)
    assert set(follower.core.table.entries()) == {builders.service(1)}
    assert 3 <= len(follower.connects) <= 60
    for replica in fleet.replicas:
        replica.cut_off_since = None
    fleet.run(8)
    assert follower.core.fresh(fleet.now)
