"""A broken flow is attributed to the loss of its holder, or of the agent that ran its request."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest

from jasperwalk_lab.chaos.attribution import FlowAttribution
from jasperwalk_lab.chaos.observations import AgentLoss
from jasperwalk_lab.fabric_process import FlowView
from jasperwalk_lab.journal import JournalRecord, RunOutcome
from jasperwalk_lab.operations import BreakReason, Broken, CallRecord, Flow, LongStream

PORT = 5000
OWN, LENDER = "127.0.0.1:7100", "127.0.0.2:7100"
CUT = Broken(BreakReason.STREAM_RESET, host="lender", heard_at=13.9)
STREAM = LongStream(seconds=9.0, interval_ms=100.0)
CALL = CallRecord("a", "urednik", STREAM, 10.0, 14.1, CUT, Flow(PORT, opened=9.9))
RUN = JournalRecord("a", "urednik", "lender", "/stream", RunOutcome.CANCELLED, 10.1, 10.2, 14.05)
LOSS = AgentLoss(LENDER, "lender", 14.0, "agent-killed")


def cause(call=CALL, run=RUN, loss=LOSS):
    flows = [FlowView(PORT, OWN, 9.95)]
    return FlowAttribution(flows, [loss], [run]).cause_of(call)


def test_the_loss_of_the_agent_that_had_the_flow_is_the_cause():
    assert cause(loss=AgentLoss(OWN, "own", 14.0, "host-lost")) == "host-lost"


def test_the_loss_of_the_agent_that_ran_the_request_is_the_cause():
    assert cause() == "agent-killed"
    lost = msgspec.structs.replace(RUN, outcome=RunOutcome.RUNNING, ended_at=0.0)
    assert cause(run=lost) == "agent-killed"  # its backend was lost with it


def _call(**outcome):
    return {"call": dataclasses.replace(CALL, outcome=dataclasses.replace(CUT, **outcome))}


def _run(**changes):
    return {"run": msgspec.structs.replace(RUN, **changes)}


def _loss(**changes):
    return {"loss": dataclasses.replace(LOSS, **changes)}


NO_CAUSE = {
    "the run was cut before the loss": _run(ended_at=13.8),
    "nobody knows when the run was cut": _run(ended_at=0.0),
    "the run began after the loss": _run(ran_at=14.2, ended_at=14.3),
    "the run was complete": _run(outcome=RunOutcome.COMPLETED),
    "the run had outlived its deadline": _run(outcome=RunOutcome.EXPIRED),
    "it ran elsewhere": _run(host="third"),
    "another request ran there": _run(request_id="b"),
    "the answer came from elsewhere": _call(host="third"),
    "no answer had begun": _call(host=""),
    "the flow broke, not its stream": _call(reason=BreakReason.CONNECTION_ENDED),
    "nobody told the caller": _call(reason=BreakReason.TIMED_OUT),
    "a third agent was lost": _loss(host="third"),
    "the loss came after the reset": _loss(at=14.2),
    "the loss came before the request": _loss(at=9.8),
}


@pytest.mark.parametrize("case", NO_CAUSE)
def test_no_other_loss_is(case):
    assert cause(**NO_CAUSE[case]) is None
