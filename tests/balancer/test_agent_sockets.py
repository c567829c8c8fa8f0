import contextlib
import socket

import pytest

from jasperwalk.balancer import agent_sockets
from jasperwalk.balancer.agent_sockets import RENEWAL_SECONDS, AgentSockets

NOW = 10.0


@pytest.fixture
def agents():
    with contextlib.ExitStack() as stack:
        opened = []
        for _ in range(4):
            agent = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            agent.bind(("127.0.0.1", 0))
            agent.settimeout(10)
            opened.append(agent)
        yield opened


@pytest.fixture
def ways(monkeypatch):
    monkeypatch.setattr(agent_sockets, "MAX_SOCKETS", 2)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unconnected:
        ways = AgentSockets(unconnected)
        yield ways
        ways.close()


def test_every_agent_is_reached_although_sockets_are_bounded(agents, ways):
    for number, agent in enumerate(agents):
        ways.open(agent.getsockname(), NOW)(b"%d" % number)
        assert agent.recv(100) == b"%d" % number
    assert list(ways.senders) == [agent.getsockname() for agent in agents[:2]]


def test_a_full_set_is_renewed_after_a_while_and_not_before(agents, ways):
    addresses = [agent.getsockname() for agent in agents]
    for address in addresses[:3]:
        ways.open(address, NOW)
    ways.open(addresses[3], NOW + RENEWAL_SECONDS - 0.1)
    assert list(ways.senders) == addresses[:2]
    ways.open(addresses[3], NOW + RENEWAL_SECONDS)(b"new")
    assert list(ways.senders) == [addresses[3]]
    assert agents[3].recv(100) == b"new"
