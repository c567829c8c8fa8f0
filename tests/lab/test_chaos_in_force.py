"""Waiting until a change is in force, with replicas that are down, frozen or behind."""

from __future__ import annotations

import asyncio

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.chaos.in_force import wait_in_force
from jasperwalk_lab.control_client import InForceView

KILLED, FROZEN, BEHIND, HEALTHY = (Endpoint("127.0.0.1", port) for port in (1, 2, 3, 4))


def view(*laggards):
    return InForceView(5, not laggards, 3, 3, 2, 2, list(laggards))


class Replicas:
    """Replicas by their answers; the frozen one never answers, the healthy one confirms late."""

    def __init__(self, good_after):
        self.good_after = good_after
        self.asked = 0

    async def in_force(self, replica, change_id, wait_ms):
        if replica == KILLED:
            return "no answer"
        if replica == FROZEN:
            await asyncio.Event().wait()
        if replica == BEHIND:
            return "status 404"
        self.asked += 1
        return view() if self.asked > self.good_after else view("balancer-2")


def wait(good_after, replicas, seconds):
    api = Replicas(good_after)
    return asyncio.run(wait_in_force(api, lambda: list(replicas), "chaos-98", seconds))


def test_one_replica_that_answers_is_enough():
    assert wait(0, (KILLED, FROZEN, BEHIND, HEALTHY), 30.0).complete
    assert wait(1, (KILLED, FROZEN, BEHIND, HEALTHY), 30.0).complete


def test_a_change_that_is_in_force_nowhere_in_time_says_what_each_replica_said():
    found = wait(1000, (KILLED, BEHIND, HEALTHY), 0.3)
    assert not found.complete
    assert found.describe() == (
        "127.0.0.1:1: no answer",
        "127.0.0.1:3: status 404",
        "127.0.0.1:4: not in force on balancer-2",
    )
