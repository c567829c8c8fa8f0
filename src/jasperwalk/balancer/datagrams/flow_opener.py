"""Finds an agent whose host takes a new flow.

The least busy candidate is tried first, and the next one if it refuses or does not answer in time.
An agent that does not answer may still have taken the flow: its answer may be lost, or this
balancer too busy to have read it. So a flow is never reset only because an answer is missing; its
caller's next packet decides which agent holds it (see `follow_up`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from jasperwalk.balancer.datagrams.counters import FlowCounters
from jasperwalk.balancer.datagrams.openings import Flow, Opening, OpeningAnswer
from jasperwalk.fleet.target import (
    FAILING_SECONDS,
    REFUSING_SECONDS,
    SLOW_SECONDS,
    SUSPECT_SECONDS,
    Target,
)
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.codec import DatagramSender, PacketCodec
from jasperwalk.flows.frames import (
    FULL_LOAD_PER_SLOT,
    AgentReply,
    FrameKind,
    OpeningTerms,
    RefusalReason,
)
from jasperwalk.flows.routes import RouteEntry
from jasperwalk.observability.decisions import DecisionLog
from jasperwalk.observability.latency import LatencyHistogram

OPEN_TIMEOUT_SECONDS = 0.1
"""Agents answer within a few milliseconds; after this time the next one is tried."""
MAX_TRIES = 4
"""Agents that are tried for one new flow before one is asked to queue it."""
MAX_LOAD_AGE_SECONDS = 0.05
"""An agent's load that is older than about one service time says little of its free slots now."""
MAX_PARKING_SECONDS = 0.9
"""Longest wait of a new flow for an expected host while none is ready; its caller waits 1.4 s for
an answer."""
MAX_PARKED = 4096

REFUSAL_SECONDS_BY_REASON = {
    RefusalReason.ZONE_DRAINED: REFUSING_SECONDS,
    RefusalReason.WARMING_UP: REFUSING_SECONDS,
    RefusalReason.FAILING: FAILING_SECONDS,
    RefusalReason.SLOW: SLOW_SECONDS,
}
"""How long an agent is avoided by refusals that do not depend on its host's load and would meet
other flows too."""

FlowRejecter = Callable[[bytes, bytes, str], None]
"""Resets a flow: its key, a packet of it, and the reason."""


@dataclass(eq=False, repr=False)
class FlowOpener:
    """Opens new flows; sans-IO. `flows` is the balancer's table of flows."""

    codec: PacketCodec
    pool: TargetPool
    flows: dict[bytes, Flow]
    send: DatagramSender
    reject: FlowRejecter
    log: DecisionLog
    counters: FlowCounters
    latency: LatencyHistogram
    _waiting_for_answers: dict[bytes, Flow] = field(default_factory=dict)
    _parked: dict[bytes, Opening] = field(default_factory=dict)
    """New flows that wait for the first host of their services to become ready."""

    def has_pending(self) -> bool:
        """Tell whether `tick` has work."""
        return bool(self._waiting_for_answers or self._parked)

    def is_parked(self, key: bytes) -> bool:
        """Tell whether a flow waits for a host."""
        return key in self._parked

    def open(
        self, key: bytes, packet: bytes, route: RouteEntry, arrived_at: float, now: float
    ) -> None:
        """Start opening a flow."""
        service = route.turns.next()
        if service is None:
            self.reject(key, packet, "no-service")
            return
        caller_started_at = arrived_at - self.codec.opening_age_seconds(packet)
        opening = Opening(packet, route, service, caller_started_at, arrived_at, now)
        self._try_next(key, opening, now)

    def forget(self, key: bytes) -> None:
        """Remove a flow from the table."""
        self.flows.pop(key, None)
        self._waiting_for_answers.pop(key, None)

    def resend(self, flow: Flow, packet: bytes, now: float) -> None:
        """Forward a copy of a flow's opening packet to the agent that was asked last."""
        age_seconds = self.codec.opening_age_seconds(packet)
        if flow.opening is not None:
            age_seconds = max(age_seconds, now - flow.opening.caller_started_at)
        terms = OpeningTerms(False, flow.is_repeatable, age_seconds, flow.terms)
        self.send(flow.target.open_head(terms) + packet, flow.target.address)

    def follow_up(self, key: bytes, flow: Flow, now: float) -> list[Target]:
        """Handle the caller's first packet after the opening one, which shows that a host answered.

        If several agents may have taken the flow, the packet must not go to an arbitrary one: the
        flow is removed from the table, and these agents are returned to be queried. An empty list
        means that the packet goes to the flow's agent.
        """
        opening = flow.opening
        assert opening is not None
        possible = opening.possible_holders()
        if len(possible) > 1:
            self.forget(key)
            return possible
        if not opening.is_accepted():
            # The agent's answer is late or lost; the caller's packet replaces it.
            self._on_opened(key, flow, opening, now)
        flow.opening = None
        return []

    # Trying agents

    def _try_next(self, key: bytes, opening: Opening, now: float) -> None:
        """Try the next agent; after the last one, ask the least busy to queue the flow."""
        target = self._next_target(key, opening, now)
        if target is not None:
            self._send_opening(key, opening, target, now)
            return
        self.forget(key)
        if not opening.answers and self._park(key, opening, now):
            return
        self.counters.flows_not_opened += 1
        if opening.possible_holders():
            # Its caller may have an answer already; if not, its next copy starts another try.
            self.log.note(
                "flow-unanswered", flow=self.codec.describe(key), **_attempt_fields(opening)
            )
            return
        self.reject(key, opening.packet, f"no-host-after-{len(opening.answers)}-agents")

    def _next_target(self, key: bytes, opening: Opening, now: float) -> Target | None:
        """Choose the next agent to try, and whether the flow may be queued there."""
        opening.waits = False
        if opening.is_final_attempt:
            return None
        if len(opening.answers) < MAX_TRIES:
            target = self._choose(key, opening, tuple(opening.answers), now)
            if target is not None:
                # Trying an agent that is known to be full, and then the next one, costs a
                # balancer more than the flow itself. The agent of a slow host refuses only flows
                # that may not wait; such flows are better served by other agents.
                is_full = self._is_known_full(target, opening, now)
                opening.waits = is_full and not target.was_slow()
                return target
        if not opening.answers:
            return None
        opening.waits = opening.is_final_attempt = True
        return self._choose(key, opening, tuple(opening.possible_holders()), now)

    def _is_known_full(self, target: Target, opening: Opening, now: float) -> bool:
        """Tell whether an agent's host is known to have no free slot.

        Where requests are ordered by their terms, an old load is not taken as knowledge: a flow
        queued at one host while another has free slots is late, or makes others late.
        """
        is_old = now - target.load_at > MAX_LOAD_AGE_SECONDS
        if opening.route.terms is not None and is_old:
            return False
        return target.relative_load(now) >= FULL_LOAD_PER_SLOT

    def _choose(
        self, key: bytes, opening: Opening, excluded: tuple[Target, ...], now: float
    ) -> Target | None:
        """Return the best agent of the chosen service, or else of the route's others."""
        for service in dict.fromkeys([opening.service, *opening.route.route.services()]):
            is_bulk = opening.route.route.is_bulk
            regions = opening.route.allowed_regions
            prefers_own_zone = opening.route.terms is not None
            target = self.pool.choose(
                service, key, excluded, now, is_bulk, regions, prefers_own_zone
            )
            if target is not None:
                return target
        return None

    def _send_opening(self, key: bytes, opening: Opening, target: Target, now: float) -> None:
        opening.answers[target] = OpeningAnswer.MISSING
        opening.deadline = now + OPEN_TIMEOUT_SECONDS
        target.record_sent(now)
        route = opening.route.route
        flow = Flow(target, now, opening, route.is_bulk, route.is_repeatable, opening.route.terms)
        self.flows[key] = flow
        self._waiting_for_answers[key] = flow
        terms = OpeningTerms(
            opening.waits, route.is_repeatable, now - opening.caller_started_at, opening.route.terms
        )
        self.send(target.open_head(terms) + opening.packet, target.address)

    # Answers

    def receive_answer(self, key: bytes, target: Target, reply: AgentReply, now: float) -> None:
        """Handle an agent's answer to a new flow; it may come after another agent was tried."""
        flow = self.flows.get(key)
        opening = None if flow is None else flow.opening
        if flow is None or opening is None:
            return
        answer = opening.answers.get(target)
        is_revoked = _revokes_acceptance(answer, reply)
        if answer is not OpeningAnswer.MISSING and not is_revoked:
            # Not tried, or an answer to a copy: the first answer counts.
            return
        was_accepted = opening.is_accepted()
        if reply.kind is FrameKind.ACCEPTED:
            opening.answers[target] = OpeningAnswer.ACCEPTED
            self.pool.record_service_time(target, self.codec.listener_of(key), reply.flags, now)
            if not was_accepted:
                flow.target = target
                self._on_opened(key, flow, opening, now)
            return
        opening.answers[target] = OpeningAnswer.REFUSED
        self.counters.openings_returned += is_revoked
        self._record_refusal(key, target, reply, now)
        if flow.target is target and (is_revoked or not was_accepted):
            self._try_next(key, opening, now)

    def _record_refusal(self, key: bytes, target: Target, reply: AgentReply, now: float) -> None:
        refuses_seconds = REFUSAL_SECONDS_BY_REASON.get(RefusalReason(reply.flags), 0.0)
        target.refuses_until = max(target.refuses_until, now + refuses_seconds)
        if reply.flags == RefusalReason.SLOW and self.pool.weighs_slowdown:
            target.record_slow_refusal()
        self.counters.open_retries += 1
        self.log.note(
            "flow-refused",
            flow=self.codec.describe(key),
            agent=target.record.name,
            reason=RefusalReason(reply.flags).name.lower().replace("_", "-"),
            load=round(reply.load, 2),
        )

    def _on_opened(self, key: bytes, flow: Flow, opening: Opening, now: float) -> None:
        self._waiting_for_answers.pop(key, None)
        self.counters.flows_opened += 1
        self.latency.observe(now - opening.arrived_at)
        self.log.note(
            "flow-opened",
            flow=self.codec.describe(key),
            service=flow.target.record.service,
            agent=flow.target.record.name,
            waited_ms=round(1000 * (now - opening.arrived_at), 1),
            load=round(flow.target.load, 2),
            **_attempt_fields(opening),
        )

    # Time

    def _park(self, key: bytes, opening: Opening, now: float) -> bool:
        """Let a flow wait for the first ready host, if one is expected soon."""
        if len(self._parked) >= MAX_PARKED or not self._may_wait_for_host(opening, now):
            return False
        self._parked[key] = opening
        return True

    def _may_wait_for_host(self, opening: Opening, now: float) -> bool:
        is_late = now - opening.arrived_at >= MAX_PARKING_SECONDS
        route = opening.route
        return not is_late and self.pool.expects_hosts(
            route.route.services(), now, route.allowed_regions
        )

    def retry_parked(self, now: float) -> None:
        """Try the parked flows again, the newest first; call when the agents change."""
        parked, self._parked = self._parked, {}
        newest_first = sorted(parked.items(), key=lambda each: -each[1].arrived_at)
        for key, opening in newest_first:
            self._try_next(key, opening, now)

    def tick(self, now: float) -> None:
        """Try the next agent where one has not answered, and end parking that took too long."""
        for key, flow in list(self._waiting_for_answers.items()):
            opening = flow.opening
            if opening is not None and now >= opening.deadline:
                flow.target.suspect_until = now + SUSPECT_SECONDS
                self.counters.open_retries += 1
                self._try_next(key, opening, now)
        for key, opening in list(self._parked.items()):
            if not self._may_wait_for_host(opening, now):
                del self._parked[key]
                self._try_next(key, opening, now)


def _revokes_acceptance(answer: OpeningAnswer | None, reply: AgentReply) -> bool:
    """Tell whether an agent that accepted a flow now reports that its host returned the packet.

    An agent answers before its host does. Other refusals after an acceptance answer copies of the
    packet and change nothing.
    """
    is_returned = reply.kind is FrameKind.REFUSED and reply.flags == RefusalReason.RETURNED
    return is_returned and answer is OpeningAnswer.ACCEPTED


def _attempt_fields(opening: Opening) -> dict[str, object]:
    """Return the log fields about the agents that were tried."""
    unanswered = [
        target.record.name
        for target, answer in opening.answers.items()
        if answer is OpeningAnswer.MISSING
    ]
    return {"tries": len(opening.answers), "unanswered": ",".join(unanswered)}
