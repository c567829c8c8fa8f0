"""State of the backend stand-in, without sockets: slots, cold start, late or false reports."""

from __future__ import annotations

import collections
import enum
from dataclasses import dataclass, field

import msgspec


class BackendStatus(enum.StrEnum):
    """Status that a backend reports on `/health`."""

    OK = "ok"
    DRAINING = "draining"
    STARTING = "starting"


class LoadReport(msgspec.Struct, frozen=True):
    """Answer of `/health` and `/load`: status, busy slots and slots."""

    status: BackendStatus
    busy: int
    slots: int


class ReportFaults(msgspec.Struct, frozen=True):
    """How reports are wrong: seconds of lag, and values reported instead of the true ones."""

    lag_seconds: float = 0.0
    false_status: BackendStatus | None = None
    false_busy: int | None = None


@dataclass
class BackendState:
    """Slots, drain and cold start of one backend.

    Service times are multiplied by `cold_factor` at the start, and fall linearly to their normal
    length within `cold_seconds`. At most `queue_length` requests wait for a slot.
    """

    slots: int
    queue_length: int
    cold_seconds: float
    cold_factor: float
    started: float
    busy: int = 0
    waiting: int = 0
    draining: bool = False
    faults: ReportFaults = field(default_factory=ReportFaults)
    _reports: collections.deque[tuple[float, LoadReport]] = field(
        default_factory=lambda: collections.deque(maxlen=100_000)
    )

    def sheds_new_requests(self) -> bool:
        """Return whether a request that arrives now is shed without running."""
        return self.draining or (self.busy >= self.slots and self.waiting >= self.queue_length)

    def slowdown(self, now: float) -> float:
        """Return the factor on service times at `now`: 1 when warm."""
        if self.cold_seconds <= 0:
            return 1.0
        coldness = max(0.0, 1.0 - (now - self.started) / self.cold_seconds)
        return 1.0 + (self.cold_factor - 1.0) * coldness

    def status(self, now: float) -> BackendStatus:
        """Return the true status at `now`."""
        if self.draining:
            return BackendStatus.DRAINING
        if now - self.started < self.cold_seconds:
            return BackendStatus.STARTING
        return BackendStatus.OK

    def record_report(self, now: float) -> None:
        """Record the true report of `now`, for delayed reports; call this after every change."""
        report = LoadReport(status=self.status(now), busy=self.busy, slots=self.slots)
        self._reports.append((now, report))

    def report(self, now: float) -> LoadReport:
        """Return the report that the backend gives at `now`, with its faults applied."""
        true_report = self._true_report(now - self.faults.lag_seconds)
        return LoadReport(
            status=true_report.status
            if self.faults.false_status is None
            else self.faults.false_status,
            busy=true_report.busy if self.faults.false_busy is None else self.faults.false_busy,
            slots=self.slots,
        )

    def _true_report(self, at: float) -> LoadReport:
        for recorded_at, report in reversed(self._reports):
            if recorded_at <= at:
                return msgspec.structs.replace(report, status=self._status_since(report, at))
        return LoadReport(status=BackendStatus.STARTING, busy=0, slots=self.slots)

    def _status_since(self, report: LoadReport, at: float) -> BackendStatus:
        # The end of the cold start records no report: one recorded while cold may be warm by `at`.
        if report.status is BackendStatus.STARTING and at - self.started >= self.cold_seconds:
            return BackendStatus.OK
        return report.status
