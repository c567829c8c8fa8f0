"""How a balancer weighs agents by their hosts' reported service times."""

import random

import pytest

from jasperwalk.fleet.host_slowdowns import (
    FULL_WEIGHT_SECONDS,
    MAX_KINDS,
    MAX_SAMPLE_AGE_SECONDS,
    MAX_SLOW_SHARE,
    MAX_SLOWDOWN,
    MAX_SLOWDOWN_AGE_SECONDS,
    MIN_SAMPLES,
    MIN_SLOWDOWN,
    TYPICAL_RATIO,
    HostSlowdowns,
    bounded_slowdown,
    slowdown_at_age,
)
from jasperwalk.fleet.messages import FleetUpdate
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.service_time import (
    MAX_SERVICE_TIME_CODE,
    UNKNOWN_SERVICE_TIME,
    encode_service_time,
)
from tests.balancer.datagrams.support import SEED, address_of, record
from tests.flows.support import LISTENER

HOSTS = 8
TYPICAL = 0.05
KIND = LISTENER.pack()
OTHER_KIND = b"other!"


class Harness:
    """A balancer's agents, all but the first with typical service times."""

    def __init__(self, weighs_slowdown=True, hosts=HOSTS):
        self.pool = TargetPool("a", random.Random(SEED), weighs_slowdown=weighs_slowdown)
        records = [record(number + 1) for number in range(hosts)]
        self.pool.update(FleetUpdate(True, records, []), 0.0)

    def target(self, number):
        endpoint = address_of(number)
        return self.pool.at((endpoint.host, endpoint.port))

    def report(self, number, seconds, now=1.0, kind=KIND):
        self.pool.record_service_time(self.target(number), kind, encode_service_time(seconds), now)

    def report_typical(self, now=0.8, numbers=range(2, HOSTS + 1)):
        for number in numbers:
            self.report(number, TYPICAL, now)

    def chosen(self, count=200, now=1.0, loads=None):
        source = random.Random(3)
        names = []
        for _ in range(count):
            for number in range(1, HOSTS + 1):
                load = source.random() if loads is None else loads
                self.target(number).record_load(load, now)
            names.append(self.pool.choose("web", source.randbytes(12), (), now).record.name)
        return names


def test_a_slow_host_is_not_chosen_while_others_have_capacity():
    harness = Harness()
    harness.report_typical()
    harness.report(1, 8 * TYPICAL)
    assert "agent-1" not in harness.chosen()


def test_a_slow_host_is_chosen_where_others_are_far_busier():
    harness = Harness()
    harness.report_typical()
    harness.report(1, 8 * TYPICAL)
    for number in range(2, HOSTS + 1):
        harness.target(number).record_load(4 * MAX_SLOWDOWN, 1.0)
    assert harness.pool.choose("web", b"key", (), 1.0).record.name == "agent-1"


def test_a_fast_host_gets_more():
    harness = Harness()
    harness.report_typical()
    harness.report(1, TYPICAL / 3)
    assert harness.chosen().count("agent-1") > 200 / HOSTS * 2


@pytest.mark.parametrize("ratio", [1.0, 1.4, 1 / 1.4])
def test_small_differences_change_no_choice(ratio):
    assert max(ratio, 1 / ratio) < TYPICAL_RATIO
    plain, weighed = Harness(weighs_slowdown=False), Harness()
    for harness in (plain, weighed):
        harness.report_typical()
        harness.report(1, ratio * TYPICAL)
    assert plain.chosen(1000) == weighed.chosen(1000)


def test_switched_off_nothing_is_weighed():
    plain, reported = Harness(weighs_slowdown=False), Harness(weighs_slowdown=False)
    reported.report_typical()
    reported.report(1, 100 * TYPICAL)
    assert plain.chosen() == reported.chosen()


def test_agents_that_report_nothing_are_chosen_as_before():
    plain, silent = Harness(weighs_slowdown=False), Harness()
    for number in range(1, HOSTS + 1):
        silent.pool.record_service_time(silent.target(number), KIND, UNKNOWN_SERVICE_TIME, 1.0)
    assert plain.chosen() == silent.chosen()


@pytest.mark.parametrize(
    ("code", "bound"),
    [(MAX_SERVICE_TIME_CODE, MAX_SLOWDOWN), (1, MIN_SLOWDOWN)],
    ids=["slow", "fast"],
)
def test_a_wrong_service_time_changes_the_cost_by_a_bounded_factor_and_ages(code, bound):
    harness = Harness()
    harness.report_typical()
    target = harness.target(1)
    harness.pool.record_service_time(target, KIND, code, 1.0)
    target.record_load(2.0, 1.0)
    load = target.relative_load(1.0)
    assert target.expected_wait(1.0) + 1.0 == pytest.approx(bound * (load + 1.0))
    old = 1.0 + MAX_SLOWDOWN_AGE_SECONDS
    assert target.expected_wait(old) == target.relative_load(old)


def test_a_slowdown_counts_less_with_age():
    weights = [
        slowdown_at_age(4.0, age)
        for age in (0.0, FULL_WEIGHT_SECONDS, 1.5, MAX_SLOWDOWN_AGE_SECONDS, 99.0)
    ]
    assert weights == pytest.approx([4.0, 4.0, 2.0, 1.0, 1.0])


@pytest.mark.parametrize("ratio", [0.0, 1e-9, 0.5, 1.0, 1.5, 4.0, 1e9])
def test_every_ratio_gives_a_bounded_factor(ratio):
    assert MIN_SLOWDOWN <= bounded_slowdown(ratio) <= MAX_SLOWDOWN


def test_where_too_many_hosts_are_slow_none_counts_as_such():
    slow = range(1, 2 + round(MAX_SLOW_SHARE * HOSTS))
    harness, plain = Harness(), Harness(weighs_slowdown=False)
    for _ in range(MIN_SAMPLES):
        harness.report_typical(numbers=range(max(slow) + 1, HOSTS + 1))
    for number in slow:
        harness.report(number, 8 * TYPICAL)
    assert all(harness.target(number).slowdown == MAX_SLOWDOWN for number in slow)
    assert harness.chosen() == plain.chosen()


def test_kinds_are_compared_each_with_itself():
    harness = Harness()
    for number in range(1, HOSTS + 1):
        harness.report(number, TYPICAL)
    for number in range(1, HOSTS + 1):
        harness.report(number, 20 * TYPICAL, 1.2, OTHER_KIND)
    assert {harness.target(number).slowdown for number in range(1, HOSTS + 1)} == {1.0}


def test_nothing_is_compared_with_few_or_old_samples():
    slowdowns = HostSlowdowns()
    for number in range(MIN_SAMPLES - 1):
        assert (
            slowdowns.slowdown_of("web", KIND, encode_service_time(TYPICAL), 0.2 * number) is None
        )
    assert slowdowns.slowdown_of("web", KIND, encode_service_time(TYPICAL), 1.0) == 1.0
    late = 1.0 + MAX_SAMPLE_AGE_SECONDS + 1.0
    assert slowdowns.slowdown_of("web", KIND, encode_service_time(9 * TYPICAL), late) is None


def test_the_number_of_kinds_is_bounded():
    slowdowns = HostSlowdowns()
    for number in range(3 * MAX_KINDS):
        slowdowns.slowdown_of("web", number.to_bytes(6, "big"), encode_service_time(TYPICAL), 1.0)
    assert len(slowdowns._kinds) <= MAX_KINDS
