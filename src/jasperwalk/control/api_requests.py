"""Parsing of requests to the operators' interface; malformed input raises `BadRequest`."""

from __future__ import annotations

import re
import uuid
from typing import TypeVar

import msgspec
from aiohttp import web

from jasperwalk.config.table_entries import KeyPurpose
from jasperwalk.control.problem import BadRequest

IF_MATCH_PATTERN = re.compile(r'^"([0-9]{1,18})"$')
CHANGE_ID_HEADER = "Idempotency-Key"
MAX_WAIT_MS = 60_000
"""Longest wait that a request may ask for, in milliseconds."""

BodyType = TypeVar("BodyType")


def change_id_of(request: web.Request) -> str:
    """Return the operator's change ID, or a random one if none was given."""
    return request.headers.get(CHANGE_ID_HEADER) or uuid.uuid4().hex


def expected_revision_of(request: web.Request) -> int | None:
    """Return the revision in If-Match, or None without that header."""
    header = request.headers.get("If-Match")
    if header is None:
        return None
    match = IF_MATCH_PATTERN.match(header.strip())
    if match is None:
        raise BadRequest(reason=f'If-Match {header!r} must be a revision in quotes, such as "17"')
    return int(match.group(1))


async def json_body_of(request: web.Request, body_type: type[BodyType]) -> BodyType:
    """Decode the JSON body into its documented type."""
    try:
        return msgspec.json.decode(await request.read(), type=body_type, strict=True)
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadRequest(reason=f"the JSON body does not fit: {error}") from error


async def text_body_of(request: web.Request) -> str:
    """Return the body as UTF-8 text."""
    try:
        return (await request.read()).decode("utf-8")
    except UnicodeDecodeError as error:
        raise BadRequest(reason=f"the body is not UTF-8 text: {error.reason}") from error


def integer_query_of(request: web.Request, name: str) -> int | None:
    """Return a query parameter that is an integer of at least 0, or None if it is absent."""
    text = request.query.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal()):
        raise BadRequest(reason=f"{name} must be a whole number of at least 0, not {text!r}")
    return int(text)


def wait_seconds_of(request: web.Request) -> float:
    """Return the requested wait in seconds."""
    wait_ms = integer_query_of(request, "wait_ms") or 0
    if wait_ms > MAX_WAIT_MS:
        raise BadRequest(reason=f"wait_ms may be at most {MAX_WAIT_MS}")
    return wait_ms / 1000


def accepts_stale(request: web.Request) -> bool:
    """Return whether the request accepts a stale answer."""
    text = request.query.get("stale", "false")
    if text not in ("true", "false"):
        raise BadRequest(reason=f"stale must be true or false, not {text!r}")
    return text == "true"


def replica_id_of(request: web.Request) -> int:
    """Return the replica ID in the path."""
    text = request.match_info["replica_id"]
    if not (text.isascii() and text.isdecimal()):
        raise BadRequest(reason=f"replica ID {text!r} is not a number")
    return int(text)


def key_purpose_of(request: web.Request) -> KeyPurpose:
    """Return the purpose of fleet keys in the path."""
    text = request.match_info["purpose"]
    try:
        return KeyPurpose(text)
    except ValueError as error:
        known = ", ".join(KeyPurpose)
        raise BadRequest(reason=f"no keys have the purpose {text!r}; known: {known}") from error
