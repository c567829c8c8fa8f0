"""`jasperwalk status`: the state of the region."""

from __future__ import annotations

import click

from jasperwalk.cli import api_requests
from jasperwalk.cli.failures import describe_counts, describe_laggards
from jasperwalk.cli.operation import Operation, OperatorCommand, api_options
from jasperwalk.cli.output import format_table
from jasperwalk.control.views import StatusView

SERVICE_HEADER = ("SERVICE", "ID", "TENANT", "LISTENER", "OBJECTIVE", "ACCEPTING")


@click.command(
    cls=OperatorCommand,
    examples=(
        "jasperwalk status",
        "jasperwalk status --json",
    ),
)
@api_options
def status(operation: Operation) -> None:
    """Show leader, revision, where it is in force, and the services."""
    view = operation.run(operation.client.call(api_requests.read("status"), StatusView))
    operation.printer.result(view, [*_summary(view), "", *_services(view)])


def _summary(view: StatusView) -> list[str]:
    leader = "none" if view.leader_id is None else str(view.leader_id)
    age = "unknown" if view.quorum_age_ms is None else f"{view.quorum_age_ms} ms ago"
    counts = describe_counts(
        view.balancers_in_force, view.balancers, view.agents_in_force, view.agents
    )
    behind = describe_laggards(view.laggards, view.laggard_count) or "none known"
    return [
        f"replica      {view.replica_id} (leader: {leader}, term {view.term})",
        f"quorum       contact {age}",
        f"log          {view.applied_index} applied of {view.commit_index} committed",
        f"revision     {view.revision}",
        f"in force on  {counts}",
        f"behind       {behind}",
    ]


def _services(view: StatusView) -> list[str]:
    rows = [
        (
            each.name,
            each.service_id,
            each.tenant,
            each.listener,
            each.objective,
            f"{each.members_accepting} of {each.members}",
        )
        for each in view.services
    ]
    return format_table(SERVICE_HEADER, rows)
