"""A fleet that does not start is retried; a failure after the start is not."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from jasperwalk_lab.errors import FleetNotReady
from jasperwalk_lab.experiments import run as run_module
from jasperwalk_lab.experiments.definition import Experiment, Variant

EXPERIMENT = Experiment(
    name="x", question="?", example="zagreb", seeds=(1,), variants=(Variant(name="plain"),)
)
FAILURE = FleetNotReady("agent", "port in use", Path("log"))


def started(tmp_path, monkeypatch, failures, body_fails=False):
    """Return the number of fleets started, the messages, and how the run ended."""
    starts, messages = [], []

    class StandInFleet:
        def __init__(self, *_):
            pass

        async def __aenter__(self):
            return self

        async def __aexit__(self, *_):
            return None

        async def start(self):
            starts.append(self)
            if len(starts) <= failures:
                raise FAILURE

    async def scenario():
        variant = EXPERIMENT.variants[0]
        fleet = run_module._started_fleet(EXPERIMENT, variant, 1, tmp_path, messages.append)
        async with fleet:
            if body_fails:
                raise FAILURE

    monkeypatch.setattr(run_module, "ExperimentFleet", StandInFleet)
    try:
        asyncio.run(scenario())
    except FleetNotReady:
        return len(starts), messages, "failed"
    return len(starts), messages, "ran"


@pytest.mark.parametrize(
    ("failures", "body_fails", "expected"),
    [
        (0, False, (1, "ran")),
        (2, False, (3, "ran")),
        (3, False, (3, "failed")),
        (0, True, (1, "failed")),
    ],
)
def test_only_a_start_is_retried(tmp_path, monkeypatch, failures, body_fails, expected):
    starts, messages, ended = started(tmp_path, monkeypatch, failures, body_fails)
    assert (starts, ended) == expected
    assert len(messages) == failures
    assert all("port in use" in line for line in messages)
