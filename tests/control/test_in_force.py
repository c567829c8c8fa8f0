"""Merging of replicas' reports, and waiting for entries of the log."""

import asyncio

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.control.applied import AppliedEntries, AppliedEntry
from jasperwalk.control.in_force import InForceLedger, SubscriberSighting
from jasperwalk.control.proposal_errors import OutcomeUnknown, ProposalLost
from jasperwalk.messages.distribution import SubscriberRole


def sighting(name="balancer-1", revision=10, age_ms=0, role=SubscriberRole.BALANCER):
    port = 6000 + len(name) + ord(name[-1])
    address = Endpoint("127.0.0.1", port)
    return SubscriberSighting(name, role, address, 0, revision, True, 0, age_ms)


AGENT = SubscriberRole.AGENT


@pytest.mark.parametrize(
    ("sightings", "balancers", "agents", "laggards", "complete"),
    [
        ([], (0, 0), (0, 0), [], False),
        ([sighting()], (1, 1), (0, 0), [], True),
        ([sighting(revision=9)], (0, 1), (0, 0), ["balancer-1"], False),
        ([sighting(revision=11)], (1, 1), (0, 0), [], True),
        ([sighting(), sighting("host-1", 9, role=AGENT)], (1, 1), (0, 1), ["host-1"], False),
        ([sighting("host-1", role=AGENT)], (0, 0), (1, 1), [], False),
        ([sighting(), sighting("balancer-2", 9, age_ms=6000)], (1, 1), (0, 0), [], True),
        (
            [sighting(), sighting("balancer-2", 9, age_ms=3000)],
            (1, 2),
            (0, 0),
            ["balancer-2"],
            False,
        ),
        # It moved: the newest sighting counts, whichever replica reported it first.
        ([sighting(revision=9, age_ms=900), sighting(revision=10)], (1, 1), (0, 0), [], True),
        ([sighting(revision=10), sighting(revision=9, age_ms=900)], (1, 1), (0, 0), [], True),
    ],
)
def test_in_force_counts(sightings, balancers, agents, laggards, complete):
    ledger = InForceLedger(now=90.0)
    for each in sightings:
        ledger.merge([each], now=100.0)
    found = ledger.in_force(10, [2, 3], now=100.0)
    assert (found.in_force, found.balancers) == balancers
    assert (found.agents_in_force, found.agents) == agents
    assert found.laggards == laggards
    assert found.complete is complete


def test_a_silent_subscriber_is_forgotten():
    ledger = InForceLedger(now=90.0, forget_after_seconds=5.0)
    ledger.merge([sighting()], now=100.0)
    assert ledger.in_force(10, [], now=104.9).balancers == 1
    assert ledger.in_force(10, [], now=105.1).balancers == 0


@pytest.mark.parametrize(
    ("reports", "laggards", "complete"),
    [
        # Pairs of time and revision of the reports of replica 2; asked at 100 s.
        ([], [], True),
        ([(91.0, 10), (93.0, 10), (95.0, 10), (97.0, 10), (99.0, 10)], [], True),
        ([(91.0, 9), (93.0, 9), (95.0, 9), (97.0, 9), (99.0, 9)], ["replica-2"], False),
        ([(97.0, 10), (99.0, 10)], [], False),
        ([(90.0, 10), (96.0, 10), (98.0, 10)], [], False),
        ([(91.0, 9), (93.0, 9)], [], True),
    ],
    ids=["never heard", "up to date", "behind", "heard first", "heard again", "gone"],
)
def test_nothing_is_claimed_for_replicas_that_may_know_more(reports, laggards, complete):
    ledger = InForceLedger(now=90.0)
    ledger.merge([sighting()], now=100.0)
    for heard_at, revision in reports:
        ledger.report(2, revision, [], now=heard_at)
    found = ledger.in_force(10, [2], now=100.0)
    assert (found.laggards, found.complete) == (laggards, complete)


def test_nothing_is_claimed_just_after_the_start():
    ledger = InForceLedger(now=99.0)
    ledger.merge([sighting()], now=100.0)
    assert not ledger.in_force(10, [], now=100.0).complete
    ledger.merge([sighting()], now=104.0)
    assert ledger.in_force(10, [], now=104.0).complete


ENTRY = AppliedEntry(index=5, term=2, outcome=None)


@pytest.mark.parametrize(
    ("term", "progress", "expected"),
    [
        (2, lambda entries: entries.record(ENTRY), ENTRY),
        (1, lambda entries: entries.record(ENTRY), ProposalLost),
        (2, lambda entries: entries.skip_to(9), OutcomeUnknown),
        (2, lambda entries: entries.record(AppliedEntry(4, 2, None)), OutcomeUnknown),
    ],
)
@pytest.mark.parametrize("applied_first", [False, True])
def test_waiting_for_an_entry(term, progress, expected, applied_first):
    async def scenario():
        entries = AppliedEntries()
        if applied_first:
            progress(entries)
        waiting = asyncio.create_task(entries.wait(5, term, timeout_seconds=0.2))
        await asyncio.sleep(0)
        if not applied_first:
            progress(entries)
        result = (await asyncio.gather(waiting, return_exceptions=True))[0]
        assert result == expected if expected is ENTRY else isinstance(result, expected)

    asyncio.run(scenario())
