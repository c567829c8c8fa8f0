"""Control replicas on loopback in one process, with their operators' interface."""

import asyncio
import json
import random
import uuid
from dataclasses import dataclass, field

import aiohttp
import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.control.leader_duties import DutiesConfig
from jasperwalk.control.process import ControlProcess
from jasperwalk.control.replica import ReplicaConfig
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.distribution.follower_events import FollowerConfig, SubscriberFacts
from jasperwalk.distribution.runner import FollowerRunner
from jasperwalk.membership.liveness import LivenessConfig
from jasperwalk.messages.distribution import SubscriberRole
from jasperwalk_lab.ports import common_ports

DEADLINE_SECONDS = 60.0
ANY_PORT = Endpoint("127.0.0.1", 0)

TEMPLATE = """
name = "proofs"

[parameters.listener]
type = "address"

[parameters.members]
type = "members"

[parameters.weight]
type = "integer"
default = 100
minimum = 0
maximum = 1000

[[services]]
name = "urednik"
listener = "${listener}"
objective = "fewest-broken-flows"
members = "${members}"

[services.member_defaults]
weight = "${weight}"
slots = 4
"""


def tenant_body(port=9000, first_member=7000, members=2, weight=100):
    pool = [
        {"host": f"host-{n}", "zone": "dvorana-a", "address": f"127.0.1.1:{first_member + n}"}
        for n in range(members)
    ]
    values = {"listener": f"127.0.2.1:{port}", "members": pool, "weight": weight}
    return {"template": "proofs", "values": values}


async def eventually(condition):
    """Wait until the condition holds and return what it gave; fail after the deadline."""
    async with asyncio.timeout(DEADLINE_SECONDS):
        while not (value := condition()):
            await asyncio.sleep(0.02)
        return value


def free_endpoints(count):
    names = [str(number) for number in range(count)]
    ports = common_ports(names, ("127.0.0.1",))
    return [Endpoint("127.0.0.1", port) for port in ports.values()]


@dataclass
class Answer:
    status: int
    body: dict
    headers: dict


@dataclass
class Cluster:
    """Replicas 1 to `size`; `processes` holds those that run."""

    folder: object
    size: int = 3
    options: dict = field(default_factory=dict)
    processes: dict = field(default_factory=dict)
    tasks: dict = field(default_factory=dict)
    stops: dict = field(default_factory=dict)

    async def __aenter__(self):
        self.endpoints = dict(enumerate(free_endpoints(2 * self.size), start=1))
        self.initial_endpoints = {each: self.endpoints[each] for each in range(1, self.size + 1)}
        self.session = aiohttp.ClientSession()
        self.followers = []
        for replica_id in self.initial_endpoints:
            await self.start(replica_id)
        await self.leader()
        return self

    async def __aexit__(self, *_failure):
        for runner, task in self.followers:
            runner.stop()
            await task
        for replica_id in list(self.processes):
            await self.kill(replica_id)
        await self.session.close()

    async def start(self, replica_id):
        liveness = LivenessConfig(offline_after_seconds=1.5, leader_grace_seconds=2.0)
        config = ReplicaConfig(
            name=f"control-{replica_id}",
            cluster_id="test",
            replica_id=replica_id,
            data_folder=self.folder / str(replica_id),
            peer_listen=self.endpoints[replica_id],
            peers=self.initial_endpoints,
            duties=DutiesConfig(liveness=liveness),
            **self.options,
        )
        process = ControlProcess(config, ANY_PORT, random.Random(replica_id))
        self.stops[replica_id] = asyncio.Event()
        self.tasks[replica_id] = asyncio.create_task(process.run(self.stops[replica_id]))
        self.processes[replica_id] = process
        await eventually(lambda: process.api_endpoint.port or self.tasks[replica_id].done())
        if self.tasks[replica_id].done():
            self.tasks[replica_id].result()

    async def stop(self, replica_id):
        """Stop a replica as an operator does; return once it has ended."""
        self.stops[replica_id].set()
        del self.processes[replica_id]
        await self.tasks.pop(replica_id)

    async def kill(self, replica_id):
        del self.processes[replica_id]
        task = self.tasks.pop(replica_id)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def leader(self):
        """Wait until every running replica follows one leader; return its ID."""
        return await eventually(self._agreed_leader)

    def _agreed_leader(self):
        runners = [each.replica.runner for each in self.processes.values()]
        fresh = all(runner.quorum_age() < 1.0 for runner in runners)
        leaders = {runner.leader_id for runner in runners}
        return leaders.pop() if fresh and len(leaders) == 1 else None

    def cut(self, replica_id):
        """Cut a replica off from its peers; returns what heals it."""
        network = self.processes[replica_id].replica.network
        former = (network.send, network.on_message)
        network.send = lambda *_: False
        network.on_message = lambda *_: None

        def reconnect():
            network.send, network.on_message = former

        return reconnect

    def cut_link(self, sender_id, receiver_id):
        """Lose what one replica sends to another."""
        network = self.processes[sender_id].replica.network
        send = network.send

        def send_to_others(replica_id, message):
            return replica_id != receiver_id and send(replica_id, message)

        network.send = send_to_others

    async def call(self, method, path, replica_id=1, change_id=None, if_match=None, body=None):
        """Send one request to a replica; a dict travels as JSON."""
        headers = {}
        if change_id is not None:
            headers["Idempotency-Key"] = change_id
        if if_match is not None:
            headers["If-Match"] = f'"{if_match}"'
        data = json.dumps(body) if isinstance(body, dict) else body
        url = f"http://{self.processes[replica_id].api_endpoint}{path}"
        async with self.session.request(method, url, data=data, headers=headers) as response:
            raw = await response.read()
            is_json = "json" in response.content_type
            return Answer(response.status, json.loads(raw) if is_json else raw, response.headers)

    async def accept(self, method, path, **options):
        """Send a change, again under its change ID until it has an outcome; it is accepted."""
        options.setdefault("change_id", uuid.uuid4().hex)
        async with asyncio.timeout(DEADLINE_SECONDS):
            while (answer := await self.call(method, path, **options)).status in (503, 504):
                await asyncio.sleep(0.1)
        assert answer.status == 200, answer.body
        return answer

    async def configure(self, **options):
        await self.accept("PUT", "/v1/templates/proofs", body=TEMPLATE)
        return await self.accept("PUT", "/v1/tenants/mreza", body=tenant_body(**options))

    def subscribe(self, name, role, port, replicas=None):
        """Start a follower of the given replicas (all by default)."""
        facts = SubscriberFacts(
            name, role, "dvorana-a", Endpoint("127.0.1.1", port), uuid.uuid4().hex
        )
        endpoints = [self.endpoints[each] for each in replicas or self.initial_endpoints]
        core = FollowerCore(FollowerConfig(), facts, endpoints, random.Random(port))
        runner = FollowerRunner(core, "test", on_table_change=lambda _table: None)
        self.followers.append((runner, asyncio.create_task(runner.run())))
        return runner

    def subscribe_balancer(self, port=6000, replicas=None):
        return self.subscribe(f"balancer-{port}", SubscriberRole.BALANCER, port, replicas)

    def subscribe_agent(self, port):
        return self.subscribe(f"host-{port - 7000}", SubscriberRole.AGENT, port)


@pytest.fixture
def cluster(tmp_path):
    """Make a cluster: `async with cluster(size=3) as running: ...`."""
    return lambda size=3, **options: Cluster(tmp_path, size, options)


@pytest.fixture
def run():
    """Run one scenario with a bound on its time."""

    def run_scenario(scenario):
        async def bounded():
            async with asyncio.timeout(3 * DEADLINE_SECONDS):
                await scenario

        asyncio.run(bounded())

    return run_scenario


@pytest.fixture
def wait_for():
    return eventually


@pytest.fixture
def new_tenant():
    return tenant_body


@pytest.fixture
def template_text():
    return TEMPLATE
