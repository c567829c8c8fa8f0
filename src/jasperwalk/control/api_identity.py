"""Authorises requests over https by certificate: operators and control, others for open paths."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.typedefs import Middleware

from jasperwalk.transport.errors import IdentityMismatch
from jasperwalk.transport.identity import ProcessRole, identity_of

OPERATOR_ROLES = frozenset({ProcessRole.OPERATOR, ProcessRole.CONTROL})
OPEN_PATHS = frozenset({"/metrics", "/healthz", "/openapi.json"})
"""Paths that any certificate of the cluster may read."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def require_operator(cluster_id: str) -> Middleware:
    """Return middleware that refuses certificates of other roles or clusters."""

    @web.middleware
    async def check(request: web.Request, handler: Handler) -> web.StreamResponse:
        transport = request.transport
        certificate = None if transport is None else transport.get_extra_info("peercert")
        identity = identity_of(certificate)
        is_operator = identity.role in OPERATOR_ROLES or request.path in OPEN_PATHS
        if identity.cluster_id != cluster_id or not is_operator:
            claim = f"use {request.method} {request.path} of cluster {cluster_id!r}"
            raise IdentityMismatch(identity=str(identity), claim=claim)
        return await handler(request)

    return check
