"""The report's statistics, and a page that needs nothing from outside."""

from __future__ import annotations

import math
import re

import pytest
from click.testing import CliRunner

from jasperwalk_lab.cli import lab
from jasperwalk_lab.experiments.breaks import LossFigures
from jasperwalk_lab.experiments.imbalance import ImbalancePoint
from jasperwalk_lab.experiments.lines import EventLine, HeaderLine, RunLine, append_line
from jasperwalk_lab.load.latency import LatencySummary
from jasperwalk_lab.load.result import LoadResult
from jasperwalk_lab.machine import machine_facts
from jasperwalk_lab.report.statistics import estimate


@pytest.mark.parametrize(
    ("values", "mean", "half_width", "shown"),
    [
        # Standard deviation 1, Student's t 4.303 with 2 degrees of freedom: 4.303 / sqrt(3).
        ([1.0, 2.0, 3.0], 2.0, 2.4843, "2 ± 2.5"),
        ([0.0, 1.0], 0.5, 12.706 * math.sqrt(0.5) / math.sqrt(2), "0.5 ± 6.4"),
        ([4.0, 4.0, 4.0, 4.0], 4.0, 0.0, "4 ± 0"),
        ([0.25], 0.25, 0.0, "0.25 (one run)"),
    ],
)
def test_an_estimate_has_the_interval_of_students_t(values, mean, half_width, shown):
    found = estimate(values)
    assert found.mean == pytest.approx(mean)
    assert found.half_width == pytest.approx(half_width, rel=1e-3)
    assert str(found) == shown


def test_no_values_have_no_mean():
    assert math.isnan(estimate([]).mean)


def run_line(variant, seed, broken_flows, seconds):
    latency = LatencySummary(10, 1.0, 2.0, 3.0, 4.0, 5.0)
    load = LoadResult(seed, 2.0, 10, 0, 9, 1, 0, 0, {}, 3, 1.0, {"lookup": latency})
    return RunLine(
        variant=variant,
        product=True,
        seed=seed,
        machine_load_before=1.0,
        machine_load_after=2.0,
        load=load,
        waiting=[],
        waiting_share=0.125,
        imbalance_work={"s": 1.5},
        imbalance_flows={"s": 1.25},
        series=[ImbalancePoint(0.0, "s", 1.5, 1.25), ImbalancePoint(0.25, "s", None, None)],
        events=[EventLine(1.0, "drain-host", "<h1>", 0.0, 0.25)],
        counters={},
        broken_flows=broken_flows,
        loss=LossFigures(len(seconds), len(seconds), 0, seconds),
        violations={},
        violation_examples=[],
        processes_ended=[],
    )


def test_a_page_shows_every_variant_without_external_resources(tmp_path):
    header = HeaderLine("x", "why & <how>?", "now", "abc", True, machine_facts(), "name = 1")
    append_line(tmp_path, header)
    append_line(tmp_path, run_line("plain", 1, {"drain-host": 2}, []))
    append_line(tmp_path, run_line("plain", 2, {"host-lost": 3}, [1.5, 2.5]))
    append_line(tmp_path, run_line("jasperwalk", 1, {}, []))
    result = CliRunner().invoke(lab, ["report", str(tmp_path)])
    assert (result.exit_code, result.output.strip()) == (0, str(tmp_path / "report.html"))
    page = (tmp_path / "report.html").read_text()
    assert "why &amp; &lt;how&gt;?" in page
    assert "<td>drain-host</td><td>2</td><td>0</td>" in page
    assert "<td>host-lost</td><td>3</td><td>0</td>" in page
    assert "<td>none knew; 1.50 to 2.50</td><td>none knew</td>" in page
    assert page.count("<svg") == 5  # share, imbalance, latency, breaks, time in force
    links = re.findall(r'(?:src|href)="([^"]*)"', page)
    assert [link for link in links if not link.startswith("#")] == []


@pytest.mark.parametrize("text", [None, b"", b"{]\n", b'{"type":"run"}\n'])
def test_a_folder_without_usable_results_is_refused(tmp_path, text):
    if text is not None:
        (tmp_path / "results.jsonl").write_bytes(text)
    result = CliRunner().invoke(lab, ["report", str(tmp_path)])
    assert result.exit_code == 2
    assert result.output.count("\n") == 1
    assert "results.jsonl" in result.output
