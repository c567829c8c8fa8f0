"""The links that balancers and agents open to this replica, their home.

A node announces its record on its link; the home enters it in the directory and sends the node
drained zones, routes, warm-ups and the agents of the fleet, and then their changes. A link that is
silent for too long is closed; the node's record leaves the directory with it, unless the node has
connected again meanwhile.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet.directory import NodeDirectory
from jasperwalk.control.fleet.messages import HomedNodes
from jasperwalk.errors import JasperwalkError
from jasperwalk.fleet.messages import (
    NODE_DECODER,
    Announce,
    DrainedZones,
    FleetUpdate,
    HomeMessage,
    HomeStatus,
    NodeRecord,
    NodeRole,
    RoutesUpdate,
    WarmUp,
    WarmUpUpdate,
)
from jasperwalk.flows.routes import FlowRoute, RouteSet
from jasperwalk.messages import codec
from jasperwalk.transport.errors import ConnectionLost
from jasperwalk.transport.framed import FramedConnection

NODE_SILENCE_SECONDS = 1.6
"""A node pings several times within this time; without any message its link is closed."""
FLEET_INTERVAL_SECONDS = 0.05
"""Minimum time between two updates of the agents to the linked nodes. Many nodes change at once
when a replica is cut off or power returns: an update for each change to each node would be some ten
thousand messages from a replica with forty links, and would delay callers' packets on a balancer
with a sixth of a processor. An opening packet that is sent to an agent which has just left costs
0.1 s, so a delay of half of that is acceptable."""

NO_DRAINED_ZONES = DrainedZones()
NO_WARM_UP = WarmUp()

logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class HomeView:
    """What a home publishes to its nodes: whether it is current, and its replicated state."""

    current: bool
    routes: RouteSet
    replicas: list[Endpoint]
    flow_idle_ms: int = 0
    zones: DrainedZones = NO_DRAINED_ZONES
    warm_ups: Mapping[str, WarmUp] = field(default_factory=dict)

    def status(self) -> HomeStatus:
        """Return the status message for the linked nodes."""
        return HomeStatus(
            self.current,
            self.routes.version,
            self.replicas,
            self.flow_idle_ms,
            self.zones.revision,
        )


@dataclass(eq=False)
class NodeLink:
    """One linked node, and the state that it was sent."""

    connection: FramedConnection
    record: NodeRecord | None = None
    sent_version: int = 0
    sent_routes: dict[Endpoint, FlowRoute] = field(default_factory=dict)
    sent_zones_revision: int = 0
    zones_revision: int = 0
    """Revision of the drained zones that the node reports to apply."""
    sent_warm_up: WarmUp | None = None

    def send(self, message: HomeMessage) -> None:
        """Queue a message; raises what `FramedConnection.write` raises."""
        self.connection.write(codec.encode(message))

    def send_routes(self, routes: RouteSet) -> None:
        """Send the difference to the version that was sent last, where there is a newer one."""
        if routes.version <= self.sent_version:
            return
        listed = {route.listener: route for route in routes.routes}
        changed = [route for each, route in listed.items() if self.sent_routes.get(each) != route]
        removed = [each for each in self.sent_routes if each not in listed]
        self.send(RoutesUpdate(self.sent_version, routes.version, changed, removed))
        self.sent_version = routes.version
        self.sent_routes = listed

    def send_zones(self, zones: DrainedZones) -> None:
        """Send the drained zones where they are newer than what was sent."""
        if zones.revision > self.sent_zones_revision:
            self.send(zones)
            self.sent_zones_revision = zones.revision

    def send_warm_up(self, version: int, warm_ups: Mapping[str, WarmUp]) -> None:
        """Send an agent the warm-up (slow start) of its own service, where it changed."""
        if self.record is None or self.record.role is not NodeRole.AGENT or not version:
            return
        warm_up = warm_ups.get(self.record.service, NO_WARM_UP)
        if warm_up != self.sent_warm_up:
            self.send(WarmUpUpdate(version, warm_up))
            self.sent_warm_up = warm_up


@dataclass
class HomeCounters:
    """Updates about the fleet that a home has sent its nodes."""

    fleet_updates: int = 0
    """Updates, each of which went to every linked node."""
    fleet_records: int = 0
    """Agents in these updates that changed or left."""


class HomeLinks:
    """Serves the nodes' links; `notify_replicas` sends changes of them to the other replicas."""

    def __init__(
        self,
        directory: NodeDirectory,
        view: Callable[[], HomeView],
        notify_replicas: Callable[[HomedNodes], None],
        fleet_interval_seconds: float = FLEET_INTERVAL_SECONDS,
    ) -> None:
        self._directory = directory
        self._view = view
        self._notify_replicas = notify_replicas
        self.counters = HomeCounters()
        self._links: set[NodeLink] = set()
        self._published_current = False
        self._published_position = (0, 0)
        self._fleet_interval_seconds = fleet_interval_seconds
        self._fleet_published_at = float("-inf")
        self._fleet_publication: asyncio.TimerHandle | None = None

    async def serve(self, connection: FramedConnection) -> None:
        """Serve one node's link until it ends or is silent for too long."""
        link = NodeLink(connection)
        self._links.add(link)
        reason = "silent"
        try:
            while True:
                async with asyncio.timeout(NODE_SILENCE_SECONDS):
                    payload = await connection.receive()
                self._handle_message(link, payload)
        except TimeoutError:
            connection.abort()
        except JasperwalkError as error:
            reason = error.kind
            connection.abort()
        finally:
            self._links.discard(link)
            self._on_link_ended(link, reason)

    def _handle_message(self, link: NodeLink, payload: bytes) -> None:
        message = NODE_DECODER.decode(payload)
        view = self._view()
        if link not in self._links:
            raise ConnectionLost(reason="replaced by a newer link")
        if isinstance(message, Announce):
            self._on_announce(link, message.record)
        else:
            link.zones_revision = message.zones_revision
        link.send(view.status())

    def _on_announce(self, link: NodeLink, record: NodeRecord) -> None:
        is_new = link.record is None
        if is_new:
            self._close_previous_links(record)
        link.record = record
        logger.info(
            "node-announced",
            node=record.name,
            role=record.role.value,
            service=record.service,
            phase=record.phase.value,
            incarnation=record.incarnation,
            new_link=is_new,
        )
        update = self._directory.announce(record)
        self._notify_replicas(update)
        if is_new:
            self._send_initial_state(link, record, self._view())
        self.publish_fleet()

    def _send_initial_state(self, link: NodeLink, record: NodeRecord, view: HomeView) -> None:
        """Send a new node its state; drained zones before the routes and agents they restrict."""
        link.send_zones(view.zones)
        link.send_warm_up(view.routes.version, view.warm_ups)
        if record.role is NodeRole.BALANCER:
            link.send_routes(view.routes)
        link.send(self._directory.agents(time.monotonic()))

    def _links_at(self, endpoint: Endpoint) -> list[NodeLink]:
        """Return the links that have announced a node at `endpoint`."""
        return [
            link
            for link in self._links
            if link.record is not None and link.record.endpoint == endpoint
        ]

    def _close_previous_links(self, record: NodeRecord) -> None:
        """Close the links that the same process opened before and has replaced.

        Their end must not remove the node, and they may not change its record any more.
        """
        for former in self._links_at(record.endpoint):
            if former.record is not None and former.record.incarnation == record.incarnation:
                logger.info("node-link-replaced", node=record.name)
                self._links.discard(former)
                former.record = None
                former.connection.abort()

    def _on_link_ended(self, link: NodeLink, reason: str) -> None:
        if link.record is None:
            return
        logger.info("node-lost", node=link.record.name, reason=reason)
        update = self._directory.unlink(link.record, time.monotonic())
        if update is not None:
            self._notify_replicas(update)
            self._announce_remaining_link(link.record.endpoint)
        self.publish_fleet()

    def _announce_remaining_link(self, endpoint: Endpoint) -> None:
        """Announce the process that still has a link at the end point that was just removed.

        A delayed announcement of another process had replaced its record.
        """
        for standing in self._links_at(endpoint):
            if standing.record is not None:
                self._notify_replicas(self._directory.announce(standing.record))

    def publish_status(self) -> None:
        """Notify every node at once when this home becomes current, or no longer is."""
        view = self._view()
        if view.current == self._published_current:
            return
        self._published_current = view.current
        self._send_to_all(list(self._links), view.status())

    def publish_fleet(self) -> None:
        """Send the linked nodes what changed in the directory: all of them search for flows.

        The update is sent at once if none was sent within the interval; otherwise at its end,
        with all changes until then.
        """
        if self._fleet_publication is not None or not self._directory.has_changes():
            return
        wait_seconds = self._fleet_published_at + self._fleet_interval_seconds - time.monotonic()
        if wait_seconds <= 0:
            self._publish_fleet_now()
        else:
            loop = asyncio.get_running_loop()
            self._fleet_publication = loop.call_later(wait_seconds, self._publish_fleet_now)

    def _publish_fleet_now(self) -> None:
        self._fleet_publication = None
        changes = self._directory.take_changes()
        if changes is None:
            return
        self._fleet_published_at = time.monotonic()
        self.counters.fleet_updates += 1
        self.counters.fleet_records += len(changes.records) + len(changes.removed)
        announced = [link for link in self._links if link.record is not None]
        self._send_to_all(announced, changes)

    def publish_routes(self) -> None:
        """Send the linked balancers the routes in force."""
        routes = self._view().routes
        self._send_each_balancer(lambda link: link.send_routes(routes))

    def zones_in_force(self) -> int:
        """Return the lowest revision of drained zones that the linked nodes apply."""
        revisions = [link.zones_revision for link in self._links if link.record is not None]
        return min(revisions, default=self._view().zones.revision)

    def publish_restrictions(self) -> None:
        """Send every linked node the drained zones, and agents their service's warm-up."""
        view = self._view()
        position = (view.routes.version, view.zones.revision)
        if position == self._published_position:
            return
        self._published_position = position
        announced = [link for link in self._links if link.record is not None]
        self._send_each(announced, lambda link: link.send_zones(view.zones))
        self._send_each(
            announced, lambda link: link.send_warm_up(view.routes.version, view.warm_ups)
        )

    def _send_each_balancer(self, send: Callable[[NodeLink], None]) -> None:
        balancers = [
            link
            for link in self._links
            if link.record is not None and link.record.role is NodeRole.BALANCER
        ]
        self._send_each(balancers, send)

    def _send_to_all(self, links: Iterable[NodeLink], message: HomeStatus | FleetUpdate) -> None:
        """Send one message to several links, encoded once."""
        payload = codec.encode(message)
        self._send_each(links, lambda link: link.connection.write(payload))

    def _send_each(self, links: Iterable[NodeLink], send: Callable[[NodeLink], None]) -> None:
        for link in links:
            try:
                send(link)
            except JasperwalkError as error:
                self._drop_link(link, error)

    def _drop_link(self, link: NodeLink, error: JasperwalkError) -> None:
        """Abort a link that accepts no more messages; `serve` then removes its node.

        It leaves the set at once: when many links end together, the update about the first of
        them must not be tried on all the others.
        """
        self._links.discard(link)
        name = "" if link.record is None else link.record.name
        logger.warning("node-link-given-up", node=name, kind=error.kind)
        link.connection.abort()
