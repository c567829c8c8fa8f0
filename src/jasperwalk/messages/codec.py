"""Encoding of typed messages: a CBOR array `[tag, field, field, ...]` per message.

A message is a `msgspec.Struct` declared with `array_like=True` and a unique integer `tag`.
cbor2 encodes it; on receipt msgspec checks the type of every field, so that a decoder never
returns an untyped value. The protocol version is exchanged once per connection (see
`jasperwalk.transport`), and is the first field of datagrams.
"""

from __future__ import annotations

import io
from typing import Any, Generic, TypeVar

import cbor2
import msgspec

from jasperwalk.errors import MalformedMessage

PROTOCOL_VERSION = 1
"""Version of the internal protocol; incremented when a message changes its shape."""

MessageType = TypeVar("MessageType")


def encode(message: msgspec.Struct) -> bytes:
    """Encode one message as CBOR bytes."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_single_item(data: bytes) -> Any:
    """Decode exactly one CBOR item; raise `MalformedMessage` for less, or for more after it."""
    stream = io.BytesIO(data)
    decoder = cbor2.CBORDecoder(stream, allow_indefinite=False, allow_duplicate_keys=False)
    try:
        value = decoder.decode()
    except (
        cbor2.CBORDecodeError,
        ArithmeticError,
        MemoryError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise MalformedMessage(reason=f"not CBOR: {error}") from error
    if stream.tell() != len(data):
        raise MalformedMessage(reason=f"{len(data) - stream.tell()} bytes after the end")
    return value


class Decoder(Generic[MessageType]):
    """Decodes the bytes of one family of messages (a union of tagged structs)."""

    def __init__(self, family: type[MessageType] | object) -> None:
        self._family = family

    def decode(self, data: bytes) -> MessageType:
        """Decode one message; raise `MalformedMessage` for anything else."""
        value = decode_single_item(data)
        try:
            return msgspec.convert(value, self._family, strict=True)  # type: ignore[no-any-return]
        except (msgspec.ValidationError, ValueError, TypeError) as error:
            raise MalformedMessage(reason=str(error)) from error
