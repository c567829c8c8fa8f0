"""`jasperwalk explain`: the story of one flow, drawn together from the logs of many processes.

Lines that name the flow are shown in the order of time, and with them what the processes that
acted on it had last come to believe before (routes in force, agents, the host's phase, the
home), because a decision rests on that. Works on log files alone; nothing needs to run.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path

import click

from jasperwalk.cli.operation import ExampleCommand

FIELD = re.compile(r'(?P<key>[A-Za-z_]+)=(?P<value>"(?:[^"\\]|\\.)*"|\S*)')
STATE_EVENTS = frozenset(
    {
        "agent-changed",
        "agent-started",
        "agent-unlisted",
        "agents-known",
        "balancer-started",
        "home-linked",
        "home-lost",
        "host-announced",
        "host-leaves",
        "readiness",
        "routes-in-force",
    }
)
COMMON_KEYS = ("timestamp", "level", "process", "name", "event")


@dataclass(frozen=True)
class LogLine:
    """One parsed line; `fields` holds the keys beyond those that every line has."""

    timestamp: str
    process: str
    name: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """Return the line for people."""
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.timestamp} {self.name:<24} {self.event:<20} {details}"


@dataclass(frozen=True)
class FlowHistory:
    """A flow's lines, and what its processes believed before the first of them."""

    flow: str
    beliefs: list[LogLine]
    lines: list[LogLine]


def parse_line(text: str) -> LogLine | None:
    """Parse one key=value line; None for a line that is none of the product's."""
    fields = {match["key"]: match["value"].strip('"') for match in FIELD.finditer(text)}
    if any(key not in fields for key in COMMON_KEYS):
        return None
    timestamp, _level, process, name, event = (fields.pop(key) for key in COMMON_KEYS)
    return LogLine(timestamp, process, name, event, fields)


def build_history(flow: str, lines: Iterable[LogLine]) -> FlowHistory:
    """Return the story of a flow from lines in any order."""
    ordered = sorted(lines, key=lambda line: line.timestamp)
    own = [line for line in ordered if line.fields.get("flow") == flow]
    if not own:
        return FlowHistory(flow, [], [])
    names = {line.name for line in own} | {line.fields.get("agent", "") for line in own}
    return FlowHistory(flow, list(_last_known_state(ordered, names, own[0].timestamp)), own)


def _last_known_state(ordered: list[LogLine], names: set[str], until: str) -> Iterator[LogLine]:
    """Yield each process' last line of a kind before a time, for what concerns the flow."""
    latest: dict[tuple[str, str, str], LogLine] = {}
    for line in ordered:
        subject = line.fields.get("agent", "")
        concerns = not subject or subject in names
        is_state_event = line.event in STATE_EVENTS and line.name in names and concerns
        if line.timestamp <= until and is_state_event:
            latest[line.name, line.event, subject] = line
    yield from sorted(latest.values(), key=lambda line: line.timestamp)


def _read(paths: Iterable[Path]) -> Iterator[LogLine]:
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(text)
                if line is not None:
                    yield line


@click.command(
    cls=ExampleCommand,
    examples=(
        "jasperwalk explain '100.64.0.7:40001>198.18.0.1:443' balancer-1.log agent-2.log",
        "jasperwalk explain '100.64.0.7:40001>198.18.0.1:443' --json *.log",
    ),
)
@click.argument("flow")
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option("--json", "as_json", is_flag=True, help="Print the story as JSON.")
def explain(flow: str, logs: tuple[Path, ...], as_json: bool) -> None:
    """Tell the story of FLOW (CALLER:PORT>LISTENER:PORT) from the processes' LOGS.

    Exit codes: 0 told; 1 no line names the flow.
    """
    history = build_history(flow, _read(logs))
    if as_json:
        click.echo(json.dumps(asdict(history), indent=2))
    elif history.lines:
        _print(history)
    if not history.lines:
        if not as_json:
            click.echo(f"no line names the flow {flow}", err=True)
        raise SystemExit(1)


def _print(history: FlowHistory) -> None:
    click.echo("What its processes believed before:")
    for line in history.beliefs:
        click.echo(f"  {line.text()}")
    click.echo("What happened:")
    for line in history.lines:
        click.echo(f"  {line.text()}")
