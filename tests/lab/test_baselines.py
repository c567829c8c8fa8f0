"""The baselines place flows in the way that their names say."""

from __future__ import annotations

import random
from collections import Counter
from ipaddress import IPv4Network

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.outcomes import DropReason
from jasperwalk.config.rendering import render
from jasperwalk.config.table_entries import AdminState, MemberEntry, OperatingStatus, ServiceEntry
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.messages.codec import Decoder
from jasperwalk.messages.datagrams import DatagramMessage, SealedDatagram
from jasperwalk.messages.proxy_protocol import encode_header
from jasperwalk_lab.baselines.flow_table import FlowTableCore
from jasperwalk_lab.baselines.placements import LeastReportedIndex, RoundRobinIndex
from jasperwalk_lab.example import load_example

SERVICE = 7
VIP = Endpoint("127.1.0.1", 443)
INITIAL = (b"\xc0\x00\x00\x00\x01\x08" + bytes(8)).ljust(1200, b"\x00")
SHORT = (b"\x40" + bytes(17)).ljust(100, b"\x01")


def member(number, weight=100, status=OperatingStatus.ONLINE):
    address = Endpoint(f"127.0.0.{number}", 7001)
    host = f"host-{number}"
    return MemberEntry(address, SERVICE, host, "z", weight, 4, AdminState.ENABLED, status, 1)


def table_of(*members):
    example = load_example("zagreb")
    rendered = render(example.template, example.tenants[0])[0]
    service = ServiceEntry(
        SERVICE,
        rendered.name,
        "tenant",
        VIP,
        rendered.objective,
        rendered.limits,
        rendered.health_monitor,
    )
    table = FollowerTable()
    table.replace(1, [service, *members])
    return table


def hosts(index, keys):
    pairs = [index.candidates(SERVICE, key.to_bytes(8)) for key in keys]
    assert all(pair.second is None for pair in pairs)
    return [pair.first.address.host for pair in pairs]


def test_round_robin_takes_turns_by_weight_and_remembers_retransmissions():
    table = table_of(member(1), member(2, weight=200))
    index = RoundRobinIndex(table, random.Random(1))
    first = hosts(index, range(30))
    assert Counter(first) == {"127.0.0.1": 10, "127.0.0.2": 20}
    assert hosts(index, range(30)) == first


def test_least_reported_uses_the_reports_by_weight():
    loads = {member(1).address: 2.0, member(2).address: 3.0, member(3).address: 9.0}
    table = table_of(member(1), member(2, weight=200), member(3))
    index = LeastReportedIndex(table, random.Random(1), loads)
    assert set(hosts(index, range(10))) == {"127.0.0.2"}
    loads[member(3).address] = 0.0
    assert set(hosts(index, range(10, 20))) == {"127.0.0.3"}
    loads.clear()
    assert len(set(hosts(index, range(20, 80)))) == 3


def flow_table(table):
    core = FlowTableCore(table, [IPv4Network("127.0.0.0/8")], 1e6, 0.0)
    core.accept_new_flows()
    return core


def sent(core, port, payload=SHORT):
    datagram = encode_header(Endpoint("127.9.9.9", port), VIP) + payload
    forward = core.handle(datagram, 0.0)
    message = Decoder(DatagramMessage).decode(forward.data)
    if isinstance(message, SealedDatagram):
        message = Decoder(DatagramMessage).decode(message.datagram)
    return forward.destination[0], message


def test_a_flow_table_keeps_its_flows_over_changes_and_a_fresh_one_does_not():
    before, after = table_of(member(1), member(2)), table_of(member(3), member(4))
    keeps = table_of(member(1, weight=1), member(2, weight=1), member(3, weight=10_000))
    core, fresh = flow_table(before), flow_table(before)
    ports = range(5000, 5040)
    first = [sent(core, port, INITIAL)[0] for port in ports]
    assert set(first) == {"127.0.0.1", "127.0.0.2"}
    assert [sent(fresh, port)[0] for port in ports] == first
    core.table_changed(keeps)
    assert [sent(core, port)[0] for port in ports] == first
    joined = [sent(flow_table(keeps), port)[0] for port in ports]
    assert sum(a != b for a, b in zip(joined, first, strict=True)) > len(ports) / 2
    core.table_changed(after)
    assert {sent(core, port)[0] for port in ports} == {"127.0.0.3", "127.0.0.4"}


def test_flows_of_an_offline_member_move():
    core = flow_table(table_of(member(1)))
    assert sent(core, 5000)[0] == "127.0.0.1"
    offline = member(1, status=OperatingStatus.OFFLINE)
    core.table_changed(table_of(offline, member(2)))
    assert sent(core, 5000)[0] == "127.0.0.2"


def test_an_opening_packet_may_open_a_flow_and_agents_forward_no_packet():
    core = flow_table(table_of(member(1)))
    agent, opening = sent(core, 5000, INITIAL)
    assert (opening.hops, opening.candidates) == (1, [Endpoint(agent, 7001).pack()])
    _, later = sent(core, 5000)
    assert (later.hops, later.candidates, later.payload) == (1, [], SHORT)
    assert (core.counters.new_flows, core.counters.established) == (1, 1)


def test_what_a_flow_table_refuses_is_counted():
    core = flow_table(table_of())
    good = encode_header(Endpoint("127.9.9.9", 5000), VIP)
    elsewhere = encode_header(Endpoint("127.9.9.9", 5000), Endpoint("127.1.0.9", 443))
    cases = {
        b"not a header": DropReason.BAD_PROXY_HEADER,
        good: DropReason.BAD_PROXY_HEADER,
        good + bytes(5000): DropReason.OVERSIZED,
        elsewhere + SHORT: DropReason.UNKNOWN_LISTENER,
        good + SHORT: DropReason.NO_MEMBER,
    }
    assert {data: core.handle(data, 0.0) for data in cases} == cases
    assert sum(core.counters.dropped.values()) == len(cases)
    cold = FlowTableCore(table_of(), [IPv4Network("127.0.0.0/8")], 1e6, 0.0)
    assert cold.handle(good + SHORT, 0.0) is DropReason.NO_FRESH_TABLE
    assert sum(cold.counters.dropped.values()) == 1
