"""The fleet's processes: each host starts the product's own process object on virtual time."""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path
from typing import Any

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.process import Agent
from jasperwalk.balancer.process import BalancerProcess
from jasperwalk.control.applied import AppliedEntry
from jasperwalk.control.replica import ControlReplica, ReplicaConfig
from jasperwalk.control.state.outcomes import Outcome
from jasperwalk.observability.metrics import MetricsRegistry
from jasperwalk.settings.models import LOOPBACK_NETWORK, AgentSettings, BalancerSettings
from jasperwalk_lab.simulator.clock import SimulatedProcess, current_process
from jasperwalk_lab.simulator.disk import Disk
from jasperwalk_lab.simulator.layout import BACKEND_PORT, FABRIC

CLUSTER_ID = "simulated"
SNAPSHOT_INTERVAL_ENTRIES = 60
"""Small, so that snapshots and the log's truncation happen in every run."""
UNUSED_ENDPOINT = Endpoint("127.0.0.1", 0)
UNUSED_PATH = Path("unused")
MAX_CLOCK_DRIFT = 0.01


class ObservedReplica(ControlReplica):
    """The product's replica, which also shows the world every entry that it applies."""

    def entry_applied(self, entry: AppliedEntry[Outcome]) -> None:
        """Take note of one applied entry."""
        process = current_process()
        process.world.applied(process.name, entry)
        super().entry_applied(entry)


class Host:
    """A machine with one process of the fleet, which may be started again and again."""

    def __init__(self, world: Any, name: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.process: SimulatedProcess | None = None
        self._start_numbers = itertools.count(1)

    @property
    def running(self) -> bool:
        """Tell whether the process runs and is not frozen."""
        return self.process is not None and not self.process.frozen

    def start(self) -> None:
        """Start the process, if it is down."""
        if self.process is not None:
            return
        drift = self.world.fault_random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self.process = SimulatedProcess(self.name, self.zone, self.world, drift)
        self.process.random.seed(f"{self.world.seed}-{self.name}-{next(self._start_numbers)}")
        self.process.start(self.main())

    def kill(self, machine_lost: bool = False) -> None:
        """End the process at once."""
        if self.process is None:
            return
        self.process.machine_lost = machine_lost
        self.process.kill()
        self.world.network.process_ended(self.process)
        self.world.ended_processes.append(self.process)
        self.process = None

    def freeze(self) -> None:
        """Stop the process as SIGSTOP does."""
        if self.process is not None:
            self.process.freeze()

    def thaw(self) -> None:
        """Let a frozen process go on."""
        if self.process is not None:
            self.process.thaw()

    async def main(self) -> None:
        """Run the process."""
        raise NotImplementedError


class ControlHost(Host):
    """A machine with a control replica; its disk outlives the process unless wiped."""

    def __init__(self, world: Any, machine: int, replica_id: int) -> None:
        super().__init__(world, f"control-{machine}", world.layout.zone(machine))
        self.machine = machine
        self.replica_id = replica_id
        self.endpoint = world.layout.replica_endpoint(machine)
        self.disk: Disk | None = None
        self.replica: ControlReplica | None = None

    async def main(self) -> None:
        """Run a replica."""
        layout = self.world.layout
        peers = {
            machine: layout.replica_endpoint(machine)
            for machine in range(1, layout.replica_count + 1)
        }
        config = ReplicaConfig(
            name=self.name,
            cluster_id=CLUSTER_ID,
            replica_id=self.replica_id,
            data_folder=UNUSED_PATH,
            peer_listen=self.endpoint,
            peers=peers,
            snapshot_interval_entries=SNAPSHOT_INTERVAL_ENTRIES,
            platform_list_url="simulated",
        )
        assert self.process is not None
        random = self.process.random
        self.replica = ObservedReplica(config, MetricsRegistry("control"), random)
        await self.replica.start()
        await self.replica.run()

    def open_disk(self, new_disk_id: str) -> Disk:
        """Return the disk; an empty one is made when there is none."""
        if self.disk is None:
            random = self.world.fault_random
            self.disk = self.world.disk_class(self.replica_id, new_disk_id, random)
        return self.disk

    def kill(self, machine_lost: bool = False) -> None:
        """End the process; what was not synced is lost."""
        super().kill(machine_lost)
        self.replica = None
        if self.disk is not None:
            self.disk.crash()

    def wipe(self, new_replica_id: int) -> None:
        """Lose the disk; the machine comes back as another replica."""
        self.kill(machine_lost=True)
        self.disk = None
        self.replica_id = new_replica_id


class BalancerHost(Host):
    """A machine with a balancer."""

    def __init__(self, world: Any, number: int) -> None:
        super().__init__(world, f"balancer-{number}", world.layout.zone(number))
        self.endpoint = world.layout.balancer_endpoint(number)
        self.balancer: BalancerProcess | None = None

    async def main(self) -> None:
        """Run a balancer."""
        settings = BalancerSettings.model_construct(
            name=self.name,
            cluster_id=CLUSTER_ID,
            zone=self.zone,
            listen=self.endpoint,
            admin_listen=UNUSED_ENDPOINT,
            control=self.world.control_endpoints(),
            agent_networks=[LOOPBACK_NETWORK],
            new_flows_per_second=1000,
        )
        self.balancer = BalancerProcess(settings)
        await self.balancer.run(asyncio.Event())

    def kill(self, machine_lost: bool = False) -> None:
        """End the process."""
        super().kill(machine_lost)
        self.balancer = None


class AgentHost(Host):
    """A machine with an agent and a back end beside it."""

    def __init__(self, world: Any, name: str, number: int) -> None:
        super().__init__(world, name, world.layout.zone(number))
        self.endpoint = world.layout.agent_endpoint(name)
        self.agent: Agent | None = None
        self.stopping = False
        self.stopped_at = 0.0

    async def main(self) -> None:
        """Run an agent; a planned stop ends it from inside."""
        settings = AgentSettings.model_construct(
            name=self.name,
            cluster_id=CLUSTER_ID,
            zone=self.zone,
            listen=self.endpoint,
            admin_listen=UNUSED_ENDPOINT,
            control=self.world.control_endpoints(),
            backend=Endpoint("127.0.0.1", BACKEND_PORT),
            fabric=FABRIC,
            certificate_file=UNUSED_PATH,
            private_key_file=UNUSED_PATH,
        )
        self.stopping = False
        self.agent = Agent(settings)
        await self.agent.run()
        self.world.agent_stopped(self)

    def stop(self) -> None:
        """Stop the agent as SIGTERM does: it ends its open requests first."""
        event = self.world.stop_events.get(self.name)
        if self.process is not None and event is not None:
            self.stopping = True
            self.process.call(event.set)

    def kill(self, machine_lost: bool = False) -> None:
        """End the process."""
        super().kill(machine_lost)
        self.agent = None
