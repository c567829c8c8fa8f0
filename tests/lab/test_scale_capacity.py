"""The arithmetic behind docs/CAPACITY.md, and the check that page and figures agree."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from jasperwalk_lab.scale.capacity_model import (
    Role,
    Row,
    Source,
    Unit,
    Verdict,
    at_region,
    load_seconds,
)
from jasperwalk_lab.scale.figures import ScaleFigures
from jasperwalk_lab.scale.measurements import read_measurements
from jasperwalk_lab.scale.slopes import entries, fit, fit_slopes, subscribers
from scripts.capacity import FOLDER, main

BASE = 7.0
BY_ENTRIES = 0.5
BY_SUBSCRIBERS = 3.0
SIZES = ((250, 500, 125), (500, 1000, 250), (250, 2000, 2000), (1000, 500, 125))


def runs_of(sizes: tuple[tuple[int, int, int], ...]) -> list[ScaleFigures]:
    template = read_measurements(FOLDER).runs[0]
    return [
        msgspec.structs.replace(
            template,
            balancers=balancers,
            agents=agents,
            services=services,
            entries=agents + services,
        )
        for balancers, agents, services in sizes
    ]


def plane(run: ScaleFigures) -> float:
    return BASE + BY_ENTRIES * entries(run) + BY_SUBSCRIBERS * subscribers(run)


def test_fit_parts_entries_from_subscribers() -> None:
    slope = fit(runs_of(SIZES), plane)

    assert slope.base == pytest.approx(BASE)
    assert slope.by_entries == pytest.approx(BY_ENTRIES)
    assert slope.by_subscribers == pytest.approx(BY_SUBSCRIBERS)
    assert slope.at(100, 10) == pytest.approx(BASE + 50 + 30)


def test_fit_leaves_a_factor_out() -> None:
    slope = fit(runs_of(SIZES), lambda run: 2.0 * entries(run), by_subscribers=False)

    assert slope.by_subscribers == 0
    assert slope.by_entries == pytest.approx(2.0)


def test_what_seems_to_get_cheaper_with_size_is_left_out() -> None:
    slope = fit(runs_of(SIZES), lambda run: 9.0 - 0.001 * entries(run) + subscribers(run))

    assert slope.by_entries == 0
    assert slope.by_subscribers > 0
    assert at_region(slope) >= slope.largest


def test_too_few_sizes_give_no_slope() -> None:
    with pytest.raises(ValueError, match="at least 4"):
        fit(runs_of(SIZES[:3] + SIZES[:1]), plane)


def test_a_run_with_failures_gives_no_slope() -> None:
    runs = runs_of(SIZES)
    failed = msgspec.structs.replace(runs[0], failures=["rack: not current within 45 s"])

    with pytest.raises(ValueError, match="rack"):
        fit_slopes([failed, *runs[1:]])


@pytest.mark.parametrize(
    ("result", "limit", "verdict", "margin"),
    [
        (2.0, 8.0, Verdict.HOLDS, 4.0),
        (8.0, 8.0, Verdict.HOLDS, 1.0),
        (16.0, 8.0, Verdict.MISSES, 0.5),
        (16.0, None, Verdict.NO_LIMIT, None),
        (0.0, 8.0, Verdict.HOLDS, None),
    ],
)
def test_row_against_its_limit(
    result: float, limit: float | None, verdict: Verdict, margin: float | None
) -> None:
    row = Row(Role.WHOLE, "", "", "", Source.ARITHMETIC, result, limit, Unit.COUNT, "")

    assert (row.verdict, row.margin) == (verdict, margin)


@pytest.mark.parametrize(("length", "seconds"), [(0, 0), (256 * 1024, 0), (256 * 1024 + 10_000, 2)])
def test_a_links_burst_is_free_and_the_rest_takes_its_time(length: int, seconds: float) -> None:
    assert load_seconds(length) == seconds


def test_check_fails_where_page_and_figures_differ(tmp_path: Path) -> None:
    folder, page = tmp_path / "measurements", tmp_path / "CAPACITY.md"
    shutil.copytree(FOLDER, folder)
    options = ["--folder", str(folder), "--page", str(page)]
    run = CliRunner().invoke

    assert run(main, [*options, "--check"]).exit_code == 1
    assert run(main, options).exit_code == 0
    assert run(main, [*options, "--check"]).exit_code == 0

    parts = json.loads((folder / "parts.json").read_text(encoding="utf-8"))
    parts["parts"]["table"]["unshared_bytes"] *= 2
    (folder / "parts.json").write_text(json.dumps(parts), encoding="utf-8")
    assert run(main, [*options, "--check"]).exit_code == 1
