"""Terms of routes: which values are valid, and to which services' agents they are sent."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import MalformedMessage
from jasperwalk.flows.frames import (
    FLAG_TERMS,
    FLAG_WAIT,
    REQUEST_HEAD,
    OpeningTerms,
    decode_opening,
    encode_open_head,
)
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet, RouteTable
from jasperwalk.flows.terms import (
    NO_TERMS,
    NORMAL_PRIORITY,
    CarriedTerms,
    RouteTerms,
    caller_group,
    parse_terms,
)

URGENT = RouteTerms(1, 400, 3000)
NORMAL = RouteTerms(2, 300, 2500)
DAY_MS = 24 * 60 * 60 * 1000


def test_terms_are_read_as_named():
    reading = parse_terms(1, 400, 3000.0)
    assert reading.terms == URGENT
    assert reading.ignored == ()


def test_terms_that_are_not_named_are_none():
    assert parse_terms(None, None, None).terms == NO_TERMS
    assert not parse_terms(None, None, None).ignored


@pytest.mark.parametrize("priority", [-1, 8, 1.0, True, "1", [], float("nan")])
def test_an_unknown_priority_counts_as_none(priority):
    reading = parse_terms(priority, 400, 3000)
    assert reading.terms.priority == NORMAL_PRIORITY
    assert reading.ignored == ("priority",)


@pytest.mark.parametrize("duration", [0, -5, DAY_MS + 1, True, "400", float("nan"), float("inf")])
def test_an_absurd_duration_counts_as_none(duration):
    assert parse_terms(1, duration, 3000).ignored == ("objective",)
    assert parse_terms(1, duration, 3000).terms.objective_ms == 0
    assert parse_terms(1, 400, duration).ignored == ("limit",)
    assert parse_terms(1, 400, duration).terms.limit_ms == 0


def test_terms_travel_before_the_opening_packet():
    carried = CarriedTerms(1, 0.4, 3.0, caller_group("zone-a"))
    head = encode_open_head(7, OpeningTerms(True, False, 0.6, carried))
    _, flags, tag = REQUEST_HEAD.unpack_from(head)
    opening = decode_opening(flags, head[REQUEST_HEAD.size :] + b"packet")
    assert tag == 7
    assert opening.packet == b"packet"
    assert opening.terms.route == carried
    assert opening.terms.waits
    assert opening.terms.age_seconds == pytest.approx(0.6)


def test_an_opening_without_terms_is_as_it_was():
    head = encode_open_head(7, OpeningTerms(False, True, 0.0))
    assert len(head) == REQUEST_HEAD.size
    assert decode_opening(head[1], b"packet").packet == b"packet"


def test_a_limit_of_hours_is_encoded_as_a_minute():
    head = encode_open_head(7, OpeningTerms(False, True, 0.0, CarriedTerms(1, 0.4, 7200.0, 0)))
    sent_terms = decode_opening(head[1], head[REQUEST_HEAD.size :]).terms.route
    assert sent_terms.limit_seconds == pytest.approx(65.535)


@pytest.mark.parametrize("length", range(7))
def test_terms_that_are_cut_short_are_malformed(length):
    with pytest.raises(MalformedMessage):
        decode_opening(FLAG_TERMS | FLAG_WAIT, bytes(length))


def route(name, service, terms, port):
    return FlowRoute(name, Endpoint("198.18.0.1", port), [RouteBackend(service, 1.0)], terms=terms)


def sent_terms(table, port):
    return table.find(Endpoint("198.18.0.1", port).pack()).terms


def test_terms_are_sent_where_a_services_routes_differ():
    table = RouteTable(caller_group("a"))
    table.replace(
        RouteSet(
            1,
            [
                route("holds", "booking", URGENT, 1),
                route("feeds", "booking", NORMAL, 2),
                route("uploads", "manifests", NORMAL, 3),
                route("more-uploads", "manifests", NORMAL, 4),
            ],
        )
    )
    assert sent_terms(table, 1) == CarriedTerms(1, 0.4, 3.0, caller_group("a"))
    assert sent_terms(table, 2) == CarriedTerms(2, 0.3, 2.5, caller_group("a"))
    assert sent_terms(table, 3) is None


def test_a_limit_alone_calls_for_nothing():
    table = RouteTable()
    longer = RouteTerms(2, 300, 9000)
    table.replace(RouteSet(1, [route("a", "s", NORMAL, 1), route("b", "s", longer, 2)]))
    assert sent_terms(table, 1) is None


def test_terms_follow_the_configuration_and_the_turns_go_on():
    table = RouteTable()
    table.replace(RouteSet(1, [route("a", "s", NORMAL, 1), route("b", "s", NORMAL, 2)]))
    entry = table.find(Endpoint("198.18.0.1", 1).pack())
    assert entry.terms is None
    table.replace(RouteSet(2, [route("a", "s", URGENT, 1), route("b", "s", NORMAL, 2)]))
    assert table.find(Endpoint("198.18.0.1", 1).pack()) is entry
    assert sent_terms(table, 1).priority == URGENT.priority
    table.replace(RouteSet(3, [route("a", "s", NORMAL, 1), route("b", "s", NORMAL, 2)]))
    assert sent_terms(table, 1) is None
