"""docs/CAPACITY.md as text, worked out from the measurements."""

from __future__ import annotations

from collections.abc import Iterator

from jasperwalk_lab.machine import MachineFacts
from jasperwalk_lab.scale import target
from jasperwalk_lab.scale.capacity_model import Role, Row, Source, Unit, Verdict
from jasperwalk_lab.scale.capacity_rows import make_rows
from jasperwalk_lab.scale.figures import RecoveryFigures, ScaleFigures
from jasperwalk_lab.scale.measurements import BENCH_FILE, PARTS_FILE, Measurements
from jasperwalk_lab.scale.slopes import subscribers

MEBIBYTE = 1024 * 1024
KILOBYTE = 1_000
MEGABYTE = 1_000_000
COMMIT_LETTERS = 10

HEAD = """# Capacity at the target size

`scripts/capacity.py` writes this page from `docs/measurements/`; `make lint` fails where page
and figures differ. Don't edit it by hand.

What runs today is one region of that size at most: three replicas, all of them voters, all of
them serving subscribers. The rows say what each role would cost at the target of letter 1, by
slopes measured here, and which mechanism carries it. "Planned" mechanisms are not built.
"""

TARGET = f"""## The target, and one region of it

| what | whole | a region |
|---|---|---|
| nodes (balancers) | {target.NODES:,} | {target.REGION_NODES:,} |
| hosts (agents) | {target.HOSTS:,} | {target.REGION_HOSTS:,} |
| addresses (services) | {target.ADDRESSES:,} | {target.REGION_SERVICES:,} |
| entries of the table, E | - | {target.REGION_ENTRIES:,} |
| subscribers | {target.NODES + target.HOSTS:,} | {target.REGION_SUBSCRIBERS:,} |
| control machines | {target.CONTROL_MACHINES} | {target.REGION_REPLICAS} |
| subscribers of a replica, S | - | {target.REPLICA_SUBSCRIBERS:,.0f} |

Assumed: regions are of one size; an address stands for one service; a replica's subscribers
are spread evenly; a restarting host changes its member entry {target.UPDATES_PER_HOST_RESTART}
times. A node's limits (1.3% of a core, 32 MB, 5 KB/s) are held against agents too.
"""

PLANNED = """## Planned work, where a row misses its limit or leans on what is not built

1. **Memory of a node.** Python's interpreter and libraries take more than 32 MB before the
   first entry. If the limit means the whole process, members have to lie in packed arrays
   (an entry in some 40 bytes) and the libraries that a balancer doesn't need have to go. If
   it means what control costs, the table with its candidates lies at its edge (31.0, 32.2 and
   32.3 MB in three runs of `scale-parts`), and packed arrays are planned all the same.
2. **Cold balancer.** A whole table at 5 KB/s takes minutes. Planned: take the table from a
   neighbour in the rack or zone (its bytes don't cross the control link; the revision and a
   digest from control guard it), and ask for a service's entries when its first Initial
   arrives. A larger burst alone moves the load to control when a rack returns.
3. **Voters apart from publishers.** Today consensus and publishing share one event loop:
   under overload a replica that writes to thousands of subscribers misses heartbeats, the
   leader changes, all subscribers leave, and their return keeps the replicas busy. Planned:
   three voters a region without subscribers, seven learners publish (S is 3,857 then), and
   what a follower collected of a snapshot outlives its connection.
4. **A zone at once.** 6,315 member entries to every node are beyond what a link carries in
   4 s. Planned: an entry for a zone's state (out, back), which overrides that of its members,
   and registrations batched into one log entry.
5. **The leader's rounds.** Judging all agents and reading the platform's whole list grow with
   the region. Planned: judge only what the replicas' reports name as changed or silent, skip
   a list whose digest is unchanged.
6. **Revisions that concern others.** Every revision of a region costs every agent a message,
   empty for most. On an ordinary day that is one in nine seconds; when a zone's agents
   register it is thousands, for each of 27,000 subscribers. Planned: publish at an interval,
   and let heartbeats carry a revision that changes nothing in an agent's scope.
7. **Regions.** There is one group today. Planned: a group of its own for each region, with its
   VIPs and hosts; a root that hands templates to the regions, outside the path of a change.
"""


NOT_RUN = """## What did not run, and what did not hold

- 2000:4000:1000 came through in the sixth try. In five tries before, at load averages of 16 to
  44 on 12 cores and at older commits, the leader lost its followers when hundreds of balancers
  joined; every subscriber left at once, and their return kept the replicas from a lasting
  leader until the try was ended. The queue of connections to be taken (100 in the first two
  tries, 4,096 since) made returns slow; consensus and publishing in one loop (planned 3) is
  still there. Since then subscribers are patient and joins are admitted (docs/DESIGN.md,
  "Coming back from an outage"): in the core model the state mends itself; with real processes
  it was not provoked again, so that much is not proved.
- Agents' memory a flow and handshakes (10 a second a host) are not worked out on this page.
- Entries beyond the largest E below: `scale-parts` measured the table itself at a region's size,
  the slopes are extrapolated.
"""


def render(measured: Measurements) -> str:
    """Return the page."""
    rows = make_rows(measured)
    parts = [
        HEAD,
        _summary(rows),
        TARGET,
        *(_role_table(role, rows) for role in Role),
        _failures(measured),
        NOT_RUN,
        PLANNED,
        _runs(measured),
        _sources(measured),
    ]
    return "\n".join(parts)


def _summary(rows: list[Row]) -> str:
    counts = {verdict: sum(1 for row in rows if row.verdict is verdict) for verdict in Verdict}
    missed = "\n".join(
        f"- {row.role.value}: {row.name}: {_value(row.result, row.unit)}, "
        f"limit {_value(row.limit or 0.0, row.unit)}"
        for row in rows
        if row.verdict is Verdict.MISSES
    )
    return (
        f"{counts[Verdict.HOLDS]} rows hold their limit, {counts[Verdict.MISSES]} miss it, "
        f"{counts[Verdict.NO_LIMIT]} have none. Missed:\n\n{missed or '- none'}\n"
    )


def _role_table(role: Role, rows: list[Row]) -> str:
    lines = [
        f"## {role.value}\n",
        "| what | formula | measured | by | result | limit | margin | carried by |",
        "|---|---|---|---|---|---|---|---|",
    ]
    lines.extend(_row_line(row) for row in rows if row.role is role)
    return "\n".join(lines) + "\n"


def _row_line(row: Row) -> str:
    limit = "-" if row.limit is None else _value(row.limit, row.unit)
    margin = "-" if row.margin is None else f"{row.margin:.3g}x"
    if row.verdict is Verdict.MISSES:
        margin = f"**misses**, {margin}"
    cells = [
        row.name,
        row.formula,
        row.measured,
        row.source.value,
        _value(row.result, row.unit),
        limit,
        margin,
        row.mechanism,
    ]
    return "| " + " | ".join(cells) + " |"


def _value(value: float, unit: Unit) -> str:
    match unit:
        case Unit.BYTES:
            return f"{value / MEGABYTE:,.4g} MB"
        case Unit.BYTES_PER_SECOND:
            return f"{value / KILOBYTE:,.3g} KB/s"
        case Unit.CORE_SHARE:
            return f"{value:.3%} of a core"
        case Unit.SECONDS:
            return f"{value:,.3g} s"
        case Unit.COUNT:
            return f"{value:,.4g}"


def _failures(measured: Measurements) -> str:
    """Describe the faults that were caused, at each size that ran."""
    lines = [
        "## Failures that were caused, at the sizes that ran\n",
        "Seconds until every hollow node was registered, fresh and at control's revision; 0.0 s",
        "where no probe saw one behind.",
        "At the target: a rack or switch goes most days (45 nodes at once here), a zone every",
        "other month (rows above), regions are apart for an hour now and then (here all nodes",
        "are cut off while changes go on, and return at once).\n",
        "| balancers:agents:services | leader killed: next change accepted | nodes current "
        "| killed replica back | rack restarted | region returned |",
        "|---|---|---|---|---|---|",
    ]
    for run in _by_size(measured):
        killed = run.killed_leader
        lines.append(
            f"| {_size(run)} | {killed.change_accepted_seconds:.1f} s "
            f"| {_recovery(killed.until_fresh)} "
            f"| {_optional_seconds(killed.restart_until_current_seconds)} "
            f"| {_recovery(run.rack.recovery)} | {_recovery(run.region.recovery)} |"
        )
    return "\n".join(lines) + "\n"


def _runs(measured: Measurements) -> str:
    lines = [
        "## Runs behind the slopes\n",
        "Processor time is taken while others used the machine (`other cores` is what they",
        "took while the fleet idled), so it is no better than within a tenth or two.\n",
        "| balancers:agents:services | E | S | other cores | balancer idle | agent idle "
        "| busiest replica idle | in force p50 | p99 | everywhere, longest | failures |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for run in _by_size(measured):
        times = run.changes.in_force_from_submission
        busiest = max(each.core_share for each in run.idle.control)
        lines.append(
            f"| {_size(run)} | {run.entries:,} | {subscribers(run):,.0f} "
            f"| {run.idle.other_core_share:.1f} "
            f"| {run.idle.hollow_balancer.core_share:.3%} "
            f"| {run.idle.hollow_agent.core_share:.3%} | {busiest:.1%} "
            f"| {times.p50_ms:.0f} ms | {times.p99_ms:.0f} ms "
            f"| {run.changes.last_node_from_submission.max_ms:.0f} ms "
            f"| {'; '.join(run.failures) or 'none'} |"
        )
    return "\n".join(lines) + "\n"


def _sources(measured: Measurements) -> str:
    parts, bench = measured.parts, measured.bench
    lines = [
        "## Sources\n",
        "| by | command | file | commit | when | machine, shared with others |",
        "|---|---|---|---|---|---|",
        *(
            _source_line(
                Source.SCALE,
                report.command,
                name,
                _commit(report.commit, report.uncommitted_changes),
                report.finished_at,
                report.machine,
            )
            for name, report in measured.scale.items()
        ),
        _source_line(
            Source.PARTS,
            parts.command,
            PARTS_FILE,
            _commit(parts.commit, parts.uncommitted_changes),
            parts.finished_at,
            parts.machine,
        ),
        _source_line(
            Source.BENCH,
            "python -m bench --only balancer",
            BENCH_FILE,
            _commit(bench.commit, bench.uncommitted_changes),
            bench.started_at,
            bench.machine,
        ),
    ]
    return "\n".join(lines) + "\n"


def _source_line(
    source: Source, command: str, file: str, commit: str, when: str, machine: MachineFacts
) -> str:
    facts = (
        f"{machine.processor}, {machine.cores} cores, {machine.memory_bytes / MEBIBYTE:,.0f} MiB, "
        f"Python {machine.python}, load average {machine.load_average:.1f}"
    )
    cells = [source.value, f"`{command}`", f"`docs/measurements/{file}`", commit, when, facts]
    return "| " + " | ".join(cells) + " |"


def _commit(commit: str, uncommitted: bool) -> str:
    return commit[:COMMIT_LETTERS] + (" with uncommitted changes" if uncommitted else "")


def _by_size(measured: Measurements) -> Iterator[ScaleFigures]:
    yield from sorted(measured.runs, key=lambda run: (subscribers(run), run.entries))


def _size(run: ScaleFigures) -> str:
    return f"{run.balancers}:{run.agents}:{run.services}"


def _recovery(recovery: RecoveryFigures) -> str:
    return _optional_seconds(recovery.seconds)


def _optional_seconds(seconds: float | None) -> str:
    return "not in time" if seconds is None else f"{seconds:.1f} s"
