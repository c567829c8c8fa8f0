"""The PROXY v2 header: its bytes, and malformed headers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jasperwalk.addresses import Endpoint
from jasperwalk.messages.proxy_protocol import (
    ADDRESS_BLOCK_START,
    HEADER_LENGTH,
    MalformedProxyHeader,
    decode_header,
    destination_of,
    encode_header,
    pack_header,
    source_of,
)

CALLER = Endpoint(host="127.0.0.9", port=40_000)
VIP = Endpoint(host="127.0.0.1", port=443)
ENDPOINTS = st.binary(min_size=6, max_size=6)


def test_header_has_the_bytes_of_the_standard():
    header = encode_header(CALLER, VIP)
    expected = "0d0a0d0a000d0a515549540a2112000c7f0000097f0000019c4001bb"
    assert header.hex() == expected
    assert decode_header(header + b"payload") == (CALLER, VIP)


@pytest.mark.parametrize(
    "datagram",
    [b"", b"x" * 40, encode_header(CALLER, VIP)[:-1], b"\r" + encode_header(CALLER, VIP)],
    ids=["empty", "no-signature", "short", "shifted"],
)
def test_malformed_headers_are_refused(datagram):
    with pytest.raises(MalformedProxyHeader):
        decode_header(datagram)


@given(ENDPOINTS, ENDPOINTS)
def test_any_two_end_points_come_back_in_their_places(source, destination):
    header = pack_header(source, destination)
    block = header[ADDRESS_BLOCK_START:HEADER_LENGTH]
    assert (source_of(block), destination_of(block)) == (source, destination)
    assert decode_header(header) == (Endpoint.unpack(source), Endpoint.unpack(destination))
