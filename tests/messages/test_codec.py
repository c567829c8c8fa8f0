"""The codec accepts exactly one well-formed message; anything else is `MalformedMessage`."""

import cbor2
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import MalformedMessage
from jasperwalk.messages import codec
from jasperwalk.messages.distribution import (
    FROM_PUBLISHER_DECODER,
    FROM_SUBSCRIBER_DECODER,
    Acknowledge,
    Subscribe,
    SubscriberRole,
)

ACKNOWLEDGE = Acknowledge(revision=7, healthy=True, open_flows=3)
SUBSCRIBE = Subscribe("a", SubscriberRole.AGENT, "z", Endpoint("127.0.0.1", 9), "boot", 7)


@pytest.mark.parametrize("message", [ACKNOWLEDGE, SUBSCRIBE])
def test_a_message_comes_back_as_it_was(message) -> None:
    assert FROM_SUBSCRIBER_DECODER.decode(codec.encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(codec.encode(ACKNOWLEDGE)[:-1], id="truncated"),
        pytest.param(codec.encode(ACKNOWLEDGE) + b"\x00", id="trailing byte"),
        pytest.param(codec.encode(ACKNOWLEDGE) * 2, id="two messages"),
        pytest.param(cbor2.dumps([99, 1]), id="unknown tag"),
        pytest.param(cbor2.dumps([5, "7", True, 3]), id="wrong type of a field"),
        pytest.param(cbor2.dumps([5, 7]), id="missing fields"),
        pytest.param(cbor2.dumps({"revision": 7}), id="a map"),
        pytest.param(b"\x9f" * 2000, id="deep nesting"),
        pytest.param(b"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", id="huge array"),
    ],
)
def test_anything_else_is_refused(data: bytes) -> None:
    with pytest.raises(MalformedMessage):
        FROM_SUBSCRIBER_DECODER.decode(data)


@seed(20261202)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=200))
def test_no_bytes_raise_anything_untyped(data: bytes) -> None:
    for decoder in (FROM_SUBSCRIBER_DECODER, FROM_PUBLISHER_DECODER):
        try:
            decoder.decode(data)
        except MalformedMessage:
            continue
