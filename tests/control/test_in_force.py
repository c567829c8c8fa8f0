"""Merging of replicas' reports at the leader, and waiting for entries of the log."""

import asyncio
import math

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.control.applied import AppliedEntries, AppliedEntry
from jasperwalk.control.in_force import InForceLedger
from jasperwalk.control.proposal_errors import OutcomeUnknown, ProposalLost
from jasperwalk.control.subscriber_reports import (
    ReportedSubscriber,
    RevisionGroup,
    SilentSubscriber,
    SubscriberCondition,
    SubscriberKey,
    SubscriberReport,
)
from jasperwalk.messages.distribution import SubscriberRole

TERM = 3


def sighting(name="balancer-1", revision=10, age_ms=0, role=SubscriberRole.BALANCER):
    address = Endpoint("127.0.0.1", 6000 + len(name) + ord(name[-1]))
    return SubscriberKey(role, name, address), revision, age_ms


def report(*sightings, sequence=0, revision=10, recorded_ms=60_000, term=TERM, removed=()):
    """A report of these sightings, numbered from 1."""
    numbered = list(enumerate(sightings, start=1))
    condition = SubscriberCondition(incarnation=0, healthy=True, open_flows=0)
    return SubscriberReport(
        term=term,
        sequence=sequence,
        full=sequence == 0,
        revision=revision,
        recorded_ms=recorded_ms,
        common_revision=10,
        changed=[ReportedSubscriber(number, key, condition) for number, (key, _, _) in numbered],
        removed=list(removed),
        groups=[
            RevisionGroup(acked, [number]) for number, (_, acked, _) in numbered if acked != 10
        ],
        silent=[SilentSubscriber(number, age) for number, (_, _, age) in numbered if age],
    )


def leading(since=90.0):
    ledger = InForceLedger(0.0)
    ledger.start_term(TERM, since)
    return ledger


def in_force(ledger, now, *replicas, contact_age=math.inf):
    """Ask for revision 10, of replicas 1 and 2 where none are named."""
    return ledger.in_force(10, dict.fromkeys(replicas or (1, 2), contact_age), now)


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
        ([sighting(revision=9, age_ms=1900), sighting(revision=10)], (1, 1), (0, 0), [], True),
        ([sighting(revision=10), sighting(revision=9, age_ms=1900)], (1, 1), (0, 0), [], True),
        # Which one is newer is not certain: the older revision counts.
        (
            [sighting(revision=10), sighting(revision=9, age_ms=900)],
            (0, 1),
            (0, 0),
            ["balancer-1"],
            False,
        ),
    ],
)
def test_in_force_counts(sightings, balancers, agents, laggards, complete):
    ledger = leading()
    for origin, each in enumerate(sightings, start=1):
        assert ledger.record_report(origin, report(each), now=100.0)
    found = in_force(ledger, 100.0, 1, 2, 3)
    assert (found.in_force, found.balancers) == balancers
    assert (found.agents_in_force, found.agents) == agents
    assert (found.laggards, found.laggard_count) == (laggards, len(laggards))
    assert found.complete is complete


def test_a_silent_subscriber_expires():
    ledger = leading()
    ledger.record_report(1, report(sighting(), sighting("balancer-2")), now=100.0)
    for sequence, (now, silence_ms, balancers) in enumerate(
        [(104.9, 4_900, 2), (105.1, 5_100, 1)], start=1
    ):
        silent = report(sequence=sequence)
        silent.silent.append(SilentSubscriber(2, silence_ms))
        assert ledger.record_report(1, silent, now=now)
        assert in_force(ledger, now, 1).balancers == balancers


@pytest.mark.parametrize(
    ("reports", "recorded_ms", "laggards", "known", "complete"),
    [
        # Pairs of time and revision of the reports of replica 2; asked at 100 s.
        ([], 60_000, [], True, True),
        ([(91.0, 10), (99.0, 10)], 60_000, [], True, True),
        ([(91.0, 9), (99.0, 9)], 60_000, ["replica-2"], True, False),
        ([(97.0, 10), (99.0, 10)], 2_000, ["replica-2"], False, False),
        ([(90.0, 10), (97.0, 10)], 60_000, ["replica-2"], False, False),
        ([(91.0, 9), (93.0, 9)], 60_000, [], True, True),
    ],
    ids=["never heard", "up to date", "behind", "just started", "silent", "gone"],
)
def test_counts_are_unknown_while_a_replica_may_have_unreported_subscribers(
    reports, recorded_ms, laggards, known, complete
):
    ledger = leading()
    ledger.record_report(1, report(sighting()), now=100.0)
    for sequence, (received_at, revision) in enumerate(reports):
        reported = report(sequence=sequence, revision=revision, recorded_ms=recorded_ms)
        assert ledger.record_report(2, reported, now=received_at)
    found = in_force(ledger, 100.0)
    assert (found.laggards, found.complete) == (laggards, complete)
    assert (found.balancers is not None) is known


def test_counts_are_unknown_until_every_replica_has_reported_to_a_new_leader():
    ledger = leading(since=99.0)
    ledger.record_report(1, report(sighting()), now=100.0)
    found = in_force(ledger, 100.0)
    assert (found.balancers, found.agents, found.complete) == (None, None, False)
    assert found.laggards == ["replica-2"]
    ledger.record_report(2, report(sighting("balancer-2")), now=100.5)
    assert in_force(ledger, 100.5).balancers == 2
    ledger.start_term(TERM + 1, now=101.0)
    assert in_force(ledger, 101.0).balancers is None
    # What was meant for the former term is no answer.
    assert ledger.record_report(1, report(sighting(), sequence=1), now=101.0)
    assert ledger.current(101.0) == []
    ledger.record_report(1, report(sighting(), term=TERM + 1), now=105.5)
    assert in_force(ledger, 105.5).balancers is None
    # Replica 2 is there, but its reports do not arrive.
    assert in_force(ledger, 106.0, contact_age=1.0).balancers is None
    # Replica 2 is gone: its subscribers have come to another one or are gone too.
    assert in_force(ledger, 106.0).complete


def test_a_report_after_a_lost_one_is_refused_and_a_full_one_starts_again():
    ledger = leading()
    assert not ledger.record_report(1, report(sighting(), sequence=1), now=100.0)
    assert ledger.record_report(1, report(sighting(), sighting("balancer-2")), now=100.0)
    assert not ledger.record_report(1, report(sequence=2, removed=[1]), now=100.5)
    assert ledger.record_report(1, report(sequence=1, removed=[2]), now=100.5)
    assert not ledger.record_report(1, report(sighting("late"), sequence=1), now=100.6)
    assert [each.name for each in ledger.current(100.6)] == ["balancer-1"]
    assert ledger.record_report(1, report(sighting("balancer-3")), now=100.7)
    assert [each.name for each in ledger.current(100.7)] == ["balancer-3"]


def test_an_answer_names_no_more_than_a_hundred_laggards():
    ledger = leading()
    behind = [sighting(f"balancer-{number:03}", revision=9) for number in range(130)]
    ledger.record_report(1, report(*behind), now=100.0)
    found = in_force(ledger, 100.0, 1)
    assert (len(found.laggards), found.laggard_count, found.balancers) == (100, 130, 130)


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
