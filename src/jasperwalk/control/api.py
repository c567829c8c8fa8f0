"""The operators' HTTP/JSON interface: routes, limits and the answer to every failure."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
import structlog
from aiohttp import web
from aiohttp.typedefs import Middleware

from jasperwalk.addresses import Endpoint
from jasperwalk.control.api_changes import ChangeHandlers
from jasperwalk.control.api_identity import require_operator
from jasperwalk.control.api_reads import ReadHandlers
from jasperwalk.control.openapi import OPERATIONS, openapi_document
from jasperwalk.control.problem import (
    BodyTooLarge,
    MethodNotAllowed,
    UnknownPath,
    problem_response,
)
from jasperwalk.control.replica import ControlReplica
from jasperwalk.errors import JasperwalkError
from jasperwalk.observability.admin import HealthReport, add_admin_routes
from jasperwalk.observability.metrics import MetricsRegistry
from jasperwalk.transport.tls import LinkTls

MAX_BODY_BYTES = 512 * 1024
"""Largest request body; a command in the log may not exceed 1 MiB."""
SHUTDOWN_SECONDS = 1.0
"""How long a shutdown waits for requests in progress."""

ADMIN_OPERATIONS = frozenset({"get_metrics", "get_health"})
"""Operations whose routes `jasperwalk.observability` adds."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

logger = structlog.get_logger(__name__)


class ControlApi:
    """Serves the operators' interface of one replica; `endpoint` holds the port in use."""

    def __init__(
        self,
        endpoint: Endpoint,
        replica: ControlReplica,
        registry: MetricsRegistry,
        health: Callable[[], HealthReport],
        tls: LinkTls | None = None,
    ) -> None:
        """Build the application; with `tls` the API is served over https."""
        self.endpoint = endpoint
        self._context = None if tls is None else tls.server_context()
        cluster_id = None if tls is None else tls.identity.cluster_id
        self.application = make_application(replica, registry, health, cluster_id)
        self._runner = web.AppRunner(
            self.application, access_log=None, shutdown_timeout=SHUTDOWN_SECONDS
        )

    async def start(self) -> None:
        """Open the port; raises `OSError` when it cannot be opened."""
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, self.endpoint.host, self.endpoint.port, ssl_context=self._context
        )
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.endpoint = Endpoint(host=host, port=port)

    async def close(self) -> None:
        """Close the port."""
        await self._runner.cleanup()


def make_application(
    replica: ControlReplica,
    registry: MetricsRegistry,
    health: Callable[[], HealthReport],
    cluster_id: str | None = None,
) -> web.Application:
    """Build the application with one route for every documented operation.

    With `cluster_id` it is served over https, to certificates of that cluster's operators.
    """
    middlewares: list[Middleware] = [_answer_failures]
    if cluster_id is not None:
        middlewares.append(require_operator(cluster_id))
    application = web.Application(middlewares=middlewares, client_max_size=MAX_BODY_BYTES)
    changes = ChangeHandlers(replica)
    reads = ReadHandlers(replica)
    add_admin_routes(application, registry, health)
    for operation in OPERATIONS:
        if operation.operation_id in ADMIN_OPERATIONS:
            continue
        handler = _find_handler(operation.operation_id, changes, reads)
        application.router.add_route(operation.method, operation.path, handler)
    return application


def _find_handler(operation_id: str, changes: ChangeHandlers, reads: ReadHandlers) -> Handler:
    if operation_id == "get_openapi":
        return _get_openapi
    owner = reads if hasattr(reads, operation_id) else changes
    handler: Handler = getattr(owner, operation_id)
    return handler


async def _get_openapi(_request: web.Request) -> web.Response:
    body = msgspec.json.encode(openapi_document())
    return web.Response(body=body, content_type="application/json")


@web.middleware
async def _answer_failures(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn every failure, also those of aiohttp itself, into problem+json."""
    try:
        return await handler(request)
    except JasperwalkError as error:
        return problem_response(error)
    except web.HTTPNotFound:
        return problem_response(UnknownPath(path=request.path))
    except web.HTTPMethodNotAllowed as error:
        allowed = sorted(error.allowed_methods)
        return problem_response(MethodNotAllowed(method=request.method, allowed=allowed))
    except web.HTTPRequestEntityTooLarge:
        return problem_response(BodyTooLarge(limit_bytes=MAX_BODY_BYTES))
    except web.HTTPException:
        raise
    except Exception:
        # Internals of a failed handler are logged, not returned to the caller.
        logger.exception("request-failed", method=request.method, path=request.path)
        return problem_response(JasperwalkError())
