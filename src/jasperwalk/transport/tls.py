"""Mutual TLS 1.3 of the internal links, from three PEM files that may be renewed at any time.

The files are checked when a connection opens, at most once in `POLL_SECONDS`; new connections
use the content of that time. Files that can't be used (a key that was replaced before its
certificate) are logged, and the former content stays in use until they can.
"""

from __future__ import annotations

import datetime
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import structlog
from cryptography import x509

from jasperwalk.settings.models import ProcessSettings
from jasperwalk.transport.errors import CertificateRefused, TlsFailed, UnusableCertificate
from jasperwalk.transport.file_monitor import FileMonitor
from jasperwalk.transport.identity import Identity, ProcessRole, parse_identity

EXPIRY_WARNING_TIME = datetime.timedelta(days=7)
"""Remaining lifetime of a certificate below which checks of the files log its expiry as a warning,
at most once in `WARNING_INTERVAL_SECONDS`."""
WARNING_INTERVAL_SECONDS = 3600.0

logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class TlsFiles:
    """PEM files: the cluster's CA, and this process's certificate chain and private key."""

    ca_file: Path
    certificate_file: Path
    private_key_file: Path


class LinkTls:
    """Holds the TLS contexts of one process; `expires_at` is its certificate's expiry."""

    def __init__(
        self, files: TlsFiles, identity: Identity, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Load the files; raises `UnusableCertificate`."""
        self.identity = identity
        self._files = files
        self._clock = clock
        paths = (files.ca_file, files.certificate_file, files.private_key_file)
        self._file_monitor = FileMonitor(paths, clock)
        self._warned_at: float | None = None
        self._load()
        self._listening_context = self._server
        self._listening_context.sni_callback = self._choose_context
        self._warn_of_expiry()

    def client_context(self) -> ssl.SSLContext:
        """Return the context for a connection that opens now."""
        self._reload_if_changed()
        return self._client

    def server_context(self) -> ssl.SSLContext:
        """Return the context to listen with; each new connection uses the newest files."""
        return self._listening_context

    def explain_close_after_handshake(self) -> CertificateRefused | TlsFailed:
        """Return the likely reason why the other side closed right after the handshake."""
        if self.expires_at < datetime.datetime.now(datetime.UTC):
            ended = f"this process's own expired at {self.expires_at.isoformat()}"
            return CertificateRefused(reason=ended)
        return TlsFailed(reason="closed by the other side, which may refuse this certificate")

    def _choose_context(
        self, connection: ssl.SSLObject, _name: str | None, _context: ssl.SSLContext
    ) -> None:
        """Switch a connection that opens now to the newest files (OpenSSL's SNI callback)."""
        self._reload_if_changed()
        connection.context = self._server

    def _reload_if_changed(self) -> None:
        if self._file_monitor.changed():
            try:
                self._load()
            except UnusableCertificate as error:
                logger.error("certificate-not-renewed", detail=error.describe())
                return
            self._warned_at = None
            logger.info("certificate-renewed", expires_at=self.expires_at.isoformat())
        self._warn_of_expiry()

    def _load(self) -> None:
        certificate = _read_certificate(self._files.certificate_file)
        _check_identity(certificate, self.identity, self._files.certificate_file)
        server = _load_context(ssl.PROTOCOL_TLS_SERVER, self._files)
        # Sessions are never resumed: each connection has to prove its certificate again.
        server.num_tickets = 0
        client = _load_context(ssl.PROTOCOL_TLS_CLIENT, self._files)
        self._server, self._client = server, client
        self.expires_at = certificate.not_valid_after_utc

    def _warn_of_expiry(self) -> None:
        now = self._clock()
        if self._warned_at is not None and now - self._warned_at < WARNING_INTERVAL_SECONDS:
            return
        remaining = self.expires_at - datetime.datetime.now(datetime.UTC)
        if remaining < EXPIRY_WARNING_TIME:
            self._warned_at = now
            event = (
                "certificate-expired" if remaining < datetime.timedelta() else "certificate-ends"
            )
            logger.warning(
                event,
                file=str(self._files.certificate_file),
                expires_at=self.expires_at.isoformat(),
            )


def link_tls_of(settings: ProcessSettings, role: ProcessRole) -> LinkTls | None:
    """Load the TLS of a process's internal links, None where its settings name no files.

    Raises `UnusableCertificate`.
    """
    if settings.tls is None:
        return None
    files = TlsFiles(
        settings.tls.ca_file, settings.tls.certificate_file, settings.tls.private_key_file
    )
    return LinkTls(files, Identity(settings.cluster_id, role, settings.name))


def describe_links(tls: LinkTls | None) -> str:
    """Describe in a few words how the internal links are protected."""
    if tls is None:
        return "internal links: plain TCP, no [tls] in the settings"
    return f"internal links: TLS, certificate until {tls.expires_at.isoformat()}"


def check_pair(certificate_file: Path, private_key_file: Path) -> None:
    """Raise `UnusableCertificate` unless a certificate and a private key belong together."""
    _load_pair(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), certificate_file, private_key_file)


def _load_context(protocol: int, files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_verify_locations(files.ca_file)
    except OSError as error:
        raise UnusableCertificate(file=str(files.ca_file), problem=str(error)) from error
    _load_pair(context, files.certificate_file, files.private_key_file)
    return context


def _load_pair(context: ssl.SSLContext, certificate_file: Path, private_key_file: Path) -> None:
    try:
        context.load_cert_chain(certificate_file, private_key_file)
    except OSError as error:
        problem = f"does not fit {private_key_file} ({error})"
        raise UnusableCertificate(file=str(certificate_file), problem=problem) from error


def _read_certificate(path: Path) -> x509.Certificate:
    try:
        return x509.load_pem_x509_certificate(path.read_bytes())
    except (OSError, ValueError) as error:
        raise UnusableCertificate(file=str(path), problem=str(error)) from error


def _check_identity(certificate: x509.Certificate, identity: Identity, path: Path) -> None:
    uris: list[str] = []
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName)
        uris = names.value.get_values_for_type(x509.UniformResourceIdentifier)
    except x509.ExtensionNotFound:
        pass
    if identity not in [parse_identity(uri) for uri in uris]:
        problem = f"names {', '.join(uris) or 'nobody'}, not {identity}"
        raise UnusableCertificate(file=str(path), problem=problem)
