"""The command `jasperwalk`, with its subcommands."""

from __future__ import annotations

import click

from jasperwalk.cli.changes import change
from jasperwalk.cli.daemons import agent, balancer, control
from jasperwalk.cli.explain import explain
from jasperwalk.cli.hosts import host
from jasperwalk.cli.keys import keys
from jasperwalk.cli.replicas import member
from jasperwalk.cli.status import status
from jasperwalk.cli.templates import template
from jasperwalk.cli.tenants import tenant
from jasperwalk.cli.zones import zone


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="jasperwalk")
def main() -> None:
    """Balance many tenants' flows over machines that may be lost at any moment.

    `control`, `balancer` and `agent` run the daemons; the other commands talk to control's
    HTTP API, at the addresses given by --api or $JASPERWALK_API.

    Exit codes: 0 done; 1 refused; 2 wrong flags, settings or files; 3 control unreachable;
    4 outcome unknown (resend with the same --change-id); 5 not in force in time.
    """


for command in (
    control,
    balancer,
    agent,
    template,
    tenant,
    change,
    host,
    member,
    zone,
    keys,
    status,
    explain,
):
    main.add_command(command)
