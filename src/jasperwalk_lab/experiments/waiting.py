"""Which requests waited, or were refused, while a slot of their service stood free (pure).

The measure is taken from outside, in the same way for every variant: from the callers'
records and the back ends' journals, which share the machine's monotonic clock. A request
waits from when it should have begun to run until it ran (or was refused). It should have
begun a *floor* after it was sent: the shortest delays of its kind (a low percentile), which
are the way through the fabric and the agent. A slot stood free for it if some host of the
service had a free slot without a break for `LEAST_FREE_SECONDS` of that wait, so gaps
between two requests on a busy host don't count.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from jasperwalk_lab.journal import JournalRecord
from jasperwalk_lab.operations import Answered, Broken, CallRecord, NotRun

LEAST_FREE_SECONDS = 0.02
FLOOR_PERCENTILE = 0.1


class WaitingFigures(msgspec.Struct, frozen=True):
    """Counts of one service's requests; `share` is needless waits and refusals over all."""

    service: str
    requests: int
    waited: int
    waited_needlessly: int
    refused: int
    refused_needlessly: int
    mean_wait_ms: float
    p99_wait_ms: float

    @property
    def share(self) -> float:
        """Return the share of requests that waited or were refused while a slot was free."""
        if not self.requests:
            return 0.0
        return (self.waited_needlessly + self.refused_needlessly) / self.requests


@dataclass(frozen=True)
class Span:
    """A stretch of time, in seconds."""

    begin: float
    end: float

    def overlap(self, other: Span) -> float:
        """Return the length that both share, 0.0 if none."""
        return max(0.0, min(self.end, other.end) - max(self.begin, other.begin))


class FreeSlots:
    """When a host had a free slot, from the spans in which its slots were held."""

    def __init__(self, held: Iterable[Span], slots: int, lasted: Span) -> None:
        changes = [(span.begin, 1) for span in held] + [(span.end, -1) for span in held]
        self._free: list[Span] = []
        busy = 0
        free_since: float | None = lasted.begin
        for at, change in sorted(changes):
            busy += change
            if busy >= slots and free_since is not None:
                self._free.append(Span(free_since, at))
                free_since = None
            elif busy < slots and free_since is None:
                free_since = at
        if free_since is not None:
            self._free.append(Span(free_since, lasted.end))
        self._ends = [span.end for span in self._free]

    def free_throughout(self, span: Span) -> bool:
        """Tell whether a slot was free from the beginning of `span` to its end."""
        return any(free.begin <= span.begin and span.end <= free.end for free in self._free)

    def free_within(self, wait: Span) -> float:
        """Return the longest unbroken time within `wait` for which a slot was free."""
        longest = 0.0
        for number in range(bisect.bisect_left(self._ends, wait.begin), len(self._free)):
            if self._free[number].begin >= wait.end:
                break
            longest = max(longest, self._free[number].overlap(wait))
        return longest


def waiting_figures(
    records: Iterable[CallRecord],
    journal: Iterable[JournalRecord],
    slots: Mapping[str, int],
    lasted: Span,
) -> list[WaitingFigures]:
    """Return the figures of each service; `slots` by host, `lasted` the load's span."""
    ran = {each.request_id: each for each in journal if each.ran_at}
    by_service: dict[str, list[CallRecord]] = defaultdict(list)
    for record in records:
        by_service[record.service].append(record)
    return [
        _service_figures(service, calls, ran, slots, lasted)
        for service, calls in sorted(by_service.items())
    ]


def _service_figures(
    service: str,
    records: list[CallRecord],
    ran: Mapping[str, JournalRecord],
    slots: Mapping[str, int],
    lasted: Span,
) -> WaitingFigures:
    hosts = _free_slots(service, ran.values(), slots, lasted)
    floors = _floors(records, ran)
    waits: list[float] = []
    waited = needless = refused = refused_needlessly = 0
    for record in records:
        floor = floors.get(type(record.operation).__name__, 0.0)
        wait = _wait(record, ran, floor)
        if wait is None:
            continue
        free = any(host.free_within(wait) >= LEAST_FREE_SECONDS for host in hosts)
        if isinstance(record.outcome, NotRun):
            refused += 1
            refused_needlessly += free or _free_at(hosts, wait)
            continue
        length = max(0.0, wait.end - wait.begin)
        waits.append(length)
        waited += length >= LEAST_FREE_SECONDS
        needless += free
    waits.sort()
    return WaitingFigures(
        service=service,
        requests=len(records),
        waited=waited,
        waited_needlessly=needless,
        refused=refused,
        refused_needlessly=refused_needlessly,
        mean_wait_ms=1000 * sum(waits) / len(waits) if waits else 0.0,
        p99_wait_ms=1000 * waits[int(0.99 * (len(waits) - 1))] if waits else 0.0,
    )


def _free_at(hosts: Iterable[FreeSlots], wait: Span) -> bool:
    """Tell whether a slot was free all through the time before a quick refusal."""
    around = Span(wait.end - LEAST_FREE_SECONDS, wait.end)
    return any(host.free_throughout(around) for host in hosts)


def _wait(record: CallRecord, ran: Mapping[str, JournalRecord], floor: float) -> Span | None:
    """Return the span for which a request waited; None where that is not known."""
    begin = record.invoked + floor
    match record.outcome:
        case Answered() if record.request_id in ran:
            return Span(begin, ran[record.request_id].ran_at)
        case NotRun():
            return Span(begin, record.completed)
        case Broken() if record.request_id in ran:
            return Span(begin, ran[record.request_id].ran_at)
        case _:
            return None


def _floors(records: Iterable[CallRecord], ran: Mapping[str, JournalRecord]) -> dict[str, float]:
    delays: dict[str, list[float]] = defaultdict(list)
    for record in records:
        if record.request_id in ran:
            delay = ran[record.request_id].ran_at - record.invoked
            delays[type(record.operation).__name__].append(delay)
    return {
        kind: sorted(values)[int(FLOOR_PERCENTILE * (len(values) - 1))]
        for kind, values in delays.items()
    }


def _free_slots(
    service: str, ran: Iterable[JournalRecord], slots: Mapping[str, int], lasted: Span
) -> list[FreeSlots]:
    held: dict[str, list[Span]] = defaultdict(list)
    for record in ran:
        if record.service == service:
            held[record.host].append(Span(record.ran_at, record.released_at or lasted.end))
    return [FreeSlots(spans, slots[host], lasted) for host, spans in sorted(held.items())]
