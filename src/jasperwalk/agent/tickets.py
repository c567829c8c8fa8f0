"""Idempotency tickets, for requests that must not run twice (sans-IO).

A ticket names its home: the agent, by address and incarnation, that issued it. Only the home
may run a request under the ticket, and it does so at most once; every later arrival gets the
stored outcome. The uses are recorded only in the home's memory: once the home is gone, or its
incarnation has changed, the request is not run and its outcome is unknown. Expiry is measured
by the home's own monotonic clock, as no other process checks it.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import ClassVar

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.requests import HeaderFields, Request
from jasperwalk.config.table_entries import KeyEntry
from jasperwalk.errors import JasperwalkError, MalformedMessage
from jasperwalk.messages.codec import Decoder, encode

TICKET_PATH = "/.well-known/jasperwalk/tickets"
TICKET_LIFETIME_SECONDS = 3600.0
MAC_LENGTH = 16
MAX_TICKET_LENGTH = 512
NONCE_LENGTH = 12
MAX_TICKETS = 20_000
MAX_STORED_BYTES = 64 * 1024 * 1024
MAX_ANSWER_BYTES = 256 * 1024
"""Longest body of an answer that is kept for a resend."""
RETENTION_AFTER_EXPIRY_SECONDS = 60.0


@dataclass(eq=False)
class InvalidTicket(JasperwalkError):
    """An Idempotency-Key that is not a ticket of this fleet."""

    kind: ClassVar[str] = "invalid-ticket"

    def describe(self) -> str:
        """Explain how to obtain a ticket."""
        return f"not a ticket of this service; obtain one with POST {TICKET_PATH}"


class Ticket(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Contents of a ticket. `expires_at_ms` is a time of the home's monotonic clock."""

    home: Endpoint
    incarnation: int
    service_id: int
    expires_at_ms: int
    nonce: bytes


class TicketCodec:
    """Signs tickets with the active fleet key and opens tickets of any accepted key."""

    def __init__(self, keys: Iterable[KeyEntry]) -> None:
        """`keys` are the ticket keys, the active one first."""
        self._keys = list(keys)
        self._decoder: Decoder[Ticket] = Decoder(Ticket)

    @property
    def can_issue(self) -> bool:
        """Return whether an active key is known."""
        return bool(self._keys) and self._keys[0].active

    def seal(self, ticket: Ticket) -> str:
        """Encode and sign a ticket as text for a header field."""
        body = encode(ticket)
        sealed = body + _mac(self._keys[0].secret, body)
        return base64.urlsafe_b64encode(sealed).rstrip(b"=").decode()

    def open(self, text: str) -> Ticket:
        """Check and decode a ticket; raise `InvalidTicket`."""
        if len(text) > MAX_TICKET_LENGTH or not text.isascii():
            raise InvalidTicket
        try:
            sealed = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        except (binascii.Error, ValueError) as error:
            raise InvalidTicket from error
        body, mac = sealed[:-MAC_LENGTH], sealed[-MAC_LENGTH:]
        if not any(hmac.compare_digest(_mac(key.secret, body), mac) for key in self._keys):
            raise InvalidTicket
        try:
            return self._decoder.decode(body)
        except MalformedMessage as error:
            raise InvalidTicket from error


def _mac(secret: bytes, body: bytes) -> bytes:
    return hmac.new(secret, body, hashlib.sha256).digest()[:MAC_LENGTH]


def request_digest(request: Request) -> bytes:
    """Return the digest to which the first use binds a ticket: of method, path and body."""
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


@dataclass(slots=True)
class StoredAnswer:
    """An answer as kept for resends; `body` is empty if it exceeded `MAX_ANSWER_BYTES`."""

    status: int
    headers: HeaderFields
    body: bytearray = field(default_factory=bytearray)
    truncated: bool = False

    def append(self, data: bytes) -> None:
        """Append a piece of the body, unless the answer becomes too long."""
        if self.truncated or len(self.body) + len(data) > MAX_ANSWER_BYTES:
            self.truncated = True
            self.body.clear()
            return
        self.body += data


@dataclass(frozen=True, slots=True)
class RunNow:
    """The ticket was never used: the caller of the store must run the request."""


@dataclass(frozen=True, slots=True)
class WaitForFirst:
    """The first use is still running; its outcome also applies to this arrival."""


@dataclass(frozen=True, slots=True)
class Repeat:
    """The first use was answered; the stored answer is sent again."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request ran or may have run, and its answer was not kept."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The ticket has expired; its request is not run any more."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """The ticket was first used for a different request."""


@dataclass(frozen=True, slots=True)
class StoreFull:
    """The store can't record another use, so the request was not run."""


UseDecision = RunNow | WaitForFirst | Repeat | OutcomeUnknown | Expired | Conflict | StoreFull


@dataclass(slots=True)
class TicketUse:
    """The first use of a ticket; `finished` without an answer means an unknown outcome."""

    digest: bytes
    discard_at: float
    finished: bool = False
    answer: StoredAnswer | None = None


class TicketStore:
    """Used tickets of the home. No use is discarded before the ticket has expired."""

    def __init__(self, max_tickets: int = MAX_TICKETS) -> None:
        self._max_tickets = max_tickets
        self._uses: OrderedDict[bytes, TicketUse] = OrderedDict()
        self._stored_bytes = 0

    def __len__(self) -> int:
        """Return the number of recorded uses."""
        return len(self._uses)

    def use(self, ticket: Ticket, digest: bytes, now: float) -> UseDecision:
        """Decide on one arrival; after `RunNow` the use counts as started."""
        self._discard_expired(now)
        known = self._uses.get(ticket.nonce)
        if known is not None:
            return self._decide_repeat(known, digest)
        expires_at = ticket.expires_at_ms / 1000
        if expires_at <= now:
            return Expired()
        if len(self._uses) >= self._max_tickets or self._stored_bytes >= MAX_STORED_BYTES:
            return StoreFull()
        self._uses[ticket.nonce] = TicketUse(digest, expires_at + RETENTION_AFTER_EXPIRY_SECONDS)
        return RunNow()

    def did_not_run(self, ticket: Ticket) -> None:
        """Free the ticket: its request provably did not run, so a resend may run."""
        self._uses.pop(ticket.nonce, None)

    def finish(self, ticket: Ticket, answer: StoredAnswer | None) -> None:
        """Store the first use's answer; after `None` or a truncated one, resends are unknown."""
        use = self._uses.get(ticket.nonce)
        if use is None:
            return
        use.finished = True
        if answer is not None and not answer.truncated:
            use.answer = answer
            self._stored_bytes += len(answer.body)

    def answer_of(self, ticket: Ticket) -> StoredAnswer | None:
        """Return the stored answer of a used ticket, if it was kept."""
        use = self._uses.get(ticket.nonce)
        return None if use is None else use.answer

    @staticmethod
    def _decide_repeat(use: TicketUse, digest: bytes) -> UseDecision:
        if use.digest != digest:
            return Conflict()
        if not use.finished:
            return WaitForFirst()
        if use.answer is None:
            return OutcomeUnknown()
        return Repeat(use.answer)

    def _discard_expired(self, now: float) -> None:
        # Uses are in order of arrival and discard times differ by a lifetime at most. So an
        # early entry may delay later ones for that long: bounded by `max_tickets`.
        while self._uses:
            nonce, use = next(iter(self._uses.items()))
            if use.discard_at > now or not use.finished:
                return
            if use.answer is not None:
                self._stored_bytes -= len(use.answer.body)
            del self._uses[nonce]
