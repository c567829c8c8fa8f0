"""Fair shares of one host between groups of callers: whose request is next, and whose is let go.

Load pattern: the callers of one group come with several times their usual requests, more than the
host can answer. First come first served, or newest first, then delays or loses the requests of
every group alike. Here each group may have a share of the host by its weight, and what a group
does not use goes to the others (weighted max-min fairness): a group that stays within its share
is served as if the others were not there.

A group's use of the host decays, so that what it used seconds ago neither counts against it nor,
where it used little, for it. Each agent decides alone, from the requests that its own host began;
no state is shared. Groups without a request that waits take no part in any decision.

Sans-IO; times are seconds. A group is a number (`jasperwalk.flows.terms.caller_group`).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

DEFAULT_WEIGHT = 1.0
HALF_LIFE_SECONDS = 0.5
"""Time in which past use comes to count half. Longer than most requests, so that a group within its
share is not delayed by the few that it has just had. Shorter than callers wait: a group that begins
anew, with more than the host can do, goes before the others for about this long."""
MAX_GROUPS = 256
"""Groups whose use is remembered; a group that is forgotten counts as one that used nothing."""
MIN_REQUEST_SECONDS = 0.001
"""A request counts at least this much, so that requests expected to take no time have a cost."""
NEGLIGIBLE_SECONDS = 0.001
"""Groups that used less than this for their weight are equals: less than one request."""
RESCALE_HALF_LIVES = 256.0
"""Half-lives after which uses are scaled anew, well before floating-point numbers overflow."""


class FairShares:
    """Remembers what groups used of one host, and compares them.

    `weights` names the groups whose weight is not `default_weight`; weights are above 0.
    """

    def __init__(
        self, weights: Mapping[int, float] = {}, default_weight: float = DEFAULT_WEIGHT
    ) -> None:
        self._weights = dict(weights)
        self._default_weight = default_weight
        self._use: OrderedDict[int, float] = OrderedDict()
        """Slot seconds for each unit of weight, the least recently served group first.

        In units that grow by the half-life from `_scaled_at` on, so that all uses decay at once
        and no decision has to decay them (forward decay: Cormode, Shkapenyuk, Srivastava, Xu).
        """
        self._scaled_at: float | None = None

    def __len__(self) -> int:
        """Return how many groups are remembered."""
        return len(self._use)

    def record_served(self, group: int, seconds: float, now: float) -> None:
        """Note that a request was begun which is expected to take a slot for `seconds`."""
        used = max(seconds, MIN_REQUEST_SECONDS) / self._weight(group)
        self._use[group] = used * self._unit(now) + self._use.get(group, 0.0)
        self._use.move_to_end(group)
        if len(self._use) > MAX_GROUPS:
            self._use.popitem(last=False)

    def group_to_serve(self, groups: Iterable[int], now: float) -> int:
        """Return the group that used least of the host lately for its weight.

        `groups` are those that have a request waiting, at least one; the first of equals is
        returned.
        """
        negligible = NEGLIGIBLE_SECONDS * self._unit(now)
        return min(groups, key=lambda group: self._used(group, negligible))

    def group_to_shed(self, waiting: Mapping[int, int], now: float) -> int:
        """Return the group whose request is let go, because one too many waits.

        `waiting` holds how many requests of each group wait, the one that has just come included;
        at least one does. The group is the one with most requests beyond its max-min share of the
        places left, so a group within its share loses none. Of equals it is the one that used
        most of the host lately, then the first.
        """
        negligible = NEGLIGIBLE_SECONDS * self._unit(now)
        level = self._places_per_weight(waiting)

        def excess(group: int) -> tuple[float, float]:
            share = self._weight(group) * level
            return max(0.0, waiting[group] - share), self._used(group, negligible)

        return max(waiting, key=excess)

    def _places_per_weight(self, waiting: Mapping[int, int]) -> float:
        """Return the max-min share of a unit of weight in one place less than requests wait.

        Groups above their share are those with most requests for their weight; the places that
        the other groups do not fill are divided among them by weight.
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
        """Return what a slot second counts now, in the units of `_use`."""
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
