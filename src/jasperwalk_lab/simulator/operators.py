"""Simulated operators: they make concurrent changes with expected revisions, and resend them.

Every attempt and its outcome goes into the record, for the checks of the changes.
"""

from __future__ import annotations

import asyncio
import dataclasses
from random import Random
from typing import Any

from jasperwalk.config.table_entries import AdminState
from jasperwalk.control.state.commands import (
    ApplyTemplate,
    OperatorCommand,
    SetHostState,
    SetTenant,
)
from jasperwalk.control.state.outcomes import Outcome
from jasperwalk.errors import JasperwalkError
from jasperwalk_lab.simulator.clock import SimulatedProcess
from jasperwalk_lab.simulator.configuration import (
    STUDIO_COUNT,
    member_value,
    service_values,
    studio_name,
    studio_values,
    template_text,
)
from jasperwalk_lab.simulator.hosts import ControlHost
from jasperwalk_lab.simulator.record import Attempt, Change, DrainSpan
from jasperwalk_lab.simulator.world import World

ANSWER_WAIT_LIMIT_SECONDS = 3.0
LOST_ANSWER_SHARE = 0.15
"""Share of the answers that do not reach the operator, in addition to network faults."""
EXPECTED_REVISION_SHARE = 0.7
"""Share of the changes that carry an expected revision."""
MAX_SENDS = 6
BURST_CONCURRENCY = 16
"""Changes of a burst that are in flight at the same time."""
STUDIO_TEMPLATE = "studio"


class OperatorClient:
    """Sends changes to control replicas and records the outcomes."""

    def __init__(self, world: World, name: str, zone: str, random: Random) -> None:
        self.world = world
        self.name = name
        self.random = random
        self.process = SimulatedProcess(name, zone, world)
        self._count = 0

    def new_change_id(self) -> str:
        """Return an unused change ID."""
        self._count += 1
        return f"{self.name}/{self._count}"

    async def send_until_outcome(self, command: OperatorCommand, sends: int = MAX_SENDS) -> Change:
        """Send a change to random replicas until an outcome is received, at most `sends` times."""
        change = Change(command, self.name)
        self.world.record.changes.append(change)
        for _ in range(sends):
            host = self.random.choice(self.world.controls)
            attempt = await self._attempt(host, command)
            change.attempts.append(attempt)
            text = attempt.refusal if attempt.outcome is None else attempt.outcome.kind
            self.world.record.trace(self.world.now, f"change {change.change_id} {text}")
            if attempt.outcome is not None:
                break
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
        return change

    async def _attempt(self, host: ControlHost, command: OperatorCommand) -> Attempt:
        invoked = self.world.now
        answered: asyncio.Future[Outcome | JasperwalkError] = (
            asyncio.get_running_loop().create_future()
        )
        if host.process is not None:
            self._send(host, host.process, command, answered)
        outcome: Outcome | None = None
        refusal = ""
        try:
            async with asyncio.timeout(ANSWER_WAIT_LIMIT_SECONDS):
                answer = await answered
            if isinstance(answer, JasperwalkError):
                refusal = answer.kind
            else:
                outcome = answer
        except TimeoutError:
            pass
        return Attempt(host.name, invoked, self.world.now, outcome, refusal)

    def _send(
        self,
        host: ControlHost,
        process: SimulatedProcess,
        command: OperatorCommand,
        answered: asyncio.Future[Outcome | JasperwalkError],
    ) -> None:
        network = self.world.network

        def receive_answer(answer: Outcome | JasperwalkError) -> None:
            if not answered.done():
                answered.set_result(answer)

        async def serve() -> None:
            if host.replica is None:
                return
            answer: Outcome | JasperwalkError
            try:
                answer = await host.replica.change(command)
            except JasperwalkError as error:
                answer = error
            if self.random.random() >= LOST_ANSWER_SHARE:
                network.send_once(process, self.process, receive_answer, answer)

        network.send_once(self.process, process, lambda: process.start(serve()))


class Operator:
    """Changes the queue lengths of random studios, mostly with the revision that it read before."""

    def __init__(
        self, operator_client: OperatorClient, pause_seconds: tuple[float, float] = (0.2, 1.2)
    ) -> None:
        self.operator_client = operator_client
        self._pause_seconds = pause_seconds

    async def run(self) -> None:
        """Make changes until the run stops its traffic."""
        world, random = self.operator_client.world, self.operator_client.random
        while world.traffic:
            await asyncio.sleep(random.uniform(*self._pause_seconds))
            number = random.randrange(STUDIO_COUNT)
            expected = None
            if random.random() < EXPECTED_REVISION_SHARE:
                expected = self._read_revision(studio_name(number))
            command = SetTenant(
                self.operator_client.new_change_id(),
                expected,
                studio_name(number),
                STUDIO_TEMPLATE,
                studio_values(number, queue=random.randint(1, 1000)),
            )
            await self.operator_client.send_until_outcome(command)

    def _read_revision(self, tenant: str) -> int:
        """Read a tenant's revision from a random replica that this operator can reach."""
        world = self.operator_client.world
        reachable = [
            each.replica
            for each in world.controls
            if each.running
            and each.replica is not None
            and each.process is not None
            and not world.network.is_cut(self.operator_client.process, each.process)
        ]
        if not reachable:
            return 0
        stored = self.operator_client.random.choice(reachable).state.tenant(tenant)
        return 0 if stored is None else stored.revision


class Administrator:
    """The operator who configures the fleet, drains hosts and moves them between services."""

    def __init__(self, operator_client: OperatorClient) -> None:
        self.operator_client = operator_client
        self.world = operator_client.world

    async def set_up(self) -> None:
        """Apply the templates and tenants of the deployment."""
        layout = self.world.layout
        names = [service.name for service in layout.services]
        for name in (*names, STUDIO_TEMPLATE):
            change_id = self.operator_client.new_change_id()
            await self._submit(ApplyTemplate(change_id, None, template_text(name)))
        for service in layout.services:
            await self.set_service(service.name, service_values(layout, service))
        for number in range(STUDIO_COUNT):
            values = studio_values(number, queue=1)
            change_id = self.operator_client.new_change_id()
            name = studio_name(number)
            await self._submit(SetTenant(change_id, 0, name, STUDIO_TEMPLATE, values))

    async def set_service(self, name: str, values: dict[str, Any]) -> None:
        """Set a service's tenant."""
        change_id = self.operator_client.new_change_id()
        await self._submit(SetTenant(change_id, None, name, name, values))

    async def drain(self, host: str) -> None:
        """Drain a host, and record when the change was accepted."""
        change_id = self.operator_client.new_change_id()
        asked_at = self.world.now
        await self._submit(SetHostState(change_id, host, AdminState.DRAINING))
        self.record_drain(host, asked_at)

    def record_drain(self, host: str, asked_at: float) -> None:
        """Record that a host, whose drain was requested at `asked_at`, is draining from now on."""
        span = DrainSpan(host, self.world.now, float("inf"), asked_at)
        self.world.record.drains.append(span)

    async def resume(self, host: str) -> None:
        """Return a host to service."""
        self.record_drain_end(host)
        change_id = self.operator_client.new_change_id()
        await self._submit(SetHostState(change_id, host, AdminState.ENABLED))

    def record_drain_end(self, host: str) -> None:
        """Record that a host may get new work again."""
        drains = self.world.record.drains
        for position, span in enumerate(drains):
            if span.host == host and span.end == float("inf"):
                drains[position] = dataclasses.replace(span, end=self.world.now)

    async def move(self, host: str, to_service: str) -> None:
        """Remove a host from the pool of its service, and add it to that of another one."""
        layout, world = self.world.layout, self.world
        from_service = world.service_by_host[host]
        world.moving.add(host)
        await self._set_members(from_service, without=host)
        world.service_by_host[host] = to_service
        await self._set_members(to_service, plus=host)
        world.record.trace(world.now, f"moved {host} to {to_service} of {layout.name}")

    async def burst(self, count: int) -> None:
        """Make many changes without pauses, a fixed number of them concurrently."""
        workers = (
            self._run_burst_changes(range(first, count, BURST_CONCURRENCY))
            for first in range(BURST_CONCURRENCY)
        )
        await asyncio.gather(*workers)

    async def _run_burst_changes(self, numbers: range) -> None:
        for number in numbers:
            studio = number % STUDIO_COUNT
            values = studio_values(studio, queue=number % 1000 + 1)
            change_id = self.operator_client.new_change_id()
            name = studio_name(studio)
            await self._submit(SetTenant(change_id, None, name, STUDIO_TEMPLATE, values))

    async def _set_members(self, service: str, without: str = "", plus: str = "") -> None:
        layout, world = self.world.layout, self.world
        hosts = [host for host, name in world.service_by_host.items() if name == service]
        hosts = [host for host in hosts if host != without]
        hosts += [plus] if plus and plus not in hosts else []
        slots = layout.service(service).slots
        pool = [member_value(layout, host, slots) for host in hosts]
        await self.set_service(service, {"vip": str(layout.listener(service)), "pool": pool})

    async def _submit(self, command: OperatorCommand) -> Change:
        return await self.operator_client.send_until_outcome(command, sends=60)
