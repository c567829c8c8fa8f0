"""`jasperwalk tenant`: apply, set, list, show and remove tenants."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import click
import msgspec

from jasperwalk.cli import api_requests
from jasperwalk.cli.change_submission import report_change, send_change
from jasperwalk.cli.documents import TenantChange, read_document, read_values
from jasperwalk.cli.failures import InvalidInput, OperationRefused
from jasperwalk.cli.operation import (
    ChangeFlags,
    Operation,
    OperatorCommand,
    api_options,
    change_options,
    expect_revision_option,
)
from jasperwalk.cli.output import format_table
from jasperwalk.control.views import ChangeView, TenantList, TenantView
from jasperwalk.settings.overrides import apply_override, parse_override

UNKNOWN_TENANT = "unknown-tenant"
UNKNOWN_CHANGE = "unknown-change"
VALUE_FLAG = "--value"


@dataclass(frozen=True)
class TenantInput:
    """Tenant as the flags give it; what is None is taken from the current tenant."""

    name: str
    template: str | None
    values: dict[str, Any] | None
    single_values: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Tell whether nothing has to be read from the current tenant."""
        return self.template is not None and self.values is not None


@click.group()
def tenant() -> None:
    """Apply, set, list, show and remove tenants."""


@tenant.command(
    cls=OperatorCommand,
    examples=("jasperwalk tenant apply tenant-godisnjak.toml --expect-revision 0 --wait 10",),
)
@click.argument("file", type=click.Path(path_type=Path))
@api_options
@change_options
@expect_revision_option
def apply(file: Path, operation: Operation, flags: ChangeFlags) -> None:
    """Create or change the tenant in FILE (TOML, or JSON in a .json file).

    The file holds name, template, and a table [values].
    """
    given = read_document(file, TenantChange)
    request = api_requests.put_tenant(given.name, given.template, given.values)
    operation.run(send_change(operation, request, flags))


@tenant.command(
    "set",
    cls=OperatorCommand,
    examples=(
        "jasperwalk tenant set godisnjak --template portal --values godisnjak.toml",
        "jasperwalk tenant set godisnjak --value weight_dvorana_a=50 --wait 10",
    ),
)
@click.argument("name")
@click.option("--template", "template", help="Template of the tenant. Default: the current one.")
@click.option(
    "--values",
    "values_file",
    type=click.Path(path_type=Path),
    help="TOML file (or .json) with all values of the tenant. Default: the current ones.",
)
@click.option(
    VALUE_FLAG,
    "single_values",
    multiple=True,
    metavar="KEY=VALUE",
    help="Set one value (dotted key, TOML value) on top of the others; may be repeated.",
)
@api_options
@change_options
@expect_revision_option
def set_tenant(
    name: str,
    template: str | None,
    values_file: Path | None,
    single_values: tuple[str, ...],
    operation: Operation,
    flags: ChangeFlags,
) -> None:
    """Create or change the tenant NAME.

    Without --template and --values the current tenant is read first, and the change is
    refused when somebody else changes the tenant in between.
    """
    values = None if values_file is None else read_values(values_file)
    given = TenantInput(name, template, values, single_values)
    if template is None and values is None and not single_values:
        raise InvalidInput(
            source=f"tenant set {name}",
            problem="nothing to change",
            mend="give --template, --values or --value",
        )
    operation.run(_set_tenant(operation, given, flags))


async def _set_tenant(operation: Operation, given: TenantInput, flags: ChangeFlags) -> None:
    if given.is_complete:
        await _send(operation, given, flags)
        return
    if flags.is_resend and await _report_if_known(operation, flags):
        # The current tenant may contain the change already: built from it, the resend would be
        # a different change under the same ID.
        return
    current = await _read_current(operation, given.name)
    if current is None and given.template is None:
        raise InvalidInput(
            source=f"tenant set {given.name}",
            problem="there is no such tenant yet",
            mend="give --template and --values",
        )
    revision = 0
    if current is not None:
        revision = current.revision
        template = given.template or current.template
        values = current.values if given.values is None else given.values
        given = replace(given, template=template, values=values)
    if flags.expected_revision is None:
        flags = replace(flags, expected_revision=revision)
    await _send(operation, given, flags)


async def _send(operation: Operation, given: TenantInput, flags: ChangeFlags) -> None:
    values = dict(given.values or {})
    for text in given.single_values:
        apply_override(values, parse_override(text, VALUE_FLAG))
    request = api_requests.put_tenant(given.name, given.template or "", values)
    await send_change(operation, request, flags)


async def _report_if_known(operation: Operation, flags: ChangeFlags) -> bool:
    """Report the outcome of an earlier attempt; return False when there is none."""
    request = api_requests.read("changes", flags.change_id)
    try:
        change = await operation.client.call(request, ChangeView)
    except OperationRefused as error:
        if error.problem.kind == UNKNOWN_CHANGE:
            return False
        raise
    await report_change(operation, change, flags.wait_seconds)
    return True


async def _read_current(operation: Operation, name: str) -> TenantView | None:
    request = api_requests.read("tenants", name)
    try:
        return await operation.client.call(request, TenantView)
    except OperationRefused as error:
        if error.problem.kind == UNKNOWN_TENANT:
            return None
        raise


@tenant.command("list", cls=OperatorCommand, examples=("jasperwalk tenant list",))
@api_options
def list_tenants(operation: Operation) -> None:
    """List the tenants with their templates and revisions."""
    request = api_requests.read("tenants")
    view = operation.run(operation.client.call(request, TenantList))
    rows = [(each.name, each.template, each.revision) for each in view.tenants]
    operation.printer.result(view, format_table(("NAME", "TEMPLATE", "REVISION"), rows))


@tenant.command(
    cls=OperatorCommand,
    examples=(
        "jasperwalk tenant show godisnjak",
        "jasperwalk tenant show godisnjak --json",
    ),
)
@click.argument("name")
@api_options
def show(name: str, operation: Operation) -> None:
    """Show the tenant NAME; its values are printed as JSON."""
    request = api_requests.read("tenants", name)
    view = operation.run(operation.client.call(request, TenantView))
    values = msgspec.json.format(msgspec.json.encode(view.values)).decode()
    lines = [
        f"name      {view.name}",
        f"template  {view.template}",
        f"revision  {view.revision}",
        f"values    {values}",
    ]
    operation.printer.result(view, lines)


@tenant.command(
    cls=OperatorCommand, examples=("jasperwalk tenant remove godisnjak --expect-revision 42",)
)
@click.argument("name")
@api_options
@change_options
@expect_revision_option
def remove(name: str, operation: Operation, flags: ChangeFlags) -> None:
    """Remove the tenant NAME with all its services."""
    request = api_requests.delete_tenant(name)
    operation.run(send_change(operation, request, flags))
