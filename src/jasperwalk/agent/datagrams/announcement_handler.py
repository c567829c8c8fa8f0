"""Handles announcements of hosts at an agent: only those of the host beside it are accepted."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable
from typing import Protocol

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.host import HostAnnouncement, HostState

OTHER_SERVICE = "another service"
OTHER_ADDRESS = "another address"

logger = structlog.get_logger(__name__)


class AnnouncementOutcome(enum.Enum):
    """Outcome of an announcement."""

    ACCEPTED = "taken"
    STALE = "late"
    """Newer knowledge of the host exists: acknowledged, without effect."""
    REFUSED = "refused"
    """It is not from the host beside this agent."""


class BoundedLog(Protocol):
    """Writes log lines within a budget (see `DecisionLog`)."""

    def note(self, event: str, **fields: object) -> None:
        """Write one line."""


class AnnouncementHandler:
    """Handles the announcements of the host beside the agent; each takes effect at once."""

    def __init__(
        self,
        host: HostState,
        service: str,
        address: Endpoint,
        log: BoundedLog,
        on_change: Callable[[], None],
        on_new_host: Callable[[], None],
    ) -> None:
        """`service` and `address` are those of the host beside this agent, by its settings.

        `log` is for the lines that anyone who reaches the agent could cause in any number.
        `on_new_host` is called when another host, or another start of the same one, has replaced
        a known one.
        """
        self._host = host
        self._service = service
        self._address = address
        self._bounded_log = log
        self._on_change = on_change
        self._on_new_host = on_new_host
        self.refused = 0
        """Announcements that were malformed or from a host that is not beside this agent."""

    def announce(self, announcement: HostAnnouncement) -> AnnouncementOutcome:
        """Handle an announcement."""
        reason = self._reason_to_refuse(announcement)
        if reason:
            self.refuse(announcement.host_id, reason)
            return AnnouncementOutcome.REFUSED
        now = time.monotonic()
        before, known = self._host.summary(now), self._host.start
        taken = self._host.announce(announcement, now)
        if known.host_id and known != self._host.start:
            self._on_new_host()
        if before != self._host.summary(now):
            self._log("host-announced", announcement.call_number)
            self._on_change()
        elif not taken:
            self._log("host-announcement-late", announcement.call_number)
        return AnnouncementOutcome.ACCEPTED if taken else AnnouncementOutcome.STALE

    def leave(self, host_id: str) -> bool:
        """Handle a host's deregistration."""
        taken = self._host.leave(host_id)
        self._log("host-leaves", self._host.call_number)
        self._on_change()
        return taken

    def refuse(self, host_id: str, reason: str) -> None:
        """Count a refused announcement; the known state of the host stays."""
        self.refused += 1
        self._bounded_log.note("host-announcement-refused", host=host_id, reason=reason)

    def _reason_to_refuse(self, announcement: HostAnnouncement) -> str:
        if announcement.service not in ("", self._service):
            return OTHER_SERVICE
        if announcement.address not in (None, self._address):
            return OTHER_ADDRESS
        return ""

    def _log(self, event: str, call_number: int) -> None:
        host = self._host
        logger.info(
            event,
            host=host.host_id,
            phase=host.phase.value,
            host_call=call_number,
            host_started_unix_ms=host.started_unix_ms,
        )
