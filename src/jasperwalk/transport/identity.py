"""Identity in certificates: a process's cluster, role and name, and what each role may open.

The identity is the URI `jasperwalk://CLUSTER/ROLE/NAME` in the subject alternative name. Host
names are not checked, because a process may run at any address.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from jasperwalk.transport.errors import CertificateWithoutIdentity, IdentityMismatch
from jasperwalk.transport.hello import ConnectionKind, Hello

URI_SCHEME = "jasperwalk"
PATH_PARTS = 2


class ProcessRole(enum.StrEnum):
    """Role of the holder of a certificate."""

    CONTROL = "control"
    BALANCER = "balancer"
    AGENT = "agent"
    OPERATOR = "operator"


@dataclass(frozen=True)
class Identity:
    """The holder of a certificate."""

    cluster_id: str
    role: ProcessRole
    name: str

    def __str__(self) -> str:
        """Return the URI that names the holder."""
        return f"{URI_SCHEME}://{self.cluster_id}/{self.role}/{self.name}"


CLIENT_ROLES: dict[ConnectionKind, frozenset[ProcessRole]] = {
    ConnectionKind.PEER: frozenset({ProcessRole.CONTROL}),
    ConnectionKind.SUBSCRIBER: frozenset({ProcessRole.BALANCER, ProcessRole.AGENT}),
    ConnectionKind.RELAY: frozenset({ProcessRole.AGENT}),
    ConnectionKind.LENDING: frozenset({ProcessRole.AGENT}),
    ConnectionKind.OPERATOR: frozenset({ProcessRole.OPERATOR}),
}
"""Roles that may open a connection of a kind; none for a kind that is not listed."""

SERVER_ROLES: dict[ConnectionKind, frozenset[ProcessRole]] = {
    ConnectionKind.PEER: frozenset({ProcessRole.CONTROL}),
    ConnectionKind.SUBSCRIBER: frozenset({ProcessRole.CONTROL}),
    ConnectionKind.RELAY: frozenset({ProcessRole.AGENT}),
    ConnectionKind.LENDING: frozenset({ProcessRole.AGENT}),
    ConnectionKind.OPERATOR: frozenset({ProcessRole.CONTROL}),
}
"""Roles that may serve connections of a kind."""


def parse_identity(uri: str) -> Identity | None:
    """Return the identity that a URI names, None where it is not of this form."""
    parts = urlsplit(uri)
    path = parts.path.lstrip("/").split("/")
    if parts.scheme != URI_SCHEME or len(path) != PATH_PARTS or not all((parts.netloc, *path)):
        return None
    role, name = path
    if role not in set(ProcessRole):
        return None
    return Identity(cluster_id=parts.netloc, role=ProcessRole(role), name=name)


def identity_of(peer_certificate: Mapping[str, Any] | None) -> Identity:
    """Return the identity in a certificate, given as `SSLObject.getpeercert` returns it.

    Raises `CertificateWithoutIdentity` where it names no process, or several.
    """
    names = (peer_certificate or {}).get("subjectAltName", ())
    parsed = [parse_identity(text) for kind, text in names if kind == "URI"]
    found = [each for each in parsed if each is not None]
    if len(found) != 1:
        raise CertificateWithoutIdentity(count=len(found))
    return found[0]


def check_client(identity: Identity, hello: Hello) -> None:
    """Raise `IdentityMismatch` unless this client may open what its Hello asks for."""
    _check(identity, hello, CLIENT_ROLES.get(hello.kind, frozenset()), f"open {hello.kind}")


def check_server(identity: Identity, hello: Hello, kind: ConnectionKind) -> None:
    """Raise `IdentityMismatch` unless this server may serve a connection of `kind`."""
    _check(identity, hello, SERVER_ROLES.get(kind, frozenset()), f"serve {kind}")


def check_claim(identity: Identity | None, role: str, name: str) -> None:
    """Raise `IdentityMismatch` unless a claimed role and name are the certificate's.

    Without TLS there is no identity, and every claim is accepted.
    """
    if identity is not None and (identity.role != role or identity.name != name):
        raise IdentityMismatch(identity=str(identity), claim=f"be {role} {name!r}")


def _check(identity: Identity, hello: Hello, roles: frozenset[ProcessRole], claim: str) -> None:
    same_process = identity.cluster_id == hello.cluster_id and identity.name == hello.name
    if identity.role not in roles or not same_process:
        claim = f"{claim} connections as {hello.name!r} of cluster {hello.cluster_id!r}"
        raise IdentityMismatch(identity=str(identity), claim=claim)
