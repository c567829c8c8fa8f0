"""Typed failures of framed connections; `kind` names each in logs and counters."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from jasperwalk.errors import JasperwalkError


@dataclass(eq=False, repr=False)
class TransportError(JasperwalkError):
    """Base of the failures of one connection, which can't be used any more."""

    kind: ClassVar[str] = "transport"


@dataclass(eq=False, repr=False)
class TruncatedFrame(TransportError):
    """The other side closed the connection in the middle of a frame."""

    kind: ClassVar[str] = "truncated-frame"
    expected: int
    received: int

    def describe(self) -> str:
        """Give both lengths, in bytes."""
        return f"connection closed after {self.received} of {self.expected} bytes of a frame"


@dataclass(eq=False, repr=False)
class OversizedFrame(TransportError):
    """A frame is longer than the limit; its payload is not read."""

    kind: ClassVar[str] = "oversized-frame"
    length: int
    limit: int

    def describe(self) -> str:
        """Give the length and the limit, in bytes."""
        return f"frame of {self.length} bytes is over the limit of {self.limit} bytes"


@dataclass(eq=False, repr=False)
class WrongCluster(TransportError):
    """The other side belongs to another cluster."""

    kind: ClassVar[str] = "wrong-cluster"
    cluster_id: str
    expected: str

    def describe(self) -> str:
        """Name both clusters."""
        return f"other side is of cluster {self.cluster_id!r}; expected {self.expected!r}"


@dataclass(eq=False, repr=False)
class UnhandledKind(TransportError):
    """The other side opened a connection of a kind that this process does not serve."""

    kind: ClassVar[str] = "unhandled-kind"
    connection_kind: str

    def describe(self) -> str:
        """Name the kind."""
        return f"connections of kind {self.connection_kind!r} are not served here"


@dataclass(eq=False, repr=False)
class HelloTimeout(TransportError):
    """The other side sent no Hello in time."""

    kind: ClassVar[str] = "hello-timeout"
    timeout_seconds: float

    def describe(self) -> str:
        """Give the time that was waited."""
        return f"no Hello within {self.timeout_seconds:g} s"


@dataclass(eq=False, repr=False)
class RequestTimeout(TransportError):
    """The other side sent a Hello, but no request in time."""

    kind: ClassVar[str] = "request-timeout"
    timeout_seconds: float

    def describe(self) -> str:
        """Give the time that was waited."""
        return f"no request within {self.timeout_seconds:g} s"


@dataclass(eq=False, repr=False)
class ConnectFailed(TransportError):
    """The connection could not be opened."""

    kind: ClassVar[str] = "connect-failed"
    endpoint: str
    reason: str

    def describe(self) -> str:
        """Name the end point and the system's reason."""
        return f"cannot connect to {self.endpoint}: {self.reason}"


@dataclass(eq=False, repr=False)
class ConnectionLost(TransportError):
    """The connection ended or was reset."""

    kind: ClassVar[str] = "connection-lost"
    reason: str

    def describe(self) -> str:
        """Give the system's reason."""
        return f"connection lost: {self.reason}"


@dataclass(eq=False, repr=False)
class PeerSilent(TransportError):
    """Nothing came on a connection on which the other side sends keepalives."""

    kind: ClassVar[str] = "peer-silent"
    limit_seconds: float

    def describe(self) -> str:
        """Give the time that was waited."""
        return f"nothing came for {self.limit_seconds:g} s"


@dataclass(eq=False, repr=False)
class SendBufferFull(TransportError):
    """The other side reads too slowly: the send buffer is over its limit."""

    kind: ClassVar[str] = "send-buffer-full"
    buffered: int
    limit: int

    def describe(self) -> str:
        """Give the buffered bytes and the limit."""
        return f"{self.buffered} bytes wait to be sent; the limit is {self.limit}"


@dataclass(eq=False, repr=False)
class TlsError(TransportError):
    """Base of the failures of TLS; they last until files or settings are corrected."""

    kind: ClassVar[str] = "tls"


@dataclass(eq=False, repr=False)
class TlsFailed(TlsError):
    """The two sides could not establish TLS with each other."""

    kind: ClassVar[str] = "tls-failed"
    reason: str

    def describe(self) -> str:
        """Give OpenSSL's reason."""
        return (
            f"no TLS connection: {self.reason}; see that both sides have [tls] in their settings "
            "and certificates of the same CA"
        )


@dataclass(eq=False, repr=False)
class CertificateRefused(TlsError):
    """A certificate was refused: the peer's by this process, or this process's by the peer."""

    kind: ClassVar[str] = "certificate-refused"
    reason: str

    def describe(self) -> str:
        """Give OpenSSL's reason."""
        return f"certificate refused: {self.reason}; see docs/KEYS.md"


@dataclass(eq=False, repr=False)
class CertificateWithoutIdentity(TlsError):
    """A certificate of the cluster's CA names no jasperwalk process, or several."""

    kind: ClassVar[str] = "certificate-without-identity"
    count: int

    def describe(self) -> str:
        """Give the number of names and the remedy."""
        return f"certificate names {self.count} processes; make it with `jasperwalk keys init`"


@dataclass(eq=False, repr=False)
class IdentityMismatch(TlsError):
    """A peer claims what its certificate does not allow: a name, role, connection or call."""

    kind: ClassVar[str] = "identity-mismatch"
    identity: str
    claim: str

    def describe(self) -> str:
        """Name the identity and the claim."""
        return f"the certificate of {self.identity} does not allow it to {self.claim}"


@dataclass(eq=False, repr=False)
class UnusableCertificate(TlsError):
    """The files of this process's own certificate can't be used."""

    kind: ClassVar[str] = "unusable-certificate"
    file: str
    problem: str

    def describe(self) -> str:
        """Name the file and the problem."""
        return f"{self.file}: {self.problem}; see docs/KEYS.md"
