"""The balancer's core: every caller's packet goes to the agent that holds its flow.

The truth of who holds a flow lies with the hosts and the agents beside them; this table is a
cache. A packet of a flow that is not in it is held back for the few milliseconds that asking
the agents takes (see `search`). Sans-IO: datagrams leave through `send`, time is a parameter.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from jasperwalk.balancer.datagrams.counters import FlowCounters
from jasperwalk.balancer.datagrams.early_packets import EarlyPackets
from jasperwalk.balancer.datagrams.flow_opener import FlowOpener
from jasperwalk.balancer.datagrams.openings import Flow
from jasperwalk.balancer.datagrams.question_batch import KEYS_PER_FRAME, QuestionBatch
from jasperwalk.balancer.datagrams.search import (
    Confirm,
    Question,
    Search,
    SearchStep,
    SearchVerdict,
)
from jasperwalk.balancer.datagrams.targets import Target, TargetPool
from jasperwalk.errors import MalformedMessage
from jasperwalk.fleet.messages import FleetUpdate
from jasperwalk.flows.codec import DatagramSender, PacketCodec, SocketAddress
from jasperwalk.flows.frames import AgentReply, FrameKind, decode_replies
from jasperwalk.flows.routes import RouteEntry, RouteTable
from jasperwalk.observability.decisions import DecisionLog
from jasperwalk.observability.latency import LatencyCounts
from jasperwalk.token_bucket import TokenBucket

FLOW_LIFETIME_SECONDS = 70.0
"""A cached flow without a packet for this long is forgotten."""
MAXIMUM_SEARCHES = 4096
QUESTIONS_PER_SECOND = 600.0
QUESTIONS_AT_ONCE = 1200.0
"""Budget of one balancer's frames that ask everyone."""
RETURNED_MEMORY_SECONDS = 5.0
"""How long it is remembered which hosts do not hold a flow that was not found."""


@dataclass(slots=True)
class ReturnedBy:
    """Agents whose hosts handed back a packet of a flow that was not found, and when."""

    targets: frozenset[Target]
    noted_at: float


@dataclass
class FlowBalancer:
    """Routes packets; call `tick` every few milliseconds while `has_pending`."""

    codec: PacketCodec
    routes: RouteTable
    pool: TargetPool
    send: DatagramSender
    reset: DatagramSender
    log: DecisionLog
    counters: FlowCounters = field(default_factory=FlowCounters)
    open_latency: LatencyCounts = field(default_factory=LatencyCounts)
    search_latency: LatencyCounts = field(default_factory=LatencyCounts)
    _questions: TokenBucket = field(
        default_factory=lambda: TokenBucket(QUESTIONS_PER_SECOND, QUESTIONS_AT_ONCE, 0.0)
    )
    _flows: dict[bytes, Flow] = field(default_factory=dict)
    _searches: dict[bytes, Search] = field(default_factory=dict)
    _returned_by: dict[bytes, ReturnedBy] = field(default_factory=dict)
    _early: EarlyPackets = field(default_factory=EarlyPackets)

    def __post_init__(self) -> None:
        """Share the table of flows with what opens them."""
        self._batch = QuestionBatch(self.send)
        self.opener = FlowOpener(
            codec=self.codec,
            pool=self.pool,
            flows=self._flows,
            send=self.send,
            reject=self.reject,
            log=self.log,
            counters=self.counters,
            latency=self.open_latency,
        )

    def __len__(self) -> int:
        """Return the number of cached flows."""
        return len(self._flows)

    def has_pending(self) -> bool:
        """Tell whether `tick` has anything to do."""
        return bool(self._searches) or self.opener.has_pending()

    # Callers' packets

    def receive(self, packet: bytes, now: float) -> None:
        """Take a caller's packet."""
        key = self.key_of(packet)
        if key is not None:
            self.receive_whole(key, packet, now)

    def key_of(self, packet: bytes) -> bytes | None:
        """Return the key of a packet's flow; count a malformed packet and return None."""
        if self.codec.is_whole(packet):
            return self.codec.flow_key(packet)
        self.counters.packets_malformed += 1
        return None

    def knows(self, key: bytes) -> bool:
        """Tell whether a flow is in the table."""
        return key in self._flows

    def receive_whole(self, key: bytes, packet: bytes, now: float) -> None:
        """Take a caller's packet that `key_of` has looked at."""
        self._receive(key, packet, now)
        self._batch.flush()

    def _receive(self, key: bytes, packet: bytes, now: float) -> None:
        flow = self._flows.get(key)
        if flow is None:
            self._receive_unknown(key, packet, now, now)
            return
        flow.seen_at = now
        target = flow.target
        if target.departed:
            self.opener.forget(key)
            self._receive_unknown(key, packet, now, now)
            return
        self.counters.packets_carried += 1
        if self.codec.is_opening(packet):
            self.opener.resend(flow, packet, now)
            return
        opening = flow.opening
        if opening is not None:
            possible = self.opener.follow_up(key, flow, now)
            if possible:
                self._start_search(key, packet, opening.route, now, possible)
                return
        self.send(flow.target.carry_head + packet, flow.target.address)

    def open(self, packet: bytes, arrived_at: float, now: float) -> None:
        """Take an opening packet that came a while ago."""
        self._receive_unknown(self.codec.flow_key(packet), packet, arrived_at, now)

    def _receive_unknown(self, key: bytes, packet: bytes, arrived_at: float, now: float) -> None:
        if not self.routes.version:
            self.counters.early_packets += 1
            self._early.hold(packet, arrived_at)
            return
        route = self.routes.find(self.codec.listener_of(key))
        if route is None:
            self.reject(key, packet, "no-route")
        elif self.knows(key) or self.opener.is_parked(key):
            return
        elif self.codec.is_opening(packet):
            self.opener.open(key, packet, route, arrived_at, now)
        else:
            self._search(key, packet, route, now)

    def reject(self, key: bytes, packet: bytes, reason: str) -> None:
        """Tell the caller at once that its flow is not to be; it decides when to come back."""
        if self.codec.is_reset(packet):
            return
        self.counters.flows_reset += 1
        self.log.note(
            "flow-reset",
            flow=self.codec.describe(key),
            reason=reason,
            routes_version=self.routes.version,
            agents_known=len(self.pool),
        )
        self.reset(self.codec.reset_for(packet), self.codec.caller_of(key))

    def routes_changed(self, now: float) -> None:
        """Take the packets that came before the first routes, the newest new flows first.

        Their callers have waited least and are served in time; hosts may not have room for
        all at once.
        """
        early = self._early.take(now)
        if early:
            self.log.note("early-packets", packets=len(early), routes_version=self.routes.version)
        openings = [each for each in early if self.codec.is_opening(each.packet)]
        for each in early:
            if not self.codec.is_opening(each.packet):
                self._receive(self.codec.flow_key(each.packet), each.packet, now)
        self._batch.flush()
        for each in reversed(openings):
            self.open(each.packet, each.arrived_at, now)

    def fleet_changed(self, update: FleetUpdate, now: float) -> None:
        """Take the directory's news in, and try the flows that wait for a host."""
        self.pool.update(update, now)
        self.opener.retry_parked(now)

    # Flows that are not in the table

    def _search(self, key: bytes, packet: bytes, route: RouteEntry, now: float) -> None:
        search = self._searches.get(key)
        if search is not None:
            search.hold(packet)
            return
        if len(self._searches) >= MAXIMUM_SEARCHES:
            return
        self._start_search(key, packet, route, now)

    def _start_search(
        self,
        key: bytes,
        packet: bytes,
        route: RouteEntry,
        now: float,
        possible: Sequence[Target] = (),
    ) -> Search:
        self.counters.searches += 1
        self.counters.searches_confirming += bool(possible)
        known = self._returned_by.get(key)
        returned = frozenset[Target]() if known is None else known.targets
        search = Search(key, packet, sorted(route.past_services), now, returned, possible)
        self._searches[key] = search
        self._advance(search, now)
        return search

    def _advance(self, search: Search, now: float) -> None:
        """Send what the search wants sent, and end it once it has a verdict."""
        self._take_steps(search, search.advance(self.pool, now))
        if search.verdict is SearchVerdict.OPEN:
            return
        del self._searches[search.key]
        if search.verdict is SearchVerdict.FOUND:
            self._found(search, now)
        elif search.verdict is SearchVerdict.NOWHERE:
            self.reject(search.key, search.packets[-1], "held-nowhere")
        else:
            if search.returned:
                self._returned_by[search.key] = ReturnedBy(search.returned, now)
            self.counters.searches_given_up += 1
            self.log.note(
                "flow-not-found",
                flow=self.codec.describe(search.key),
                asked=len(search.asked),
                unanswered=",".join(search.unanswered()),
                rounds=search.rounds,
            )

    def _take_steps(self, search: Search, steps: list[SearchStep]) -> None:
        for step in steps:
            if isinstance(step, Question):
                self._batch.ask(step.target, search.key)
                continue
            target = step.target
            head = target.confirm_head if isinstance(step, Confirm) else target.carry_head
            self.send(head + step.packet, target.address)

    def _begin_second_rounds(self, now: float) -> None:
        """Let the searches that are due ask everyone together."""
        due = [each for each in self._searches.values() if each.is_second_round_due(now)]
        if not due:
            return
        frames = len(self.pool) * -(-len(due) // KEYS_PER_FRAME)
        asks_everyone = self._questions.take(now, frames)
        for search in due:
            steps = search.begin_second_round(self.pool, asks_everyone, now)
            self._take_steps(search, steps)
            self._advance(search, now)

    def _found(self, search: Search, now: float) -> None:
        target = search.holder
        assert target is not None
        self.counters.searches_found += 1
        self.search_latency.observe(now - search.started_at)
        self._flows[search.key] = Flow(target, now)
        self.log.note(
            "flow-found",
            flow=self.codec.describe(search.key),
            agent=target.record.name,
            asked=len(search.asked),
            waited_ms=round(1000 * (now - search.started_at), 1),
        )
        for packet in search.packets[search.first_is_passed_on :]:
            self.send(target.carry_head + packet, target.address)

    # Agents' answers

    def receive_reply(self, data: bytes, sender: SocketAddress, now: float) -> None:
        """Take a frame of an agent."""
        target = self.pool.at(sender)
        try:
            replies = decode_replies(data, self.codec.flow_key_bytes)
        except MalformedMessage:
            self.counters.replies_malformed += 1
            return
        if target is None:
            return
        for reply in replies:
            self._take_reply(target, reply, now)
        self._batch.flush()

    def _take_reply(self, target: Target, reply: AgentReply, now: float) -> None:
        target.note_load(reply.load)
        key = reply.flow_key
        search = self._searches.get(key)
        if reply.kind in (FrameKind.ACCEPTED, FrameKind.REFUSED):
            self.opener.receive_answer(key, target, reply, now)
        elif search is not None:
            search.note_answer(target, reply.kind)
            self._advance(search, now)
        elif reply.kind is FrameKind.RETURNED:
            self._returned(key, self._flows.get(key), target, reply.packet, now)

    def _returned(
        self, key: bytes, flow: Flow | None, target: Target, packet: bytes, now: float
    ) -> None:
        """Look for the holder of a flow that the agent's host does not hold."""
        if flow is not None and flow.target is not target:
            self.send(flow.target.carry_head + packet, flow.target.address)
            return
        self.opener.forget(key)
        route = self.routes.find(self.codec.listener_of(key))
        if route is None:
            self.reject(key, packet, "no-route")
            return
        search = self._start_search(key, packet, route, now)
        search.note_answer(target, FrameKind.RETURNED)

    # Time

    def tick(self, now: float) -> None:
        """Give up waiting for agents that do not answer."""
        self.opener.tick(now)
        self._begin_second_rounds(now)
        for search in list(self._searches.values()):
            if now >= search.deadline and search.key in self._searches:
                self._advance(search, now)
        self._batch.flush()

    def sweep(self, now: float) -> None:
        """Forget flows and agents that are long gone; call every few seconds."""
        oldest = now - FLOW_LIFETIME_SECONDS
        for key in [key for key, flow in self._flows.items() if flow.seen_at < oldest]:
            self.opener.forget(key)
        for key, known in list(self._returned_by.items()):
            if now - known.noted_at > RETURNED_MEMORY_SECONDS:
                del self._returned_by[key]
        self.pool.forget_old(now, FLOW_LIFETIME_SECONDS)
