"""What the capacity page is made of: rows with a result and a limit, and the arithmetic."""

from __future__ import annotations

import enum

import msgspec

from jasperwalk.distribution.publisher_events import PublisherConfig
from jasperwalk_lab.scale import target
from jasperwalk_lab.scale.figures import NodeCost, ProcessFigures, ScaleFigures
from jasperwalk_lab.scale.measurements import Measurements
from jasperwalk_lab.scale.slopes import Reading, Slope, subscribers

PACKET_HEADER_BYTES = 52
"""IPv4 and TCP headers with the timestamp option, without the link's own framing."""
LINK_BYTES_PER_SECOND = PublisherConfig.link_bytes_per_second
LINK_BURST_BYTES = PublisherConfig.link_burst_bytes

START_LIMIT_SECONDS = 10.0
"""Our own reading of "current within seconds" for a process that starts or returns."""


class Role(enum.StrEnum):
    """Part of the system that a row belongs to."""

    BALANCER = "Balancer"
    AGENT = "Agent"
    REPLICA = "Control replica"
    REGION = "Region and its learners"
    WHOLE = "Whole"


class Unit(enum.StrEnum):
    """Unit of a row's result and limit."""

    BYTES = "bytes"
    BYTES_PER_SECOND = "bytes/s"
    CORE_SHARE = "of a core"
    SECONDS = "seconds"
    COUNT = "count"


class Source(enum.StrEnum):
    """What gave a row's measured part."""

    SCALE = "scale"
    PARTS = "parts"
    BENCH = "bench"
    ARITHMETIC = "arithmetic"


class Verdict(enum.StrEnum):
    """How a row stands to its limit."""

    HOLDS = "holds"
    MISSES = "MISSES"
    NO_LIMIT = "no limit"


class Row(msgspec.Struct, frozen=True):
    """One row; `limit` is None where letter 1 sets none and this project neither."""

    role: Role
    name: str
    formula: str
    measured: str
    source: Source
    result: float
    limit: float | None
    unit: Unit
    mechanism: str

    @property
    def margin(self) -> float | None:
        """Return how many times the result fits into the limit."""
        if self.limit is None or self.result <= 0:
            return None
        return self.limit / self.result

    @property
    def verdict(self) -> Verdict:
        """Compare the result with the limit."""
        if self.limit is None:
            return Verdict.NO_LIMIT
        return Verdict.HOLDS if self.result <= self.limit else Verdict.MISSES


def largest_run(measured: Measurements) -> ScaleFigures:
    """Return the run with the most subscribers."""
    return max(measured.runs, key=lambda run: (subscribers(run), run.entries))


def at_region(slope: Slope) -> float:
    """Return a slope's value for a region's table and a replica's share of subscribers.

    It is never less than what was read at a smaller size.
    """
    fitted = slope.at(target.REGION_ENTRIES, target.REPLICA_SUBSCRIBERS)
    return max(fitted, slope.largest)


def updates_per_second() -> float:
    """Return deltas a second in a region: changes, and members that restart."""
    restarting_hosts = target.REGION_RESTARTS_PER_SECOND * target.HOST_SHARE
    return target.REGION_CHANGES_PER_SECOND + restarting_hosts * target.UPDATES_PER_HOST_RESTART


def most(measured: Measurements, reading: Reading) -> float:
    """Return the largest reading of all runs, 0 where all are negative.

    For what is smaller than the noise of a shared machine, where a slope would mean nothing.
    """
    return max(0.0, *(reading(run) for run in measured.runs))


def bytes_per_entry(measured: Measurements) -> float:
    """Return the encoded bytes of a table entry."""
    table = measured.parts.parts.table
    return table.snapshot_bytes / table.entries


def load_seconds(length: float) -> float:
    """Return how long a link's budget takes for this many bytes, its burst unspent."""
    return max(0.0, length - LINK_BURST_BYTES) / LINK_BYTES_PER_SECOND


def with_headers(cost: NodeCost) -> float:
    """Return a node's bytes a second both ways, headers of TCP and IP among them."""
    segments = cost.received_segments + cost.sent_segments
    return cost.received_bytes + cost.sent_bytes + segments * PACKET_HEADER_BYTES


def line_text(slope: Slope) -> str:
    """Return a slope as text; E stands for entries, S for subscribers of a replica."""
    terms = [f"{slope.base:.3g}"]
    if slope.by_entries:
        terms.append(f"{slope.by_entries:.3g} E")
    if slope.by_subscribers:
        terms.append(f"{slope.by_subscribers:.3g} S")
    return " + ".join(terms) + f" (rms {slope.residual:.2g})"


def real_balancers(run: ScaleFigures) -> list[ProcessFigures]:
    """Return the figures of a run's real balancers."""
    return list(run.idle.real_balancers)
