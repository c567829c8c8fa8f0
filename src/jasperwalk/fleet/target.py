"""One agent as one balancer knows it: load, slowdown of its host, and whether it may be chosen.

An agent's load comes with its answers on the data path; the flows that this balancer has sent since
the last answer are added. An agent that leaves the directory without deregistering may only have
lost its control link: it stays usable for some time, because an agent that is really gone does not
answer and is then avoided.
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
"""The same for an agent whose host was draining and has not deregistered: the host may serve its
last flows for many more seconds, and they must not be reset."""
SILENT_SECONDS = 0.2
"""An agent that has answered no query for this long is silent; a working one answers within a few
milliseconds, also in the second after a loss of all power."""
SILENT_QUERIES = 3
"""Consecutive queries that must be unanswered as well: if one in a hundred datagrams is lost, three
in a row are lost once in a million."""
SUSPECT_SECONDS = 1.0
"""How long an agent that did not answer is avoided: chosen only if no other is left."""
REFUSING_SECONDS = 0.2
"""How long an agent is avoided that refused a new flow because its host warms up, or because its
zone is drained and this balancer does not know that yet. Otherwise such a host looks idle and is
tried first for every flow."""
FAILING_SECONDS = 0.5
"""The same for one that refused because its host fails its requests. All balancers of a service
together still send it enough flows for its trials, five per second."""
SLOW_SECONDS = 0.5
"""The same for one that refused because its host is much slower than usual; trials as well."""
LOAD_FRESH_SECONDS = 1.0
"""Age up to which a reported load counts fully. A balancer that sends an agent several flows per
second always has one as fresh."""
LOAD_HALF_LIFE_SECONDS = 1.0
"""Half-life of the load's weight after that. The load that stands for an unable host, 16 per slot,
falls below a typical load of 0.3 within 7 s. Requests take some 0.05 s, so a load that is seconds
old says little of a working host."""
SLOW_START_FACTOR = 2.0
"""Factor on an agent's load while its host is in slow start."""
UNKNOWN_CAPACITY = 1


class Target(msgspec.Struct, eq=False):
    """One process of an agent, with the encoded heads of frames to it."""

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
    """The load in the last answer, received at `load_at`."""
    load_at: float = 0.0
    sent_since: int = 0
    """New flows sent there since that answer, the last one at `sent_at`."""
    sent_at: float = 0.0
    suspect_until: float = float("-inf")
    refuses_until: float = float("-inf")
    slowdown: float = 1.0
    """Ratio of its host's service times to typical ones, reported at `slowdown_at`."""
    slowdown_at: float = float("-inf")
    zone_drained: bool = False
    """True while the host's zone is drained."""
    slow_until: float = float("-inf")
    unlisted_since: float | None = None
    silent_since: float | None = None
    """Time of the first query that has no answer yet, None if there is none."""
    unanswered_queries: int = 0
    """Queries sent since then; several at the same time count once."""
    queried_at: float = float("-inf")
    departed: bool = False
    """True once the agent reported that it has no host, or another process took its address."""

    def open_head(self, terms: OpeningTerms) -> bytes:
        """Return the frame head for an opening packet."""
        if terms.route is not None and not self.record.reads_terms:
            # An agent of an earlier release treats a frame with terms as malformed.
            terms = msgspec.structs.replace(terms, route=None)
        return encode_open_head(self.service_tag, terms)

    def record_load(self, load: float, now: float) -> None:
        """Record the load of an answer."""
        self.load = load
        self.load_at = now
        self.sent_since = 0
        self.suspect_until = float("-inf")

    def record_sent(self, now: float) -> None:
        """Record that a new flow was sent there."""
        self.sent_since += 1
        self.sent_at = now

    def record_slow_refusal(self) -> None:
        """Record that the agent refused a new flow because its host is slow."""
        self.slowdown = MAX_SLOWDOWN

    def is_avoided(self, now: float) -> bool:
        """Tell whether the agent was silent or refused, and so is chosen only as the last one."""
        return now < max(self.suspect_until, self.refuses_until)

    def was_slow(self) -> bool:
        """Tell whether the host was slow by its agent's last report, however old."""
        return self.slowdown > 1.0

    def record_query(self, now: float) -> None:
        """Record a query whether the agent holds a flow."""
        if self.silent_since is None:
            self.silent_since = now
        if now > self.queried_at:
            self.queried_at = now
            self.unanswered_queries += 1

    def record_answer(self) -> None:
        """Record that the agent answered a query."""
        self.silent_since = None
        self.unanswered_queries = 0

    def is_silent(self, now: float) -> bool:
        """Tell whether the agent has left `SILENT_QUERIES` unanswered for `SILENT_SECONDS`."""
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
        """Return requests in flight per slot, as far as known.

        The known load decays with age: only an answer replaces it, so an agent that once reported
        an unable host would otherwise never be tried again.
        """
        capacity = max(self.record.capacity, UNKNOWN_CAPACITY)
        load = self.load * _load_weight_at_age(now - self.load_at)
        sent = self.sent_since * _load_weight_at_age(now - self.sent_at)
        load = (load + sent) / capacity
        return (load + 1.0 / capacity) * SLOW_START_FACTOR if now < self.slow_until else load

    def current_slowdown(self, now: float) -> float:
        """Return the slowdown weighted by its age: 1.0 for typical, more for slow."""
        return slowdown_at_age(self.slowdown, now - self.slowdown_at)

    def expected_wait(self, now: float) -> float:
        """Return the expected wait, counted in requests of typical service time per slot.

        A new request waits for those before it, and its own service is as slow. Without a slowdown
        the result is the relative load.
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
    """Return the weight of an agent's load at an age, 0 to 1."""
    if age_seconds <= LOAD_FRESH_SECONDS:
        return 1.0
    return float(0.5 ** ((age_seconds - LOAD_FRESH_SECONDS) / LOAD_HALF_LIFE_SECONDS))
