"""Stale orders, which arrive after the opposite order was acknowledged: when they are refused."""

import pytest

from jasperwalk.control.fleet.stale_orders import (
    REVERSAL_PAUSE_SECONDS,
    Leadership,
    OrderRefusal,
    StaleOrderGuard,
    ZoneOrder,
)

REPEAT = 6.0
LEADING = Leadership(term=3, is_settled=True, leads_since=0.0)


def make_guard():
    return StaleOrderGuard(REPEAT)


def admit(guard, drained, held, now, leadership=LEADING, waits=True, arrived_at=None):
    return guard.admit(
        ZoneOrder("a", drained, held, now if arrived_at is None else arrived_at),
        leadership,
        waits,
        now,
    )


def pause(guard, drained, held, now, leadership=LEADING):
    return guard.pause_seconds(ZoneOrder("a", drained, held, now), leadership, now)


def test_a_zones_first_order_and_its_copies_count_at_once():
    guard = make_guard()
    assert pause(guard, True, None, 1.0) == 0.0
    assert admit(guard, True, None, 1.0) is None
    assert pause(guard, True, True, 1.5) == 0.0
    assert admit(guard, True, True, 1.5) is None


def test_a_drain_that_comes_after_the_restore_pauses_and_counts_only_while_its_caller_waits():
    guard = make_guard()
    admit(guard, True, None, 1.0)
    admit(guard, False, True, 2.0)
    assert pause(guard, True, False, 2.1) == REVERSAL_PAUSE_SECONDS
    assert admit(guard, True, False, 2.4, waits=False) is OrderRefusal.CALLER_LEFT
    assert admit(guard, True, False, 2.4) is None


def test_a_restore_that_comes_after_the_drain_pauses_as_well():
    guard = make_guard()
    admit(guard, False, True, 10.0)
    admit(guard, True, False, 11.0)
    assert pause(guard, False, True, 11.2) == REVERSAL_PAUSE_SECONDS


def test_a_copy_pauses_while_the_opposite_order_is_not_committed_yet():
    guard = make_guard()
    admit(guard, True, None, 1.0)
    admit(guard, False, True, 9.0)
    assert pause(guard, True, True, 9.01) == REVERSAL_PAUSE_SECONDS


def test_an_old_order_is_reversed_at_once():
    guard = make_guard()
    admit(guard, True, None, 1.0)
    assert pause(guard, False, True, 1.0 + REPEAT) == 0.0


@pytest.mark.parametrize(("led_for", "pauses"), [(1.0, True), (REPEAT, False)])
def test_a_new_leader_counts_from_the_beginning_of_its_term(led_for, pauses):
    guard = make_guard()
    admit(guard, True, None, 1.0)
    newer = Leadership(term=4, is_settled=True, leads_since=100.0)
    assert bool(pause(guard, False, True, 100.0 + led_for, newer)) is pauses


def test_a_leader_that_is_not_settled_takes_no_order():
    guard = make_guard()
    unsettled = Leadership(term=4, is_settled=False, leads_since=1.0)
    assert admit(guard, True, None, 1.0, unsettled) is OrderRefusal.NOT_SETTLED
    assert pause(guard, True, False, 1.0, LEADING) == REVERSAL_PAUSE_SECONDS


def test_orders_for_different_zones_are_independent():
    guard = make_guard()
    admit(guard, True, None, 1.0)
    assert guard.pause_seconds(ZoneOrder("b", False, None, 1.1), LEADING, 1.1) == 0.0


def test_an_order_that_pauses_is_overtaken_by_its_opposite():
    """The restore changes nothing, but it was sent later and is acknowledged at once."""
    guard = make_guard()
    admit(guard, True, None, 1.0)
    admit(guard, False, True, 2.0)
    assert pause(guard, True, False, 3.0) == REVERSAL_PAUSE_SECONDS
    assert admit(guard, False, False, 3.1) is None
    overtaken = admit(guard, True, False, 3.0 + REVERSAL_PAUSE_SECONDS, arrived_at=3.0)
    assert overtaken is OrderRefusal.OVERTAKEN


def test_an_order_that_changed_nothing_also_counts_as_new():
    guard = make_guard()
    old = Leadership(term=3, is_settled=True, leads_since=-100.0)
    assert admit(guard, False, False, 10.0, old) is None
    assert pause(guard, True, False, 11.0, old) == REVERSAL_PAUSE_SECONDS
