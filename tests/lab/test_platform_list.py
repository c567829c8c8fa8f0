"""The platform list shows changes of machines after its lag."""

from __future__ import annotations

import pytest

from jasperwalk_lab.platform_list import LaggingList, ListedMachine, MachineState


def machine_list(lag_seconds):
    machines = [
        ListedMachine(host=host, address=f"127.0.0.{number}:7000", zone="a", state="live")
        for number, host in enumerate(["h1", "h2"], start=1)
    ]
    return LaggingList(machines, lag_seconds)


def shown(machines, now):
    return {machine.host: machine.state for machine in machines.visible(now).machines}


@pytest.mark.parametrize(
    ("state", "expected"),
    [
        (MachineState.LEAVING, {"h1": "leaving", "h2": "live"}),
        (MachineState.ABSENT, {"h2": "live"}),
    ],
)
def test_changes_show_after_the_lag_and_raise_the_version(state, expected):
    machines = machine_list(lag_seconds=3.0)
    machines.set_state("h1", state, now=10.0)
    assert shown(machines, 12.9) == {"h1": "live", "h2": "live"}
    assert machines.visible(12.9).version == 1
    assert shown(machines, 13.0) == expected
    assert machines.visible(13.0).version == 2


def test_an_absent_machine_can_come_back():
    machines = machine_list(lag_seconds=0.0)
    machines.set_state("h1", MachineState.ABSENT, now=1.0)
    machines.set_state("h1", MachineState.LIVE, now=2.0)
    assert shown(machines, 1.0) == {"h2": "live"}
    assert shown(machines, 2.0) == {"h1": "live", "h2": "live"}
