"""Requests and responses of the small HTTP server, and the type of its handlers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec


class HttpRequest(msgspec.Struct, frozen=True):
    """One request; `path` is the target without its query.

    `client_connected` tells whether its connection is still open.
    """

    method: str
    path: str
    body: bytes
    client_connected: Callable[[], bool] = lambda: True


class HttpResponse(msgspec.Struct, frozen=True):
    """One response; the body is sent as JSON unless the headers name another type."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]
