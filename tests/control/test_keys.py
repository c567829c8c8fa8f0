"""Rotation of keys through the operators' interface, and TLS on a replica's ports."""

import asyncio
import contextlib
import random
import ssl
import uuid

import aiohttp
import pytest
from structlog.testing import capture_logs

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import KeyPurpose
from jasperwalk.control.peer_links import PeerLink, PeerNetwork
from jasperwalk.control.process import ControlProcess
from jasperwalk.control.replica import ReplicaConfig
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.distribution.follower_events import FollowerConfig, SubscriberFacts
from jasperwalk.distribution.runner import FollowerRunner
from jasperwalk.messages.distribution import SubscriberRole
from jasperwalk.transport.certificates import CONTROL_HOST_NAME
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer
from jasperwalk_lab.ports import common_port

ANY_PORT = Endpoint("127.0.0.1", 0)


async def generations(running, replica_id=1):
    """Return a replica's view of the connection ID keys: states by generation."""
    answer = await running.call("GET", "/v1/keys", replica_id)
    keys = answer.body.get("keys", [])
    return {
        each["generation"]: each["state"] for each in keys if each["purpose"] == "connection-id"
    }


def test_a_rotation_waits_for_every_live_process_and_shows_no_secret(cluster, run):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            balancer = running.subscribe_balancer()
            async with asyncio.timeout(60):
                while await generations(running) != {1: "active", 2: "waiting"}:
                    await asyncio.sleep(0.05)
            path = "/v1/keys/connection-id/rotate"
            first = await running.accept("POST", path, change_id="rotation")
            again = await running.accept("POST", path, replica_id=2, change_id="rotation")
            assert again.body == first.body
            async with asyncio.timeout(60):
                while await generations(running, 3) != {1: "accepted", 2: "active", 3: "waiting"}:
                    await asyncio.sleep(0.05)
            assert balancer.table.revision >= first.body["revision"]
            shown = str((await running.call("GET", "/v1/keys")).body)
            fleet_keys = list(running.processes[1].replica.state.table.keys())
            assert not any(each.secret.hex() in shown for each in fleet_keys)
            tickets = {each.generation for each in fleet_keys if each.purpose is KeyPurpose.TICKET}
            assert tickets == {1, 2}
            unknown = await running.call("POST", "/v1/keys/shoes/rotate")
            assert unknown.body["kind"] == "bad-request"

    run(scenario())


def context_of(certificates, role, name):
    files = certificates.tls(role, name)._files
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(files.ca_file)
    context.load_cert_chain(files.certificate_file, files.private_key_file)
    return context


@contextlib.asynccontextmanager
async def protected_replica(certificates, folder):
    tls = certificates.tls("control", "control-1")
    peer = Endpoint("127.0.0.1", common_port(("127.0.0.1",)))
    config = ReplicaConfig("control-1", "zagreb", 1, folder, peer, {1: peer}, tls=tls)
    process = ControlProcess(config, ANY_PORT, random.Random(1), tls)
    task = asyncio.create_task(process.run(asyncio.Event()))
    async with asyncio.timeout(60):
        while not process.replica.has_quorum() or not process.api_endpoint.port:
            await asyncio.sleep(0.02)
    try:
        yield process
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


REACHABLE = {
    ("operator", "/v1/status"): 200,
    ("control", "/v1/status"): 200,
    ("agent", "/v1/status"): 403,
    ("balancer", "/v1/keys"): 403,
    ("agent", "/metrics"): 200,
    ("balancer", "/healthz"): 200,
}


def test_the_api_takes_operators_alone(certificates, run, tmp_path):
    async def status_of(process, context, path):
        url = f"https://{process.api_endpoint}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, ssl=context, server_hostname=CONTROL_HOST_NAME) as response,
        ):
            return response.status

    async def scenario():
        async with protected_replica(certificates, tmp_path / "data") as process:
            for (role, path), status in REACHABLE.items():
                context = context_of(certificates, role, "someone")
                assert await status_of(process, context, path) == status, (role, path)
            without = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            without.load_verify_locations(certificates.folder / "ca.pem")
            with pytest.raises(aiohttp.ClientError):
                await status_of(process, without, "/v1/status")
            with pytest.raises(aiohttp.ClientError):
                async with aiohttp.ClientSession() as session:
                    await session.get(f"http://{process.api_endpoint}/v1/status")

    run(scenario())


@pytest.mark.parametrize(
    ("certificate_role", "subscriber_role", "is_served"),
    [
        ("balancer", SubscriberRole.BALANCER, True),
        ("agent", SubscriberRole.AGENT, True),
        ("agent", SubscriberRole.BALANCER, False),
        ("balancer", SubscriberRole.AGENT, False),
        ("operator", SubscriberRole.BALANCER, False),
    ],
)
def test_a_subscriber_is_what_its_certificate_says(
    certificates, run, tmp_path, wait_for, certificate_role, subscriber_role, is_served
):
    async def scenario():
        async with protected_replica(certificates, tmp_path / "data") as process:
            facts = SubscriberFacts(
                "someone", subscriber_role, "z", Endpoint("127.0.1.1", 7000), uuid.uuid4().hex
            )
            core = FollowerCore(
                FollowerConfig(), facts, [process.replica.endpoint], random.Random(1)
            )
            tls = certificates.tls(certificate_role, "someone")
            runner = FollowerRunner(core, "zagreb", lambda _table: None, tls=tls)
            task = asyncio.create_task(runner.run())
            refused = process.replica._server.refused
            await wait_for(lambda: runner.table.revision or refused)
            assert bool(runner.table.revision) == is_served
            assert set(refused) == (set() if is_served else {"identity-mismatch"})
            runner.stop()
            await task

    run(scenario())


def test_a_replica_with_an_expired_certificate_is_back_once_it_is_renewed(
    certificates, run, wait_for
):
    async def scenario():
        hello = make_hello(ConnectionKind.PEER, "control-1", "zagreb")
        network = PeerNetwork("control-1", 1, "zagreb", lambda *_: None)
        server = FramedServer(
            ANY_PORT,
            hello,
            {ConnectionKind.PEER: network.serve},
            tls=certificates.tls("control", "control-1"),
        )
        await server.start()
        expired = certificates.tls("control", "control-2", lifetime=-certificates.HOUR)
        link = PeerLink(server.endpoint, "control-2", 2, "zagreb", expired)
        with capture_logs() as logs:
            task = asyncio.create_task(link.run())
            await wait_for(lambda: sum(each["event"] == "peer-refused" for each in logs) > 1)
        refusals = [each for each in logs if each["event"] == "peer-refused"]
        assert {each["kind"] for each in refusals} == {"certificate-refused"}
        assert not link.connected
        certificates.issue("control", "control-2")
        certificates.advance_past_poll()
        await wait_for(lambda: link.connected)
        task.cancel()
        await server.close()

    run(scenario())
