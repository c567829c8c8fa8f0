"""`jasperwalk-lab scale`: real control and thousands of hollow nodes on this machine."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
import uvloop

from jasperwalk_lab.commands.options import runs_option, seed_option
from jasperwalk_lab.commands.running import run_stoppable
from jasperwalk_lab.scale.figures import ScaleFigures
from jasperwalk_lab.scale.hollow import run_hollow
from jasperwalk_lab.scale.parts import measure_parts
from jasperwalk_lab.scale.plan import REAL_AGENTS, REAL_BALANCERS, ScaleSize
from jasperwalk_lab.scale.report import (
    ScaleReport,
    make_parts_report,
    make_report,
    write_report,
)
from jasperwalk_lab.scale.run import run_scale
from jasperwalk_lab.scale.target import (
    REGION_HOSTS,
    REGION_SERVICES,
    REPLICA_SUBSCRIBERS,
    ZONE_HOSTS,
)

EXIT_NOT_RECOVERED = 1
DEFAULT_SIZES = "250:500:125,500:1000:250,1000:2000:500,2000:4000:1000,250:2000:2000,1000:500:125"
"""The last two part the cost of entries from the cost of subscribers."""

output_option = click.option(
    "--output",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Also write the report to this file.",
)


@click.command("scale")
@click.option("--balancers", type=click.IntRange(REAL_BALANCERS + 1), required=True)
@click.option("--agents", type=click.IntRange(REAL_AGENTS + 1), required=True)
@click.option("--services", type=click.IntRange(1), required=True)
@seed_option
@runs_option
@click.option("--json", "as_json", is_flag=True, help="Print the report as one JSON object.")
@output_option
def scale(
    balancers: int,
    agents: int,
    services: int,
    seed: int,
    runs: Path,
    as_json: bool,
    output: Path | None,
) -> None:
    """Measure a fleet of this size: joining, idling, changes and recovery.

    Exit status 0, or 1 when a phase did not end as it should; its figures are printed too.
    """
    size = _checked(ScaleSize(balancers=balancers, agents=agents, services=services))
    figures = run_stoppable(run_scale(size, seed, runs, _progress))
    command = f"jasperwalk-lab scale --balancers {balancers} --agents {agents}"
    _finish(make_report(f"{command} --services {services}", [figures]), output, as_json)


@click.command("scale-slopes")
@click.option("--sizes", default=DEFAULT_SIZES, show_default=True, help="BALANCERS:AGENTS:SERVICES")
@seed_option
@runs_option
@click.option("--json", "as_json", is_flag=True, help="Print the report as one JSON object.")
@output_option
def scale_slopes(sizes: str, seed: int, runs: Path, as_json: bool, output: Path | None) -> None:
    """Run `scale` at several sizes, smallest first; the slopes are fitted from its report."""
    figures: list[ScaleFigures] = []
    for size in [_parse_size(text) for text in sizes.split(",")]:
        _progress(f"=== {size}")
        figures.append(run_stoppable(run_scale(size, seed, runs, _progress)))
    _finish(make_report(f"jasperwalk-lab scale-slopes --sizes {sizes}", figures), output, as_json)


@click.command("scale-parts")
@click.option("--json", "as_json", is_flag=True, help="Print the report as one JSON object.")
@output_option
def scale_parts(as_json: bool, output: Path | None) -> None:
    """Measure parts of control and of a balancer alone, at the size of a target region."""
    parts = measure_parts(
        subscribers=round(REPLICA_SUBSCRIBERS),
        members=REGION_HOSTS,
        services=REGION_SERVICES,
        zone_members=ZONE_HOSTS,
    )
    report = make_parts_report("jasperwalk-lab scale-parts", parts)
    if output is not None:
        write_report(report, output)
    if as_json:
        click.echo(msgspec.json.encode(report).decode())


@click.command("scale-hollow", hidden=True)
def scale_hollow() -> None:
    """Serve as one hollow process of a scale run, which starts it."""
    uvloop.run(run_hollow())


def _finish(report: ScaleReport, output: Path | None, as_json: bool) -> None:
    if output is not None:
        write_report(report, output)
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
    failures = [failure for run in report.runs for failure in run.failures]
    for failure in failures:
        _progress(f"FAILED {failure}")
    if failures:
        sys.exit(EXIT_NOT_RECOVERED)


def _parse_size(text: str) -> ScaleSize:
    try:
        balancers, agents, services = (int(part) for part in text.split(":"))
    except ValueError as error:
        raise click.BadParameter(f"{text!r} is not BALANCERS:AGENTS:SERVICES") from error
    return _checked(ScaleSize(balancers=balancers, agents=agents, services=services))


def _checked(size: ScaleSize) -> ScaleSize:
    if size.services > size.agents:
        raise click.BadParameter("every service needs at least one agent")
    if size.balancers <= REAL_BALANCERS or size.agents <= REAL_AGENTS:
        raise click.BadParameter("there must be hollow nodes beside the real ones")
    return size


def _progress(line: str) -> None:
    click.echo(line, err=True)
