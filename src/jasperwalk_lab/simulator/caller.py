"""Simulated callers: they open flows through the balancers, send and resend requests.

The outcome of every request goes into the run's record, for the checkers.
"""

from __future__ import annotations

import asyncio
import itertools
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

import cbor2

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.requests import DEADLINE_HEADER, OUTCOME_HEADER, TICKET_HEADER, OutcomeKind
from jasperwalk.agent.tickets import TICKET_PATH
from jasperwalk_lab import answers
from jasperwalk_lab.operations import (
    Answered,
    BreakReason,
    Broken,
    CallOutcome,
    CallRecord,
    LongStream,
    Lookup,
    NotRun,
    Operation,
    Submission,
    Unknown,
)
from jasperwalk_lab.simulator import model_flow
from jasperwalk_lab.simulator.clock import SimulatedProcess

POLL_SECONDS = 0.25
CONNECT_WAIT_LIMIT_SECONDS = 6.0
ANSWER_WAIT_LIMIT_SECONDS = 8.0
"""Time without progress of an answer after which a caller cancels the request."""
DEADLINE_MS = 4000
STATUS_OK, STATUS_CREATED = 200, 201
FIRST_CONTENT_BYTE = 0x80
"""The model's packets are CBOR arrays, whose first byte is at least this one."""
MAX_SENDS = 4
SUBMISSION_SHARE, STREAM_SHARE = 0.35, 0.15
"""Shares of the operations; all others are look-ups."""
LOST_ANSWER_SHARE = 0.2
"""Share of the answers to submissions that a caller discards, so that it resends them."""
FLOW_REUSE_SHARE = 0.8
"""Share of the requests that reuse an open flow."""
STREAM_INTERVAL_MS = 250.0


@dataclass
class Stream:
    """The part of an answer that a caller has received."""

    frames: list[Any] = field(default_factory=list)
    progressed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def ended(self) -> bool:
        """Tell whether the answer is complete or was reset."""
        return bool(self.frames) and self.frames[-1][0] in (model_flow.END, model_flow.RESET)


class Flow:
    """The caller's end of one flow: opens it, sends requests and reassembles the answers."""

    def __init__(self, process: SimulatedProcess, service: str, number: int, random: Random):
        self._process = process
        self._world = process.world
        self._random = random
        self._vip: Endpoint = self._world.layout.listener(service)
        self.address = Endpoint(f"127.3.{number // 60000}.1", 1024 + number % 60000)
        self._destination = random.randbytes(8)
        self._connection_id = b""
        self._reset_token = b""
        self._number = 0
        self._agent = ""
        self._streams: dict[int, Stream] = {}
        self._stream_ids = itertools.count(0, 4)
        self._connected = asyncio.Event()
        self.ended = False
        self._world.flows[self.address] = self.on_datagram

    @property
    def host(self) -> str:
        """Return the host of the agent that holds the flow, empty while there is none."""
        return self._agent

    async def connect(self) -> bool:
        """Open the flow; return False if no agent answered in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + CONNECT_WAIT_LIMIT_SECONDS
        source = self._random.randbytes(8)
        while not self._connected.is_set() and loop.time() < until:
            self._send(model_flow.initial_packet(self._destination, source))
            await _wait(self._connected, POLL_SECONDS)
        return self._connected.is_set()

    async def request(
        self, headers: list[list[bytes]], body: bytes
    ) -> tuple[list[Any], BreakReason | None]:
        """Send a request; return the answer's frames, and the reason if the answer is incomplete.

        The request is repeated with the count of received frames until the answer ends. An
        answer that makes no progress is cancelled.
        """
        stream_id = next(self._stream_ids)
        stream = self._streams[stream_id] = Stream()
        loop = asyncio.get_running_loop()
        progress_at, count = loop.time(), 0
        while not stream.ended and not self.ended:
            if len(stream.frames) > count:
                progress_at, count = loop.time(), len(stream.frames)
            if loop.time() - progress_at > ANSWER_WAIT_LIMIT_SECONDS:
                self._send_content([stream_id, None, b"", count, True])
                return stream.frames, BreakReason.TIMED_OUT
            self._send_content([stream_id, headers, body, count, False])
            stream.progressed.clear()
            await _wait(stream.progressed, POLL_SECONDS)
        self._send_content([stream_id, None, b"", len(stream.frames), False])
        if not stream.ended:
            return stream.frames, BreakReason.CONNECTION_ENDED
        reset = stream.frames[-1][0] == model_flow.RESET
        return stream.frames, BreakReason.STREAM_RESET if reset else None

    def close(self) -> None:
        """Discard the flow without notice, as if the caller's machine had lost power."""
        self.ended = True
        self._world.flows.pop(self.address, None)

    def on_datagram(self, data: bytes) -> None:
        """Handle a datagram that the fabric delivered."""
        if data[0] < FIRST_CONTENT_BYTE:
            # A stateless reset; during a key rotation agents send one for each key.
            if self._reset_token and data.endswith(self._reset_token):
                self._end()
            return
        content = cbor2.loads(data)
        if content[0] == model_flow.CONNECTION_ID:
            self._on_connection_id(*content[1:])
        elif content[0] == model_flow.FRAMES:
            self._on_frames(*content[1:])
        elif content[0] == model_flow.CLOSE:
            self._end()

    def _on_connection_id(self, number: int, connection_id: bytes, token: bytes) -> None:
        if not self._connection_id:
            # A repeated Initial may be answered by another agent, too. The flow stays with the
            # agent that answered first; connection IDs of other agents are ignored.
            self._agent = self._world.host_of(connection_id)
        elif number <= self._number or self._world.host_of(connection_id) != self._agent:
            return
        self._number, self._connection_id, self._reset_token = number, connection_id, token
        self._connected.set()

    def _on_frames(self, stream_id: int, first: int, frames: list[Any]) -> None:
        stream = self._streams.get(stream_id)
        if stream is None or first > len(stream.frames):
            return
        if stream.ended:  # the last acknowledgement was lost; repeat it
            self._send_content([stream_id, None, b"", len(stream.frames), False])
            return
        stream.frames.extend(frames[len(stream.frames) - first :])
        stream.progressed.set()

    def _end(self) -> None:
        self.ended = True
        for stream in self._streams.values():
            stream.progressed.set()

    def _send_content(self, content: list[Any]) -> None:
        self._send(model_flow.short_packet(self._connection_id, content))

    def _send(self, payload: bytes) -> None:
        self._world.send_from_caller(self._process, self.address, self._vip, payload)


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return


class Caller:
    """A caller that sends a random mix of requests to one service."""

    def __init__(self, process: SimulatedProcess, name: str, service: str, random: Random) -> None:
        self._process = process
        self._world = process.world
        self._name = name
        self._service = service
        self._random = random
        self._count = 0
        self._flow: Flow | None = None

    async def run(self) -> None:
        """Send requests until the run stops its traffic."""
        while self._world.traffic:
            await asyncio.sleep(self._random.uniform(0.1, 0.8))
            self._count += 1
            await self._call(f"{self._name}-{self._count}", self._operation())

    def _operation(self) -> Operation:
        drawn = self._random.random()
        if drawn < SUBMISSION_SHARE:
            return Submission(f"{self._name}/{self._count}".encode())
        if drawn < SUBMISSION_SHARE + STREAM_SHARE:
            return LongStream(self._random.choice((2.0, 5.0, 9.0)), STREAM_INTERVAL_MS)
        return Lookup(f"{self._count}")

    async def _call(self, identity: str, operation: Operation) -> None:
        ticket = ""
        if not operation.repeatable:
            ticket = await self._obtain_ticket()
            if not ticket:
                return
        for _ in range(MAX_SENDS):
            outcome = await self._send(identity, operation, ticket)
            lost_the_answer = bool(ticket) and self._random.random() < LOST_ANSWER_SHARE
            if isinstance(outcome, Answered) and not lost_the_answer:
                return
            if isinstance(outcome, Broken | Unknown) or lost_the_answer:
                self._drop_flow()
            if not ticket:
                return
            await asyncio.sleep(0.3)

    async def _obtain_ticket(self) -> str:
        flow = await self._open_flow()
        if flow is None:
            return ""
        headers = _headers("POST", TICKET_PATH, self._service, "ticket", "")
        frames, broken = await flow.request(headers, b"")
        status, _, body = _parse(frames)
        if broken is not None or status != STATUS_CREATED:
            self._drop_flow()
            return ""
        return str(json.loads(body)["ticket"])

    async def _send(self, identity: str, operation: Operation, ticket: str) -> CallOutcome:
        loop = asyncio.get_running_loop()
        invoked = loop.time()
        flow = await self._open_flow()
        if flow is None:
            self._world.not_connected += 1
            return Broken(BreakReason.NOT_CONNECTED)
        headers = _headers(operation.method, operation.path, self._service, identity, ticket)
        if not isinstance(operation, LongStream):
            headers.append([DEADLINE_HEADER.encode(), str(DEADLINE_MS).encode()])
        frames, broken = await flow.request(headers, operation.body)
        outcome = _outcome(frames, broken, flow.host)
        record = CallRecord(identity, self._service, operation, invoked, loop.time(), outcome)
        self._world.record_call(record)
        return outcome

    async def _open_flow(self) -> Flow | None:
        flow = self._flow
        if flow is not None and not flow.ended and self._random.random() < FLOW_REUSE_SHARE:
            return flow
        self._drop_flow()
        flow = Flow(self._process, self._service, self._world.next_flow_number(), self._random)
        if not await flow.connect():
            flow.close()
            return None
        self._flow = flow
        return flow

    def _drop_flow(self) -> None:
        if self._flow is not None:
            self._flow.close()
            self._flow = None


def _headers(method: str, path: str, service: str, identity: str, ticket: str) -> list[list[bytes]]:
    fields = [
        (":method", method),
        (":path", path),
        (":authority", service),
        (answers.REQUEST_HEADER, identity),
    ]
    if ticket:
        fields.append((TICKET_HEADER, ticket))
    return [[name.encode(), value.encode()] for name, value in fields]


def _parse(frames: list[Any]) -> tuple[int, dict[str, str], bytes]:
    fields: dict[str, str] = {}
    for kind, content in frames:
        if kind == model_flow.HEAD:
            fields = {name.decode(): value.decode() for name, value in content}
    body = b"".join(content for kind, content in frames if kind == model_flow.DATA)
    return int(fields.get(":status", "0")), fields, body


def _outcome(frames: list[Any], broken: BreakReason | None, host: str) -> CallOutcome:
    status, fields, body = _parse(frames)
    if broken is not None:
        return Broken(broken, host)
    match fields.get(OUTCOME_HEADER):
        case OutcomeKind.NOT_RUN:
            return NotRun(float(fields.get("retry-after", "0")))
        case OutcomeKind.UNKNOWN:
            return Unknown(status)
    service = fields.get(answers.SERVICE_HEADER, "")
    identity = fields.get(answers.REQUEST_HEADER, "")
    return Answered(status, service, identity, host, body)
