"""The fleet's plan: settings from every example are valid for the product and the stand-ins."""

from __future__ import annotations

import pytest

from jasperwalk.config.rendering import render
from jasperwalk.settings.loading import load_settings
from jasperwalk.settings.models import AgentSettings, BalancerSettings, ControlSettings
from jasperwalk_lab.backend import BackendSettings
from jasperwalk_lab.certificates import write_certificates
from jasperwalk_lab.demo import lower_one_weight
from jasperwalk_lab.errors import ExampleError
from jasperwalk_lab.example import EXAMPLE_NAMES, load_example
from jasperwalk_lab.fabric_process import FabricSettings
from jasperwalk_lab.fleet_settings import FleetPlanner
from jasperwalk_lab.layout import plan_layout
from jasperwalk_lab.platform_list import PlatformListSettings
from jasperwalk_lab.ports import PortReservations
from jasperwalk_lab.serving import load_lab_settings

SIZES = {
    "zagreb": {"urednik": [4] * 7, "probni-otisak": [4] * 3},
    "hanoi": {"segment-svc": [3] * 7, "export-svc": [3] * 4},
}


@pytest.fixture
def plan(request, tmp_path):
    with PortReservations() as reservations:
        layout = plan_layout(load_example(request.param), reservations)
        planner = FleetPlanner(layout, tmp_path, write_certificates(tmp_path), seed=1)
    return layout, planner


@pytest.mark.parametrize("plan", EXAMPLE_NAMES, indirect=True)
def test_settings_of_every_process_are_accepted(plan, tmp_path):
    layout, planner = plan
    plans = [(planner.control(place), ControlSettings) for place in layout.controls]
    plans += [(planner.balancer(place), BalancerSettings) for place in layout.balancers]
    plans += [(planner.agent(place), AgentSettings) for place in layout.members]
    for made, model in plans:
        load_settings(tmp_path / "settings" / f"{made.name}.toml", model)
    stand_ins = [(planner.backend(place), BackendSettings) for place in layout.members]
    stand_ins += [(planner.fabric(), FabricSettings)]
    stand_ins += [(planner.platform_list(), PlatformListSettings)]
    for made, model in stand_ins:
        load_lab_settings(tmp_path / "settings" / f"{made.name}.toml", model)


@pytest.mark.parametrize("name", EXAMPLE_NAMES)
def test_an_example_has_its_real_sizes_on_end_points_of_its_own(name):
    with PortReservations() as reservations:
        layout = plan_layout(load_example(name), reservations)
    services = layout.example.services()
    slots = {each.name: [member.slots for member in each.members] for each in services}
    assert slots == SIZES[name]
    endpoints = [place.listen for place in layout.members + layout.balancers]
    endpoints += [place.backend for place in layout.members]
    endpoints += [place.peer for place in layout.controls] + [each.listener for each in services]
    assert len({endpoint.host for endpoint in endpoints}) == len(endpoints)


@pytest.mark.parametrize("name", EXAMPLE_NAMES)
def test_the_demos_change_lowers_one_weight_and_nothing_else(name):
    example = load_example(name)
    changed = lower_one_weight(example)
    before = [member for service in example.services() for member in service.members]
    after = [member for service in changed.services() for member in service.members]
    weights = [(b.weight, a.weight) for b, a in zip(before, after, strict=True) if b != a]
    assert weights == [(100, 25)]
    assert all(render(changed.template, tenant) for tenant in changed.tenants)


def test_an_unknown_example_is_refused():
    with pytest.raises(ExampleError):
        load_example("split")
