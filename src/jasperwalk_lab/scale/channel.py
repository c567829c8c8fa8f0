"""Messages between the scale run and its hollow processes: one JSON object a line.

The run writes requests to a hollow process's standard input. Every request gets exactly one
answer on its standard output. Times are seconds of `time.monotonic`, which is one clock for
all processes of a machine.
"""

from __future__ import annotations

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.messages.distribution import SubscriberRole

LINE_LIMIT_BYTES = 32 * 1024 * 1024


class HollowFacts(msgspec.Struct, frozen=True):
    """What one hollow follower says of itself."""

    name: str
    zone: str
    address: Endpoint


class Configure(msgspec.Struct, frozen=True, tag="configure"):
    """The first request: the followers to make. Answer: `Done`."""

    cluster_id: str
    control: list[Endpoint]
    role: SubscriberRole
    seed: int
    followers: list[HollowFacts]


class Start(msgspec.Struct, frozen=True, tag="start"):
    """Start every follower, evenly over `over_seconds`. Answer: `Done`, at once."""

    over_seconds: float


class Probe(msgspec.Struct, frozen=True, tag="probe"):
    """Ask how far the followers are. Answer: `Standing`."""


class Record(msgspec.Struct, frozen=True, tag="record"):
    """Forget earlier arrivals and note every new one from now on. Answer: `Done`."""


class Collect(msgspec.Struct, frozen=True, tag="collect"):
    """Ask when each of these revisions came into force. Answer: `Arrivals`."""

    revisions: list[int]


class Count(msgspec.Struct, frozen=True, tag="count"):
    """Ask for the bytes and segments of the connections that stand. Answer: `Traffic`.

    `first` counts the first so many followers only, 0 all.
    """

    first: int = 0


class Restart(msgspec.Struct, frozen=True, tag="restart"):
    """Replace the first `count` followers by new processes with nothing. Answer: `Done`."""

    count: int


class Cut(msgspec.Struct, frozen=True, tag="cut"):
    """Drop every connection and open none. Answer: `Done`."""


class Return(msgspec.Struct, frozen=True, tag="return"):
    """Follow again after `Cut`, all at once, each with the table that it held. Answer: `Done`."""


Request = Configure | Start | Probe | Record | Collect | Count | Restart | Cut | Return


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The request was carried out."""


class Standing(msgspec.Struct, frozen=True, tag="standing"):
    """How far the followers of a process are.

    `registered` counts agents with an incarnation; balancers count as registered.
    """

    followers: int
    fresh: int
    registered: int
    lowest_revision: int
    highest_revision: int
    entries: int


class Arrivals(msgspec.Struct, frozen=True, tag="arrivals"):
    """For each asked revision, when each follower's table first was there or further.

    A follower that is not there yet has no time in the list.
    """

    times: list[list[float]]


class Traffic(msgspec.Struct, frozen=True, tag="traffic"):
    """Payload bytes and TCP segments, each way, summed over the connections that stand."""

    connections: int
    received_bytes: int
    sent_bytes: int
    received_segments: int
    sent_segments: int


Answer = Done | Standing | Arrivals | Traffic

REQUEST_DECODER = msgspec.json.Decoder(Request)
ANSWER_DECODER = msgspec.json.Decoder(Answer)


def encode_line(message: Request | Answer) -> bytes:
    """Encode one message as a line."""
    return msgspec.json.encode(message) + b"\n"
