"""A low-bandwidth link recovers when a short overload ends: guards against metastable failure."""

import pytest

from tests.balancer.datagrams.bottleneck_link_model import PACKET_BYTES, PACKETS, BottleneckLink

MEGABITS = 3.7
UPLOADS_PER_SECOND = MEGABITS * 1e6 / 8 / (PACKETS * PACKET_BYTES)
"""Uploads per second that the link can carry in one direction."""
TYPICAL_SHARE = 0.5
BURST = 1.5
BURST_BEGINS, BURST_ENDS = 5.0, 8.0
RECOVERED_AFTER = 2.0
SECONDS = 20.0


def rate_at(second):
    is_burst = BURST_BEGINS <= second < BURST_ENDS
    return UPLOADS_PER_SECOND * (BURST if is_burst else TYPICAL_SHARE)


def played(seed, limited):
    link = BottleneckLink(seed, MEGABITS, limited)
    link.play(rate_at, SECONDS)
    return link


@pytest.mark.parametrize("seed", range(10))
def test_a_burst_is_over_two_seconds_after_it(seed):
    link = played(seed, limited=True)
    assert link.in_time(BURST_ENDS + RECOVERED_AFTER, SECONDS) >= 0.9


def test_without_the_admission_the_overload_feeds_itself():
    """Shows that the check can fail: callers send again what only waits in a queue."""
    after = [
        played(seed, limited=False).in_time(BURST_ENDS + RECOVERED_AFTER, SECONDS)
        for seed in range(5)
    ]
    assert sum(after) / len(after) < 0.5
