"""Routable QUIC connection IDs: each one identifies the agent that holds the flow.

The layout follows the IETF draft "QUIC-LB: Generating Routable QUIC Connection IDs"
(single-pass encryption). A connection ID has 17 bytes:

- one octet: three bits of config rotation, five bits of length (connection ID length - 1);
- one AES-128-ECB block over the server ID (11 bytes) and a nonce (5 bytes).

The server ID is the agent's IPv4 address (4), its port (2), the service ID (3) and the
agent's incarnation (2), in network byte order.

The encryption hides the server ID and makes it unlikely that a guess decodes into anything
useful, but it is not authentication: a forged connection ID decodes into a random server
ID. So users must check what they decode: the balancer by service and network, the agent by
service, address and incarnation.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import ClassVar

import msgspec
from cryptography.hazmat.primitives.ciphers import Cipher, CipherContext, algorithms, modes

from jasperwalk.addresses import PACKED_ENDPOINT_LENGTH, Endpoint
from jasperwalk.config.table_entries import KeyEntry, KeyPurpose
from jasperwalk.errors import JasperwalkError

CONNECTION_ID_LENGTH = 17
"""Bytes of a routable connection ID."""

BLOCK_LENGTH = CONNECTION_ID_LENGTH - 1
"""Bytes of the encrypted block: server ID and nonce."""

NONCE_LENGTH = 5
SERVER_ID_LENGTH = BLOCK_LENGTH - NONCE_LENGTH
SECRET_LENGTH = 16
"""Bytes of an AES-128 key."""

SERVICE_ID_START = PACKED_ENDPOINT_LENGTH
SERVICE_ID_END = SERVICE_ID_START + 3
MAX_SERVICE_ID = 2**24 - 1
MAX_INCARNATION = 2**16 - 1

ROTATION_SHIFT = 5
MAX_ROTATION = 6
"""Rotation 7 marks an unroutable connection ID in the draft and is never issued."""

LENGTH_BITS = CONNECTION_ID_LENGTH - 1
"""The low five bits of the first octet: the connection ID's length minus one."""


@dataclass(eq=False)
class UnusableConnectionIdKey(JasperwalkError):
    """A fleet key that can't encrypt connection IDs."""

    kind: ClassVar[str] = "unusable-connection-id-key"
    rotation: int
    secret_length: int

    def describe(self) -> str:
        """Name the rotation and the length of the secret, never the secret."""
        return (
            f"connection ID key of rotation {self.rotation} has {self.secret_length} bytes; "
            f"expected {SECRET_LENGTH} bytes and a rotation from 0 to {MAX_ROTATION}"
        )


@dataclass(eq=False)
class NoActiveConnectionIdKey(JasperwalkError):
    """No key is active, so that no connection ID can be issued."""

    kind: ClassVar[str] = "no-active-connection-id-key"


@dataclass(eq=False)
class UnencodableConnectionId(JasperwalkError):
    """A routable ID or nonce with a value that does not fit its field."""

    kind: ClassVar[str] = "unencodable-connection-id"
    field: str
    value: int

    def describe(self) -> str:
        """Name the field and its value."""
        return f"connection ID field {self.field} can't hold {self.value}"


class RoutableId(msgspec.Struct, frozen=True):
    """Content of a connection ID: the agent's endpoint, the service and the incarnation."""

    address: Endpoint
    service_id: int
    incarnation: int


def pack_service_id(service_id: int) -> bytes:
    """Encode a service ID into the three bytes that it has in a server ID."""
    return service_id.to_bytes(SERVICE_ID_END - SERVICE_ID_START, "big")


def pack_server_id(routable: RoutableId) -> bytes:
    """Encode the 11 bytes of a server ID; raise `UnencodableConnectionId`."""
    _require("port", routable.address.port, 2**16 - 1)
    _require("service_id", routable.service_id, MAX_SERVICE_ID)
    _require("incarnation", routable.incarnation, MAX_INCARNATION)
    return (
        routable.address.pack()
        + pack_service_id(routable.service_id)
        + routable.incarnation.to_bytes(2, "big")
    )


def unpack_server_id(server_id: bytes) -> RoutableId | None:
    """Decode a server ID; None if its port, service or incarnation is the unused zero."""
    address = Endpoint(
        host=str(ipaddress.IPv4Address(server_id[:4])),
        port=int.from_bytes(server_id[4:SERVICE_ID_START], "big"),
    )
    service_id = int.from_bytes(server_id[SERVICE_ID_START:SERVICE_ID_END], "big")
    incarnation = int.from_bytes(server_id[SERVICE_ID_END:SERVER_ID_LENGTH], "big")
    if not (address.port and service_id and incarnation):
        return None
    return RoutableId(address=address, service_id=service_id, incarnation=incarnation)


class ConnectionIdCodec:
    """Encodes connection IDs with the active key and decodes those of every known rotation.

    The AES contexts are built once: ECB keeps no state between blocks, so that one context
    serves any number of connection IDs. An instance is not safe for use by several threads.
    """

    def __init__(self, keys: Iterable[KeyEntry]) -> None:
        """`keys` are the fleet's keys; those of other purposes are ignored.

        Raises `UnusableConnectionIdKey` for a secret or rotation of the wrong size.
        """
        self._decryptors: dict[int, CipherContext] = {}
        self._active_octet: bytes | None = None
        self._encryptor: CipherContext | None = None
        for key in keys:
            if key.purpose is KeyPurpose.CONNECTION_ID:
                self._add(key)

    def _add(self, key: KeyEntry) -> None:
        if len(key.secret) != SECRET_LENGTH or not 0 <= key.rotation <= MAX_ROTATION:
            raise UnusableConnectionIdKey(rotation=key.rotation, secret_length=len(key.secret))
        cipher = Cipher(algorithms.AES128(key.secret), modes.ECB())
        first_octet = key.rotation << ROTATION_SHIFT | LENGTH_BITS
        self._decryptors[first_octet] = cipher.decryptor()
        if key.active:
            self._active_octet = bytes([first_octet])
            self._encryptor = cipher.encryptor()

    @property
    def decryptors(self) -> Mapping[int, CipherContext]:
        """AES contexts by the first octet of the connection IDs that they decrypt."""
        return self._decryptors

    @property
    def can_encode(self) -> bool:
        """Return whether a key is active."""
        return self._encryptor is not None

    def encode(self, routable: RoutableId, nonce: bytes) -> bytes:
        """Return the connection ID for a routable ID and a fresh nonce of five bytes.

        The caller must not use a nonce twice for one routable ID and key. Raises
        `NoActiveConnectionIdKey` or `UnencodableConnectionId`.
        """
        if self._encryptor is None or self._active_octet is None:
            raise NoActiveConnectionIdKey
        if len(nonce) != NONCE_LENGTH:
            raise UnencodableConnectionId(field="nonce length", value=len(nonce))
        return self._active_octet + self._encryptor.update(pack_server_id(routable) + nonce)

    def decode(self, connection_id: bytes) -> RoutableId | None:
        """Return the content of a connection ID, or None if it is not routable.

        None means another length, a rotation without a key, or a zero field. A forged
        connection ID may decode: see the module's documentation on checks.
        """
        if len(connection_id) != CONNECTION_ID_LENGTH:
            return None
        decryptor = self._decryptors.get(connection_id[0])
        if decryptor is None:
            return None
        return unpack_server_id(decryptor.update(connection_id[1:])[:SERVER_ID_LENGTH])


def _require(field: str, value: int, highest: int) -> None:
    if not 1 <= value <= highest:
        raise UnencodableConnectionId(field=field, value=value)
