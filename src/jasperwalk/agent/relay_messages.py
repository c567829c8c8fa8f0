"""Frames of a relayed request and of its answer, between two agents of a service."""

from __future__ import annotations

import msgspec

from jasperwalk.agent.requests import NotRunReason, Request, UnknownReason
from jasperwalk.messages.codec import Decoder


class RelayRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First frame: the request, for an agent of this service only."""

    service_id: int
    request: Request


class RelayHead(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer's status and header fields."""

    status: int
    headers: list[tuple[str, str]]


class RelayData(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A piece of the answer's body."""

    data: bytes


class RelayEnd(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The answer is complete."""


class RelayNotRun(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The target did not run the request."""

    reason: NotRunReason
    retry_after_ms: int


class RelayUnknown(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The request may have run at the target."""

    reason: UnknownReason


RelayAnswer = RelayHead | RelayData | RelayEnd | RelayNotRun | RelayUnknown

REQUEST_DECODER: Decoder[RelayRequest] = Decoder(RelayRequest)
ANSWER_DECODER: Decoder[RelayAnswer] = Decoder(RelayAnswer)
