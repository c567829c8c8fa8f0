"""Finds the fault that broke a flow: the loss of its agent, or of the agent that ran its request.

A request runs at another agent of its service where its own agent has no free slot or drains. When
that other agent is killed, the flow continues and only the request's stream is reset. Such a reset
is attributed to the kill only where the backends' journals show that the kill interrupted the run.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from jasperwalk_lab.chaos.observations import AgentLoss
from jasperwalk_lab.fabric_process import FlowView
from jasperwalk_lab.journal import JournalRecord, RunOutcome
from jasperwalk_lab.operations import BreakReason, Broken, CallRecord

CLOCK_TOLERANCE_SECONDS = 0.05
"""Two processes record the same event at slightly different times."""
INTERRUPTED = frozenset({RunOutcome.RUNNING, RunOutcome.CANCELLED})
"""Outcomes that a journal may have for a run whose backend or agent was lost."""


class FlowAttribution:
    """Attributes broken calls to losses, from the agents seen per flow, the runs and the losses."""

    def __init__(
        self,
        flows: Iterable[FlowView],
        losses: Iterable[AgentLoss],
        journal: Iterable[JournalRecord] = (),
    ) -> None:
        self._agents: dict[int, list[FlowView]] = defaultdict(list)
        for flow in flows:
            self._agents[flow.caller_port].append(flow)
        self._runs: dict[str, list[JournalRecord]] = defaultdict(list)
        for run in journal:
            if run.outcome in INTERRUPTED:
                self._runs[run.request_id].append(run)
        self._losses = list(losses)

    def cause_of(self, record: CallRecord) -> str | None:
        """Return the fault's name; None when no agent that the call needed was killed meanwhile."""
        for loss in self._losses:
            if self._held_flow(loss, record) or self._ran_request(loss, record):
                return loss.cause
        return None

    def _held_flow(self, loss: AgentLoss, record: CallRecord) -> bool:
        """Return whether the lost agent was the holder of the flow.

        The holder is known from the answers that the fabric saw, not from what an answer says of
        itself. A caller's port may belong to several flows, so only answers during this one count.
        """
        flow = record.flow
        if flow is None:
            return False
        opened = flow.opened - CLOCK_TOLERANCE_SECONDS
        sightings = self._agents[flow.caller_port]
        agents = {seen.agent for seen in sightings if opened <= seen.at <= record.completed}
        return loss.agent in agents and opened <= loss.at <= record.completed

    def _ran_request(self, loss: AgentLoss, record: CallRecord) -> bool:
        """Return whether the stream was reset because the lost agent was running its request."""
        broken = record.outcome
        if not isinstance(broken, Broken) or broken.reason is not BreakReason.STREAM_RESET:
            return False
        if broken.host != loss.host or not record.invoked <= loss.at <= record.completed:
            return False
        return any(_was_interrupted_by(loss, run) for run in self._runs[record.request_id])


def _was_interrupted_by(loss: AgentLoss, run: JournalRecord) -> bool:
    """Return whether a run at the lost host was in progress when it was lost."""
    if run.host != loss.host or run.ran_at > loss.at:
        return False
    if run.outcome is RunOutcome.RUNNING:
        return True  # its backend was lost with it
    return run.ended_at >= loss.at - CLOCK_TOLERANCE_SECONDS
