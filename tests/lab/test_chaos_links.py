"""A relay in front of a replica identifies its callers, and a cut holds back one direction."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.transport.identity import Identity, ProcessRole, identity_of
from jasperwalk_lab.certificates import LinkCertificates
from jasperwalk_lab.chaos.links import ANY_PROCESS, Cut, CutRules, LinkKeys, LinkRelay

REPLICA = Identity("lab", ProcessRole.CONTROL, "control-1")
CALLER = Identity("lab", ProcessRole.BALANCER, "balancer-1")
LOOPBACK = "127.0.0.1"
HELD_SECONDS = 0.2
"""Longer than bytes that are not held back take to arrive."""


class Echo:
    """The replica: echoes what it receives, and records its callers and the bytes."""

    def __init__(self):
        self.received = bytearray()
        self.callers = []

    async def serve(self, reader, writer):
        self.callers.append(identity_of(writer.get_extra_info("peercert")))
        while data := await reader.read(100):
            self.received += data
            writer.write(data)
        writer.close()


async def relayed(folder, cuts):
    """Send through a relay during `cuts`, and after; return callers, and what arrived meanwhile."""
    certificates = LinkCertificates(folder / "keys")
    for identity in (REPLICA, CALLER):
        certificates.files(identity)
    keys, rules, echo = LinkKeys(certificates.folder), CutRules(), Echo()
    context = keys.of(REPLICA).server_context()
    target = await asyncio.start_server(echo.serve, LOOPBACK, 0, ssl=context)
    target_endpoint = Endpoint(*target.sockets[0].getsockname())
    relay = await LinkRelay(REPLICA, keys, Endpoint(LOOPBACK, 0), target_endpoint, rules).start()
    host, port = relay.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port, ssl=keys.of(CALLER).client_context())
    writer.write(b"before")
    assert await reader.readexactly(6) == b"before"
    rules.replace(cuts)
    writer.write(b"during")
    answered = b""
    with contextlib.suppress(TimeoutError):
        answered = await asyncio.wait_for(reader.readexactly(6), HELD_SECONDS)
    arrived = bytes(echo.received)
    rules.replace([])
    if not answered:
        assert await asyncio.wait_for(reader.readexactly(6), 10) == b"during"
    writer.close()
    relay.close()
    target.close()
    return echo.callers, arrived, answered


@pytest.mark.parametrize(
    ("cuts", "arrived", "answered"),
    [
        ([], b"beforeduring", b"during"),
        ([Cut("balancer-2", "control-1")], b"beforeduring", b"during"),
        ([Cut("balancer-1", "control-1")], b"before", b""),
        ([Cut(ANY_PROCESS, "control-1")], b"before", b""),
        ([Cut("control-1", "balancer-1")], b"beforeduring", b""),
    ],
    ids=["none", "another's", "forth", "forth for all", "back"],
)
def test_a_cut_holds_one_direction_back_until_it_ends(tmp_path, cuts, arrived, answered):
    assert asyncio.run(relayed(tmp_path, cuts)) == ([CALLER], arrived, answered)
