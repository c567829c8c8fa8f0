"""The queue of subscribers that wait for changes to be sent, first in, first out."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from jasperwalk.distribution.subscriber_link import SubscriberLink


class FlushQueue:
    """Waiting links, each of them once; one slice of them is served per call."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[int, SubscriberLink] = OrderedDict()

    def __bool__(self) -> bool:
        """Return whether a link waits."""
        return bool(self._waiting)

    def add(self, links: Iterable[SubscriberLink]) -> None:
        """Append these links; those that wait already keep their place."""
        for link in links:
            self._waiting.setdefault(link.subscriber_id, link)

    def discard(self, link: SubscriberLink) -> None:
        """Remove a link."""
        self._waiting.pop(link.subscriber_id, None)

    def take(self, count: int) -> list[SubscriberLink]:
        """Remove and return the first `count` links that wait, or fewer."""
        count = min(count, len(self._waiting))
        return [self._waiting.popitem(last=False)[1] for _ in range(count)]
