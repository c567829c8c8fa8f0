"""The measures of an experiment, against cases computed by hand."""

from __future__ import annotations

from collections import Counter

import pytest

from jasperwalk_lab.experiments.breaks import (
    HOST_LOST,
    NO_EVENT,
    FlowHolders,
    TimedEvent,
    causes_by_flow,
    loss_figures,
)
from jasperwalk_lab.experiments.imbalance import (
    WeightsSince,
    average,
    flows_of,
    imbalance_at,
    imbalance_series,
    work_of,
)
from jasperwalk_lab.experiments.sampler import HostSample, parse_metrics
from jasperwalk_lab.experiments.waiting import FreeSlots, Span, waiting_figures
from jasperwalk_lab.fabric_process import FlowView
from jasperwalk_lab.journal import JournalRecord, RunOutcome
from jasperwalk_lab.operations import (
    Answered,
    BreakReason,
    Broken,
    CallRecord,
    Flow,
    Lookup,
    NotRun,
    Unknown,
)

ANSWERED = Answered(status=200, service="s", request_id="", host="", body=b"")


def sample(host, busy, queue=0, flows=0, at=0.0):
    return HostSample(
        at=at, host=host, service="s", slots_used=busy, queue_length=queue, open_flows=flows
    )


@pytest.mark.parametrize(
    ("work", "weights", "expected"),
    [
        ((2, 2), (1, 1), 1.0),
        ((3, 1), (1, 1), 1.5),  # greatest 3, mean 2
        ((3, 1), (3, 1), 1.0),  # the host of greater weight has just its share
        ((3, 1), (1, 3), 3.0),  # greatest 3 per weight, mean 4 / 4
        ((4, 0), (1, 1), 2.0),  # an idle host counts
        ((1, 0), (1, 0), 1.0),  # a host without weight does not
        ((0, 0), (1, 1), None),  # no load, no value
    ],
)
def test_imbalance_is_the_greatest_load_over_the_mean_by_weight(work, weights, expected):
    samples = [sample("a", work[0]), sample("b", work[1])]
    by_host = dict(zip("ab", weights, strict=True))
    assert imbalance_at(samples, by_host, work_of) == expected


def test_work_is_busy_slots_plus_queue_and_flows_are_counted_apart():
    samples = [sample("a", 2, queue=4, flows=10), sample("b", 2, queue=0, flows=30)]
    weights = {"a": 1.0, "b": 1.0}
    assert imbalance_at(samples, weights, work_of) == pytest.approx(6 / 4)
    assert imbalance_at(samples, weights, flows_of) == pytest.approx(30 / 20)


def test_the_series_uses_the_weights_of_each_moment():
    history = [WeightsSince(0.0, {"a": 1.0, "b": 1.0}), WeightsSince(11.0, {"a": 3.0, "b": 1.0})]
    samples = [
        sample(host, busy, at=at) for at in (9.0, 10.1, 11.1) for host, busy in (("a", 3), ("b", 1))
    ]
    series = imbalance_series(samples, history, began=10.0)
    assert [(point.at, point.work, point.flows) for point in series] == [
        (0.0, 1.5, None),
        (1.0, 1.0, None),
    ]
    assert average(point.work for point in series) == pytest.approx(1.25)
    assert average([None]) == 0.0


def test_free_slots_are_the_gaps_between_the_spans_that_fill_a_host():
    # Two slots: both are held from 2 to 3 only.
    host = FreeSlots([Span(1.0, 3.0), Span(2.0, 4.0)], slots=2, lasted=Span(0.0, 10.0))
    assert host.free_within(Span(0.0, 10.0)) == 7.0
    assert host.free_within(Span(1.5, 3.5)) == 0.5
    assert host.free_within(Span(2.0, 3.0)) == 0.0
    assert host.free_throughout(Span(0.5, 2.0))
    assert not host.free_throughout(Span(1.5, 2.5))


def call(request_id, outcome, invoked, completed, flow=None):
    return CallRecord(request_id, "s", Lookup("q"), invoked, completed, outcome, flow)


def ran(request_id, host, begin, end):
    return JournalRecord(request_id, "s", host, "/lookup", RunOutcome.COMPLETED, begin, end)


def waiting_case(b_busy_until):
    """Host a runs from 10 to 11, b until `b_busy_until`; the third request waits for 0.5 s."""
    journal = [
        ran("first", "a", 10.0, 11.0),
        ran("other", "b", 10.0, b_busy_until),
        ran("waiter", "a", 11.0, 12.0),
    ]
    records = [
        call("first", ANSWERED, 10.0, 11.0),
        call("other", ANSWERED, 10.0, b_busy_until),
        call("waiter", ANSWERED, 10.5, 12.0),
    ]
    return records, journal


LASTED = Span(10.0, 15.0)


@pytest.mark.parametrize(("b_busy_until", "needless"), [(15.0, 0), (10.2, 1)])
def test_a_wait_is_needless_if_another_host_had_a_free_slot(b_busy_until, needless):
    records, journal = waiting_case(b_busy_until)
    (figures,) = waiting_figures(records, journal, {"a": 1, "b": 1}, LASTED)
    assert (figures.requests, figures.waited, figures.waited_needlessly) == (3, 1, needless)
    assert figures.share == pytest.approx(needless / 3)
    assert figures.mean_wait_ms == pytest.approx(500 / 3)


@pytest.mark.parametrize(("b_busy_until", "needless"), [(15.0, 0), (10.2, 1)])
def test_a_refusal_is_needless_if_a_slot_was_free_all_through_the_time_before(
    b_busy_until, needless
):
    records, journal = waiting_case(b_busy_until)
    refused = call("waiter", NotRun(1.0), 10.5, 10.501)
    (figures,) = waiting_figures([*records[:2], refused], journal[:2], {"a": 1, "b": 1}, LASTED)
    assert (figures.refused, figures.refused_needlessly) == (1, needless)


FLOW, OTHER_FLOW = Flow(5001, opened=1.0), Flow(5002, opened=2.0)
VIEWS = [
    FlowView(5001, "127.0.0.1:1", at=1.1),
    FlowView(5002, "127.0.0.2:1", at=2.1),
    FlowView(5002, "127.0.0.1:1", at=0.5),  # an earlier flow with the same port
]
HOSTS = {"127.0.0.1:1": "a", "127.0.0.2:1": "b"}
EVENTS = [TimedEvent("set-weight", 3.0), TimedEvent("drain-host", 6.0)]


def broken(reason, completed, flow, heard_at=0.0, request_id="r"):
    return call(request_id, Broken(reason, heard_at=heard_at), 2.0, completed, flow)


@pytest.mark.parametrize(
    ("records", "lost", "expected"),
    [
        ([call("r", ANSWERED, 1.0, 2.0, FLOW), call("r", Unknown(504), 1.0, 2.0, FLOW)], {}, {}),
        # Two calls on one flow are one broken flow.
        ([broken(BreakReason.TIMED_OUT, 9.0, FLOW, 4.0)] * 2, {}, {"set-weight": 1}),
        ([broken(BreakReason.STREAM_RESET, 9.0, FLOW, 7.0)], {}, {"drain-host": 1}),
        ([broken(BreakReason.TIMED_OUT, 9.0, FLOW, 2.0)], {}, {NO_EVENT: 1}),
        # Only the flow that the lost host held is attributed to the loss.
        (
            [
                broken(BreakReason.TIMED_OUT, 9.0, FLOW, 4.0),
                broken(BreakReason.TIMED_OUT, 9.0, OTHER_FLOW, 4.0),
            ],
            {"a": 5.0},
            {HOST_LOST: 1, "set-weight": 1},
        ),
        # A flow that was silent long before the host was lost did not break by the loss.
        ([broken(BreakReason.TIMED_OUT, 9.0, FLOW, 3.5)], {"a": 6.5}, {"set-weight": 1}),
        # A flow that broke before the host was lost did not break by the loss.
        ([broken(BreakReason.STREAM_RESET, 4.5, FLOW, 4.0)], {"a": 5.0}, {"set-weight": 1}),
        ([call("r", Broken(BreakReason.NOT_CONNECTED), 1.0, 2.0)], {"a": 0.0}, {}),
    ],
)
def test_a_broken_flow_counts_once_by_its_cause(records, lost, expected):
    causes = causes_by_flow(records, FlowHolders(VIEWS, HOSTS, []), lost, EVENTS)
    assert Counter(causes.values()) == expected


def test_a_call_that_ran_on_a_lost_host_broke_by_the_loss_wherever_its_flow_is():
    holders = FlowHolders(VIEWS, HOSTS, [ran("r", "c", 2.6, 0.0)])
    records = [broken(BreakReason.STREAM_RESET, 9.0, FLOW, 4.0)]
    assert causes_by_flow(records, holders, {"c": 5.0}, EVENTS) == {FLOW: HOST_LOST}


def test_a_caller_knows_from_the_first_end_of_its_flow_and_not_from_its_own_time_out():
    records = [
        broken(BreakReason.STATELESS_RESET, 6.5, FLOW),
        broken(BreakReason.CONNECTION_ENDED, 8.0, FLOW),
        broken(BreakReason.TIMED_OUT, 9.0, OTHER_FLOW),
    ]
    holders, lost = FlowHolders(VIEWS, HOSTS, []), {"a": 3.0, "b": 3.0}
    causes = causes_by_flow(records, holders, lost, EVENTS)
    figures = loss_figures(records, holders, lost, causes)
    assert (figures.flows, figures.known, figures.known_by_reset) == (2, 1, 1)
    assert figures.seconds == [3.5]


def test_metrics_are_read_without_the_agents_prefix():
    text = "# HELP x\njasperwalk_agent_slots_used 3.0\npython_gc 1\n"
    assert parse_metrics(text) == {"slots_used": 3.0}
