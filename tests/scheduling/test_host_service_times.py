"""Service times of one host: when it counts as slow, and which flows a slow host refuses."""

import random

import pytest

from jasperwalk.scheduling.host_service_times import (
    FIRST_SAMPLES,
    MAX_KINDS,
    MAX_OBSERVATIONS,
    STALE_SECONDS,
    HostServiceTimes,
)
from jasperwalk.scheduling.slow_host import (
    RECOVERY_FACTOR,
    SLOW_FACTOR,
    TRIAL_INTERVAL_SECONDS,
    VERDICT_LIFETIME_SECONDS,
    SlowHost,
)

WORK_SECONDS = 0.05
LONG_FACTOR = 7.0
LONG_SHARE = 0.03
SLOW_WORK_FACTOR = 8.0
SEEN_WITHIN_SECONDS = 1.0


class HostSimulation:
    """One host that is always busy; each slot works on one request after the other."""

    def __init__(self, slots=2, kinds=(("kind", WORK_SECONDS),), long_share=0.0, seed=5):
        self.random = random.Random(seed)
        self.service_times, self.slots = HostServiceTimes(), slots
        self.kinds, self.long_share = kinds, long_share
        self.slow_host = SlowHost(self.service_times)
        self.now, self.factor = 0.0, 1.0
        self.ends, self.number = [], 0
        self.seen_slow = []

    def begin(self):
        kind, service_seconds = self.random.choice(self.kinds)
        if self.random.random() < self.long_share:
            service_seconds *= LONG_FACTOR
        self.number += 1
        self.service_times.record_request(self.number, kind, self.slots, self.now)
        end = self.now + service_seconds * self.factor * self.random.uniform(0.8, 1.2)
        self.ends.append((end, self.number))

    def run(self, until):
        while self.now < until:
            while len(self.ends) < self.slots:
                self.begin()
            next_end = min(self.ends)
            self.now = min(next_end[0], self.now + 0.02, until)
            if self.now == next_end[0]:
                self.ends.remove(next_end)
                self.service_times.record_answer(next_end[1], self.slots, self.now)
            self.slow_host.evaluate(self.now)
            self.seen_slow.append((self.now, self.slow_host.is_slow()))
        return self

    def share_slow(self):
        return sum(is_slow for _, is_slow in self.seen_slow) / len(self.seen_slow)


def serve_one(service_times, name, start, end, kind="kind", slots=1):
    service_times.record_request(name, kind, slots, start)
    service_times.record_answer(name, slots, end)


@pytest.mark.parametrize("slots", [1, 2, 4])
def test_a_slow_host_is_detected_soon_and_recovers(slots):
    simulation = HostSimulation(slots).run(5.0)
    assert not simulation.slow_host.is_slow()
    simulation.factor = SLOW_WORK_FACTOR
    simulation.run(5.0 + SEEN_WITHIN_SECONDS)
    assert simulation.slow_host.is_slow()
    assert simulation.slow_host.service_seconds("kind") > SLOW_FACTOR * WORK_SECONDS
    simulation.run(10.0)
    assert simulation.slow_host.is_slow()
    simulation.factor = 1.0
    simulation.run(10.0 + SEEN_WITHIN_SECONDS)
    assert not simulation.slow_host.is_slow()
    assert simulation.slow_host.service_seconds("kind") == pytest.approx(WORK_SECONDS, rel=0.3)


def test_a_slow_host_is_detected_before_it_has_answered():
    simulation = HostSimulation(4).run(5.0)
    for number in range(4):
        simulation.service_times.record_request(f"late {number}", "kind", 8, simulation.now)
    now = simulation.now + SLOW_FACTOR * WORK_SECONDS + STALE_SECONDS + 0.1
    assert simulation.slow_host.evaluate(now)
    assert simulation.slow_host.is_slow()


@pytest.mark.parametrize("slots", [1, 2, 4])
@pytest.mark.parametrize("seed", range(3))
def test_a_few_long_requests_do_not_make_a_host_slow(slots, seed):
    simulation = HostSimulation(slots, long_share=LONG_SHARE, seed=seed).run(60.0)
    assert simulation.share_slow() < 0.01


def test_one_long_request_does_not_make_a_host_slow():
    simulation = HostSimulation(1).run(5.0)
    simulation.factor = LONG_FACTOR
    simulation.ends.clear()
    simulation.begin()
    simulation.factor = 1.0
    simulation.run(8.0)
    assert simulation.share_slow() == 0.0


def test_another_mix_of_kinds_does_not_make_a_host_slow():
    quick, long = ("quick", 0.01), ("long", 0.01 * 2 * SLOW_FACTOR)
    simulation = HostSimulation(2, kinds=(quick, long)).run(5.0)
    simulation.kinds = (long,)
    simulation.run(10.0)
    simulation.kinds = (quick,)
    simulation.run(15.0)
    assert simulation.share_slow() == 0.0


def test_a_queue_does_not_make_a_host_slow():
    service_times = HostServiceTimes()
    for number in range(20):
        serve_one(service_times, number, 0.1 * number, 0.1 * number + WORK_SECONDS)
    for number in range(8):
        service_times.record_request(f"burst {number}", "kind", 1, 2.0)
    for number in range(8):
        service_times.record_answer(f"burst {number}", 1, 2.0 + WORK_SECONDS * (number + 1))
    assert service_times.slowdown(2.4) == pytest.approx(1.0, abs=0.1)


def test_nothing_is_known_before_enough_requests_and_after_a_while():
    service_times = HostServiceTimes()
    assert (service_times.slowdown(0.0), service_times.baseline_seconds("kind")) == (None, None)
    for number in range(FIRST_SAMPLES + 3):
        serve_one(service_times, number, number * 0.1, number * 0.1 + WORK_SECONDS)
    assert service_times.slowdown(1.0) == pytest.approx(1.0)
    assert service_times.slowdown(1.0 + STALE_SECONDS) is None
    assert service_times.baseline_seconds("kind") == pytest.approx(WORK_SECONDS, rel=0.02)


def test_a_host_that_stays_slow_becomes_usual():
    simulation = HostSimulation(2).run(5.0)
    simulation.factor = 2 * SLOW_FACTOR
    simulation.run(120.0)
    assert not simulation.slow_host.is_slow()


def test_a_replacement_host_starts_without_a_verdict():
    simulation = HostSimulation(2).run(5.0)
    simulation.factor = SLOW_WORK_FACTOR
    simulation.run(7.0)
    simulation.service_times.reset()
    simulation.slow_host.reset()
    assert not simulation.slow_host.is_slow()
    assert simulation.slow_host.service_seconds("kind") is None


def test_memory_is_bounded():
    service_times = HostServiceTimes()
    for number in range(4 * MAX_KINDS):
        serve_one(service_times, number, number * 1.0, number + 0.1, kind=number)
        serve_one(service_times, "again", number + 0.2, number + 0.3, kind="again")
    assert len(service_times._baselines) <= MAX_KINDS
    assert service_times.observations() <= MAX_OBSERVATIONS


def simulated_slow_host():
    simulation = HostSimulation(2).run(5.0)
    simulation.factor = SLOW_WORK_FACTOR
    return simulation.run(7.0)


@pytest.mark.parametrize(
    ("remaining_seconds", "busy", "refused"),
    [
        (5.0, 2, False),
        (5.0, 40, True),
        (SLOW_WORK_FACTOR * WORK_SECONDS * 2, 1, False),
        (SLOW_WORK_FACTOR * WORK_SECONDS / 2, 1, True),
        (-1.0, 1, True),
        (None, 1, False),
        (None, 2, True),
    ],
)
def test_a_slow_host_takes_what_it_serves_in_time(remaining_seconds, busy, refused):
    simulation = simulated_slow_host()
    simulation.slow_host.record_admission(simulation.now)
    assert (
        simulation.slow_host.refuses("kind", busy, 2, remaining_seconds, simulation.now) is refused
    )


def test_an_idle_slow_host_gets_a_trial_now_and_then():
    simulation = simulated_slow_host()
    simulation.slow_host.record_admission(simulation.now)
    now = simulation.now + TRIAL_INTERVAL_SECONDS
    assert simulation.slow_host.refuses("kind", 0, 2, 0.1, now - 0.01)
    assert not simulation.slow_host.refuses("kind", 0, 2, 0.1, now)
    assert simulation.slow_host.refuses("kind", 1, 2, 0.1, now)


def test_a_host_that_is_not_slow_refuses_nothing():
    simulation = HostSimulation(2).run(5.0)
    assert not simulation.slow_host.refuses("kind", 100, 2, 0.001, simulation.now)


def test_a_slow_host_without_requests_stays_slow_until_the_verdict_expires():
    simulation = simulated_slow_host()
    for _, name in simulation.ends:
        simulation.service_times.record_end(name, 2, simulation.now)
    assert not simulation.slow_host.evaluate(simulation.now + STALE_SECONDS + 0.1)
    assert simulation.slow_host.is_slow()
    assert simulation.slow_host.evaluate(
        simulation.now + VERDICT_LIFETIME_SECONDS + STALE_SECONDS + 0.1
    )
    assert not simulation.slow_host.is_slow()


def test_two_trials_in_the_usual_time_end_the_verdict_however_far_apart():
    simulation = simulated_slow_host()
    for _, name in simulation.ends:
        simulation.service_times.record_end(name, 2, simulation.now)
    for number, is_slow in enumerate((True, False)):
        now = simulation.now + (number + 1) * (STALE_SECONDS + 0.1)
        serve_one(simulation.service_times, f"trial {number}", now, now + WORK_SECONDS, slots=2)
        simulation.slow_host.evaluate(now + WORK_SECONDS)
        assert simulation.slow_host.is_slow() is is_slow


def test_the_verdict_does_not_change_between_its_thresholds():
    assert RECOVERY_FACTOR < SLOW_FACTOR
    simulation = simulated_slow_host()
    simulation.factor = (RECOVERY_FACTOR + SLOW_FACTOR) / 2 * 1.2
    simulation.run(8.0)
    assert simulation.slow_host.is_slow()
