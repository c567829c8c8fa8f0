"""The measured phases of a scale run, each of them a function of the running fleet."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from jasperwalk.messages.distribution import SubscriberRole
from jasperwalk_lab.control_client import AcceptedChange, ControlClient
from jasperwalk_lab.scale.channel import (
    Arrivals,
    Collect,
    Count,
    Cut,
    Done,
    Record,
    Restart,
    Return,
    Start,
    Traffic,
)
from jasperwalk_lab.scale.figures import (
    ChangeFigures,
    IdleFigures,
    JoinFigures,
    KillFigures,
    NodeMemory,
    RackFigures,
    RecoveryFigures,
    RegionFigures,
    percentiles,
)
from jasperwalk_lab.scale.fleet import ScaleFleet
from jasperwalk_lab.scale.measuring import ControlWatch, FleetSample, Meter, Span, change_cost
from jasperwalk_lab.scale.plan import FIRST_WEIGHT, RACK_AGENTS, RACK_BALANCERS
from jasperwalk_lab.scale.pool import HollowHandle, HollowPool, ask_each
from jasperwalk_lab.scale.waiting import Progress, Recovery, wait_current

JOINS_PER_SECOND = {SubscriberRole.AGENT: 150, SubscriberRole.BALANCER: 50}
"""Hollow nodes that start a second while the fleet is built up: agents, then balancers.

A balancer takes the whole table, and hundreds of them share a process: all at once, they
would measure how the machine runs out of processors.
"""
JOIN_TIMEOUT_SECONDS = 90.0
"""Time for the nodes of one role to become current."""
IDLE_SECONDS = 15.0
SETTLE_SECONDS = 3.0
CHANGES = 20
CHANGE_INTERVAL_SECONDS = 0.5
ARRIVAL_GRACE_SECONDS = 5.0
"""Time that the last change is given before arrivals are counted."""
RECOVERY_TIMEOUT_SECONDS = 45.0
RESTART_TIMEOUT_SECONDS = 20.0
STABLE_SECONDS = 1.0
KILL_STABLE_SECONDS = 4.0
"""Longer than a table counts as fresh after its replica is lost."""
CUT_SECONDS = 8.0
CUT_CHANGES = 50
POLL_SECONDS = 0.1


@dataclass
class RunningFleet:
    """What the phases work on; `failures` collects what did not come about in time."""

    fleet: ScaleFleet
    pool: HollowPool
    meter: Meter
    control: ControlClient
    random: random.Random
    progress: Progress
    failures: list[str] = field(default_factory=list)
    next_weight: int = FIRST_WEIGHT + 1

    @property
    def hollow_nodes(self) -> int:
        """The number of hollow nodes."""
        roles = (SubscriberRole.BALANCER, SubscriberRole.AGENT)
        return sum(self.meter.followers_of(role) for role in roles)

    async def change(self) -> AcceptedChange:
        """Change the weights of one tenant drawn by the seed."""
        number = self.random.randrange(self.fleet.size.services)
        self.next_weight = FIRST_WEIGHT + (self.next_weight + 1) % FIRST_WEIGHT
        return await self.fleet.put_weight(self.control, number, self.next_weight)

    async def wait_current(
        self,
        phase: str,
        since: float,
        timeout_seconds: float,
        stable_seconds: float,
        handles: Sequence[HollowHandle] = (),
    ) -> Recovery:
        """Wait until hollow nodes are current, all where none are named; note it if not."""
        recovery = await wait_current(
            self.fleet,
            handles or self.pool.handles,
            since=since,
            stable_seconds=stable_seconds,
            timeout_seconds=timeout_seconds,
            progress=self.progress,
        )
        if recovery.seconds is None:
            self.failures.append(f"{phase}: not current within {timeout_seconds:.0f} s")
            self.progress(f"  NOT current within {timeout_seconds:.0f} s: {recovery.last}")
        return recovery

    def recovery_figures(self, recovery: Recovery, watch: ControlWatch) -> RecoveryFigures:
        """Put a recovery together with the control's peak during it."""
        return RecoveryFigures(
            seconds=recovery.seconds,
            nodes=self.hollow_nodes,
            lowest_fresh=recovery.lowest_fresh,
            control_peak_core_share=watch.peak_core_share,
        )


async def join(running: RunningFleet, submit_seconds: float) -> JoinFigures:
    """Start every hollow agent and, once these are current, every hollow balancer."""
    async with ControlWatch(running.fleet, running.fleet.control_names) as watch:
        agent_seconds = await _join(running, SubscriberRole.AGENT)
        balancer_seconds = await _join(running, SubscriberRole.BALANCER)
    return JoinFigures(
        submit_seconds=submit_seconds,
        agent_starts_per_second=JOINS_PER_SECOND[SubscriberRole.AGENT],
        balancer_starts_per_second=JOINS_PER_SECOND[SubscriberRole.BALANCER],
        agents_seconds=agent_seconds,
        balancers_seconds=balancer_seconds,
        control_peak_core_share=watch.peak_core_share,
    )


async def _join(running: RunningFleet, role: SubscriberRole) -> float | None:
    handles = running.pool.of_role(role)
    over_seconds = running.meter.followers_of(role) / JOINS_PER_SECOND[role]
    running.progress(f"starting {running.meter.followers_of(role)} {role.value}s")
    began = time.monotonic()
    await ask_each(handles, Start(over_seconds=over_seconds), Done)
    recovery = await running.wait_current(
        f"join of {role.value}s", began, JOIN_TIMEOUT_SECONDS, SETTLE_SECONDS, handles
    )
    return recovery.seconds


async def idle(running: RunningFleet, empty: FleetSample) -> tuple[IdleFigures, Span]:
    """Measure a fleet in which nothing changes; `empty` was taken before any node started."""
    fleet, meter = running.fleet, running.meter
    before = await meter.sample()
    await asyncio.sleep(IDLE_SECONDS)
    span = Span(before, await meter.sample())
    balancers = meter.names_of(SubscriberRole.BALANCER)
    agents = meter.names_of(SubscriberRole.AGENT)
    balancer_nodes = meter.followers_of(SubscriberRole.BALANCER)
    agent_nodes = meter.followers_of(SubscriberRole.AGENT)
    control_seconds = span.processor_seconds(fleet.control_names)
    figures = IdleFigures(
        seconds=span.seconds,
        other_core_share=span.other_core_share(),
        hollow_balancer=span.node_cost(balancers, balancer_nodes),
        hollow_agent=span.node_cost(agents, agent_nodes),
        control=span.process_figures(fleet.control_names),
        control_core_share_per_subscriber=control_seconds / span.seconds / fleet.size.subscribers,
        real_balancers=span.process_figures(fleet.balancer_names),
        real_agents=span.process_figures(fleet.agent_names),
        balancer_memory=_memory(empty, span.after, balancers, balancer_nodes, fleet.size.entries),
        agent_memory=_memory(
            empty, span.after, agents, agent_nodes, 1 + fleet.size.agents // fleet.size.services
        ),
    )
    return figures, span


def _memory(
    empty: FleetSample, full: FleetSample, names: list[str], nodes: int, entries: int
) -> NodeMemory:
    unshared = (full.unshared_bytes(names) - empty.unshared_bytes(names)) / max(1, nodes)
    return NodeMemory(
        nodes=nodes,
        entries=entries,
        unshared_bytes=unshared,
        unshared_bytes_per_entry=unshared / entries,
    )


@dataclass(frozen=True)
class TimedChange:
    """A change with the times at which it was submitted and its acceptance was heard."""

    revision: int
    submitted_at: float
    accepted_at: float


async def changes(running: RunningFleet, idle_span: Span) -> ChangeFigures:
    """Submit changes at an interval, and measure until they are in force on every node."""
    await running.pool.ask_all(Record(), Done)
    before = await running.meter.sample()
    made: list[TimedChange] = []
    for _ in range(CHANGES):
        made.append(await _timed_change(running))
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    await asyncio.sleep(ARRIVAL_GRACE_SECONDS)
    span = Span(before, await running.meter.sample())
    revisions = [change.revision for change in made]
    answers = await running.pool.ask_all(Collect(revisions=revisions), Arrivals)
    arrivals = [
        [at for answer in answers for at in answer.times[number]] for number in range(CHANGES)
    ]
    expected = CHANGES * running.hollow_nodes
    missing = expected - sum(len(times) for times in arrivals)
    if missing:
        running.failures.append(f"changes: {missing} of {expected} arrivals are missing")
    return _change_figures(running, idle_span, span, made, arrivals, missing)


async def _timed_change(running: RunningFleet) -> TimedChange:
    submitted_at = time.monotonic()
    accepted = await running.change()
    return TimedChange(accepted.revision, submitted_at, time.monotonic())


def _change_figures(
    running: RunningFleet,
    idle_span: Span,
    span: Span,
    made: list[TimedChange],
    arrivals: list[list[float]],
    missing: int,
) -> ChangeFigures:
    meter = running.meter
    costs = {}
    for role in SubscriberRole:
        names, nodes = meter.names_of(role), meter.followers_of(role)
        idling = idle_span.node_cost(names, nodes)
        costs[role] = change_cost(span.node_cost(names, nodes), idling, span.seconds, CHANGES)
    control = running.fleet.control_names
    idle_control = idle_span.processor_seconds(control) / idle_span.seconds * span.seconds
    pairs = list(zip(made, arrivals, strict=True))
    submitted = [at - change.submitted_at for change, times in pairs for at in times]
    accepted = [max(0.0, at - change.accepted_at) for change, times in pairs for at in times]
    last = [max(times) - change.submitted_at for change, times in pairs if times]
    return ChangeFigures(
        changes=CHANGES,
        interval_seconds=CHANGE_INTERVAL_SECONDS,
        missing=missing,
        in_force_from_submission=percentiles(submitted),
        in_force_from_acceptance=percentiles(accepted),
        last_node_from_submission=percentiles(last),
        balancer_cost=costs[SubscriberRole.BALANCER],
        agent_cost=costs[SubscriberRole.AGENT],
        control_processor_seconds=(span.processor_seconds(control) - idle_control) / CHANGES,
        reconnections=sum(
            before.connections - after.connections
            for before, after in zip(
                span.before.traffic.values(), span.after.traffic.values(), strict=True
            )
        ),
    )


async def kill_leader(running: RunningFleet) -> KillFigures:
    """Kill the leading replica; start it again once every node is fresh."""
    fleet = running.fleet
    leader = await fleet.leader_name()
    others = [name for name in fleet.control_names if name != leader]
    async with ControlWatch(fleet, others) as watch:
        began = time.monotonic()
        await fleet.kill_control(leader)
        await running.change()
        accepted_after = time.monotonic() - began
        recovery = await running.wait_current(
            "killed leader", began, RECOVERY_TIMEOUT_SECONDS, KILL_STABLE_SECONDS
        )
    await fleet.restart_control(leader)
    restarted = time.monotonic()
    current_after = None
    while time.monotonic() - restarted < RESTART_TIMEOUT_SECONDS and current_after is None:
        await asyncio.sleep(POLL_SECONDS)
        own = await fleet.status(leader)
        newest = max((each.revision for each in await fleet.statuses()), default=0)
        if own is not None and own.has_quorum and own.revision == newest:
            current_after = time.monotonic() - restarted
    if current_after is None:
        running.failures.append(f"killed leader: {leader} not current after its restart")
    return KillFigures(
        change_accepted_seconds=accepted_after,
        until_fresh=running.recovery_figures(recovery, watch),
        restart_until_current_seconds=current_after,
    )


async def restart_rack(running: RunningFleet) -> RackFigures:
    """Restart a rack's worth of hollow nodes at once."""
    balancers = running.pool.of_role(SubscriberRole.BALANCER)[0]
    agents = running.pool.of_role(SubscriberRole.AGENT)[0]
    balancer_count = min(RACK_BALANCERS, len(balancers.share.followers))
    agent_count = min(RACK_AGENTS, len(agents.share.followers))
    async with ControlWatch(running.fleet, running.fleet.control_names) as watch:
        began = time.monotonic()
        await asyncio.gather(
            balancers.ask(Restart(count=balancer_count), Done),
            agents.ask(Restart(count=agent_count), Done),
        )
        recovery = await running.wait_current(
            "rack", began, RECOVERY_TIMEOUT_SECONDS, STABLE_SECONDS
        )
    balancer_traffic = await balancers.ask(Count(first=balancer_count), Traffic)
    agent_traffic = await agents.ask(Count(first=agent_count), Traffic)
    return RackFigures(
        balancers=balancer_count,
        agents=agent_count,
        recovery=running.recovery_figures(recovery, watch),
        received_bytes_per_balancer=balancer_traffic.received_bytes / balancer_count,
        received_bytes_per_agent=agent_traffic.received_bytes / agent_count,
    )


async def return_region(running: RunningFleet) -> RegionFigures:
    """Cut all hollow nodes off, go on changing, and let all come back at once."""
    meter = running.meter
    before = await meter.sample()
    cut_at = time.monotonic()
    await running.pool.ask_all(Cut(), Done)
    for _ in range(CUT_CHANGES):
        await running.change()
    await asyncio.sleep(max(0.0, CUT_SECONDS - (time.monotonic() - cut_at)))
    async with ControlWatch(running.fleet, running.fleet.control_names) as watch:
        returned_at = time.monotonic()
        await running.pool.ask_all(Return(), Done)
        recovery = await running.wait_current(
            "region", returned_at, RECOVERY_TIMEOUT_SECONDS, SETTLE_SECONDS
        )
    span = Span(before, await meter.sample())
    balancers = meter.names_of(SubscriberRole.BALANCER)
    nodes = max(1, meter.followers_of(SubscriberRole.BALANCER))
    return RegionFigures(
        cut_seconds=returned_at - cut_at,
        changes=CUT_CHANGES,
        recovery=running.recovery_figures(recovery, watch),
        balancer_processor_seconds=span.processor_seconds(balancers) / nodes,
        control_processor_seconds=span.processor_seconds(running.fleet.control_names),
    )
