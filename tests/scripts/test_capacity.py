"""The capacity page is generated from the bench's output of its sweeps."""

import json

import pytest
from click.testing import CliRunner

from scripts.capacity import BOUNDS, UnreadableSweep, main, newest_sweeps, read_sweep

NAMES = [bound.figure for bound in BOUNDS]
DIGEST = "\n".join(
    [
        "seen: 7 of 28 front machines were ready when traffic began",
        "day                  own/srv  score  worth served refused failed  weakest part",
        "sweep-30                33/0   0.96  0.955  0.995   0.000  0.000  worst windows 0.97",
        "sweep-300              302/0   0.95  0.950  0.700   0.000  0.000  BROKEN: flow",
        "middle / busiest or longest, by own machines",
        "                                     30             300  power  at 14750",
        *(f"{name:<40}  1.5 / 2.5      3.0 / 40.0  0.45  {at}" for at, name in enumerate(NAMES, 1)),
        "power: the busiest grows as machines to this power, by the last three sizes; it is not",
    ]
)


def write_entry(folder, name, site="north", cmd="sweep", digest=DIGEST):
    content = {"cmd": cmd, "site": site, "ok": True, "digest": digest}
    (folder / f"{name}.json").write_text(json.dumps(content))


def test_the_table_of_a_sweep_is_read():
    sweep = read_sweep("e", "north", DIGEST)
    assert sweep.target_machines == 14_750
    assert [(day.machines, day.is_broken) for day in sweep.days] == [(30, False), (300, True)]
    assert [figure.name for figure in sweep.figures] == NAMES
    first = sweep.figures[0]
    assert (first.busiest, first.power, first.at_target) == ((2.5, 40.0), 0.45, 1.0)


@pytest.mark.parametrize(
    ("power", "extrapolated"), [("0.45", 231.0), ("-1.0", 40.0), ("1.0", 1970.0), ("3.0", 96700.0)]
)
def test_the_figures_of_a_site_without_a_target_are_extrapolated_here(power, extrapolated):
    rows = [f"{name:<40}  1.5 / 2.5      3.0 / 40.0  {power}  -" for name in NAMES]
    lines = [line for line in DIGEST.splitlines() if "2.5      3.0" not in line]
    digest = "\n".join([*lines[:-1], *rows, lines[-1]]).replace("at 14750", "at null")
    sweep = read_sweep("e", "north", digest)
    assert sweep.target_machines == 14_750
    assert {figure.at_target for figure in sweep.figures} == {extrapolated}


def test_a_digest_without_a_table_is_an_error_that_names_the_entry():
    with pytest.raises(UnreadableSweep, match="e-17"):
        read_sweep("e-17", "north", "built in 3 s")


def test_the_newest_sweep_of_each_site_counts(tmp_path):
    write_entry(tmp_path, "20260101")
    write_entry(tmp_path, "20260102")
    write_entry(tmp_path, "20260103", site="south")
    write_entry(tmp_path, "20260104", cmd="hunt", digest="8 days")
    assert [(each.site, each.entry) for each in newest_sweeps(tmp_path)] == [
        ("north", "20260102"),
        ("south", "20260103"),
    ]


def test_a_page_that_differs_fails_the_check(tmp_path):
    write_entry(tmp_path, "20260101")
    page = tmp_path / "page.md"
    options = ["--journal", str(tmp_path), "--page", str(page)]
    assert CliRunner().invoke(main, options).exit_code == 0
    assert CliRunner().invoke(main, [*options, "--check"]).exit_code == 0
    text = page.read_text()
    assert "| 300 | 0.950 | 0.700 | broken |" in text
    assert "| balancer: memory MB | 1 | 32 | yes |" in text
    page.write_text(text + "by hand")
    assert CliRunner().invoke(main, [*options, "--check"]).exit_code == 1
