"""`jasperwalk-lab fleet`: a fleet on loopback for manual tests."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import click

from jasperwalk_lab.commands.options import example_option, runs_option, seed_option
from jasperwalk_lab.commands.running import run_stoppable
from jasperwalk_lab.example import load_example
from jasperwalk_lab.fleet import Fleet, make_run_folder
from jasperwalk_lab.load.listeners import write_listeners


@click.group("fleet")
def fleet() -> None:
    """Run fleets of an example deployment."""


@fleet.command("up")
@example_option
@seed_option
@runs_option
def up(example: str, seed: int, runs: Path) -> None:
    """Start a fleet and keep it up until Ctrl-C or SIGTERM."""
    run_stoppable(_run_until_stopped(example, seed, runs))


async def _run_until_stopped(example: str, seed: int, runs: Path) -> None:
    run_folder = make_run_folder(runs, f"fleet-{example}")
    async with Fleet(load_example(example), run_folder, seed) as running:
        await running.start()
        write_listeners(running)
        _print_endpoints(running)
        with contextlib.suppress(asyncio.CancelledError):  # a signal cancels the wait
            await asyncio.Event().wait()
        click.echo("stopping the fleet", err=True)


def _print_endpoints(running: Fleet) -> None:
    layout = running.layout
    for control in layout.controls:
        click.echo(f"control   {control.name:<16} http://{control.api}")
    for balancer in layout.balancers:
        click.echo(f"balancer  {balancer.name:<16} http://{balancer.admin}/metrics")
    for member in layout.members:
        click.echo(f"agent     {member.host:<16} http://{member.admin}/metrics ({member.service})")
    for service in layout.example.services():
        click.echo(f"listener  {service.name:<16} https://{service.listener} (HTTP/3)")
    click.echo(f"fabric    {'admin':<16} http://{layout.fabric_admin}/lab/balancers")
    click.echo(f"CA        {running.certificates.ca_file}")
    click.echo(f"logs      {running.run_folder / 'logs'}")
    click.echo(f"run       {running.run_folder} (for `jasperwalk-lab load --fleet`)")
    click.echo("up; Ctrl-C stops it")
