"""Finding the agent that holds a flow, without sending its packets to several hosts.

A flow is opened at one of a few candidates that follow from its key, so these are asked for
it first; its packets wait here. An agent that started later than its host cannot know: only
if all candidates have answered and none holds the flow is one packet shown to such hosts, one
after the other, which hand it back if it is not theirs; a host is shown a flow once. The
second round asks every agent, because a route may have named other services when the flow was
opened, or many agents may have come since. Only when every agent has denied the flow is it
held nowhere.

Questions to every agent are many, and a balancer's link and processor may be thin. After an
outage there are many searches at once; their second rounds begin together, so that one frame to
an agent asks for all of them (see `question_batch`), and what is asked of everyone has a budget.
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
"""How long the agents that may have taken a flow may take to say which of them has it."""
PROBE_TIMEOUT_SECONDS = 0.06
"""How long one host may take to hand a packet back."""
ROUND_PAUSE_SECONDS = 0.04
"""Least pause between the first round and the second: late answers come meanwhile."""
SETTLING_SECONDS = 0.3
"""No second round begins earlier after the directory was received first: agents may be missing."""
ROUND_GRID_SECONDS = 0.02
"""Second rounds begin at multiples of this."""
MAX_HELD_PACKETS = 16
ROUNDS = 2
REPEAT_SECONDS = 0.06
"""Pace of asking again those whose silence would settle the search; they are few."""
REPEATED_ROUNDS = 4
"""Rounds beyond the second at most: enough for `SILENT_QUERIES` in `SILENT_SECONDS`."""


class Query(msgspec.Struct, frozen=True):
    """Ask an agent whether it holds the flow."""

    target: Target


class Probe(msgspec.Struct, frozen=True):
    """Show a host one packet of the flow; it hands back what it does not hold."""

    target: Target
    packet: bytes


class Confirm(msgspec.Struct, frozen=True):
    """Give an agent one packet of a flow that it may have taken; it passes on what is its own."""

    target: Target
    packet: bytes


SearchStep = Query | Probe | Confirm


class SearchVerdict(enum.Enum):
    """How a search stands."""

    OPEN = "open"
    FOUND = "found"
    NOWHERE = "nowhere"
    """Every agent has denied the flow, twice."""
    UNKNOWN = "unknown"
    """Some agents did not answer; the caller's next packet begins a new search."""


class Search:
    """One flow's search; sans-IO: what is to be sent is returned."""

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
        """Begin with one packet; `returned` are agents whose hosts handed one back before.

        `possible_holders` are the agents that may have taken the flow when it was opened: they are given
        the packet first, and the one whose host the caller has chosen passes it on. Packets are
        shown to hosts in `regions` only, where any are named; questions hold no packet.
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
        # Ordered: the same answers have to lead to the same questions.
        self._candidates: dict[Target, None] = {}
        self._queried_all = False
        self._possible_holders = tuple(possible_holders)
        self._confirming = False
        self.first_is_forwarded = False
        """True once the holder has got the first packet with the question."""

    def hold(self, packet: bytes) -> None:
        """Keep another packet of the flow."""
        if len(self.packets) < MAX_HELD_PACKETS:
            self.packets.append(packet)

    def record_answer(self, target: Target, kind: FrameKind) -> None:
        """Take an agent's answer."""
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
        """The agents whose hosts handed a packet of this flow back."""
        return frozenset(self._returned)

    def unanswered(self) -> list[str]:
        """Return the names of the agents that did not answer."""
        return [target.record.name for target, kind in self.queried.items() if kind is None]

    def advance(self, pool: TargetPool, now: float) -> list[SearchStep]:
        """Go on as far as answers and time allow; the second round begins by another call."""
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
        """Ask everyone, or only the candidates again where the budget does not allow more.

        The candidates are drawn anew: a balancer that has just started may have known no agent
        when the search began, and an agent that does not know denies nothing as a candidate.
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
        """Show the first packet to the next candidate whose agent does not know.

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
        """Return the agents that would deny the flow by a longer silence."""
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
        """Tell whether an agent's silence says as much as its answer would.

        One that never saw its host could only answer that it does not know, which rules it out
        where the flow's key does not lead to it. After a loss of power the machines of hosts that
        had left before are back for a moment and then end, one after the other; without this, each
        of them would keep every search open until its home has missed it.
        """
        if target in self._candidates or target.departed:
            return False
        return target.host_never_announced()

    def _has_denied(self, target: Target, kind: FrameKind | None, now: float) -> bool:
        """Tell whether an agent's answer rules it out.

        An agent that does not know counts as denying where the flow's key does not lead to it:
        a flow would have been opened there only if several agents had come since.
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
