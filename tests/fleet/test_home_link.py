"""A node's link over real sockets: it finds a home, announces, and changes homes."""

import asyncio
import random
import socket

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet import home_links
from jasperwalk.control.fleet.directory import NodeDirectory
from jasperwalk.control.fleet.home_links import HomeLinks, HomeView
from jasperwalk.fleet import home_link
from jasperwalk.fleet.home_link import HomeLink
from jasperwalk.fleet.messages import (
    CLUSTER_ID,
    FleetUpdate,
    HomeStatus,
    HostPhase,
    NodeRecord,
    NodeRole,
    RoutesUpdate,
)
from jasperwalk.fleet.settings import InvalidSettings
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet
from jasperwalk.transport.errors import ConnectFailed
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer
from jasperwalk_lab.ports import common_ports
from jasperwalk_lab.soak.relays import TcpRelay
from tests.control.fleet.support import until

FAILED_ROUNDS = 4


def route(port, service="web"):
    return FlowRoute(f"r{port}", Endpoint("198.18.0.1", port), [RouteBackend(service, 1.0)])


class Home:
    """The home's side of a link."""

    def __init__(self):
        self.current = True
        self.advertised = None
        self.routes = RouteSet(1, [route(1), route(2)])
        self.directory = NodeDirectory(1)
        self.reported = []
        # Each change is sent by itself; test_home_links covers how several are combined.
        self.links = HomeLinks(
            self.directory, self._view, self.reported.append, fleet_interval_seconds=0.0
        )
        hello = make_hello(ConnectionKind.PEER, "home", CLUSTER_ID)
        self.server = FramedServer(
            Endpoint("127.0.0.1", 0), hello, {ConnectionKind.SUBSCRIBER: self.links.serve}
        )

    def _view(self):
        return HomeView(self.current, self.routes, [self.advertised or self.server.endpoint])


class Node:
    """The node's side of a link, and the messages that it received."""

    def __init__(self, *seeds, role=NodeRole.BALANCER, number=1):
        self.messages, self.linked = [], []
        endpoint = Endpoint("10.0.0.1", number)
        self.record = NodeRecord(f"node-{number}", number, role, "a", endpoint, "web")
        self.link = HomeLink(
            lambda: self.record,
            lambda: seeds,
            self.messages.append,
            self.linked.append,
            random.Random(1),
        )

    def of(self, kind):
        return [message for message in self.messages if isinstance(message, kind)]


@pytest.fixture
def play():
    """Run a scenario with homes and nodes that are closed afterwards."""

    def run(scenario, homes=1):
        async def main():
            made = [Home() for _ in range(homes)]
            for home in made:
                await home.server.start()
            tasks = []

            def start(node):
                tasks.append(asyncio.create_task(node.link.run()))
                return node

            try:
                await scenario(made, start)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                for home in made:
                    await home.server.close()

        asyncio.run(main())

    return run


def test_a_balancer_gets_agents_routes_and_then_only_changes(play):
    async def scenario(homes, start):
        (home,) = homes
        node = start(Node(home.server.endpoint))
        await until(lambda: node.of(RoutesUpdate) and node.of(FleetUpdate))
        assert node.of(FleetUpdate)[0].is_snapshot
        assert len(node.of(RoutesUpdate)[0].changed) == 2
        home.routes = RouteSet(4, [route(1), route(2, "export")])
        home.links.publish_routes()
        await until(lambda: len(node.of(RoutesUpdate)) == 2)
        assert node.of(RoutesUpdate)[1] == RoutesUpdate(1, 4, [route(2, "export")], [])
        home.routes = RouteSet(5, [route(1)])
        home.links.publish_routes()
        await until(lambda: len(node.of(RoutesUpdate)) == 3)
        assert node.of(RoutesUpdate)[2] == RoutesUpdate(4, 5, [], [route(2).listener])

    play(scenario)


def test_a_balancer_learns_of_agents_that_come_change_and_go(play):
    async def scenario(homes, start):
        (home,) = homes
        balancer = start(Node(home.server.endpoint))
        await until(lambda: balancer.of(FleetUpdate))
        agent = start(Node(home.server.endpoint, role=NodeRole.AGENT, number=2))
        await until(lambda: len(balancer.of(FleetUpdate)) == 2)
        agent.record = NodeRecord(
            "node-2", 2, NodeRole.AGENT, "a", agent.record.endpoint, "web", HostPhase.DRAINING
        )
        agent.link.announce()
        await until(lambda: len(balancer.of(FleetUpdate)) == 3)
        assert balancer.of(FleetUpdate)[2].records[0].phase is HostPhase.DRAINING
        agent.link._connection.abort()
        await until(lambda: any(update.removed for update in balancer.of(FleetUpdate)))

    play(scenario)


def test_an_agent_gets_the_agents_but_no_routes(play):
    """It searches for flows among them on behalf of balancers."""

    async def scenario(homes, start):
        (home,) = homes
        agent = start(Node(home.server.endpoint, role=NodeRole.AGENT))
        await until(lambda: agent.of(HomeStatus) and agent.of(FleetUpdate))
        assert agent.of(FleetUpdate)[0].is_snapshot
        assert agent.of(RoutesUpdate) == []

    play(scenario)


def test_a_node_passes_over_a_dead_seed(play):
    async def scenario(homes, start):
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            dead = Endpoint(*closed.getsockname())
        node = start(Node(dead, homes[0].server.endpoint))
        await until(lambda: node.of(HomeStatus))

    play(scenario)


def test_a_node_leaves_a_home_that_is_not_current(play):
    async def scenario(homes, start):
        first, second = homes
        node = start(Node(first.server.endpoint, second.server.endpoint))
        await until(lambda: node.of(HomeStatus))
        left, taken = (first, second) if node.link.home == first.server.endpoint else homes[::-1]
        left.current = False
        left.links.publish_status()
        await until(lambda: node.link.home == taken.server.endpoint)

    play(scenario, homes=2)


def test_every_node_is_notified_at_once_that_its_home_became_current(play):
    async def scenario(homes, start):
        (home,) = homes
        home.current = False
        node = start(Node(home.server.endpoint))
        await until(lambda: node.of(HomeStatus))
        home.current = True
        home.links.publish_status()
        await until(lambda: node.of(HomeStatus)[-1].current)

    play(scenario)


def test_a_link_that_breaks_comes_back_with_everything(play):
    async def scenario(homes, start):
        (home,) = homes
        node = start(Node(home.server.endpoint))
        await until(lambda: node.of(RoutesUpdate))
        node.link._connection.abort()
        await until(lambda: len(node.of(RoutesUpdate)) == 2)
        assert node.of(RoutesUpdate)[1].from_version == 0
        assert node.linked[:3] == [True, False, True]

    play(scenario)


def test_noise_ends_only_its_own_link(play):
    async def scenario(homes, start):
        (home,) = homes
        node = start(Node(home.server.endpoint))
        await until(lambda: node.of(HomeStatus))
        noisy = start(Node(home.server.endpoint, number=9))
        await until(lambda: noisy.of(HomeStatus))
        noisy.link._connection.write(b"noise")
        await until(lambda: False in noisy.linked)
        assert False not in node.linked

    play(scenario)


def test_a_settings_file_that_is_being_written_costs_no_link(play):
    async def scenario(homes, start):
        (home,) = homes
        node = Node(home.server.endpoint)
        broken = [True]

        def seeds():
            if broken[0]:
                raise InvalidSettings("node.toml", "unfinished")
            return (home.server.endpoint,)

        node.link = HomeLink(
            lambda: node.record, seeds, node.messages.append, node.linked.append, random.Random(1)
        )
        start(node)
        await asyncio.sleep(0.05)
        broken[0] = False
        await until(lambda: node.of(HomeStatus))
        broken[0] = True
        node.link._connection.abort()
        await until(lambda: node.linked == [True, False, True])

    play(scenario)


def test_a_replica_that_gets_power_during_an_attempt_is_dialled_again_at_once(play, monkeypatch):
    """A connection whose first packet was dropped hangs, although the replica is up by now."""
    waited = []
    real_connect = home_link.connect

    async def connect(replica, hello, connect_seconds, tls, hello_seconds):
        waited.append(connect_seconds)
        if len(waited) <= FAILED_ROUNDS:
            raise ConnectFailed(endpoint=str(replica), reason="timed out")
        return await real_connect(replica, hello, connect_seconds, tls, hello_seconds)

    monkeypatch.setattr(home_link, "connect", connect)

    async def scenario(homes, start):
        node = start(Node(homes[0].server.endpoint))
        await until(lambda: node.of(FleetUpdate))
        node.link._connection.abort()
        await until(lambda: len(waited) > FAILED_ROUNDS + 1)

    play(scenario)
    first, longest = home_link.FIRST_CONNECT_SECONDS, home_link.CONNECT_TIMEOUT_SECONDS
    assert waited[: FAILED_ROUNDS + 1] == [first, 2 * first, longest, longest, longest]
    assert waited[FAILED_ROUNDS + 1] == first


@pytest.mark.parametrize(
    ("forward", "backward"),
    [(True, True), (True, False), (False, True)],
    ids=["both ways", "to the home", "from the home"],
)
def test_a_link_that_goes_silent_without_a_reset_is_replaced_and_the_node_stays_listed(
    play, monkeypatch, forward, backward
):
    monkeypatch.setattr(home_link, "PING_SECONDS", 0.05)
    monkeypatch.setattr(home_link, "SILENCE_SECONDS", 0.3)
    monkeypatch.setattr(home_links, "NODE_SILENCE_SECONDS", 0.5)

    async def scenario(homes, start):
        (home,) = homes
        home.advertised = Endpoint("127.0.0.1", common_ports(("relay",), ["127.0.0.1"])["relay"])
        relay = TcpRelay(home.advertised, home.server.endpoint)
        await relay.start()
        node = start(Node(home.advertised, role=NodeRole.AGENT))
        await until(lambda: home.directory.counts()["agent"] == 1)
        served = set(home.links._links)
        relay.silence_open_connections(forward, backward)
        await until(lambda: node.linked[1:3] == [False, True])
        await until(lambda: home.links._links and not home.links._links & served)
        await until(lambda: home.directory.counts()["agent"] == 1)
        await relay.close()

    play(scenario)
