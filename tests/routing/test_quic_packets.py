import pytest

from jasperwalk.routing.quic_packets import PacketHeader, PacketKind, classify

CID = bytes(range(8))
V1 = b"\x00\x00\x00\x01"
V2 = b"\x6b\x33\x43\xcf"


def long_header(first_octet, version, connection_id=CID, rest=b"\x00" * 20):
    return bytes([first_octet]) + version + bytes([len(connection_id)]) + connection_id + rest


@pytest.mark.parametrize(
    ("payload", "kind"),
    [
        (long_header(0xC0, V1), PacketKind.INITIAL),
        (long_header(0xD0, V1), PacketKind.ZERO_RTT),
        (long_header(0xE0, V1), PacketKind.HANDSHAKE),
        (long_header(0xF0, V1), PacketKind.SERVER_ONLY),
        (long_header(0xC0, V2), PacketKind.SERVER_ONLY),
        (long_header(0xD0, V2), PacketKind.INITIAL),
        (long_header(0xE0, V2), PacketKind.ZERO_RTT),
        (long_header(0xF0, V2), PacketKind.HANDSHAKE),
        (long_header(0x80, b"\x0a\x0a\x0a\x0a"), PacketKind.UNKNOWN_VERSION),
        (long_header(0x80, b"\x00\x00\x00\x00"), PacketKind.SERVER_ONLY),
    ],
)
def test_long_headers(payload, kind):
    assert classify(payload) == PacketHeader(kind, CID)


def test_a_short_header_has_a_connection_id_of_17_bytes():
    assert classify(b"\x41" + bytes(range(30))) == PacketHeader(PacketKind.SHORT, bytes(range(17)))


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x40" + bytes(17),
        b"\x00" + bytes(40),
        b"\xc0\x00\x00\x00",
        b"\xc0" + V1,
        long_header(0xC0, V1, rest=b"")[:-1],
        long_header(0xC0, V1, rest=b""),
        long_header(0x80, V1),
        long_header(0xC0, V1, connection_id=bytes(21)),
    ],
    ids=[
        "empty",
        "short without packet",
        "short without fixed bit",
        "truncated in the version",
        "truncated before the length",
        "truncated in the connection ID",
        "truncated after it",
        "long without fixed bit",
        "connection ID over 20 bytes",
    ],
)
def test_malformed(payload):
    assert classify(payload) == PacketHeader(PacketKind.MALFORMED, b"")
