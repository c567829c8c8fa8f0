"""The parts of the ablation without the bench: switches in templates, parsing a day's line."""

import shutil
import tomllib

import pytest

from jasperwalk.fleet.settings import Policies
from scripts.ablation import ROOT, TEMPLATES, PlayedDay, read_day, switch_off, switches

DAY = "scale-2   64/0   0.86  0.935  0.987   0.000  0.001  worst class 0.93; prices 0.030"
BROKEN = "scale-2   64/0   0.00  0.723  0.903   0.000  0.043  worst class 0.61  BROKEN: FLOW 1"


@pytest.mark.parametrize("switch", switches())
def test_a_switch_is_turned_off_in_every_template(tmp_path, switch):
    shutil.copytree(ROOT / "platform", tmp_path / "platform")
    switch_off(tmp_path, switch)
    for role in TEMPLATES:
        content = (tmp_path / "platform" / f"{role}.toml.template").read_text()
        (_, table) = content.split("[policies]")
        assert tomllib.loads(table) == {switch: False}
    assert getattr(Policies(), switch) is True


@pytest.mark.parametrize(
    ("output", "expected"),
    [
        (DAY, PlayedDay(0.935, "")),
        (f"built\n{BROKEN}\n", PlayedDay(0.723, "FLOW 1")),
        ("", None),
        ("scale-2 is played, after 50 s", None),
        ("scale-1   64/0   0.86  0.935  0.987", None),
    ],
    ids=["a day", "a broken rule", "nothing", "a note", "another day"],
)
def test_a_days_line(output, expected):
    assert read_day(output, "scale-2") == expected
