"""The fabric stand-in as a process, with an HTTP admin interface for faults and observations.

`GET /lab/balancers`, `PUT /lab/balancers/{name}` (`{"address", "admin", "delay_ms"}`),
`DELETE /lab/balancers/{name}`, `PUT /lab/balancers/{name}/cut` (`{"cut": true}`),
`PUT /lab/agents/{address}/cut` (answers of that agent are dropped), `GET /lab/flows` (which
agent answered which caller's port), `GET /lab/counters`, `GET /healthz`.
"""

from __future__ import annotations

import asyncio
import random

import msgspec
import structlog
from aiohttp import web
from pydantic import BaseModel, ConfigDict

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import InvalidAddress
from jasperwalk_lab.fabric import Fabric
from jasperwalk_lab.fabric_core import FabricBalancer, FabricCounters
from jasperwalk_lab.serving import install_stop_event, json_response, read_body, start_http

MILLISECONDS = 1000.0


class FabricBalancerSettings(BaseModel):
    """One of the initial balancers; `delay_ms` is the one-way delay to it."""

    model_config = ConfigDict(extra="forbid")

    name: str
    address: str
    admin: str
    delay_ms: float = 0.0


class FabricSettings(BaseModel):
    """Settings of the fabric stand-in."""

    model_config = ConfigDict(extra="forbid")

    listeners: list[str]
    return_listen: str
    admin_listen: str
    return_delay_ms: float = 0.0
    seed: int = 1
    balancers: list[FabricBalancerSettings] = []


class BalancerBody(msgspec.Struct, frozen=True):
    """Body of `PUT /lab/balancers/{name}`."""

    address: str
    admin: str
    delay_ms: float = 0.0


class CutBody(msgspec.Struct, frozen=True):
    """Body of `PUT /lab/balancers/{name}/cut`."""

    cut: bool


class BalancerView(msgspec.Struct, frozen=True):
    """One balancer as the admin interface shows it; `sent` counts datagrams."""

    name: str
    address: str
    in_use: bool
    cut: bool
    sent: int


class BalancerList(msgspec.Struct, frozen=True):
    """Answer of `GET /lab/balancers`."""

    balancers: list[BalancerView]


class FlowView(msgspec.Struct, frozen=True):
    """An agent that answered a caller's port; `at` in seconds of the machine's monotonic clock."""

    caller_port: int
    agent: str
    at: float


class FlowList(msgspec.Struct, frozen=True):
    """Answer of `GET /lab/flows`."""

    flows: list[FlowView]


class CountersView(msgspec.Struct, frozen=True):
    """Answer of `GET /lab/counters`, in datagrams."""

    sprayed: int
    answered: int
    dropped_without_balancer: int
    dropped_by_cut: int
    malformed: int


def build_application(fabric: Fabric) -> web.Application:
    """Build the admin application of a fabric."""

    async def health(_request: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def list_balancers(_request: web.Request) -> web.Response:
        return json_response(BalancerList([_view(b) for b in fabric.sprayer.all()]))

    async def put_balancer(request: web.Request) -> web.Response:
        body = await read_body(request, BalancerBody)
        name = request.match_info["name"]
        try:
            fabric.sprayer.add(make_balancer(name, body.address, body.admin, body.delay_ms))
        except InvalidAddress as error:
            raise web.HTTPBadRequest(text=error.describe()) from error
        return web.Response(status=204)

    async def delete_balancer(request: web.Request) -> web.Response:
        if not fabric.sprayer.remove(request.match_info["name"]):
            raise web.HTTPNotFound
        return web.Response(status=204)

    async def cut_balancer(request: web.Request) -> web.Response:
        balancer = fabric.sprayer.get(request.match_info["name"])
        if balancer is None:
            raise web.HTTPNotFound
        balancer.cut = (await read_body(request, CutBody)).cut
        return web.Response(status=204)

    async def cut_agent(request: web.Request) -> web.Response:
        try:
            agent = Endpoint.parse(request.match_info["address"])
        except InvalidAddress as error:
            raise web.HTTPBadRequest(text=error.describe()) from error
        cut = (await read_body(request, CutBody)).cut
        change = fabric.agents.cut.add if cut else fabric.agents.cut.discard
        change((agent.host, agent.port))
        return web.Response(status=204)

    async def flows(_request: web.Request) -> web.Response:
        seen = [FlowView(each.caller_port, each.agent, each.at) for each in fabric.agents.all()]
        return json_response(FlowList(seen))

    async def counters(_request: web.Request) -> web.Response:
        return json_response(_counters_view(fabric.counters))

    application = web.Application()
    application.router.add_get("/healthz", health)
    application.router.add_get("/lab/balancers", list_balancers)
    application.router.add_put("/lab/balancers/{name}", put_balancer)
    application.router.add_delete("/lab/balancers/{name}", delete_balancer)
    application.router.add_put("/lab/balancers/{name}/cut", cut_balancer)
    application.router.add_put("/lab/agents/{address}/cut", cut_agent)
    application.router.add_get("/lab/flows", flows)
    application.router.add_get("/lab/counters", counters)
    return application


def make_balancer(name: str, address: str, admin: str, delay_ms: float) -> FabricBalancer:
    """Build a balancer from text addresses; raise `InvalidAddress`."""
    return FabricBalancer(
        name=name,
        endpoint=Endpoint.parse(address),
        admin=Endpoint.parse(admin),
        delay=delay_ms / MILLISECONDS,
    )


def _view(balancer: FabricBalancer) -> BalancerView:
    return BalancerView(
        name=balancer.name,
        address=str(balancer.endpoint),
        in_use=balancer.in_use,
        cut=balancer.cut,
        sent=balancer.sent,
    )


def _counters_view(counters: FabricCounters) -> CountersView:
    return CountersView(
        sprayed=counters.sprayed,
        answered=counters.answered,
        dropped_without_balancer=counters.dropped_without_balancer,
        dropped_by_cut=counters.dropped_by_cut,
        malformed=counters.malformed,
    )


async def run_fabric(settings: FabricSettings) -> None:
    """Run the fabric until SIGTERM or SIGINT."""
    stop = install_stop_event()
    fabric = Fabric(random.Random(settings.seed), settings.return_delay_ms / MILLISECONDS)
    for balancer in settings.balancers:
        made = make_balancer(balancer.name, balancer.address, balancer.admin, balancer.delay_ms)
        fabric.sprayer.add(made)
    listeners = [Endpoint.parse(listener) for listener in settings.listeners]
    fabric.start(listeners, Endpoint.parse(settings.return_listen))
    probes = asyncio.create_task(fabric.probe_forever())
    runner = await start_http(build_application(fabric), Endpoint.parse(settings.admin_listen))
    structlog.get_logger().info("fabric_ready", listeners=len(listeners), seed=settings.seed)
    await stop.wait()
    probes.cancel()
    await runner.cleanup()
    fabric.stop()
