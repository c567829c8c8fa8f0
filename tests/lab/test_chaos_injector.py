"""Faults of one target, and of all control replicas, don't overlap; an unknown error ends all."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from jasperwalk_lab.chaos.faults import FaultKind, PlannedFault
from jasperwalk_lab.chaos.injector import Injector

SLOW_UNDO_SECONDS = 0.05


class Actions:
    """Records which faults are injected and undone; undoing takes longer than planned."""

    def __init__(self, error=None):
        self.log = []
        self.error = error

    def action(self, kind):
        @contextlib.asynccontextmanager
        async def inject(target):
            self.log.append(("struck", target))
            if self.error is not None and kind is FaultKind.AGENT_KILLED:
                raise self.error
            yield
            await asyncio.sleep(SLOW_UNDO_SECONDS)
            self.log.append(("undone", target))

        return inject


def _run(actions, *planned):
    injector = Injector(actions, lambda _: None)
    asyncio.run(injector.run([PlannedFault(0.0, kind, target, 0.0) for kind, target in planned]))
    return injector.happened


@pytest.mark.parametrize(
    ("first", "second", "together"),
    [
        ((FaultKind.HOST_LOST, "u-1"), (FaultKind.AGENT_KILLED, "u-1"), False),
        ((FaultKind.HOST_LOST, "u-1"), (FaultKind.AGENT_KILLED, "u-2"), True),
        ((FaultKind.CONTROL_WIPED, "control-1"), (FaultKind.CONTROL_CUT, "control-2"), False),
    ],
)
def test_faults_of_one_target_do_not_overlap(first, second, together):
    actions = Actions()
    happened = _run(actions, first, second)
    events = [word for word, _ in actions.log]
    in_sequence = ["struck", "undone", "struck", "undone"]
    assert events == (["struck", "struck", "undone", "undone"] if together else in_sequence)
    assert [(fault.kind, fault.target) for fault in happened] == [first, second]


def test_an_unexpected_failure_leaves_no_fault_behind_that_would_start_processes():
    actions = Actions(error=KeyError("agent"))

    async def run():
        with pytest.raises(ExceptionGroup):
            await Injector(actions, lambda _: None).run(
                [
                    PlannedFault(0.0, FaultKind.HOST_LOST, "u-1", 0.0),
                    PlannedFault(0.0, FaultKind.AGENT_KILLED, "u-2", 0.0),
                ]
            )
        await asyncio.sleep(2 * SLOW_UNDO_SECONDS)

    asyncio.run(run())
    assert ("undone", "u-1") not in actions.log


def test_a_known_failure_is_recorded_with_its_fault_and_the_others_continue():
    actions = Actions(error=TimeoutError())
    happened = _run(actions, (FaultKind.AGENT_KILLED, "u-1"), (FaultKind.HOST_LOST, "u-2"))
    assert [fault.failure for fault in happened] == ["TimeoutError()", None]
    assert ("undone", "u-2") in actions.log
