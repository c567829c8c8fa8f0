"""Checks operators' changes: one outcome each, one winner per race, none lost, one order.

Input: each change with the definite answers that its operator got, and what the replicas hold at
the end. Output: one violation for each broken promise.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

from jasperwalk_lab.chaos.api import Accepted, ChangeAnswer, Refused
from jasperwalk_lab.chaos.faults import FaultRecord
from jasperwalk_lab.chaos.operators import InForceTime, SubmittedChange
from jasperwalk_lab.chaos.propagation import control_outages, deadline_after
from jasperwalk_lab.chaos.violations import ChaosPromise, ChaosViolation
from jasperwalk_lab.simulator.linearizability import (
    AcceptedAt,
    ChangeResult,
    Open,
    Operation,
    ReadAt,
    RefusedAt,
    find_order,
)

MISMATCH = "revision-mismatch"
REPORT_LIMIT_SECONDS = 10.0
"""Time within which control has to report that a change is in force everywhere."""


def check_resends(changes: Iterable[SubmittedChange]) -> Iterator[ChaosViolation]:
    """Check that every resend got the first outcome."""
    for change in changes:
        if len(set(change.answers)) > 1:
            detail = f"{change.change_id}: {', '.join(str(each) for each in change.answers)}"
            yield ChaosViolation(ChaosPromise.RESEND_DIFFERS, detail)


def check_winners(changes: Iterable[SubmittedChange]) -> Iterator[ChaosViolation]:
    """Check that at most one change that expected a given revision of a tenant was accepted."""
    winners = Counter(
        (change.tenant, change.expected)
        for change in changes
        if change.expected is not None and change.accepted() is not None
    )
    for (tenant, expected), count in winners.items():
        if count > 1:
            detail = f"{count} changes of {tenant} won at revision {expected}"
            yield ChaosViolation(ChaosPromise.TWO_WINNERS, detail)


def check_order(
    changes: Iterable[SubmittedChange], tenant: str, initial: int, final: int
) -> Iterator[ChaosViolation]:
    """Check that a single order explains all answers about a tenant and its `final` revision."""
    operations = [_operation(c) for c in changes if c.tenant == tenant and _constrains_order(c)]
    ends = [o.invoked if math.isinf(o.completed) else o.completed for o in operations]
    end = max(ends, default=0.0) + 1.0
    operations.append(Operation("final read", end, end, None, ReadAt(final)))
    if find_order(operations, initial) is None:
        detail = f"no order explains the answers to {len(operations) - 1} changes of {tenant}"
        yield ChaosViolation(ChaosPromise.NOT_LINEARIZABLE, detail)


def check_stored_outcomes(
    changes: Iterable[SubmittedChange], replica: str, found: Mapping[str, ChangeAnswer]
) -> Iterator[ChaosViolation]:
    """Check after the run that a replica holds, for each change, the outcome that was answered."""
    for change in changes:
        if change.answers and found.get(change.change_id) != change.answers[0]:
            detail = f"{change.change_id} on {replica}: answered {change.answers[0]}, "
            detail += f"stored {found.get(change.change_id)}"
            yield ChaosViolation(ChaosPromise.CHANGE_LOST, detail)


def check_in_force(
    times: Iterable[InForceTime], happened: Iterable[FaultRecord]
) -> Iterator[ChaosViolation]:
    """Check for every change that was waited for that control reported it in force in time.

    During a fault of a replica the others can't know the state of its subscribers, so the time
    counts from the end of such a fault. `check_propagation` checks that the change was in force.
    """
    outages = control_outages(happened)
    for each in times:
        if each.ended <= deadline_after(each.accepted, REPORT_LIMIT_SECONDS, outages):
            continue
        words = "; ".join(each.last_words) or "no answer"
        detail = f"{each.change_id} was not reported in force after "
        detail += f"{each.ended - each.accepted:.1f} s: {words}"
        yield ChaosViolation(ChaosPromise.NOT_KNOWN_IN_FORCE, detail)


def _constrains_order(change: SubmittedChange) -> bool:
    """Return whether a change's answers constrain the order of changes."""
    first = change.answers[0] if change.answers else None
    return not (isinstance(first, Refused) and first.kind != MISMATCH)


def _operation(change: SubmittedChange) -> Operation:
    result: ChangeResult = Open()
    completed = math.inf
    first = change.answers[0] if change.answers else None
    if isinstance(first, Accepted):
        result, completed = AcceptedAt(first.subject_revision), change.completed
    elif isinstance(first, Refused) and first.current is not None:
        result, completed = RefusedAt(first.current), change.completed
    return Operation(change.change_id, change.invoked, completed, change.expected, result)
