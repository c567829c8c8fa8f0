"""`jasperwalk-lab demo`: all processes under load on this machine, with a verdict."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from jasperwalk_lab.commands.options import example_option, runs_option, seed_option
from jasperwalk_lab.commands.running import run_stoppable
from jasperwalk_lab.demo import run_demo
from jasperwalk_lab.fleet_options import FleetOptions
from jasperwalk_lab.summary import describe

EXIT_PROMISE_BROKEN = 1


@click.command("demo")
@example_option
@seed_option
@runs_option
@click.option("--plain-links", is_flag=True, help="Internal links without TLS, for comparison.")
@click.option("--json", "as_json", is_flag=True, help="Print the summary as one JSON object.")
def demo(example: str, seed: int, runs: Path, plain_links: bool, as_json: bool) -> None:
    """Start a fleet, send traffic, kill a balancer, change a weight, and check the run.

    Exit status 0 when every promise held, 1 when one was broken.
    """
    options = FleetOptions(protect_links=not plain_links)
    result = run_stoppable(
        run_demo(example, seed, runs, lambda line: click.echo(line, err=True), options)
    )
    click.echo(describe(result.summary, result.report), err=as_json)
    if as_json:
        click.echo(msgspec.json.encode(result.summary).decode())
    if result.summary.broken_promises:
        sys.exit(EXIT_PROMISE_BROKEN)
