"""`jasperwalk host`: list, drain and resume hosts."""

from __future__ import annotations

import click

from jasperwalk.cli import api_requests
from jasperwalk.cli.change_submission import send_change
from jasperwalk.cli.operation import (
    ChangeFlags,
    Operation,
    OperatorCommand,
    api_options,
    change_options,
)
from jasperwalk.cli.output import format_table
from jasperwalk.control.views import HostList, MemberView

HEADER = (
    "HOST",
    "ADDRESS",
    "ZONE",
    "SERVICE",
    "WEIGHT",
    "SLOTS",
    "ADMIN",
    "OPERATING",
    "HEALTHY",
    "FLOWS",
)


@click.group()
def host() -> None:
    """List hosts, stop new work on one, or let it take work again."""


@host.command("list", cls=OperatorCommand, examples=("jasperwalk host list",))
@api_options
def list_hosts(operation: Operation) -> None:
    """List the members of all pools with their states and open flows."""
    view = operation.run(operation.client.call(api_requests.read("hosts"), HostList))
    operation.printer.result(view, format_table(HEADER, [_row(each) for each in view.members]))


def _row(member: MemberView) -> tuple[object, ...]:
    return (
        member.host,
        member.address,
        member.zone,
        member.service,
        member.weight,
        member.slots,
        member.admin_state,
        member.operating_status,
        member.healthy,
        member.open_flows,
    )


@host.command(cls=OperatorCommand, examples=("jasperwalk host drain urednik-3 --wait 10",))
@click.argument("name")
@api_options
@change_options
def drain(name: str, operation: Operation, flags: ChangeFlags) -> None:
    """Stop new work on the host NAME (or one agent's IPV4:PORT).

    Open streams run to their end; new requests on their connections go to other hosts.
    """
    operation.run(send_change(operation, api_requests.set_host_state(name, "drain"), flags))


@host.command(cls=OperatorCommand, examples=("jasperwalk host resume urednik-3",))
@click.argument("name")
@api_options
@change_options
def resume(name: str, operation: Operation, flags: ChangeFlags) -> None:
    """Let the host NAME (or one agent's IPV4:PORT) take new work again.

    A host that the platform lists as leaving stays drained.
    """
    operation.run(send_change(operation, api_requests.set_host_state(name, "resume"), flags))
