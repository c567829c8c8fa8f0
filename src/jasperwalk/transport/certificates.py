"""A cluster's certificate authority: creates the CA and issues the certificates of processes.

`jasperwalk keys init` writes them as PEM files; `tls` loads those of one process.
"""

from __future__ import annotations

import datetime
import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from jasperwalk.transport.identity import Identity, ProcessRole
from jasperwalk.transport.tls import TlsFiles

CA_FILE = "ca.pem"
CA_KEY_FILE = "ca.key"
CA_LIFETIME = datetime.timedelta(days=3650)
CLOCK_SKEW = datetime.timedelta(hours=1)
"""Certificates are valid from this long before their issue, for machines whose clock is behind."""
PRIVATE_MODE = 0o600
PUBLIC_MODE = 0o644
CONTROL_HOST_NAME = "control.jasperwalk.internal"
"""DNS name in the certificates of control replicas; clients of the HTTP API verify it."""


@dataclass(frozen=True)
class Authority:
    """A CA certificate with the private key that signs with it."""

    certificate: x509.Certificate
    private_key: ec.EllipticCurvePrivateKey


def make_authority(common_name: str, lifetime: datetime.timedelta = CA_LIFETIME) -> Authority:
    """Create a self-signed CA that may sign end-entity certificates only."""
    private_key = ec.generate_private_key(ec.SECP256R1())
    name = _name(common_name)
    builder = _builder(name, name, private_key, lifetime)
    builder = builder.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
    builder = builder.add_extension(
        x509.SubjectKeyIdentifier.from_public_key(private_key.public_key()), critical=False
    )
    return Authority(builder.sign(private_key, hashes.SHA256()), private_key)


def write_authority(authority: Authority, folder: Path) -> None:
    """Write the CA's certificate and private key to `folder`."""
    write_atomically(folder / CA_KEY_FILE, private_key_pem(authority.private_key), PRIVATE_MODE)
    write_atomically(folder / CA_FILE, certificate_pem(authority.certificate), PUBLIC_MODE)


def read_authority(folder: Path) -> Authority:
    """Read what `write_authority` wrote; raises `OSError` or `ValueError`."""
    certificate = x509.load_pem_x509_certificate((folder / CA_FILE).read_bytes())
    key_pem = (folder / CA_KEY_FILE).read_bytes()
    private_key = serialization.load_pem_private_key(key_pem, password=None)
    if not isinstance(private_key, ec.EllipticCurvePrivateKey):
        raise ValueError("the CA's key is not an elliptic curve key")
    return Authority(certificate, private_key)


def tls_files_of(identity: Identity, folder: Path) -> TlsFiles:
    """Return the paths in `folder` of the PEM files of a process."""
    stem = f"{identity.role}-{identity.name}"
    return TlsFiles(folder / CA_FILE, folder / f"{stem}.pem", folder / f"{stem}.key")


def issue_process_certificate(
    authority: Authority, identity: Identity, folder: Path, lifetime: datetime.timedelta
) -> TlsFiles:
    """Generate a key, issue a certificate for a process, and write both to `folder`."""
    names: list[x509.GeneralName] = [x509.UniformResourceIdentifier(str(identity))]
    if identity.role is ProcessRole.CONTROL:
        names.append(x509.DNSName(CONTROL_HOST_NAME))
    files = tls_files_of(identity, folder)
    issue_certificate(authority, identity.name, names, files, lifetime)
    return files


def issue_certificate(
    authority: Authority,
    common_name: str,
    names: Iterable[x509.GeneralName],
    files: TlsFiles,
    lifetime: datetime.timedelta,
) -> None:
    """Generate a key, issue a certificate for `names`, and write both to the files."""
    private_key = ec.generate_private_key(ec.SECP256R1())
    issuer = authority.certificate.subject
    builder = _builder(_name(common_name), issuer, private_key, lifetime)
    builder = builder.add_extension(x509.SubjectAlternativeName(names), critical=False)
    usages = x509.ExtendedKeyUsage(
        [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
    )
    builder = builder.add_extension(usages, critical=False)
    issuer_key = x509.AuthorityKeyIdentifier.from_issuer_public_key(
        authority.private_key.public_key()
    )
    builder = builder.add_extension(issuer_key, critical=False)
    certificate = builder.sign(authority.private_key, hashes.SHA256())
    write_atomically(files.private_key_file, private_key_pem(private_key), PRIVATE_MODE)
    write_atomically(files.certificate_file, certificate_pem(certificate), PUBLIC_MODE)


def write_atomically(path: Path, content: bytes, mode: int) -> None:
    """Replace a file by a rename, so that no reader sees a partly written one."""
    temporary = path.with_name(path.name + ".new")
    temporary.unlink(missing_ok=True)
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    with os.fdopen(descriptor, "wb") as file:
        file.write(content)
    temporary.replace(path)


def certificate_pem(certificate: x509.Certificate) -> bytes:
    """Encode a certificate as PEM."""
    return certificate.public_bytes(serialization.Encoding.PEM)


def private_key_pem(private_key: ec.EllipticCurvePrivateKey) -> bytes:
    """Encode a private key as unencrypted PEM (PKCS #8)."""
    return private_key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def _name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    private_key: ec.EllipticCurvePrivateKey,
    lifetime: datetime.timedelta,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(private_key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(min(now, now + lifetime) - CLOCK_SKEW)
        .not_valid_after(now + lifetime)
    )
