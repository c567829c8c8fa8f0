"""Output of commands: a table or lines for people, one JSON object for programs."""

from __future__ import annotations

from collections.abc import Sequence

import click
import msgspec

from jasperwalk.cli.failures import NotInForce, OperationRefused
from jasperwalk.errors import JasperwalkError

COLUMN_GAP = "  "


class FailureView(msgspec.Struct, frozen=True):
    """The JSON object that a failed command prints; `detail` is the line for people."""

    kind: str
    detail: str
    exit_code: int
    context: object = None


class Printer:
    """Prints results to standard output, notes and errors to standard error."""

    def __init__(self, json_output: bool) -> None:
        self.json_output = json_output

    def result(self, view: msgspec.Struct, lines: Sequence[str]) -> None:
        """Print `view` as JSON, or `lines` for people."""
        if self.json_output:
            click.echo(msgspec.json.encode(view).decode())
            return
        for line in lines:
            click.echo(line)

    def note(self, line: str) -> None:
        """Print a message to standard error, beside the result."""
        click.echo(line, err=True)

    def failure(self, error: JasperwalkError, exit_code: int) -> None:
        """Print a failure as one line, and as JSON with --json."""
        click.echo(f"error: {error.describe()}", err=True)
        if self.json_output:
            click.echo(msgspec.json.encode(_view_failure(error, exit_code)).decode())


def _view_failure(error: JasperwalkError, exit_code: int) -> FailureView:
    kind = error.kind
    context: object = None
    if isinstance(error, OperationRefused):
        kind = error.problem.kind
        context = error.problem
    elif isinstance(error, NotInForce):
        context = error.in_force
    return FailureView(kind=kind, detail=error.describe(), exit_code=exit_code, context=context)


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return aligned lines, the header first."""
    table = [tuple(header), *(tuple(_format_cell(cell) for cell in row) for row in rows)]
    widths = [max(len(row[column]) for row in table) for column in range(len(header))]
    return [_format_row(row, widths) for row in table]


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return COLUMN_GAP.join(cells).rstrip()


def _format_cell(cell: object) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)
