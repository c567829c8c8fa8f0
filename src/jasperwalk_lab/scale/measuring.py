"""Processor time, memory and bytes of a run's processes, taken at two moments."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass
from types import TracebackType
from typing import Self

import psutil

from jasperwalk.messages.distribution import SubscriberRole
from jasperwalk_lab.scale.channel import Count, Traffic
from jasperwalk_lab.scale.figures import ChangeCost, NodeCost, ProcessFigures
from jasperwalk_lab.scale.fleet import ScaleFleet
from jasperwalk_lab.scale.pool import HollowHandle, HollowPool

WATCH_SECONDS = 0.5


@dataclass(frozen=True)
class ProcessSample:
    """Processor seconds since the start of a process, and its memory in bytes."""

    processor_seconds: float
    resident_bytes: int
    unshared_bytes: int


@dataclass(frozen=True)
class FleetSample:
    """All processes of a run at one moment; hollow ones by the names of their shares."""

    at: float
    busy_seconds: float
    processes: dict[str, ProcessSample]
    traffic: dict[str, Traffic]

    def processor_seconds(self, names: Iterable[str]) -> float:
        """Sum the processor time of the named processes."""
        return sum(self.processes[name].processor_seconds for name in names)

    def unshared_bytes(self, names: Iterable[str]) -> int:
        """Sum the memory that the named processes share with nobody."""
        return sum(self.processes[name].unshared_bytes for name in names)

    def resident_bytes(self) -> int:
        """Sum the memory of all processes."""
        return sum(process.resident_bytes for process in self.processes.values())


class Meter:
    """Takes samples of a fleet and its hollow pool."""

    def __init__(self, fleet: ScaleFleet, pool: HollowPool) -> None:
        self._fleet = fleet
        self._pool = pool
        self.peak_resident_bytes = 0

    async def sample(self, *, with_nodes: bool = True) -> FleetSample:
        """Take a sample; without nodes, the real balancers and agents are left out."""
        names = list(self._fleet.control_names)
        if with_nodes:
            names += [*self._fleet.balancer_names, *self._fleet.agent_names]
        process_ids = {name: self._fleet.supervisor.process_id(name) for name in names}
        process_ids.update({each.share.name: each.process_id for each in self._pool.handles})
        traffic = await self._pool.ask_all(Count(), Traffic)
        shares = [handle.share.name for handle in self._pool.handles]
        # Reading a large process's memory map takes a while; the loop goes on meanwhile.
        processes = await asyncio.to_thread(_sample_processes, process_ids)
        sample = FleetSample(
            at=time.monotonic(),
            busy_seconds=_busy_seconds(),
            processes=processes,
            traffic=dict(zip(shares, traffic, strict=True)),
        )
        self.peak_resident_bytes = max(self.peak_resident_bytes, sample.resident_bytes())
        return sample

    def names_of(self, role: SubscriberRole) -> list[str]:
        """Return the names of the hollow processes of one role."""
        return [handle.share.name for handle in self._pool.of_role(role)]

    def followers_of(self, role: SubscriberRole) -> int:
        """Count the hollow nodes of one role."""
        return _followers(self._pool.of_role(role))


def _followers(handles: list[HollowHandle]) -> int:
    return sum(len(handle.share.followers) for handle in handles)


def _sample_processes(process_ids: dict[str, int]) -> dict[str, ProcessSample]:
    return {name: _sample_process(each) for name, each in process_ids.items()}


def _sample_process(process_id: int) -> ProcessSample:
    process = psutil.Process(process_id)
    times = process.cpu_times()
    memory = process.memory_full_info()
    return ProcessSample(
        processor_seconds=times.user + times.system,
        resident_bytes=memory.rss,
        unshared_bytes=memory.uss,
    )


def _busy_seconds() -> float:
    """Return the processor time of the whole machine, idling left out."""
    times = psutil.cpu_times()
    return float(sum(times) - times.idle - times.iowait - times.guest - times.guest_nice)


@dataclass(frozen=True)
class Span:
    """What happened between two samples."""

    before: FleetSample
    after: FleetSample

    @property
    def seconds(self) -> float:
        """Length of the span."""
        return self.after.at - self.before.at

    def processor_seconds(self, names: Iterable[str]) -> float:
        """Processor time of the named processes within the span."""
        names = list(names)
        return self.after.processor_seconds(names) - self.before.processor_seconds(names)

    def other_core_share(self) -> float:
        """Cores that were busy with anything but the processes of the run, this one among it."""
        own = self.processor_seconds(self.before.processes)
        return (self.after.busy_seconds - self.before.busy_seconds - own) / self.seconds

    def traffic(self, names: Iterable[str]) -> Traffic:
        """Bytes and segments of the named hollow processes within the span."""
        pairs = [(self.before.traffic[name], self.after.traffic[name]) for name in names]
        return Traffic(
            connections=sum(after.connections for _, after in pairs),
            received_bytes=sum(a.received_bytes - b.received_bytes for b, a in pairs),
            sent_bytes=sum(a.sent_bytes - b.sent_bytes for b, a in pairs),
            received_segments=sum(a.received_segments - b.received_segments for b, a in pairs),
            sent_segments=sum(a.sent_segments - b.sent_segments for b, a in pairs),
        )

    def node_cost(self, names: list[str], nodes: int) -> NodeCost:
        """Cost of one of the `nodes` followers in the named processes, a second."""
        traffic = self.traffic(names)
        per_node_second = 1.0 / (max(1, nodes) * self.seconds)
        return NodeCost(
            nodes=nodes,
            core_share=self.processor_seconds(names) * per_node_second,
            received_bytes=traffic.received_bytes * per_node_second,
            sent_bytes=traffic.sent_bytes * per_node_second,
            received_segments=traffic.received_segments * per_node_second,
            sent_segments=traffic.sent_segments * per_node_second,
        )

    def process_figures(self, names: Iterable[str]) -> list[ProcessFigures]:
        """Figures of the named real processes."""
        return [
            ProcessFigures(
                name=name,
                core_share=self.processor_seconds([name]) / self.seconds,
                resident_bytes=self.after.processes[name].resident_bytes,
                unshared_bytes=self.after.processes[name].unshared_bytes,
            )
            for name in names
        ]


def change_cost(busy: NodeCost, idle: NodeCost, seconds: float, changes: int) -> ChangeCost:
    """Return what a change added to a node's idling."""
    seconds_per_change = seconds / changes
    return ChangeCost(
        processor_seconds=(busy.core_share - idle.core_share) * seconds_per_change,
        received_bytes=(busy.received_bytes - idle.received_bytes) * seconds_per_change,
        sent_bytes=(busy.sent_bytes - idle.sent_bytes) * seconds_per_change,
    )


class ControlWatch:
    """Watches the busiest control replica while the context lasts: its peak core share."""

    def __init__(self, fleet: ScaleFleet, names: list[str]) -> None:
        self.peak_core_share = 0.0
        self._process_ids = [fleet.supervisor.process_id(name) for name in names]
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Begin to watch."""
        self._task = asyncio.create_task(self._watch())
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _watch(self) -> None:
        processes = [psutil.Process(each) for each in self._process_ids]
        former = [_processor_seconds(each) for each in processes]
        former_at = time.monotonic()
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            now = time.monotonic()
            present = [_processor_seconds(each) for each in processes]
            shares = [
                (new - old) / (now - former_at) for new, old in zip(present, former, strict=True)
            ]
            self.peak_core_share = max(self.peak_core_share, *shares)
            former, former_at = present, now


def _processor_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
