"""How long requests held a slot, where more of them are in flight than the host has slots."""

import random

import pytest

from jasperwalk.scheduling.slot_use import MAX_TRACKED_REQUESTS, SlotUse


def held(use, name, slots, now):
    request = use.end(name, slots, now)
    return None if request is None else now - request.started_at


def test_a_request_at_a_free_slot_holds_it_from_when_it_came():
    use = SlotUse()
    use.start("a", "kind", 2, 1.0)
    use.start("b", "kind", 2, 1.1)
    assert held(use, "b", 2, 1.4) == pytest.approx(0.3)
    assert held(use, "a", 2, 1.5) == pytest.approx(0.5)


def test_the_time_in_which_all_slots_were_held_is_not_counted():
    use = SlotUse()
    use.start("a", "kind", 1, 1.0)
    use.start("b", "kind", 1, 1.1)
    assert held(use, "a", 1, 1.5) == pytest.approx(0.5)
    assert held(use, "b", 1, 1.6) == pytest.approx(0.1)


def test_a_queued_request_that_is_answered_first_had_the_slot():
    use = SlotUse()
    use.start("a", "kind", 1, 1.0)
    use.start("b", "kind", 1, 1.1)
    assert held(use, "b", 1, 1.5) == pytest.approx(0.4)
    assert held(use, "a", 1, 1.7) == pytest.approx(0.2)


def test_an_incomplete_request_leaves_its_slot_to_the_next():
    use = SlotUse()
    use.start("upload", "kind", 1, 1.0)
    use.start("b", "kind", 1, 1.1)
    use.start("upload", "kind", 1, 1.2)
    assert held(use, "b", 1, 1.3) == pytest.approx(0.2)
    assert held(use, "upload", 1, 1.5) == pytest.approx(0.2)


def test_a_request_that_is_not_followed_ends_without_a_figure():
    assert SlotUse().end("a", 1, 1.0) is None


def test_the_number_of_requests_is_bounded():
    use = SlotUse()
    for name in range(2 * MAX_TRACKED_REQUESTS):
        use.start(name, "kind", 1, 1.0)
    assert len(use) <= MAX_TRACKED_REQUESTS


@pytest.mark.parametrize("order", ["first", "last", "random"])
@pytest.mark.parametrize("slots", [1, 2, 4])
def test_the_times_sum_up_to_what_the_slots_were_held_whatever_the_order(order, slots):
    source = random.Random(7)
    use, counted, worked = SlotUse(), 0.0, 0.0
    now, queue, running = 0.0, [], {}
    position = {"first": lambda: 0, "last": lambda: -1}.get(
        order, lambda: source.randrange(len(queue))
    )
    arrivals = [(0.01 * number + 0.005 * source.random(), number) for number in range(400)]
    while arrivals or running:
        ends_next = min(running.items(), key=lambda each: each[1], default=(None, float("inf")))
        if arrivals and arrivals[0][0] < ends_next[1]:
            now, name = arrivals.pop(0)
            use.start(name, "kind", slots, now)
            queue.append(name)
        else:
            name, now = ends_next
            del running[name]
            counted += held(use, name, slots, now)
        while queue and len(running) < slots:
            work = 0.01 * slots * source.uniform(0.5, 1.5)
            worked += work
            running[queue.pop(position())] = now + work
    assert counted == pytest.approx(worked, rel=0.02)
