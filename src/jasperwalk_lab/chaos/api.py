"""One request to one control replica, without retries: the calling code interprets the answer."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp
import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.control.views import ChangeView, TenantBody, TenantView
from jasperwalk_lab.control_client import InForceView

REQUEST_TIMEOUT_SECONDS = 4.0


class ProblemContext(msgspec.Struct, frozen=True):
    """Context of a refusal; `current` is the tenant's revision in a revision mismatch."""

    current: int | None = None


class ProblemView(msgspec.Struct, frozen=True):
    """The fields of a problem+json body that the lab reads."""

    kind: str
    context: ProblemContext | None = None


@dataclass(frozen=True)
class Accepted:
    """The change is accepted."""

    revision: int
    subject_revision: int


@dataclass(frozen=True)
class Refused:
    """The change is refused permanently; `current` is the revision that a mismatch names."""

    kind: str
    current: int | None


@dataclass(frozen=True)
class NotDecided:
    """No answer, or one that asks to retry with the same change ID."""

    reason: str


ChangeAnswer = Accepted | Refused | NotDecided
RETRIED_STATUSES = frozenset({500, 502, 503, 504})


def parse_change_answer(status: int, body: bytes) -> ChangeAnswer:
    """Decode the answer to a change."""
    if status == 200:  # noqa: PLR2004 - HTTP 200 OK
        view = msgspec.json.decode(body, type=ChangeView)
        return Accepted(view.revision, view.subject_revision)
    try:
        problem = msgspec.json.decode(body, type=ProblemView)
    except msgspec.MsgspecError:
        return NotDecided(f"status {status}")
    if status in RETRIED_STATUSES:
        return NotDecided(problem.kind)
    context = problem.context or ProblemContext()
    return Refused(problem.kind, context.current)


class ReplicaApi:
    """Client of the replicas' API; every call names the replica to ask."""

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def put_tenant(
        self, replica: Endpoint, name: str, body: TenantBody, change_id: str, expected: int | None
    ) -> ChangeAnswer:
        """Submit a tenant; `expected` goes into If-Match."""
        headers = {"Idempotency-Key": change_id, "Content-Type": "application/json"}
        if expected is not None:
            headers["If-Match"] = f'"{expected}"'
        url = f"http://{replica}/v1/tenants/{name}"
        data = msgspec.json.encode(body)
        try:
            async with self._session.put(url, data=data, headers=headers) as response:
                return parse_change_answer(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError) as error:
            return NotDecided(type(error).__name__)

    async def change(self, replica: Endpoint, change_id: str) -> ChangeAnswer:
        """Ask for the outcome of a change."""
        status, body = await self._get(f"http://{replica}/v1/changes/{change_id}")
        return parse_change_answer(status, body)

    async def tenant(self, replica: Endpoint, name: str) -> TenantView | None:
        """Read a tenant; None without an answer."""
        status, body = await self._get(f"http://{replica}/v1/tenants/{name}")
        return msgspec.json.decode(body, type=TenantView) if status == 200 else None  # noqa: PLR2004

    async def in_force(self, replica: Endpoint, change_id: str, wait_ms: int) -> InForceView | str:
        """Ask where a change is in force; return the reason when the replica does not know."""
        url = f"http://{replica}/v1/changes/{change_id}/in-force?wait_ms={wait_ms}"
        status, body = await self._get(url)
        if status == 200:  # noqa: PLR2004 - HTTP 200 OK
            return msgspec.json.decode(body, type=InForceView)
        return f"status {status}" if status else "no answer"

    async def _get(self, url: str) -> tuple[int, bytes]:
        try:
            async with self._session.get(url) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""
