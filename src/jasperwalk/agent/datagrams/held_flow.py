"""State of one flow at the host, as the agent beside it knows it."""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.flows.codec import PacketCodec, SocketAddress

NUMBER_SPAN = 2**32
"""Data numbers wrap around here."""
NO_BALANCER: SocketAddress = ("0.0.0.0", 0)
"""Placeholder for the balancer of a flow that waited, until its next packet arrives."""
ENDED_LINGER_SECONDS = 6.0
"""A flow that ended is kept this long: its last packets may be sent again."""
STUCK_REQUEST_SECONDS = 2.5
"""A request without a packet for this long no longer counts as in flight: its caller has left, or
the agent took the copy of a request for a new one, because it was started after the answer."""
UNANSWERED_SECONDS = 1.0
"""A request that the host has not started to answer within this time counts as failed. A busy host
has one and a half times as many requests as slots, and answers each sooner."""
MAX_ANSWERS = 3
"""A caller sends its opening packet this many times."""


@dataclass(slots=True, eq=False)
class HeldFlow:
    """A flow at the host. `confirmed` is False while only a balancer expects it there.

    `followed_up` is False until the caller has sent more than its opening packet: several hosts
    may have received that packet, and the caller's next packet decides between them.
    """

    balancer: SocketAddress
    opened_at: float
    seen_at: float
    busy: bool = False
    requested_at: float = 0.0
    """When the caller last sent data."""
    is_long_request: bool = False
    """True once the request in flight consists of more than one packet: its caller may have left in
    the middle of it, so that a missing answer says nothing about the host."""
    unanswered_counted: bool = False
    """True once the request in flight was counted as failed."""
    confirmed: bool = True
    followed_up: bool = True
    answer_numbers: tuple[int, ...] = ()
    """Numbers of the host's answers to the opening packet and its copies."""
    data_number: int | None = None
    """Number of the newest data that the caller sent, None before the first."""
    caller_ended: bool = False
    host_ended: bool = False

    def starts_request(self, number: int) -> bool:
        """Tell whether data with this number would start a request: none is in flight."""
        return not self.busy and self._ahead(number) > 0

    def record_data_number(self, number: int) -> bool:
        """Record the number of the caller's data; return whether the data is new.

        A copy of a request may arrive after the answer, where balancers are slow: the host does
        not answer it again.
        """
        if not self.busy:
            self.is_long_request = False
        ahead = self._ahead(number)
        if self.data_number is not None:
            self.is_long_request |= self.busy and ahead != 0
        if ahead <= 0:
            return False
        self.data_number = number
        self.unanswered_counted = False
        return True

    def _ahead(self, number: int) -> int:
        """Return how far data with this number is ahead of the newest, negative for older data.

        The first data is ahead by 1.
        """
        if self.data_number is None:
            return 1
        ahead = (number - self.data_number) % NUMBER_SPAN
        return ahead if ahead < NUMBER_SPAN // 2 else ahead - NUMBER_SPAN

    def record_answer_number(self, number: int | None) -> None:
        """Record the number of the host's answer to an opening packet, None for other packets."""
        if number is not None and number not in self.answer_numbers:
            self.answer_numbers = (*self.answer_numbers, number)[-MAX_ANSWERS:]

    def is_followed_up_by(self, packet: bytes, codec: PacketCodec) -> bool:
        """Tell whether a packet shows that the caller of this half-open flow chose this host."""
        return any(codec.follows(packet, number) for number in self.answer_numbers)

    def has_request_in_flight(self) -> bool:
        """Tell whether a request has arrived that the host has not started to answer."""
        return self.busy and self.followed_up and not self.host_ended

    def is_unanswered(self, now: float) -> bool:
        """Tell whether the host leaves a request unanswered that was not counted yet."""
        if self.unanswered_counted or self.is_long_request or not self.has_request_in_flight():
            return False
        return now - self.requested_at > UNANSWERED_SECONDS

    def is_stuck(self, now: float) -> bool:
        """Tell whether its request no longer counts as in flight."""
        return now - self.seen_at > STUCK_REQUEST_SECONDS

    def is_over(self, now: float, longest_seconds: float) -> bool:
        """Tell whether it may be removed: it has ended, or cannot be alive any longer."""
        idle = now - self.seen_at
        return idle > (ENDED_LINGER_SECONDS if self.has_ended() else longest_seconds)

    def has_ended(self) -> bool:
        """Tell whether both sides have ended the flow."""
        return self.caller_ended and self.host_ended
