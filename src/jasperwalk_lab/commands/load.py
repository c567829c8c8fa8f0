"""`jasperwalk-lab load`: an open-loop load on a running fleet, or on one started for it."""

from __future__ import annotations

import random
from pathlib import Path

import click
import msgspec

from jasperwalk_lab.caller import Caller
from jasperwalk_lab.commands.options import runs_option, seed_option
from jasperwalk_lab.commands.running import run_stoppable
from jasperwalk_lab.example import EXAMPLE_NAMES, load_example
from jasperwalk_lab.fleet import Fleet, make_run_folder
from jasperwalk_lab.fleet_options import FleetOptions
from jasperwalk_lab.load.driver import OpenLoop
from jasperwalk_lab.load.listeners import FleetListeners, listeners_of, read_listeners
from jasperwalk_lab.load.profile import PROFILES, LoadProfile
from jasperwalk_lab.load.result import LoadResult
from jasperwalk_lab.operations import CallHistory

LATENCY_HEADING = f"{'operation':<12} {'count':>7} {'p50':>9} {'p90':>9} {'p99':>9} {'max':>9}  ms"
RUN_NAME_LIMIT = 1 << 32


@click.command("load")
@click.option("--example", type=click.Choice(EXAMPLE_NAMES), help="Start a fleet for the load.")
@click.option(
    "--fleet",
    "fleet_folder",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="Run folder of a running fleet (`jasperwalk-lab fleet up` prints it).",
)
@seed_option
@runs_option
@click.option("--seconds", type=click.FloatRange(min=1), default=20.0, show_default=True)
@click.option("--rate", type=click.FloatRange(min=0.01), default=1.0, help="Factor on the rates.")
@click.option(
    "--service-time-ms",
    type=click.FloatRange(min=0.1),
    default=100.0,
    show_default=True,
    help="Mean service time of the backends of a fleet started here; times vary.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the result as one JSON object.")
def load(
    example: str | None,
    fleet_folder: Path | None,
    seed: int,
    runs: Path,
    seconds: float,
    rate: float,
    service_time_ms: float,
    as_json: bool,
) -> None:
    """Send a deployment's mix of requests in an open loop; arrivals depend only on the seed."""
    if (example is None) == (fleet_folder is None):
        raise click.UsageError("give either --example or --fleet")
    if fleet_folder is not None:
        fleet_listeners = read_listeners(fleet_folder)
        profile = _profile(fleet_listeners.example, seconds, rate)
        result = run_stoppable(_run(fleet_listeners, profile, seed))
    else:
        name = str(example)
        options = FleetOptions(service_time_ms=service_time_ms, service_time_varies=True)
        profile = _profile(name, seconds, rate)
        result = run_stoppable(_run_on_own_fleet(name, profile, seed, runs, options))
    click.echo(describe(result), err=as_json)
    if as_json:
        click.echo(msgspec.json.encode(result).decode())


def _profile(example: str, seconds: float, rate: float) -> LoadProfile:
    return PROFILES[example].scaled(rate).model_copy(update={"seconds": seconds})


async def _run_on_own_fleet(
    example: str, profile: LoadProfile, seed: int, runs: Path, options: FleetOptions
) -> LoadResult:
    run_folder = make_run_folder(runs, f"load-{example}")
    _progress(f"run folder {run_folder}, seed {seed}")
    async with Fleet(load_example(example), run_folder, seed, options) as fleet:
        await fleet.start()
        return await _run(listeners_of(fleet), profile, seed)


async def _run(fleet_listeners: FleetListeners, profile: LoadProfile, seed: int) -> LoadResult:
    # Part of the name is random, as backends' journals still have the request IDs of earlier loads.
    name = f"load{seed}-{random.SystemRandom().randrange(RUN_NAME_LIMIT):x}"
    caller = Caller(name, Path(fleet_listeners.ca_file), CallHistory())
    loop = OpenLoop(caller, fleet_listeners, profile, seed, _progress)
    try:
        await loop.open_flows()
        return await loop.run()
    finally:
        await loop.close()


def _progress(line: str) -> None:
    click.echo(line, err=True)


def describe(result: LoadResult) -> str:
    """Return a result as text."""
    lines = [
        f"seed {result.seed}: {result.due} arrivals in {result.seconds:.1f} s on "
        f"{result.flows_opened} flows",
        f"answered {result.answered}, not run {result.not_run}, unknown {result.unknown}, "
        f"broken {result.broken} {result.broken_by_reason or ''}, "
        f"overflowed {result.overflowed}; latest start {result.latest_start_ms:.0f} ms after due",
        LATENCY_HEADING,
    ]
    for kind, each in result.latencies.items():
        lines.append(
            f"{kind:<12} {each.count:>7} {each.p50_ms:>9.1f} {each.p90_ms:>9.1f} "
            f"{each.p99_ms:>9.1f} {each.max_ms:>9.1f}"
        )
    return "\n".join(lines)
