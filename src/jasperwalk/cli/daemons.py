"""`jasperwalk control|balancer|agent`: check the settings of a daemon and run it."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import click

from jasperwalk.cli.exit_codes import ExitCode
from jasperwalk.cli.operation import ExampleCommand
from jasperwalk.errors import JasperwalkError
from jasperwalk.observability.logs import configure_logging, get_logger
from jasperwalk.runtime import run
from jasperwalk.settings import (
    AgentSettings,
    BalancerSettings,
    ControlSettings,
    Override,
    ProcessSettings,
    SettingsError,
    check_before_start,
    load_settings,
    source_name,
)
from jasperwalk.transport.errors import UnusableCertificate
from jasperwalk.transport.identity import ProcessRole
from jasperwalk.transport.tls import describe_links, link_tls_of

# The daemons' own modules are imported when they run, so that operators' commands and --check
# do not load QUIC and consensus.
# ruff: noqa: PLC0415

Command = TypeVar("Command", bound=Callable[..., object])


@dataclass(frozen=True)
class DaemonFlags:
    """Flags that every daemon has; `overrides` holds --set and the flags of single keys."""

    settings_path: Path | None
    overrides: tuple[str | Override, ...]
    check_only: bool


def settings_options(*named_keys: str) -> Callable[[Command], Command]:
    """Add --settings, --set, --check and a flag for each named key."""

    def decorate(command: Command) -> Command:
        for key in reversed(named_keys):
            flag = f"--{key.replace('_', '-')}"
            command = click.option(flag, key, help=f"Override the settings key {key}.")(command)
        command = click.option(
            "--set",
            "single_overrides",
            multiple=True,
            metavar="KEY=VALUE",
            help="Override any settings key (dotted key, TOML value); may be repeated.",
        )(command)
        command = click.option(
            "--check", "check_only", is_flag=True, help="Check the settings, and do not start."
        )(command)
        return click.option(
            "--settings",
            "settings_path",
            type=click.Path(path_type=Path),
            help="Settings file (TOML). Without it the settings come from the flags alone.",
        )(command)

    return decorate


def collect_flags(
    settings_path: Path | None,
    check_only: bool,
    single_overrides: tuple[str, ...],
    named: dict[str, str | None],
) -> DaemonFlags:
    """Collect the flags; a key's own flag takes precedence over --set of the same key."""
    overrides: list[str | Override] = list(single_overrides)
    for key, value in named.items():
        if value is not None:
            overrides.append(Override(path=(key,), value=value, flag=f"--{key}"))
    return DaemonFlags(settings_path, tuple(overrides), check_only)


Settings = TypeVar("Settings", bound=ProcessSettings)


def start(
    process: str,
    flags: DaemonFlags,
    model: type[Settings],
    main: Callable[[Settings], Coroutine[Any, Any, None]],
) -> None:
    """Check the settings and run the daemon; invalid settings are one line and exit code 2."""
    try:
        settings = load_settings(flags.settings_path, model, flags.overrides)
        source = source_name(flags.settings_path)
        links = describe_links(link_tls_of(settings, ProcessRole(process)))
        if flags.check_only:
            click.echo(f"{source}: settings of {process} {settings.name} are valid; {links}")
            return
        check_before_start(settings, source)
    except (SettingsError, UnusableCertificate) as error:
        click.echo(f"error: {error.describe()}", err=True)
        raise SystemExit(ExitCode.USAGE) from error
    configure_logging(process, settings.name, settings.log_level)
    try:
        run(main(settings))
    except JasperwalkError as error:
        get_logger().error("stopped-by-failure", kind=error.kind, detail=error.describe())
        raise SystemExit(ExitCode.REFUSED) from error
    except OSError as error:
        get_logger().error("stopped-by-failure", kind="operating-system", detail=str(error))
        raise SystemExit(ExitCode.REFUSED) from error


async def _run_control(settings: ControlSettings) -> None:
    from jasperwalk.control.process import run_control

    await run_control(settings)


async def _run_balancer(settings: BalancerSettings) -> None:
    from jasperwalk.balancer.process import run_balancer

    await run_balancer(settings)


async def _run_agent(settings: AgentSettings) -> None:
    from jasperwalk.agent.process import run_agent

    await run_agent(settings)


@click.command(
    cls=ExampleCommand,
    examples=(
        "jasperwalk control --settings control-1.toml --check",
        "jasperwalk control --settings control-1.toml --set heartbeat_ms=250",
    ),
)
@settings_options("name", "zone", "data_folder", "peer_listen", "api_listen", "log_level")
def control(
    settings_path: Path | None,
    check_only: bool,
    single_overrides: tuple[str, ...],
    **named: str | None,
) -> None:
    """Run a control replica."""
    flags = collect_flags(settings_path, check_only, single_overrides, named)
    start("control", flags, ControlSettings, _run_control)


@click.command(
    cls=ExampleCommand,
    examples=("jasperwalk balancer --settings balancer-1.toml --listen 10.0.1.5:6000",),
)
@settings_options("name", "zone", "listen", "admin_listen", "log_level")
def balancer(
    settings_path: Path | None,
    check_only: bool,
    single_overrides: tuple[str, ...],
    **named: str | None,
) -> None:
    """Run a balancer."""
    flags = collect_flags(settings_path, check_only, single_overrides, named)
    start("balancer", flags, BalancerSettings, _run_balancer)


@click.command(
    cls=ExampleCommand,
    examples=("jasperwalk agent --settings agent.toml --backend 127.0.0.1:8080",),
)
@settings_options("name", "zone", "listen", "admin_listen", "backend", "log_level")
def agent(
    settings_path: Path | None,
    check_only: bool,
    single_overrides: tuple[str, ...],
    **named: str | None,
) -> None:
    """Run the agent beside a backend."""
    flags = collect_flags(settings_path, check_only, single_overrides, named)
    start("agent", flags, AgentSettings, _run_agent)
