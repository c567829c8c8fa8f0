"""Rows of the capacity page about balancers and agents."""

from __future__ import annotations

from collections.abc import Iterator

from jasperwalk_lab.scale import target
from jasperwalk_lab.scale.capacity_model import (
    START_LIMIT_SECONDS,
    Role,
    Row,
    Source,
    Unit,
    at_region,
    bytes_per_entry,
    largest_run,
    line_text,
    load_seconds,
    most,
    real_balancers,
    updates_per_second,
    with_headers,
)
from jasperwalk_lab.scale.measurements import Measurements

MICROSECOND = 1e-6
MEBIBYTE = 1024 * 1024
WHOLE_CORE = 1.0


def balancer_rows(measured: Measurements) -> Iterator[Row]:
    """Work out what a balancer costs."""
    slopes, table = measured.slopes, measured.parts.parts.table
    largest = largest_run(measured)
    held = table.unshared_bytes + table.candidates_unshared_bytes
    process = min(each.unshared_bytes for run in measured.runs for each in real_balancers(run))
    yield Row(
        Role.BALANCER,
        "memory of the table",
        "table + candidates, E entries",
        f"{table.unshared_bytes:,} + {table.candidates_unshared_bytes:,} B at E itself",
        Source.PARTS,
        held,
        target.NODE_MEMORY_LIMIT_BYTES,
        Unit.BYTES,
        "region as the unit of consistency: a node holds its region's table alone",
    )
    yield Row(
        Role.BALANCER,
        "memory of the table, by the slope",
        "a + b E; without candidates",
        line_text(slopes.balancer_memory),
        Source.SCALE,
        at_region(slopes.balancer_memory),
        target.NODE_MEMORY_LIMIT_BYTES,
        Unit.BYTES,
        "the same, seen from the hollow balancers' side",
    )
    yield Row(
        Role.BALANCER,
        "memory of the whole process",
        "smallest real balancer + table",
        f"{process:,} B with a small table",
        Source.SCALE,
        process + held,
        target.NODE_MEMORY_LIMIT_BYTES,
        Unit.BYTES,
        "planned 1: interpreter and libraries alone exceed the limit, if they count as control",
    )
    idle = at_region(slopes.balancer_idle_core)
    update = most(measured, lambda run: run.changes.balancer_cost.processor_seconds)
    yield Row(
        Role.BALANCER,
        "processor time for control",
        "idle + updates/s x time of one",
        f"idle {line_text(slopes.balancer_idle_core)}; "
        f"update at most {update / MICROSECOND:.0f} us, most readings below the noise",
        Source.SCALE,
        idle + updates_per_second() * update,
        target.NODE_CORE_LIMIT,
        Unit.CORE_SHARE,
        "deltas cost what changed; heartbeats are one a half second, whatever the fleet's size",
    )
    payload = updates_per_second() * largest.changes.balancer_cost.received_bytes
    yield Row(
        Role.BALANCER,
        "messages on an ordinary day",
        "heartbeats and acknowledgements with headers + updates/s x bytes of one",
        f"{with_headers(largest.idle.hollow_balancer):.0f} B/s idle, "
        f"{largest.changes.balancer_cost.received_bytes:.0f} B an update",
        Source.SCALE,
        with_headers(largest.idle.hollow_balancer) + payload,
        target.NODE_BYTES_PER_SECOND_LIMIT,
        Unit.BYTES_PER_SECOND,
        "deltas by revision; load is carried by candidates at the agents, not by control",
    )
    yield Row(
        Role.BALANCER,
        "cold start: time to take the table",
        "(E x bytes an entry - burst) / 5 KB/s",
        f"{bytes_per_entry(measured):.0f} B an entry, {table.snapshot_bytes:,} B in all",
        Source.PARTS,
        load_seconds(table.snapshot_bytes),
        START_LIMIT_SECONDS,
        Unit.SECONDS,
        "planned 2: the table from a neighbour in the zone, and services on demand",
    )
    yield Row(
        Role.BALANCER,
        "new flows",
        "1.2 million/s over 15,000 nodes x time of a decision",
        f"{measured.bench.value('balancer.decision.time'):.1f} us a decision",
        Source.BENCH,
        target.NEW_FLOWS_PER_SECOND
        / target.NODES
        * measured.bench.value("balancer.decision.time")
        * MICROSECOND,
        WHOLE_CORE,
        Unit.CORE_SHARE,
        "weighted rendezvous over the pool's members; nothing is remembered",
    )
    yield Row(
        Role.BALANCER,
        "memory for 220 million open flows",
        "growth with established flows that a node had not seen",
        f"{measured.bench.value('balancer.memory.growth'):.2f} MiB after "
        f"{measured.bench.value('balancer.memory.distinct-flows'):,.0f} flows; a node's share "
        f"is {target.OPEN_FLOWS / target.NODES:,.0f}",
        Source.BENCH,
        max(0.0, measured.bench.value("balancer.memory.growth")) * MEBIBYTE,
        target.NODE_MEMORY_LIMIT_BYTES,
        Unit.BYTES,
        "stateless flows: the connection ID names agent, service and incarnation",
    )


def agent_rows(measured: Measurements) -> Iterator[Row]:
    """Work out what an agent costs."""
    slopes, largest = measured.slopes, largest_run(measured)
    yield Row(
        Role.AGENT,
        "memory of its copy of the table",
        "keys, one service and its members",
        f"{largest.idle.agent_memory.unshared_bytes:,.0f} B with "
        f"{largest.idle.agent_memory.entries} entries",
        Source.SCALE,
        largest.idle.agent_memory.unshared_bytes,
        target.NODE_MEMORY_LIMIT_BYTES,
        Unit.BYTES,
        "an agent is sent its own service alone, whatever the region's size",
    )
    idle = at_region(slopes.agent_idle_core)
    update = most(measured, lambda run: run.changes.agent_cost.processor_seconds)
    yield Row(
        Role.AGENT,
        "processor time for control",
        "idle + updates/s x time of one",
        f"idle {line_text(slopes.agent_idle_core)}; "
        f"update at most {update / MICROSECOND:.0f} us, most readings below the noise",
        Source.SCALE,
        idle + updates_per_second() * update,
        target.NODE_CORE_LIMIT,
        Unit.CORE_SHARE,
        "a revision of another service is an empty delta",
    )
    yield Row(
        Role.AGENT,
        "messages on an ordinary day",
        "heartbeats and acknowledgements with headers + updates/s x bytes of one",
        f"{with_headers(largest.idle.hollow_agent):.0f} B/s idle, "
        f"{largest.changes.agent_cost.received_bytes:.0f} B an update",
        Source.SCALE,
        with_headers(largest.idle.hollow_agent)
        + updates_per_second() * largest.changes.agent_cost.received_bytes,
        target.NODE_BYTES_PER_SECOND_LIMIT,
        Unit.BYTES_PER_SECOND,
        "an agent's load stays at the agent: busy ones hand flows on to the second candidate",
    )
    yield Row(
        Role.AGENT,
        "open flows of a host",
        "220 million / 120,000",
        "their memory is not measured here",
        Source.ARITHMETIC,
        target.OPEN_FLOWS / target.HOSTS,
        None,
        Unit.COUNT,
        "a flow's state is at its agent alone",
    )
