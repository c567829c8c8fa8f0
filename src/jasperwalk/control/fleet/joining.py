"""How a replica that is not a member requests to join, and how the others answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet.messages import JOIN_DECODER, JoinReply, JoinRequest, JoinStatus
from jasperwalk.errors import JasperwalkError, MalformedMessage
from jasperwalk.messages import codec
from jasperwalk.transport.client import connect
from jasperwalk.transport.framed import FramedConnection
from jasperwalk.transport.hello import ConnectionKind, make_hello

ANSWER_TIMEOUT_SECONDS = 0.6


async def request_to_join(
    request: JoinRequest, name: str, cluster_id: str, addresses: Sequence[Endpoint]
) -> JoinReply | None:
    """Ask the replicas one after the other, and next the leader that one of them names.

    An answer without a leader is skipped: that replica may be as new as this one. Returns the
    leader's answer, or None where no leader was found.
    """
    asked: set[Endpoint] = set()
    waiting = list(addresses)
    while waiting:
        address = waiting.pop(0)
        if address in asked:
            continue
        asked.add(address)
        reply = await _ask(request, name, cluster_id, address)
        if reply is None:
            continue
        if reply.status is not JoinStatus.NOT_LEADER:
            return reply
        if reply.leader is not None:
            waiting.insert(0, reply.leader)
    return None


async def _ask(
    request: JoinRequest, name: str, cluster_id: str, address: Endpoint
) -> JoinReply | None:
    hello = make_hello(ConnectionKind.REPORTER, name, cluster_id, request.replica_id)
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            connection = await connect(address, hello, ANSWER_TIMEOUT_SECONDS)
            try:
                await connection.send(codec.encode(request))
                reply = JOIN_DECODER.decode(await connection.receive())
            finally:
                connection.abort()
    except (TimeoutError, JasperwalkError):
        return None
    return reply if isinstance(reply, JoinReply) else None


class JoinRequestHandler:
    """Answers join requests; `decide` checks the member list and records the request."""

    def __init__(self, decide: Callable[[JoinRequest], JoinReply]) -> None:
        self._decide = decide

    async def serve(self, connection: FramedConnection) -> None:
        """Answer one request; raises `MalformedMessage`, or `RequestTimeout` without one."""
        request = JOIN_DECODER.decode(await connection.receive_request(ANSWER_TIMEOUT_SECONDS))
        if not isinstance(request, JoinRequest):
            raise MalformedMessage(reason="expected a join request")
        await connection.send(codec.encode(self._decide(request)))
