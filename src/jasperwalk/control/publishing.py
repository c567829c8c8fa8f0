"""The asyncio adapter of the publisher core: the connections of balancers and agents."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable, Collection, Coroutine

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.control.proposal_errors import ProposalError
from jasperwalk.control.proposals import Proposals
from jasperwalk.control.state.commands import RegisterAgent
from jasperwalk.control.state.fleet_refusals import SupersededBoot
from jasperwalk.control.state.incarnations import AgentRecord
from jasperwalk.distribution.publisher import PublisherCore
from jasperwalk.distribution.publisher_events import (
    CloseSubscriber,
    PublisherConfig,
    PublisherEffect,
    SendTo,
)
from jasperwalk.distribution.publisher_events import RegisterAgent as RegistrationRequest
from jasperwalk.distribution.subscriber_link import SubscriberLink
from jasperwalk.errors import JasperwalkError, MalformedMessage
from jasperwalk.messages.distribution import FROM_SUBSCRIBER_DECODER, Subscribe
from jasperwalk.transport.errors import HelloTimeout
from jasperwalk.transport.framed import HELLO_TIMEOUT_SECONDS, FramedConnection
from jasperwalk.transport.identity import check_claim

MAX_WAIT_SECONDS = 0.25
"""Longest sleep between two ticks, so that heartbeats carry a recent quorum age."""
MAX_RECEIVED_BYTES = 4096
"""Longest frame of a subscriber; it sends a Subscribe and then acknowledgements."""

QuorumAgeSource = Callable[[], float]
"""Returns seconds since contact with a quorum."""

logger = structlog.get_logger(__name__)


class Publishing:
    """Serves subscribers' connections from the table of this replica."""

    def __init__(
        self,
        table: VersionedTable,
        config: PublisherConfig,
        proposals: Proposals,
        quorum_age: QuorumAgeSource,
    ) -> None:
        self._quorum_age = quorum_age
        self._core = PublisherCore(table, config)
        self._proposals = proposals
        self._connections: dict[int, FramedConnection] = {}
        self._subscriber_ids = itertools.count(1)
        self._registering: set[tuple[Endpoint, str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._revision = table.revision
        self._wake = asyncio.Event()
        self.malformed_messages = 0

    @property
    def revision(self) -> int:
        """The revision of the table that is published."""
        return self._revision

    @property
    def subscriber_count(self) -> int:
        """The number of subscribers of this replica."""
        return self._core.subscriber_count

    async def serve(self, connection: FramedConnection) -> None:
        """Serve one subscriber until its connection ends."""
        connection.limit_received_frames(MAX_RECEIVED_BYTES)
        subscribe = await _receive_subscribe(connection)
        check_claim(connection.identity, subscribe.role, subscribe.name)
        subscriber_id = next(self._subscriber_ids)
        self._connections[subscriber_id] = connection
        try:
            now = time.monotonic()
            self._core.record_quorum_age(now, self._quorum_age())
            self._perform(self._core.subscriber_opened(subscriber_id, subscribe, now))
            self._wake.set()
            while True:
                payload = await connection.receive()
                message = FROM_SUBSCRIBER_DECODER.decode(payload)
                self._perform(self._core.message(subscriber_id, message, time.monotonic()))
        except MalformedMessage:
            self.malformed_messages += 1
            raise
        finally:
            self._connections.pop(subscriber_id, None)
            self._core.subscriber_closed(subscriber_id)

    async def run(self) -> None:
        """Send heartbeats and waiting updates until cancelled, a slice in a turn of the loop.

        Between two slices everything else that is ready runs, consensus above all.
        """
        while True:
            self._wake.clear()
            self._tick()
            wait_seconds = self._core.next_deadline() - time.monotonic()
            if wait_seconds <= 0.0:
                await asyncio.sleep(0)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(wait_seconds, MAX_WAIT_SECONDS)):
                    await self._wake.wait()

    def _tick(self) -> None:
        self._perform(self._core.tick(time.monotonic(), self._quorum_age()))

    def table_advanced(self, table: VersionedTable) -> None:
        """Publish the table's changes, if its revision moved."""
        if table.revision != self._revision:
            self._revision = table.revision
            self._perform(self._core.table_advanced(time.monotonic()))
            self._wake.set()

    def table_replaced(self, table: VersionedTable) -> None:
        """Go on with the table of a restored state machine."""
        self._revision = table.revision
        self._perform(self._core.table_replaced(table, time.monotonic()))
        self._wake.set()

    def replicas_changed(self, index: int, endpoints: list[Endpoint]) -> None:
        """Tell subscribers of the voting replicas as committed at log index `index`."""
        self._perform(self._core.replicas_changed(index, endpoints))

    def agent_registered(self, record: AgentRecord) -> None:
        """Tell the agent, if it is connected here, of its committed incarnation."""
        effects = self._core.agent_registered(
            record.address, record.boot_ids[-1], record.incarnation, time.monotonic()
        )
        self._perform(effects)

    def links(self) -> Collection[SubscriberLink]:
        """Return what this replica knows of its subscribers."""
        return self._core.links()

    async def close(self) -> None:
        """End what runs in the background."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _perform(self, effects: list[PublisherEffect]) -> None:
        for effect in effects:
            match effect:
                case SendTo():
                    self._send(effect)
                case CloseSubscriber():
                    self._close_connection(effect)
                case RegistrationRequest():
                    self._register(effect)

    def _send(self, effect: SendTo) -> None:
        connection = self._connections.get(effect.subscriber_id)
        if connection is None:
            return
        try:
            connection.write(effect.payload)
        except JasperwalkError as error:
            # The task that reads from the connection ends and has the core forget it.
            logger.debug("subscriber-send-failed", kind=error.kind)
            connection.abort()

    def _close_connection(self, effect: CloseSubscriber) -> None:
        connection = self._connections.pop(effect.subscriber_id, None)
        if connection is not None:
            logger.info("subscriber-closed", reason=effect.reason.value)
            self._start(connection.close())

    def _register(self, request: RegistrationRequest) -> None:
        start = (request.address, request.boot_id)
        if start not in self._registering:
            self._registering.add(start)
            self._start(self._propose_registration(request))

    async def _propose_registration(self, request: RegistrationRequest) -> None:
        command = RegisterAgent(
            address=request.address, boot_id=request.boot_id, name=request.name, zone=request.zone
        )
        try:
            outcome = await self._proposals.propose(command)
        except ProposalError as error:
            # The core asks again while the agent stays; its boot ID makes that harmless.
            logger.info("registration-delayed", agent=request.name, kind=error.kind)
            return
        finally:
            self._registering.discard((request.address, request.boot_id))
        if isinstance(outcome, SupersededBoot):
            self._perform(self._core.agent_refused(request.address, request.boot_id))
        elif not outcome.accepted:
            logger.warning("registration-refused", agent=request.name, kind=outcome.kind)

    def _start(self, job: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _receive_subscribe(connection: FramedConnection) -> Subscribe:
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
            payload = await connection.receive()
    except TimeoutError as error:
        raise HelloTimeout(timeout_seconds=HELLO_TIMEOUT_SECONDS) from error
    message = FROM_SUBSCRIBER_DECODER.decode(payload)
    if not isinstance(message, Subscribe):
        raise MalformedMessage(reason="a subscriber must begin with Subscribe")
    return message
