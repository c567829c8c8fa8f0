"""Surges come from the callers of their scope and stay within their bounds."""

import asyncio
import random

import pytest

from jasperwalk_lab.soak import surges
from jasperwalk_lab.soak.overload import Surge, SurgeScope
from jasperwalk_lab.soak.routes import ROUTES, route_of
from jasperwalk_lab.soak.surges import MAX_REQUESTS_PER_SECOND, SURGE_FACTOR, SurgeCallers

ZONES = ("north", "south")


def surge_callers(request_once=None, per_second=20.0):
    return SurgeCallers(request_once, ROUTES, ZONES, per_second, random.Random(1))


@pytest.mark.parametrize(
    ("surge", "priorities", "zones"),
    [
        (Surge(SurgeScope.ALL), {0, 1}, {"north", "south"}),
        (Surge(SurgeScope.KIND, "0"), {0}, {"north", "south"}),
        (Surge(SurgeScope.ZONE, "south"), {0, 1}, {"south"}),
    ],
    ids=["all", "a kind of request", "a zone"],
)
def test_a_surge_has_the_callers_of_its_scope(surge, priorities, zones):
    callers = surge_callers()
    assert {each.priority for each in callers.routes_of(surge)} == priorities
    assert {callers.zone_of(surge) for _ in range(50)} == zones
    assert Surge.parse(surge.target) == surge


def test_a_surge_is_a_bounded_multiple_of_the_normal_load():
    assert surge_callers(per_second=20.0)._per_second == 20.0 * SURGE_FACTOR
    assert surge_callers(per_second=1e6)._per_second == MAX_REQUESTS_PER_SECOND


def test_no_more_requests_wait_at_once_than_the_bound(monkeypatch):
    monkeypatch.setattr(surges, "MAX_OUTSTANDING_REQUESTS", 3)
    waiting, most = set(), 0

    async def request_once(listener, zone):
        nonlocal most
        waiting.add(asyncio.current_task())
        most = max(most, len(waiting))
        await asyncio.sleep(0.05)
        waiting.discard(asyncio.current_task())

    asyncio.run(surge_callers(request_once, 1e6).surge(Surge(SurgeScope.ALL), 0.2))
    assert most == 3
    assert not waiting


def test_each_service_has_two_routes_that_differ():
    assert {route.service: 0 for route in ROUTES}.keys() == {"web", "export"}
    for service in ("web", "export"):
        urgent, normal = [route for route in ROUTES if route.service == service]
        assert urgent.priority < normal.priority
        assert urgent.objective_ms < normal.objective_ms
        assert urgent.limit_ms < normal.limit_ms
        assert route_of(urgent.listener) == urgent
