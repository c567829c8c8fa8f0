"""Finds the agent that holds a flow, without sending the flow's packets to several hosts.

A flow is opened at one of a few candidates that follow from its key, so these are queried first;
its packets wait here. An agent that started later than its host cannot know the host's flows.
Only if all candidates have answered and none holds the flow are such hosts probed: each in turn is
sent one packet, which it returns if it does not hold the flow; no host is probed twice. The second
round queries all agents, because a route may have named other services when the flow was opened,
or many agents may have joined since. A flow counts as held nowhere only when every agent has
denied it.

Queries to all agents are many, and a balancer may have little bandwidth and processor time. After
an outage there are many searches at once. Their second rounds start together, so that one frame to
an agent has the queries of all of them (see `query_batch`), and queries to all agents have a rate
limit.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence

import msgspec

from jasperwalk.fleet.target import Target
from jasperwalk.fleet.targets import TargetPool
from jasperwalk.flows.frames import FrameKind

ANSWER_TIMEOUT_SECONDS = 0.06
"""How long a round waits for agents that do not answer."""
CONFIRM_TIMEOUT_SECONDS = 0.15
"""How long the possible holders of a flow may take to answer which of them has it."""
PROBE_TIMEOUT_SECONDS = 0.06
"""How long a probed host may take to return a packet."""
ROUND_PAUSE_SECONDS = 0.04
"""Shortest pause between the first round and the second, for late answers."""
SETTLING_SECONDS = 0.3
"""No second round starts earlier after the directory was first received: agents may be missing."""
ROUND_GRID_SECONDS = 0.02
"""Second rounds start at multiples of this, so that they share frames."""
MAX_HELD_PACKETS = 16
ROUNDS = 2
REPEAT_SECONDS = 0.06
"""Interval of repeated queries to the few agents whose silence would decide the search."""
REPEATED_ROUNDS = 4
"""Most rounds after the second one: enough for `SILENT_QUERIES` in `SILENT_SECONDS`."""


class Query(msgspec.Struct, frozen=True):
    """Ask an agent whether it holds the flow."""

    target: Target


class Probe(msgspec.Struct, frozen=True):
    """Send a host one packet of the flow, which it returns if it does not hold the flow."""

    target: Target
    packet: bytes


class Confirm(msgspec.Struct, frozen=True):
    """Send a packet to an agent that may hold its flow, which forwards it to its host if so."""

    target: Target
    packet: bytes


SearchStep = Query | Probe | Confirm


class SearchVerdict(enum.Enum):
    """State and result of a search."""

    OPEN = "open"
    FOUND = "found"
    NOWHERE = "nowhere"
    """Every agent has denied the flow, twice."""
    UNKNOWN = "unknown"
    """Some agents did not answer; the caller's next packet starts a new search."""


class Search:
    """One flow's search; sans-IO: `advance` returns the steps to send."""

    def __init__(
        self,
        key: bytes,
        packet: bytes,
        services: list[str],
        now: float,
        returned: frozenset[Target] = frozenset(),
        possible_holders: Sequence[Target] = (),
        regions: frozenset[str] = frozenset(),
    ) -> None:
        """Start with one packet; `returned` are agents whose hosts returned one before.

        `possible_holders` are the agents that may have taken the flow when it was opened: they get
        the packet first, and the one whose host the caller has chosen forwards it. Only hosts in
        `regions` are probed, if any are named; queries carry no packet.
        """
        self.key = key
        self.packets = [packet]
        self.started_at = now
        self.deadline = now
        self.rounds = 0
        self.verdict = SearchVerdict.OPEN
        self.holder: Target | None = None
        self.queried: dict[Target, FrameKind | None] = {}
        self._services = services
        self._regions = regions
        self._probed: set[Target] = set(returned)
        self._returned: set[Target] = set(returned)
        self._probing: Target | None = None
        self._pausing = False
        # Ordered: the same answers have to lead to the same queries.
        self._candidates: dict[Target, None] = {}
        self._queried_all = False
        self._possible_holders = tuple(possible_holders)
        self._confirming = False
        self.first_is_forwarded = False
        """True once the holder has received the first packet, with a `Confirm`."""

    def hold(self, packet: bytes) -> None:
        """Keep another packet of the flow."""
        if len(self.packets) < MAX_HELD_PACKETS:
            self.packets.append(packet)

    def record_answer(self, target: Target, kind: FrameKind) -> None:
        """Record an agent's answer."""
        if kind is FrameKind.HELD:
            self.holder = target
            self.verdict = SearchVerdict.FOUND
            self.first_is_forwarded = self._confirming
            return
        if kind is FrameKind.RETURNED:
            self._probed.add(target)
            self._returned.add(target)
            if self._probing is target:
                self._probing = None
        self.queried[target] = kind

    @property
    def returned(self) -> frozenset[Target]:
        """The agents whose hosts returned a packet of this flow."""
        return frozenset(self._returned)

    def unanswered(self) -> list[str]:
        """Return the names of the agents that have not answered."""
        return [target.record.name for target, kind in self.queried.items() if kind is None]

    def advance(self, pool: TargetPool, now: float) -> list[SearchStep]:
        """Return the next steps, if answers and time allow any.

        The second round is started by `start_second_round`.
        """
        if self.verdict is not SearchVerdict.OPEN or self._pausing:
            return []
        if self._possible_holders:
            return self._confirm_possible_holders(now)
        if self._confirming:
            if self.unanswered() and now < self.deadline:
                return []
            self._confirming = False
        if self.rounds == 0:
            return self._query_candidates(pool, now)
        waits = self._probing is not None or self.unanswered()
        if waits and now < self.deadline:
            return []
        return self._probe_next(now) or self._end_round(pool, now)

    def is_second_round_due(self, now: float) -> bool:
        """Tell whether `start_second_round` is to be called."""
        return self._pausing and now >= self.deadline

    def start_second_round(
        self, pool: TargetPool, queries_all: bool, now: float
    ) -> list[SearchStep]:
        """Query all agents, or only the candidates again if the rate limit allows no more.

        The candidates are determined again: a balancer that has just started may have known no
        agent when the search started, and `UNSURE` from a candidate is no denial.
        """
        self._pausing = False
        self._queried_all = queries_all
        self._candidates |= dict.fromkeys(self._find_candidates(pool))
        queried = [each for each in self._candidates if not each.departed]
        if queries_all:
            queried += [each for each in pool.all_targets() if each not in self._candidates]
        return self._start_round(queried, now)

    def _confirm_possible_holders(self, now: float) -> list[SearchStep]:
        possible_holders, self._possible_holders = self._possible_holders, ()
        self._confirming = True
        self.deadline = now + CONFIRM_TIMEOUT_SECONDS
        self.queried = dict.fromkeys(possible_holders)
        return [Confirm(target, self.packets[0]) for target in possible_holders]

    def _query_candidates(self, pool: TargetPool, now: float) -> list[SearchStep]:
        candidates = self._find_candidates(pool)
        self._candidates = dict.fromkeys(candidates)
        return self._start_round(candidates, now)

    def _find_candidates(self, pool: TargetPool) -> list[Target]:
        return pool.candidates(self._services, self.key, self._regions)

    def _start_round(self, targets: list[Target], now: float) -> list[SearchStep]:
        self.rounds += 1
        self.deadline = now + ANSWER_TIMEOUT_SECONDS
        self.queried = dict.fromkeys(targets)
        return [Query(target) for target in targets]

    def _probe_next(self, now: float) -> list[SearchStep]:
        """Probe the host of the next candidate that is unsure with the first packet.

        Not while a candidate's answer is missing: it may hold the flow, and the packets would
        go to other hosts meanwhile.
        """
        if any(self._is_missing(target, kind, now) for target, kind in self.queried.items()):
            return []
        for target, kind in self.queried.items():
            may_hold = kind is FrameKind.UNSURE and target in self._candidates
            if may_hold and target not in self._probed and not target.departed:
                self._probed.add(target)
                self._probing = target
                self.deadline = now + PROBE_TIMEOUT_SECONDS
                return [Probe(target, self.packets[0])]
        return []

    def _end_round(self, pool: TargetPool, now: float) -> list[SearchStep]:
        self._probing = None
        if self.rounds < ROUNDS:
            self._pausing = True
            since = pool.directory_since if len(pool) else now
            earliest = max(now + ROUND_PAUSE_SECONDS, (since or now) + SETTLING_SECONDS)
            self.deadline = math.ceil(earliest / ROUND_GRID_SECONDS) * ROUND_GRID_SECONDS
            return []
        unconfirmed = self._unconfirmed_denials(now)
        if unconfirmed and self.rounds < ROUNDS + REPEATED_ROUNDS:
            return self._query_again(unconfirmed, now)
        denied = all(self._has_denied(target, kind, now) for target, kind in self.queried.items())
        is_nowhere = denied and self._queried_all and bool(self.queried)
        self.verdict = SearchVerdict.NOWHERE if is_nowhere else SearchVerdict.UNKNOWN
        return []

    def _unconfirmed_denials(self, now: float) -> list[Target]:
        """Return the agents whose silence will count as a denial once it has lasted longer."""
        if not self._queried_all:
            return []
        return [
            target
            for target, kind in self.queried.items()
            if kind is None and self._silence_means_denial(target) and not target.is_silent(now)
        ]

    def _query_again(self, targets: list[Target], now: float) -> list[SearchStep]:
        self.rounds += 1
        self.deadline = now + REPEAT_SECONDS
        return [Query(target) for target in targets]

    def _silence_means_denial(self, target: Target) -> bool:
        """Tell whether an agent's silence is worth as much as its answer.

        An agent whose host never announced itself could only answer `UNSURE`, which rules it out
        unless it is a candidate. After a loss of power the machines of hosts that had left before
        are back for a moment and then end, one after the other. Without this rule each of them
        would keep every search open until its home removes it from the directory.
        """
        if target in self._candidates or target.departed:
            return False
        return target.host_never_announced()

    def _has_denied(self, target: Target, kind: FrameKind | None, now: float) -> bool:
        """Tell whether an agent's answer rules it out.

        `UNSURE` counts as a denial unless the agent is a candidate: a flow would have been opened
        there only if several agents had joined since.
        """
        if kind is FrameKind.UNSURE and target not in self._candidates:
            return True
        if kind is None and self._silence_means_denial(target) and target.is_silent(now):
            return True
        if kind is None and target.is_lost(now):
            return True
        return kind is FrameKind.NOT_HELD or target in self._returned or target.departed

    def _is_missing(self, target: Target, kind: FrameKind | None, now: float) -> bool:
        """Tell whether a candidate that may hold the flow has not answered."""
        if kind is not None or target not in self._candidates or target in self._returned:
            return False
        return not target.departed and not target.is_lost(now)
