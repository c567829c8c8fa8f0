"""Rows of the capacity page about control: a replica, a region, the whole."""

from __future__ import annotations

from collections.abc import Iterator

from jasperwalk.control.leader_duties import JUDGE_INTERVAL_SECONDS
from jasperwalk.control.raft_runner import ELECTION_TIMEOUT_SECONDS
from jasperwalk.control.replica import ReplicaConfig
from jasperwalk_lab.scale import target
from jasperwalk_lab.scale.capacity_model import (
    LINK_BURST_BYTES,
    START_LIMIT_SECONDS,
    Role,
    Row,
    Source,
    Unit,
    at_region,
    largest_run,
    line_text,
    load_seconds,
    most,
    updates_per_second,
    with_headers,
)
from jasperwalk_lab.scale.measurements import Measurements
from jasperwalk_lab.scale.slopes import subscribers

WHOLE_CORE = 1.0


def replica_rows(measured: Measurements) -> Iterator[Row]:
    """Work out what a control replica costs."""
    slopes, parts = measured.slopes, measured.parts.parts
    largest = largest_run(measured)
    publishing = at_region(slopes.control_idle_core)
    update = most(measured, lambda run: run.changes.control_processor_seconds)
    updating = updates_per_second() * update
    judging = parts.judge.seconds / JUDGE_INTERVAL_SECONDS
    listing = parts.platform_list.seconds / ReplicaConfig.platform_poll_seconds
    yield Row(
        Role.REPLICA,
        "processor time for its subscribers, nothing changing",
        "a + b E + c S, S = 27,000 / 10",
        line_text(slopes.control_idle_core),
        Source.SCALE,
        publishing,
        WHOLE_CORE,
        Unit.CORE_SHARE,
        "learner fan-out: ten replicas of a region share its subscribers",
    )
    yield Row(
        Role.REPLICA,
        "processor time for changes and restarts",
        "updates/s x time of one on all replicas",
        f"at most {update * 1000:.0f} ms, most readings below the noise",
        Source.SCALE,
        updating,
        WHOLE_CORE,
        Unit.CORE_SHARE,
        "one encoding a scope and revision; acknowledgements aggregated on the way up",
    )
    yield Row(
        Role.REPLICA,
        "leader: judging 24,000 agents",
        "one round / its interval",
        f"{parts.judge.seconds * 1000:.1f} ms every {JUDGE_INTERVAL_SECONDS} s",
        Source.PARTS,
        judging,
        WHOLE_CORE,
        Unit.CORE_SHARE,
        "planned 5: judge what the reports' deltas name",
    )
    yield Row(
        Role.REPLICA,
        "leader: the platform's list of 24,000 machines",
        "one poll / its interval",
        f"{parts.platform_list.seconds * 1000:.0f} ms and {parts.platform_list.list_bytes:,} B "
        f"every {ReplicaConfig.platform_poll_seconds} s",
        Source.PARTS,
        listing,
        WHOLE_CORE,
        Unit.CORE_SHARE,
        "planned 5: skip a list with an unchanged digest",
    )
    yield Row(
        Role.REPLICA,
        "leader: all of the above",
        "sum of the four",
        "as above",
        Source.ARITHMETIC,
        publishing + updating + judging + listing,
        WHOLE_CORE,
        Unit.CORE_SHARE,
        "planned 3: voters serve no subscribers",
    )
    yield Row(
        Role.REPLICA,
        "a new leader: whole reports of nine replicas",
        "9 x (decoding + merging) of S subscribers, on the leader's one loop",
        f"{(parts.report.decode_seconds + parts.report.merge_seconds) * 1000:.1f} ms and "
        f"{parts.report.report_bytes:,} B each",
        Source.PARTS,
        (target.REGION_REPLICAS - 1) * (parts.report.decode_seconds + parts.report.merge_seconds),
        ELECTION_TIMEOUT_SECONDS,
        Unit.SECONDS,
        "acknowledgements aggregated on the way up; after that deltas alone",
    )
    yield Row(
        Role.REPLICA,
        "memory",
        "a + b E + c S",
        line_text(slopes.control_memory),
        Source.SCALE,
        at_region(slopes.control_memory),
        None,
        Unit.BYTES,
        "machines set aside for control",
    )
    yield Row(
        Role.REPLICA,
        "bytes sent to its subscribers, nothing changing",
        "S x a node's received bytes with headers",
        "as measured at the nodes",
        Source.SCALE,
        target.REPLICA_SUBSCRIBERS * with_headers(largest.idle.hollow_agent),
        None,
        Unit.BYTES_PER_SECOND,
        "one heartbeat a half second",
    )


def region_rows(measured: Measurements) -> Iterator[Row]:
    """Work out how a region behaves."""
    slopes, zone = measured.slopes, measured.parts.parts.zone
    largest = largest_run(measured)
    yield Row(
        Role.REGION,
        "change in force on a node, p99",
        "a + b E + c S",
        line_text(slopes.in_force_p99_seconds),
        Source.SCALE,
        at_region(slopes.in_force_p99_seconds),
        target.IN_FORCE_LIMIT_SECONDS,
        Unit.SECONDS,
        "a VIP lives in one region, so a change has to be in force there alone",
    )
    yield Row(
        Role.REGION,
        "change in force everywhere, longest",
        "a + b E + c S",
        line_text(slopes.in_force_everywhere_seconds),
        Source.SCALE,
        at_region(slopes.in_force_everywhere_seconds),
        target.IN_FORCE_LIMIT_SECONDS,
        Unit.SECONDS,
        "deltas through ten publishers at once",
    )
    yield Row(
        Role.REGION,
        "loss of a zone: its members offline on every node",
        "(6,315 entries - burst) / 5 KB/s + applying",
        f"{zone.delta_bytes:,} B, applied in {zone.apply_seconds * 1000:.0f} ms",
        Source.PARTS,
        load_seconds(zone.delta_bytes) + zone.apply_seconds,
        target.IN_FORCE_LIMIT_SECONDS,
        Unit.SECONDS,
        "planned 4: one entry for a zone's state in place of one for each member",
    )
    joined = max(measured.runs, key=lambda run: run.agents)
    agents_a_second = (
        joined.agents / joined.join.agents_seconds if joined.join.agents_seconds else 0.0
    )
    yield Row(
        Role.REGION,
        "return of a zone: registering its agents",
        "6,315 / agents registered a second",
        f"{agents_a_second:.0f} a second, started at {joined.join.agent_starts_per_second}",
        Source.SCALE,
        target.ZONE_HOSTS / agents_a_second if agents_a_second else float("inf"),
        None,
        Unit.SECONDS,
        "planned 4: registrations batched into one log entry",
    )
    hour = target.REGION_CHANGES_PER_SECOND * target.REGIONS_APART_SECONDS
    yield Row(
        Role.REGION,
        "apart for an hour: bytes that a node has missed",
        "changes of an hour x bytes of one",
        f"{largest.changes.balancer_cost.received_bytes:.0f} B a change",
        Source.SCALE,
        hour * largest.changes.balancer_cost.received_bytes,
        LINK_BURST_BYTES,
        Unit.BYTES,
        "a region goes on alone; what it missed comes as one delta within the link's burst",
    )
    yield Row(
        Role.REGION,
        "all nodes cut off and back at once: until current",
        "a + b E + c S",
        line_text(slopes.region_return_seconds),
        Source.SCALE,
        at_region(slopes.region_return_seconds),
        START_LIMIT_SECONDS,
        Unit.SECONDS,
        "planned 3 and 6; nodes decide with the table that they hold meanwhile",
    )


def whole_rows(measured: Measurements) -> Iterator[Row]:
    """Work out what the whole needs."""
    most_measured = max(subscribers(run) for run in measured.runs)
    yield Row(
        Role.WHOLE,
        "subscribers of a control machine",
        "27,000 / 10; 51 = 5 x 10 + 1",
        f"limit: the most that ran here, {most_measured:,.0f}",
        Source.SCALE,
        target.REPLICA_SUBSCRIBERS,
        most_measured,
        Unit.COUNT,
        "learner fan-out; beyond what was measured, every S above is a guess",
    )
    yield Row(
        Role.WHOLE,
        "the same, one control machine of the region lost",
        "27,000 / 9",
        "as above",
        Source.SCALE,
        target.REPLICA_SUBSCRIBERS_ONE_DOWN,
        most_measured,
        Unit.COUNT,
        "followers choose another replica by themselves",
    )
    restarts = target.RESTARTS_PER_DAY + target.FAILURES_PER_DAY
    machines = target.NODES + target.HOSTS
    yield Row(
        Role.WHOLE,
        "11,520 restarts a day: table bytes of a node, on average",
        "restarts a machine a day x table / 86,400 s",
        f"{restarts / machines:.3f} restarts a machine a day",
        Source.PARTS,
        restarts / machines * measured.parts.parts.table.snapshot_bytes / target.SECONDS_PER_DAY,
        target.NODE_BYTES_PER_SECOND_LIMIT,
        Unit.BYTES_PER_SECOND,
        "snapshots encoded once for all that load within ten seconds",
    )
    yield Row(
        Role.WHOLE,
        "log entries a second over all regions",
        "changes + 3 x restarting hosts",
        "15,000 changes and 11,520 restarts a day",
        Source.ARITHMETIC,
        updates_per_second() * target.REGIONS,
        None,
        Unit.COUNT,
        "each region commits its own; a region root for templates is planned",
    )
