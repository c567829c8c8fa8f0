"""Requests and responses of the small HTTP server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec


class HttpRequest(msgspec.Struct, frozen=True):
    """One request; `path` is the target without its query.

    `client_connected` tells whether the connection on which it came still stands.
    """

    method: str
    path: str
    body: bytes
    client_connected: Callable[[], bool] = lambda: True


class HttpResponse(msgspec.Struct, frozen=True):
    """One response; a body has the type JSON unless the headers say otherwise."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}


HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]
