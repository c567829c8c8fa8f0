"""Draws the arrivals of a load in advance (sans-IO): a seeded Poisson process per service.

The arrivals depend on the profile and the seed alone, never on how fast answers come, so
that two variants under the same seed get the same requests at the same times.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass

from jasperwalk_lab.load.profile import LoadProfile, ServiceLoad
from jasperwalk_lab.operations import Download, LongStream, Lookup, Operation, Submission


@dataclass(frozen=True)
class Arrival:
    """A request: seconds after the start, service, rank of its flow (0 is the busiest)."""

    at: float
    service: str
    rank: int
    operation: Operation


def zipf_weights(count: int, exponent: float) -> list[float]:
    """Return relative weights of ranks 0 to `count` - 1; exponent 0 makes them equal."""
    return [(rank + 1) ** -exponent for rank in range(count)]


def draw_arrivals(profile: LoadProfile, seed: int) -> Iterator[Arrival]:
    """Yield all arrivals of a load in the order of their times."""
    streams = [_service_arrivals(profile, each, seed) for each in profile.services]
    return heapq.merge(*streams, key=lambda arrival: arrival.at)


def _service_arrivals(profile: LoadProfile, load: ServiceLoad, seed: int) -> Iterator[Arrival]:
    source = random.Random(f"{seed}/{load.service}")
    ranks = range(load.flows)
    weights = list(itertools.accumulate(zipf_weights(load.flows, profile.zipf_exponent)))
    at = source.expovariate(load.requests_per_second)
    while at < profile.seconds:
        rank = source.choices(ranks, cum_weights=weights)[0]
        yield Arrival(at, load.service, rank, _draw_operation(profile, load, source))
        at += source.expovariate(load.requests_per_second)


def _draw_operation(profile: LoadProfile, load: ServiceLoad, source: random.Random) -> Operation:
    shares = (load.lookups, load.submissions, load.downloads, load.streams)
    match source.choices(range(len(shares)), weights=shares)[0]:
        case 0:
            return Lookup(query=f"naslov {source.randint(0, 9999)}")
        case 1:
            return Submission(body=source.randbytes(source.randint(*profile.submission_bytes)))
        case 2:
            return Download(length=source.randint(*profile.download_bytes))
        case _:
            return LongStream(profile.stream_seconds, profile.stream_interval_ms)
