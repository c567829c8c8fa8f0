"""Which request an overloaded host starts next, and which one is shed."""

import random

import pytest

from jasperwalk.flows.terms import CarriedTerms
from jasperwalk.scheduling.request_order import NoShares, PriorityOrder
from jasperwalk.scheduling.request_scheduler import (
    MAX_AGE_SECONDS,
    MAX_HELD_REQUESTS,
    MAX_HOLD_SECONDS,
    MAX_WAIT_SECONDS,
    RequestScheduler,
)
from jasperwalk.scheduling.waiting_request import DEFAULT_TERMS, MAX_PACKETS

URGENT = CarriedTerms(1, 0.4, 3.0, 7)
ORDINARY = CarriedTerms(2, 0.3, 2.5, 7)
WORK_SECONDS = 0.04


def scheduler(least_share=0.0):
    return RequestScheduler(PriorityOrder(NoShares(), least_share))


def add(waiting, name, terms, now=0.0, age=0.0):
    waiting.add_opening(name.encode(), b"packet", terms, age, now)


def hold(waiting, name, terms, now=0.0):
    return waiting.hold(name.encode(), b"packet", 1, terms, now)


def taken(waiting, now=0.0, with_openings=True):
    names = []
    while request := waiting.take_next(with_openings, WORK_SECONDS, now):
        names.append(request.key.decode())
    return names


def test_the_more_urgent_goes_first_whatever_came_first():
    waiting = scheduler()
    hold(waiting, "feed", ORDINARY, 0.0)
    add(waiting, "hold", URGENT, 0.1)
    assert taken(waiting, 0.1) == ["hold", "feed"]


def test_least_time_left_goes_first_and_what_is_late_goes_last():
    waiting = scheduler()
    add(waiting, "late", ORDINARY, 0.0, age=0.28)
    add(waiting, "soon", ORDINARY, 0.0, age=0.1)
    add(waiting, "fresh", ORDINARY, 0.0)
    assert taken(waiting, 0.01) == ["soon", "fresh", "late"]


def test_of_the_late_ones_the_newest_goes_first():
    waiting = scheduler()
    for number in range(3):
        add(waiting, f"{number}", ORDINARY, number / 10)
    assert taken(waiting, 5.0) == ["2", "1", "0"]


def test_without_an_objective_the_newest_goes_first():
    waiting = scheduler()
    for number in range(3):
        add(waiting, f"{number}", DEFAULT_TERMS, number / 10)
    assert taken(waiting, 0.3) == ["2", "1", "0"]


def test_requests_of_open_flows_go_on_where_the_host_takes_no_new_flows():
    waiting = scheduler()
    add(waiting, "new", URGENT)
    hold(waiting, "open", ORDINARY)
    assert taken(waiting, with_openings=False) == ["open"]
    assert len(waiting) == waiting.openings == 1


@pytest.mark.parametrize(("share", "least"), [(0.1, 10), (0.25, 25), (0.0, 0)])
def test_less_urgent_requests_keep_their_least_share(share, least):
    """While 100 urgent requests are served, less urgent ones keep their share."""
    waiting = scheduler(share)
    for number in range(200):
        add(waiting, f"u{number}", URGENT)
        hold(waiting, f"o{number}", ORDINARY)
    started = [waiting.take_next(True, WORK_SECONDS, 0.0).key[:1] for _ in range(100)]
    assert started.count(b"o") == pytest.approx(least, abs=1)


def test_of_several_less_urgent_kinds_none_starves():
    waiting = scheduler(0.2)
    kinds = {"b": CarriedTerms(3, 0.3, 9.0, 0), "c": CarriedTerms(5, 0.3, 9.0, 0)}
    for number in range(50):
        add(waiting, f"a{number}", URGENT, number / 1000)
        for name, terms in kinds.items():
            hold(waiting, f"{name}{number}", terms, number / 1000)
    started = [waiting.take_next(True, WORK_SECONDS, 0.1).key[:1] for _ in range(50)]
    assert min(started.count(b"b"), started.count(b"c")) >= 4


def test_a_full_queue_sheds_the_least_urgent_and_of_these_the_late_one():
    waiting = scheduler()
    add(waiting, "urgent", URGENT, 0.0)
    add(waiting, "old", ORDINARY, 0.1)
    add(waiting, "new", ORDINARY, 0.2)
    (gone,) = waiting.shed_openings(2, 0.2)
    assert gone.key == b"old"
    (gone,) = waiting.shed_openings(1, 0.2)
    assert gone.key == b"new"
    assert b"urgent" in waiting


def test_requests_of_open_flows_are_never_shed_for_want_of_capacity():
    waiting = scheduler()
    hold(waiting, "open", ORDINARY)
    assert waiting.shed_openings(0, 0.0) == []


@pytest.mark.parametrize(
    ("terms", "age", "wait"),
    [
        (URGENT, 0.0, MAX_WAIT_SECONDS),
        (URGENT, 0.6, MAX_AGE_SECONDS - 0.6),
        (CarriedTerms(1, 0.1, 0.5, 0), 0.2, 0.3),
    ],
)
def test_a_new_flow_waits_while_its_caller_does(terms, age, wait):
    waiting = scheduler()
    add(waiting, "new", terms, 1.0, age)
    assert waiting.take_expired(0.999 + wait) == []
    assert [each.key for each in waiting.take_expired(1.001 + wait)] == [b"new"]
    assert len(waiting) == waiting.openings == 0


def test_a_request_of_an_open_flow_waits_until_its_limit():
    waiting = scheduler()
    hold(waiting, "open", ORDINARY, 1.0)
    hold(waiting, "unnamed", DEFAULT_TERMS, 1.0)
    assert [each.key for each in waiting.take_expired(1.001 + MAX_HOLD_SECONDS)] == [b"unnamed"]
    assert [each.key for each in waiting.take_expired(3.501)] == [b"open"]


def test_what_is_held_is_bounded():
    waiting = scheduler()
    for number in range(MAX_HELD_REQUESTS):
        assert hold(waiting, f"{number}", ORDINARY) is not None
    assert hold(waiting, "one-more", ORDINARY) is None


def test_packets_of_a_request_stay_in_order_and_copies_are_absorbed():
    waiting = scheduler()
    request = hold(waiting, "open", ORDINARY)
    assert request.add_packet(b"second", 2)
    assert not request.add_packet(b"copy", 1)
    assert not request.add_packet(b"copy", 2)
    assert request.packets == [b"packet", b"second"]
    for number in range(3, MAX_PACKETS + 1):
        assert request.add_packet(b"more", number)
    assert not request.add_packet(b"too many", 99)


def test_where_nothing_waits_nothing_is_decided():
    assert scheduler().take_next(True, WORK_SECONDS, 0.0) is None


@pytest.mark.parametrize("seed", range(20))
def test_nothing_is_lost_and_nothing_is_started_twice(seed):
    drawn = random.Random(seed)
    waiting = scheduler(0.1)
    added, gone = set(), []
    for step in range(500):
        now = step / 100
        name = f"{step}"
        terms = drawn.choice([URGENT, ORDINARY, DEFAULT_TERMS, CarriedTerms(1, 0.2, 1.0, 9)])
        if drawn.random() < 0.6:
            added.add(name.encode())
            drawn.choice([add, hold])(waiting, name, terms, now)
        gone += [each.key for each in waiting.take_expired(now)]
        gone += [each.key for each in waiting.shed_openings(drawn.randrange(20), now)]
        if drawn.random() < 0.4:
            request = waiting.take_next(drawn.random() < 0.8, WORK_SECONDS, now)
            gone += [request.key] if request else []
        if drawn.random() < 0.05 and added:
            left = waiting.discard(drawn.choice(sorted(added)))
            gone += [left.key] if left else []
    gone += [each.key for each in waiting.take_openings() + waiting.take_held()]
    assert sorted(gone) == sorted(added)
    assert len(waiting) == waiting.openings == 0
