"""`jasperwalk template`: apply, list and show templates."""

from __future__ import annotations

from pathlib import Path

import click

from jasperwalk.cli import api_requests
from jasperwalk.cli.change_submission import send_change
from jasperwalk.cli.documents import read_text, template_name
from jasperwalk.cli.operation import (
    ChangeFlags,
    Operation,
    OperatorCommand,
    api_options,
    change_options,
    expect_revision_option,
)
from jasperwalk.cli.output import format_table
from jasperwalk.control.views import TemplateList, TemplateView


@click.group()
def template() -> None:
    """Apply, list and show templates of services."""


@template.command(
    cls=OperatorCommand,
    examples=(
        "jasperwalk template apply portal.toml",
        "jasperwalk template apply portal.toml --expect-revision 17 --wait 10",
    ),
)
@click.argument("file", type=click.Path(path_type=Path))
@api_options
@change_options
@expect_revision_option
def apply(file: Path, operation: Operation, flags: ChangeFlags) -> None:
    """Create or change the template in FILE (TOML), under the `name` in the file.

    Every tenant of the template is rendered again; the change is refused when one of them
    is no longer valid.
    """
    text = read_text(file)
    request = api_requests.put_template(template_name(text, str(file)), text)
    operation.run(send_change(operation, request, flags))


@template.command("list", cls=OperatorCommand, examples=("jasperwalk template list --json",))
@api_options
def list_templates(operation: Operation) -> None:
    """List the templates with their revisions."""
    request = api_requests.read("templates")
    view = operation.run(operation.client.call(request, TemplateList))
    rows = [(each.name, each.revision) for each in view.templates]
    operation.printer.result(view, format_table(("NAME", "REVISION"), rows))


@template.command(cls=OperatorCommand, examples=("jasperwalk template show portal > portal.toml",))
@click.argument("name")
@api_options
def show(name: str, operation: Operation) -> None:
    """Print the TOML text of the template NAME."""
    request = api_requests.read("templates", name)
    view = operation.run(operation.client.call(request, TemplateView))
    if not operation.printer.json_output:
        operation.printer.note(f"revision {view.revision}")
    operation.printer.result(view, view.text.splitlines())
