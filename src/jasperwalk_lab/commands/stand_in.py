"""`jasperwalk-lab stand-in`: runs one stand-in process (the fleet starts them)."""

from __future__ import annotations

from pathlib import Path

import click
import uvloop

from jasperwalk_lab.backend import BackendSettings, run_backend
from jasperwalk_lab.baselines.process import BaselineSettings, run_baseline
from jasperwalk_lab.chaos.links_process import LinksSettings, run_links
from jasperwalk_lab.fabric_process import FabricSettings, run_fabric
from jasperwalk_lab.platform_list import PlatformListSettings, run_platform_list
from jasperwalk_lab.serving import load_lab_settings

settings_option = click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    required=True,
    help="TOML settings of the stand-in.",
)


@click.group("stand-in")
def stand_in() -> None:
    """Run one stand-in until it is stopped."""


@stand_in.command("fabric")
@settings_option
def fabric(settings_file: Path) -> None:
    """Spray callers' datagrams over the balancers."""
    uvloop.run(run_fabric(load_lab_settings(settings_file, FabricSettings)))


@stand_in.command("platform-list")
@settings_option
def platform_list(settings_file: Path) -> None:
    """Serve the platform's delayed list of machines."""
    uvloop.run(run_platform_list(load_lab_settings(settings_file, PlatformListSettings)))


@stand_in.command("backend")
@settings_option
def backend(settings_file: Path) -> None:
    """Serve as the backend of one host."""
    uvloop.run(run_backend(load_lab_settings(settings_file, BackendSettings)))


@stand_in.command("balancer")
@settings_option
def balancer(settings_file: Path) -> None:
    """Run a balancer that places flows as a baseline does."""
    uvloop.run(run_baseline(load_lab_settings(settings_file, BaselineSettings)))


@stand_in.command("links")
@settings_option
def links(settings_file: Path) -> None:
    """Relay the links to control replicas; links can be cut."""
    uvloop.run(run_links(load_lab_settings(settings_file, LinksSettings)))
