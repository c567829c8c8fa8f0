"""Malformed input on the port for replicas and subscribers, and a replica that lost its disk."""

import shutil

import msgspec
import pytest

from jasperwalk.control.peer_messages import (
    ForwardProposal,
    ForwardReply,
    ProposalVerdict,
    RaftPayload,
)
from jasperwalk.control.state.outcomes import MalformedCommand
from jasperwalk.control.state.state_image import decode_state
from jasperwalk.errors import JasperwalkError
from jasperwalk.messages import codec
from jasperwalk.messages.distribution import Acknowledge
from jasperwalk.transport.client import connect
from jasperwalk.transport.hello import ConnectionKind, make_hello

QUICK = {"heartbeat_interval_seconds": 0.02, "election_timeout_seconds": 0.1}

PEER = ConnectionKind.PEER
SUBSCRIBER = ConnectionKind.SUBSCRIBER

CASES = [
    (PEER, b""),
    (PEER, b"\xff" * 100),
    (PEER, codec.encode(Acknowledge(revision=1, healthy=True, open_flows=0))),
    (PEER, codec.encode(RaftPayload(payload=b"garbage"))),
    (PEER, codec.encode(ForwardReply(9, ProposalVerdict.APPENDED, 1, 1))),
    (PEER, codec.encode(ForwardProposal(request_number=1, command=b"not a command"))),
    (PEER, codec.encode(ForwardProposal(request_number=1, command=b"x" * 2_000_000))),
    (SUBSCRIBER, b""),
    (SUBSCRIBER, b"\x9f" * 1000),
    (SUBSCRIBER, codec.encode(Acknowledge(revision=1, healthy=True, open_flows=0))),
    (ConnectionKind.RELAY, b"anything"),
]


@pytest.mark.parametrize("cluster_id", ["test", "another"])
def test_hostile_frames_end_no_more_than_their_connection(cluster, run, new_tenant, cluster_id):
    async def scenario():
        async with cluster(size=1, **QUICK) as one:
            await one.configure()
            for number, (kind, payload) in enumerate(CASES):
                await send_one(one.endpoints[1], kind, payload, cluster_id)
                body = new_tenant(weight=number)
                await one.accept("PUT", "/v1/tenants/mreza", body=body)
            assert not one.tasks[1].done()
            network = one.processes[1].replica.network
            assert (network.malformed_messages > 0) == (cluster_id == "test")

    async def send_one(endpoint, kind, payload, cluster_id):
        try:
            connection = await connect(endpoint, make_hello(kind, "hostile", cluster_id, 9))
            await connection.send(payload)
            await connection.send(payload)
            await connection.close()
        except JasperwalkError:
            # The other side may close the connection at any point.
            return

    run(scenario())


def test_malformed_command_in_the_log_changes_nothing(cluster, run):
    async def scenario():
        async with cluster(size=1, **QUICK) as one:
            await one.configure()
            replica = one.processes[1].replica
            contents = contents_by_index(replica)
            # The leader's own commands may be appended before or after it.
            position = replica.runner.propose(b"not a command")
            entry = await replica.runner.applied.wait(position.index, position.term, 30.0)
            assert isinstance(entry.outcome, MalformedCommand)
            assert contents[position.index] == contents[position.index - 1]

    def contents_by_index(replica):
        """Record the complete state except its index, now and after every further entry."""
        contents = {}
        notify = replica.entry_applied

        def record(index):
            state = decode_state(replica.state.serialise())
            contents[index] = msgspec.structs.replace(state, last_index=0)

        def entry_applied(entry):
            record(entry.index)
            notify(entry)

        record(replica.runner.applied.index)
        replica.entry_applied = entry_applied
        return contents

    run(scenario())


def test_a_replica_that_lost_its_disk_is_displaced(cluster, run, wait_for, new_tenant, tmp_path):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            lost = (await running.leader()) % 3 + 1
            await running.kill(lost)
            shutil.rmtree(tmp_path / str(lost))
            await running.start(lost)
            process = running.processes[lost]
            await wait_for(lambda: process.replica.runner.is_displaced)
            assert (await running.call("GET", "/healthz", lost)).status == 503
            survivor = next(each for each in running.processes if each != lost)
            body = new_tenant(weight=3)
            await running.accept("PUT", "/v1/tenants/mreza", replica_id=survivor, body=body)

    run(scenario())
