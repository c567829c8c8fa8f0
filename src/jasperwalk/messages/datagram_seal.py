"""The seal on datagrams that open or hand over a flow: a MAC with the fleet's datagram key.

Without it, anyone who can reach an agent's port could open flows past the balancers' limits, in
the name of any caller, or have an agent send datagrams to arbitrary addresses (the candidates).
Packets of open flows need no seal: QUIC authenticates them end to end.

The MAC is keyed BLAKE2s (RFC 7693) truncated to 8 bytes. A forger can test a guess only by
sending it, with one chance in 2**64 per datagram.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable

from jasperwalk.config.table_entries import KeyEntry, KeyPurpose
from jasperwalk.messages.codec import PROTOCOL_VERSION, encode
from jasperwalk.messages.datagrams import SealedDatagram

MAC_LENGTH = 8
MAX_SECRET_BYTES = hashlib.blake2s.MAX_KEY_SIZE
"""Maximum key length of BLAKE2s; further bytes of the secret are not used."""
PERSONALISATION = b"jw-dgram"
"""Separates these MACs from any other use of the key (BLAKE2s `person`, 8 bytes)."""

LONG_BYTE_STRING_HEAD = 0x59
"""CBOR: a byte string with a length of two octets."""


class DatagramSeal:
    """Seals datagrams with the active key, and verifies seals made with any known rotation."""

    def __init__(self, keys: Iterable[KeyEntry] = ()) -> None:
        """Take the fleet's keys; those of other purposes are ignored."""
        self._secrets: dict[int, bytes] = {}
        self._active_secret = b""
        self._prefix = b""
        for key in keys:
            if key.purpose is not KeyPurpose.DATAGRAM:
                continue
            self._secrets[key.rotation] = key.secret
            if key.active:
                self._active_secret = key.secret
                self._prefix = _encode_prefix(key.rotation)

    @property
    def has_keys(self) -> bool:
        """Tell whether any key is known, so that seals can be required."""
        return bool(self._secrets)

    def seal(self, datagram: bytes) -> bytes:
        """Wrap an encoded datagram (below 64 KiB); without an active key return it unchanged."""
        if not self._active_secret:
            return datagram
        return b"".join(
            (
                self._prefix,
                compute_mac(self._active_secret, datagram),
                bytes((LONG_BYTE_STRING_HEAD,)),
                len(datagram).to_bytes(2, "big"),
                datagram,
            )
        )

    def accepts(self, sealed: SealedDatagram) -> bool:
        """Tell whether the MAC is that of this datagram under the known key of its rotation."""
        secret = self._secrets.get(sealed.rotation)
        if secret is None:
            return False
        return hmac.compare_digest(sealed.mac, compute_mac(secret, sealed.datagram))


def compute_mac(secret: bytes, datagram: bytes) -> bytes:
    """Return the MAC of an encoded datagram; control keeps the secret at 16 to 32 bytes."""
    key = secret[:MAX_SECRET_BYTES]
    mac = hashlib.blake2s(datagram, key=key, digest_size=MAC_LENGTH, person=PERSONALISATION)
    return mac.digest()


def _encode_prefix(rotation: int) -> bytes:
    """Encode the part of a sealed datagram that precedes its MAC."""
    empty = encode(SealedDatagram(PROTOCOL_VERSION, rotation, bytes(MAC_LENGTH), b""))
    return empty[: -MAC_LENGTH - 1]
