"""A caller that introduces itself and then says nothing ends with a typed error, not with a fault.

Soaks: 98 lines `connection-handler-failed ... TimeoutError` in 49 logs of control replicas, each
with a stack of 30 lines, where a replica that asked to join was killed or cut off in between.
"""

import asyncio

import pytest
from structlog.testing import capture_logs

from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet import joining, operator_desk
from jasperwalk.control.fleet.joining import JoinDesk
from jasperwalk.control.fleet.operator_desk import OperatorDesk
from jasperwalk.transport.client import connect
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer

ANY_PORT = Endpoint("127.0.0.1", 0)
DESKS = {
    ConnectionKind.REPORTER: JoinDesk(lambda _request: None).serve,
    ConnectionKind.OPERATOR: OperatorDesk(None).serve,
}


@pytest.mark.parametrize("kind", list(DESKS))
def test_a_request_that_does_not_come_is_a_typed_refusal(monkeypatch, kind):
    monkeypatch.setattr(joining, "ANSWER_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(operator_desk, "REQUEST_SECONDS", 0.05)

    async def scenario():
        server = FramedServer(ANY_PORT, make_hello(ConnectionKind.PEER, "c", "zagreb"), DESKS)
        await server.start()
        connection = await connect(server.endpoint, make_hello(kind, "caller", "zagreb"))
        async with asyncio.timeout(10):
            while not server.refused:
                await asyncio.sleep(0.01)
        connection.abort()
        await server.close()
        return server.refused

    with capture_logs() as lines:
        refused = asyncio.run(scenario())
    assert refused == {"request-timeout": 1}
    assert "connection-handler-failed" not in [line["event"] for line in lines]
