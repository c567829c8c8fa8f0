"""`jasperwalk change`: submit a change document, show a change, wait until it is in force."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import click

from jasperwalk.cli import api_requests
from jasperwalk.cli.api_client import ApiRequest
from jasperwalk.cli.change_submission import (
    describe_change,
    describe_report,
    send_change,
    wait_until_in_force,
)
from jasperwalk.cli.documents import ChangeDocument, read_change, template_name, template_text
from jasperwalk.cli.operation import (
    ChangeFlags,
    Operation,
    OperatorCommand,
    api_options,
    change_options,
    expect_revision_option,
)
from jasperwalk.control.views import ChangeView

DEFAULT_WAIT_SECONDS = 10.0


@click.group()
def change() -> None:
    """Submit a change from a file, show its outcome, wait until it is in force."""


@change.command(
    cls=OperatorCommand,
    examples=(
        "jasperwalk change submit weight.toml",
        "jasperwalk change submit weight.toml --change-id 6f1c... --wait 10",
    ),
)
@click.argument("file", type=click.Path(path_type=Path))
@api_options
@change_options
@expect_revision_option
def submit(file: Path, operation: Operation, flags: ChangeFlags) -> None:
    """Submit the change document FILE (TOML, or JSON in a .json file).

    The document holds one of [template] (file or text), [tenant] (name, template, values)
    and remove_tenant, and may hold change_id and expected_revision; flags take precedence.
    """
    document = read_change(file)
    request = _request_of(document, file)
    operation.run(send_change(operation, request, _flags_of(document, flags)))


def _request_of(document: ChangeDocument, file: Path) -> ApiRequest:
    if document.template is not None:
        text = template_text(document.template, file)
        return api_requests.put_template(template_name(text, str(file)), text)
    if document.tenant is not None:
        tenant = document.tenant
        return api_requests.put_tenant(tenant.name, tenant.template, tenant.values)
    return api_requests.delete_tenant(document.remove_tenant or "")


def _flags_of(document: ChangeDocument, flags: ChangeFlags) -> ChangeFlags:
    """Take change ID and expected revision from the document where no flag sets them."""
    if document.change_id is not None and not flags.is_resend:
        flags = replace(flags, change_id=document.change_id)
    if flags.expected_revision is None:
        flags = replace(flags, expected_revision=document.expected_revision)
    return flags


@change.command(
    cls=OperatorCommand, examples=("jasperwalk change show 6f1c2a90a4ce4d4b9c2f0a3b5f0e7d11",)
)
@click.argument("change_id")
@api_options
def show(change_id: str, operation: Operation) -> None:
    """Show the outcome of the change CHANGE_ID."""
    request = api_requests.read("changes", change_id)
    view = operation.run(operation.client.call(request, ChangeView))
    operation.printer.result(view, [describe_change(view)])


@change.command(
    cls=OperatorCommand,
    examples=("jasperwalk change wait 6f1c2a90a4ce4d4b9c2f0a3b5f0e7d11 --for 30",),
)
@click.argument("change_id")
@click.option(
    "--for",
    "wait_seconds",
    type=click.FloatRange(min=0.0, max=3600.0),
    default=DEFAULT_WAIT_SECONDS,
    show_default=True,
    help="Seconds to wait.",
)
@api_options
def wait(change_id: str, wait_seconds: float, operation: Operation) -> None:
    """Wait until the change CHANGE_ID is in force on every balancer and agent.

    Exits with code 5, and names the processes that are behind, when it is not in force in time.
    """
    report = operation.run(wait_until_in_force(operation.client, change_id, wait_seconds))
    operation.printer.result(report, [describe_report(report)])
