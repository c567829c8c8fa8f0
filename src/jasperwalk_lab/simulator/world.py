"""The simulated world of one run: the fleet with its network, platform, callers and operators.

It also checks throughout the run that a term has one leader and replicas apply equal entries.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from random import Random
from typing import Any

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import AdminState, KeyPurpose, OperatingStatus
from jasperwalk.control.applied import AppliedEntry
from jasperwalk.control.replica import ControlReplica
from jasperwalk.control.state.outcomes import Outcome
from jasperwalk.membership.platform import MachineState, PlatformMachine
from jasperwalk.messages.proxy_protocol import HEADER_PREFIX
from jasperwalk.routing.connection_ids import ConnectionIdCodec
from jasperwalk_lab.operations import CallRecord
from jasperwalk_lab.simulator.backend import BackendProgram
from jasperwalk_lab.simulator.clock import SimulatedProcess
from jasperwalk_lab.simulator.disk import Disk
from jasperwalk_lab.simulator.hosts import AgentHost, BalancerHost, ControlHost, Host
from jasperwalk_lab.simulator.layout import FABRIC, Layout
from jasperwalk_lab.simulator.network import CLIENT_ZONE, Network
from jasperwalk_lab.simulator.platform import Platform
from jasperwalk_lab.simulator.record import Interval, Record, TableRevision

HEADER_LENGTH = 28
FABRIC_LAG_SECONDS = 1.0
"""Time until the fabric detects that a balancer is gone or new."""
MONITOR_INTERVAL_SECONDS = 0.05

DeliverDatagram = Callable[[bytes], None]


class World:
    """All state of one run; the substitutes reach it through the running process."""

    def __init__(self, seed: int, layout: Layout, disk_class: type[Disk] = Disk) -> None:
        self.seed = seed
        self.layout = layout
        self.disk_class = disk_class
        self.fault_random = Random(f"{seed}-faults")
        self.network = Network(Random(f"{seed}-network"), layout.conditions())
        self.record = Record()
        self.receivers: dict[Endpoint, tuple[SimulatedProcess, DeliverDatagram]] = {}
        self.flows: dict[Endpoint, DeliverDatagram] = {}
        self.stop_events: dict[str, asyncio.Event] = {}
        self.ended_processes: list[SimulatedProcess] = []
        self.traffic = True
        self.fabric_balancers: list[Endpoint] = []
        self.operator_sides: dict[str, str] = {}
        """For each operator, the control host on whose side of a network split it is."""
        self._flow_numbers = itertools.count(1)
        self._replica_ids = itertools.count(layout.replica_count + 1)
        self._committed: dict[int, AppliedEntry[Outcome]] = {}
        self._leaders: dict[int, str] = {}
        self.programs = {
            host: BackendProgram(host) for service in layout.services for host in service.hosts()
        }
        self.service_by_host = {
            host: service.name for service in layout.services for host in service.hosts()
        }
        self.moving: set[str] = set()
        self.controls = [
            ControlHost(self, machine, machine) for machine in range(1, layout.replica_count + 1)
        ]
        self.balancers = [
            BalancerHost(self, number) for number in range(1, layout.balancer_count + 1)
        ]
        self.agents = [
            AgentHost(self, host, number) for number, host in enumerate(self.programs, start=1)
        ]
        self.clients = SimulatedProcess("clients", CLIENT_ZONE, self)
        self.platform = Platform(self._machines(), self.fault_random)

    @property
    def now(self) -> float:
        """Return the true time, seconds."""
        return asyncio.get_running_loop().time()

    @property
    def hosts(self) -> list[Host]:
        """Return every host of the fleet."""
        return [*self.controls, *self.balancers, *self.agents]

    def host(self, name: str) -> Host:
        """Return a host by its name."""
        return next(each for each in self.hosts if each.name == name)

    def start(self) -> None:
        """Start all processes of the fleet, and the monitor of its leaders."""
        for host in self.hosts:
            host.start()
        self.fabric_balancers = [each.endpoint for each in self.balancers]
        self.clients.start(self._monitor_leaders())

    def _machines(self) -> list[PlatformMachine]:
        return [
            PlatformMachine(each.name, each.endpoint, each.zone, MachineState.LIVE)
            for each in self.agents
        ]

    # Used by the substitutes of the system

    def control_endpoints(self) -> list[Endpoint]:
        """Return the addresses of the control replicas."""
        return [each.endpoint for each in self.controls]

    def disk(self, replica_id: int, new_disk_id: str) -> Disk:
        """Return the disk of a starting replica."""
        host = next(each for each in self.controls if each.replica_id == replica_id)
        return host.open_disk(new_disk_id)

    def program(self, host: str) -> BackendProgram:
        """Return the backend program of an agent."""
        return self.programs[host]

    def service_of_host(self, host: str) -> str:
        """Return the service whose program runs on a host.

        An operator who moves a host changes its program when the agent starts to serve the new
        service, so during a move it is the service that the agent serves.
        """
        if host in self.moving:
            agent = next(each.agent for each in self.agents if each.name == host)
            if agent is not None and agent.view.service is not None:
                return agent.view.service.name
        return self.service_by_host[host]

    def table_changed(self, process: SimulatedProcess, table: Any) -> None:
        """Record that a process has another revision in force."""
        self.record.table_revisions[process.name].append(TableRevision(self.now, table.revision))
        self.record.trace(self.now, f"table {process.name} {table.revision}")

    def follower_started(self, process: SimulatedProcess, core: Any) -> None:
        """Record the start of a process, whose table begins at revision 0."""
        self.record.table_revisions[process.name].append(TableRevision(self.now, 0))

    def agent_stopped(self, host: AgentHost) -> None:
        """Record that an agent ended by itself, and end its process."""
        self.record.trace(self.now, f"stopped {host.name}")
        host.stopped_at = self.now
        if host.process is not None:
            self.clients.call(host.kill)

    def record_violation(self, text: str) -> None:
        """Record a broken promise, once for each text."""
        if text not in self.record.violations:
            self.record.violations.append(text)
            self.record.trace(self.now, f"VIOLATION {text}")

    # Datagrams

    def send_from_caller(
        self, caller: SimulatedProcess, source: Endpoint, vip: Endpoint, payload: bytes
    ) -> None:
        """Send a caller's datagram to a random balancer, as the fabric does."""
        if not self.fabric_balancers:
            return
        block = source.pack()[:4] + vip.pack()[:4] + source.pack()[4:] + vip.pack()[4:]
        endpoint = self.network.random.choice(self.fabric_balancers)
        self.send_datagram(caller, endpoint, HEADER_PREFIX + block + payload)

    def send_datagram(self, sender: SimulatedProcess, to: Endpoint, data: bytes) -> None:
        """Send a datagram to a balancer, an agent, or through the fabric to a caller."""
        if to == FABRIC:
            self._to_caller(sender, data)
            return
        receiver = self.receivers.get(to)
        if receiver is not None:
            process, deliver = receiver
            self.network.send_datagram(sender, process, deliver, data)

    def _to_caller(self, sender: SimulatedProcess, data: bytes) -> None:
        address = Endpoint.unpack(data[20:24] + data[26:28])
        deliver = self.flows.get(address)
        if deliver is not None:
            self.network.send_datagram(sender, self.clients, deliver, data[HEADER_LENGTH:])

    def operators_outside(self, hosts: tuple[str, ...]) -> list[str]:
        """Return the operators that are not on the side of a cut-off group.

        The cut of a single host affects all operators.
        """
        if len(hosts) == 1:
            return list(self.operator_sides)
        return [name for name, side in self.operator_sides.items() if side not in hosts]

    def new_replica_id(self) -> int:
        """Return an unused replica ID."""
        return next(self._replica_ids)

    def next_flow_number(self) -> int:
        """Return an unused flow number."""
        return next(self._flow_numbers)

    def host_of(self, connection_id: bytes) -> str:
        """Return the host of the agent that a connection ID names, empty if unknown."""
        replica = self.any_replica()
        if replica is None:
            return ""
        entries = replica.state.table.keys()
        keys = [entry for entry in entries if entry.purpose is KeyPurpose.CONNECTION_ID]
        routable = ConnectionIdCodec(keys).decode(connection_id)
        names = {each.endpoint: each.name for each in self.agents}
        return "" if routable is None else names.get(routable.address, "")

    def record_call(self, call: CallRecord) -> None:
        """Record one call of a caller."""
        self.record.calls.append(call)
        kind = type(call.outcome).__name__
        self.record.trace(self.now, f"call {call.request_id} {call.service} {kind}")

    @property
    def not_connected(self) -> int:
        """The number of calls whose flow could not be opened."""
        return self.record.not_connected

    @not_connected.setter
    def not_connected(self, count: int) -> None:
        self.record.not_connected = count

    # Current state

    def any_replica(self) -> ControlReplica | None:
        """Return the replica that has applied the most entries."""
        replicas = [each.replica for each in self.controls if each.replica is not None]
        return max(replicas, key=lambda one: one.state.last_index, default=None)

    def leader(self) -> ControlHost | None:
        """Return the host of the running leader with the highest term."""
        leading = [
            each
            for each in self.controls
            if each.running and each.replica is not None and each.replica.runner.is_leader
        ]
        return max(leading, key=_term_of, default=None)

    def ready(self) -> bool:
        """Tell whether all members are online and all balancers are up to date."""
        replica = self.any_replica()
        if replica is None or not replica.state.tenants():
            return False
        live = {each.endpoint for each in self.agents}
        members = [each for each in replica.state.members() if each.address in live]
        online = all(
            each.operating_status is OperatingStatus.ONLINE
            and each.admin_state is AdminState.ENABLED
            for each in members
        )
        current = all(
            each.balancer is not None
            and each.balancer.core.accepts_new_flows
            and self.record.table_revisions[each.name][-1].revision == replica.state.revision
            for each in self.balancers
        )
        return len(members) == len(live) and online and current

    # Invariants that are checked throughout the run

    async def _monitor_leaders(self) -> None:
        last_led: float | None = None
        while True:
            leader = self.leader()
            if leader is not None:
                if last_led is not None and self.now - last_led > 2 * MONITOR_INTERVAL_SECONDS:
                    self.record.leader_gaps.append(Interval(last_led, self.now))
                last_led = self.now
            for host in self.controls:
                if host.replica is not None:
                    self._check_leader(host)
            await asyncio.sleep(MONITOR_INTERVAL_SECONDS)

    def _check_leader(self, host: ControlHost) -> None:
        """Check election safety: a term has at most one leader."""
        assert host.replica is not None
        if not host.replica.runner.is_leader:
            return
        term = host.replica.runner.term
        identity = f"{host.replica_id}"
        if self._leaders.setdefault(term, identity) != identity:
            self.record_violation(f"two-leaders: term {term}")

    def applied(self, name: str, entry: AppliedEntry[Outcome]) -> None:
        """Check state machine safety: replicas apply the same entry at an index."""
        if self._committed.setdefault(entry.index, entry) != entry:
            self.record_violation(f"entries-differ: index {entry.index} at {name}")


def _term_of(host: ControlHost) -> int:
    return 0 if host.replica is None else host.replica.runner.term
