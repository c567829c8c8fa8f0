"""The figures of a scale run. Times are in seconds unless a name says otherwise."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

HIGHEST_MILLISECONDS = 10 * 60 * 1000
SIGNIFICANT_FIGURES = 3


class Percentiles(msgspec.Struct, frozen=True):
    """A distribution in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class NodeCost(msgspec.Struct, frozen=True):
    """What one node of a kind costs a second.

    `core_share` is processor time over time. Bytes are TCP payload; segments are TCP
    segments, acknowledgements without payload among them.
    """

    nodes: int
    core_share: float
    received_bytes: float
    sent_bytes: float
    received_segments: float
    sent_segments: float


class NodeMemory(msgspec.Struct, frozen=True):
    """What the followers of one role add to their processes, over what these began with."""

    nodes: int
    entries: int
    unshared_bytes: float
    unshared_bytes_per_entry: float


class ProcessFigures(msgspec.Struct, frozen=True):
    """One real process: processor time over time, and memory in bytes."""

    name: str
    core_share: float
    resident_bytes: int
    unshared_bytes: int


class JoinFigures(msgspec.Struct, frozen=True):
    """From the first start of a role's hollow nodes until all are registered and current.

    The agents come first, the balancers once these are current. None: not in time.
    """

    submit_seconds: float
    agent_starts_per_second: int
    balancer_starts_per_second: int
    agents_seconds: float | None
    balancers_seconds: float | None
    control_peak_core_share: float


class IdleFigures(msgspec.Struct, frozen=True):
    """Nothing changes: heartbeats and acknowledgements alone."""

    seconds: float
    other_core_share: float
    hollow_balancer: NodeCost
    hollow_agent: NodeCost
    control: list[ProcessFigures]
    control_core_share_per_subscriber: float
    real_balancers: list[ProcessFigures]
    real_agents: list[ProcessFigures]
    balancer_memory: NodeMemory
    agent_memory: NodeMemory


class ChangeCost(msgspec.Struct, frozen=True):
    """What one change costs one node beyond idling."""

    processor_seconds: float
    received_bytes: float
    sent_bytes: float


class ChangeFigures(msgspec.Struct, frozen=True):
    """Changes of one tenant's weights, one after the other at an interval.

    Times in force are one for each pair of change and hollow node. `missing` counts the pairs
    where the change had not arrived when the run looked.
    """

    changes: int
    interval_seconds: float
    missing: int
    in_force_from_submission: Percentiles
    in_force_from_acceptance: Percentiles
    last_node_from_submission: Percentiles
    balancer_cost: ChangeCost
    agent_cost: ChangeCost
    control_processor_seconds: float
    reconnections: int


class RecoveryFigures(msgspec.Struct, frozen=True):
    """How the fleet came back after a fault.

    `seconds` is None where it had not recovered when the run gave up. `lowest_fresh` is the
    least number of hollow nodes with a fresh table that a probe saw.
    """

    seconds: float | None
    nodes: int
    lowest_fresh: int
    control_peak_core_share: float


class KillFigures(msgspec.Struct, frozen=True):
    """The leader is killed, then started again on its data folder.

    `change_accepted_seconds` is the time from the kill to the acceptance of a change that was
    submitted at once.
    """

    change_accepted_seconds: float
    until_fresh: RecoveryFigures
    restart_until_current_seconds: float | None


class RackFigures(msgspec.Struct, frozen=True):
    """A rack's hollow nodes start anew at once, with nothing."""

    balancers: int
    agents: int
    recovery: RecoveryFigures
    received_bytes_per_balancer: float
    received_bytes_per_agent: float


class RegionFigures(msgspec.Struct, frozen=True):
    """Every hollow node is cut off, changes go on, and all come back at once."""

    cut_seconds: float
    changes: int
    recovery: RecoveryFigures
    balancer_processor_seconds: float
    control_processor_seconds: float


class ScaleFigures(msgspec.Struct, frozen=True):
    """All figures of one run at one size."""

    balancers: int
    agents: int
    services: int
    entries: int
    seed: int
    seconds: float
    hollow_processes: int
    peak_resident_bytes: int
    load_average_before: float
    join: JoinFigures
    idle: IdleFigures
    changes: ChangeFigures
    killed_leader: KillFigures
    rack: RackFigures
    region: RegionFigures
    failures: list[str]


def percentiles(seconds: Sequence[float]) -> Percentiles:
    """Summarise times in seconds; of no times, all is 0."""
    histogram = HdrHistogram(1, HIGHEST_MILLISECONDS * 1000, SIGNIFICANT_FIGURES)
    for each in seconds:
        histogram.record_value(max(1, int(each * 1_000_000)))
    if not seconds:
        return Percentiles(count=0, p50_ms=0.0, p99_ms=0.0, max_ms=0.0)
    return Percentiles(
        count=len(seconds),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        max_ms=max(seconds) * 1000,
    )
