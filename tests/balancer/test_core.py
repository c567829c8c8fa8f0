from ipaddress import IPv4Network

import msgspec
import pytest
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes
from hypothesis import given
from hypothesis import strategies as st

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.core import MAX_DATAGRAM_BYTES, BalancerCore
from jasperwalk.balancer.outcomes import DropReason, Forward
from jasperwalk.balancer.refusals import REFUSAL_SECONDS
from jasperwalk.config.table_entries import (
    AdminState,
    HealthMonitor,
    KeyEntry,
    KeyPurpose,
    MemberEntry,
    MemberKey,
    Objective,
    OperatingStatus,
    ServiceEntry,
    ServiceLimits,
)
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.messages import codec
from jasperwalk.messages.datagram_seal import DatagramSeal
from jasperwalk.messages.datagrams import DatagramMessage, ForwardedDatagram, SealedDatagram
from jasperwalk.messages.proxy_protocol import HEADER_LENGTH, HEADER_PREFIX
from jasperwalk.routing.connection_ids import (
    ConnectionIdCodec,
    RoutableId,
    UnusableConnectionIdKey,
)

KEY = KeyEntry(KeyPurpose.CONNECTION_ID, 1, bytes(range(16)), True)
CALLER = Endpoint("127.9.9.9", 40_000)
UREDNIK = Endpoint("127.1.0.1", 443)
EXPORT = Endpoint("127.1.0.2", 443)
EMPTY = Endpoint("127.1.0.3", 443)
OUTSIDE = Endpoint("127.1.0.4", 443)
UREDNIK_ID, EXPORT_ID, EMPTY_ID, OUTSIDE_ID = 300, 70_000, 5, 6
AGENT = Endpoint("127.0.0.1", 7001)
REVISION = 70_000
NOW = 50.0
ESTABLISHED_SIZE = 100
CLIENT_CID = b"\x01\x02\x03\x04\x05\x06\x07\x08"


def make_service(service_id, listener):
    limits = ServiceLimits(16, 1000, 30_000, 10_000)
    monitor = HealthMonitor("/health", 1000, 500, 3)
    name = f"service-{service_id}"
    return ServiceEntry(
        service_id, name, "tenant", listener, Objective.LEAST_IMBALANCE, limits, monitor
    )


def make_member(host, service_id):
    return MemberEntry(
        address=Endpoint(host, 7001),
        service_id=service_id,
        host=host,
        zone="z",
        weight=100,
        slots=4,
        admin_state=AdminState.ENABLED,
        operating_status=OperatingStatus.ONLINE,
        incarnation=1,
    )


def make_table():
    entries = [
        make_service(UREDNIK_ID, UREDNIK),
        make_service(EXPORT_ID, EXPORT),
        make_service(EMPTY_ID, EMPTY),
        make_service(OUTSIDE_ID, OUTSIDE),
        *(make_member(f"127.0.0.{number}", UREDNIK_ID) for number in (1, 2, 3)),
        make_member("127.0.0.9", EXPORT_ID),
        make_member("192.0.2.1", OUTSIDE_ID),
        KEY,
    ]
    table = FollowerTable()
    table.replace(REVISION, entries)
    return table


def make_core(table=None, fresh=True, new_flows_per_second=1e6):
    networks = [IPv4Network("127.0.0.0/8")]
    core = BalancerCore(table or make_table(), networks, new_flows_per_second, NOW)
    if fresh:
        core.accept_new_flows()
    return core


def address_block(listener):
    ports = CALLER.port.to_bytes(2, "big") + listener.port.to_bytes(2, "big")
    return CALLER.pack()[:4] + listener.pack()[:4] + ports


def wrap(payload, listener=UREDNIK):
    return HEADER_PREFIX + address_block(listener) + payload


def connection_id(address=AGENT, service_id=UREDNIK_ID, key=KEY):
    return ConnectionIdCodec([key]).encode(RoutableId(address, service_id, 1), b"nonce")


def short(cid, size=ESTABLISHED_SIZE):
    return (b"\x40" + cid).ljust(size, b"\x99")


def long(first_octet=0xC0, cid=CLIENT_CID, version=b"\x00\x00\x00\x01", size=1200):
    return (bytes([first_octet]) + version + bytes([len(cid)]) + cid).ljust(size, b"\x99")


def expected(listener, service_id, candidates, payload):
    block = address_block(listener)
    return ForwardedDatagram(1, service_id, REVISION, 0, block, candidates, payload)


def decode(data):
    return codec.Decoder(DatagramMessage).decode(data)


@pytest.mark.parametrize("size", [19, 41, 42, 273, 274, 1200, 1452, 2048])
def test_an_established_flow_goes_to_its_agent_in_the_bytes_of_the_general_encoder(size):
    core = make_core(fresh=False)
    payload = short(connection_id(), size)
    wanted = expected(UREDNIK, UREDNIK_ID, [], payload)
    # The first packet takes the slow path, the second the fast one.
    for _ in range(2):
        outcome = core.handle(wrap(payload), NOW)
        assert outcome == Forward(("127.0.0.1", 7001), codec.encode(wanted))
        assert decode(outcome.data) == wanted
    assert core.counters.established == 2


@pytest.mark.parametrize("revision", [0, 23, 24, 255, 256, 65_535, 65_536, 2**32 - 1, 2**32])
@pytest.mark.parametrize("service_id", [1, 23, 24, 255, 256, 65_536, 2**24 - 1])
def test_prefixes_equal_the_general_encoder(revision, service_id):
    table = FollowerTable()
    table.replace(revision, [make_service(service_id, UREDNIK), KEY])
    payload = short(connection_id(service_id=service_id))
    wanted = ForwardedDatagram(1, service_id, revision, 0, address_block(UREDNIK), [], payload)
    assert make_core(table).handle(wrap(payload), NOW).data == codec.encode(wanted)


def test_the_fast_path_serves_an_agent_that_was_seen_before(monkeypatch):
    core = make_core()
    first = core.handle(GOOD, NOW)
    monkeypatch.setattr(core, "_decide", lambda datagram, now: pytest.fail("long path taken"))
    assert core.handle(GOOD, NOW) == first


def test_many_datagrams_get_the_answers_of_single_ones_in_their_order():
    # Known and new agents, long and short headers: packets for one agent keep their order.
    handshake = wrap(long(0xE0, connection_id(), size=ESTABLISHED_SIZE))
    other = wrap(short(connection_id(Endpoint("127.0.0.2", 7001))))
    datagrams = [handshake, GOOD, wrap(long()), other, b"junk", wrap(short(connection_id(), 200))]
    single = [make_core().handle(datagram, NOW) for datagram in datagrams]
    core = make_core()
    outcomes = core.handle_all(datagrams, NOW)
    assert outcomes.by_agent == {
        ("127.0.0.1", 7001): [single[0].data, single[1].data, single[5].data],
        ("127.0.0.2", 7001): [single[3].data],
    }
    assert outcomes.others == [single[2], DropReason.BAD_PROXY_HEADER]
    assert (core.counters.established, core.counters.new_flows) == (4, 1)


def test_an_agent_that_the_table_does_not_hold_is_reached():
    elsewhere = Endpoint("127.0.0.77", 9000)
    outcome = make_core().handle(wrap(short(connection_id(elsewhere))), NOW)
    assert outcome.destination == ("127.0.0.77", 9000)


@pytest.mark.parametrize("first_octet", [0xC0, 0xD0, 0xE0], ids=["initial", "0-rtt", "handshake"])
def test_a_long_header_with_a_routable_connection_id_goes_to_its_agent(first_octet):
    payload = long(first_octet, cid=connection_id(), size=ESTABLISHED_SIZE)
    outcome = make_core(fresh=False).handle(wrap(payload), NOW)
    assert outcome.destination == ("127.0.0.1", 7001)
    assert decode(outcome.data) == expected(UREDNIK, UREDNIK_ID, [], payload)


@pytest.mark.parametrize("version", [b"\x00\x00\x00\x01", b"\x0a\x1a\x2a\x3a"])
def test_a_new_flow_carries_two_candidates_and_every_balancer_picks_the_same(version):
    payload = long(version=version)
    first, second = (make_core().handle(wrap(payload), NOW) for _ in range(2))
    assert first == second
    message = decode(first.data)
    candidates = [Endpoint.unpack(packed) for packed in message.candidates]
    assert first.destination == (candidates[0].host, candidates[0].port)
    assert candidates[0] != candidates[1]
    assert {candidate.host for candidate in candidates} <= {"127.0.0.1", "127.0.0.2", "127.0.0.3"}
    wanted = expected(UREDNIK, UREDNIK_ID, message.candidates, payload)
    assert first.data == codec.encode(wanted)


def test_a_new_flow_of_a_pool_of_one_has_one_candidate():
    outcome = make_core().handle(wrap(long(), EXPORT), NOW)
    assert decode(outcome.data).candidates == [Endpoint("127.0.0.9", 7001).pack()]


def test_an_initial_whose_connection_id_names_another_service_stays_in_its_own():
    foreign = connection_id(Endpoint("127.0.0.9", 7001), EXPORT_ID)
    outcome = make_core().handle(wrap(long(cid=foreign)), NOW)
    assert decode(outcome.data).service_id == UREDNIK_ID
    assert outcome.destination[0] != "127.0.0.9"


OTHER_KEY = KeyEntry(KeyPurpose.CONNECTION_ID, 1, bytes(16), True)
OTHER_ROTATION = KeyEntry(KeyPurpose.CONNECTION_ID, 4, bytes(range(16)), True)
GOOD = wrap(short(connection_id()))

DROPS = [
    ("empty", b"", DropReason.BAD_PROXY_HEADER),
    ("header only", GOOD[:HEADER_LENGTH], DropReason.BAD_PROXY_HEADER),
    ("cut header", GOOD[:20], DropReason.BAD_PROXY_HEADER),
    ("other signature", b"X" + GOOD[1:], DropReason.BAD_PROXY_HEADER),
    ("TCP", GOOD[:13] + b"\x11" + GOOD[14:], DropReason.BAD_PROXY_HEADER),
    ("LOCAL command", GOOD[:12] + b"\x20" + GOOD[13:], DropReason.BAD_PROXY_HEADER),
    ("with extensions", GOOD[:15] + b"\x0f" + GOOD[16:], DropReason.BAD_PROXY_HEADER),
    ("too long", GOOD.ljust(MAX_DATAGRAM_BYTES + 1, b"x"), DropReason.OVERSIZED),
    (
        "unknown VIP",
        wrap(short(connection_id()), Endpoint("127.1.0.9", 443)),
        DropReason.UNKNOWN_LISTENER,
    ),
    (
        "unknown port",
        wrap(short(connection_id()), Endpoint("127.1.0.1", 444)),
        DropReason.UNKNOWN_LISTENER,
    ),
    ("cut connection ID", GOOD[: HEADER_LENGTH + 17], DropReason.MALFORMED_PACKET),
    ("nothing after it", GOOD[: HEADER_LENGTH + 18], DropReason.MALFORMED_PACKET),
    ("no fixed bit", wrap(b"\x00" + bytes(60)), DropReason.MALFORMED_PACKET),
    ("cut long header", wrap(b"\xc0\x00\x00"), DropReason.MALFORMED_PACKET),
    ("long connection ID", wrap(long(cid=bytes(21))), DropReason.MALFORMED_PACKET),
    ("retry", wrap(long(0xF0)), DropReason.SERVER_ONLY_PACKET),
    ("routable retry", wrap(long(0xF0, connection_id())), DropReason.SERVER_ONLY_PACKET),
    ("version negotiation", wrap(long(version=bytes(4))), DropReason.SERVER_ONLY_PACKET),
    (
        "rotation without key",
        wrap(short(connection_id(key=OTHER_ROTATION))),
        DropReason.UNROUTABLE_SHORT,
    ),
    ("another key", wrap(short(connection_id(key=OTHER_KEY))), DropReason.SERVICE_MISMATCH),
    (
        "another service",
        wrap(short(connection_id(service_id=EXPORT_ID))),
        DropReason.SERVICE_MISMATCH,
    ),
    (
        "handshake of another service",
        wrap(long(0xE0, connection_id(service_id=EXPORT_ID))),
        DropReason.SERVICE_MISMATCH,
    ),
    (
        "outside the networks",
        wrap(short(connection_id(Endpoint("192.0.2.1", 7001)))),
        DropReason.BAD_AGENT_ADDRESS,
    ),
    ("candidate outside", wrap(long(), OUTSIDE), DropReason.BAD_AGENT_ADDRESS),
    ("0-rtt", wrap(long(0xD0)), DropReason.UNROUTABLE_ZERO_RTT),
    ("handshake", wrap(long(0xE0)), DropReason.UNROUTABLE_HANDSHAKE),
    ("7-byte connection ID", wrap(long(cid=bytes(7))), DropReason.SHORT_CONNECTION_ID),
    ("initial of 1199 bytes", wrap(long(size=1199)), DropReason.SMALL_INITIAL),
    (
        "small unknown version",
        wrap(long(version=b"\x0a\x0a\x0a\x0a", size=1199)),
        DropReason.SMALL_INITIAL,
    ),
    ("no member", wrap(long(), EMPTY), DropReason.NO_MEMBER),
]


@pytest.mark.parametrize(
    ("datagram", "reason"), [row[1:] for row in DROPS], ids=[row[0] for row in DROPS]
)
def test_what_is_dropped_is_counted_under_its_reason(datagram, reason):
    core = make_core()
    core.handle(GOOD, NOW)
    assert core.handle(datagram, NOW) is reason
    assert core.counters.dropped == dict.fromkeys(DropReason, 0) | {reason: 1}
    assert (core.counters.established, core.counters.new_flows) == (1, 0)


def test_a_routable_connection_id_with_port_zero_is_dropped():
    plain = bytes([127, 0, 0, 1, 0, 0]) + UREDNIK_ID.to_bytes(3, "big") + b"\x00\x01nonce"
    encryptor = Cipher(algorithms.AES(KEY.secret), modes.ECB()).encryptor()
    forged = connection_id()[:1] + encryptor.update(plain)
    assert make_core().handle(wrap(short(forged)), NOW) is DropReason.BAD_AGENT_ADDRESS


def test_every_reason_is_provoked():
    others = {DropReason.NO_FRESH_TABLE, DropReason.NEW_FLOW_LIMIT}
    assert {row[2] for row in DROPS} | others == set(DropReason)


def test_new_flows_wait_for_a_fresh_follower_and_established_ones_do_not():
    core = make_core(fresh=False)
    assert core.handle(wrap(long()), NOW) is DropReason.NO_FRESH_TABLE
    assert isinstance(core.handle(GOOD, NOW), Forward)
    core.accept_new_flows()
    assert isinstance(core.handle(wrap(long()), NOW), Forward)


def test_new_flows_over_the_limit_are_shed_and_established_ones_are_not():
    core = make_core(new_flows_per_second=100)
    outcomes = [core.handle(wrap(long()), NOW) for _ in range(30)]
    assert outcomes.count(DropReason.NEW_FLOW_LIMIT) == 20
    assert all(isinstance(core.handle(GOOD, NOW), Forward) for _ in range(100))
    assert isinstance(core.handle(wrap(long()), NOW + 0.011), Forward)
    assert core.handle(wrap(long()), NOW + 0.011) is DropReason.NEW_FLOW_LIMIT


def test_a_changed_table_is_in_force_for_the_next_datagram():
    table = make_table()
    core = make_core(table)
    gone = core.handle(wrap(long()), NOW).destination[0]
    table.update(REVISION + 1, [], [MemberKey(Endpoint(gone, 7001))])
    core.table_changed(table)
    outcome = core.handle(wrap(long()), NOW)
    assert outcome.destination[0] != gone
    assert decode(outcome.data).revision == REVISION + 1
    assert decode(core.handle(GOOD, NOW).data).revision == REVISION + 1


def test_an_unusable_key_leaves_the_former_keys_in_use():
    table = make_table()
    core = make_core(table)
    table.update(REVISION + 1, [KeyEntry(KeyPurpose.CONNECTION_ID, 2, b"short", True)], [])
    with pytest.raises(UnusableConnectionIdKey):
        core.table_changed(table)
    assert decode(core.handle(GOOD, NOW).data).revision == REVISION + 1


FUZZED = make_core()


@given(
    st.one_of(
        st.binary(max_size=100),
        st.binary(max_size=1300).map(wrap),
        st.binary(max_size=60).map(lambda tail: wrap(b"\x40" + connection_id()[:3] + tail)),
        st.builds(
            lambda index, bit: GOOD[:index] + bytes([GOOD[index] ^ bit]) + GOOD[index + 1 :],
            st.integers(0, HEADER_LENGTH + 20),
            st.sampled_from([1, 2, 4, 8, 16, 32, 64, 128]),
        ),
    )
)
def test_any_bytes_are_dropped_or_stay_within_the_service_of_their_listener(datagram):
    outcome = FUZZED.handle(datagram, NOW)
    if isinstance(outcome, DropReason):
        return
    message = decode(outcome.data)
    listeners = {UREDNIK: UREDNIK_ID, EXPORT: EXPORT_ID}
    target = Endpoint.unpack(message.address_block[4:8] + message.address_block[10:12])
    assert message.service_id == listeners[target]
    assert message.payload == datagram[HEADER_LENGTH:]
    assert outcome.destination[0].startswith("127.")


def test_new_flows_alone_are_sealed_and_follow_the_rotation_of_the_key():
    old, new = (KeyEntry(KeyPurpose.DATAGRAM, n, bytes([n]) * 16, n == 0) for n in (0, 1))
    table = make_table()
    core = make_core(table)
    plain = core.handle(wrap(long()), NOW)
    for keys in ([old], [old, new], [msgspec.structs.replace(new, active=True)]):
        table.update(table.revision + 1, keys, [])
        core.table_changed(table)
        sealed = decode(core.handle(wrap(long()), NOW).data)
        active = [key for key in keys if key.active]
        assert isinstance(sealed, SealedDatagram)
        assert sealed.rotation == active[0].rotation
        assert DatagramSeal(active).accepts(sealed)
        assert decode(sealed.datagram).candidates == decode(plain.data).candidates
        for _ in range(2):
            assert isinstance(decode(core.handle(GOOD, NOW).data), ForwardedDatagram)


def test_a_new_flow_avoids_for_a_while_every_agent_that_refused():
    core = make_core()
    opening = wrap(long())
    usual = core.handle(opening, NOW)
    core.agent_refused(usual.destination, NOW)
    second = core.handle(opening, NOW + 0.5)
    assert second.destination == usual.alternative
    core.agent_refused(second.destination, NOW + 0.5)
    third = core.handle(opening, NOW + 0.5)
    assert third.destination not in (usual.destination, second.destination)
    core.agent_refused(third.destination, NOW + 0.5)
    assert core.handle(opening, NOW + 0.5) == usual
    assert core.handle(opening, NOW + REFUSAL_SECONDS).destination == usual.destination


def test_a_refusal_has_no_say_over_established_flows_nor_over_the_only_candidate():
    core = make_core()
    for datagram in (wrap(short(connection_id())), wrap(long(), EXPORT)):
        usual = core.handle(datagram, NOW)
        core.agent_refused(usual.destination, NOW)
        assert core.handle(datagram, NOW) == usual


@pytest.mark.parametrize(
    ("status", "to_its_agent"),
    [
        (OperatingStatus.ONLINE, True),
        (OperatingStatus.UNREGISTERED, True),
        (OperatingStatus.UNHEALTHY, True),
        (OperatingStatus.OFFLINE, False),
    ],
)
def test_only_the_flows_of_an_offline_agent_go_to_a_substitute(status, to_its_agent):
    table = make_table()
    own = make_member("127.0.0.2", UREDNIK_ID)
    changed = msgspec.structs.replace(own, operating_status=status)
    table.update(table.revision + 1, [changed], [])
    core = make_core(table)
    packet = wrap(short(connection_id(own.address)))
    for _ in range(2):
        destination = core.handle(packet, NOW).destination
        assert (destination == (own.address.host, own.address.port)) == to_its_agent
        assert destination[0] in {"127.0.0.1", "127.0.0.2", "127.0.0.3"}
    assert core.counters.witnessed == (0 if to_its_agent else 2)
