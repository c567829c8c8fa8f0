"""Probing whether an agent is alive: a suspended agent is, one whose port is closed is not."""

import asyncio
import contextlib
import socket

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.relay import RelayClient


@contextlib.contextmanager
def unresponsive_process():
    """A port whose process reads nothing; the kernel accepts connections for it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield Endpoint(*listener.getsockname())


@contextlib.contextmanager
def closed_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        endpoint = Endpoint(*listener.getsockname())
    yield endpoint


@pytest.mark.parametrize(
    ("agent", "is_alive"), [(unresponsive_process, True), (closed_port, False)]
)
def test_only_a_lost_agent_gives_no_answer(agent, is_alive):
    async def ask(endpoint):
        return await RelayClient("asker", "zagreb").is_alive(endpoint)

    with agent() as endpoint:
        assert asyncio.run(ask(endpoint)) == is_alive
