"""`jasperwalk keys`: issue certificates, rotate fleet keys, and show which are in use."""

from __future__ import annotations

import datetime
from collections.abc import Iterable
from pathlib import Path

import click
import msgspec
from cryptography import x509

from jasperwalk.cli import api_requests
from jasperwalk.cli.change_submission import send_change
from jasperwalk.cli.failures import InvalidInput
from jasperwalk.cli.operation import (
    ChangeFlags,
    Operation,
    OperatorCommand,
    api_options,
    change_options,
)
from jasperwalk.cli.output import Printer, format_table
from jasperwalk.config.table_entries import KeyPurpose
from jasperwalk.control.views import KeyList, KeyView
from jasperwalk.settings.types import NAME_PATTERN
from jasperwalk.transport.certificates import (
    CA_FILE,
    CA_KEY_FILE,
    Authority,
    issue_process_certificate,
    make_authority,
    read_authority,
    tls_files_of,
    write_authority,
)
from jasperwalk.transport.identity import Identity, ProcessRole

DEFAULT_DAYS = 365
FOLDER_MODE = 0o700
HEADER = ("PURPOSE", "GENERATION", "ROTATION", "STATE", "SUPERSEDED AT")


class CertificateView(msgspec.Struct, frozen=True):
    """One certificate: holder, files, expiry (ISO 8601), and whether this run issued it."""

    holder: str
    certificate_file: str
    private_key_file: str
    expires_at: str
    made: bool


class CertificateList(msgspec.Struct, frozen=True):
    """The JSON object of `keys init`: certificates that it issued or found."""

    ca_file: str
    certificates: list[CertificateView]


@click.group()
def keys() -> None:
    """Issue certificates to processes and operators, and rotate the fleet's secret keys."""


@keys.command(
    cls=OperatorCommand,
    examples=(
        "jasperwalk keys init --data keys --cluster godisnjak --control control-1 --operator ana",
        "jasperwalk keys init --data keys --cluster godisnjak --agent urednik-1 --renew",
    ),
)
@click.option(
    "--data",
    "folder",
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help="Folder of the CA and its certificates; created where missing, readable by you only.",
)
@click.option("--cluster", "cluster_id", required=True, help="The cluster_id of the settings.")
@click.option("--control", "control", multiple=True, metavar="NAME", help="A control replica.")
@click.option("--balancer", "balancer", multiple=True, metavar="NAME", help="A balancer.")
@click.option("--agent", "agent", multiple=True, metavar="NAME", help="An agent, by its host.")
@click.option("--operator", "operator", multiple=True, metavar="NAME", help="An operator.")
@click.option(
    "--days",
    type=click.IntRange(min=1, max=3650),
    default=DEFAULT_DAYS,
    show_default=True,
    help="Lifetime of the certificates, in days.",
)
@click.option("--renew", is_flag=True, help="Issue the named ones again, also where they exist.")
@click.option("--json", "json_output", is_flag=True, help="Print one JSON object.")
def init(
    folder: Path,
    cluster_id: str,
    days: int,
    renew: bool,
    json_output: bool,
    **names: tuple[str, ...],
) -> None:
    """Create the cluster's CA and one certificate for each process and operator named.

    Run it again to add or renew some: the CA stays, and so do certificates not to be renewed.
    """
    holders = [
        Identity(_validated_name(cluster_id), ProcessRole(role), _validated_name(name))
        for role, given in names.items()
        for name in given
    ]
    authority = _load_or_create_authority(folder, cluster_id)
    lifetime = datetime.timedelta(days=days)
    views = [_issue_or_load(authority, holder, folder, lifetime, renew) for holder in holders]
    result = CertificateList(ca_file=str(folder / CA_FILE), certificates=views)
    Printer(json_output).result(result, list(_describe(result)))


@keys.command(cls=OperatorCommand, examples=("jasperwalk keys rotate connection-id --wait 10",))
@click.argument("purpose", type=click.Choice([each.value for each in KeyPurpose]))
@api_options
@change_options
def rotate(purpose: str, operation: Operation, flags: ChangeFlags) -> None:
    """Replace the active key of PURPOSE by the next one.

    A new key is installed; once every balancer and agent holds it, the next one becomes
    active. No flow breaks: the former key stays accepted while something still uses it.
    """
    operation.run(send_change(operation, api_requests.rotate_key(purpose), flags))


@keys.command(cls=OperatorCommand, examples=("jasperwalk keys show --json",))
@api_options
def show(operation: Operation) -> None:
    """Show the fleet keys: purpose, generation, rotation and state, never the secrets."""
    view = operation.run(operation.client.call(api_requests.read("keys"), KeyList))
    operation.printer.result(view, format_table(HEADER, [_row(each) for each in view.keys]))


def _row(key: KeyView) -> tuple[object, ...]:
    superseded_at = None
    if key.superseded_at_ms is not None:
        moment = datetime.datetime.fromtimestamp(key.superseded_at_ms / 1000, datetime.UTC)
        superseded_at = moment.isoformat(timespec="seconds")
    return (key.purpose, key.generation, key.rotation, key.state, superseded_at)


def _validated_name(name: str) -> str:
    if NAME_PATTERN.fullmatch(name) is None:
        mend = "use 1 to 63 letters, digits, dots, dashes and underscores"
        raise InvalidInput(source=name, problem="is not a name", mend=mend)
    return name


def _load_or_create_authority(folder: Path, cluster_id: str) -> Authority:
    """Read the folder's CA, or create one where there is none."""
    try:
        folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        if not (folder / CA_FILE).exists() and not (folder / CA_KEY_FILE).exists():
            authority = make_authority(f"jasperwalk CA of {cluster_id}")
            write_authority(authority, folder)
        return read_authority(folder)
    except (OSError, ValueError) as error:
        mend = f"restore {CA_FILE} and {CA_KEY_FILE}, or name another folder"
        raise InvalidInput(source=str(folder), problem=str(error), mend=mend) from error


def _issue_or_load(
    authority: Authority,
    holder: Identity,
    folder: Path,
    lifetime: datetime.timedelta,
    renew: bool,
) -> CertificateView:
    files = tls_files_of(holder, folder)
    made = renew or not files.certificate_file.exists()
    try:
        if made:
            issue_process_certificate(authority, holder, folder, lifetime)
        certificate = x509.load_pem_x509_certificate(files.certificate_file.read_bytes())
    except (OSError, ValueError) as error:
        source = str(files.certificate_file)
        raise InvalidInput(source=source, problem=str(error), mend="add --renew") from error
    return CertificateView(
        holder=str(holder),
        certificate_file=str(files.certificate_file),
        private_key_file=str(files.private_key_file),
        expires_at=certificate.not_valid_after_utc.isoformat(),
        made=made,
    )


def _describe(result: CertificateList) -> Iterable[str]:
    yield f"CA {result.ca_file}"
    for each in result.certificates:
        state = "made" if each.made else "kept"
        yield f"{state} {each.certificate_file} for {each.holder}, until {each.expires_at}"
