"""When a member is online, unhealthy or offline: reports, silence, elections and flapping."""

import msgspec
import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import AdminState, MemberEntry, OperatingStatus
from jasperwalk.membership.liveness import AgentObservation, LivenessConfig, LivenessTracker

AT = Endpoint("127.0.0.1", 7000)
ONLINE = OperatingStatus.ONLINE
OFFLINE = OperatingStatus.OFFLINE
UNHEALTHY = OperatingStatus.UNHEALTHY
UNREGISTERED = OperatingStatus.UNREGISTERED


def member(status: OperatingStatus = ONLINE, incarnation: int = 3) -> MemberEntry:
    return MemberEntry(AT, 1, "h", "a", 1, 4, AdminState.ENABLED, status, incarnation)


def observation(
    silence: float = 0.0, healthy: bool = True, incarnation: int = 3
) -> AgentObservation:
    return AgentObservation(AT, incarnation, healthy, silence)


@pytest.fixture
def tracker() -> LivenessTracker:
    """A tracker whose leader is past its grace period and has evaluated regularly."""
    tracker = LivenessTracker(LivenessConfig(offline_after_seconds=3.0))
    tracker.leader_started(90.0)
    for second in range(91, 100):
        tracker.evaluate([], float(second))
    return tracker


CASES = {
    "well": (member(ONLINE), [observation()], None),
    "comes back": (member(OFFLINE), [observation()], ONLINE),
    "just within the limit": (member(ONLINE), [observation(3.0)], None),
    "silent": (member(ONLINE), [observation(3.1)], OFFLINE),
    "never seen": (member(ONLINE), [], OFFLINE),
    "backend down": (member(ONLINE), [observation(healthy=False)], UNHEALTHY),
    "backend still down": (member(UNHEALTHY), [observation(healthy=False)], None),
    "backend healthy again": (member(UNHEALTHY), [observation()], ONLINE),
    "backend down and then silent": (
        member(UNHEALTHY),
        [observation(3.1, healthy=False)],
        OFFLINE,
    ),
    "comes back with its backend down": (member(OFFLINE), [observation(healthy=False)], UNHEALTHY),
    "an old report does not bring back": (member(OFFLINE), [observation(9.0)], None),
    "seen by another replica": (member(ONLINE), [observation(9.0), observation(0.5)], None),
    "an older report is ignored": (
        member(ONLINE),
        [observation(0.1), observation(2.0, healthy=False)],
        None,
    ),
    "older process": (member(OFFLINE), [observation(incarnation=2)], None),
    "older process in place of the registered": (
        member(ONLINE),
        [observation(incarnation=2)],
        OFFLINE,
    ),
    "both processes": (
        member(OFFLINE),
        [observation(0.2, incarnation=2), observation(0.1)],
        ONLINE,
    ),
    "unregistered process": (member(OFFLINE), [observation(incarnation=0)], None),
    "member without registration": (member(UNREGISTERED, 0), [observation()], None),
}


@pytest.mark.parametrize(("entry", "reports", "expected"), CASES.values(), ids=CASES.keys())
def test_statuses(tracker, entry, reports, expected) -> None:
    for report in reports:
        tracker.observe(report, 100.0)
    changes = tracker.evaluate([entry], 100.0)
    assert [(each.address, each.incarnation, each.operating_status) for each in changes] == (
        [] if expected is None else [(AT, 3, expected)]
    )


@pytest.mark.parametrize("stood_still", [False, True])
def test_a_new_or_suspended_leader_waits_before_it_declares_members_offline(
    tracker, stood_still: bool
) -> None:
    if not stood_still:
        tracker.leader_started(110.0)
    for tenth in range(1100, 1140):
        assert tracker.evaluate([member(ONLINE)], tenth / 10) == []
    assert len(tracker.evaluate([member(ONLINE)], 114.0)) == 1


def test_a_new_leader_acts_on_reports_during_its_grace_period(tracker) -> None:
    tracker.leader_started(100.0)
    tracker.observe(observation(healthy=False), 100.1)
    assert [each.operating_status for each in tracker.evaluate([member(ONLINE)], 100.1)] == [
        UNHEALTHY
    ]


def test_a_flapping_member_has_to_be_healthy_for_a_while(tracker) -> None:
    entry, now, online_at = member(ONLINE), 100.0, []
    for second in range(40):
        now = 100.0 + second
        well = second > 20 or second % 4 < 2
        tracker.observe(observation(healthy=well), now)
        for change in tracker.evaluate([entry], now):
            entry = msgspec.structs.replace(entry, operating_status=change.operating_status)
            if change.operating_status is ONLINE:
                online_at.append(second)
    # Healthy from second 20 on, after three recoveries within the window.
    assert online_at == [4, 8, 12, 30]


def test_agents_that_are_no_members_are_forgotten(tracker) -> None:
    tracker.observe(observation(), 100.0)
    tracker.evaluate([], 100.0)
    assert len(tracker.evaluate([member(ONLINE)], 100.0)) == 1


def _make_members(count: int, silent: int) -> tuple[list[MemberEntry], list[AgentObservation]]:
    """Make members, and reports of all but the first `silent` of them."""
    members, reports = [], []
    for number in range(count):
        address = Endpoint("127.0.0.1", 8000 + number)
        members.append(msgspec.structs.replace(member(), address=address))
        if number >= silent:
            reports.append(msgspec.structs.replace(observation(), address=address))
    return members, reports


# Members, silent ones, and seconds until the silent ones are set offline.
SILENCES = {
    "a host": (400, 1, 3.5),
    "a zone of four": (400, 100, 3.5),
    "most of a small fleet": (90, 90, 3.5),
    "most of a region": (400, 201, 22.0),
    "all of a region": (400, 400, 22.0),
}


@pytest.mark.parametrize(("count", "silent", "expected"), SILENCES.values(), ids=SILENCES.keys())
def test_the_silence_of_most_members_is_unconfirmed_for_a_while(tracker, count, silent, expected):
    members, heard = _make_members(count, silent)
    for each in members:
        tracker.observe(msgspec.structs.replace(observation(), address=each.address), 100.0)
    now, changes = 100.0, []
    while not changes:
        now += 0.5
        for report in heard:
            tracker.observe(report, now)
        changes = tracker.evaluate(members, now)
    assert (now - 100.0, len(changes)) == (expected, silent)


def test_members_that_come_back_while_their_silence_is_unconfirmed_never_were_offline(tracker):
    members, _ = _make_members(400, 400)
    for half_second in range(200, 240):
        now = half_second / 2
        # From second 108 on they report again, forty more each half second.
        back = members[: max(0, (half_second - 216) * 40)] if now > 100.0 else members
        for each in back:
            tracker.observe(msgspec.structs.replace(observation(), address=each.address), now)
        assert tracker.evaluate(members, now) == []
