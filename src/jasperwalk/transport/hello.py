"""The Hello: the first message each way on a framed connection, with the connection's purpose.

It decides whether two processes may talk: same protocol version, same cluster. Its shape is the
same in every version, so that each side can name the version that the other one speaks.
"""

from __future__ import annotations

import enum

import msgspec

from jasperwalk.errors import UnsupportedVersion
from jasperwalk.messages import codec
from jasperwalk.transport.errors import WrongCluster


class ConnectionKind(enum.StrEnum):
    """What a connection is for."""

    PEER = "peer"
    SUBSCRIBER = "subscriber"
    REPORTER = "reporter"
    RELAY = "relay"
    LENDING = "lending"
    OPERATOR = "operator"


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First message each way. `sender_id` is the ID of a control replica, 0 for other processes."""

    version: int
    kind: ConnectionKind
    name: str
    sender_id: int
    cluster_id: str


HELLO_DECODER: codec.Decoder[Hello] = codec.Decoder(Hello)


def check_hello(hello: Hello, cluster_id: str) -> Hello:
    """Return the Hello of a compatible peer; raise `UnsupportedVersion` or `WrongCluster`."""
    if hello.version != codec.PROTOCOL_VERSION:
        raise UnsupportedVersion(version=hello.version, supported=codec.PROTOCOL_VERSION)
    if hello.cluster_id != cluster_id:
        raise WrongCluster(cluster_id=hello.cluster_id, expected=cluster_id)
    return hello


def make_hello(kind: ConnectionKind, name: str, cluster_id: str, sender_id: int = 0) -> Hello:
    """Build the Hello of this process in its own protocol version."""
    return Hello(
        version=codec.PROTOCOL_VERSION,
        kind=kind,
        name=name,
        sender_id=sender_id,
        cluster_id=cluster_id,
    )
