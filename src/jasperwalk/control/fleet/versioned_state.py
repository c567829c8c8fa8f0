"""The replicated state machine: one complete configuration, and which zones are drained.

Operators number their configurations. Of all that were committed, the one with the highest
version is held; a version that is not above the held one is acknowledged and changes nothing,
so that an operator who lost an answer may send it again. The operator's own text is kept beside
the routes, because a read returns it as it was sent.

Orders to drain or restore a zone carry no number: they apply in the order of the log.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

from jasperwalk.errors import MalformedMessage
from jasperwalk.fleet.messages import DrainedZones, WarmUp
from jasperwalk.flows.routes import FlowRoute, RouteSet
from jasperwalk.messages import codec


class PutConfiguration(msgspec.Struct, frozen=True, array_like=True, tag=401):
    """The command: hold this configuration if its version is the highest.

    `warm_ups` has the services whose hosts are given few new flows after their start (slow start).
    """

    version: int
    source: bytes
    routes: list[FlowRoute]
    flow_idle_ms: int = 0
    warm_ups: dict[str, WarmUp] = {}


class HeldConfiguration(msgspec.Struct, frozen=True, array_like=True, tag=402):
    """The held configuration; version 0 means none yet. Snapshots were this before `StateImage`."""

    kind: ClassVar[str] = "held"
    version: int
    source: bytes
    routes: list[FlowRoute]
    flow_idle_ms: int = 0
    """Longest idle time for which a flow is kept, milliseconds; 0 where the operator sets none."""
    warm_ups: dict[str, WarmUp] = {}


class PutOutcome(msgspec.Struct, frozen=True, array_like=True, tag=403):
    """The outcome of a command; `changed` is False where a higher or equal version was held."""

    version: int
    held_version: int
    changed: bool


class OrderZone(msgspec.Struct, frozen=True, array_like=True, tag=404):
    """The command: drain this zone (`drained`), or restore it."""

    zone: str
    drained: bool


class ZoneOutcome(msgspec.Struct, frozen=True, array_like=True, tag=405):
    """The outcome of an order; `changed` is False where the zone was in that state already."""

    zone: str
    drained: bool
    revision: int
    changed: bool


class ZoneStates(msgspec.Struct, frozen=True, array_like=True):
    """Every zone for which an order was committed, and whether it is drained.

    `revision` counts the orders that changed something.
    """

    revision: int = 0
    drained: dict[str, bool] = {}

    def drained_zones(self) -> DrainedZones:
        """Return the message about drained zones that nodes are sent."""
        return DrainedZones(
            self.revision, sorted(z for z, is_drained in self.drained.items() if is_drained)
        )


class StateImage(msgspec.Struct, frozen=True, array_like=True, tag=406):
    """The form of a snapshot."""

    held: HeldConfiguration
    zones: ZoneStates


Command = PutConfiguration | OrderZone
Outcome = PutOutcome | ZoneOutcome

NO_CONFIGURATION = HeldConfiguration(version=0, source=b"", routes=[])

NO_ZONES = ZoneStates()

COMMAND_DECODER: codec.Decoder[Command] = codec.Decoder(Command)
SNAPSHOT_DECODER: codec.Decoder[HeldConfiguration | StateImage] = codec.Decoder(
    HeldConfiguration | StateImage
)


class VersionedState:
    """Applies commands in the log's order; the same commands give the same state."""

    def __init__(
        self, held: HeldConfiguration = NO_CONFIGURATION, zones: ZoneStates = NO_ZONES
    ) -> None:
        self.held = held
        self.zones = zones

    @classmethod
    def restore(cls, data: bytes) -> VersionedState:
        """Restore a snapshot; raises `MalformedMessage`."""
        image = SNAPSHOT_DECODER.decode(data)
        if isinstance(image, HeldConfiguration):
            return cls(image)
        return cls(image.held, image.zones)

    def serialise(self) -> bytes:
        """Return the snapshot."""
        return codec.encode(StateImage(self.held, self.zones))

    def route_set(self) -> RouteSet:
        """Return the routes in force."""
        return RouteSet(version=self.held.version, routes=self.held.routes)

    def position(self) -> tuple[int, int]:
        """Return the configuration's version and the zones' revision; neither ever falls."""
        return self.held.version, self.zones.revision

    def apply(self, data: bytes) -> Outcome | None:
        """Apply one encoded command; one that cannot be decoded changes nothing."""
        try:
            command = COMMAND_DECODER.decode(data)
        except MalformedMessage:
            return None
        if isinstance(command, OrderZone):
            return self._order_zone(command)
        return self._put(command)

    def _put(self, command: PutConfiguration) -> PutOutcome:
        changed = command.version > self.held.version
        if changed:
            self.held = HeldConfiguration(
                command.version,
                command.source,
                command.routes,
                command.flow_idle_ms,
                command.warm_ups,
            )
        return PutOutcome(command.version, self.held.version, changed)

    def _order_zone(self, command: OrderZone) -> ZoneOutcome:
        # A zone's first order is recorded even where it restores what was never drained: a later
        # copy of an older order must be recognised as its reversal.
        changed = self.zones.drained.get(command.zone) != command.drained
        if changed:
            drained = {**self.zones.drained, command.zone: command.drained}
            self.zones = ZoneStates(self.zones.revision + 1, drained)
        return ZoneOutcome(command.zone, command.drained, self.zones.revision, changed)


def encode_command(command: Command) -> bytes:
    """Encode a command as the data of a log entry."""
    return codec.encode(command)
