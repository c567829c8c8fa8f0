"""Checks the answers that callers got against what backends ran.

Input: the record of every call and the journals of all backends. Output: counts of how
calls ended and one typed violation for each promise that was broken:

- an answer is complete and correct, and belongs to the request and the service it was sent to;
- a request that was refused as not run did not run;
- a request that must not be repeated ran at most once;
- no flow ends without its answer, except on a host that was lost, or by a fault that excuses it.
"""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from jasperwalk_lab.journal import JournalRecord
from jasperwalk_lab.operations import (
    Answered,
    Broken,
    CallRecord,
    LongStream,
    NotRun,
    Unknown,
)

STATUS_OK = 200
CauseOf = Callable[[CallRecord], str | None]
"""Returns the fault that excuses a broken flow, such as the loss of its host; None without one."""


def _no_cause(_record: CallRecord) -> str | None:
    return None


class ViolationKind(enum.StrEnum):
    """Which promise was broken."""

    BROKEN_FLOW = "broken-flow"
    WRONG_SERVICE = "wrong-service"
    WRONG_ANSWER = "wrong-answer"
    NOT_RUN_BUT_RAN = "not-run-but-ran"
    RAN_TWICE = "ran-twice"


@dataclass(frozen=True)
class Violation:
    """One broken promise, with the request that shows it."""

    kind: ViolationKind
    request_id: str
    detail: str


@dataclass
class HistoryReport:
    """Counts of calls by how they ended, and the violations."""

    requests: int = 0
    answered: int = 0
    streams_answered: int = 0
    not_run: int = 0
    unknown: int = 0
    broken: int = 0
    broken_by_lost_host: int = 0
    broken_by_cause: Counter[str] = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)

    def count(self, kind: ViolationKind) -> int:
        """Return how many violations are of `kind`."""
        return sum(violation.kind is kind for violation in self.violations)


class HistoryChecker:
    """Checks one run.

    `lost_hosts` are the members that were lost during the run: any flow on them may break.
    `cause_of` decides for each other broken flow whether a fault excuses it.
    """

    def __init__(
        self,
        journal: Iterable[JournalRecord],
        lost_hosts: Collection[str] = (),
        cause_of: CauseOf = _no_cause,
    ) -> None:
        self._lost_hosts = frozenset(lost_hosts)
        self._cause_of = cause_of
        self._runs: dict[str, list[JournalRecord]] = defaultdict(list)
        self._arrivals: dict[str, list[JournalRecord]] = defaultdict(list)
        for record in journal:
            self._arrivals[record.request_id].append(record)
            if record.ran:
                self._runs[record.request_id].append(record)
        self._report = HistoryReport()

    def check(self, records: Iterable[CallRecord]) -> HistoryReport:
        """Check every call and return the report."""
        services: dict[str, str] = {}
        unrepeatable: set[str] = set()
        answered: set[str] = set()
        refused: dict[str, int] = Counter()
        for record in records:
            services[record.request_id] = record.service
            if not record.operation.repeatable:
                unrepeatable.add(record.request_id)
            self._check_outcome(record)
            if isinstance(record.outcome, NotRun):
                refused[record.request_id] += 1
            else:
                answered.add(record.request_id)
        self._check_refusals(refused, answered)
        self._check_arrivals(services)
        self._check_runs(unrepeatable)
        return self._report

    def _check_outcome(self, record: CallRecord) -> None:
        self._report.requests += 1
        match record.outcome:
            case Answered():
                self._check_answer(record, record.outcome)
            case NotRun():
                self._report.not_run += 1
            case Unknown():
                self._report.unknown += 1
            case Broken():
                self._check_broken(record, record.outcome)

    def _check_answer(self, record: CallRecord, answer: Answered) -> None:
        if answer.service not in ("", record.service):
            detail = f"asked {record.service}, answered by {answer.service}"
            self._add_violation(ViolationKind.WRONG_SERVICE, record.request_id, detail)
            return
        problem = self._answer_problem(record, answer)
        if problem is not None:
            self._add_violation(ViolationKind.WRONG_ANSWER, record.request_id, problem)
            return
        self._report.answered += 1
        self._report.streams_answered += isinstance(record.operation, LongStream)

    def _answer_problem(self, record: CallRecord, answer: Answered) -> str | None:
        """Describe what is wrong with an answer; None for a complete and correct one."""
        if answer.status != STATUS_OK:
            return f"status {answer.status}"
        if answer.service != record.service:
            return "answer names no service"
        if answer.request_id != record.request_id:
            return f"answer belongs to request {answer.request_id!r}"
        if not self._runs[record.request_id]:
            return "no backend ran the request"
        return _body_problem(record, answer)

    def _check_broken(self, record: CallRecord, broken: Broken) -> None:
        self._report.broken += 1
        hosts = {run.host for run in self._runs[record.request_id]} | {broken.host}
        if hosts & self._lost_hosts:
            self._report.broken_by_lost_host += 1
            return
        cause = self._cause_of(record)
        if cause is not None:
            self._report.broken_by_cause[cause] += 1
            return
        detail = f"{broken.reason} at {broken.host or 'no host'} of {record.service}"
        self._add_violation(ViolationKind.BROKEN_FLOW, record.request_id, detail)

    def _check_refusals(self, refused: Iterable[str], otherwise: Collection[str]) -> None:
        for request_id in refused:
            # Where the same request was also resent, the run may belong to the resend.
            if request_id not in otherwise and self._runs[request_id]:
                detail = f"ran at {self._runs[request_id][0].host}"
                self._add_violation(ViolationKind.NOT_RUN_BUT_RAN, request_id, detail)

    def _check_arrivals(self, services: dict[str, str]) -> None:
        for request_id, service in services.items():
            for arrival in self._arrivals[request_id]:
                if arrival.service != service:
                    detail = f"meant for {service}, reached {arrival.service}"
                    self._add_violation(ViolationKind.WRONG_SERVICE, request_id, detail)

    def _check_runs(self, unrepeatable: Iterable[str]) -> None:
        for request_id in sorted(unrepeatable):
            runs = self._runs[request_id]
            if len(runs) > 1:
                detail = f"ran at {', '.join(run.host for run in runs)}"
                self._add_violation(ViolationKind.RAN_TWICE, request_id, detail)

    def _add_violation(self, kind: ViolationKind, request_id: str, detail: str) -> None:
        self._report.violations.append(Violation(kind=kind, request_id=request_id, detail=detail))


def _body_problem(record: CallRecord, answer: Answered) -> str | None:
    expected = record.operation.expected(record.service, record.request_id)
    if len(answer.body) != len(expected):
        return f"{len(answer.body)} of {len(expected)} bytes"
    return None if answer.body == expected else "body differs from the expected answer"


@dataclass(frozen=True)
class LoadPhase:
    """A part of a run with constant weights: weights and numbers of requests run, by host."""

    weights: dict[str, int]
    runs: Counter[str]


def imbalance(phases: Iterable[LoadPhase]) -> float:
    """Return the greatest ratio of a host's runs to its share by weight: 1.0 is perfectly balanced.

    A host's share is summed over the phases. 0.0 when nothing ran.
    """
    runs: Counter[str] = Counter()
    shares: dict[str, float] = defaultdict(float)
    for phase in phases:
        total_runs = sum(phase.runs[host] for host in phase.weights)
        total_weight = sum(phase.weights.values())
        for host, weight in phase.weights.items():
            runs[host] += phase.runs[host]
            shares[host] += total_runs * weight / total_weight if total_weight else 0.0
    return max((runs[host] / share for host, share in shares.items() if share), default=0.0)
