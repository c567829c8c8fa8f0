"""Imbalance over time (pure): the most loaded host against the mean, by weight.

At one moment, with load `l` and weight `w` of each host, imbalance is the greatest `l / w`
over `sum(l) / sum(w)`: 1.0 is perfectly balanced. Moments without load are left out.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import fmean

import msgspec

from jasperwalk_lab.experiments.sampler import SAMPLE_SECONDS, HostSample

LEAST_LOAD = 1.0
"""Moments with a smaller sum of loads are left out."""

LoadOf = Callable[[HostSample], float]


class ImbalancePoint(msgspec.Struct, frozen=True):
    """Imbalance of a service at one moment; `at` in seconds since the load began."""

    at: float
    service: str
    work: float | None
    flows: float | None


def work_of(sample: HostSample) -> float:
    """Return busy slots plus queue."""
    return sample.slots_used + sample.queue_length


def flows_of(sample: HostSample) -> float:
    """Return open flows."""
    return sample.open_flows


def imbalance_at(
    samples: Iterable[HostSample], weights: Mapping[str, float], load_of: LoadOf
) -> float | None:
    """Return the imbalance of one service at one moment, None with next to no load."""
    loads = {each.host: load_of(each) for each in samples if weights.get(each.host, 0) > 0}
    total = sum(loads.values())
    if total < LEAST_LOAD:
        return None
    mean = total / sum(weights[host] for host in loads)
    return max(load / weights[host] for host, load in loads.items()) / mean


@dataclass(frozen=True)
class WeightsSince:
    """The weight of each host from `at` on (seconds, as in samples).

    A host that takes no new work, for it drains or is lost, has weight 0.
    """

    at: float
    weights: Mapping[str, float]


def imbalance_series(
    samples: Iterable[HostSample], history: Sequence[WeightsSince], began: float
) -> list[ImbalancePoint]:
    """Return the imbalance of each service at each round of sampling since `began`.

    `history` holds the weights in the order of their times, the first from the start.
    """
    rounds: dict[tuple[str, int], list[HostSample]] = defaultdict(list)
    for sample in samples:
        if sample.at >= began:
            rounds[sample.service, int((sample.at - began) / SAMPLE_SECONDS)].append(sample)
    return [
        ImbalancePoint(
            at=number * SAMPLE_SECONDS,
            service=service,
            work=imbalance_at(group, weights_at(history, group[0].at), work_of),
            flows=imbalance_at(group, weights_at(history, group[0].at), flows_of),
        )
        for (service, number), group in sorted(rounds.items())
    ]


def weights_at(history: Sequence[WeightsSince], at: float) -> Mapping[str, float]:
    """Return the weights that held at a time."""
    held = history[0]
    for each in history:
        if each.at <= at:
            held = each
    return held.weights


def average(values: Iterable[float | None]) -> float:
    """Return the mean over the moments that have a value, 0.0 without any."""
    known = [value for value in values if value is not None]
    return fmean(known) if known else 0.0
