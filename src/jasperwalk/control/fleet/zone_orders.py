"""Operators' orders to drain and restore zones, as any replica handles them.

Only the leader accepts an order; other replicas name the leader. The leader checks that the zone is
known and that the order is not stale (see `stale_orders`), then commits it to the replicated log.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import ClassVar

import structlog

from jasperwalk.control.fleet.committing import AskLeader, Unavailable, commit, refer_to_leader
from jasperwalk.control.fleet.replica import FleetReplica
from jasperwalk.control.fleet.stale_orders import (
    Leadership,
    OrderRefusal,
    StaleOrderGuard,
    ZoneOrder,
)
from jasperwalk.control.fleet.versioned_state import OrderZone, ZoneOutcome
from jasperwalk.observability.latency import LatencyHistogram

MAX_ZONE_NAME_CHARACTERS = 200
"""Longer names are truncated in logs and answers; no zone has one."""

logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class ZoneAcknowledged:
    """The order is committed, or the zone was in that state already."""

    kind: ClassVar[str] = "zone-acknowledged"
    zone: str
    drained: bool
    revision: int


@dataclass(frozen=True)
class UnknownZone:
    """No node, no setting and no earlier order names this zone; nothing was changed."""

    kind: ClassVar[str] = "unknown-zone"
    zone: str


@dataclass(frozen=True)
class ZoneListed:
    """A zone that is known, and whether it is drained."""

    zone: str
    drained: bool


@dataclass(frozen=True)
class ZonesListed:
    """Every known zone, by name; `revision` counts the orders that changed something.

    `in_force` is the revision that every node linked to a running replica applies.
    """

    kind: ClassVar[str] = "zones-listed"
    revision: int
    in_force: int
    zones: tuple[ZoneListed, ...]


ZoneResult = ZoneAcknowledged | UnknownZone | AskLeader | Unavailable
ZoneListResult = ZonesListed | AskLeader | Unavailable


@dataclass
class ZoneCounters:
    """Orders for zones on this replica since it started, by outcome."""

    zone_orders_acknowledged: int = 0
    zone_orders_unknown: int = 0
    zone_orders_abandoned: int = 0
    """Orders whose senders had disconnected before the orders could be accepted."""
    zone_orders_paused: int = 0
    """Orders that reversed a recent one and paused to see whether their senders still wait."""


class ZoneOrders:
    """Handles orders and lists zones.

    `replica` returns the replica that runs now, None while it is not open; `known_zones` returns
    the zones that settings and nodes name. `repeat_seconds` is how long operators repeat an order
    that had no answer.
    """

    def __init__(
        self,
        replica: Callable[[], FleetReplica | None],
        known_zones: Callable[[], Collection[str]],
        repeat_seconds: float,
    ) -> None:
        self._replica = replica
        self._known_zones = known_zones
        self._guard = StaleOrderGuard(repeat_seconds)
        self.counters = ZoneCounters()
        self.latency = LatencyHistogram()

    async def order(
        self, zone: str, drained: bool, caller_waits: Callable[[], bool] = lambda: True
    ) -> ZoneResult:
        """Drain or restore a zone; acknowledged only once a quorum has the order on disk.

        `caller_waits` returns whether the operator's connection is still open.
        """
        started_at = time.monotonic()
        result = await self._order(zone, drained, caller_waits)
        if isinstance(result, ZoneAcknowledged):
            self.counters.zone_orders_acknowledged += 1
            self.latency.observe(time.monotonic() - started_at)
        logger.info(
            "zone-order",
            zone=zone[:MAX_ZONE_NAME_CHARACTERS],
            drained=drained,
            outcome=result.kind,
            detail=getattr(result, "reason", ""),
            revision=getattr(result, "revision", 0),
        )
        return result

    async def _order(
        self, zone: str, drained: bool, caller_waits: Callable[[], bool]
    ) -> ZoneResult:
        replica = self._replica()
        if replica is None:
            return Unavailable("replica is starting")
        if not replica.runner.is_leader:
            return refer_to_leader(replica)
        if zone not in replica.applier.state.zones.drained and zone not in self._known_zones():
            self.counters.zone_orders_unknown += 1
            return UnknownZone(zone[:MAX_ZONE_NAME_CHARACTERS])
        arrived_at = time.monotonic()
        await self._pause(replica, _order_of(replica, zone, drained, arrived_at))
        refusal = self._guard.admit(
            _order_of(replica, zone, drained, arrived_at),
            _leadership_of(replica),
            caller_waits(),
            time.monotonic(),
        )
        if refusal is not None:
            self.counters.zone_orders_abandoned += refusal is OrderRefusal.CALLER_LEFT
            return Unavailable(refusal.value)
        return await self._commit(replica, OrderZone(zone, drained))

    async def _pause(self, replica: FleetReplica, order: ZoneOrder) -> None:
        seconds = self._guard.pause_seconds(order, _leadership_of(replica), order.arrived_at)
        if seconds:
            self.counters.zone_orders_paused += 1
            await asyncio.sleep(seconds)

    async def _commit(self, replica: FleetReplica, command: OrderZone) -> ZoneResult:
        outcome = await commit(replica, command)
        if isinstance(outcome, Unavailable):
            return outcome
        if not isinstance(outcome, ZoneOutcome):
            return Unavailable("malformed command")
        return ZoneAcknowledged(outcome.zone, outcome.drained, outcome.revision)

    def list(self) -> ZoneListResult:
        """Return every known zone, if this replica certainly holds the newest orders."""
        replica = self._replica()
        if replica is None:
            return Unavailable("replica is starting")
        if not replica.is_current():
            return refer_to_leader(replica)
        states = replica.applier.state.zones
        names = sorted({*self._known_zones(), *states.drained})
        listed = tuple(ZoneListed(name, states.drained.get(name, False)) for name in names)
        return ZonesListed(states.revision, replica.zones_in_force(), listed)


def _order_of(replica: FleetReplica, zone: str, drained: bool, arrived_at: float) -> ZoneOrder:
    held = replica.applier.state.zones.drained.get(zone)
    return ZoneOrder(zone, drained, held, arrived_at)


def _leadership_of(replica: FleetReplica) -> Leadership:
    runner = replica.runner
    return Leadership(runner.term, runner.is_settled, replica.leads_since())
