"""`jasperwalk-lab simulate`: the product's processes on virtual time, under seeded failures."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Sequence

import click
import msgspec

from jasperwalk_lab.simulator.campaign import RunSummary, default_processes, run_campaign
from jasperwalk_lab.simulator.distribution import Distribution, distributions
from jasperwalk_lab.simulator.minimization import kind_of, minimize_faults
from jasperwalk_lab.simulator.mutants import MUTANTS
from jasperwalk_lab.simulator.scenarios import SCENARIOS, Scenario, scenario_named

EXIT_PROMISE_BROKEN = 1
ALL = "all"
SHORTENED_RUNS = 3
"""Number of failing runs for which a minimised list of events is printed."""
PROGRESS_RUNS = 50
"""Number of runs between two lines of progress."""


class ScenarioSummary(msgspec.Struct):
    """Sums over the runs of one scenario; CPU seconds of the worker processes."""

    name: str
    runs: int
    failed_runs: int
    requests: int
    answered: int
    not_run: int
    unknown: int
    broken: int
    not_connected: int
    changes: int
    accepted: int
    cpu_seconds: float


class FailedRun(msgspec.Struct):
    """A run in which a promise was broken, and the command that replays it."""

    scenario: str
    seed: int
    violations: list[str]
    replay: str
    faults: list[str]
    events: list[str]


class SimulationReport(msgspec.Struct):
    """Report of `simulate`; `trace_hashes` by "scenario/seed"."""

    runs: int
    violations: int
    wall_seconds: float
    cpu_seconds: float
    scenarios: list[ScenarioSummary]
    distributions: dict[str, Distribution]
    failed: list[FailedRun]
    trace_hashes: dict[str, str]


class ListedScenario(msgspec.Struct):
    """A scenario as `--list` shows it."""

    name: str
    description: str
    deployment: str
    promises: list[str]
    failures: list[str]


class ListedMutant(msgspec.Struct):
    """A deliberate defect as `--list` shows it, and the run that catches it."""

    name: str
    description: str
    scenario: str
    seed: int
    violation: str


class Listing(msgspec.Struct):
    """Output of `simulate --list --json`."""

    scenarios: list[ListedScenario]
    mutants: list[ListedMutant]


class SeedRange(click.ParamType[range]):
    """Seeds as `A-B`, or one seed."""

    name = "A-B"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> range:
        """Parse the text."""
        first, dash, last = str(value).partition("-")
        try:
            seeds = range(int(first), int(last if dash else first) + 1)
        except ValueError:
            self.fail(f"{value!r} is not a range of seeds such as 1-20", param, ctx)
        if not seeds:
            self.fail(f"{value!r} contains no seed", param, ctx)
        return seeds


@click.command("simulate")
@click.option(
    "--scenario",
    type=click.Choice([ALL, *(scenario.name for scenario in SCENARIOS)]),
    default=ALL,
    show_default=True,
    help="Scenario to run.",
)
@click.option("--seeds", type=SeedRange(), default="1-20", show_default=True)
@click.option("--list", "listing", is_flag=True, help="List scenarios and mutants, run nothing.")
@click.option(
    "--mutant",
    type=click.Choice([mutant.name for mutant in MUTANTS]),
    help="Run with this deliberate defect, which a scenario has to detect.",
)
@click.option(
    "--processes",
    type=click.IntRange(1),
    default=default_processes,
    show_default="one for each core",
    help="Number of concurrent runs.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the report as one JSON object.")
def simulate(
    scenario: str,
    seeds: range,
    listing: bool,
    mutant: str | None,
    processes: int,
    as_json: bool,
) -> None:
    """Run the product on virtual time under seeded faults, and check every promise.

    Exit status 0 when every promise held in every run, 1 when one was broken.
    """
    if listing:
        _print_listing(as_json)
        return
    scenarios = SCENARIOS if scenario == ALL else (scenario_named(scenario),)
    started_at = time.monotonic()
    progress = _progress_printer(len(scenarios) * len(seeds))
    summaries = run_campaign(scenarios, seeds, mutant or "", processes, progress)
    report = _report(scenarios, summaries, mutant or "", time.monotonic() - started_at)
    _print_report(report, as_json)
    if report.violations:
        sys.exit(EXIT_PROMISE_BROKEN)


def _progress_printer(total: int) -> Callable[[RunSummary], None]:
    done = 0

    def progress(summary: RunSummary) -> None:
        nonlocal done
        done += 1
        for violation in summary.violations:
            _print_progress(f"VIOLATION {summary.scenario} seed {summary.seed}: {violation}")
        if done % PROGRESS_RUNS == 0 or done == total:
            _print_progress(f"{done} of {total} runs")

    return progress


def _report(
    scenarios: Sequence[Scenario], summaries: list[RunSummary], mutant: str, wall_seconds: float
) -> SimulationReport:
    failed = [each for each in summaries if each.violations]
    return SimulationReport(
        runs=len(summaries),
        violations=sum(len(each.violations) for each in failed),
        wall_seconds=round(wall_seconds, 1),
        cpu_seconds=round(sum(each.cpu_seconds for each in summaries), 1),
        scenarios=[_summarise_scenario(scenario.name, summaries) for scenario in scenarios],
        distributions=distributions(each.measures for each in summaries),
        failed=[
            _failed_run(summary, mutant, shortened=number < SHORTENED_RUNS)
            for number, summary in enumerate(failed)
        ],
        trace_hashes={f"{each.scenario}/{each.seed}": each.trace_hash for each in summaries},
    )


def _summarise_scenario(name: str, summaries: list[RunSummary]) -> ScenarioSummary:
    own = [each for each in summaries if each.scenario == name]
    return ScenarioSummary(
        name=name,
        runs=len(own),
        failed_runs=sum(bool(each.violations) for each in own),
        requests=sum(each.requests for each in own),
        answered=sum(each.answered for each in own),
        not_run=sum(each.not_run for each in own),
        unknown=sum(each.unknown for each in own),
        broken=sum(each.broken for each in own),
        not_connected=sum(each.not_connected for each in own),
        changes=sum(each.changes for each in own),
        accepted=sum(each.accepted for each in own),
        cpu_seconds=round(sum(each.cpu_seconds for each in own), 1),
    )


def _failed_run(summary: RunSummary, mutant: str, shortened: bool) -> FailedRun:
    replay = f"jasperwalk-lab simulate --scenario {summary.scenario} --seeds {summary.seed}"
    if mutant:
        replay += f" --mutant {mutant}"
    faults, events = summary.faults, list[str]()
    if shortened:
        _print_progress(f"minimising the faults of {summary.scenario} seed {summary.seed}")
        short = minimize_faults(
            summary.scenario, summary.seed, mutant, kind_of(summary.violations[0])
        )
        faults, events = short.faults, short.events
    return FailedRun(summary.scenario, summary.seed, summary.violations, replay, faults, events)


def _print_report(report: SimulationReport, as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
        return
    for each in report.scenarios:
        click.echo(
            f"{each.name:22} runs={each.runs} failed={each.failed_runs} requests={each.requests} "
            f"answered={each.answered} not-run={each.not_run} unknown={each.unknown} "
            f"broken={each.broken} changes={each.changes} accepted={each.accepted} "
            f"cpu={each.cpu_seconds}s"
        )
    for name, measured in report.distributions.items():
        click.echo(
            f"{name:28} n={measured.occasions} p50={measured.p50_seconds}s "
            f"p99={measured.p99_seconds}s longest={measured.longest_seconds}s"
        )
    for failed in report.failed:
        _print_failed(failed)
    click.echo(
        f"runs={report.runs} violations={report.violations} "
        f"wall={report.wall_seconds}s cpu={report.cpu_seconds}s"
    )


def _print_failed(failed: FailedRun) -> None:
    click.echo(f"FAILED {failed.scenario} seed {failed.seed}; replay: {failed.replay}")
    for line in (*failed.violations, *failed.faults, *failed.events):
        click.echo(f"    {line}")


def _print_listing(as_json: bool) -> None:
    listing = Listing(
        scenarios=[
            ListedScenario(
                each.name, each.description, each.layout.name, [*each.promises], [*each.failures]
            )
            for each in SCENARIOS
        ],
        mutants=[
            ListedMutant(each.name, each.description, each.scenario, each.seed, each.violation)
            for each in MUTANTS
        ],
    )
    if as_json:
        click.echo(msgspec.json.encode(listing).decode())
        return
    for scenario in listing.scenarios:
        click.echo(f"{scenario.name}: {scenario.description}")
        click.echo(f"    promises: {', '.join(scenario.promises)}")
        click.echo(f"    failures: {', '.join(scenario.failures) or 'none of the list'}")
    for mutant in listing.mutants:
        click.echo(f"mutant {mutant.name}: {mutant.description} (caught by {mutant.scenario})")


def _print_progress(line: str) -> None:
    click.echo(line, err=True)
