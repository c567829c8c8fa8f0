"""One agent as one balancer knows it: how busy it is, how its host fares, whether it may be chosen.

How busy an agent is comes with its answers on the data path; what this balancer sent since the last
answer is added. An agent that leaves the directory without deregistering may only have lost its
control link: it stays usable for a while, because an agent that is really gone does not answer and
is passed over.
"""

from __future__ import annotations

import msgspec

from jasperwalk.fleet.host_slowdowns import MAX_SLOWDOWN, slowdown_at_age
from jasperwalk.fleet.messages import HostPhase, NodeRecord
from jasperwalk.flows.codec import SocketAddress
from jasperwalk.flows.frames import (
    FrameKind,
    OpeningTerms,
    encode_open_head,
    encode_request,
    service_tag,
)
from jasperwalk.routing.rendezvous import hash_seed

UNLISTED_USABLE_SECONDS = 8.0
"""How long an agent that left the directory may still be chosen for new flows."""
LOST_AFTER_SECONDS = 2.0
"""An agent without a control link for this long that does not answer either is lost, or cut off
from everybody: its callers are reset, so that they try again while they still can."""
DRAINING_LOST_AFTER_SECONDS = 10.0
"""The same for an agent whose host was leaving and has not deregistered: the host may serve its
last flows for many seconds yet, and they are not to be reset."""
SILENT_SECONDS = 0.2
"""An agent that has answered no question for this long is silent; a working one answers within a
few milliseconds, also in the second after a loss of all power."""
SILENT_QUERIES = 3
"""Questions in a row that have to be unanswered as well: were one in a hundred datagrams lost,
three in a row would be one in a million."""
SUSPECT_SECONDS = 1.0
"""How long an agent that did not answer is chosen only if no other is left."""
REFUSING_SECONDS = 0.2
"""How long an agent is passed over that refused a new flow for its host's sake: because the host
warms up, or because its zone is drained and this balancer has not learned of that yet. Without it
such a host looks idle and is asked first for every flow."""
FAILING_SECONDS = 0.5
"""The same for one that refused because its host fails its requests. All balancers of a service
together still ask it often enough for its trials, five a second."""
SLOW_SECONDS = 0.5
"""The same for one that refused because its host is much slower than usual; trials as well."""
LOAD_FRESH_SECONDS = 1.0
"""Age up to which what is known of an agent's load counts whole. A balancer that sends an agent
several flows a second always has such a figure."""
LOAD_HALF_LIFE_SECONDS = 1.0
"""Time after that in which it comes to count half. The figure of an unable host, 16 for each slot,
falls below a usual load of 0.3 within 7 s; requests take some 0.05 s, so a figure that is seconds
old says little of a host that works."""
SLOW_START_FACTOR = 2.0
"""How much an agent's load counts while its host is in slow start."""
UNKNOWN_CAPACITY = 1


class Target(msgspec.Struct, eq=False):
    """One process of an agent; frames for it are prepared."""

    record: NodeRecord
    address: SocketAddress
    carry_head: bytes
    find_head: bytes
    confirm_head: bytes
    service_tag: int
    hash_seed: int
    started_at: float
    """When this balancer first received a record of the agent's present process."""
    load: float = 0.0
    """What the last answer told, and `load_at` when."""
    load_at: float = 0.0
    sent_since: int = 0
    """New flows sent there since that answer, and `sent_at` when the last of them was."""
    sent_at: float = 0.0
    suspect_until: float = float("-inf")
    refuses_until: float = float("-inf")
    slowdown: float = 1.0
    """How many times as long as usual its host takes for a request, and `slowdown_at` when told."""
    slowdown_at: float = float("-inf")
    zone_drained: bool = False
    """True while the host's zone takes no new flows."""
    slow_until: float = float("-inf")
    unlisted_since: float | None = None
    silent_since: float | None = None
    """When the first question was asked that has had no answer yet, None where there is none."""
    unanswered_queries: int = 0
    """Questions asked since then, several at the same moment counted once."""
    queried_at: float = float("-inf")
    departed: bool = False
    """True once the agent said that there is no host, or another process took its address."""

    def open_head(self, terms: OpeningTerms) -> bytes:
        """Return what goes in front of an opening packet."""
        if terms.route is not None and not self.record.reads_terms:
            # An agent of an earlier release takes a frame with terms for a malformed one.
            terms = msgspec.structs.replace(terms, route=None)
        return encode_open_head(self.service_tag, terms)

    def record_load(self, load: float, now: float) -> None:
        """Take the load of an answer."""
        self.load = load
        self.load_at = now
        self.sent_since = 0
        self.suspect_until = float("-inf")

    def record_sent(self, now: float) -> None:
        """Note that a new flow was sent there."""
        self.sent_since += 1
        self.sent_at = now

    def record_slow_refusal(self) -> None:
        """Note that the agent refused a new flow because its host is slow."""
        self.slowdown = MAX_SLOWDOWN

    def is_avoided(self, now: float) -> bool:
        """Tell whether the agent is chosen only if no other is left: it was silent, or refused."""
        return now < max(self.suspect_until, self.refuses_until)

    def was_slow(self) -> bool:
        """Tell whether the host was slow by the last that its agent told, however long ago."""
        return self.slowdown > 1.0

    def record_query(self, now: float) -> None:
        """Note that the agent was asked whether it holds a flow."""
        if self.silent_since is None:
            self.silent_since = now
        if now > self.queried_at:
            self.queried_at = now
            self.unanswered_queries += 1

    def record_answer(self) -> None:
        """Note that the agent answered a question."""
        self.silent_since = None
        self.unanswered_queries = 0

    def is_silent(self, now: float) -> bool:
        """Tell whether the agent has left several questions unanswered for a while."""
        if self.silent_since is None or self.unanswered_queries < SILENT_QUERIES:
            return False
        return now - self.silent_since >= SILENT_SECONDS

    def host_never_announced(self) -> bool:
        """Tell whether the host beside the agent's present process has not announced itself.

        Such an agent holds no flow that it has admitted. Its host may hold flows that an earlier
        process of the agent admitted, until the host announces itself or is known to be gone.
        """
        return self.record.phase is HostPhase.UNKNOWN

    def relative_load(self, now: float) -> float:
        """Return requests under way for each slot, as far as known.

        What is known ages: an agent that once answered that its host is unable would never be asked
        again otherwise, for only an answer replaces its figure.
        """
        capacity = max(self.record.capacity, UNKNOWN_CAPACITY)
        load = self.load * _load_weight_at_age(now - self.load_at)
        sent = self.sent_since * _load_weight_at_age(now - self.sent_at)
        load = (load + sent) / capacity
        return (load + 1.0 / capacity) * SLOW_START_FACTOR if now < self.slow_until else load

    def current_slowdown(self, now: float) -> float:
        """Return what the known pace counts for now: 1.0 for as usual, more for slow."""
        return slowdown_at_age(self.slowdown, now - self.slowdown_at)

    def expected_wait(self, now: float) -> float:
        """Return the expected wait, counted in requests of usual length for each slot.

        A new request waits for those before it, and it is itself worked on as slowly. Where the
        pace is as usual this is the relative load.
        """
        load = self.relative_load(now)
        if self.slowdown == 1.0:
            return load
        weight = self.current_slowdown(now)
        return load if weight == 1.0 else (load + 1.0) * weight - 1.0

    def is_lost(self, now: float) -> bool:
        """Tell whether the directory has not listed the agent for so long that it is gone."""
        if self.unlisted_since is None:
            return False
        is_draining = self.record.phase is HostPhase.DRAINING
        time_limit = DRAINING_LOST_AFTER_SECONDS if is_draining else LOST_AFTER_SECONDS
        return now - self.unlisted_since >= time_limit

    def can_search(self, now: float) -> bool:
        """Tell whether the agent may be asked to search."""
        return not self.departed and self.unlisted_since is None and now >= self.suspect_until

    def is_usable(self, now: float) -> bool:
        """Tell whether new flows may be sent there."""
        if self.departed or self.zone_drained or self.record.phase is not HostPhase.READY:
            return False
        return self.unlisted_since is None or now - self.unlisted_since < UNLISTED_USABLE_SECONDS


def make_target(record: NodeRecord, now: float) -> Target:
    """Prepare a target for an agent's record."""
    tag = service_tag(record.service)
    return Target(
        record=record,
        address=(record.endpoint.host, record.endpoint.port),
        carry_head=encode_request(FrameKind.CARRY, 0, tag, b""),
        find_head=encode_request(FrameKind.FIND, 0, tag, b""),
        confirm_head=encode_request(FrameKind.CONFIRM, 0, tag, b""),
        service_tag=tag,
        hash_seed=hash_seed(record.endpoint.pack()),
        started_at=now,
        load_at=now,
        sent_at=now,
    )


def _load_weight_at_age(age_seconds: float) -> float:
    """Return how much of a figure about an agent's load still counts."""
    if age_seconds <= LOAD_FRESH_SECONDS:
        return 1.0
    return float(0.5 ** ((age_seconds - LOAD_FRESH_SECONDS) / LOAD_HALF_LIFE_SECONDS))
