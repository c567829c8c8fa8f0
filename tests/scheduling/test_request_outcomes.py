"""Detection of hosts that fail requests: how many requests are lost, and how a host recovers."""

import random

import pytest

from jasperwalk.scheduling.request_outcomes import (
    MAX_OUTCOMES,
    MAX_PAUSE_SECONDS,
    MIN_FAILURES,
    MIN_PAUSE_SECONDS,
    RARE_TRIAL_INTERVAL_SECONDS,
    RECOVERY_ANSWERS,
    TRIAL_INTERVAL_SECONDS,
    WINDOW_SECONDS,
    RequestOutcomes,
)

FLOWS_PER_SECOND = 17.0
"""The flows that one of 34 hosts gets of 580 a second."""
NOT_REPEATABLE_SHARE = 0.22
SERVICE_SECONDS = 0.05
FAILS_FROM, FAILS_UNTIL, PLAYED_UNTIL = 5.0, 10.3, 20.0
FAILING_SHARE_PLAYED = 0.49


class HostSimulation:
    """Flows arrive at one host that fails some requests for a while; counts what is lost."""

    def __init__(self, seed, judged=True, share=FAILING_SHARE_PLAYED):
        self.random = random.Random(seed)
        self.outcomes = RequestOutcomes()
        self.judged, self.share = judged, share
        self.lost = self.taken = self.taken_at_the_end = 0

    def run(self):
        now = 0.0
        ends = []
        while now < PLAYED_UNTIL:
            now += self.random.expovariate(FLOWS_PER_SECOND)
            for ended_at, fails in [each for each in ends if each[0] <= now]:
                ends.remove((ended_at, fails))
                self.end(ended_at, fails)
            repeatable = self.random.random() >= NOT_REPEATABLE_SHARE
            if self.judged and self.outcomes.refuses(repeatable, now):
                continue
            self.outcomes.record_admission(now)
            is_bad_time = FAILS_FROM <= now < FAILS_UNTIL
            fails = is_bad_time and self.random.random() < self.share
            self.lost += fails and not repeatable
            self.taken += 1
            self.taken_at_the_end += now > PLAYED_UNTIL - 3.0
            ends.append((now + SERVICE_SECONDS, fails))
        return self

    def end(self, now, fails):
        if fails:
            self.outcomes.record_failure(now)
        else:
            self.outcomes.record_answer(now)


def test_few_requests_are_lost_that_may_not_be_repeated():
    without = sum(HostSimulation(seed, judged=False).run().lost for seed in range(20))
    judged = sum(HostSimulation(seed).run().lost for seed in range(20))
    assert judged < 0.2 * without


@pytest.mark.parametrize("seed", range(10))
def test_a_host_that_serves_again_gets_all_flows_again(seed):
    assert HostSimulation(seed).run().taken_at_the_end >= 0.8 * 3.0 * FLOWS_PER_SECOND * 0.7


@pytest.mark.parametrize("seed", range(10))
def test_a_host_that_fails_one_in_fifty_does_not_count_as_failing(seed):
    played = HostSimulation(seed, share=0.02).run()
    assert played.taken == HostSimulation(seed, judged=False, share=0.02).run().taken


def failing(now=1.0):
    """Return a host that was just found to be failing."""
    outcomes = RequestOutcomes()
    told = [outcomes.record_failure(now) for _ in range(MIN_FAILURES)]
    assert told == [False] * (MIN_FAILURES - 1) + [True]
    return outcomes


def test_failures_long_ago_do_not_count():
    outcomes = RequestOutcomes()
    for step in range(10):
        assert not outcomes.record_failure(step * (WINDOW_SECONDS + 0.1))
    assert not outcomes.is_failing()


def test_after_the_pause_it_gets_trials_at_intervals():
    outcomes = failing()
    over = 1.0 + MIN_PAUSE_SECONDS
    assert outcomes.refuses(True, over - 0.01)
    assert outcomes.refuses(True, over + TRIAL_INTERVAL_SECONDS - 0.01)
    assert not outcomes.refuses(True, over + TRIAL_INTERVAL_SECONDS + 0.01)
    assert outcomes.refuses(False, over + TRIAL_INTERVAL_SECONDS + 0.01)
    assert not outcomes.refuses(False, over + RARE_TRIAL_INTERVAL_SECONDS + 0.01)


def test_answered_trials_in_a_row_end_the_verdict_and_reset_the_pause():
    outcomes = failing()
    outcomes.record_failure(2.0)
    assert outcomes.pause_seconds == 2 * MIN_PAUSE_SECONDS
    now = 2.0 + outcomes.pause_seconds
    told = [outcomes.record_answer(now) for _ in range(RECOVERY_ANSWERS)]
    assert told == [False] * (RECOVERY_ANSWERS - 1) + [True]
    assert not outcomes.is_failing()
    assert not outcomes.refuses(False, now)
    assert outcomes.pause_seconds == MIN_PAUSE_SECONDS


def test_a_failed_trial_makes_the_next_pause_longer_up_to_a_bound():
    outcomes = failing()
    now = 1.0
    for _ in range(8):
        now += outcomes.pause_seconds + 0.01
        outcomes.record_failure(now)
        assert outcomes.refuses(True, now + outcomes.pause_seconds - 0.01)
    assert outcomes.pause_seconds == MAX_PAUSE_SECONDS


def test_requests_from_before_the_pause_neither_end_nor_extend_it():
    outcomes = failing()
    for _ in range(20):
        assert not outcomes.record_answer(1.1)
        assert not outcomes.record_failure(1.1)
    assert outcomes.is_failing()
    assert outcomes.pause_seconds == MIN_PAUSE_SECONDS


def test_what_is_remembered_is_bounded():
    outcomes = RequestOutcomes()
    for _ in range(1000):
        outcomes.record_answer(1.0)
    assert outcomes.counts(1.0).answered == MAX_OUTCOMES
