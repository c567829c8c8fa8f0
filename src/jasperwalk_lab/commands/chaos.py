"""`jasperwalk-lab chaos`: seeded faults in a running fleet under traffic, with a verdict."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from jasperwalk_lab.chaos.report import describe
from jasperwalk_lab.chaos.run import run_chaos
from jasperwalk_lab.commands.options import example_option, runs_option, seed_option
from jasperwalk_lab.commands.running import run_stoppable

EXIT_PROMISE_BROKEN = 1
MIN_SECONDS = 10.0


@click.command("chaos")
@example_option
@click.option(
    "--seconds",
    type=click.FloatRange(min=MIN_SECONDS),
    default=40.0,
    show_default=True,
    help="Length of the run; the last fault starts shortly before its end.",
)
@seed_option
@runs_option
@click.option("--json", "as_json", is_flag=True, help="Print the report as one JSON object.")
def chaos(example: str, seconds: float, seed: int, runs: Path, as_json: bool) -> None:
    """Inject faults into a running fleet (kill, freeze, cut, wipe, drain) and check its history.

    Exit status 0 when every promise held, 1 when one was broken or the run was too small.
    """
    report = run_stoppable(
        run_chaos(example, seconds, seed, runs, lambda line: click.echo(line, err=True))
    )
    click.echo(describe(report), err=as_json)
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
    if report.violations:
        sys.exit(EXIT_PROMISE_BROKEN)
