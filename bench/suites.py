"""The command of the benchmarks, and the suites that it runs."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import click

from bench import (
    agent,
    balancer,
    consensus,
    datagrams,
    distribution,
    fair_shares,
    host_service_times,
    overload,
    request_scheduler,
)
from bench.harness import DEFAULT_OUTPUT, Figure, make_report
from jasperwalk_lab.machine import machine_facts, write_json

SUITES = {
    "balancer": balancer.measure,
    "overload": overload.measure,
    "agent": agent.measure,
    "consensus": consensus.measure,
    "distribution": distribution.measure,
    "datagrams": datagrams.measure,
    "fair-shares": fair_shares.measure,
    "host-pace": host_service_times.measure,
    "request-scheduler": request_scheduler.measure,
}


@click.command()
@click.option("--only", type=click.Choice(sorted(SUITES)), multiple=True, help="Suites to run.")
@click.option(
    "--output",
    type=click.Path(path_type=Path),
    default=DEFAULT_OUTPUT,
    show_default=False,
    help="File for the report; build/bench.json unless given.",
)
def main(only: tuple[str, ...], output: Path) -> None:
    """Measure each figure and its baseline in the same run."""
    started_at = datetime.now(UTC)
    machine = machine_facts()
    figures: list[Figure] = []
    for name, measure in SUITES.items():
        if only and name not in only:
            continue
        for figure in measure():
            click.echo(figure.line())
            figures.append(figure)
    write_json(make_report(started_at, machine, figures), output)
    click.echo(f"written to {output}")
