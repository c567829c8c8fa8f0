"""The platform's list: invalid lists and entries, and the effects of lag and missing hosts."""

import json

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.config.member_states import PlatformState
from jasperwalk.config.table_entries import AdminState, MemberEntry, OperatingStatus
from jasperwalk.membership.platform import (
    InvalidPlatformList,
    PlatformReconciler,
    ReconcilerConfig,
    parse_platform_list,
)

HOSTS = ("h1", "h2", "h3", "h4")


def machine(host: str, state: str = "live", address: str = "127.0.0.1:7000") -> dict:
    return {"host": host, "address": address, "zone": "a", "state": state}


def document(version: int, *machines: dict) -> bytes:
    return json.dumps({"version": version, "machines": machines}).encode()


def members() -> list[MemberEntry]:
    return [
        MemberEntry(
            address=Endpoint("127.0.0.1", 7000 + number),
            service_id=1,
            host=host,
            zone="a",
            weight=1,
            slots=4,
            admin_state=AdminState.ENABLED,
            operating_status=OperatingStatus.ONLINE,
            incarnation=1,
        )
        for number, host in enumerate(HOSTS)
    ]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"[" * 100_000,
        b'{"machines": []}',
        b'{"machines": {}, "version": 1}',
        b'{"machines": [], "version": "1"}',
        document(1, machine("h", state="gone")),
        document(1, machine("h", address="nowhere:1")),
        document(1, {"host": "h"}),
    ],
)
def test_lists_that_do_not_parse_are_typed_errors(data: bytes) -> None:
    with pytest.raises(InvalidPlatformList):
        parse_platform_list(data)


@pytest.mark.parametrize(
    "entry",
    [
        json.dumps(machine("h2", state="gone")).encode(),
        json.dumps(machine("h2", address="nowhere:1")).encode(),
        json.dumps({"host": "h2"}).encode(),
        json.dumps({**machine("h2"), "zone": 7}).encode(),
        json.dumps({**machine("h2"), "state": None}).encode(),
        json.dumps(machine("h2")).encode().replace(b"h2", b"\xff\xfe"),
        b"7",
        b"null",
        b'"h2"',
        b"[]",
    ],
)
def test_an_entry_that_cannot_be_read_names_no_host_and_the_others_hold(entry: bytes) -> None:
    good = [json.dumps(machine(host)).encode() for host in ("h1", "h3")]
    data = b'{"version": 4, "machines": [%s, %s, %s]}' % (good[0], entry, good[1])
    parsed = parse_platform_list(data)
    assert [each.host for each in parsed.machines] == ["h1", "h3"]
    assert parsed.unreadable_entries == 1
    assert parsed.first_reason


POLLS = {
    "a leaving host is drained at once": (
        [(1, "h1 h2 h3 h4"), (2, "-h1 h2 h3 h4")],
        [{"h1": "e", "h2": "e", "h3": "e", "h4": "e"}, {"h1": "d"}],
    ),
    "an unchanged list changes nothing": (
        [(1, "h1 h2 h3 -h4"), (1, "h1 h2 h3 -h4")],
        [{"h1": "e", "h2": "e", "h3": "e", "h4": "d"}, {}],
    ),
    "an old list is ignored": (
        [(5, "-h1 h2 h3 h4"), (4, "h1 h2 h3 h4"), (6, "h1 h2 h3 h4")],
        [{"h1": "d", "h2": "e", "h3": "e", "h4": "e"}, {}, {"h1": "e"}],
    ),
    "a missing host is drained after three polls": (
        [(1, "h1 h2 h3 h4"), (2, "h2 h3 h4"), (3, "h2 h3 h4"), (4, "h2 h3 h4"), (5, "h1 h2 h3 h4")],
        [{"h1": "e", "h2": "e", "h3": "e", "h4": "e"}, {}, {}, {"h1": "d"}, {"h1": "e"}],
    ),
    "a host that is listed again is counted from zero": (
        [(1, "h2 h3 h4"), (2, "h2 h3 h4"), (3, "h1 h2 h3 h4"), (4, "h2 h3 h4"), (5, "h2 h3 h4")],
        [{"h2": "e", "h3": "e", "h4": "e"}, {}, {"h1": "e"}, {}, {}],
    ),
    "an empty list drains nothing": ([(1, ""), (2, ""), (3, ""), (4, "")], [{}, {}, {}, {}]),
    "unknown machines are ignored": ([(1, "h9 -h8 -h1")], [{"h1": "d"}]),
    "a host listed twice is leaving": ([(1, "-h1 h1")], [{"h1": "d"}]),
}


@pytest.mark.parametrize(("polls", "expected"), POLLS.values(), ids=POLLS.keys())
def test_polls(polls: list, expected: list) -> None:
    reconciler = PlatformReconciler(ReconcilerConfig())
    for (version, hosts), changes in zip(polls, expected, strict=True):
        machines = [
            machine(each.lstrip("-"), "leaving" if each.startswith("-") else "live")
            for each in hosts.split()
        ]
        platform_list = parse_platform_list(document(version, *machines))
        states = {"e": AdminState.ENABLED, "d": AdminState.DRAINING}
        wanted = [PlatformState(host, states[state]) for host, state in changes.items()]
        assert reconciler.reconcile(platform_list, members()) == wanted


def test_a_lost_proposal_is_made_again() -> None:
    reconciler = PlatformReconciler(ReconcilerConfig())
    platform_list = parse_platform_list(document(1, machine("h1", "leaving")))
    first = reconciler.reconcile(platform_list, members())
    assert reconciler.reconcile(platform_list, members()) == []
    reconciler.repeat([state.host for state in first])
    assert reconciler.reconcile(platform_list, members()) == first
