"""Arrivals depend on profile and seed alone, and have the rates, mix and ranks of the profile."""

from __future__ import annotations

from collections import Counter

import pytest

from jasperwalk_lab.load.arrivals import draw_arrivals, zipf_weights
from jasperwalk_lab.load.profile import PROFILES, LoadProfile, ServiceLoad
from jasperwalk_lab.operations import Download, Lookup


def test_a_seed_gives_the_same_arrivals_in_order_of_time():
    profile = PROFILES["hanoi"]
    first, again, other = (list(draw_arrivals(profile, seed)) for seed in (1, 1, 2))
    assert first == again
    assert first != other
    assert [each.at for each in first] == sorted(each.at for each in first)
    assert max(each.at for each in first) < profile.seconds


def test_rates_mix_and_tenants_have_the_shape_of_the_profile():
    load = ServiceLoad(service="s", requests_per_second=100, flows=4, lookups=0.75, downloads=0.25)
    profile = LoadProfile(services=(load,), seconds=100.0, zipf_exponent=1.0)
    arrivals = list(draw_arrivals(profile, seed=7))
    assert len(arrivals) == pytest.approx(10_000, rel=0.05)
    kinds = Counter(type(each.operation) for each in arrivals)
    assert kinds[Lookup] / len(arrivals) == pytest.approx(0.75, abs=0.02)
    assert kinds.keys() == {Lookup, Download}
    # With exponent 1 the ranks' shares are 12, 6, 4 and 3 of 25.
    ranks = Counter(each.rank for each in arrivals)
    shares = [ranks[rank] / len(arrivals) for rank in range(4)]
    assert shares == pytest.approx([12 / 25, 6 / 25, 4 / 25, 3 / 25], abs=0.02)


def test_weights_fall_with_the_rank_unless_the_exponent_is_0():
    assert zipf_weights(3, 1.0) == pytest.approx([1, 1 / 2, 1 / 3])
    assert zipf_weights(3, 0.0) == [1, 1, 1]


def test_scaling_changes_rates_alone():
    profile = PROFILES["zagreb"]
    scaled = profile.scaled(2.0)
    pairs = zip(scaled.services, profile.services, strict=True)
    assert all(a.requests_per_second == 2 * b.requests_per_second for a, b in pairs)
    assert scaled.scaled(0.5) == profile
