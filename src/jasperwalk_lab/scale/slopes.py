"""Straight lines through the figures of runs at several sizes, by least squares."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec
import numpy

from jasperwalk_lab.scale.figures import ScaleFigures

LEAST_SIZES = 4
"""Runs at fewer different sizes give no slope to build on."""
CONTROL_REPLICAS = 3

Reading = Callable[[ScaleFigures], float]


class Slope(msgspec.Struct, frozen=True):
    """The line `base + slope * x`; `residual` is the root mean square of what it misses.

    `largest_x` is the largest x that was measured: beyond it the line is a guess.
    """

    base: float
    slope: float
    residual: float
    largest_x: float

    def at(self, x: float) -> float:
        """Return the line's value."""
        return self.base + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> Slope:
    """Fit a line; raises `ValueError` with fewer than `LEAST_SIZES` different x."""
    if len({x for x, _ in points}) < LEAST_SIZES:
        raise ValueError(f"a slope needs at least {LEAST_SIZES} different sizes")
    xs = numpy.array([x for x, _ in points], dtype=float)
    ys = numpy.array([y for _, y in points], dtype=float)
    columns = numpy.column_stack([numpy.ones_like(xs), xs])
    (base, slope), *_ = numpy.linalg.lstsq(columns, ys, rcond=None)
    missed = ys - (base + slope * xs)
    return Slope(
        base=float(base),
        slope=float(slope),
        residual=float(numpy.sqrt(numpy.mean(missed**2))),
        largest_x=float(xs.max()),
    )


class Slopes(msgspec.Struct, frozen=True):
    """All slopes that the capacity page uses; x is named by each one's ending.

    Seconds, bytes and shares of one core; memory is what a process shares with nobody.
    """

    balancer_memory_by_entries: Slope
    balancer_snapshot_bytes_by_entries: Slope
    balancer_idle_core_by_entries: Slope
    balancer_change_seconds_by_entries: Slope
    agent_idle_core_by_entries: Slope
    control_core_by_subscribers_per_replica: Slope
    control_memory_by_subscribers_per_replica: Slope
    control_change_seconds_by_subscribers_per_replica: Slope
    in_force_p99_seconds_by_subscribers_per_replica: Slope
    in_force_everywhere_seconds_by_subscribers_per_replica: Slope


def fit_slopes(runs: Sequence[ScaleFigures]) -> Slopes:
    """Fit all slopes; raises `ValueError` with too few sizes."""

    def by(x: Reading, y: Reading) -> Slope:
        return fit([(x(run), y(run)) for run in runs])

    return Slopes(
        balancer_memory_by_entries=by(_entries, lambda r: r.idle.balancer_memory.unshared_bytes),
        balancer_snapshot_bytes_by_entries=by(
            _entries, lambda r: r.rack.received_bytes_per_balancer
        ),
        balancer_idle_core_by_entries=by(_entries, lambda r: r.idle.hollow_balancer.core_share),
        balancer_change_seconds_by_entries=by(
            _entries, lambda r: r.changes.balancer_cost.processor_seconds
        ),
        agent_idle_core_by_entries=by(_entries, lambda r: r.idle.hollow_agent.core_share),
        control_core_by_subscribers_per_replica=by(_per_replica, _busiest_control),
        control_memory_by_subscribers_per_replica=by(_per_replica, _largest_control),
        control_change_seconds_by_subscribers_per_replica=by(
            _per_replica, lambda r: r.changes.control_processor_seconds / CONTROL_REPLICAS
        ),
        in_force_p99_seconds_by_subscribers_per_replica=by(
            _per_replica, lambda r: r.changes.in_force_from_submission.p99_ms / 1000
        ),
        in_force_everywhere_seconds_by_subscribers_per_replica=by(
            _per_replica, lambda r: r.changes.last_node_from_submission.max_ms / 1000
        ),
    )


def _entries(run: ScaleFigures) -> float:
    return run.entries


def _per_replica(run: ScaleFigures) -> float:
    return (run.balancers + run.agents) / CONTROL_REPLICAS


def _busiest_control(run: ScaleFigures) -> float:
    return max(process.core_share for process in run.idle.control)


def _largest_control(run: ScaleFigures) -> float:
    return max(process.unshared_bytes for process in run.idle.control)
