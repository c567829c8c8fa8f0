"""Fair shares of a host between groups: a burst of one group, weights, groups that come and go."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasperwalk.scheduling.fair_shares import (
    HALF_LIFE_SECONDS,
    MAX_GROUPS,
    MIN_REQUEST_SECONDS,
    RESCALE_HALF_LIVES,
    FairShares,
)
from tests.scheduling.burst_replay import SERVICE_SECONDS, FirstGroup, Replay

BURSTING, CALM = 1, (2, 3, 4)
GROUPS = (BURSTING, *CALM)
ONE_HOST, SEVERAL_HOSTS = (1, 4), (12, 2)
"""Number of hosts, and slots of each."""
CALM_SHARE = 0.2
"""Part of the hosts' time that each group needs outside a burst."""

SEEDS = range(6)


def rates(hosts, slots, share=CALM_SHARE):
    return dict.fromkeys(GROUPS, share * hosts * slots / SERVICE_SECONDS)


def served(simulations, groups):
    """Return the part of these groups' requests that was answered in time, in all simulations."""
    came = sum(each.came[group] for each in simulations for group in groups)
    return sum(each.in_time[group] for each in simulations for group in groups) / came


def simulate(make_shares, size, burst, seed):
    hosts, slots = size
    return Replay(make_shares, rates(hosts, slots), burst, hosts, slots, seed).run()


# A burst


@pytest.mark.parametrize("size", [ONE_HOST, SEVERAL_HOSTS])
@pytest.mark.parametrize("times", [4.0, 6.0])
def test_a_burst_of_one_group_does_not_affect_the_others(size, times):
    burst = {BURSTING: times}
    without = [simulate(FirstGroup, size, burst, seed) for seed in SEEDS]
    fair = [simulate(FairShares, size, burst, seed) for seed in SEEDS]
    assert served(without, CALM) < 0.75
    assert served(fair, CALM) > 0.94


@pytest.mark.parametrize("size", [ONE_HOST, SEVERAL_HOSTS])
def test_throughput_is_the_same_as_without_shares(size):
    burst = {BURSTING: 5.0}
    fair = simulate(FairShares, size, burst, 1)
    without = simulate(FirstGroup, size, burst, 1)
    assert fair.started.total() >= 0.98 * without.started.total()


def test_capacity_that_others_leave_goes_to_the_group_with_the_burst():
    hosts, slots = ONE_HOST
    fair = simulate(FairShares, ONE_HOST, {BURSTING: 8.0}, 1)
    left = (1.0 - len(CALM) * CALM_SHARE) * hosts * slots / SERVICE_SECONDS
    assert fair.started[BURSTING] > 0.85 * left * 4.0


@pytest.mark.parametrize("size", [ONE_HOST, SEVERAL_HOSTS])
def test_a_burst_of_all_groups_affects_all_equally(size):
    fair = simulate(FairShares, size, dict.fromkeys(GROUPS, 3.0), 1)
    in_time = [served([fair], [group]) for group in GROUPS]
    assert max(in_time) - min(in_time) < 0.1


def test_agents_that_restart_are_fair_again_at_once():
    class RestartingShares(FairShares):
        """Shares of an agent that is restarted now and then."""

        def record_served(self, group, seconds, now):
            if random.Random(f"{now}").random() < 0.02:
                self.__init__()
            super().record_served(group, seconds, now)

    assert served([simulate(RestartingShares, SEVERAL_HOSTS, {BURSTING: 5.0}, 1)], CALM) > 0.9


def test_weights_divide_a_host_that_all_groups_overload():
    burst = dict.fromkeys(GROUPS, 15.0)
    played = simulate(lambda: FairShares({BURSTING: 3.0}), ONE_HOST, burst, 1)
    assert played.started[BURSTING] / played.started.total() == pytest.approx(0.5, abs=0.05)
    for group in CALM:
        assert played.started[group] / played.started.total() == pytest.approx(1 / 6, abs=0.04)


# Which group is served


def test_a_single_group_is_always_served():
    shares = FairShares()
    for step in range(1000):
        assert shares.group_to_serve([7], 0.01 * step) == 7
        shares.record_served(7, 1.0, 0.01 * step)


def test_on_a_tie_groups_are_served_in_the_order_given():
    shares = FairShares()
    assert shares.group_to_serve([3, 1, 2], 5.0) == 3
    shares.record_served(3, 0.05, 5.0)
    assert shares.group_to_serve([3, 1, 2], 5.0) == 1


def test_use_is_counted_in_service_time_and_not_in_requests():
    shares = FairShares()
    shares.record_served(1, 0.5, 1.0)
    for _ in range(4):
        shares.record_served(2, 0.1, 1.0)
    assert shares.group_to_serve([1, 2], 1.0) == 2


def test_use_counts_half_after_a_half_life():
    shares = FairShares()
    shares.record_served(1, 0.4, 1.0)
    shares.record_served(2, 0.21, 1.0 + HALF_LIFE_SECONDS)
    assert shares.group_to_serve([2, 1], 1.0 + HALF_LIFE_SECONDS) == 1
    shares.record_served(1, 0.02, 1.0 + HALF_LIFE_SECONDS)
    assert shares.group_to_serve([2, 1], 1.0 + HALF_LIFE_SECONDS) == 2


@pytest.mark.parametrize("idle_seconds", [20, 2000, 2_000_000])
def test_use_of_long_ago_does_not_count(idle_seconds):
    shares = FairShares()
    shares.record_served(1, 5.0, 1.0)
    assert shares.group_to_serve([1, 2], 1.0) == 2
    assert shares.group_to_serve([1, 2], 1.0 + idle_seconds) == 1


def test_an_idle_group_accumulates_no_credit():
    def turns_of_one_that_was_idle(idle_seconds):
        shares = FairShares()
        steps = round(idle_seconds / SERVICE_SECONDS)
        for step in range(steps):
            shares.record_served(1, SERVICE_SECONDS, SERVICE_SECONDS * step)
        turns = 0
        while shares.group_to_serve([1, 2], SERVICE_SECONDS * (steps + turns)) == 2:
            shares.record_served(2, SERVICE_SECONDS, SERVICE_SECONDS * (steps + turns))
            turns += 1
        return turns

    for idle_seconds in (5, 50, 500):
        in_a_row = turns_of_one_that_was_idle(idle_seconds) * SERVICE_SECONDS
        assert in_a_row <= HALF_LIFE_SECONDS + 2 * SERVICE_SECONDS


def test_use_is_the_same_however_long_the_process_runs():
    early, late = FairShares(), FairShares()
    late.record_served(9, 1.0, 0.0)
    source = random.Random(1)
    started_at = 3.7 * RESCALE_HALF_LIVES * HALF_LIFE_SECONDS
    for step in range(3000):
        group, now = source.randrange(4), 0.1 * step
        early.record_served(group, 0.1, now)
        late.record_served(group, 0.1, started_at + now)
        order = [0, 1, 2, 3]
        assert early.group_to_serve(order, now) == late.group_to_serve(order, started_at + now)


def test_a_clock_that_steps_back_does_no_harm():
    shares = FairShares()
    shares.record_served(1, 0.1, 1e6)
    shares.record_served(2, 0.1, 0.0)
    assert shares.group_to_serve([1, 2], 0.0) == 2


@pytest.mark.parametrize("seconds", [0.0, -1.0])
def test_requests_that_are_expected_to_take_no_time_have_a_cost(seconds):
    shares = FairShares()
    shares.record_served(2, 50 * MIN_REQUEST_SECONDS, 1.0)
    for _ in range(51):
        shares.record_served(1, seconds, 1.0)
    assert shares.group_to_serve([1, 2], 1.0) == 2


# Which group's request is shed


def test_a_group_with_a_burst_loses_its_own_requests_first():
    shares = FairShares()
    assert shares.group_to_shed({2: 1, 1: 20, 3: 2}, 1.0) == 1
    shares.record_served(2, 5.0, 1.0)
    assert shares.group_to_shed({2: 1, 1: 20, 3: 2}, 1.0) == 1


def test_the_only_group_loses_its_own():
    assert FairShares().group_to_shed({5: 9}, 1.0) == 5


def test_places_are_divided_by_weight():
    shares = FairShares({1: 3.0})
    assert shares.group_to_shed({1: 11, 2: 5}, 1.0) == 2
    assert shares.group_to_shed({1: 14, 2: 4}, 1.0) == 1


def test_places_that_a_group_does_not_fill_are_divided_among_the_others():
    assert FairShares({1: 3.0}).group_to_shed({1: 12, 2: 5, 3: 1}, 1.0) == 2


def test_the_last_request_of_a_light_group_stays_while_another_has_more_excess():
    assert FairShares({1: 0.1}).group_to_shed({1: 1, 2: 9}, 1.0) == 2


def test_on_a_tie_the_group_that_used_more_loses_its_request():
    shares = FairShares()
    assert shares.group_to_shed({2: 4, 1: 4}, 1.0) == 2
    shares.record_served(1, 0.1, 1.0)
    assert shares.group_to_shed({2: 4, 1: 4}, 1.0) == 1


@given(
    waiting=st.dictionaries(st.integers(0, 30), st.integers(1, 40), min_size=1),
    weights=st.dictionaries(st.integers(0, 30), st.floats(0.001, 1000.0)),
)
def test_no_group_within_its_share_by_weight_loses_a_request(waiting, weights):
    over = FairShares(weights).group_to_shed(waiting, 1.0)
    places = sum(waiting.values()) - 1
    total_weight = sum(weights.get(group, 1.0) for group in waiting)
    equal_share = places * weights.get(over, 1.0) / total_weight
    assert waiting[over] > equal_share * (1 - 1e-9)


# Groups that come and go


def test_a_group_that_is_gone_takes_nothing():
    with_gone, without = FairShares(), FairShares()
    with_gone.record_served(9, 0.001, 0.0)
    for step in range(200):
        now = 0.05 * step
        turn = without.group_to_serve([1, 2], now)
        assert with_gone.group_to_serve([1, 2], now) == turn
        without.record_served(turn, 0.05, now)
        with_gone.record_served(turn, 0.05, now)


def test_a_group_that_comes_back_after_an_outage_shares_from_then_on():
    shares = FairShares()
    for step in range(400):
        shares.record_served(1, 0.05, 0.05 * step)
    turns = []
    for step in range(400, 800):
        turns.append(shares.group_to_serve([1, 2], 0.05 * step))
        shares.record_served(turns[-1], 0.05, 0.05 * step)
    assert turns[100:].count(1) == pytest.approx(150, abs=2)


def test_thousands_of_groups_are_remembered_up_to_a_bound():
    shares = FairShares()
    for step in range(20 * MAX_GROUPS):
        shares.record_served(step, 0.05, 0.001 * step)
        assert len(shares) <= MAX_GROUPS


def test_the_group_that_was_served_least_recently_is_forgotten():
    shares = FairShares()
    shares.record_served(1, 0.05, 0.0)
    shares.record_served(2, 0.05, 0.0)
    shares.record_served(1, 0.05, 0.0)
    for group in range(10, 9 + MAX_GROUPS):
        shares.record_served(group, 0.05, 0.0)
    assert shares.group_to_serve([1, 2], 0.0) == 2
    assert shares.group_to_serve([10, 1], 0.0) == 10
