"""A certificate authority and a server certificate for the lab, made afresh for every fleet."""

from __future__ import annotations

import datetime
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

SERVER_NAME = "portal.jasperwalk.test"
"""Name that callers verify; every lab service answers to it."""
LIFETIME = datetime.timedelta(days=2)
CLOCK_SKEW = datetime.timedelta(hours=1)


@dataclass(frozen=True)
class CertificateFiles:
    """Paths of the PEM files."""

    ca_file: Path
    certificate_file: Path
    private_key_file: Path


def write_certificates(folder: Path) -> CertificateFiles:
    """Make a CA and a server certificate, and write them as PEM files to `folder`."""
    ca_key = ec.generate_private_key(ec.SECP256R1())
    ca_name = _name("jasperwalk lab CA")
    ca = _builder(ca_name, ca_name, ca_key.public_key())
    ca = ca.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
    server_key = ec.generate_private_key(ec.SECP256R1())
    server = _builder(_name(SERVER_NAME), ca_name, server_key.public_key())
    names = x509.SubjectAlternativeName([x509.DNSName(SERVER_NAME)])
    server = server.add_extension(names, critical=False)
    files = CertificateFiles(
        ca_file=folder / "ca.pem",
        certificate_file=folder / "server.pem",
        private_key_file=folder / "server.key",
    )
    files.ca_file.write_bytes(_pem(ca.sign(ca_key, hashes.SHA256())))
    files.certificate_file.write_bytes(_pem(server.sign(ca_key, hashes.SHA256())))
    files.private_key_file.touch(mode=0o600)
    files.private_key_file.write_bytes(_private_pem(server_key))
    return files


def _name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def _builder(
    subject: x509.Name, issuer: x509.Name, public_key: ec.EllipticCurvePublicKey
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_SKEW)
        .not_valid_after(now + LIFETIME)
    )


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def _private_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
