"""Frames: the datagrams between balancers and agents.

Every frame starts with its kind, its flags and a 32-bit tag of the service that the sender means
(the address may belong to another service by now). In frames to an agent a caller's packet follows
or, for `FIND`, one or more flow keys. In frames to a balancer the agent's load and the flow key
follow and, for `RETURNED`, the caller's packet; in `ANSWERS` the load is followed by a kind and a
flow key for each queried key.
"""

from __future__ import annotations

import enum
import struct
from zlib import crc32

import msgspec

from jasperwalk.errors import MalformedMessage
from jasperwalk.flows.terms import CarriedTerms


class FrameKind(enum.IntEnum):
    """The kind of a frame; values are part of the protocol."""

    OPEN = 1
    """Balancer: take this new flow, or refuse it."""
    CARRY = 2
    """Balancer: a packet of a flow that you hold."""
    FIND = 3
    """Balancer: do you hold this flow?"""
    CONFIRM = 4
    """Balancer: you may have taken this flow; this is its caller's next packet. Forward it if it
    follows up your host's answer, and reply whether it does."""
    LOCATE = 5
    """Balancer: search for this flow on my behalf, and forward its packet. The flags count the tags
    of the services that may hold it, which come before the packet."""
    ACCEPTED = 11
    """Agent: the new flow went to my host; the flags hold its service time (`service_time`)."""
    REFUSED = 12
    """Agent: my host does not take this new flow; the flags hold a `RefusalReason`."""
    HELD = 13
    """Agent: the flow is at my host."""
    NOT_HELD = 14
    """Agent: the flow is not at my host."""
    UNSURE = 15
    """Agent: I started later than my host and do not know; a probe would tell."""
    RETURNED = 16
    """Agent: my host does not hold the flow of this packet."""
    ANSWERS = 17
    """Agent: `HELD`, `NOT_HELD` or `UNSURE` for each of several flow keys."""
    LOCATED = 18
    """Agent: result of the search; the flags hold a `LocateVerdict`. If the flow was found, the
    holder's end point stands in place of a packet."""


class RefusalReason(enum.IntEnum):
    """Why an agent refuses a new flow."""

    NOT_READY = 1
    DRAINING = 2
    FULL = 3
    OTHER_SERVICE = 4
    RETURNED = 5
    SILENT = 6
    """The host does not answer opening packets."""
    ZONE_DRAINED = 7
    WARMING_UP = 8
    """The host is cold and has had as many new flows as it can take for now."""
    FAILING = 9
    """The host fails many of its requests; it gets some that may be repeated, and no others while
    another host takes them."""
    SLOW = 10
    """The host is much slower than usual and would answer too late. Sent only to balancers that
    send terms: earlier ones treat an unknown reason as a malformed frame."""


class LocateVerdict(enum.IntEnum):
    """Result of a search on a balancer's behalf."""

    FOUND = 1
    NOWHERE = 2
    UNKNOWN = 3
    """Some agents did not answer."""
    UNABLE = 4
    """This agent cannot search now."""


SEARCH_ANSWERS = frozenset((FrameKind.HELD, FrameKind.NOT_HELD, FrameKind.UNSURE))
REFUSAL_FLAGS = frozenset(RefusalReason)
VERDICT_FLAGS = frozenset(LocateVerdict)
REPLY_KINDS = frozenset(
    kind for kind in FrameKind if kind >= FrameKind.ACCEPTED and kind is not FrameKind.ANSWERS
)
"""Kinds of agents' frames that answer for one flow."""

REQUEST_HEAD = struct.Struct("!BBI")
"""Kind, flags, service tag: head of a balancer's frames."""
REPLY_HEAD = struct.Struct("!BBIHH")
"""Kind, flags, service tag, load in units of `LOAD_UNIT`, capacity: head of an agent's frames."""

ENDPOINT_BYTES = 6
"""Address and port of an agent."""
FLAG_REPEATABLE = 1
"""On `OPEN`: the caller may repeat the flow's requests, whatever their outcome."""
FLAG_WAIT = 2
"""On `OPEN`: let the flow wait for a slot; other agents have refused or are known to be full."""
FLAG_TERMS = 4
"""On `OPEN`: the route's terms come before the packet. Sent only to agents that read them."""
AGE_SHIFT = 4
"""On `OPEN`: the upper four bits are the age of the caller's attempt, in `AGE_UNIT_SECONDS`."""
AGE_UNIT_SECONDS = 0.1
MAX_AGE_UNITS = 0xF

CARRIED_TERMS = struct.Struct("!BHHH")
"""Priority, objective, limit in milliseconds, group of callers."""
MAX_CARRIED_MS = 0xFFFF
"""Longer times are sent as this one: nothing waits for a minute."""

LOAD_UNIT = 0.01
"""Requests in flight that one unit of the load field stands for."""
MAX_LOAD_UNITS = 0xFFFF
FULL_LOAD_PER_SLOT = 1.4
"""Requests in flight per slot of a host at which its agent refuses new flows, and a balancer
expects it to. A host with a few slots then always has its next request; with one more per slot
every request would wait for the full service time of another, which is too long on a cold host.
Further requests had better wait where the newest is served first."""


def service_tag(service: str) -> int:
    """Return the tag of a service's name."""
    return crc32(service.encode())


class OpeningTerms(msgspec.Struct, frozen=True):
    """What an `OPEN` frame states about a new flow.

    `waits`: it may wait for a slot, other hosts have none free. `repeatable`: its requests may be
    repeated. `age_seconds`: the age of its caller's attempt. `route`: the terms of its route, None
    if the routes of its service have equal terms.
    """

    waits: bool
    repeatable: bool
    age_seconds: float
    route: CarriedTerms | None = None


def opening_flags(terms: OpeningTerms) -> int:
    """Return the flags of an `OPEN` frame."""
    age = min(max(round(terms.age_seconds / AGE_UNIT_SECONDS), 0), MAX_AGE_UNITS)
    waits = FLAG_WAIT if terms.waits else 0
    repeatable = FLAG_REPEATABLE if terms.repeatable else 0
    has_terms = FLAG_TERMS if terms.route is not None else 0
    return age << AGE_SHIFT | has_terms | waits | repeatable


def opening_terms(flags: int) -> OpeningTerms:
    """Read the flags of an `OPEN` frame; unknown bits are ignored."""
    return OpeningTerms(
        waits=bool(flags & FLAG_WAIT),
        repeatable=bool(flags & FLAG_REPEATABLE),
        age_seconds=(flags >> AGE_SHIFT) * AGE_UNIT_SECONDS,
    )


def encode_open_head(tag: int, terms: OpeningTerms) -> bytes:
    """Encode the head of a frame with an opening packet."""
    head = REQUEST_HEAD.pack(FrameKind.OPEN, opening_flags(terms), tag)
    route = terms.route
    if route is None:
        return head
    return head + CARRIED_TERMS.pack(
        route.priority,
        _carried_ms(route.objective_seconds),
        _carried_ms(route.limit_seconds),
        route.group,
    )


def _carried_ms(seconds: float) -> int:
    return min(round(seconds * 1000), MAX_CARRIED_MS)


class OpeningRequest(msgspec.Struct, frozen=True):
    """The content of an `OPEN` frame."""

    terms: OpeningTerms
    packet: bytes


def decode_opening(flags: int, body: bytes) -> OpeningRequest:
    """Read an `OPEN` frame after its head; raises `MalformedMessage`. The packet is not parsed."""
    terms = opening_terms(flags)
    if not flags & FLAG_TERMS:
        return OpeningRequest(terms, body)
    if len(body) < CARRIED_TERMS.size:
        raise MalformedMessage(reason=f"OPEN frame with truncated terms: {len(body)} bytes")
    priority, objective_ms, limit_ms, group = CARRIED_TERMS.unpack_from(body)
    route = CarriedTerms(priority, objective_ms / 1000, limit_ms / 1000, group)
    return OpeningRequest(msgspec.structs.replace(terms, route=route), body[CARRIED_TERMS.size :])


def encode_request(kind: FrameKind, flags: int, tag: int, body: bytes) -> bytes:
    """Encode a frame from a balancer to an agent."""
    return REQUEST_HEAD.pack(kind, flags, tag) + body


class AgentReply(msgspec.Struct, frozen=True):
    """A frame from an agent. `load` counts requests; `RETURNED` and `LOCATED` have a `packet`."""

    kind: FrameKind
    flags: int
    tag: int
    load: float
    capacity: int
    flow_key: bytes
    packet: bytes


def encode_reply(reply: AgentReply) -> bytes:
    """Encode a frame from an agent to a balancer."""
    return _encode_reply_head(reply.kind, reply) + reply.flow_key + reply.packet


def _encode_reply_head(kind: FrameKind, reply: AgentReply) -> bytes:
    load = min(int(reply.load / LOAD_UNIT), MAX_LOAD_UNITS)
    return REPLY_HEAD.pack(kind, reply.flags, reply.tag, load, reply.capacity)


def decode_reply(data: bytes, flow_key_bytes: int) -> AgentReply:
    """Decode a frame from an agent; raises `MalformedMessage`."""
    key_end = REPLY_HEAD.size + flow_key_bytes
    if len(data) < key_end:
        raise MalformedMessage(reason=f"truncated frame from an agent: {len(data)} bytes")
    kind, flags, tag, load, capacity = REPLY_HEAD.unpack_from(data)
    if kind not in REPLY_KINDS:
        raise MalformedMessage(reason=f"frame from an agent with unexpected kind {kind}")
    if kind == FrameKind.REFUSED and flags not in REFUSAL_FLAGS:
        raise MalformedMessage(reason=f"refusal with unknown reason {flags}")
    if kind == FrameKind.LOCATED and not is_verdict(flags, data[key_end:]):
        raise MalformedMessage(
            reason=f"LOCATED frame with verdict {flags} and {len(data) - key_end} bytes"
        )
    return AgentReply(
        kind=FrameKind(kind),
        flags=flags,
        tag=tag,
        load=load * LOAD_UNIT,
        capacity=capacity,
        flow_key=data[REPLY_HEAD.size : key_end],
        packet=data[key_end:],
    )


def is_verdict(flags: int, body: bytes) -> bool:
    """Tell whether a `LOCATED` frame is well formed: with an end point if the flow was found."""
    expected_bytes = ENDPOINT_BYTES if flags == LocateVerdict.FOUND else 0
    return flags in VERDICT_FLAGS and len(body) == expected_bytes


def split_keys(body: bytes, flow_key_bytes: int) -> list[bytes]:
    """Return the flow keys of a `FIND` frame's body, none if it is malformed."""
    if len(body) % flow_key_bytes:
        return []
    return [body[at : at + flow_key_bytes] for at in range(0, len(body), flow_key_bytes)]


def encode_locate(service_tags: list[int], packet: bytes) -> bytes:
    """Encode the order to search for a flow that agents of these services may hold."""
    tags = struct.pack(f"!{len(service_tags)}I", *service_tags)
    return encode_request(FrameKind.LOCATE, len(service_tags), 0, tags + packet)


class LocateRequest(msgspec.Struct, frozen=True):
    """The content of a `LOCATE` frame: tags of services, and a caller's packet."""

    service_tags: tuple[int, ...]
    packet: bytes


def decode_locate(data: bytes) -> LocateRequest:
    """Decode a `LOCATE` frame; raises `MalformedMessage`. The packet is not parsed."""
    if len(data) < REQUEST_HEAD.size:
        raise MalformedMessage(reason=f"truncated LOCATE frame: {len(data)} bytes")
    _, count, _ = REQUEST_HEAD.unpack_from(data)
    tags = struct.Struct(f"!{count}I")
    packet_starts = REQUEST_HEAD.size + tags.size
    if len(data) <= packet_starts:
        raise MalformedMessage(reason=f"truncated LOCATE frame: {len(data)} bytes")
    return LocateRequest(tags.unpack_from(data, REQUEST_HEAD.size), data[packet_starts:])


def encode_answers(answers: list[AgentReply]) -> bytes:
    """Encode answers to one `FIND` frame with several keys, in one frame.

    They come from one agent at one time, so the load of the first applies to all.
    """
    head = _encode_reply_head(FrameKind.ANSWERS, answers[0])
    return head + b"".join(bytes((answer.kind,)) + answer.flow_key for answer in answers)


def decode_replies(data: bytes, flow_key_bytes: int) -> list[AgentReply]:
    """Decode a frame from an agent, one answer or several; raises `MalformedMessage`."""
    if not data or data[0] != FrameKind.ANSWERS:
        return [decode_reply(data, flow_key_bytes)]
    answer_bytes = 1 + flow_key_bytes
    body = data[REPLY_HEAD.size :]
    if not body or len(body) % answer_bytes:
        raise MalformedMessage(reason=f"ANSWERS frame with a body of {len(body)} bytes")
    _, _, tag, load, capacity = REPLY_HEAD.unpack_from(data)
    answers = [body[start : start + answer_bytes] for start in range(0, len(body), answer_bytes)]
    if any(answer[0] not in SEARCH_ANSWERS for answer in answers):
        raise MalformedMessage(reason="ANSWERS frame with an unknown kind of answer")
    return [
        AgentReply(FrameKind(answer[0]), 0, tag, load * LOAD_UNIT, capacity, answer[1:], b"")
        for answer in answers
    ]
