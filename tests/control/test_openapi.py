"""The OpenAPI document against the router, and kinds of failures against their statuses."""

import re
from http import HTTPStatus
from types import SimpleNamespace

import pytest

from jasperwalk.control.api import make_application
from jasperwalk.control.openapi import OPERATIONS, openapi_document
from jasperwalk.control.problem import STATUS_BY_KIND, problem_of
from jasperwalk.control.proposal_errors import ProposalError
from jasperwalk.control.state.outcome_base import BaseOutcome
from jasperwalk.errors import JasperwalkError
from jasperwalk.observability.admin import HealthReport
from jasperwalk.observability.metrics import MetricsRegistry

INTERNAL_KINDS = {
    # Successes, and refusals of what only control itself proposes.
    "accepted",
    "registered",
    "superseded-boot",
    "incarnations-exhausted",
    "invalid-key",
    "key-already-installed",
    "unknown-key",
    "malformed-command",
}


def test_document_names_exactly_the_routes():
    registry = MetricsRegistry("control")
    application = make_application(SimpleNamespace(), registry, lambda: HealthReport(True))
    routed = {
        (route.method, route.resource.canonical)
        for route in application.router.routes()
        if route.method != "HEAD"
    }
    documented = {
        (method.upper(), path)
        for path, methods in openapi_document()["paths"].items()
        for method in methods
    }
    assert routed == documented


def test_document_declares_every_path_parameter():
    for operation in OPERATIONS:
        declared = {each.name for each in operation.parameters if each.location.value == "path"}
        assert declared == set(re.findall(r"{(\w+)}", operation.path)), operation.operation_id


def test_references_of_the_document_resolve():
    document = openapi_document()
    names = set(re.findall(r"#/components/schemas/([\w]+)", str(document)))
    assert names and names <= set(document["components"]["schemas"])


@pytest.mark.parametrize("operation", OPERATIONS, ids=lambda each: each.operation_id)
def test_documented_problems_have_a_status(operation):
    assert set(operation.problems) <= set(STATUS_BY_KIND)


@pytest.mark.parametrize("failure", ProposalError.__subclasses__() + BaseOutcome.__subclasses__())
def test_every_failure_of_a_change_has_a_status(failure):
    assert failure.kind in STATUS_BY_KIND or failure.kind in INTERNAL_KINDS


def test_an_unknown_failure_is_an_internal_error():
    assert problem_of(JasperwalkError()).status == HTTPStatus.INTERNAL_SERVER_ERROR
