"""Which flows broke, by cause, and when the callers of a lost host knew (pure).

A flow counts once, by the broken call that fell silent first: when its caller heard the last
part of the answer, or sent the request if no part came. It broke by the loss of a host if
the agent that held it, or the host that ran the call, was lost before the call ended, unless
it had been silent for long then. Any other broken flow is put down to the last event before
it fell silent.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from jasperwalk_lab.fabric_process import FlowView
from jasperwalk_lab.journal import JournalRecord
from jasperwalk_lab.operations import BreakReason, Broken, CallRecord, Flow

HOST_LOST = "host-lost"
NO_EVENT = "no-event"
EVENT_EARLY_SECONDS = 0.5
"""A flow may fall silent so long before the event that is its cause: answers come in parts."""
SILENT_BEFORE_LOSS_SECONDS = 2.5
"""What fell silent earlier did not break by the loss; a call may queue for two seconds."""
CLOCK_TOLERANCE_SECONDS = 0.05
"""Clocks of two processes are read a little apart."""
KNOWN_BY = frozenset((BreakReason.CONNECTION_ENDED, BreakReason.STATELESS_RESET))
"""How a caller learns that its flow is lost; its own time-out tells it nothing."""


class LossFigures(msgspec.Struct, frozen=True):
    """Flows lost with their host; times from the loss until the caller knew, in seconds.

    `flows` counts those on which a call was open or was made after the loss; of the ones
    that are not `known`, calls only timed out.
    """

    flows: int
    known: int
    known_by_reset: int
    seconds: list[float]


@dataclass(frozen=True)
class TimedEvent:
    """An event as a cause: its name and when it began (seconds of the callers' clock)."""

    name: str
    at: float


class FlowHolders:
    """Which hosts hold a flow: its agents, as the fabric saw them, and who ran its requests."""

    def __init__(
        self,
        views: Iterable[FlowView],
        hosts_by_agent: Mapping[str, str],
        journal: Iterable[JournalRecord],
    ) -> None:
        self._agents: dict[int, list[FlowView]] = defaultdict(list)
        for view in views:
            self._agents[view.caller_port].append(view)
        self._hosts_by_agent = hosts_by_agent
        self._ran_on: dict[str, set[str]] = defaultdict(set)
        for record in journal:
            if record.ran:
                self._ran_on[record.request_id].add(record.host)

    def of(self, record: CallRecord) -> set[str]:
        """Return the hosts that the flow and the request of a call were on."""
        hosts = set(self._ran_on[record.request_id])
        flow = record.flow
        if flow is not None:
            # A port may be used again: only what was seen while this flow lasted counts.
            opened = flow.opened - CLOCK_TOLERANCE_SECONDS
            hosts |= {
                self._hosts_by_agent[view.agent]
                for view in self._agents[flow.caller_port]
                if opened <= view.at <= record.completed and view.agent in self._hosts_by_agent
            }
        return hosts


def lost_host_of(record: CallRecord, holders: FlowHolders, lost: Mapping[str, float]) -> str | None:
    """Return the host whose loss broke a call, None if that was not the cause."""
    for host in sorted(holders.of(record)):
        if lost.get(host, record.completed) < record.completed:
            return host
    return None


def causes_by_flow(
    records: Iterable[CallRecord],
    holders: FlowHolders,
    lost: Mapping[str, float],
    events: Sequence[TimedEvent],
) -> dict[Flow, str]:
    """Return the cause of each broken flow."""
    causes: dict[Flow, str] = {}
    for record in sorted(_broken_calls(records), key=_silent_since):
        if record.flow is None or record.flow in causes:
            continue
        host = lost_host_of(record, holders, lost)
        if host is not None and _silent_since(record) > lost[host] - SILENT_BEFORE_LOSS_SECONDS:
            causes[record.flow] = HOST_LOST
        else:
            causes[record.flow] = _last_event(record, events)
    return causes


def loss_figures(
    records: Iterable[CallRecord],
    holders: FlowHolders,
    lost: Mapping[str, float],
    causes: Mapping[Flow, str],
) -> LossFigures:
    """Return how many flows were lost with a host, and when their callers knew."""
    known: dict[Flow, float] = {}
    by_reset: set[Flow] = set()
    for record in _broken_calls(records):
        host = lost_host_of(record, holders, lost)
        flow, reason = record.flow, _reason(record)
        if host is None or flow is None or causes.get(flow) != HOST_LOST or reason not in KNOWN_BY:
            continue
        seconds = record.completed - lost[host]
        known[flow] = min(seconds, known.get(flow, seconds))
        if reason is BreakReason.STATELESS_RESET:
            by_reset.add(flow)
    flows = sum(cause == HOST_LOST for cause in causes.values())
    return LossFigures(flows, len(known), len(by_reset), sorted(known.values()))


def _broken_calls(records: Iterable[CallRecord]) -> list[CallRecord]:
    """Return the calls that broke on an open flow."""
    ended_by: Collection[BreakReason] = set(BreakReason) - {BreakReason.NOT_CONNECTED}
    return [record for record in records if _reason(record) in ended_by]


def _reason(record: CallRecord) -> BreakReason | None:
    return record.outcome.reason if isinstance(record.outcome, Broken) else None


def _silent_since(record: CallRecord) -> float:
    heard_at = record.outcome.heard_at if isinstance(record.outcome, Broken) else 0.0
    return max(record.invoked, heard_at)


def _last_event(record: CallRecord, events: Sequence[TimedEvent]) -> str:
    latest = _silent_since(record) + EVENT_EARLY_SECONDS
    before = [each for each in events if each.at <= latest]
    return max(before, key=lambda each: each.at).name if before else NO_EVENT
