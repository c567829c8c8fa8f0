"""Templates and values: what is accepted, and the problem that reports each fault."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.config.problems import MAX_PROBLEMS, TemplateError, ValuesError
from jasperwalk.config.problems import ProblemKind as Kind
from jasperwalk.config.rendering import render
from jasperwalk.config.table_entries import Objective
from jasperwalk.config.templates import parse_template
from jasperwalk.config.tenants import Tenant

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

TEMPLATE = """
name = "portal"
[parameters.vip]
type = "address"
[parameters.pool]
type = "members"
minimum = 1
maximum = 3
[parameters.queue]
type = "integer"
default = 8
minimum = 1
maximum = 16
[parameters.suffix]
type = "string"
default = "views"
maximum = 10
[[services]]
name = "proof-${suffix}"
listener = "${vip}"
objective = "fewest-broken-flows"
members = "${pool}"
limits = { queue_length = "${queue}" }
member_defaults = { weight = 50, slots = 4 }
"""

MEMBER = {"host": "h1", "zone": "z1", "address": "127.0.0.1:7000"}
VALUES: dict[str, Any] = {"vip": "127.1.0.1:443", "pool": [MEMBER]}


def tenant(values: dict[str, Any]) -> Tenant:
    return Tenant(name="studio", template="portal", template_version=1, values=values)


def test_references_defaults_and_member_defaults_are_rendered() -> None:
    second = {"host": "h0", "zone": "z2", "address": "127.0.0.0:7000", "weight": 0, "slots": 9}
    values = VALUES | {"pool": [MEMBER, second]}
    (service,) = render(parse_template(TEMPLATE), tenant(values))
    assert service.name == "proof-views"
    assert service.listener == Endpoint(host="127.1.0.1", port=443)
    assert service.limits.queue_length == 8
    assert [(each.host, each.weight, each.slots) for each in service.members] == [
        ("h0", 0, 9),
        ("h1", 50, 4),
    ]


def test_rendering_ignores_the_order_of_values_and_members() -> None:
    template = parse_template(TEMPLATE)
    other = MEMBER | {"address": "127.0.0.2:7000"}
    first = render(template, tenant({"vip": VALUES["vip"], "pool": [MEMBER, other]}))
    second = render(template, tenant({"pool": [other, MEMBER], "vip": VALUES["vip"]}))
    assert first == second


def changed(old: str, new: str) -> str:
    assert old in TEMPLATE
    return TEMPLATE.replace(old, new)


TEMPLATE_FAULTS = [
    ("name = ", Kind.SYNTAX, "template"),
    ("x = " + "[" * 100_000, Kind.SYNTAX, "template"),
    ("#" * 300_000, Kind.OUT_OF_BOUNDS, "template"),
    (changed('"portal"', '"Portal!"'), Kind.INVALID_NAME, "name"),
    (changed('name = "portal"', ""), Kind.MISSING_FIELD, "name"),
    ("colour = 1\n" + TEMPLATE, Kind.UNKNOWN_FIELD, "colour"),
    ('name = "portal"', Kind.MISSING_FIELD, "services"),
    ('name = "portal"\nservices = [1]', Kind.WRONG_TYPE, "services[0]"),
    (changed('"${vip}"', '"${vpi}"'), Kind.UNKNOWN_REFERENCE, "services[0].listener"),
    (changed('"${vip}"', '"${queue}"'), Kind.WRONG_TYPE, "services[0].listener"),
    (changed('"${vip}"', '"localhost"'), Kind.INVALID_ADDRESS, "services[0].listener"),
    (changed('"${queue}"', '"${queue}0"'), Kind.WRONG_TYPE, "services[0].limits.queue_length"),
    (changed('"fewest-broken-flows"', '"best"'), Kind.NOT_A_CHOICE, "services[0].objective"),
    (
        changed("weight = 50", "weight = -1"),
        Kind.OUT_OF_BOUNDS,
        "services[0].member_defaults.weight",
    ),
    (
        changed("weight = 50", "wieght = 50"),
        Kind.UNKNOWN_FIELD,
        "services[0].member_defaults.wieght",
    ),
    (changed('objective = "fewest-broken-flows"', ""), Kind.MISSING_FIELD, "services[0].objective"),
    (changed('"address"', '"ipv9"'), Kind.NOT_A_CHOICE, "parameters.vip.type"),
    (changed("default = 8", "default = 80"), Kind.OUT_OF_BOUNDS, "parameters.queue.default"),
    (
        changed("minimum = 1\nmaximum = 16", "minimum = 17\nmaximum = 16"),
        Kind.OUT_OF_BOUNDS,
        "parameters.queue.minimum",
    ),
    (
        changed('type = "address"', 'type = "address"\nminimum = 1'),
        Kind.UNKNOWN_FIELD,
        "parameters.vip.minimum",
    ),
    (changed("[parameters.vip]", '[parameters."v-p"]'), Kind.INVALID_NAME, "parameters.v-p"),
]


@pytest.mark.parametrize(("text", "kind", "place"), TEMPLATE_FAULTS)
def test_template_fault_names_its_place_and_mend(text: str, kind: Kind, place: str) -> None:
    with pytest.raises(TemplateError) as caught:
        parse_template(text)
    found = {(problem.kind, problem.place) for problem in caught.value.problems}
    assert (kind, place) in found
    assert all(problem.mend for problem in caught.value.problems)


VALUE_FAULTS: list[tuple[dict[str, Any], Kind, str]] = [
    ({"vip": None}, Kind.MISSING_PARAMETER, "values.vip"),
    ({"vpi": 1}, Kind.UNKNOWN_PARAMETER, "values.vpi"),
    ({"vip": 443}, Kind.WRONG_TYPE, "values.vip"),
    ({"vip": "127.1.0.1:0"}, Kind.INVALID_ADDRESS, "values.vip"),
    ({"vip": "127.1.0.1:65536"}, Kind.INVALID_ADDRESS, "values.vip"),
    ({"queue": 0}, Kind.OUT_OF_BOUNDS, "values.queue"),
    ({"queue": 17}, Kind.OUT_OF_BOUNDS, "values.queue"),
    ({"queue": "8"}, Kind.WRONG_TYPE, "values.queue"),
    ({"queue": 8.0}, Kind.WRONG_TYPE, "values.queue"),
    ({"queue": True}, Kind.WRONG_TYPE, "values.queue"),
    ({"suffix": "far-too-long-for-it"}, Kind.OUT_OF_BOUNDS, "values.suffix"),
    ({"suffix": "UPPER"}, Kind.INVALID_NAME, "services[0].name"),
    ({"pool": []}, Kind.OUT_OF_BOUNDS, "values.pool"),
    ({"pool": [MEMBER] * 4}, Kind.OUT_OF_BOUNDS, "values.pool"),
    ({"pool": {}}, Kind.WRONG_TYPE, "values.pool"),
    ({"pool": ["h1"]}, Kind.WRONG_TYPE, "values.pool[0]"),
    ({"pool": [MEMBER, MEMBER]}, Kind.DUPLICATE_ADDRESS, "values.pool[1]"),
    ({"pool": [{"host": "h1", "zone": "z1"}]}, Kind.MISSING_FIELD, "values.pool[0].address"),
    ({"pool": [MEMBER | {"rack": "r"}]}, Kind.UNKNOWN_FIELD, "values.pool[0].rack"),
    ({"pool": [MEMBER | {"host": "h 1"}]}, Kind.INVALID_NAME, "values.pool[0].host"),
    ({"pool": [MEMBER | {"weight": 10_001}]}, Kind.OUT_OF_BOUNDS, "values.pool[0].weight"),
    ({"pool": [MEMBER | {"slots": 0}]}, Kind.OUT_OF_BOUNDS, "values.pool[0].slots"),
]


@pytest.mark.parametrize(("change", "kind", "place"), VALUE_FAULTS)
def test_value_fault_names_its_place_and_mend(
    change: dict[str, Any], kind: Kind, place: str
) -> None:
    with pytest.raises(ValuesError) as caught:
        render(parse_template(TEMPLATE), tenant(VALUES | change))
    assert [(each.kind, each.place) for each in caught.value.problems] == [(kind, place)]
    assert caught.value.problems[0].mend


def test_all_problems_are_reported_at_once_up_to_the_limit() -> None:
    values = {f"unknown_{number}": 1 for number in range(100)} | {"pool": [{}]}
    with pytest.raises(ValuesError) as caught:
        render(parse_template(TEMPLATE), tenant(values))
    assert len(caught.value.problems) == MAX_PROBLEMS


TWICE = TEMPLATE + TEMPLATE[TEMPLATE.index("[[services]]") :]


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        (TWICE, Kind.DUPLICATE_SERVICE),
        (TWICE, Kind.DUPLICATE_LISTENER),
        (TWICE, Kind.DUPLICATE_ADDRESS),
    ],
)
def test_services_of_one_tenant_may_not_claim_the_same(text: str, kind: Kind) -> None:
    with pytest.raises(ValuesError) as caught:
        render(parse_template(text), tenant(VALUES))
    assert kind in {problem.kind for problem in caught.value.problems}


@pytest.mark.parametrize(
    ("folder", "tenant_file", "objective", "hosts", "slots", "zones"),
    [
        ("zagreb", "tenant-godisnjak.toml", Objective.FEWEST_BROKEN_FLOWS, [7, 3], 4, 3),
        ("hanoi", "tenant-translation.toml", Objective.LEAST_IMBALANCE, [7, 4], 3, 4),
    ],
)
def test_examples_render_to_the_deployments_sizes(
    folder: str, tenant_file: str, objective: Objective, hosts: list[int], slots: int, zones: int
) -> None:
    template = parse_template((EXAMPLES / folder / "template.toml").read_text())
    document = tomllib.loads((EXAMPLES / folder / tenant_file).read_text())
    assert document["template"] == template.name
    services = render(template, tenant(document["values"]))
    assert [len(service.members) for service in services] == hosts
    assert {service.objective for service in services} == {objective}
    members = [member for service in services for member in service.members]
    assert {member.slots for member in members} == {slots}
    assert len({member.zone for member in members}) == zones
