import copy
import json

import pytest
from configuration_document import InvalidDocument, parse_configuration

from jasperwalk.addresses import Endpoint
from jasperwalk.fleet.messages import WarmUp
from jasperwalk.flows.routes import FlowRoute, RouteBackend
from jasperwalk.flows.terms import RouteTerms

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "198.18.0.1",
            "pathPrefix": "/8080/",
            "routeType": "unsafe",
            "timeoutMs": 1500,
            "service": "web",
        },
        {
            "name": "r2",
            "host": "198.18.0.1",
            "pathPrefix": "/8443/",
            "routeType": "safe",
            "timeoutMs": 1200,
            "backends": [{"service": "web", "weight": 90}, {"service": "export", "weight": 10}],
        },
    ],
    "services": [{"name": "web"}, {"name": "export"}],
    "limits": {"idleTimeoutMs": 15000},
}


def changed(change):
    document = copy.deepcopy(DOCUMENT)
    change(document)
    return json.dumps(document).encode()


def test_a_valid_configuration():
    body = json.dumps(DOCUMENT).encode()
    command = parse_configuration(body)
    assert (command.version, command.source) == (7, body)
    assert command.routes == [
        FlowRoute(
            "r1",
            Endpoint("198.18.0.1", 8080),
            [RouteBackend("web", 1.0)],
            terms=RouteTerms(limit_ms=1500),
        ),
        FlowRoute(
            "r2",
            Endpoint("198.18.0.1", 8443),
            [RouteBackend("web", 90.0), RouteBackend("export", 10.0)],
            is_repeatable=True,
            terms=RouteTerms(limit_ms=1200),
        ),
    ]


def test_the_terms_of_a_route_are_taken_over():
    body = changed(lambda each: each["routes"][0].update(priority=1, targetLatencyMs=283))
    assert parse_configuration(body).routes[0].terms == RouteTerms(1, 283, 1500)


@pytest.mark.parametrize("absurd", [-1, 8, "high", 1.5, None])
def test_an_unknown_priority_is_ignored_and_the_configuration_accepted(absurd):
    body = changed(lambda each: each["routes"][0].update(priority=absurd, targetLatencyMs=-3))
    assert parse_configuration(body).routes[0].terms == RouteTerms(limit_ms=1500)


@pytest.mark.parametrize(
    ("kind", "is_repeatable"),
    [("safe", True), ("download", True), ("unsafe", False), ("upload", False), (None, False)],
)
def test_requests_that_only_read_may_be_repeated(kind, is_repeatable):
    body = changed(lambda each: each["routes"][0].update(routeType=kind))
    assert parse_configuration(body).routes[0].is_repeatable is is_repeatable


@pytest.mark.parametrize(
    ("kind", "is_bulk"), [("upload", True), ("safe", False), ("download", False), (None, False)]
)
def test_routes_of_uploads_are_bulk(kind, is_bulk):
    body = changed(lambda each: each["routes"][0].update(routeType=kind))
    assert parse_configuration(body).routes[0].is_bulk is is_bulk


def test_a_part_with_no_weight_beside_one_with_is_valid():
    body = changed(lambda each: each["routes"][1]["backends"][0].update(weight=0))
    assert parse_configuration(body).routes[1].backends[0].weight == 0.0


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"null",
        json.dumps(DOCUMENT).encode()[:-20],
        b"[" * 100_000,
        changed(lambda each: each.pop("version")),
        changed(lambda each: each.update(version="7")),
        changed(lambda each: each.update(version=True)),
        changed(lambda each: each.update(version=0)),
        changed(lambda each: each.pop("routes")),
        changed(lambda each: each.pop("services")),
        changed(lambda each: each.update(services=[])),
        changed(lambda each: each["routes"][0].update(service="unknown")),
        changed(lambda each: each["routes"][0].pop("service")),
        changed(lambda each: each["routes"][0].update(timeoutMs=0)),
        changed(lambda each: each["routes"][0].pop("timeoutMs")),
        changed(lambda each: each["routes"][0].update(timeoutMs="1500")),
        changed(lambda each: each["routes"][0].update(pathPrefix="/8443/")),
        changed(lambda each: each["routes"][0].update(pathPrefix="/any/")),
        changed(lambda each: each["routes"][0].update(host="example")),
        changed(lambda each: each["routes"][0].pop("name")),
        changed(lambda each: each["routes"][1]["backends"][0].pop("weight")),
        changed(lambda each: each["routes"][1]["backends"][0].update(weight=-1)),
        changed(lambda each: each["routes"][1].update(backends=[])),
        changed(lambda each: each["routes"][1]["backends"][1].update(service="unknown")),
        changed(lambda each: each["routes"].append("text")),
    ],
)
def test_an_invalid_configuration_is_refused_completely(body):
    with pytest.raises(InvalidDocument):
        parse_configuration(body)


def test_warm_up_limits_are_taken_from_the_services_that_set_them():
    services = [
        {"name": "web", "coldS": 2.0, "warmupPerS": 20},
        {"name": "export", "coldS": 2.0, "warmupPerS": 0.0},
    ]
    command = parse_configuration(changed(lambda each: each.update(services=services)))
    assert command.warm_ups == {"web": WarmUp(2.0, 20.0), "export": WarmUp(2.0, 0.0)}


@pytest.mark.parametrize("figure", ["20", True, -1, None, [], 1e400])
def test_an_invalid_number_sets_no_limit(figure):
    services = [{"name": "web", "coldS": figure, "warmupPerS": figure}, {"name": "export"}]
    body = changed(lambda each: each.update(services=services))
    assert parse_configuration(body).warm_ups == {}


def test_the_allowed_regions_of_a_route():
    body = changed(lambda each: each["routes"][0].update(allowedRegions=["hanoi", "zagreb"]))
    routes = parse_configuration(body).routes
    assert [route.allowed_regions for route in routes] == [["hanoi", "zagreb"], []]


@pytest.mark.parametrize("regions", ["hanoi", {"a": 1}, [1], [None]])
def test_allowed_regions_that_are_no_list_of_names_are_refused(regions):
    with pytest.raises(InvalidDocument):
        parse_configuration(changed(lambda each: each["routes"][0].update(allowedRegions=regions)))
