"""The agent's current view of its service: an immutable value, replaced on every change.

A change comes from a new revision of the routing table, from control's registration of this
start (incarnation), or from a planned stop. Each one is applied to the endpoint, to what is
known of the peers, to the admission limits and to the slow start.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.admission import AdmissionLimits
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.health import BackendHealth
from jasperwalk.agent.peer_slots import PeerSlots
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.slot_allocator import SlotAllocator
from jasperwalk.distribution.follower_table import FollowerTable

logger = structlog.get_logger(__name__)


class CurrentView:
    """Holds the view and applies each change to the agent's components. `clock` is in seconds."""

    def __init__(
        self,
        view: ServiceView,
        endpoint: AgentEndpoint,
        allocator: SlotAllocator,
        health: BackendHealth,
        peers: PeerSlots,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._newest = view
        """As in the newest table; `_view` keeps the former service while a move is pending."""
        self._endpoint = endpoint
        self._allocator = allocator
        self._health = health
        self._peers = peers
        self._clock = clock
        self._online_incarnation = 0
        """The incarnation that was last seen online."""

    def get(self) -> ServiceView:
        """Return the current view."""
        return self._view

    @property
    def move_pending(self) -> bool:
        """Return whether this member was moved to a service that it does not serve yet."""
        moved = self._view.removed and self._newest.service is not None
        return moved and not self._view.stopping

    def bind(self, address: Endpoint) -> None:
        """Set the address of the opened ports, before the first table arrives."""
        self._view = dataclasses.replace(self._view, address=address)

    def table_changed(self, table: FollowerTable, incarnation: int) -> None:
        """Apply a new revision of the table."""
        self._newest = ServiceView.build(
            self._view.address, table.revision, incarnation, table.entries()
        )
        self._replace(self._view.followed_by(self._newest))

    def set_incarnation(self, incarnation: int) -> None:
        """Set the agent's incarnation, as assigned by control."""
        if incarnation != self._view.incarnation:
            self._replace(dataclasses.replace(self._view, incarnation=incarnation))

    def set_stopping(self) -> None:
        """Accept no new work from now on."""
        self._replace(dataclasses.replace(self._view, stopping=True))

    def apply_move(self) -> None:
        """Serve the service that this member was moved to."""
        incarnation = self._view.incarnation
        self._replace(dataclasses.replace(self._newest, incarnation=incarnation))
        logger.info("service-changed", revision=self._view.revision)

    def _replace(self, view: ServiceView) -> None:
        before, self._view = self._view, view
        self._endpoint.set_view(view)
        self._peers.keep_only(view.members)
        self._apply_limits()
        self._start_slow_start()
        _log_changes(before, view)

    def _apply_limits(self) -> None:
        service, member = self._view.service, self._view.member
        if service is None or member is None:
            return
        limits = AdmissionLimits(
            member.slots, service.limits.queue_length, service.limits.queue_wait_ms
        )
        self._allocator.apply(self._allocator.admission.set_limits(limits, self._clock()))
        self._health.failures_to_offline = service.health_monitor.failures_to_offline

    def _start_slow_start(self) -> None:
        """Start the slow start when control first reports this incarnation as online."""
        view = self._view
        if view.online and view.incarnation != self._online_incarnation:
            self._online_incarnation = view.incarnation
            self._endpoint.slow_start.start(self._clock())


def _log_changes(before: ServiceView, after: ServiceView) -> None:
    if before.draining != after.draining:
        logger.info("draining-changed", draining=after.draining, revision=after.revision)
    if before.incarnation != after.incarnation:
        logger.info("incarnation-changed", incarnation=after.incarnation)
