"""Certificates of the lab, created for every fleet: for callers, and for internal links."""

from __future__ import annotations

import datetime
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509

from jasperwalk.transport.certificates import (
    certificate_pem,
    issue_certificate,
    issue_process_certificate,
    make_authority,
    tls_files_of,
    write_authority,
)
from jasperwalk.transport.identity import Identity
from jasperwalk.transport.tls import TlsFiles

SERVER_NAME = "portal.jasperwalk.test"
"""Name that callers verify; every lab service has it in its certificate."""
LIFETIME = datetime.timedelta(days=8)


@dataclass(frozen=True)
class CertificateFiles:
    """Paths of the PEM files."""

    ca_file: Path
    certificate_file: Path
    private_key_file: Path


def write_certificates(folder: Path) -> CertificateFiles:
    """Create a CA and a server certificate for callers, and write them as PEM files to `folder`."""
    authority = make_authority("jasperwalk lab CA", LIFETIME)
    files = TlsFiles(
        ca_file=folder / "ca.pem",
        certificate_file=folder / "server.pem",
        private_key_file=folder / "server.key",
    )
    files.ca_file.write_bytes(certificate_pem(authority.certificate))
    issue_certificate(authority, SERVER_NAME, [x509.DNSName(SERVER_NAME)], files, LIFETIME)
    return CertificateFiles(files.ca_file, files.certificate_file, files.private_key_file)


class LinkCertificates:
    """The CA of a fleet's internal links; `folder` holds it and the certificates that it issued."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir()
        self._authority = make_authority("jasperwalk lab links CA", LIFETIME)
        write_authority(self._authority, folder)

    def files(self, identity: Identity) -> TlsFiles:
        """Return a process's files; its certificate is created on the first call."""
        files = tls_files_of(identity, self.folder)
        if not files.certificate_file.exists():
            issue_process_certificate(self._authority, identity, self.folder, LIFETIME)
        return files
