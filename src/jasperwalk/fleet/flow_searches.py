"""Runs many searches at once: their queries share frames, their verdicts go to a handler.

Used by a balancer that searches by itself, and by an agent that searches on a balancer's behalf.
Sans-IO: datagrams leave through `send`, time is a parameter, in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from jasperwalk.errors import MalformedMessage
from jasperwalk.fleet.query_batch import KEYS_PER_FRAME, QueryBatch
from jasperwalk.fleet.search import Confirm, Query, Search, SearchStep, SearchVerdict
from jasperwalk.fleet.target import Target
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.codec import DatagramSender, PacketCodec
from jasperwalk.flows.frames import AgentReply, FrameKind, decode_replies
from jasperwalk.observability.decisions import DecisionLog
from jasperwalk.observability.latency import LatencyHistogram
from jasperwalk.token_bucket import TokenBucket

MAX_SEARCHES = 4096
BROADCAST_FRAMES_PER_SECOND = 600.0
BROADCAST_FRAMES_BURST = 1200.0
"""Rate limit of one process for frames of queries to all agents."""
RETURNED_RETENTION_SECONDS = 5.0
"""How long the hosts that returned a packet of a flow that was not found are kept."""


@dataclass(eq=False, repr=False)
class SearchCounters:
    """Outcomes and costs of a process's searches."""

    searches: int = 0
    searches_confirming: int = 0
    """Searches that started by asking several agents which of them has the flow."""
    searches_found: int = 0
    searches_given_up: int = 0
    search_questions: int = 0
    """Queries to agents, each key of a frame counted, and probes of hosts."""
    replies_malformed: int = 0


class SearchHandler(Protocol):
    """Receives the verdicts of searches."""

    def on_search_found(self, search: Search, holder: Target, now: float) -> None:
        """Handle a found holder; the search's packets wait for it."""

    def on_search_held_nowhere(self, search: Search, now: float) -> None:
        """Handle a flow that every agent has denied."""

    def on_search_inconclusive(self, search: Search, now: float) -> None:
        """Handle a search that ended while some agents had not answered."""


class ReturnedBy(msgspec.Struct):
    """Agents whose hosts returned a packet of a flow that was not found, and when."""

    targets: frozenset[Target]
    recorded_at: float


@dataclass(eq=False, repr=False)
class FlowSearches:
    """All open searches of a process.

    Call `tick` every few milliseconds while there are any, and `flush` after every frame or
    packet handled.
    """

    codec: PacketCodec
    pool: TargetPool
    send: DatagramSender
    log: DecisionLog
    counters: SearchCounters
    handler: SearchHandler
    latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    _broadcast_budget: TokenBucket = field(
        default_factory=lambda: TokenBucket(
            BROADCAST_FRAMES_PER_SECOND, BROADCAST_FRAMES_BURST, 0.0
        )
    )
    _searches: dict[bytes, Search] = field(default_factory=dict)
    _returned_by: dict[bytes, ReturnedBy] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the batch of queries that the searches share."""
        self._batch = QueryBatch(self.send)

    def __len__(self) -> int:
        """Return how many searches are open."""
        return len(self._searches)

    def __contains__(self, key: bytes) -> bool:
        """Tell whether a flow is being searched."""
        return key in self._searches

    def hold(self, key: bytes, packet: bytes) -> None:
        """Keep another packet of a flow that is being searched."""
        self._searches[key].hold(packet)

    def start(
        self,
        key: bytes,
        packet: bytes,
        services: list[str],
        now: float,
        possible_holders: Sequence[Target] = (),
        regions: frozenset[str] = frozenset(),
    ) -> Search | None:
        """Start a search among the agents of these services; None if too many are open.

        `regions` are the regions that the flow's hosts may be in; empty for any region.
        """
        if len(self._searches) >= MAX_SEARCHES:
            return None
        self.counters.searches += 1
        self.counters.searches_confirming += bool(possible_holders)
        known = self._returned_by.get(key)
        returned = frozenset[Target]() if known is None else known.targets
        search = Search(key, packet, services, now, returned, possible_holders, regions)
        self._searches[key] = search
        self._advance(search, now)
        return search

    def read_replies(self, data: bytes) -> list[AgentReply]:
        """Return the answers in an agent's frame; a malformed one is counted and has none."""
        try:
            return decode_replies(data, self.codec.flow_key_bytes)
        except MalformedMessage:
            self.counters.replies_malformed += 1
            return []

    def record_answer(self, key: bytes, target: Target, kind: FrameKind, now: float) -> bool:
        """Handle an agent's answer; return False if the flow is not being searched."""
        search = self._searches.get(key)
        if search is None:
            return False
        search.record_answer(target, kind)
        target.record_answer()
        self._advance(search, now)
        return True

    def flush(self) -> None:
        """Send the collected queries."""
        self._batch.flush()

    def tick(self, now: float) -> None:
        """Advance the searches whose agents have not answered in time."""
        self._start_second_rounds(now)
        for search in list(self._searches.values()):
            if now >= search.deadline and search.key in self._searches:
                self._advance(search, now)

    def sweep(self, now: float) -> None:
        """Remove what is older than `RETURNED_RETENTION_SECONDS`; call every few seconds."""
        for key, known in list(self._returned_by.items()):
            if now - known.recorded_at > RETURNED_RETENTION_SECONDS:
                del self._returned_by[key]

    def _advance(self, search: Search, now: float) -> None:
        """Send the search's next steps, and end it once it has a verdict."""
        self._send_steps(search, search.advance(self.pool, now), now)
        if search.verdict is SearchVerdict.OPEN:
            return
        del self._searches[search.key]
        if search.verdict is SearchVerdict.FOUND:
            self._on_found(search, now)
        elif search.verdict is SearchVerdict.NOWHERE:
            self.handler.on_search_held_nowhere(search, now)
        else:
            self._on_inconclusive(search, now)

    def _send_steps(self, search: Search, steps: list[SearchStep], now: float) -> None:
        self.counters.search_questions += len(steps)
        for step in steps:
            target = step.target
            if isinstance(step, Query):
                target.record_query(now)
                self._batch.ask(target, search.key)
                continue
            head = target.confirm_head if isinstance(step, Confirm) else target.carry_head
            self.send(head + step.packet, target.address)

    def _start_second_rounds(self, now: float) -> None:
        """Start the second rounds that are due together, so that they share frames."""
        due = [each for each in self._searches.values() if each.is_second_round_due(now)]
        if not due:
            return
        frames = len(self.pool) * -(-len(due) // KEYS_PER_FRAME)
        queries_all = self._broadcast_budget.take(now, frames)
        for search in due:
            steps = search.start_second_round(self.pool, queries_all, now)
            self._send_steps(search, steps, now)
            self._advance(search, now)

    def _on_found(self, search: Search, now: float) -> None:
        holder = search.holder
        assert holder is not None
        self.counters.searches_found += 1
        self.latency.observe(now - search.started_at)
        self.log.note(
            "flow-found",
            flow=self.codec.describe(search.key),
            agent=holder.record.name,
            asked=len(search.queried),
            waited_ms=round(1000 * (now - search.started_at), 1),
        )
        self.handler.on_search_found(search, holder, now)

    def _on_inconclusive(self, search: Search, now: float) -> None:
        if search.returned:
            self._returned_by[search.key] = ReturnedBy(search.returned, now)
        self.counters.searches_given_up += 1
        self.log.note(
            "flow-not-found",
            flow=self.codec.describe(search.key),
            asked=len(search.queried),
            unanswered=",".join(search.unanswered()),
            rounds=search.rounds,
        )
        self.handler.on_search_inconclusive(search, now)
