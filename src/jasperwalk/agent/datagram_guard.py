"""The checks that every forwarded datagram passes before anything reads it."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.agent.packets import PacketHead, read_head
from jasperwalk.agent.proxy_header import destination_of
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.errors import JasperwalkError, MalformedMessage
from jasperwalk.messages.codec import PROTOCOL_VERSION, Decoder
from jasperwalk.messages.datagrams import ADDRESS_BLOCK_LENGTH, DatagramMessage, ForwardedDatagram


class DropReason(enum.StrEnum):
    """Why a datagram was dropped; the label of the counter."""

    MALFORMED = "malformed"
    NO_SERVICE = "no-service"
    OTHER_SERVICE = "other-service"
    OTHER_LISTENER = "other-listener"
    OTHER_ADDRESS = "other-address"
    UNSUPPORTED_VERSION = "unsupported-version"
    NOT_ROUTABLE = "not-routable"
    UNKNOWN_FLOW = "unknown-flow"
    NO_TARGET = "no-target"
    OVERLOAD = "overload"


@dataclass(eq=False)
class DatagramDropped(JasperwalkError):
    """A datagram that this agent does not take."""

    kind: ClassVar[str] = "datagram-dropped"
    reason: DropReason

    def describe(self) -> str:
        """Give the reason."""
        return f"datagram dropped: {self.reason}"


@dataclass(frozen=True, slots=True)
class AdmittedDatagram:
    """A datagram for the agent's own service, with the head of its first packet."""

    datagram: ForwardedDatagram
    head: PacketHead


class DatagramGuard:
    """Lets through what is for the agent's own service and its listener."""

    def __init__(self) -> None:
        self._decoder: Decoder[ForwardedDatagram] = Decoder(DatagramMessage)

    def admit(self, data: bytes, view: ServiceView) -> AdmittedDatagram:
        """Decode and check a datagram; raise `DatagramDropped`."""
        datagram = self._decode(data)
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
        return AdmittedDatagram(datagram, head)

    def _decode(self, data: bytes) -> ForwardedDatagram:
        try:
            datagram = self._decoder.decode(data)
        except MalformedMessage as error:
            raise DatagramDropped(DropReason.MALFORMED) from error
        if datagram.version != PROTOCOL_VERSION:
            raise DatagramDropped(DropReason.MALFORMED)
        if len(datagram.address_block) != ADDRESS_BLOCK_LENGTH:
            raise DatagramDropped(DropReason.MALFORMED)
        return datagram
