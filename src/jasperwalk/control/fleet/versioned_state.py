"""The replicated state machine: one whole configuration, the highest version wins.

Operators number their configurations. Of all that were committed the one with the highest
version is held; a version that is not above the held one is acknowledged and changes nothing,
so that an operator who lost an answer may send again. The operator's own text is kept beside
the routes, because a read returns it as it was sent.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from jasperwalk.errors import MalformedMessage
from jasperwalk.flows.routes import FlowRoute, RouteSet
from jasperwalk.messages import codec


class PutConfiguration(msgspec.Struct, frozen=True, array_like=True, tag=401):
    """The command: hold this configuration if its version is the highest."""

    version: int
    source: bytes
    routes: list[FlowRoute]
    flow_idle_ms: int = 0


class HeldConfiguration(msgspec.Struct, frozen=True, array_like=True, tag=402):
    """What is held, and the form of a snapshot; version 0 means nothing yet."""

    kind: ClassVar[str] = "held"
    version: int
    source: bytes
    routes: list[FlowRoute]
    flow_idle_ms: int = 0
    """Longest rest of a flow that is kept, milliseconds; 0 where the operator names none."""


class PutOutcome(msgspec.Struct, frozen=True, array_like=True, tag=403):
    """What a command came to; `changed` is False where a higher or equal version was held."""

    version: int
    held_version: int
    changed: bool


NOTHING_HELD = HeldConfiguration(version=0, source=b"", routes=[])

COMMAND_DECODER: codec.Decoder[PutConfiguration] = codec.Decoder(PutConfiguration)
SNAPSHOT_DECODER: codec.Decoder[HeldConfiguration] = codec.Decoder(HeldConfiguration)


class VersionedState:
    """Applies commands in the log's order; the same commands give the same state."""

    def __init__(self, held: HeldConfiguration = NOTHING_HELD) -> None:
        self.held = held

    @classmethod
    def restore(cls, data: bytes) -> VersionedState:
        """Restore a snapshot; raises `MalformedMessage`."""
        return cls(SNAPSHOT_DECODER.decode(data))

    def serialise(self) -> bytes:
        """Return the snapshot."""
        return codec.encode(self.held)

    def route_set(self) -> RouteSet:
        """Return the routes in force."""
        return RouteSet(version=self.held.version, routes=self.held.routes)

    def apply(self, data: bytes) -> PutOutcome | None:
        """Apply one encoded command; one that cannot be decoded changes nothing."""
        try:
            command = COMMAND_DECODER.decode(data)
        except MalformedMessage:
            return None
        changed = command.version > self.held.version
        if changed:
            self.held = HeldConfiguration(
                command.version, command.source, command.routes, command.flow_idle_ms
            )
        return PutOutcome(command.version, self.held.version, changed)


def encode_command(command: PutConfiguration) -> bytes:
    """Encode a command as the data of a log entry."""
    return codec.encode(command)
