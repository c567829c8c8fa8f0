"""Fixtures: a small configuration, and a driver that applies commands at ascending indices."""

from __future__ import annotations

from typing import Any

import pytest

from jasperwalk.control.state.commands import ApplyTemplate, Command, SetTenant
from jasperwalk.control.state.machine import ControlState
from jasperwalk.control.state.outcomes import Outcome

TEMPLATE = """
name = "portal"
[parameters.vip]
type = "address"
[parameters.pool]
type = "members"
[parameters.queue]
type = "integer"
default = 8
[[services]]
name = "views"
listener = "${vip}"
objective = "fewest-broken-flows"
members = "${pool}"
limits = { queue_length = "${queue}" }
"""


class Driver:
    """Applies each command at the next index, as a replica's log does."""

    def __init__(self, state: ControlState) -> None:
        self.state = state

    def apply(self, command: Command) -> Outcome:
        return self.state.apply(self.state.last_index + 1, command)

    def restart(self) -> None:
        """Continue from the serialised state."""
        self.state = ControlState.restore(self.state.serialise())

    def apply_template(
        self, change_id: str, text: str = TEMPLATE, expected: int | None = None
    ) -> Outcome:
        return self.apply(ApplyTemplate(change_id, expected, text))

    def set_tenant(
        self,
        change_id: str,
        name: str = "alpha",
        port: int = 1,
        hosts: tuple[int, ...] = (1,),
        expected: int | None = None,
    ) -> Outcome:
        """Set a tenant that listens on `port`, with a member on each numbered host."""
        pool = [
            {"host": f"h{number}", "zone": "z1", "address": f"127.0.0.{number}:7000"}
            for number in hosts
        ]
        values: dict[str, Any] = {"vip": f"127.1.0.1:{port}", "pool": pool}
        return self.apply(SetTenant(change_id, expected, name, "portal", values))


@pytest.fixture
def template_text() -> str:
    return TEMPLATE


@pytest.fixture
def make_driver() -> type[Driver]:
    return Driver


@pytest.fixture
def driver() -> Driver:
    """A state with the template applied at index 1."""
    driver = Driver(ControlState())
    driver.apply_template("template")
    return driver
