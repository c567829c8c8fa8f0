import asyncio

import aiohttp
import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.observability.admin import AdminServer, HealthFact, HealthReport
from jasperwalk.observability.metrics import MetricsRegistry

ANY_PORT = Endpoint("127.0.0.1", 0)


async def fetch(path, report):
    registry = MetricsRegistry("balancer")
    registry.counter("datagrams", "Datagrams by class.", ["kind"]).labels("new").inc(3)
    async with (
        AdminServer(ANY_PORT, registry, lambda: report) as server,
        aiohttp.ClientSession() as session,
        session.get(f"http://{server.endpoint}{path}") as response,
    ):
        return response.status, await response.text()


@pytest.mark.parametrize(("healthy", "status", "word"), [(True, 200, "ok"), (False, 503, "unhea")])
def test_healthz_answers_the_report(healthy, status, word):
    report = HealthReport(healthy=healthy, facts=(HealthFact("revision", 5),))
    seen_status, body = asyncio.run(fetch("/healthz", report))
    assert seen_status == status
    assert word in body
    assert '"revision": 5' in body


def test_metrics_carry_the_process_in_their_names():
    status, body = asyncio.run(fetch("/metrics", HealthReport(healthy=True)))
    assert status == 200
    assert 'jasperwalk_balancer_datagrams_total{kind="new"} 3.0' in body


def test_the_port_is_free_again_after_the_stop():
    async def restart():
        registry = MetricsRegistry("balancer")
        async with AdminServer(ANY_PORT, registry, lambda: HealthReport(True)) as first:
            endpoint = first.endpoint
        async with AdminServer(endpoint, registry, lambda: HealthReport(True)) as second:
            return endpoint == second.endpoint

    assert asyncio.run(restart())
