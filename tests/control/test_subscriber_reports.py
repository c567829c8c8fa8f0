"""Reports of subscribers in randomly simulated regions, up to the leader's counts.

Guards against a revision being reported in force too early while reports are lost, subscribers move
between replicas, and leaders change.
"""

import random

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.control.in_force import REPORT_GAP_SECONDS, InForceLedger
from jasperwalk.control.subscriber_reports import SubscriberReporter
from jasperwalk.distribution.publisher_events import PublisherConfig
from jasperwalk.distribution.subscriber_link import SubscriberLink
from jasperwalk.messages import codec
from jasperwalk.messages.distribution import Acknowledge, Subscribe, SubscriberRole

REPLICAS = (1, 2, 3)
CONTACT_AGES = dict.fromkeys(REPLICAS, 0.1)
STEP_SECONDS = 0.5
AWAY_STEPS = 6
"""Maximum steps between two replicas: less than the time after which a subscriber expires."""


def subscribe(number, revision=0):
    role = SubscriberRole.BALANCER if number % 2 else SubscriberRole.AGENT
    address = Endpoint("127.0.0.1", 7000 + number)
    return Subscribe(f"node-{number}", role, "zone", address, f"boot-{number}", revision)


class SimulatedRegion:
    """Subscribers that acknowledge, go silent and move between three reporting replicas."""

    def __init__(self, seed, size=12):
        self.random = random.Random(seed)
        self.now = 100.0
        self.term = 1
        self.ledger = InForceLedger(self.now)
        self.reporters = {
            each: SubscriberReporter(self.now - 60.0, first_sequence=0) for each in REPLICAS
        }
        self.links = {each: {} for each in REPLICAS}
        self.revision = 10
        self.next_link = 1
        self.nodes = {number: {"revision": 0, "away": 0, "seen": -1e9} for number in range(size)}
        for number in self.nodes:
            self.connect(number)
        self.ledger.start_term(self.term, self.now)
        for origin in REPLICAS:
            self.report(origin, lost=False)

    def connect(self, number):
        node = self.nodes[number]
        node["at"], node["link"] = self.random.choice(REPLICAS), self.next_link
        self.next_link += 1
        config = PublisherConfig()
        link = SubscriberLink(node["link"], subscribe(number, node["revision"]), config, self.now)
        self.links[node["at"]][node["link"]] = link
        node["seen"] = node["since"] = self.now

    def settled(self):
        """Return the nodes that did not connect just now: the report of a new one may be lost."""
        nodes = self.nodes.values()
        return [node for node in nodes if self.now - node["since"] > REPORT_GAP_SECONDS]

    def step(self, steady=False):
        self.now += STEP_SECONDS
        if not steady and self.random.random() < 0.3:
            self.revision += 1
        for number, node in self.nodes.items():
            self.step_node(number, node, steady)
        if not steady and self.random.random() < 0.05:
            self.term += 1
            self.ledger.start_term(self.term, self.now)
        for origin in REPLICAS:
            self.report(origin, lost=not steady and self.random.random() < 0.1)

    def step_node(self, number, node, steady):
        if node["away"]:
            node["away"] -= 1
            if not node["away"]:
                self.connect(number)
            return
        if not steady and self.random.random() < 0.1:
            node["away"] = self.random.randint(1, AWAY_STEPS)
            del self.links[node["at"]][node["link"]]
            return
        if steady or self.random.random() < 0.8:
            node["revision"] = self.random.randint(node["revision"], self.revision)
            if steady:
                node["revision"] = self.revision
            link = self.links[node["at"]][node["link"]]
            flows = self.random.choice([0, 100, 105, 200])
            link.acknowledge(Acknowledge(node["revision"], True, flows), self.now)
            node["seen"] = self.now

    def report(self, origin, lost):
        reporter = self.reporters[origin]
        links = self.links[origin].values()
        message = reporter.report(links, 1, self.term, self.revision, self.now)
        if lost:
            return 0
        if not self.ledger.record_report(origin, message, self.now):
            reporter.restart()
        return len(codec.encode(message))


@pytest.mark.parametrize("seed", range(30))
def test_in_force_is_never_reported_too_early_and_counts_converge(seed):
    region = SimulatedRegion(seed)
    reports_in_force = 0
    for _ in range(200):
        region.step()
        for revision in range(region.revision - 6, region.revision + 1):
            found = region.ledger.in_force(revision, CONTACT_AGES, region.now)
            reports_in_force += found.complete
            if found.complete:
                counted = [n for n in region.settled() if region.now - n["seen"] < 5.0]
                assert all(node["revision"] >= revision for node in counted)
            if found.balancers is not None:
                connected = sum(not node["away"] for node in region.settled())
                assert found.balancers + found.agents >= connected
    assert reports_in_force, "no revision was reported in force, so nothing was checked"
    for _ in range(16):
        region.step(steady=True)
    found = region.ledger.in_force(region.revision, CONTACT_AGES, region.now)
    assert (found.balancers, found.agents, found.complete) == (6, 6, True)


def test_a_steady_report_does_not_grow_with_the_subscribers():
    sizes = []
    for size in (10, 1000):
        region = SimulatedRegion(1, size)
        for _ in range(3):
            region.step(steady=True)
        for node in region.nodes.values():
            link = region.links[node["at"]][node["link"]]
            link.acknowledge(Acknowledge(region.revision, True, 100), region.now)
        sizes.append([region.report(origin, lost=False) for origin in REPLICAS])
        sizes[-1] = [region.report(origin, lost=False) for origin in REPLICAS]
    assert sizes[0] == sizes[1]
    assert max(sizes[0]) < 40
