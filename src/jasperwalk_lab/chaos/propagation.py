"""Checks that every accepted change reached every balancer and agent in time.

The evidence is the processes' own health pages, not control's reports. Where a fault kept a process
down or disconnected from control, its time counts from the end of that fault.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from jasperwalk_lab.chaos.faults import SHAPES, FaultKind, FaultRecord, TargetGroup
from jasperwalk_lab.chaos.operators import SubmittedChange
from jasperwalk_lab.chaos.revisions import RevisionSample
from jasperwalk_lab.chaos.violations import ChaosPromise, ChaosViolation

PROPAGATION_LIMIT_SECONDS = 10.0
"""Required: "within seconds"."""
FAULTS_WITHOUT_OUTAGE = frozenset(
    {
        FaultKind.BALANCER_CUT,
        FaultKind.HOST_DRAINED,
        FaultKind.HOST_LEAVING,
        FaultKind.AGENT_ANSWERS_CUT,
        FaultKind.BACKEND_SHEDS,
        FaultKind.BACKEND_LIES,
    }
)
"""Faults during which a balancer or agent still follows control."""


@dataclass(frozen=True)
class Outage:
    """A process had a fault from `began` to `ended` (seconds)."""

    began: float
    ended: float


def outages(happened: Iterable[FaultRecord]) -> dict[str, list[Outage]]:
    """Return, by process, when faults kept balancers and agents from following control."""
    found: dict[str, list[Outage]] = defaultdict(list)
    for fault in happened:
        group = SHAPES[fault.kind].group
        if (
            group is TargetGroup.CONTROL
            or fault.kind in FAULTS_WITHOUT_OUTAGE
            or fault.ended is None
        ):
            continue
        process = f"agent-{fault.target}" if group is TargetGroup.HOST else fault.target
        found[process].append(Outage(fault.began, fault.ended))
    for each in found.values():
        each.sort(key=lambda outage: outage.began)
    return found


def control_outages(happened: Iterable[FaultRecord]) -> list[Outage]:
    """Return when any control replica had a fault, ordered by the start."""
    found = [
        Outage(fault.began, fault.ended)
        for fault in happened
        if SHAPES[fault.kind].group is TargetGroup.CONTROL and fault.ended is not None
    ]
    return sorted(found, key=lambda outage: outage.began)


def deadline_after(since: float, limit: float, known_outages: Iterable[Outage]) -> float:
    """Return `since` + `limit`, counted again from the end of each outage within that time."""
    deadline = since + limit
    for outage in known_outages:
        if outage.began <= deadline and outage.ended >= since:
            deadline = max(deadline, outage.ended + limit)
    return deadline


def check_propagation(
    changes: Iterable[SubmittedChange],
    samples: Iterable[RevisionSample],
    happened: Iterable[FaultRecord],
) -> Iterator[ChaosViolation]:
    """Check each accepted change on each process that was sampled."""
    by_process: dict[str, list[RevisionSample]] = defaultdict(list)
    for sample in sorted(samples, key=lambda each: each.at):
        by_process[sample.process].append(sample)
    known_outages = outages(happened)
    accepted = [(change, change.accepted()) for change in changes]
    for process, seen in by_process.items():
        for change, answer in accepted:
            if answer is None:
                continue
            since = max(change.completed, seen[0].at)
            deadline = deadline_after(
                since, PROPAGATION_LIMIT_SECONDS, known_outages.get(process, ())
            )
            late = _outdated_revision(seen, answer.revision, deadline)
            if late is not None:
                detail = f"{change.change_id} on {process}: at revision {late} of "
                detail += (
                    f"{answer.revision}, {deadline - change.completed:.1f} s after it was accepted"
                )
                yield ChaosViolation(ChaosPromise.NOT_IN_FORCE, detail)


def _outdated_revision(
    seen: Sequence[RevisionSample], revision: int, deadline: float
) -> int | None:
    """Return the older revision that a process still had at the first sample after `deadline`."""
    position = bisect.bisect_left(seen, deadline, key=lambda sample: sample.at)
    if position == len(seen) or seen[position].revision >= revision:
        return None
    return seen[position].revision
