"""Checks refusals of resends: "not run" must hold for the request, not only for this attempt."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from jasperwalk_lab.chaos.violations import ChaosPromise, ChaosViolation
from jasperwalk_lab.journal import JournalRecord
from jasperwalk_lab.operations import CallRecord, NotRun, Submission


def check_resent_refusals(
    records: Iterable[CallRecord], journal: Iterable[JournalRecord]
) -> Iterator[ChaosViolation]:
    """Check that no submission was refused as not run after it had started to run."""
    ran_at = {record.request_id: record.ran_at for record in journal if record.ran}
    for record in records:
        if not isinstance(record.outcome, NotRun) or not isinstance(record.operation, Submission):
            continue
        run_started_at = ran_at.get(record.request_id)
        if run_started_at is not None and run_started_at < record.invoked:
            detail = (
                f"{record.request_id} ran {record.invoked - run_started_at:.3f} s before "
                "the refused attempt"
            )
            yield ChaosViolation(ChaosPromise.NOT_RUN_BUT_RAN, detail)
