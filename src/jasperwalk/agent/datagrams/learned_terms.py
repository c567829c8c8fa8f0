"""Learns the terms of routes and the groups of callers from balancers' opening packets.

Packets of open flows carry no terms, so the agent takes them from here to schedule requests.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from jasperwalk.flows.codec import SocketAddress
from jasperwalk.flows.terms import CarriedTerms
from jasperwalk.scheduling.waiting_request import NO_GROUP

MAX_LISTENERS = 1024
MAX_BALANCERS = 4096


class LearnedTerms:
    """Keeps the terms of each listener's, and the group of each balancer's, last opening packet."""

    def __init__(self) -> None:
        self._terms: OrderedDict[bytes, CarriedTerms] = OrderedDict()
        self._groups: OrderedDict[SocketAddress, int] = OrderedDict()

    def __bool__(self) -> bool:
        """Tell whether any terms are known, and so whether requests may differ."""
        return bool(self._terms)

    def record(self, listener: bytes, balancer: SocketAddress, terms: CarriedTerms) -> None:
        """Record the terms of a listener's route and the group of a balancer's callers."""
        self._terms[listener] = terms
        self._terms.move_to_end(listener)
        self._groups[balancer] = terms.group
        self._groups.move_to_end(balancer)
        if len(self._terms) > MAX_LISTENERS:
            self._terms.popitem(last=False)
        if len(self._groups) > MAX_BALANCERS:
            self._groups.popitem(last=False)

    def find(self, listener: bytes, balancer: SocketAddress) -> CarriedTerms | None:
        """Return the terms of a request, None where those of its listener are unknown."""
        terms = self._terms.get(listener)
        if terms is None:
            return None
        group = self._groups.get(balancer, NO_GROUP)
        return terms if terms.group == group else msgspec.structs.replace(terms, group=group)
