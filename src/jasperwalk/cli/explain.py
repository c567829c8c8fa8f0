"""`jasperwalk explain`: the history of one flow, collected from the logs of many processes.

Lines that name the flow are shown in order of time. Before them stands the last logged state of
the processes that acted on it (routes in force, agents, phase of the host, home replica),
because their decisions depend on it. Only log files are read; no process needs to run.
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
    """One parsed line; `fields` holds the keys beside those that every line has."""

    timestamp: str
    process: str
    name: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """Return the line as text for people."""
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.timestamp} {self.name:<24} {self.event:<20} {details}"


@dataclass(frozen=True)
class FlowHistory:
    """Lines of a flow, and the last state that its processes logged before the first of them.

    The field names are the keys of the JSON output.
    """

    flow: str
    beliefs: list[LogLine]
    lines: list[LogLine]


def parse_line(text: str) -> LogLine | None:
    """Parse one key=value line; None for a line without the keys that every log line has."""
    fields = {match["key"]: match["value"].strip('"') for match in FIELD.finditer(text)}
    if any(key not in fields for key in COMMON_KEYS):
        return None
    timestamp, _level, process, name, event = (fields.pop(key) for key in COMMON_KEYS)
    return LogLine(timestamp, process, name, event, fields)


def build_history(flow: str, lines: Iterable[LogLine]) -> FlowHistory:
    """Return the history of a flow, from lines in any order."""
    ordered = sorted(lines, key=lambda line: line.timestamp)
    own = [line for line in ordered if line.fields.get("flow") == flow]
    if not own:
        return FlowHistory(flow, [], [])
    names = {line.name for line in own} | {line.fields.get("agent", "") for line in own}
    return FlowHistory(flow, list(_last_known_state(ordered, names, own[0].timestamp)), own)


def _last_known_state(ordered: list[LogLine], names: set[str], until: str) -> Iterator[LogLine]:
    """Yield the last line of each state event, per process and agent in `names`, up to `until`."""
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
@click.option("--json", "as_json", is_flag=True, help="Print the history as JSON.")
def explain(flow: str, logs: tuple[Path, ...], as_json: bool) -> None:
    """Show the history of FLOW (CALLER:PORT>LISTENER:PORT) from the processes' LOGS.

    Exit codes: 0 shown; 1 no line names the flow.
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
    click.echo("Last known state before the flow:")
    for line in history.beliefs:
        click.echo(f"  {line.text()}")
    click.echo("Events of the flow:")
    for line in history.lines:
        click.echo(f"  {line.text()}")
