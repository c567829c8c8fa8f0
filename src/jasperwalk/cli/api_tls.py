"""TLS of API calls: loads an operator's certificate and checks it before anything is sent."""

from __future__ import annotations

import datetime
import ssl
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509

from jasperwalk.cli.failures import InvalidInput

CA_FLAG = "--ca-file"
CERTIFICATE_FLAG = "--certificate"
KEY_FLAG = "--key"
RENEWAL_HINT = "make one with `jasperwalk keys init --operator NAME`"


@dataclass(frozen=True)
class ApiTlsFiles:
    """The files that the flags name: all three for https, or none for plain http."""

    ca_file: Path | None = None
    certificate_file: Path | None = None
    private_key_file: Path | None = None

    def context(self) -> ssl.SSLContext | None:
        """Load the files; raises `InvalidInput`. None where no file is named."""
        named = (self.ca_file, self.certificate_file, self.private_key_file)
        if not any(named):
            return None
        if self.ca_file is None or self.certificate_file is None or self.private_key_file is None:
            problem = "are not all given"
            flags = f"{CA_FLAG}, {CERTIFICATE_FLAG}, {KEY_FLAG}"
            raise InvalidInput(source=flags, problem=problem, mend="give all three, or none")
        return _load(self.ca_file, self.certificate_file, self.private_key_file)


def _load(ca_file: Path, certificate_file: Path, private_key_file: Path) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    try:
        context.load_verify_locations(ca_file)
    except OSError as error:
        raise InvalidInput(source=str(ca_file), problem=str(error), mend="name the CA") from error
    try:
        context.load_cert_chain(certificate_file, private_key_file)
        certificate = x509.load_pem_x509_certificate(certificate_file.read_bytes())
    except (OSError, ValueError) as error:
        source = str(certificate_file)
        raise InvalidInput(source=source, problem=str(error), mend=RENEWAL_HINT) from error
    expires_at = certificate.not_valid_after_utc
    if expires_at < datetime.datetime.now(datetime.UTC):
        problem = f"expired at {expires_at.isoformat()}"
        raise InvalidInput(source=str(certificate_file), problem=problem, mend=RENEWAL_HINT)
    return context
