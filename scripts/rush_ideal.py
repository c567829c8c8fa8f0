"""Compute the best possible result of a day of rushes (`python -m scripts.rush_ideal`).

A fluid model: requests are a quantity of work, each slot of a host does one second of work per
second, and nothing is lost on the network. In each step capacity goes to the requests with the
greatest worth per second of a slot: requests that would still finish in time count their worth,
others their late worth. Within one kind the oldest come first, and a request waits until its limit.
Slow hosts, hosts that lose answers and hosts that are down count as lost capacity. The order does
not look ahead: one that knew when a rush ends could gain a little more.
"""

from __future__ import annotations

import math
import tomllib
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import msgspec

ROOT = Path(__file__).resolve().parent.parent
HOSTS_FILE = "rush-hosts.toml"
STEP_SECONDS = 0.02
WINDOW_SECONDS = 2.0
WORST_WINDOWS = 2
FLAPPING_DOWN_SHARE = 0.5
"""Hosts that repeatedly go down and up are down for half of the time."""
MIN_REQUESTS = 1e-9
SHOWN_WORTH_BELOW = 0.995
"""Windows with less worth are printed."""
BURST = "burst"


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of request: service time (`work`), the caller's time limits (seconds), and worth."""

    service: str
    work: float
    objective: float
    limit: float
    worth: float
    late_worth: float


class Site(msgspec.Struct, frozen=True):
    """Capacity of a day's hosts; `traffic` is the part of the day's traffic that is played."""

    traffic: float
    seconds: float
    slots: dict[str, float]
    kinds: dict[str, RequestKind]


class Stream(msgspec.Struct, frozen=True):
    """Requests of one kind from one zone, per second without any burst."""

    kind: str
    zone: str
    per_second: float


class Fault(msgspec.Struct, frozen=True, rename={"kind_of_request": "class"}):
    """A fault of a day file; fields that only other kinds of faults have are ignored."""

    kind: str
    at: float = 0.0
    for_s: float = 0.0
    x: float = 1.0
    share: float = 0.0
    how: str = ""
    service: str = ""
    zone: str = ""
    kind_of_request: str = ""

    def is_active(self, now: float) -> bool:
        """Return whether the fault is active at `now`."""
        return self.at <= now < self.at + self.for_s


@dataclass(frozen=True)
class Day:
    """A day's traffic and faults."""

    name: str
    streams: tuple[Stream, ...]
    faults: tuple[Fault, ...]


@dataclass
class Cohort:
    """Requests of one kind that arrived in one step, and how many of them still wait."""

    kind: RequestKind
    arrived_at: float
    window: int
    name: str
    waiting: float


@dataclass(frozen=True)
class Ideal:
    """Share of the possible worth that was earned: of the day, by kind, and by window."""

    day: float
    kinds: dict[str, float]
    windows: tuple[float, ...]

    def worst_kind(self) -> str:
        """Return the kind with the least worth."""
        return min(self.kinds, key=lambda name: self.kinds[name])

    def worst_windows(self) -> float:
        """Return the mean worth of the worst windows."""
        worst = sorted(self.windows)[:WORST_WINDOWS]
        return sum(worst) / len(worst)


def read_day(content: Mapping[str, Any]) -> Day:
    """Read the first day of a day file."""
    day = content["day"][0]
    streams = [
        Stream(kind, traffic["zone"], traffic["per_s"] * part / sum(traffic["mix"].values()))
        for traffic in day["traffic"]
        for kind, part in traffic["mix"].items()
    ]
    faults = msgspec.convert(day.get("faults", []), list[Fault])
    return Day(day["name"], tuple(streams), tuple(faults))


def rate(stream: Stream, faults: Iterable[Fault], now: float) -> float:
    """Return a stream's requests per second at `now`: concurrent bursts multiply each other."""
    factor = 1.0
    for fault in faults:
        is_of_kind = fault.kind_of_request in ("", stream.kind)
        is_of_zone = fault.zone in ("", stream.zone)
        if fault.kind == BURST and fault.is_active(now) and is_of_kind and is_of_zone:
            factor *= fault.x
    return stream.per_second * factor


def lost_share(fault: Fault) -> float:
    """Return the share of a service's capacity that a fault of its hosts costs while active."""
    if fault.kind == "srv_flap":
        return fault.share * FLAPPING_DOWN_SHARE
    if fault.kind == "srv_slow" or (fault.kind == "srv_grey" and fault.how == "slow"):
        return fault.share * (1.0 - 1.0 / fault.x)
    if fault.kind == "srv_grey":
        return fault.share * fault.x
    return 0.0


def available_slots(service: str, slots: float, faults: Iterable[Fault], now: float) -> float:
    """Return the slots of a service that do useful work at `now`."""
    for fault in faults:
        if fault.is_active(now) and fault.service in ("", service):
            slots *= 1.0 - lost_share(fault)
    return slots


def ideal(day: Day, site: Site, step_seconds: float = STEP_SECONDS) -> Ideal:
    """Play a day; the requests that wait at its end are served afterwards, up to their limits."""
    ledger = _Ledger()
    backlogs = {service: _Backlog() for service in site.slots}
    longest_limit = max(kind.limit for kind in site.kinds.values())
    for step in range(math.ceil((site.seconds + longest_limit) / step_seconds)):
        now = step * step_seconds
        if now < site.seconds:
            for cohort in _arrivals(day, site, now, step_seconds):
                ledger.add_possible(cohort)
                backlogs[cohort.kind.service].add(cohort)
        for service, backlog in backlogs.items():
            slots = available_slots(service, site.slots[service], day.faults, now)
            backlog.serve(slots * step_seconds, now, ledger)
    return ledger.ideal()


def _arrivals(day: Day, site: Site, now: float, step_seconds: float) -> list[Cohort]:
    counts: dict[str, float] = defaultdict(float)
    for stream in day.streams:
        counts[stream.kind] += rate(stream, day.faults, now) * site.traffic * step_seconds
    window = int(now / WINDOW_SECONDS)
    return [Cohort(site.kinds[name], now, window, name, count) for name, count in counts.items()]


class _Ledger:
    """Possible and earned worth, by kind and by window."""

    def __init__(self) -> None:
        self._possible: dict[tuple[str, int], float] = defaultdict(float)
        self._earned: dict[tuple[str, int], float] = defaultdict(float)

    def add_possible(self, cohort: Cohort) -> None:
        self._possible[cohort.name, cohort.window] += cohort.waiting * cohort.kind.worth

    def add_earned(self, cohort: Cohort, count: float, worth: float) -> None:
        self._earned[cohort.name, cohort.window] += count * worth

    def ideal(self) -> Ideal:
        names = dict.fromkeys(name for name, _ in self._possible)
        windows = sorted({window for _, window in self._possible})
        return Ideal(
            self._earned_share(list(self._possible)),
            {
                name: self._earned_share([key for key in self._possible if key[0] == name])
                for name in names
            },
            tuple(
                self._earned_share([key for key in self._possible if key[1] == w]) for w in windows
            ),
        )

    def _earned_share(self, keys: Sequence[tuple[str, int]]) -> float:
        possible = sum(self._possible[key] for key in keys)
        return sum(self._earned[key] for key in keys) / possible if possible else 1.0


class _Backlog:
    """Waiting requests of a service, by kind, oldest first: those still in time, and late ones."""

    def __init__(self) -> None:
        self._in_time: dict[str, deque[Cohort]] = defaultdict(deque)
        self._late: dict[str, deque[Cohort]] = defaultdict(deque)

    def add(self, cohort: Cohort) -> None:
        self._in_time[cohort.name].append(cohort)

    def serve(self, slot_seconds: float, now: float, ledger: _Ledger) -> None:
        """Spend the capacity of one step on the requests with the most worth per slot second."""
        self._expire(now)
        queues = [
            *((queue, queue[0].kind.worth) for queue in self._in_time.values() if queue),
            *((queue, queue[0].kind.late_worth) for queue in self._late.values() if queue),
        ]
        queues.sort(key=lambda each: each[1] / each[0][0].kind.work, reverse=True)
        for queue, worth in queues:
            slot_seconds = _serve_queue(queue, worth, slot_seconds, ledger)

    def _expire(self, now: float) -> None:
        """Move requests that would be late to the late queues; remove those beyond their limit."""
        for name, queue in self._in_time.items():
            while (
                queue and now + queue[0].kind.work > queue[0].arrived_at + queue[0].kind.objective
            ):
                self._late[name].append(queue.popleft())
        for queue in self._late.values():
            while queue and now + queue[0].kind.work > queue[0].arrived_at + queue[0].kind.limit:
                queue.popleft()


def _serve_queue(queue: deque[Cohort], worth: float, slot_seconds: float, ledger: _Ledger) -> float:
    """Serve a queue from the oldest on; return the slot seconds that are left."""
    while queue and slot_seconds > MIN_REQUESTS:
        cohort = queue[0]
        count = min(cohort.waiting, slot_seconds / cohort.kind.work)
        ledger.add_earned(cohort, count, worth)
        cohort.waiting -= count
        slot_seconds -= count * cohort.kind.work
        if cohort.waiting > MIN_REQUESTS:
            break
        queue.popleft()
    return slot_seconds


def describe(name: str, best: Ideal) -> str:
    """Return the result as text, one fact per line."""
    kind = best.worst_kind()
    lines = [
        f"{name}: whole day {best.day:.3f}, worst class {kind} {best.kinds[kind]:.3f}, "
        f"worst two windows {best.worst_windows():.3f}"
    ]
    for number, worth in enumerate(best.windows):
        if worth < SHOWN_WORTH_BELOW:
            begins_at = number * WINDOW_SECONDS
            lines.append(f"  {begins_at:5.1f} to {begins_at + WINDOW_SECONDS:5.1f} s  {worth:.3f}")
    return "\n".join(lines)


@click.command()
@click.argument("days", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option(
    "--hosts",
    type=click.Path(exists=True, path_type=Path),
    help=f"Figures of the hosts; by default {HOSTS_FILE} beside the day.",
)
def main(days: tuple[Path, ...], hosts: Path | None) -> None:
    """Print the best possible result of days of rushes."""
    for path in days:
        day = read_day(tomllib.loads(path.read_text()))
        sites = tomllib.loads((hosts or path.with_name(HOSTS_FILE)).read_text())
        if day.name not in sites:
            raise click.ClickException(f"no figures of hosts for the day {day.name}")
        click.echo(describe(day.name, ideal(day, msgspec.convert(sites[day.name], Site))))


if __name__ == "__main__":
    main()
