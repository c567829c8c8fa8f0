"""Minimizes a failing run: leaves out faults while the same kind of violation still occurs.

The remaining faults, and the events that concern the processes in the violations, are shown.
"""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk_lab.simulator.faults import Fault
from jasperwalk_lab.simulator.mutants import mutant_named
from jasperwalk_lab.simulator.run import RunResult, planned_faults, run_scenario
from jasperwalk_lab.simulator.scenarios import scenario_named

MAX_EVENTS_SHOWN = 40
"""Maximum number of events that are shown, violations included."""
MAX_VIOLATIONS_SHOWN = 10
VIOLATION = " VIOLATION "
ALWAYS_SHOWN = (" fault ", " over ", VIOLATION, " restart ", " stopped ", " resumed ")


@dataclass(frozen=True)
class MinimizedRun:
    """The faults that suffice for the violation, and the relevant events of the trace."""

    faults: list[str]
    events: list[str]


def kind_of(violation: str) -> str:
    """Return the kind of a violation: its text up to the first colon."""
    return violation.partition(":")[0]


def minimize_faults(scenario_name: str, seed: int, mutant_name: str, kind: str) -> MinimizedRun:
    """Try to leave out each fault in turn; keep it out if a violation of `kind` remains."""
    scenario, mutant = scenario_named(scenario_name), mutant_named(mutant_name)
    defect = None if mutant is None else mutant.defect

    def attempt(faults: list[Fault]) -> RunResult:
        return run_scenario(scenario, seed, defect, faults)

    faults = planned_faults(scenario, seed)
    shortest = attempt(faults)
    for fault in list(faults):
        fewer = [each for each in faults if each is not fault]
        result = attempt(fewer)
        if any(kind_of(each) == kind for each in result.violations):
            faults, shortest = fewer, result
    return MinimizedRun([each.describe() for each in faults], _relevant_events(shortest, kind))


def _relevant_events(result: RunResult, kind: str) -> list[str]:
    """Return the events of faults, violations, and the subjects that violations of `kind` name."""
    names = {
        word.strip(",:;")
        for violation in result.violations
        if kind_of(violation) == kind
        for word in violation.split()
        if "-" in word and word.strip(",:;") != kind
    }
    relevant = [
        event
        for event in result.events
        if any(mark in event for mark in ALWAYS_SHOWN) or names & set(event.split())
    ]
    violated = [event for event in relevant if VIOLATION in event][:MAX_VIOLATIONS_SHOWN]
    others = [event for event in relevant if VIOLATION not in event]
    return [*others[: MAX_EVENTS_SHOWN - len(violated)], *violated]
