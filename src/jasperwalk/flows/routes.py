"""Routes of the datagram plane: which services get the new flows of a listener, by weight."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.flows.terms import NO_TERMS, CarriedTerms, RouteTerms, carried_terms


class RouteBackend(msgspec.Struct, frozen=True, array_like=True):
    """One service of a route and its share of the route's new flows."""

    service: str
    weight: float


class FlowRoute(msgspec.Struct, frozen=True, array_like=True):
    """A listener (address and port of callers' packets) and the services behind it."""

    name: str
    listener: Endpoint
    backends: list[RouteBackend]
    is_bulk: bool = False
    """True for uploads, where callers send far more than they receive."""
    allowed_regions: list[str] = []
    """Regions whose hosts may get the flows; empty for any region."""
    is_repeatable: bool = False
    """True where callers may repeat a request whatever its outcome, because it only reads."""
    terms: RouteTerms = NO_TERMS
    """Priority of its requests, and the time in which callers want their answers."""

    def services(self) -> list[str]:
        """Return the names of the services."""
        return [backend.service for backend in self.backends]


class RouteSet(msgspec.Struct, frozen=True, array_like=True):
    """All routes of one version of the configuration."""

    version: int
    routes: list[FlowRoute]


class WeightedRoundRobin:
    """Smooth weighted round robin over a route's services.

    At each choice every service's credit grows by its weight; the one with the most credit is
    chosen and pays the sum of the weights. Shares are exact over any run of choices, which random
    draws would reach only after many.
    """

    def __init__(self, backends: list[RouteBackend]) -> None:
        self._backends = [backend for backend in backends if backend.weight > 0]
        self._total = sum(backend.weight for backend in self._backends)
        self._credits = [0.0] * len(self._backends)

    def next(self) -> str | None:
        """Return the service of the next new flow, None if no service has a weight."""
        if not self._backends:
            return None
        best = 0
        for position, backend in enumerate(self._backends):
            self._credits[position] += backend.weight
            if self._credits[position] > self._credits[best]:
                best = position
        self._credits[best] -= self._total
        return self._backends[best].service


class RouteEntry:
    """A route in use: its round robin, and every service that it has named so far.

    Flows that were opened before a change of the route stay with a service that the route no
    longer names, so searches still include that service.
    """

    __slots__ = ("allowed_regions", "past_services", "route", "terms", "terms_version", "turns")

    def __init__(self, route: FlowRoute, past_services: frozenset[str]) -> None:
        self.route = route
        self.terms: CarriedTerms | None = None
        """The terms for agents, None if the routes of its services have equal terms."""
        self.terms_version = 0
        """Version of the configuration that `terms` belongs to."""
        self.turns = WeightedRoundRobin(route.backends)
        self.past_services = past_services | frozenset(route.services())
        self.allowed_regions = frozenset(route.allowed_regions)


def _has_same_destinations(one: FlowRoute, other: FlowRoute) -> bool:
    """Tell whether two routes send flows to the same services and regions in the same way."""
    is_same = one.backends == other.backends and one.allowed_regions == other.allowed_regions
    is_alike = one.is_bulk == other.is_bulk and one.is_repeatable == other.is_repeatable
    return is_same and is_alike


def _services_with_unequal_terms(routes: Iterable[FlowRoute]) -> frozenset[str]:
    """Return the services whose routes differ in priority or objective."""
    first_terms: dict[str, tuple[int, int]] = {}
    unequal = set()
    for route in routes:
        terms = (route.terms.priority, route.terms.objective_ms)
        for backend in route.backends:
            if first_terms.setdefault(backend.service, terms) != terms:
                unequal.add(backend.service)
    return frozenset(unequal)


class RouteTable:
    """The routes in force on one balancer; the version never decreases.

    A route's entry is created when its first packet arrives: of thousands of routes a balancer
    serves a few, and callers wait while it puts the first ones in force. With 1,828 routes this
    takes 5 ms of processor time instead of 17.
    """

    def __init__(self, caller_group: int = 0) -> None:
        """`caller_group` is the group of the callers that this balancer serves."""
        self.version = 0
        self._caller_group = caller_group
        self._services_with_unequal_terms: frozenset[str] | None = None
        self._routes: dict[bytes, FlowRoute] = {}
        self._entries: dict[bytes, RouteEntry] = {}

    def replace(self, routes: RouteSet) -> bool:
        """Put a newer version in force; return False for one that is not newer."""
        if routes.version <= self.version:
            return False
        self.version = routes.version
        before, self._routes = (
            self._routes,
            {route.listener.pack(): route for route in routes.routes},
        )
        self._services_with_unequal_terms = None
        entries, self._entries = self._entries, {}
        if before:
            self._keep_entries(before, entries)
        return True

    def _keep_entries(
        self, before: dict[bytes, FlowRoute], entries: dict[bytes, RouteEntry]
    ) -> None:
        """Keep the entries of routes with the same destinations, and the others' past services."""
        for listener, route in self._routes.items():
            old = before.get(listener)
            entry = entries.get(listener)
            if old is None:
                continue
            if _has_same_destinations(old, route):
                if entry is not None:
                    entry.route = route
                    self._entries[listener] = entry
                continue
            past_services = frozenset(old.services()) if entry is None else entry.past_services
            self._entries[listener] = RouteEntry(route, past_services)

    def find(self, listener: bytes) -> RouteEntry | None:
        """Return the route of a listener, None if there is none."""
        entry = self._entries.get(listener)
        if entry is None:
            route = self._routes.get(listener)
            if route is None:
                return None
            entry = self._entries[listener] = RouteEntry(route, frozenset())
        if entry.terms_version != self.version:
            entry.terms = self._terms_for_agents(entry.route)
            entry.terms_version = self.version
        return entry

    def _terms_for_agents(self, route: FlowRoute) -> CarriedTerms | None:
        """Return a route's terms if its requests compete with others of unequal terms."""
        if self._services_with_unequal_terms is None:
            self._services_with_unequal_terms = _services_with_unequal_terms(self._routes.values())
        if self._services_with_unequal_terms.isdisjoint(route.services()):
            return None
        return carried_terms(route.terms, self._caller_group)

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._routes)
