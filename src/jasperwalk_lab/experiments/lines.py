"""The lines of an experiment's result file: one header, then one line a run."""

from __future__ import annotations

from pathlib import Path

import msgspec

from jasperwalk_lab.errors import LabSettingsError
from jasperwalk_lab.experiments.breaks import LossFigures
from jasperwalk_lab.experiments.imbalance import ImbalancePoint
from jasperwalk_lab.experiments.waiting import WaitingFigures
from jasperwalk_lab.load.result import LoadResult
from jasperwalk_lab.machine import MachineFacts

RESULT_FILE = "results.jsonl"


class HeaderLine(msgspec.Struct, frozen=True, tag="header"):
    """What ran, where, and of which commit; `definition` is the experiment's own text."""

    experiment: str
    question: str
    began_at: str
    commit: str
    uncommitted_changes: bool
    machine: MachineFacts
    definition: str


class EventLine(msgspec.Struct, frozen=True):
    """An event as it happened; `in_force_seconds` is None where nothing had to come in force."""

    at: float
    action: str
    target: str
    value: float
    in_force_seconds: float | None


class RunLine(msgspec.Struct, frozen=True, tag="run"):
    """One repetition of one variant.

    `product` tells that the product's own balancers ran, `broken_flows` counts by cause, and
    `processes_ended` names what ended by itself or did not stop cleanly.
    """

    variant: str
    product: bool
    seed: int
    machine_load_before: float
    machine_load_after: float
    load: LoadResult
    waiting: list[WaitingFigures]
    waiting_share: float
    imbalance_work: dict[str, float]
    imbalance_flows: dict[str, float]
    series: list[ImbalancePoint]
    events: list[EventLine]
    counters: dict[str, float]
    broken_flows: dict[str, int]
    loss: LossFigures
    violations: dict[str, int]
    violation_examples: list[str]
    processes_ended: list[str]


Line = HeaderLine | RunLine


class ExperimentResults(msgspec.Struct, frozen=True):
    """A result folder's header and runs."""

    header: HeaderLine
    runs: list[RunLine]


def append_line(folder: Path, line: Line) -> None:
    """Append one line to a result folder."""
    with (folder / RESULT_FILE).open("ab") as file:
        file.write(msgspec.json.encode(line) + b"\n")


def read_results(folder: Path) -> ExperimentResults:
    """Read a result folder; raise `LabSettingsError`."""
    path = folder / RESULT_FILE
    try:
        texts = path.read_bytes().splitlines()
        lines = [msgspec.json.decode(text, type=Line) for text in texts]
    except (OSError, msgspec.MsgspecError) as error:
        raise LabSettingsError(path, str(error)) from error
    headers = [line for line in lines if isinstance(line, HeaderLine)]
    if not headers:
        raise LabSettingsError(path, "no header line")
    return ExperimentResults(headers[0], [line for line in lines if isinstance(line, RunLine)])
