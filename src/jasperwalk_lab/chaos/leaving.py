"""Measures how long a leaving host still gets new requests, and checks the limit."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from jasperwalk_lab.chaos.observations import LeavingPeriod
from jasperwalk_lab.chaos.violations import ChaosPromise, ChaosViolation
from jasperwalk_lab.journal import JournalRecord

LEAVING_LIMIT_SECONDS = 5.0
"""Required: no new work "after a few seconds"."""


@dataclass(frozen=True)
class LeavingReport:
    """Seconds from each order to leave until the host's last new request, and the violations."""

    seconds: tuple[float, ...]
    violations: tuple[ChaosViolation, ...]


def check_leaving(
    periods: Iterable[LeavingPeriod], journal: Iterable[JournalRecord]
) -> LeavingReport:
    """Measure each period; runs that start after the limit break the promise."""
    runs: dict[str, list[JournalRecord]] = defaultdict(list)
    for record in journal:
        if record.ran:
            runs[record.host].append(record)
    seconds: list[float] = []
    violations: list[ChaosViolation] = []
    for period in periods:
        until = float("inf") if period.until is None else period.until
        within = [run for run in runs[period.host] if period.since < run.ran_at < until]
        last = max((run.ran_at - period.since for run in within), default=0.0)
        seconds.append(last)
        late = [run for run in within if run.ran_at - period.since > LEAVING_LIMIT_SECONDS]
        violations.extend(_late_run(period, run) for run in late)
    return LeavingReport(tuple(seconds), tuple(violations))


def _late_run(period: LeavingPeriod, run: JournalRecord) -> ChaosViolation:
    after = run.ran_at - period.since
    detail = (
        f"{run.path} {run.request_id} started at {period.host} {after:.1f} s after {period.cause}"
    )
    return ChaosViolation(ChaosPromise.WORK_ON_LEAVING_HOST, detail)
