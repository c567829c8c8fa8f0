"""`jasperwalk zone`: drain, restore and list zones of a datagram fleet.

The commands send operator messages over framed TCP to the control replicas of the datagram plane,
not requests of the HTTP API.
"""

from __future__ import annotations

import asyncio
import functools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar, TypeVar, cast

import click
import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.cli.exit_codes import ExitCode
from jasperwalk.cli.failures import CommandError, ControlUnreachable
from jasperwalk.cli.operation import EndpointType, OperatorCommand
from jasperwalk.cli.output import Printer, format_table
from jasperwalk.control.fleet.messages import (
    OPERATOR_REPLY_DECODER,
    OperatorReply,
    OperatorRequest,
    ZoneListReply,
    ZoneListRequest,
    ZoneOrderReply,
    ZoneOrderRequest,
)
from jasperwalk.errors import JasperwalkError
from jasperwalk.fleet.messages import CLUSTER_ID
from jasperwalk.messages import codec
from jasperwalk.transport.client import connect
from jasperwalk.transport.hello import ConnectionKind, make_hello

REPLICAS_VARIABLE = "JASPERWALK_REPLICAS"
ATTEMPT_TIMEOUT_SECONDS = 2.0
"""Time-out of one replica, connecting included."""
RETRY_PAUSE_SECONDS = 0.2
DEFAULT_TIMEOUT_SECONDS = 10.0
SUCCESS_OUTCOMES = frozenset(("zone-acknowledged", "zones-listed"))
UNKNOWN_ZONE = "unknown-zone"

Command = TypeVar("Command", bound=Callable[..., object])
ReplyType = TypeVar("ReplyType", ZoneOrderReply, ZoneListReply)


@dataclass(eq=False)
class ZoneRefused(CommandError):
    """Neither a node nor a setting names the zone; nothing was changed."""

    kind: ClassVar[str] = UNKNOWN_ZONE
    zone: str

    def describe(self) -> str:
        """Name the zone and the remedy."""
        return f"no zone {self.zone!r}; `jasperwalk zone list` names those that are known"


@dataclass(eq=False)
class ZoneNotInForce(CommandError):
    """An acknowledged order was not in force on every linked node within the wait limit."""

    kind: ClassVar[str] = "not-in-force"
    exit_code: ClassVar[ExitCode] = ExitCode.NOT_IN_FORCE
    revision: int
    in_force: int

    def describe(self) -> str:
        """Give both revisions."""
        return (
            f"revision {self.revision} is acknowledged, but some linked node still has "
            f"{self.in_force} in force; the others have the new one"
        )


class ZoneView(msgspec.Struct, frozen=True):
    """The JSON object of `drain` and `restore`."""

    zone: str
    drained: bool
    revision: int
    in_force: bool


class ZoneRow(msgspec.Struct, frozen=True):
    """One zone in the JSON object of `list`."""

    zone: str
    drained: bool


class ZoneListView(msgspec.Struct, frozen=True):
    """The JSON object of `list`; `in_force`: `revision` is in force on every linked node."""

    revision: int
    in_force: bool
    zones: list[ZoneRow]


@dataclass(frozen=True)
class ReplicaClient:
    """Sends a request to the replicas in turn, redirected to the leader, until a deadline."""

    replicas: tuple[Endpoint, ...]
    timeout_seconds: float

    def ask(self, request: OperatorRequest, reply_type: type[ReplyType]) -> ReplyType:
        """Return a definite reply; raises `ControlUnreachable` or `ZoneRefused`."""
        return asyncio.run(self._ask(request, reply_type))

    async def _ask(self, request: OperatorRequest, reply_type: type[ReplyType]) -> ReplyType:
        deadline = time.monotonic() + self.timeout_seconds
        reasons: dict[Endpoint, str] = {}
        while True:
            for replica in self.replicas:
                reply = await _ask_with_redirect(replica, request, reasons)
                if isinstance(reply, reply_type):
                    return reply
            if time.monotonic() > deadline:
                raise ControlUnreachable(tuple(f"{at}: {why}" for at, why in reasons.items()))
            await asyncio.sleep(RETRY_PAUSE_SECONDS)


async def _ask_with_redirect(
    replica: Endpoint, request: OperatorRequest, reasons: dict[Endpoint, str]
) -> OperatorReply | None:
    """Ask one replica, and the leader that it names; None where neither settles the request."""
    target: Endpoint | None = replica
    for _ in range(2):
        if target is None:
            break
        reply = await _ask_once(target, request, reasons)
        if reply is None or reply.outcome in SUCCESS_OUTCOMES:
            return reply
        if reply.outcome == UNKNOWN_ZONE and isinstance(request, ZoneOrderRequest):
            raise ZoneRefused(request.zone)
        reasons[target] = reply.reason or reply.outcome
        target = reply.leader
    return None


async def _ask_once(
    replica: Endpoint, request: OperatorRequest, reasons: dict[Endpoint, str]
) -> OperatorReply | None:
    hello = make_hello(ConnectionKind.OPERATOR, "operator", CLUSTER_ID)
    try:
        async with asyncio.timeout(ATTEMPT_TIMEOUT_SECONDS):
            connection = await connect(replica, hello, ATTEMPT_TIMEOUT_SECONDS)
            try:
                await connection.send(codec.encode(request))
                return OPERATOR_REPLY_DECODER.decode(await connection.receive())
            finally:
                connection.abort()
    except TimeoutError:
        reasons[replica] = "no answer in time"
    except JasperwalkError as error:
        reasons[replica] = error.describe()
    return None


def replica_options(command: Command) -> Command:
    """Add --replica, --timeout and --json; the command gets `replica_client` and `printer`."""

    @functools.wraps(command)
    def run(
        *arguments: object,
        replicas: tuple[Endpoint, ...],
        timeout_seconds: float,
        json_output: bool,
        **options: object,
    ) -> object:
        replica_client = ReplicaClient(replicas, timeout_seconds)
        return command(
            *arguments, replica_client=replica_client, printer=Printer(json_output), **options
        )

    for option in (
        click.option("--json", "json_output", is_flag=True, help="Print one JSON object."),
        click.option(
            "--timeout",
            "timeout_seconds",
            type=click.FloatRange(min=0.1),
            default=DEFAULT_TIMEOUT_SECONDS,
            show_default=True,
            help="Seconds to keep trying the replicas.",
        ),
        click.option(
            "--replica",
            "replicas",
            type=EndpointType(),
            multiple=True,
            required=True,
            envvar=REPLICAS_VARIABLE,
            help="A control replica's replica_listen; may be repeated.",
        ),
    ):
        run = option(run)
    return cast(Command, run)


@click.group()
def zone() -> None:
    """Drain zones of a datagram fleet and restore them."""


@zone.command(
    cls=OperatorCommand,
    examples=("jasperwalk zone drain dvorana-a --replica 10.0.0.4:7600 --wait 5",),
)
@click.argument("name")
@click.option("--wait", "wait_seconds", type=click.FloatRange(min=0.0), default=0.0)
@replica_options
def drain(name: str, wait_seconds: float, replica_client: ReplicaClient, printer: Printer) -> None:
    """Send no new flow to the hosts of the zone NAME; open flows stay.

    With --wait the command ends once the order is in force on every linked node, or exits with
    code 5.
    """
    _send_order(name, True, wait_seconds, replica_client, printer)


@zone.command(
    cls=OperatorCommand,
    examples=("jasperwalk zone restore dvorana-a --replica 10.0.0.4:7600",),
)
@click.argument("name")
@click.option("--wait", "wait_seconds", type=click.FloatRange(min=0.0), default=0.0)
@replica_options
def restore(
    name: str, wait_seconds: float, replica_client: ReplicaClient, printer: Printer
) -> None:
    """Let the hosts of the zone NAME take new flows again, at the rate that cold hosts can take."""
    _send_order(name, False, wait_seconds, replica_client, printer)


@zone.command(
    "list", cls=OperatorCommand, examples=("jasperwalk zone list --replica 10.0.0.4:7600",)
)
@replica_options
def list_zones(replica_client: ReplicaClient, printer: Printer) -> None:
    """List the known zones, and which of them are drained."""
    reply = replica_client.ask(ZoneListRequest(), ZoneListReply)
    rows = [ZoneRow(each.zone, each.drained) for each in reply.zones]
    view = ZoneListView(reply.revision, reply.in_force >= reply.revision, rows)
    table = format_table(("ZONE", "DRAINED"), [(row.zone, row.drained) for row in rows])
    printer.result(view, table)


def _send_order(
    name: str, drained: bool, wait_seconds: float, replica_client: ReplicaClient, printer: Printer
) -> None:
    reply = replica_client.ask(ZoneOrderRequest(name, drained), ZoneOrderReply)
    in_force = _wait_in_force(reply.revision, wait_seconds, replica_client)
    view = ZoneView(name, drained, reply.revision, in_force >= reply.revision)
    state = "drained" if drained else "restored"
    where = "in force" if view.in_force else "acknowledged"
    printer.result(view, [f"zone {name} is {state}: {where}, revision {reply.revision}"])
    if wait_seconds and not view.in_force:
        raise ZoneNotInForce(reply.revision, in_force)


def _wait_in_force(revision: int, wait_seconds: float, replica_client: ReplicaClient) -> int:
    """Poll until `revision` is in force or the wait ends; return the revision in force."""
    deadline = time.monotonic() + wait_seconds
    while True:
        in_force = replica_client.ask(ZoneListRequest(), ZoneListReply).in_force
        if in_force >= revision or time.monotonic() >= deadline:
            return in_force
        time.sleep(RETRY_PAUSE_SECONDS)
