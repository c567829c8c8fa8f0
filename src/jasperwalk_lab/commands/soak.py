"""`jasperwalk-lab soak`: random faults in running processes, with a check of every promise."""

from __future__ import annotations

import secrets
import sys
from pathlib import Path

import click
import msgspec

from jasperwalk_lab.chaos.report import describe as describe_chaos
from jasperwalk_lab.chaos.run import run_chaos
from jasperwalk_lab.commands.options import example_option, runs_option
from jasperwalk_lab.commands.running import run_stoppable
from jasperwalk_lab.soak.faults import FaultSelection
from jasperwalk_lab.soak.fleet import SIZES
from jasperwalk_lab.soak.kept_seeds import read_kept_seeds
from jasperwalk_lab.soak.report import SoakReport, describe
from jasperwalk_lab.soak.run import run_soak

EXIT_PROMISE_BROKEN = 1
MIN_MINUTES = 0.4
SEED_BITS = 31
SECONDS_PER_MINUTE = 60.0
PLANES = ("datagrams", "http3")


@click.command("soak")
@click.option(
    "--minutes",
    type=click.FloatRange(min=MIN_MINUTES),
    default=2.0,
    show_default=True,
    help="Length of the run.",
)
@click.option("--seed", type=int, default=None, help="Seed of the schedule; drawn if left out.")
@click.option("--plane", type=click.Choice(PLANES), default=PLANES[0], show_default=True)
@click.option("--kept", is_flag=True, help="First play the seeds that failed in the past.")
@click.option(
    "--size",
    type=click.Choice(sorted(SIZES)),
    default="small",
    show_default=True,
    help="Number of processes (datagram plane).",
)
@click.option(
    "--faults",
    "selection",
    type=click.Choice([each.value for each in FaultSelection]),
    default=FaultSelection.ALL.value,
    show_default=True,
    help="All kinds of faults, or planned work alone (datagram plane).",
)
@click.option("--seeds", type=click.IntRange(min=1), default=1, help="Number of seeds to play.")
@example_option
@runs_option
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as one JSON object.")
def soak(
    minutes: float,
    seed: int | None,
    plane: str,
    kept: bool,
    size: str,
    selection: str,
    seeds: int,
    example: str,
    runs: Path,
    as_json: bool,
) -> None:
    """Inject faults into running processes (kill, pause, cut, drain, wipe) and check every promise.

    The same seed gives the same schedule of faults. Exit status 0 when every promise held, 1 when
    one was broken, 2 for wrong flags. The run's folder has the logs, the faults as they took
    place (history.json), the verdict and a page with plots.
    """
    drawn_seed = secrets.randbits(SEED_BITS) if seed is None else seed
    if plane == PLANES[1]:
        sys.exit(_soak_http3(example, minutes, drawn_seed, runs, as_json))
    runs_to_play = [(each.seconds, each.seed) for each in read_kept_seeds()] if kept else []
    seconds = minutes * SECONDS_PER_MINUTE
    runs_to_play.extend((seconds, drawn_seed + offset) for offset in range(seeds))
    broken = False
    for run_seconds, each_seed in runs_to_play:
        soaking = run_soak(
            run_seconds, each_seed, runs, _print_progress, SIZES[size], FaultSelection(selection)
        )
        report = run_stoppable(soaking)
        _print(report, as_json)
        broken = broken or bool(report.violations)
    sys.exit(EXIT_PROMISE_BROKEN if broken else 0)


def _soak_http3(example: str, minutes: float, seed: int, runs: Path, as_json: bool) -> int:
    seconds = minutes * SECONDS_PER_MINUTE
    report = run_stoppable(run_chaos(example, seconds, seed, runs, _print_progress))
    click.echo(describe_chaos(report), err=as_json)
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
    return EXIT_PROMISE_BROKEN if report.violations else 0


def _print_progress(line: str) -> None:
    click.echo(line, err=True)


def _print(report: SoakReport, as_json: bool) -> None:
    click.echo(describe(report), err=as_json)
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
