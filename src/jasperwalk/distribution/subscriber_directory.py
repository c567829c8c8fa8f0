"""The subscribers of one publisher: by connection, by process, and agents by address."""

from __future__ import annotations

from collections.abc import Collection

from jasperwalk.addresses import Endpoint
from jasperwalk.distribution.subscriber_link import SubscriberLink
from jasperwalk.messages.distribution import SubscriberRole


class SubscriberDirectory:
    """Links by connection number, by process, and for agents by address."""

    def __init__(self) -> None:
        self._links: dict[int, SubscriberLink] = {}
        self._by_identity: dict[tuple[SubscriberRole, str, str], int] = {}
        self._agents_at: dict[Endpoint, set[int]] = {}

    def __len__(self) -> int:
        """Return the number of subscribers."""
        return len(self._links)

    def __contains__(self, link: SubscriberLink) -> bool:
        """Return whether a link has not been removed."""
        return link.subscriber_id in self._links

    def all(self) -> Collection[SubscriberLink]:
        """Return all links."""
        return self._links.values()

    def find(self, subscriber_id: int) -> SubscriberLink | None:
        """Return the link of a connection."""
        return self._links.get(subscriber_id)

    def find_same_process(self, link: SubscriberLink) -> SubscriberLink | None:
        """Return the earlier link of the process of `link`, None where it has none."""
        former_id = self._by_identity.get(link.identity)
        return None if former_id is None else self._links[former_id]

    def agents_at(self, address: Endpoint) -> list[SubscriberLink]:
        """Return the links of all processes that subscribed as the agent at an address."""
        return [self._links[each] for each in sorted(self._agents_at.get(address, ()))]

    def add(self, link: SubscriberLink) -> None:
        """Add a link."""
        self._links[link.subscriber_id] = link
        self._by_identity[link.identity] = link.subscriber_id
        if not link.is_balancer:
            at_address = self._agents_at.setdefault(link.subscribe.address, set())
            at_address.add(link.subscriber_id)

    def remove(self, link: SubscriberLink) -> None:
        """Remove a link."""
        del self._links[link.subscriber_id]
        if self._by_identity.get(link.identity) == link.subscriber_id:
            del self._by_identity[link.identity]
        at_address = self._agents_at.get(link.subscribe.address, set())
        at_address.discard(link.subscriber_id)
        if not at_address:
            self._agents_at.pop(link.subscribe.address, None)
