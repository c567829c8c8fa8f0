"""The admin HTTP server of a daemon: `/metrics` and `/healthz`."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from types import TracebackType
from typing import Self

from aiohttp import web

from jasperwalk.addresses import Endpoint
from jasperwalk.observability.metrics import MetricsRegistry

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SHUTDOWN_SECONDS = 1.0
"""Maximum wait of a stop for requests in progress."""


@dataclass(frozen=True)
class HealthFact:
    """One named value in a health report, such as the table's revision."""

    name: str
    value: str | int | float | bool


@dataclass(frozen=True)
class HealthReport:
    """What `/healthz` answers: 200 when `healthy`, 503 otherwise, with the facts as JSON."""

    healthy: bool
    facts: tuple[HealthFact, ...] = ()


HealthSource = Callable[[], HealthReport]


def add_admin_routes(
    application: web.Application, registry: MetricsRegistry, health: HealthSource
) -> None:
    """Add `/metrics` and `/healthz` to an application that serves other paths too."""

    async def metrics(_request: web.Request) -> web.Response:
        return web.Response(body=registry.render(), headers={"Content-Type": METRICS_CONTENT_TYPE})

    async def healthz(_request: web.Request) -> web.Response:
        report = health()
        body: dict[str, str | int | float | bool] = {
            "status": "ok" if report.healthy else "unhealthy"
        }
        body.update({fact.name: fact.value for fact in report.facts})
        status = HTTPStatus.OK if report.healthy else HTTPStatus.SERVICE_UNAVAILABLE
        return web.json_response(body, status=status)

    application.router.add_get("/metrics", metrics)
    application.router.add_get("/healthz", healthz)


class AdminServer:
    """Serves `/metrics` and `/healthz` on `endpoint` until stopped.

    Use it as an asynchronous context manager, or call `start` and `stop`. After `start`,
    `endpoint` holds the real port when port 0 was asked for.
    """

    def __init__(self, endpoint: Endpoint, registry: MetricsRegistry, health: HealthSource) -> None:
        self.endpoint = endpoint
        application = web.Application()
        add_admin_routes(application, registry, health)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=SHUTDOWN_SECONDS
        )

    async def start(self) -> None:
        """Open the port; raise `OSError` when it cannot be bound."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.endpoint.host, self.endpoint.port)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.endpoint = Endpoint(host=host, port=port)

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    async def __aenter__(self) -> Self:
        """Start the server."""
        await self.start()
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """Stop the server."""
        await self.stop()
