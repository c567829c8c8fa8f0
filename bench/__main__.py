"""Run the benchmarks: print the figures and write them, with machine and commit, as JSON."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import click

from bench import balancer
from bench.harness import ROOT, Figure, make_report

SUITES = {"balancer": balancer.measure}
DEFAULT_OUTPUT = ROOT / "build" / "bench.json"


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
    """Measure each figure beside its baseline in the same run."""
    started_at = datetime.now(UTC)
    figures: list[Figure] = []
    for name, measure in SUITES.items():
        if only and name not in only:
            continue
        for figure in measure():
            click.echo(figure.line())
            figures.append(figure)
    make_report(started_at, figures).write(output)
    click.echo(f"written to {output}")


if __name__ == "__main__":
    main()
