"""Write docs/CAPACITY.md from the bench's sweeps in `journal/`, or check that it is up to date.

`python -m scripts.capacity` writes the page from the newest sweep of each site; with `--check` it
writes nothing, and exits with status 1 where the page differs.
"""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
PAGE = ROOT / "docs" / "CAPACITY.md"
EXIT_DIFFERS = 1
PAIR = r"[\d.]+ / [\d.]+"
ROW = re.compile(rf"^(?P<name>[a-z].*?) {{2,}}(?P<pairs>{PAIR}(?: {{2,}}{PAIR})*) +(?P<rest>.*)$")
DAY = re.compile(
    r"^sweep-(?P<machines>\d+) +\d+/\d+ +[\d.]+ +(?P<worth>[\d.]+) +(?P<served>[\d.]+)"
)
TARGET = re.compile(r"power +at (?P<machines>\d+|null)$", re.MULTILINE)
NO_TARGET = "null"
"""Printed by a sweep of a site that names no target size."""
TARGET_MACHINES = 14_750
"""Number of own machines at the target size, as in the sites that name one."""
MIN_POWER, MAX_POWER = 0.0, 2.0
"""Limits of the exponent for an extrapolation, the same as the bench's."""
SIGNIFICANT_DIGITS = 3
BROKEN = "BROKEN"


@dataclass(frozen=True)
class SweptFigure:
    """One line of a sweep: the busiest process at each size, and the figure at the target size."""

    name: str
    busiest: tuple[float, ...]
    power: float
    """Exponent with which the figure of the busiest process grows with the number of machines."""
    at_target: float


@dataclass(frozen=True)
class SweptDay:
    """Result of the day of one size."""

    machines: int
    worth: float
    served: float
    is_broken: bool


@dataclass(frozen=True)
class Sweep:
    """One sweep, parsed from the bench's output."""

    entry: str
    site: str
    target_machines: int
    days: tuple[SweptDay, ...]
    figures: tuple[SweptFigure, ...]


@dataclass(frozen=True)
class Bound:
    """A limit of the requirements for a figure of the sweep at the target size."""

    figure: str
    limit: float
    source: str
    carried_by: str


BOUNDS = (
    Bound(
        "balancer: memory MB",
        32.0,
        "32 MB a node for control (here: the whole process)",
        "flows are a cache; agents and hosts hold the truth",
    ),
    Bound(
        "agent: memory MB",
        32.0,
        "the same, held against agents",
        "a flow's state is at its agent alone; the directory is not (see below)",
    ),
    Bound(
        "balancer: kB a second",
        5.0,
        "5 KB a second a node for control (here: all that the bench counts)",
        "updates of the fleet are put together; load comes with answers",
    ),
    Bound(
        "agent: kB a second",
        5.0,
        "the same, held against agents",
        "questions of many searches share their frames",
    ),
    Bound(
        "control: connections",
        2000.0,
        "the most links that ever ran here on one machine",
        "each node has one link; 51 machines for control, of which five vote",
    ),
    Bound(
        "control: kB a second",
        125_000.0,
        "a link of 1,000 Mbit/s",
        "updates are put together and encoded once; who gets them is not bounded yet",
    ),
    Bound(
        "control: memory MB",
        296.0,
        "a core machine of the large sites",
        "the log holds configurations alone, nodes are in memory",
    ),
    Bound(
        "config acked, ms",
        4000.0,
        "in force within 4 s",
        "one round of the replicated log; homes push what changed",
    ),
)


class UnreadableSweep(click.ClickException):
    """An entry of the journal without the output of a sweep."""


def read_sweep(entry: str, site: str, digest: str) -> Sweep:
    """Parse the output of a sweep; raise `UnreadableSweep`."""
    target = TARGET.search(digest)
    days = sorted(_days(digest.splitlines()), key=lambda day: day.machines)
    if target is None or not days:
        raise UnreadableSweep(f"{entry}: no table of figures in its digest")
    figures = tuple(_figures(digest.splitlines(), days[-1].machines))
    if not figures:
        raise UnreadableSweep(f"{entry}: no figures in its table")
    named = target["machines"]
    machines = TARGET_MACHINES if named == NO_TARGET else int(named)
    return Sweep(entry, site, machines, tuple(days), figures)


def extrapolate(busiest: float, power: float, machines: int) -> float:
    """Return a figure at the target size, extrapolated from the largest size played."""
    bounded_power = min(max(power, MIN_POWER), MAX_POWER)
    extrapolated = busiest * (TARGET_MACHINES / machines) ** bounded_power
    return float(f"{extrapolated:.{SIGNIFICANT_DIGITS}g}")


def _figures(lines: Iterable[str], largest: int) -> Iterable[SweptFigure]:
    """Yield the table's rows; `largest` is the number of machines of its last column."""
    for line in lines:
        row = ROW.match(line.rstrip())
        if row is None:
            continue
        numbers = row["rest"].split()
        busiest = tuple(float(pair.split(" / ")[1]) for pair in re.findall(PAIR, row["pairs"]))
        power, at_target = float(numbers[0]), numbers[1]
        is_printed = at_target != "-"
        extrapolated = float(at_target) if is_printed else extrapolate(busiest[-1], power, largest)
        yield SweptFigure(row["name"], busiest, power, extrapolated)


def _days(lines: Iterable[str]) -> Iterable[SweptDay]:
    for line in lines:
        day = DAY.match(line)
        if day is not None:
            machines, worth, served = (
                int(day["machines"]),
                float(day["worth"]),
                float(day["served"]),
            )
            yield SweptDay(machines, worth, served, BROKEN in line)


def newest_sweeps(journal: Path) -> list[Sweep]:
    """Return the newest sweep of each site, by the sites' names."""
    newest: dict[str, Sweep] = {}
    for path in sorted(journal.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry["cmd"] == "sweep" and entry["ok"]:
            newest[entry["site"]] = read_sweep(path.stem, entry["site"], entry["digest"])
    return [newest[site] for site in sorted(newest)]


HEAD = """# Capacity at the target size

`python -m scripts.capacity` writes this page from the bench's sweeps in `journal/`; `make lint`
fails where it differs. Don't edit it by hand.

A sweep plays one day on own machines of 30, 100 and 300, with crashes, changes and hosts that
leave, and carries the busiest process of each role on to the target by the power with which it grew
over the sizes played. Nothing beyond the largest size has been played. The bench counts all that a
process does, its flows too; letter 1's limits are for control alone, so a figure beyond its limit
is not yet a broken one, but one within it holds.
"""

OPEN_QUESTIONS = """
## What no run has looked at

- **Who is sent the directory.** Every balancer and every agent is sent every agent. By the encoded
  messages (`FleetUpdate`) that is 86 bytes an agent: a snapshot is 1.0 KB with 12 agents, 4.1 KB
  with 48, 11.8 KB with 136, and 10.3 MB with 120,000, which is 41 s of a link of 2 Mbit/s. In calm
  a link carries a status of 85 bytes each 0.4 s, whatever the fleet's size. In the 10 s after a
  loss of all power a balancer is sent the snapshot and each agent up to twice more: 3.1, 12.4 and
  35.2 KB. So the design holds up to a thousand machines or two, not at the target. Wanted: a few
  agents a zone that search and are sent all, the others none; balancers with the services of their
  own zone.
- **A search's second round** asks every agent (docs/FINDINGS.md).
- **A control machine with more links than 2,000**, and learners beyond the five voters.
- **Regions**: there is one group of replicas.
"""


def render(sweeps: list[Sweep]) -> str:
    """Return the page."""
    return "\n".join([HEAD, *(_render_sweep(sweep) for sweep in sweeps)]) + OPEN_QUESTIONS


def _render_sweep(sweep: Sweep) -> str:
    sizes = [str(day.machines) for day in sweep.days]
    lines = [
        f"## {sweep.site}",
        "",
        f"Sweep `{sweep.entry}`.",
        "",
        "| machines | worth | served | rules |",
        "|---|---|---|---|",
        *(_day_row(day) for day in sweep.days),
        "",
        f"Busiest process, by machines, and carried on to {sweep.target_machines:,}:",
        "",
        f"| what | {' | '.join(sizes)} | power | at {sweep.target_machines:,} |",
        "|---|" + "---|" * (len(sizes) + 2),
        *(_figure_row(figure) for figure in sweep.figures),
        "",
        "Against letter 1:",
        "",
        "| what | at the target | limit | holds | limit of | carried by |",
        "|---|---|---|---|---|---|",
        *(_bound_row(bound, sweep) for bound in BOUNDS),
        "",
    ]
    return "\n".join(lines)


def _day_row(day: SweptDay) -> str:
    rules = "broken" if day.is_broken else "kept"
    return f"| {day.machines} | {day.worth:.3f} | {day.served:.3f} | {rules} |"


def _figure_row(figure: SweptFigure) -> str:
    sizes = " | ".join(f"{value:g}" for value in figure.busiest)
    return f"| {figure.name} | {sizes} | {figure.power:g} | {figure.at_target:g} |"


def _bound_row(bound: Bound, sweep: Sweep) -> str:
    figure = next((each for each in sweep.figures if each.name == bound.figure), None)
    if figure is None:
        raise UnreadableSweep(f"{sweep.entry}: no line {bound.figure!r}")
    holds = "yes" if figure.at_target <= bound.limit else "**no**"
    values = f"{figure.at_target:g} | {bound.limit:g} | {holds}"
    return f"| {bound.figure} | {values} | {bound.source} | {bound.carried_by} |"


@click.command()
@click.option("--check", is_flag=True, help="Write nothing; fail where the page differs.")
@click.option("--journal", type=click.Path(path_type=Path, file_okay=False), default=JOURNAL)
@click.option("--page", type=click.Path(path_type=Path, dir_okay=False), default=PAGE)
def main(check: bool, journal: Path, page: Path) -> None:
    """Write the capacity page from the newest sweeps."""
    text = render(newest_sweeps(journal))
    if not check:
        page.write_text(text, encoding="utf-8")
        return
    if not page.exists() or page.read_text(encoding="utf-8") != text:
        click.echo(f"{page.name} differs from the sweeps; run python -m scripts.capacity")
        sys.exit(EXIT_DIFFERS)


if __name__ == "__main__":
    main()
