"""Client of control's HTTP API that retries until a replica has decided a request."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Sequence
from types import TracebackType
from typing import Any, Self

import aiohttp
import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.tenants import Tenant
from jasperwalk_lab.errors import ControlRefused

REQUEST_TIMEOUT_SECONDS = 15.0
RETRY_SECONDS = 0.2
WAIT_STEP_MS = 2000
HTTP_OK_RANGE = range(200, 300)
HTTP_UNAVAILABLE = 503
HTTP_OUTCOME_UNKNOWN = 504
"""A resend with the same change ID returns the outcome."""
RETRIED_STATUSES = frozenset({0, HTTP_UNAVAILABLE, HTTP_OUTCOME_UNKNOWN})
"""Statuses after which a request is sent again; 0 means no answer."""


class AcceptedChange(msgspec.Struct, frozen=True):
    """Control's answer to an accepted change."""

    change_id: str
    revision: int


class InForceView(msgspec.Struct, frozen=True):
    """Where a revision is in force."""

    revision: int
    complete: bool
    in_force: int | None
    balancers: int | None
    agents_in_force: int | None
    agents: int | None
    laggards: list[str]


class ControlClient:
    """Sends each request to one replica, and to the next one where that gives no answer.

    Requests that are not decided are resent for `retry_seconds`.
    """

    def __init__(self, replicas: Sequence[Endpoint], retry_seconds: float = 20.0) -> None:
        self._replicas = list(replicas)
        self._retry_seconds = retry_seconds
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """Close the connections."""
        await self._session.close()

    async def put_template(self, name: str, text: str) -> AcceptedChange:
        """Submit a template's TOML text; raise `ControlRefused`."""
        body = await self._request("PUT", f"/v1/templates/{name}", text.encode())
        return msgspec.json.decode(body, type=AcceptedChange)

    async def put_tenant(self, tenant: Tenant) -> AcceptedChange:
        """Submit a tenant's template and values; raise `ControlRefused`."""
        values: dict[str, Any] = {"template": tenant.template, "values": tenant.values}
        body = await self._request(
            "PUT", f"/v1/tenants/{tenant.name}", msgspec.json.encode(values), "application/json"
        )
        return msgspec.json.decode(body, type=AcceptedChange)

    async def drain(self, host: str) -> AcceptedChange:
        """Stop new work on a host; raise `ControlRefused`."""
        body = await self._request("POST", f"/v1/hosts/{host}/drain")
        return msgspec.json.decode(body, type=AcceptedChange)

    async def resume(self, host: str) -> AcceptedChange:
        """Let a drained host accept new work again; raise `ControlRefused`."""
        body = await self._request("POST", f"/v1/hosts/{host}/resume")
        return msgspec.json.decode(body, type=AcceptedChange)

    async def in_force(self, change: AcceptedChange, wait_ms: int) -> InForceView:
        """Return where a change is in force, after at most `wait_ms` of waiting for everywhere."""
        path = f"/v1/changes/{change.change_id}/in-force?wait_ms={wait_ms}"
        return msgspec.json.decode(await self._request("GET", path), type=InForceView)

    async def wait_in_force(self, change: AcceptedChange, timeout: float) -> InForceView:
        """Wait until a change is in force everywhere, or `timeout` seconds have passed."""
        deadline = asyncio.get_running_loop().time() + timeout
        while True:
            view = await self.in_force(change, WAIT_STEP_MS)
            if view.complete or asyncio.get_running_loop().time() > deadline:
                return view
            await asyncio.sleep(RETRY_SECONDS)

    async def _request(
        self, method: str, path: str, body: bytes = b"", content_type: str = "application/toml"
    ) -> bytes:
        headers = {}
        if body:
            # The same change ID on every attempt: a resend returns the first outcome.
            headers = {"Idempotency-Key": str(uuid.uuid4()), "Content-Type": content_type}
        deadline = asyncio.get_running_loop().time() + self._retry_seconds
        while True:
            status, answer = await self._try(method, path, body, headers)
            if status in HTTP_OK_RANGE:
                return answer
            expired = asyncio.get_running_loop().time() > deadline
            if expired or status not in RETRIED_STATUSES:
                text = answer.decode(errors="replace")
                raise ControlRefused(path=path, status=status, body=text)
            await asyncio.sleep(RETRY_SECONDS)

    async def _try(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        """Return status and body; status 0 when the replica gave no answer."""
        replica = self._replicas[0]
        url = f"http://{replica}{path}"
        try:
            async with self._session.request(method, url, data=body, headers=headers) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            self._replicas.append(self._replicas.pop(0))
            return 0, str(error).encode()
