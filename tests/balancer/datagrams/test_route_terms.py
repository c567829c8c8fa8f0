"""Which agents a balancer sends a route's terms to."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.flows.frames import FLAG_TERMS, REQUEST_HEAD, decode_opening
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet
from jasperwalk.flows.terms import RouteTerms
from tests.balancer.datagrams.support import Harness, address_of, record
from tests.flows.support import LISTENER, OPENING, from_caller

URGENT = RouteTerms(1, 400, 3000)
NORMAL = RouteTerms(2, 300, 2500)
OTHER_LISTENER = Endpoint("198.18.0.9", 9)


def route_two(harness, terms, version=2):
    backends = [RouteBackend("web", 1.0)]
    first = FlowRoute("r", LISTENER, backends, terms=terms)
    other = FlowRoute("other", OTHER_LISTENER, backends, terms=NORMAL)
    harness.routes.replace(RouteSet(version, [first, other]))


def sent_opening(harness, packet, now=1.0):
    harness.core.receive(packet, now)
    ((data, _),) = harness.sent
    harness.sent = []
    _, flags, _ = REQUEST_HEAD.unpack_from(data)
    return flags, decode_opening(flags, data[REQUEST_HEAD.size :])


def test_the_opening_packet_and_its_copies_carry_the_terms():
    harness = Harness(record(1, reads_terms=True))
    route_two(harness, URGENT)
    for now, packet in ((1.0, from_caller(OPENING)), (1.2, from_caller(OPENING, bytes((2,))))):
        _, opening = sent_opening(harness, packet, now)
        assert opening.packet == packet
        assert (opening.terms.route.priority, opening.terms.route.objective_seconds) == (1, 0.4)


def test_an_agent_of_an_earlier_release_gets_the_frame_that_it_knows():
    """An earlier release treats a frame with terms as malformed; the flow would get no answer."""
    harness = Harness(record(1, reads_terms=False))
    route_two(harness, URGENT)
    flags, opening = sent_opening(harness, from_caller(OPENING))
    assert not flags & FLAG_TERMS
    assert opening.packet == from_caller(OPENING)


@pytest.mark.parametrize("reads_terms", [False, True])
def test_where_routes_have_equal_terms_none_are_sent(reads_terms):
    harness = Harness(record(1, reads_terms=reads_terms))
    route_two(harness, NORMAL)
    flags, _ = sent_opening(harness, from_caller(OPENING))
    assert not flags & FLAG_TERMS


@pytest.mark.parametrize(("terms", "asked"), [(URGENT, 2), (NORMAL, 1)])
def test_where_routes_differ_flows_stay_in_their_zone_while_it_has_capacity(terms, asked):
    harness = Harness(record(1, zone="b"), record(2, zone="a"))
    route_two(harness, terms)
    endpoint = address_of(2)
    harness.pool.at((endpoint.host, endpoint.port)).record_load(1.5, 1.0)
    harness.core.receive(from_caller(OPENING), 1.0)
    assert harness.take_opening()[0] == asked
