import random

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.routing.rendezvous import WeightedMember, choose_pair, prepare

SEED = 20_261_202
FLOW_COUNT = 20_000


def make_members(weights):
    return [
        WeightedMember(Endpoint(f"127.0.0.{index + 1}", 7000), weight)
        for index, weight in enumerate(weights)
    ]


def make_flow_keys(count=FLOW_COUNT):
    print(f"seed {SEED}")
    source = random.Random(SEED)
    return [source.randbytes(8) for _ in range(count)]


@pytest.mark.parametrize("weights", [[1.0] * 7, [100, 50, 25, 25], [1, 999]])
def test_shares_are_proportional_to_weights(weights):
    members = make_members(weights)
    prepared_members = prepare(members)
    counts = dict.fromkeys((member.address for member in members), 0)
    for key in make_flow_keys():
        counts[choose_pair(prepared_members, key).first.address] += 1
    for member in members:
        share = member.weight / sum(weights)
        # Five standard deviations of a binomial count.
        bound = 5 * (FLOW_COUNT * share * (1 - share)) ** 0.5
        assert abs(counts[member.address] - FLOW_COUNT * share) <= bound


def test_a_member_that_leaves_moves_only_its_flows_and_to_their_second_choice():
    members = make_members([100, 200, 100, 50, 100])
    leaving = members[1]
    before = prepare(members)
    after = prepare([member for member in members if member is not leaving])
    moved = 0
    for key in make_flow_keys(4000):
        old = choose_pair(before, key)
        new = choose_pair(after, key)
        if old.first.address == leaving.address:
            moved += 1
            assert new.first.address == old.second.address
        else:
            assert new.first.address == old.first.address
    assert moved > 0


def test_the_order_of_members_does_not_matter():
    members = make_members([3, 1, 4, 1, 5, 9])
    shuffled = members[:]
    random.Random(SEED).shuffle(shuffled)
    assert prepare(members) == prepare(shuffled)


def test_a_changed_weight_moves_flows_only_to_or_from_its_member():
    heavier = make_members([100, 100, 150])
    before, after = prepare(make_members([100, 100, 100])), prepare(heavier)
    for key in make_flow_keys(4000):
        old, new = choose_pair(before, key).first, choose_pair(after, key).first
        assert new.address in (old.address, heavier[2].address)


def test_small_pools():
    assert choose_pair(prepare([]), b"key") is None
    alone = choose_pair(prepare(make_members([1])), b"key")
    assert alone.first.address == Endpoint("127.0.0.1", 7000)
    assert alone.second is None
