"""Lines and planes through the figures of runs at several sizes, by least squares."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec
import numpy
import numpy.typing

from jasperwalk_lab.layout import CONTROL_REPLICAS
from jasperwalk_lab.scale.figures import ScaleFigures

LEAST_SIZES = 4
"""Runs at fewer different sizes give no slope to build on."""

ROUNDING = 1e-12
"""Factors this small beside the others are rounding."""

Reading = Callable[[ScaleFigures], float]
Column = numpy.typing.NDArray[numpy.float64]


class Slope(msgspec.Struct, frozen=True):
    """`base + by_entries * entries + by_subscribers * subscribers of a replica`.

    A factor that was left out of the fit is 0. `residual` is the root mean square of what the
    fit misses, `largest` the largest value that was read.
    """

    base: float
    by_entries: float
    by_subscribers: float
    residual: float
    largest: float

    def at(self, entries: float, subscribers: float) -> float:
        """Return the fitted value."""
        return self.base + self.by_entries * entries + self.by_subscribers * subscribers


def fit(
    runs: Sequence[ScaleFigures],
    reading: Reading,
    *,
    by_entries: bool = True,
    by_subscribers: bool = True,
) -> Slope:
    """Fit a reading of runs; raises `ValueError` with fewer than `LEAST_SIZES` sizes.

    Nothing gets cheaper with size: a factor that comes out below 0 is noise, and is left out.
    """
    if len({(entries(run), subscribers(run)) for run in runs}) < LEAST_SIZES:
        raise ValueError(f"a slope needs at least {LEAST_SIZES} different sizes")
    columns = [numpy.ones(len(runs))]
    columns.append(numpy.array([entries(run) for run in runs]) * by_entries)
    columns.append(numpy.array([subscribers(run) for run in runs]) * by_subscribers)
    values = numpy.array([reading(run) for run in runs])
    factors = _least_squares(columns, values)
    while min(factors[1:]) < 0:
        columns[1 + int(numpy.argmin(factors[1:] * [each.max() for each in columns[1:]]))] *= 0
        factors = _least_squares(columns, values)
    missed = values - numpy.column_stack(columns) @ factors
    return Slope(
        base=float(factors[0]),
        by_entries=float(factors[1]),
        by_subscribers=float(factors[2]),
        residual=float(numpy.sqrt(numpy.mean(missed**2))),
        largest=float(values.max()),
    )


def _least_squares(columns: list[Column], values: Column) -> Column:
    # For a column of zeros, least squares of the smallest norm gives the factor 0.
    factors = numpy.linalg.lstsq(numpy.column_stack(columns), values, rcond=None)[0]
    # Left by rounding where the fit is exact.
    factors[numpy.abs(factors) < ROUNDING * numpy.abs(factors).max()] = 0.0
    return numpy.asarray(factors, dtype=float)


class Slopes(msgspec.Struct, frozen=True):
    """All slopes that the capacity page uses.

    Seconds, bytes and shares of one core; memory is what a process shares with nobody.
    """

    balancer_memory: Slope
    balancer_snapshot_bytes: Slope
    balancer_idle_core: Slope
    agent_memory: Slope
    agent_idle_core: Slope
    control_idle_core: Slope
    control_memory: Slope
    in_force_p99_seconds: Slope
    in_force_everywhere_seconds: Slope
    region_return_seconds: Slope


def fit_slopes(runs: Sequence[ScaleFigures]) -> Slopes:
    """Fit all slopes; raises `ValueError` with too few sizes, or for a run with failures."""
    for run in runs:
        if run.failures:
            raise ValueError(f"a run with failures gives no slope: {run.failures[0]}")

    def by_table(reading: Reading) -> Slope:
        return fit(runs, reading, by_subscribers=False)

    def by_both(reading: Reading) -> Slope:
        return fit(runs, reading)

    return Slopes(
        balancer_memory=by_table(lambda run: run.idle.balancer_memory.unshared_bytes),
        balancer_snapshot_bytes=by_table(lambda run: run.rack.received_bytes_per_balancer),
        balancer_idle_core=by_table(lambda run: run.idle.hollow_balancer.core_share),
        agent_memory=by_table(lambda run: run.idle.agent_memory.unshared_bytes),
        agent_idle_core=by_table(lambda run: run.idle.hollow_agent.core_share),
        control_idle_core=by_both(_busiest_control),
        control_memory=by_both(_largest_control),
        in_force_p99_seconds=by_both(lambda run: run.changes.in_force_from_submission.p99_ms / 1e3),
        in_force_everywhere_seconds=by_both(
            lambda run: run.changes.last_node_from_submission.max_ms / 1e3
        ),
        region_return_seconds=by_both(_region_return_seconds),
    )


def entries(run: ScaleFigures) -> float:
    """Return the entries of a run's table."""
    return run.entries


def subscribers(run: ScaleFigures) -> float:
    """Return the subscribers of one control replica, had they spread evenly."""
    return (run.balancers + run.agents) / CONTROL_REPLICAS


def _busiest_control(run: ScaleFigures) -> float:
    return max(process.core_share for process in run.idle.control)


def _largest_control(run: ScaleFigures) -> float:
    return max(process.unshared_bytes for process in run.idle.control)


def _region_return_seconds(run: ScaleFigures) -> float:
    seconds = run.region.recovery.seconds
    if seconds is None:
        raise ValueError("the nodes of a returning region were not current in time")
    return seconds
