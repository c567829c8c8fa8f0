"""Checks of every forwarded datagram before anything else reads it.

Only a datagram for the agent's own service and listener is admitted. One that is not sealed by
a process of the fleet may not open a flow.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.agent.packets import PacketHead, read_head
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.errors import JasperwalkError, MalformedMessage
from jasperwalk.messages.codec import PROTOCOL_VERSION, Decoder
from jasperwalk.messages.datagram_seal import DatagramSeal
from jasperwalk.messages.datagrams import (
    ADDRESS_BLOCK_LENGTH,
    DatagramMessage,
    ForwardedDatagram,
    SealedDatagram,
)
from jasperwalk.messages.proxy_protocol import destination_of


class DropReason(enum.StrEnum):
    """Why a datagram was dropped; the label of the counter."""

    MALFORMED = "malformed"
    NO_SERVICE = "no-service"
    OTHER_SERVICE = "other-service"
    OTHER_LISTENER = "other-listener"
    OTHER_ADDRESS = "other-address"
    WRONG_SEAL = "wrong-seal"
    NOT_SEALED = "not-sealed"
    UNSUPPORTED_VERSION = "unsupported-version"
    NOT_ROUTABLE = "not-routable"
    UNKNOWN_FLOW = "unknown-flow"
    NO_TARGET = "no-target"
    REMOVED = "removed"
    OVERLOAD = "overload"


@dataclass(eq=False)
class DatagramDropped(JasperwalkError):
    """A datagram that this agent drops."""

    kind: ClassVar[str] = "datagram-dropped"
    reason: DropReason

    def describe(self) -> str:
        """Return the reason."""
        return f"datagram dropped: {self.reason}"


@dataclass(frozen=True, slots=True)
class AdmittedDatagram:
    """A datagram for the agent's own service, with the head of its first packet.

    `trusted` means that a process of the fleet sealed it, so that it may open a flow.
    """

    datagram: ForwardedDatagram
    head: PacketHead
    trusted: bool


class DatagramFilter:
    """Admits datagrams for the agent's own service and its listener."""

    def __init__(self) -> None:
        self._decoder: Decoder[DatagramMessage] = Decoder(DatagramMessage)
        self.seal = DatagramSeal()
        """Checks and makes seals; replaced when the keys change."""

    def admit(self, data: bytes, view: ServiceView) -> AdmittedDatagram:
        """Decode and check a datagram; raise `DatagramDropped`."""
        message = self._decode(data)
        sealed = isinstance(message, SealedDatagram)
        datagram = self._open(message) if isinstance(message, SealedDatagram) else message
        _check_shape(datagram)
        service = view.service
        if service is None:
            raise DatagramDropped(DropReason.NO_SERVICE)
        if datagram.service_id != service.service_id:
            raise DatagramDropped(DropReason.OTHER_SERVICE)
        if destination_of(datagram.address_block) != service.listener.pack():
            raise DatagramDropped(DropReason.OTHER_LISTENER)
        head = read_head(datagram.payload)
        if head is None:
            raise DatagramDropped(DropReason.MALFORMED)
        # Without any key, just after the start of a new cluster, no balancer has one either.
        trusted = sealed or not self.seal.has_keys
        return AdmittedDatagram(datagram, head, trusted)

    def _open(self, sealed: SealedDatagram) -> ForwardedDatagram:
        if not self.seal.accepts(sealed):
            raise DatagramDropped(DropReason.WRONG_SEAL)
        datagram = self._decode(sealed.datagram)
        if isinstance(datagram, SealedDatagram):
            raise DatagramDropped(DropReason.MALFORMED)
        return datagram

    def _decode(self, data: bytes) -> DatagramMessage:
        try:
            return self._decoder.decode(data)
        except MalformedMessage as error:
            raise DatagramDropped(DropReason.MALFORMED) from error


def _check_shape(datagram: ForwardedDatagram) -> None:
    if datagram.version != PROTOCOL_VERSION:
        raise DatagramDropped(DropReason.MALFORMED)
    if len(datagram.address_block) != ADDRESS_BLOCK_LENGTH:
        raise DatagramDropped(DropReason.MALFORMED)
