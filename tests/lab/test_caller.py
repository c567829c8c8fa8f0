"""The caller against an HTTP/3 server that ends requests in every possible way."""

from __future__ import annotations

import asyncio
import gc
import socket
from collections import Counter

import pytest
from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.asyncio.server import serve
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration

from jasperwalk.addresses import Endpoint
from jasperwalk_lab import answers
from jasperwalk_lab import caller as caller_module
from jasperwalk_lab.caller import TICKET_PATH, Caller
from jasperwalk_lab.certificates import write_certificates
from jasperwalk_lab.operations import (
    Answered,
    BreakReason,
    Broken,
    CallHistory,
    Lookup,
    NotRun,
    Submission,
    Unknown,
)

TICKET_BODY = b'{"ticket": "t-1", "expires_in": 60}'
RIGHT_BODY = answers.lookup_body("urednik", "a-0", "x")


class ScriptedServer(QuicConnectionProtocol):
    """Issues tickets, and answers other requests by `behaviour`; counts `requests` by path."""

    behaviour = "answer"
    requests: Counter

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.http = H3Connection(self._quic)

    def quic_event_received(self, event):
        for http_event in self.http.handle_event(event):
            if isinstance(http_event, HeadersReceived):
                self.respond(http_event.stream_id, dict(http_event.headers))

    def respond(self, stream_id, headers):
        path = headers[b":path"].decode()
        self.requests[path, headers.get(b"idempotency-key")] += 1
        if path == TICKET_PATH:
            self.send(stream_id, 200, {}, TICKET_BODY)
            return
        match self.behaviour:
            case "answer":
                named = {answers.SERVICE_HEADER: "urednik", answers.REQUEST_HEADER: "a-0"}
                self.send(stream_id, 200, named, RIGHT_BODY)
            case "not-run":
                self.send(stream_id, 503, {"jasperwalk-outcome": "not-run", "retry-after": "3"})
            case "unknown":
                self.send(stream_id, 504, {"jasperwalk-outcome": "unknown"})
            case "reset":
                self._quic.reset_stream(stream_id, 0x10C)
            case "close":
                self._quic.close()
            case "silence":
                return

    def send(self, stream_id, status, headers, body=b""):
        fields = [(b":status", str(status).encode())]
        fields += [(name.encode(), value.encode()) for name, value in headers.items()]
        self.http.send_headers(stream_id, fields)
        self.http.send_data(stream_id, body, end_stream=True)


def call(tmp_path, behaviour, operation, timeout=10.0):
    requests = Counter()
    scripted = type("Server", (ScriptedServer,), {"behaviour": behaviour, "requests": requests})
    files = write_certificates(tmp_path)
    history = CallHistory()

    async def scenario():
        configuration = QuicConfiguration(is_client=False, alpn_protocols=H3_ALPN)
        configuration.load_cert_chain(files.certificate_file, files.private_key_file)
        server = await serve("127.0.0.1", 0, configuration=configuration, create_protocol=scripted)
        host, port = server._transport.get_extra_info("sockname")[:2]
        caller = Caller("a", files.ca_file, history)
        async with caller.connect("urednik", Endpoint(host, port)) as connection:
            await connection.call(operation, timeout)
        server.close()

    asyncio.run(scenario())
    assert len(history.records) == 1
    return history.records[0], requests


@pytest.mark.parametrize(
    ("behaviour", "expected"),
    [
        ("answer", Answered(200, "urednik", "a-0", "", RIGHT_BODY)),
        ("not-run", NotRun(retry_after_seconds=3.0)),
        ("unknown", Unknown(status=504)),
        ("reset", Broken(BreakReason.STREAM_RESET)),
        ("close", Broken(BreakReason.CONNECTION_ENDED)),
    ],
)
def test_each_way_a_call_ends_is_told_apart(tmp_path, behaviour, expected):
    record, _ = call(tmp_path, behaviour, Lookup(query="x"))
    assert record.outcome == expected
    assert record.request_id == "a-0"


def test_silence_is_a_broken_call_after_the_timeout(tmp_path):
    record, _ = call(tmp_path, "silence", Lookup(query="x"), timeout=0.2)
    assert record.outcome == Broken(BreakReason.TIMED_OUT)


def test_a_submission_carries_the_ticket_it_was_given(tmp_path):
    record, requests = call(tmp_path, "unknown", Submission(body=b"Ana"))
    assert record.outcome == Unknown(status=504)
    assert requests == {(TICKET_PATH, None): 1, ("/submit", b"t-1"): 1}


def test_giving_up_on_a_silent_listener_leaves_no_unretrieved_exception(tmp_path, monkeypatch):
    monkeypatch.setattr(caller_module, "CONNECT_TIMEOUT_SECONDS", 0.2)
    files = write_certificates(tmp_path)
    complaints = []

    async def scenario(listener):
        asyncio.get_running_loop().set_exception_handler(lambda _, fact: complaints.append(fact))
        caller = Caller("a", files.ca_file, CallHistory())
        async with caller.connect("urednik", listener) as connection:
            assert connection is None
        gc.collect()

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as silent:
        silent.bind(("127.0.0.1", 0))
        asyncio.run(scenario(Endpoint(*silent.getsockname())))
    assert not complaints
