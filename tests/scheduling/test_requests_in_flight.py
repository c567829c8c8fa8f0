"""How many requests count as in flight at a host."""

import pytest

from jasperwalk.scheduling.requests_in_flight import (
    DEFAULT_ANSWER_SECONDS,
    MAX_OVERDUE_SECONDS,
    MIN_OVERDUE_SECONDS,
    RequestsInFlight,
)


def measured(seconds, count=50):
    requests = RequestsInFlight()
    for _ in range(count):
        requests.record_answer(seconds)
    return requests


def test_requests_count_from_their_beginning_to_their_end():
    requests = RequestsInFlight()
    requests.start("a", 1.0)
    requests.start("b", 1.0)
    requests.start("a", 1.1)
    assert requests.count(1.1) == 2
    requests.end("a")
    requests.end("a")
    assert requests.count(1.1) == 1


def test_a_request_that_is_never_answered_stops_counting_after_a_while():
    """A host that leaves some of its requests unanswered would soon have no free place."""
    requests = measured(0.03)
    requests.start("lost", 1.0)
    requests.start("new", 1.19)
    assert requests.count(0.99 + MIN_OVERDUE_SECONDS) == 2
    assert requests.count(1.01 + MIN_OVERDUE_SECONDS) == 1


@pytest.mark.parametrize(
    ("seconds", "overdue"),
    [(0.001, MIN_OVERDUE_SECONDS), (30.0, MAX_OVERDUE_SECONDS)],
)
def test_the_time_is_bounded_both_ways(seconds, overdue):
    assert measured(seconds).overdue_seconds() == overdue


def test_a_host_without_measurements_has_the_longest_time():
    requests = RequestsInFlight()
    assert requests.overdue_seconds() == MAX_OVERDUE_SECONDS
    assert requests.mean_seconds == DEFAULT_ANSWER_SECONDS


def test_a_replacement_host_is_measured_from_the_start():
    requests = measured(0.5)
    assert requests.mean_seconds == pytest.approx(0.5)
    requests.reset_times()
    assert requests.mean_seconds == DEFAULT_ANSWER_SECONDS
