"""A healthy replica is tried soon, even if another one fails repeatedly."""

import random

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.distribution.replica_choice import MAX_PAUSE_SECONDS, ReplicaChoice

CUT_OFF, WELL = Endpoint("127.0.0.1", 7000), Endpoint("127.0.0.2", 7000)


@pytest.mark.parametrize("seed", range(20))
def test_a_healthy_replica_is_tried_soon_however_often_another_failed(seed):
    choice = ReplicaChoice([CUT_OFF, WELL], 0.1, 5.0, random.Random(seed))
    for second in range(12):
        choice.record_failure(CUT_OFF, float(second))
    assert choice.next_available_at() <= 11.0 + MAX_PAUSE_SECONDS
    assert choice.choose(11.0 + MAX_PAUSE_SECONDS) == WELL
