"""New flows from stale and newer balancers, and at agents that accept no new work."""

import random
from ipaddress import IPv4Network

import msgspec
import pytest

from jasperwalk.agent.datagram_filter import DropReason
from jasperwalk.agent.handover import ANSWER_SECONDS
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.slow_start import MAX_DIVERTED_SHARE, SlowStart
from jasperwalk.balancer.core import BalancerCore
from jasperwalk.config.table_entries import AdminState, OperatingStatus
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.messages.codec import Decoder
from jasperwalk.messages.datagrams import ForwardedDatagram
from jasperwalk.messages.proxy_protocol import encode_header

REVISION = 5
"""Revision of the views that `helpers.make_view` builds."""
FLOWS = 200
SEED = 7_331


def _members(helpers, count, **changes):
    addresses = [helpers.Endpoint("127.0.0.1", 7_001 + number) for number in range(count)]
    own = msgspec.structs.replace(helpers.member_entry(addresses[0]), **changes)
    return [own, *(helpers.member_entry(address) for address in addresses[1:])]


def _connection_ids():
    print("seed", SEED)
    source = random.Random(SEED)
    return [source.randbytes(8) for _ in range(FLOWS)]


def _endpoint(helpers, certificate, members, own=0, fresh=True, slow_start_ms=0):
    service = helpers.service_entry()
    limits = msgspec.structs.replace(service.limits, slow_start_ms=slow_start_ms)
    service = msgspec.structs.replace(service, limits=limits)
    address = members[own].address
    view = ServiceView.build(address, REVISION, 1, [service, *members, *helpers.KEYS])
    endpoint = helpers.make_endpoint(certificate, view)
    endpoint.table_fresh = fresh
    return endpoint


def _open(helpers, endpoint, connection_id, now=0.0, **fields):
    """Return the port to which a new flow was handed over, with the datagram; None if taken."""
    before = endpoint.open_flows
    datagram = helpers.forwarded(helpers.initial_packet(connection_id), **fields)
    endpoint.datagram_received(datagram, now)
    handed = [out for out in endpoint.take_outgoing() if isinstance(out, helpers.ToAgent)]
    assert len(handed) + endpoint.open_flows - before + endpoint.drops.total() == 1
    endpoint.drops.clear()
    if not handed:
        return None, endpoint.open_flows > before
    return handed[0].address.port, Decoder(ForwardedDatagram).decode(handed[0].data)


def test_an_agent_that_a_stale_balancer_chose_decides_as_a_balancer_of_its_own_revision(
    helpers, certificate
):
    members = _members(helpers, 5)
    table = FollowerTable()
    table.replace(REVISION, [helpers.service_entry(), *members, *helpers.KEYS])
    balancer = BalancerCore(table, [IPv4Network("127.0.0.0/8")], 1e6, 0.0)
    balancer.accept_new_flows()
    header = encode_header(helpers.CALLER, helpers.VIP)
    endpoints = [_endpoint(helpers, certificate, members, own) for own in range(len(members))]
    for connection_id in _connection_ids():
        forward = balancer.handle(header + helpers.initial_packet(connection_id), 0.0)
        candidates = Decoder(ForwardedDatagram).decode(forward.data).candidates
        for member, endpoint in zip(members, endpoints, strict=True):
            wrong = (member.address, member.address)
            target, result = _open(helpers, endpoint, connection_id, candidates=wrong, revision=4)
            if member.address.pack() in candidates:
                assert (target, result) == (None, True)
            else:
                assert target == forward.destination[1]
                assert (result.revision, result.hops) == (REVISION, 1)
                assert result.candidates == candidates


TAKES_NO_NEW_WORK = {
    "weight 0": {"weight": 0},
    "draining": {"admin_state": AdminState.DRAINING},
    "offline": {"operating_status": OperatingStatus.OFFLINE},
}


@pytest.mark.parametrize("fresh", [True, False])
@pytest.mark.parametrize("case", TAKES_NO_NEW_WORK)
def test_a_member_that_takes_no_new_work_takes_no_flow_of_a_stale_balancer(
    helpers, certificate, case, fresh
):
    members = _members(helpers, 3, **TAKES_NO_NEW_WORK[case])
    endpoint = _endpoint(helpers, certificate, members, fresh=fresh)
    named = (members[0].address, members[1].address)
    targets = {
        _open(helpers, endpoint, connection_id, candidates=named, revision=4)[0]
        for connection_id in _connection_ids()
    }
    assert targets == {7_002, 7_003}
    alone = _endpoint(helpers, certificate, members[:1], fresh=fresh)
    assert _open(helpers, alone, b"12345678", candidates=named, revision=4) == (None, True)


def test_a_removed_member_hands_on_and_with_its_service_removed_it_refuses(helpers, certificate):
    members = _members(helpers, 2)
    named = (members[0].address,)
    keys_alone = ServiceView.build(members[0].address, REVISION + 1, 1, helpers.KEYS)
    for pool, expected in ((members, 7_002), (members[:1], None)):
        endpoint = _endpoint(helpers, certificate, pool)
        endpoint.set_view(endpoint._view.followed_by(keys_alone))
        fields = {"candidates": named, "revision": REVISION}
        assert _open(helpers, endpoint, b"12345678", **fields)[0] == expected
        handed_over = helpers.forwarded(helpers.initial_packet(b"abcdefgh"), hops=1, revision=6)
        endpoint.datagram_received(handed_over, 0.0)
        assert endpoint.drops == {DropReason.REMOVED: 1}
        assert endpoint.open_flows == 0


TRUSTED = {
    # own changes, candidates by port, sender's revision, own table fresh, hops -> target
    "newer balancer, own table says draining": ("draining", (7_001, 7_002), 6, True, 0, None),
    "newer balancer, own table says weight 0": ("weight 0", (7_001, 7_002), 6, False, 0, None),
    "newer agent chose this one": ("draining", (7_001, 7_002), 6, True, 1, None),
    "same revision": (None, (7_001, 7_009), 5, True, 0, None),
    "older balancer, but own table stale too": (None, (7_001, 7_009), 4, False, 0, None),
    "second hop for a newer table": ("draining", (7_001,), 4, True, 1, 7_002),
    "no second hop for the same table": ("draining", (7_001,), 5, True, 1, None),
    "never a third hop": ("draining", (7_001,), 4, True, 2, None),
}


@pytest.mark.parametrize("case", TRUSTED)
def test_which_table_is_followed(helpers, certificate, case):
    changes, ports, revision, fresh, hops, expected = TRUSTED[case]
    members = _members(helpers, 2, **TAKES_NO_NEW_WORK.get(changes, {}))
    endpoint = _endpoint(helpers, certificate, members, fresh=fresh)
    named = tuple(helpers.Endpoint("127.0.0.1", port) for port in ports)
    target, result = _open(
        helpers, endpoint, b"12345678", candidates=named, revision=revision, hops=hops
    )
    assert target == expected
    assert expected is not None or result is True


def test_a_stopping_agent_follows_a_newer_balancer_to_a_member_it_does_not_know(
    helpers, certificate
):
    endpoint = _endpoint(helpers, certificate, _members(helpers, 2))
    view = ServiceView(**{**vars(endpoint._view), "stopping": True})
    endpoint.set_view(view)
    named = (helpers.AGENT, helpers.Endpoint("127.0.0.1", 7_009))
    target, handed = _open(helpers, endpoint, b"12345678", candidates=named, revision=6)
    assert (target, handed.revision, handed.hops) == (7_009, 6, 1)
    assert handed.candidates == [address.pack() for address in named]


@pytest.mark.parametrize("revisions", [(4, 5, 6), (6, 5, 4), (5, 5, 5), (4, 6, 5)])
@pytest.mark.parametrize("case", [None, *TAKES_NO_NEW_WORK])
def test_no_datagram_loops(helpers, certificate, case, revisions):
    sender, *own = revisions
    members = _members(helpers, 2, **TAKES_NO_NEW_WORK.get(case, {}))
    others = [members[0], msgspec.structs.replace(members[1], weight=0)]
    endpoints = {}
    for number, pool in enumerate((members, others)):
        endpoint = _endpoint(helpers, certificate, pool, own=number)
        endpoint.set_view(ServiceView(**{**vars(endpoint._view), "revision": own[number]}))
        endpoints[members[number].address.port] = endpoint
    for connection_id in _connection_ids()[:20]:
        for now in (0.0, 1.0):  # a retransmission too
            payload = helpers.initial_packet(connection_id)
            named = (members[0].address, members[1].address)
            datagram = helpers.forwarded(payload, candidates=named, revision=sender)
            hops, port = 0, 7_001
            while port is not None:
                endpoint = endpoints[port]
                endpoint.datagram_received(datagram, now)
                outgoing = endpoint.take_outgoing()
                port = outgoing[0].address.port if outgoing else None
                datagram = outgoing[0].data if outgoing else b""
                hops += 1
            assert hops <= 3
    assert all(not endpoint.drops for endpoint in endpoints.values())
    assert sum(endpoint.open_flows for endpoint in endpoints.values()) == 20


def test_slow_start_diverts_a_falling_share_and_never_refuses(helpers, certificate):
    members = _members(helpers, 3)
    endpoint = _endpoint(helpers, certificate, members, slow_start_ms=10_000)
    endpoint.slow_start.start(100.0)
    named = (members[0].address, members[1].address)
    fields = {"candidates": named, "revision": REVISION}
    passed_on = []
    for now in (100.0, 105.0, 109.9, 110.0):
        source = random.Random(f"{SEED}-{now}")
        results = [
            _open(helpers, endpoint, source.randbytes(8), now, **fields) for _ in range(FLOWS)
        ]
        passed_on.append(sum(target is not None for target, _ in results))
        assert all(result is not False for _, result in results)
    first, half, last, warm = (count / FLOWS for count in passed_on)
    assert first > MAX_DIVERTED_SHARE - 0.1
    assert first < 1
    assert abs(half - MAX_DIVERTED_SHARE / 2) < 0.1
    assert last < 0.05
    assert warm == 0
    # A flow that was handed over stays, and so does every flow of an agent that is alone.
    assert _open(helpers, endpoint, b"12345678", 100.0, hops=1, **fields) == (None, True)
    alone = _endpoint(helpers, certificate, members[:1], slow_start_ms=10_000)
    alone.slow_start.start(100.0)
    for connection_id in _connection_ids():
        assert _open(helpers, alone, connection_id, 100.0, **fields) == (None, True)


def test_retransmissions_stay_with_the_agent_that_slow_start_chose_until_it_should_have_answered(
    helpers, certificate
):
    endpoint = _endpoint(helpers, certificate, _members(helpers, 3), slow_start_ms=10_000)
    endpoint.slow_start.start(0.0)
    handed_on = 0
    for connection_id in _connection_ids():
        datagram = helpers.forwarded(
            helpers.initial_packet(connection_id), (helpers.AGENT, helpers.OTHER_AGENT)
        )
        targets = []
        before = endpoint.open_flows
        for now in (0.0, ANSWER_SECONDS / 2, ANSWER_SECONDS - 0.01):
            endpoint.datagram_received(datagram, now)
            handed = [out for out in endpoint.take_outgoing() if isinstance(out, helpers.ToAgent)]
            targets.append([out.address for out in handed])
        assert targets == [targets[0]] * 3
        assert endpoint.open_flows == before + (not targets[0])
        handed_on += bool(targets[0])
        for now in (ANSWER_SECONDS, 5.0, 9.0):  # nobody answered: the agent itself takes it
            endpoint.datagram_received(datagram, now)
            assert endpoint.take_outgoing() == []
            assert endpoint.open_flows == before + 1
    assert handed_on > FLOWS / 2
    slow_start = SlowStart()
    assert not slow_start.diverts(b"12345678", 10.0, 0.0)


@pytest.mark.parametrize(("count", "others"), [(2, 1), (5, 2)])
def test_a_draining_agent_tries_the_other_candidate_when_the_first_is_silent(
    helpers, certificate, count, others
):
    members = _members(helpers, count, admin_state=AdminState.DRAINING)
    endpoint = _endpoint(helpers, certificate, members)
    for connection_id in _connection_ids()[:20]:
        times = [at + wait for at in (0.0, 1.5, 3.0, 4.5) for wait in (0.0, ANSWER_SECONDS / 2)]
        targets = [_open(helpers, endpoint, connection_id, now)[0] for now in times]
        assert targets[0::2] == targets[1::2]
        assert len(set(targets)) == others
        assert targets[0:4] == targets[4:8]


def test_a_busy_agent_hands_a_flow_on_once_and_only_to_a_member_with_a_free_slot(
    helpers, certificate
):
    members = _members(helpers, 2)
    endpoint = _endpoint(helpers, certificate, members)
    other = members[1].address
    for prefers_peer, hops, expected in ((False, 0, None), (True, 0, other.port), (True, 1, None)):
        asked = []
        endpoint.prefers_peer = lambda member, asked=asked, answer=prefers_peer: (
            asked.append(member) or answer
        )
        connection_id = bytes([prefers_peer, hops]) * 4
        fields = {"candidates": (members[0].address, other), "hops": hops}
        assert _open(helpers, endpoint, connection_id, **fields)[0] == expected
        assert asked == ([] if hops else [other])
        if expected is not None:  # the rest of the caller's first flight follows
            endpoint.prefers_peer = lambda _: False
            assert _open(helpers, endpoint, connection_id, **fields)[0] == expected
