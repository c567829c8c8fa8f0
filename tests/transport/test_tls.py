"""Mutual TLS of framed links: accepted and refused peers, and renewal of files in use."""

import asyncio
import contextlib
import datetime

import pytest
import uvloop

from jasperwalk.addresses import Endpoint
from jasperwalk.settings.models import ProcessSettings
from jasperwalk.transport.certificates import make_authority, tls_files_of
from jasperwalk.transport.client import connect
from jasperwalk.transport.errors import (
    CertificateRefused,
    IdentityMismatch,
    TlsError,
    TlsFailed,
    TransportError,
    UnusableCertificate,
)
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.identity import (
    CLIENT_ROLES,
    SERVER_ROLES,
    Identity,
    ProcessRole,
    check_claim,
)
from jasperwalk.transport.server import FramedServer
from jasperwalk.transport.tls import LinkTls, describe_links, link_tls_of

DAY = datetime.timedelta(days=1)
EXPIRED = datetime.timedelta(seconds=-1)
KIND = ConnectionKind
LOOPS = pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])


async def echo(connection):
    while True:
        await connection.send(await connection.receive())


@contextlib.asynccontextmanager
async def serving(tls, name="control-1", cluster_id="zagreb"):
    hello = make_hello(KIND.PEER, name, cluster_id)
    handlers = dict.fromkeys(KIND, echo)
    server = FramedServer(Endpoint("127.0.0.1", 0), hello, handlers, tls=tls)
    await server.start()
    try:
        yield server
    finally:
        await server.close()


async def echoed(server, tls, kind=KIND.PEER, name="control-2", cluster_id="zagreb"):
    connection = await connect(server.endpoint, make_hello(kind, name, cluster_id), tls=tls)
    try:
        await connection.send(b"hello")
        return await connection.receive()
    finally:
        connection.abort()


@LOOPS
@pytest.mark.parametrize(
    ("server_role", "role", "kind"),
    [
        ("control", "control", KIND.PEER),
        ("control", "balancer", KIND.SUBSCRIBER),
        ("control", "agent", KIND.SUBSCRIBER),
        ("agent", "agent", KIND.RELAY),
        ("agent", "agent", KIND.LENDING),
    ],
)
def test_both_sides_prove_their_identity(certificates, run, server_role, role, kind):
    async def scenario():
        async with serving(certificates.tls(server_role, "one"), "one") as server:
            tls = certificates.tls(role, "two")
            connection = await connect(server.endpoint, make_hello(kind, "two", "zagreb"), tls=tls)
            assert str(connection.identity) == f"jasperwalk://zagreb/{server_role}/one"
            await connection.send(b"hello")
            assert await connection.receive() == b"hello"
            assert connection._writer.get_extra_info("cipher")[1] == "TLSv1.3"
            connection.abort()

    run(scenario())


def test_every_kind_that_is_opened_names_its_roles():
    assert set(KIND) - set(CLIENT_ROLES) == {KIND.REPORTER}  # no role may open one
    assert set(CLIENT_ROLES) == set(SERVER_ROLES)


REFUSED_CLIENTS = {
    "an agent as a replica": ("agent", "control-2", KIND.PEER, {}),
    "a balancer as a replica": ("balancer", "control-2", KIND.PEER, {}),
    "an operator as a subscriber": ("operator", "control-2", KIND.SUBSCRIBER, {}),
    "a replica as a subscriber": ("control", "control-2", KIND.SUBSCRIBER, {}),
    "a balancer as a relaying agent": ("balancer", "control-2", KIND.RELAY, {}),
    "a kind that nobody opens": ("control", "control-2", KIND.REPORTER, {}),
    "another name": ("control", "control-3", KIND.PEER, {}),
    "another cluster": ("control", "control-2", KIND.PEER, {"cluster_id": "hanoi"}),
}


@pytest.mark.parametrize(
    ("role", "name", "kind", "other"), REFUSED_CLIENTS.values(), ids=REFUSED_CLIENTS
)
def test_a_certificate_opens_only_what_its_holder_may(certificates, role, name, kind, other):
    async def scenario():
        async with serving(certificates.tls("control", "control-1")) as server:
            with pytest.raises(TransportError):
                await echoed(server, certificates.tls(role, name, **other), kind)
            async with asyncio.timeout(10):
                while not server.refused:
                    await asyncio.sleep(0.01)
            assert server.refused == {"identity-mismatch": 1}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("role", "name"), [("agent", "control-1"), ("balancer", "control-1"), ("control", "other")]
)
def test_a_client_refuses_a_server_that_is_not_what_it_says(certificates, role, name):
    async def scenario():
        async with serving(certificates.tls(role, name)) as server:
            with pytest.raises(IdentityMismatch):
                await echoed(server, certificates.tls("control", "control-2"))

    asyncio.run(scenario())


def test_a_subscribers_claim_is_checked_against_its_certificate():
    identity = Identity("zagreb", ProcessRole.BALANCER, "b")
    check_claim(identity, "balancer", "b")
    check_claim(None, "agent", "anyone")
    for role, name in (("agent", "b"), ("balancer", "c")):
        with pytest.raises(IdentityMismatch):
            check_claim(identity, role, name)


@LOOPS
@pytest.mark.parametrize("case", ["wrong CA", "expired", "wrong CA of server", "expired server"])
def test_invalid_certificates_are_refused(certificates, other_cluster_certificates, run, case):
    async def scenario():
        server_side = other_cluster_certificates if case == "wrong CA of server" else certificates
        client_side = other_cluster_certificates if case == "wrong CA" else certificates
        server_life = EXPIRED if case == "expired server" else DAY
        client_life = EXPIRED if case == "expired" else DAY
        async with serving(server_side.tls("control", "control-1", server_life)) as server:
            tls = client_side.tls("control", "control-2", client_life)
            with pytest.raises(CertificateRefused):
                await echoed(server, tls)

    run(scenario())


@LOOPS
def test_a_client_whose_ca_the_server_does_not_know_learns_of_it(
    certificates, other_cluster_certificates, run
):
    """The client trusts both CAs, as during a replacement of the CA."""

    async def scenario():
        async with serving(certificates.tls("control", "control-1")) as server:
            identity = other_cluster_certificates.issue("control", "control-2")
            ca_file = other_cluster_certificates.folder / "ca.pem"
            ca_file.write_bytes(
                ca_file.read_bytes() + (certificates.folder / "ca.pem").read_bytes()
            )
            with pytest.raises(TlsError):
                await echoed(
                    server,
                    LinkTls(tls_files_of(identity, other_cluster_certificates.folder), identity),
                )

    run(scenario())


@LOOPS
def test_a_plain_client_and_a_plain_server_are_refused(certificates, run):
    async def scenario():
        tls = certificates.tls("control", "control-1")
        async with serving(tls) as server:
            with pytest.raises(TransportError):
                await echoed(server, None)
            assert await echoed(server, certificates.tls("control", "control-2")) == b"hello"
        async with serving(None) as server:
            with pytest.raises(TlsFailed):
                await echoed(server, tls)
            assert await echoed(server, None) == b"hello"

    run(scenario())


@LOOPS
@pytest.mark.parametrize("renewed", ["client", "server", "ca"])
def test_renewed_files_count_for_new_connections_without_a_restart(certificates, run, renewed):
    async def scenario():
        short_life = {"client": (DAY, EXPIRED), "server": (EXPIRED, DAY), "ca": (DAY, DAY)}
        server_life, client_life = short_life[renewed]
        server_tls = certificates.tls("control", "control-1", server_life)
        client_tls = certificates.tls("control", "control-2", client_life)
        async with serving(server_tls) as server:
            if renewed == "ca":
                open_connection = await connect(
                    server.endpoint, make_hello(KIND.PEER, "control-2", "zagreb"), tls=client_tls
                )
                former_tls = certificates.tls("control", "control-3")
                certificates.use(make_authority("another CA"))
            else:
                with pytest.raises(CertificateRefused):
                    await echoed(server, client_tls)
            certificates.issue("control", "control-1")
            certificates.issue("control", "control-2")
            certificates.advance_past_poll()
            assert await echoed(server, client_tls) == b"hello"
            if renewed == "ca":
                # A process that keeps its old files.
                former_tls._file_monitor.changed = lambda: False
                with pytest.raises(TlsError):
                    await echoed(server, former_tls, name="control-3")
                await open_connection.send(b"still here")
                assert await open_connection.receive() == b"still here"
                open_connection.abort()

    run(scenario())


def test_mismatched_files_leave_the_former_ones_in_use(certificates):
    async def scenario():
        server_tls = certificates.tls("control", "control-1")
        client_tls = certificates.tls("control", "control-2")
        key_file = tls_files_of(client_tls.identity, certificates.folder).private_key_file
        valid_key = key_file.read_bytes()
        async with serving(server_tls) as server:
            for content in (b"", certificates.folder.joinpath("ca.key").read_bytes()):
                key_file.write_bytes(content)
                certificates.advance_past_poll()
                assert await echoed(server, client_tls) == b"hello"
            key_file.write_bytes(valid_key)
            certificates.advance_past_poll()
            assert await echoed(server, client_tls) == b"hello"

    asyncio.run(scenario())


@pytest.mark.parametrize("case", ["wrong name", "no key", "no certificate", "garbage"])
def test_a_process_does_not_start_with_files_that_are_not_its_own(certificates, case):
    identity = certificates.issue("control", "control-1")
    files = tls_files_of(identity, certificates.folder)
    if case == "wrong name":
        identity = Identity("zagreb", ProcessRole.CONTROL, "control-2")
    elif case == "no key":
        files.private_key_file.unlink()
    elif case == "no certificate":
        files.certificate_file.unlink()
    else:
        files.certificate_file.write_bytes(b"-----BEGIN")
    with pytest.raises(UnusableCertificate):
        LinkTls(files, identity)


def test_settings_say_whether_links_are_protected(certificates):
    document = {"name": "b", "cluster_id": "zagreb", "zone": "z"}
    plain = ProcessSettings.model_validate(document)
    assert link_tls_of(plain, ProcessRole.BALANCER) is None
    assert "plain TCP" in describe_links(None)
    files = tls_files_of(certificates.issue("balancer", "b"), certificates.folder)
    table = {name: str(getattr(files, name)) for name in files.__dataclass_fields__}
    settings = ProcessSettings.model_validate({**document, "tls": table})
    tls = link_tls_of(settings, ProcessRole.BALANCER)
    assert tls is not None
    assert tls.expires_at.isoformat() in describe_links(tls)
