"""What a home sends to its linked nodes, and which of several links of a node counts."""

import asyncio

import msgspec
import pytest
import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet import home_links
from jasperwalk.control.fleet.directory import NodeDirectory
from jasperwalk.control.fleet.home_links import HomeLinks, HomeView
from jasperwalk.fleet.messages import (
    HOME_DECODER,
    Announce,
    DrainedZones,
    FleetUpdate,
    HomeStatus,
    HostPhase,
    NodeRecord,
    NodeRole,
    RoutesUpdate,
    WarmUp,
    WarmUpUpdate,
)
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet
from jasperwalk.messages import codec
from jasperwalk.transport.errors import ConnectionLost

from .support import until

ROUTES = RouteSet(3, [FlowRoute("r", Endpoint("198.18.0.1", 443), [RouteBackend("web", 1.0)])])
AGENTS = 60
NEVER_SECONDS = 86_400.0
SHORT_SECONDS = 0.001


class Connection:
    """A framed connection whose other side is the test."""

    def __init__(self):
        self.inbox = asyncio.Queue()
        self.written = []
        self.is_closed = False

    def write(self, payload):
        if self.is_closed:
            raise ConnectionLost(reason="closed on this side")
        self.written.append(HOME_DECODER.decode(payload))

    async def receive(self):
        payload = await self.inbox.get()
        if payload is None:
            raise ConnectionLost(reason="closed by the other side")
        return payload

    def abort(self):
        self.close()

    def close(self):
        self.is_closed = True
        self.inbox.put_nowait(None)

    def announce(self, record):
        self.inbox.put_nowait(codec.encode(Announce(record)))

    def updates(self):
        return [each for each in self.written if isinstance(each, FleetUpdate)]


def node(number, role=NodeRole.AGENT):
    endpoint = Endpoint(f"10.0.{number // 250}.{number % 250 + 1}", 7000)
    return NodeRecord(
        f"n-{number}", number + 1, role, "a", endpoint, service="web", phase=HostPhase.READY
    )


class HomeHarness:
    """The links of one home, without sockets."""

    def __init__(self, interval_seconds):
        self.directory = NodeDirectory(1)
        self.zones, self.warm_ups = DrainedZones(), {}
        self.links = HomeLinks(
            self.directory,
            lambda: HomeView(True, ROUTES, [], 0, self.zones, self.warm_ups),
            lambda update: None,
            interval_seconds,
        )
        self.tasks = []

    def link(self, record):
        connection = Connection()
        self.tasks.append(asyncio.create_task(self.links.serve(connection)))
        connection.announce(record)
        return connection

    def end(self):
        for task in self.tasks:
            task.cancel()


@pytest.fixture(autouse=True)
def unlimited_node_silence(monkeypatch):
    """Disables the silence limit: nodes of these tests send no pings."""
    monkeypatch.setattr(home_links, "NODE_SILENCE_SECONDS", NEVER_SECONDS)


def run(scenario, interval_seconds):
    async def main():
        home = HomeHarness(interval_seconds)
        try:
            await scenario(home)
        finally:
            home.end()

    asyncio.run(main())


async def linked_fleet(home):
    balancer = home.link(node(0, NodeRole.BALANCER))
    agents = [home.link(node(number)) for number in range(1, AGENTS + 1)]
    await until(lambda: home.directory.counts()["agent"] == AGENTS)
    return balancer, agents


def in_phase(record, phase):
    return msgspec.structs.replace(record, phase=phase)


def test_of_many_changes_at_once_the_first_is_sent_alone_and_the_others_wait_for_the_interval():
    async def scenario(home):
        balancer, agents = await linked_fleet(home)
        for agent in agents[1:]:
            agent.close()
        await until(lambda: home.directory.counts()["agent"] == 1)
        snapshot, first = balancer.updates()
        assert snapshot.is_snapshot
        assert len(first.records) == 1

    run(scenario, NEVER_SECONDS)


def test_what_waited_for_the_interval_is_sent_in_the_end():
    async def scenario(home):
        balancer, agents = await linked_fleet(home)
        for agent in agents[1:]:
            agent.close()
        gone = {node(number).endpoint for number in range(2, AGENTS + 1)}
        await until(lambda: {each for one in balancer.updates() for each in one.removed} >= gone)
        assert home.links.counters.fleet_records >= 2 * AGENTS - 1

    run(scenario, SHORT_SECONDS)


def test_a_link_that_ended_is_dropped_once_however_many_updates_follow():
    async def scenario(home):
        _, agents = await linked_fleet(home)
        with structlog.testing.capture_logs() as logs:
            for agent in agents[1:]:
                agent.is_closed = True  # Its end is not noticed yet.
            for phase in (HostPhase.DRAINING, HostPhase.READY, HostPhase.GONE):
                agents[0].announce(in_phase(node(1), phase))
                sent = len(agents[0].updates())
                await until(lambda sent=sent: len(agents[0].updates()) > sent)
        given_up = [line["node"] for line in logs if line["event"] == "node-link-given-up"]
        assert sorted(given_up) == sorted(f"n-{number}" for number in range(2, AGENTS + 1))

    run(scenario, SHORT_SECONDS)


def test_a_balancer_gets_the_routes_before_the_agents_and_then_whether_they_are_current():
    async def scenario(home):
        for number in range(1, 4):
            home.link(node(number))
        await until(lambda: home.directory.counts()["agent"] == 3)
        balancer = home.link(node(0, NodeRole.BALANCER))
        await until(lambda: len(balancer.written) >= 3)
        kinds = [type(each) for each in balancer.written[:3]]
        assert kinds == [RoutesUpdate, FleetUpdate, HomeStatus]

    run(scenario, SHORT_SECONDS)


def test_a_node_gets_the_drained_zones_before_routes_and_agents():
    async def scenario(home):
        home.zones = DrainedZones(4, ["a"])
        balancer = home.link(node(0, NodeRole.BALANCER))
        await until(lambda: len(balancer.written) >= 4)
        kinds = [type(each) for each in balancer.written[:4]]
        assert kinds == [DrainedZones, RoutesUpdate, FleetUpdate, HomeStatus]
        assert balancer.written[3].zones_revision == 4

    run(scenario, SHORT_SECONDS)


def test_an_agent_is_sent_the_warm_up_of_its_own_service():
    async def scenario(home):
        home.warm_ups = {"web": WarmUp(2.0, 20.0), "export": WarmUp(1.0, 5.0)}
        agent = home.link(node(1))
        await until(lambda: len(agent.written) >= 3)
        assert WarmUpUpdate(3, WarmUp(2.0, 20.0)) in agent.written

    run(scenario, SHORT_SECONDS)


def test_an_order_is_sent_once_to_every_linked_node():
    async def scenario(home):
        balancer, agents = await linked_fleet(home)
        home.zones = DrainedZones(1, ["a"])
        for _ in range(3):
            home.links.publish_restrictions()
        for connection in (balancer, *agents):
            orders = [each for each in connection.written if isinstance(each, DrainedZones)]
            assert orders == [home.zones]

    run(scenario, SHORT_SECONDS)


def returned_node(home):
    """Return two links of one node, which connects again when its first link went silent."""
    silent = home.link(node(1))
    new_link = home.link(node(1))
    return silent, new_link


def test_the_late_end_of_a_silent_link_does_not_unlist_the_node_that_is_back():
    async def scenario(home):
        balancer = home.link(node(0, NodeRole.BALANCER))
        silent, new_link = returned_node(home)
        await until(new_link.updates)
        silent.close()
        await until(home.tasks[1].done)
        assert home.directory.counts()["agent"] == 1
        assert not any(update.removed for update in balancer.updates())

    run(scenario, 0.0)


def test_a_link_that_the_node_has_replaced_ends_and_changes_nothing_more():
    async def scenario(home):
        silent, new_link = returned_node(home)
        await until(lambda: silent.is_closed)
        silent.announce(in_phase(node(1), HostPhase.GONE))
        await until(home.tasks[0].done)
        assert home.directory.agents(0.0).records == [node(1)]
        new_link.close()
        await until(lambda: home.directory.counts()["agent"] == 0)

    run(scenario, 0.0)


@pytest.mark.parametrize("late_first", [False, True])
def test_the_end_of_a_former_process_link_does_not_unlist_its_successor(late_first):
    """The former process's announcement arrives before its successor's, or after it."""

    async def scenario(home):
        successor = msgspec.structs.replace(node(1), incarnation=node(1).incarnation + 1)
        records = [node(1), successor]
        links = [home.link(each) for each in (records[::-1] if late_first else records)]
        await until(lambda: all(link.updates() for link in links))
        former, new_link = links[::-1] if late_first else links
        former.close()
        await until(home.tasks[late_first].done)
        assert home.directory.agents(0.0).records == [successor]
        new_link.close()
        await until(lambda: home.directory.counts()["agent"] == 0)

    run(scenario, 0.0)
