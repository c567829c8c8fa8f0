"""Weighted fair queueing of one host's time between groups of callers.

Decides which group's request is served next, and which group's request is shed when the queue is
full, from the slot time that each group used and the number of its requests that wait.

Load pattern: the callers of one group send several times their usual requests, more than the host
can answer. First come first served, or newest first, would then delay or lose the requests of every
group alike. Here each group has a share of the host by its weight, and what a group does not use
goes to the others (weighted max-min fairness): a group that stays within its share is served as if
the others were not there.

A group's use of the host decays, so that use of some seconds ago neither counts against a group nor
leaves it credit. Each agent decides alone, from the requests that its own host started; no state is
shared. Groups without a waiting request take no part in a decision.

Sans-IO; times are seconds. A group is a number (`jasperwalk.flows.terms.caller_group`).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

DEFAULT_WEIGHT = 1.0
HALF_LIFE_SECONDS = 0.5
"""Time after which past use counts half. Longer than most requests take, so that a group within its
share is not delayed by the few that were just served. Shorter than callers wait: a group that
returns with more requests than the host can serve goes before the others for about this long."""
MAX_GROUPS = 256
"""Groups whose use is kept; a group that was removed counts as one that used nothing."""
MIN_REQUEST_SECONDS = 0.001
"""Lower bound of a request's cost, so that requests expected to take no time have one."""
NEGLIGIBLE_SECONDS = 0.001
"""Groups that used less than this for their weight tie: it is less than one request."""
RESCALE_HALF_LIVES = 256.0
"""Half-lives after which uses are rescaled, well before floating-point numbers overflow."""


class FairShares:
    """Keeps the slot time that groups used at one host, and compares them.

    `weights` names the groups whose weight is not `default_weight`; weights are above 0.
    """

    def __init__(
        self, weights: Mapping[int, float] = {}, default_weight: float = DEFAULT_WEIGHT
    ) -> None:
        self._weights = dict(weights)
        self._default_weight = default_weight
        self._use: OrderedDict[int, float] = OrderedDict()
        """Slot seconds per unit of weight, the least recently served group first.

        The unit doubles with each half-life since `_scaled_at`, so that all uses decay at once and
        no decision has to update them (forward decay: Cormode, Shkapenyuk, Srivastava, Xu).
        """
        self._scaled_at: float | None = None

    def __len__(self) -> int:
        """Return how many groups have a recorded use."""
        return len(self._use)

    def record_served(self, group: int, seconds: float, now: float) -> None:
        """Record a started request that is expected to hold a slot for `seconds`."""
        used = max(seconds, MIN_REQUEST_SECONDS) / self._weight(group)
        self._use[group] = used * self._unit(now) + self._use.get(group, 0.0)
        self._use.move_to_end(group)
        if len(self._use) > MAX_GROUPS:
            self._use.popitem(last=False)

    def group_to_serve(self, groups: Iterable[int], now: float) -> int:
        """Return the group that recently used least of the host for its weight.

        `groups` are those with a waiting request, at least one; on a tie the first is returned.
        """
        negligible = NEGLIGIBLE_SECONDS * self._unit(now)
        return min(groups, key=lambda group: self._used(group, negligible))

    def group_to_shed(self, waiting: Mapping[int, int], now: float) -> int:
        """Return the group whose request is shed, because one request too many waits.

        `waiting` holds the number of waiting requests of each group, the newest included; at least
        one waits. The group is the one with most requests beyond its max-min share of the remaining
        queue places, so a group within its share loses none. On a tie it is the one that recently
        used most of the host, then the first.
        """
        negligible = NEGLIGIBLE_SECONDS * self._unit(now)
        level = self._places_per_weight(waiting)

        def excess(group: int) -> tuple[float, float]:
            share = self._weight(group) * level
            return max(0.0, waiting[group] - share), self._used(group, negligible)

        return max(waiting, key=excess)

    def _places_per_weight(self, waiting: Mapping[int, int]) -> float:
        """Return the max-min share per unit of weight when one place less than now is available.

        Groups above their share are those with most requests for their weight; they divide the
        places that the other groups do not fill, by weight.
        """
        level = 0.0
        places = -1.0
        weights = 0.0
        for group in sorted(waiting, key=lambda each: -waiting[each] / self._weight(each)):
            weight = self._weight(group)
            if waiting[group] <= level * weight:
                break
            places += waiting[group]
            weights += weight
            level = places / weights
        return level

    def _weight(self, group: int) -> float:
        return self._weights.get(group, self._default_weight)

    def _used(self, group: int, negligible: float) -> float:
        return max(self._use.get(group, 0.0), negligible)

    def _unit(self, now: float) -> float:
        """Return what a slot second counts now, in units of `_use`."""
        if self._scaled_at is None:
            self._scaled_at = now
        half_lives = (now - self._scaled_at) / HALF_LIFE_SECONDS
        if half_lives <= RESCALE_HALF_LIVES:
            return float(2.0**half_lives)
        factor = 0.5**half_lives
        for group in self._use:
            self._use[group] *= factor
        self._scaled_at = now
        return 1.0
