from collections import Counter

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.flows.routes import (
    FlowRoute,
    RouteBackend,
    RouteSet,
    RouteTable,
    WeightedRoundRobin,
)

LISTENER = Endpoint("198.18.0.1", 443)


def route(*backends, listener=LISTENER, name="r"):
    return FlowRoute(name, listener, [RouteBackend(*backend) for backend in backends])


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (5, 0, 3)])
def test_turns_give_each_service_its_exact_share(weights):
    turns = WeightedRoundRobin([RouteBackend(str(i), weight) for i, weight in enumerate(weights)])
    drawn = Counter(turns.next() for _ in range(sum(weights) * 3))
    assert drawn == Counter({str(i): w * 3 for i, w in enumerate(weights) if w})


def test_turns_without_a_weight_choose_nothing():
    assert WeightedRoundRobin([RouteBackend("a", 0.0)]).next() is None


def test_the_version_never_goes_back():
    table = RouteTable()
    assert table.replace(RouteSet(7, [route(("a", 1.0))]))
    assert not table.replace(RouteSet(6, []))
    assert not table.replace(RouteSet(7, []))
    assert table.version == 7
    assert table.find(LISTENER.pack()).route.services() == ["a"]


def test_a_route_remembers_the_services_it_named_before():
    table = RouteTable()
    table.replace(RouteSet(1, [route(("a", 1.0))]))
    table.replace(RouteSet(2, [route(("b", 1.0))]))
    assert table.find(LISTENER.pack()).past_services == {"a", "b"}


def test_an_unchanged_route_keeps_its_turns():
    table = RouteTable()
    table.replace(RouteSet(1, [route(("a", 1.0), ("b", 1.0))]))
    entry = table.find(LISTENER.pack())
    first = entry.turns.next()
    table.replace(RouteSet(2, [route(("a", 1.0), ("b", 1.0))]))
    assert table.find(LISTENER.pack()).turns.next() != first


def test_a_dropped_route_is_gone():
    table = RouteTable()
    table.replace(RouteSet(1, [route(("a", 1.0))]))
    table.replace(RouteSet(2, []))
    assert table.find(LISTENER.pack()) is None


def test_a_route_that_was_never_asked_for_remembers_its_services_too():
    table = RouteTable()
    for version, service in enumerate("abc", start=1):
        table.replace(RouteSet(version, [route((service, 1.0))]))
    assert table.find(LISTENER.pack()).past_services == {"a", "b", "c"}


def test_a_route_that_came_back_starts_without_history():
    table = RouteTable()
    table.replace(RouteSet(1, [route(("a", 1.0))]))
    table.find(LISTENER.pack())
    table.replace(RouteSet(2, []))
    assert table.find(LISTENER.pack()) is None
    table.replace(RouteSet(3, [route(("b", 1.0))]))
    assert table.find(LISTENER.pack()).past_services == {"b"}
    assert len(table) == 1
