"""The terms of routes as balancers have told them, by listener, and their groups of callers."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from jasperwalk.flows.codec import SocketAddress
from jasperwalk.flows.terms import CarriedTerms
from jasperwalk.scheduling.waiting_request import NO_GROUP

MAX_LISTENERS = 1024
MAX_BALANCERS = 4096


class LearnedTerms:
    """Remembers what the last opening packet of each listener and of each balancer told."""

    def __init__(self) -> None:
        self._terms: OrderedDict[bytes, CarriedTerms] = OrderedDict()
        self._groups: OrderedDict[SocketAddress, int] = OrderedDict()

    def __bool__(self) -> bool:
        """Tell whether any terms are known: whether requests differ at all."""
        return bool(self._terms)

    def note(self, listener: bytes, balancer: SocketAddress, terms: CarriedTerms) -> None:
        """Take the terms of a listener's route, and the group of a balancer's callers."""
        self._terms[listener] = terms
        self._terms.move_to_end(listener)
        self._groups[balancer] = terms.group
        self._groups.move_to_end(balancer)
        if len(self._terms) > MAX_LISTENERS:
            self._terms.popitem(last=False)
        if len(self._groups) > MAX_BALANCERS:
            self._groups.popitem(last=False)

    def find(self, listener: bytes, balancer: SocketAddress) -> CarriedTerms | None:
        """Return the terms of a request, None where its listener's are not known."""
        terms = self._terms.get(listener)
        if terms is None:
            return None
        group = self._groups.get(balancer, NO_GROUP)
        return terms if terms.group == group else msgspec.structs.replace(terms, group=group)
