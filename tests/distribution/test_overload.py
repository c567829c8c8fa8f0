"""A fleet that lost its replicas for a while recovers by itself, although joining costs time.

The failure: all followers join again at once, the replicas are too busy to keep their quorum, and
the followers leave them again. Every replica has one processor, on which the work for its
subscribers is queued, as on an event loop. A quorum holds while two of three replicas answer within
an election time-out.
"""

from __future__ import annotations

from collections import deque

import pytest

from jasperwalk.distribution.publisher_events import PublisherConfig
from jasperwalk.messages.distribution import SubscriberRole

FOLLOWERS = 240
JOIN_SECONDS = 0.03
"""Processor time of a subscriber's join: the fleet costs as much as 6,000 at 1.2 ms each."""
MESSAGE_SECONDS = 0.0005
STEP_SECONDS = 0.02
ELECTION_SECONDS = 0.9
QUORUM = 2
SETTLE_SECONDS = 6.0
MAX_RETURN_SECONDS = 20.0
MAX_MOVE_SECONDS = 5.0


def loaded_fleet(builders, seed: int):
    class LoadedFleet(builders.SimulatedFleet):
        """A fleet whose replicas spend processor time on their subscribers."""

        def __init__(self) -> None:
            super().__init__(seed, 3, PublisherConfig(snapshot_part_entries=8))
            self.delivery_chance = 1.0
            self.waiting = {each.endpoint: deque() for each in self.replicas}
            self.spent = {each.endpoint: 0.0 for each in self.replicas}
            self.elected_at = self.now
            self.joins = 0
            self.cut_off = None

        def complete_connection(self, follower, now: float) -> None:
            link = follower.link
            self.waiting[link.replica.endpoint].append((now, link, follower))

        def deliver_to_replica(self, link, message) -> None:
            self.waiting[link.replica.endpoint].append((self.now, link, message))

        def step(self) -> None:
            for replica in self.replicas:
                self.work(replica)
            self.follow_quorum()
            super().step()

        def work(self, replica) -> None:
            self.spent[replica.endpoint] -= STEP_SECONDS
            self.spent[replica.endpoint] = max(self.spent[replica.endpoint], -STEP_SECONDS)
            waiting = self.waiting[replica.endpoint]
            while waiting and self.spent[replica.endpoint] < 0:
                _, link, work = waiting.popleft()
                is_join = isinstance(work, type(self.followers[0]))
                self.joins += is_join
                self.spent[replica.endpoint] += JOIN_SECONDS if is_join else MESSAGE_SECONDS
                if link.number not in replica.links:
                    continue
                if is_join:
                    super().complete_connection(work, self.now)
                else:
                    super().deliver_to_replica(link, work)

        def lag(self, replica) -> float:
            waiting = self.waiting[replica.endpoint]
            return self.now - waiting[0][0] if waiting else 0.0

        def follow_quorum(self) -> None:
            responsive = [each for each in self.replicas if self.lag(each) < ELECTION_SECONDS]
            if len(responsive) < QUORUM:
                # An election takes one to two time-outs once the replicas answer again.
                self.elected_at = self.now + 1.5 * ELECTION_SECONDS
            for replica in self.replicas:
                holds = replica in responsive and self.now >= self.elected_at
                holds = holds and replica is not self.cut_off
                if holds:
                    replica.cut_off_since = None
                elif replica.cut_off_since is None:
                    replica.cut_off_since = self.now

    return LoadedFleet()


def fresh_count(fleet) -> int:
    return sum(each.core.fresh(fleet.now) for each in fleet.followers)


def joined_fleet(builders, seed: int):
    """Return a fleet whose followers have all joined, one after the other, and are fresh."""
    fleet = loaded_fleet(builders, seed)
    fleet.log.upsert(builders.service(1))
    for replica in fleet.replicas:
        replica.apply_to(1, fleet.now)
    for number in range(FOLLOWERS):
        fleet.add_follower(f"b{number}", SubscriberRole.BALANCER, builders.address(number))
        fleet.run(STEP_SECONDS)
    fleet.run(SETTLE_SECONDS)
    assert fresh_count(fleet) == FOLLOWERS
    fleet.joins = 0
    return fleet


@pytest.mark.parametrize(("outage_seconds", "most_joins"), [(2.5, 360), (8.0, 2400)])
def test_a_fleet_comes_back_after_an_outage_of_control(
    builders, outage_seconds, most_joins
) -> None:
    fleet = joined_fleet(builders, seed=1)
    fleet.elected_at = fleet.now + outage_seconds
    fleet.run(outage_seconds)
    began = fleet.now
    while fresh_count(fleet) < FOLLOWERS and fleet.now - began < MAX_RETURN_SECONDS:
        fleet.run(0.5)
    print(f"back {fleet.now - began:.1f} s after {outage_seconds} s, {fleet.joins} joins")
    assert fresh_count(fleet) == FOLLOWERS
    assert fleet.joins <= most_joins


def test_subscribers_of_a_cut_off_replica_are_on_a_fresh_one_within_seconds(builders) -> None:
    fleet = joined_fleet(builders, seed=2)
    cut_off, began = fleet.replicas[0], fleet.now
    fleet.cut_off = cut_off
    affected = [each for each in fleet.followers if each.link.replica is cut_off]
    moved: dict[str, float] = {}
    while fleet.now - began < MAX_MOVE_SECONDS:
        fleet.step()
        for each in affected:
            elsewhere = each.link is not None and each.link.replica is not cut_off
            if elsewhere and each.core.fresh(fleet.now):
                moved.setdefault(each.core.facts.name, fleet.now - began)
    times = sorted(moved.values())
    assert len(times) == len(affected) > FOLLOWERS // 5
    print(f"moved after p50 {times[len(times) // 2]:.2f} s, longest {times[-1]:.2f} s")
