"""`jasperwalk member`: list control replicas and change which of them vote."""

from __future__ import annotations

import click

from jasperwalk.addresses import Endpoint
from jasperwalk.cli import api_requests
from jasperwalk.cli.api_client import ApiRequest
from jasperwalk.cli.operation import EndpointType, Operation, OperatorCommand, api_options
from jasperwalk.cli.output import format_table
from jasperwalk.control.views import ReplicaBody, ReplicaChangeView, ReplicaList

REPLICA_ID = click.IntRange(min=1)


@click.group()
def member() -> None:
    """Add, promote, remove and list control replicas, one change at a time."""


@member.command("list", cls=OperatorCommand, examples=("jasperwalk member list",))
@api_options
def list_replicas(operation: Operation) -> None:
    """List the control replicas."""
    view = operation.run(operation.client.call(api_requests.read("replicas"), ReplicaList))
    rows = [(each.replica_id, each.address, each.voter, each.leader) for each in view.replicas]
    header = ("REPLICA", "ADDRESS", "VOTER", "LEADER")
    operation.printer.result(view, format_table(header, rows))


@member.command(
    cls=OperatorCommand,
    examples=(
        "jasperwalk member add 4 10.0.3.7:7000",
        "jasperwalk member promote 4",
    ),
)
@click.argument("replica_id", type=REPLICA_ID)
@click.argument("address", type=EndpointType())
@api_options
def add(replica_id: int, address: Endpoint, operation: Operation) -> None:
    """Add the replica REPLICA_ID, whose peer_listen is ADDRESS, as a learner.

    Start it first, with `join = true`. A learner holds the log but has no vote until it is
    promoted. An identity is never used again: a replica that lost its disk gets a new one.
    """
    body = ReplicaBody(replica_id=replica_id, address=str(address))
    _change_replicas(operation, api_requests.post_replica(body))


@member.command(cls=OperatorCommand, examples=("jasperwalk member promote 4",))
@click.argument("replica_id", type=REPLICA_ID)
@api_options
def promote(replica_id: int, operation: Operation) -> None:
    """Give the learner REPLICA_ID a vote; refused until it has caught up."""
    body = ReplicaBody(replica_id=replica_id, promote=True)
    _change_replicas(operation, api_requests.post_replica(body))


@member.command(cls=OperatorCommand, examples=("jasperwalk member remove 2",))
@click.argument("replica_id", type=REPLICA_ID)
@api_options
def remove(replica_id: int, operation: Operation) -> None:
    """Remove the replica REPLICA_ID permanently."""
    _change_replicas(operation, api_requests.delete_replica(replica_id))


def _change_replicas(operation: Operation, request: ApiRequest) -> None:
    view = operation.run(operation.client.call(request, ReplicaChangeView))
    operation.printer.result(view, [f"{view.outcome} at log index {view.index}"])
