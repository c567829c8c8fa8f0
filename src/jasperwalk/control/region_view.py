"""A replica's view of the region's balancers and agents: its own report, and the leader's view.

Only the leader holds the view of all subscribers. Other replicas query it; without an answer they
report the result as unknown.
"""

from __future__ import annotations

import asyncio
import secrets
import time

from jasperwalk.addresses import Endpoint
from jasperwalk.control.control_runner import ControlRunner
from jasperwalk.control.in_force import InForce, InForceLedger, SubscriberSighting
from jasperwalk.control.leader_queries import LeaderQueries
from jasperwalk.control.peer_links import PeerNetwork
from jasperwalk.control.peer_messages import (
    AgentCondition,
    AgentsAnswer,
    AgentsQuery,
    FullReportRequest,
    InForceAnswer,
    InForceQuery,
    LeaderAnswer,
    LeaderQuery,
)
from jasperwalk.control.publishing import Publishing
from jasperwalk.control.subscriber_reports import SubscriberReport, SubscriberReporter
from jasperwalk.messages.distribution import SubscriberRole

REPORT_INTERVAL_SECONDS = 0.5
"""Interval at which a replica reports its subscribers to the leader."""

FIRST_SEQUENCE_BITS = 32
"""Bits of the random first sequence number of a process's reports."""


class RegionView:
    """Sends reports to the leader in `run`; answers from the leader's ledger."""

    def __init__(
        self, replica_id: int, runner: ControlRunner, network: PeerNetwork, publishing: Publishing
    ) -> None:
        self._replica_id = replica_id
        self._runner = runner
        self._network = network
        self._publishing = publishing
        self._reporter = SubscriberReporter(
            time.monotonic(), first_sequence=secrets.randbits(FIRST_SEQUENCE_BITS)
        )
        self._ledger = InForceLedger(time.monotonic())
        self._queries = LeaderQueries(runner, network)

    async def run(self) -> None:
        """Report at an interval until cancelled."""
        while True:
            self._report()
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def ledger(self) -> InForceLedger | None:
        """Return the ledger of this term if this replica leads, None otherwise."""
        if not self._runner.is_leader:
            return None
        self._ledger.start_term(self._runner.term, time.monotonic())
        return self._ledger

    def subscribers(self) -> list[SubscriberSighting]:
        """Return the leader's view of all subscribers; empty on other replicas."""
        ledger = self.ledger()
        return [] if ledger is None else ledger.current(time.monotonic())

    def known_in_force(self, revision: int) -> InForce:
        """Return where a revision is in force, as known to this replica without a query."""
        ledger = self.ledger()
        if ledger is None:
            return InForce(revision=revision)
        return ledger.in_force(revision, self._runner.contact_ages(), time.monotonic())

    async def in_force(self, revision: int) -> InForce:
        """Return where a revision is in force, from the leader's view."""
        if self._runner.is_leader:
            return self.known_in_force(revision)
        answer = await self._queries.in_force(revision)
        return InForce(revision=revision) if answer is None else answer.in_force

    async def agents(self) -> dict[Endpoint, AgentCondition]:
        """Return what the agents report of themselves, from the leader's view, by address."""
        if self._runner.is_leader:
            facts = self._known_agents()
        else:
            answer = await self._queries.agents()
            facts = [] if answer is None else answer.agents
        return {each.address: each for each in facts}

    def handle_report(self, sender: int, report: SubscriberReport) -> None:
        """Record another replica's report; request a full one if an earlier one is missing."""
        ledger = self.ledger()
        if ledger is not None and not ledger.record_report(sender, report, time.monotonic()):
            self._network.send(sender, FullReportRequest())

    def handle_report_request(self) -> None:
        """Make the next report a full one."""
        self._reporter.restart()

    def handle_query(self, sender: int, query: LeaderQuery) -> None:
        """Answer a follower's query; a replica that does not lead answers with unknown values."""
        answer: LeaderAnswer
        match query:
            case InForceQuery():
                in_force = self.known_in_force(query.revision)
                answer = InForceAnswer(query.query_number, in_force)
            case AgentsQuery():
                answer = AgentsAnswer(query.query_number, self._known_agents())
        self._network.send(sender, answer)

    def handle_answer(self, answer: LeaderAnswer) -> None:
        """Deliver the leader's answer to its caller."""
        self._queries.handle_answer(answer)

    def _known_agents(self) -> list[AgentCondition]:
        return [
            AgentCondition(each.address, each.healthy, each.open_flows)
            for each in self.subscribers()
            if each.role is SubscriberRole.AGENT
        ]

    def _report(self) -> None:
        leader_id = self._runner.leader_id
        if leader_id is None:
            return
        now = time.monotonic()
        report = self._reporter.report(
            self._publishing.links(), leader_id, self._runner.term, self._publishing.revision, now
        )
        if leader_id == self._replica_id:
            ledger = self.ledger()
            delivered = ledger is not None and ledger.record_report(self._replica_id, report, now)
        else:
            delivered = self._network.send(leader_id, report)
        if not delivered:
            self._reporter.restart()
