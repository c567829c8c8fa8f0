"""Seeded races of operators' orders; mutants show that the checks can fail."""

import os

import pytest

from jasperwalk.control.fleet.stale_orders import StaleOrderGuard
from jasperwalk.control.fleet.versioned_state import VersionedState
from tests.control.fleet.zone_order_model import play

SEEDS_PER_TEST = 25
TESTS = int(os.environ.get("JASPERWALK_ORDER_RACES", "200")) // SEEDS_PER_TEST
FORMER_FAILURE_SEEDS = (311, 4308, 4620, 6427, 7803, 8033, 8355)
"""Seeds that failed because an order that paused was accepted after its opposite."""
MUTANT_SEEDS = range(60)


@pytest.mark.parametrize("group", range(TESTS))
def test_no_acknowledged_order_is_lost_or_undone(group):
    for seed in range(group * SEEDS_PER_TEST, (group + 1) * SEEDS_PER_TEST):
        assert (seed, play(seed).violations) == (seed, [])


@pytest.mark.parametrize("seed", FORMER_FAILURE_SEEDS)
def test_seeds_of_former_failures(seed):
    assert play(seed).violations == []


def test_the_same_seed_plays_the_same_race():
    first, second = play(7), play(7)
    assert (first.counts, first.acknowledged) == (second.counts, second.acknowledged)


def test_races_have_late_copies_and_pauses():
    races = [play(seed) for seed in range(10)]
    assert sum(race.counts["late"] for race in races) > 20
    assert sum(race.counts["paused"] for race in races) > 20


def finds_violation():
    return any(play(seed).violations for seed in MUTANT_SEEDS)


def test_mutant_an_order_that_reverses_a_new_one_does_not_pause(monkeypatch):
    monkeypatch.setattr(StaleOrderGuard, "pause_seconds", lambda *_: 0.0)
    assert finds_violation()


def test_mutant_an_order_counts_whether_or_not_its_caller_waits(monkeypatch):
    original = StaleOrderGuard.admit
    monkeypatch.setattr(
        StaleOrderGuard,
        "admit",
        lambda self, order, leadership, _waits, now: original(self, order, leadership, True, now),
    )
    assert finds_violation()


def test_mutant_a_restore_is_acknowledged_and_not_applied(monkeypatch):
    original = VersionedState._order_zone

    def forget_restores(self, command):
        before = self.zones
        outcome = original(self, command)
        self.zones = self.zones if command.drained else before
        return outcome

    monkeypatch.setattr(VersionedState, "_order_zone", forget_restores)
    assert finds_violation()
