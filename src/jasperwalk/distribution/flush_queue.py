"""Which subscribers wait to be sent what changed, in the order in which they came to wait."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from jasperwalk.distribution.subscriber_link import SubscriberLink


class FlushQueue:
    """Links that wait, each of them once; a slice of them is served in one turn of the loop."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[int, SubscriberLink] = OrderedDict()

    def __bool__(self) -> bool:
        """Tell whether a link waits."""
        return bool(self._waiting)

    def add(self, links: Iterable[SubscriberLink]) -> None:
        """Have these links wait, behind those that wait already."""
        for link in links:
            self._waiting.setdefault(link.subscriber_id, link)

    def discard(self, link: SubscriberLink) -> None:
        """Forget a link."""
        self._waiting.pop(link.subscriber_id, None)

    def take(self, count: int) -> list[SubscriberLink]:
        """Return the first `count` links that wait, or fewer."""
        count = min(count, len(self._waiting))
        return [self._waiting.popitem(last=False)[1] for _ in range(count)]
