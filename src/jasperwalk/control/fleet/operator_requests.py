"""Answers the requests for zones that the product's own command line sends to a replica."""

from __future__ import annotations

from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet.messages import (
    OPERATOR_REQUEST_DECODER,
    ListedZone,
    OperatorReply,
    OperatorRequest,
    ZoneListReply,
    ZoneListRequest,
    ZoneOrderReply,
    ZoneOrderRequest,
)
from jasperwalk.control.fleet.zone_orders import (
    ZoneListResult,
    ZoneOrders,
    ZoneResult,
    ZonesListed,
)
from jasperwalk.messages import codec
from jasperwalk.transport.framed import FramedConnection

REQUEST_TIMEOUT_SECONDS = 2.0
"""Time within which a connected operator sends the request."""


class OperatorRequestHandler:
    """Serves one request per connection."""

    def __init__(self, zone_orders: ZoneOrders) -> None:
        self._zone_orders = zone_orders

    async def serve(self, connection: FramedConnection) -> None:
        """Answer a request; raises `MalformedMessage`, or `RequestTimeout` without one."""
        request = OPERATOR_REQUEST_DECODER.decode(
            await connection.receive_request(REQUEST_TIMEOUT_SECONDS)
        )
        await connection.send(codec.encode(await self._answer(request)))

    async def _answer(self, request: OperatorRequest) -> OperatorReply:
        match request:
            case ZoneOrderRequest():
                return _order_reply(await self._zone_orders.order(request.zone, request.drained))
            case ZoneListRequest():
                return _list_reply(self._zone_orders.list())


def _order_reply(result: ZoneResult) -> ZoneOrderReply:
    return ZoneOrderReply(
        outcome=result.kind,
        reason=getattr(result, "reason", ""),
        revision=getattr(result, "revision", 0),
        leader=_leader(result),
    )


def _list_reply(result: ZoneListResult) -> ZoneListReply:
    if not isinstance(result, ZonesListed):
        reason = getattr(result, "reason", "")
        return ZoneListReply(result.kind, reason, 0, 0, [], _leader(result))
    zones = [ListedZone(each.zone, each.drained) for each in result.zones]
    return ZoneListReply(result.kind, "", result.revision, result.in_force, zones, None)


def _leader(result: ZoneResult | ZoneListResult) -> Endpoint | None:
    return getattr(result, "replica", None)
