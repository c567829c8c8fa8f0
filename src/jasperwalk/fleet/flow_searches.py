"""Many searches of flows at once: their questions share frames, their verdicts go to a handler.

Runs in a balancer that searches by itself, and in an agent that searches on a balancer's behalf.
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
"""Budget of one process's frames that ask everyone."""
RETURNED_RETENTION_SECONDS = 5.0
"""How long it is remembered which hosts do not hold a flow that was not found."""


@dataclass(eq=False, repr=False)
class SearchCounters:
    """What the searches of a process came to, and what they cost."""

    searches: int = 0
    searches_confirming: int = 0
    """Searches that began by asking several agents which of them has the flow."""
    searches_found: int = 0
    searches_given_up: int = 0
    search_questions: int = 0
    """Agents asked, the keys of one frame counted one by one; probes of hosts included."""
    replies_malformed: int = 0


class SearchHandler(Protocol):
    """What is called when searches end."""

    def on_search_found(self, search: Search, holder: Target, now: float) -> None:
        """Take the holder; the search's packets wait for it."""

    def on_search_held_nowhere(self, search: Search, now: float) -> None:
        """Take note that every agent has denied the flow."""

    def on_search_inconclusive(self, search: Search, now: float) -> None:
        """Take note that some agents did not answer."""


class ReturnedBy(msgspec.Struct):
    """Agents whose hosts handed back a packet of a flow that was not found, and when."""

    targets: frozenset[Target]
    recorded_at: float


@dataclass(eq=False, repr=False)
class FlowSearches:
    """Owns the searches.

    Call `tick` every few milliseconds while there are any, and `flush` after every frame or
    packet taken.
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
        """Prepare the frames that searches share."""
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
        """Begin a search among the agents of these services; None where too many are open.

        `regions` are those that the flow's hosts may be in, empty where every region may.
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
        """Return what an agent's frame holds, nothing where it is malformed, which is counted."""
        try:
            return decode_replies(data, self.codec.flow_key_bytes)
        except MalformedMessage:
            self.counters.replies_malformed += 1
            return []

    def record_answer(self, key: bytes, target: Target, kind: FrameKind, now: float) -> bool:
        """Take an agent's answer; False where the flow is not being searched."""
        search = self._searches.get(key)
        if search is None:
            return False
        search.record_answer(target, kind)
        target.record_answer()
        self._advance(search, now)
        return True

    def flush(self) -> None:
        """Send the questions that were collected."""
        self._batch.flush()

    def tick(self, now: float) -> None:
        """Go on with searches whose agents did not answer."""
        self._start_second_rounds(now)
        for search in list(self._searches.values()):
            if now >= search.deadline and search.key in self._searches:
                self._advance(search, now)

    def sweep(self, now: float) -> None:
        """Forget what was remembered for too long; call every few seconds."""
        for key, known in list(self._returned_by.items()):
            if now - known.recorded_at > RETURNED_RETENTION_SECONDS:
                del self._returned_by[key]

    def _advance(self, search: Search, now: float) -> None:
        """Send what the search wants sent, and end it once it has a verdict."""
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
        """Let the searches that are due ask everyone together."""
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
