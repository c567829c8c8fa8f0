"""The relays of the control links as a process, with an HTTP admin interface for cuts.

`PUT /lab/cuts` with `{"cuts": [...]}`, `GET /healthz`.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import structlog
from aiohttp import web
from pydantic import BaseModel, ConfigDict

from jasperwalk.addresses import Endpoint
from jasperwalk.transport.identity import Identity, ProcessRole
from jasperwalk_lab.chaos.links import Cut, CutRules, LinkKeys, LinkRelay
from jasperwalk_lab.serving import install_stop_event, read_body, start_http


class LinkSettings(BaseModel):
    """One relay in front of a replica."""

    model_config = ConfigDict(extra="forbid")

    name: str
    listen: str
    target: str


class LinksSettings(BaseModel):
    """Settings of the stand-in; `keys_folder` has the certificates of all processes."""

    model_config = ConfigDict(extra="forbid")

    admin_listen: str
    cluster_id: str
    keys_folder: str
    links: list[LinkSettings]


class CutsBody(msgspec.Struct, frozen=True):
    """Body of `PUT /lab/cuts`: all cuts in effect from now on."""

    cuts: list[Cut]


def build_application(rules: CutRules) -> web.Application:
    """Build the HTTP application that changes the cuts."""

    async def health(_request: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def put_cuts(request: web.Request) -> web.Response:
        rules.replace((await read_body(request, CutsBody)).cuts)
        return web.Response(status=204)

    application = web.Application()
    application.router.add_get("/healthz", health)
    application.router.add_put("/lab/cuts", put_cuts)
    return application


async def run_links(settings: LinksSettings) -> None:
    """Run the relays until SIGTERM or SIGINT."""
    stop = install_stop_event()
    rules = CutRules()
    keys = LinkKeys(Path(settings.keys_folder))
    for each in settings.links:
        replica = Identity(settings.cluster_id, ProcessRole.CONTROL, each.name)
        listen, target = Endpoint.parse(each.listen), Endpoint.parse(each.target)
        await LinkRelay(replica, keys, listen, target, rules).start()
    runner = await start_http(build_application(rules), Endpoint.parse(settings.admin_listen))
    structlog.get_logger().info("links_ready", links=len(settings.links))
    await stop.wait()
    await runner.cleanup()
