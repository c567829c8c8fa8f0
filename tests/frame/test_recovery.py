"""docs/RECOVERY.md names commands, options, log events, kinds and metrics that exist."""

import re
import shlex
from pathlib import Path

import click
import pytest

from jasperwalk.cli.main import main

ROOT = Path(__file__).parents[2]
RECOVERY = (ROOT / "docs" / "RECOVERY.md").read_text(encoding="utf-8")
SOURCES = "\n".join(
    path.read_text(encoding="utf-8") for path in sorted((ROOT / "src/jasperwalk").rglob("*.py"))
)
ONE_LINE = re.sub(r"\s+", " ", RECOVERY)
QUOTED = re.findall(r"`(jasperwalk [^`]+)`", ONE_LINE)
INDENTED = re.findall(r"^    (jasperwalk .+)$", RECOVERY, re.MULTILINE)
COMMANDS = sorted({*QUOTED, *INDENTED})
EVENTS = sorted(set(re.findall(r"event=([a-z-]+)", RECOVERY)))
KINDS = sorted(set(re.findall(r"kind=([a-z-]+)", RECOVERY)))
METRICS = sorted(set(re.findall(r"jasperwalk_(?:control|balancer|agent)_(\w+)", RECOVERY)))
SECTIONS = RECOVERY.split("\n## ")[1:]
NAMED_BY_THE_ISSUE = (
    "Lost replica",
    "Wiped disk",
    "Even split",
    "Stuck drain",
    "Expired certificate",
    "Balancer behind",
)


@pytest.mark.parametrize("line", COMMANDS)
def test_every_command_and_its_options_exist(line):
    command, words = main, shlex.split(line)[1:]
    while isinstance(command, click.Group):
        assert words[0] in command.commands, line
        command = command.commands[words.pop(0)]
    known = {option for parameter in command.params for option in parameter.opts}
    assert {word for word in words if word.startswith("--")} <= known


def test_the_page_names_commands():
    assert len(COMMANDS) > len(SECTIONS)


@pytest.mark.parametrize("name", [*EVENTS, *KINDS])
def test_every_event_and_kind_is_logged(name):
    assert f'"{name}"' in SOURCES


@pytest.mark.parametrize("name", METRICS)
def test_every_metric_is_exported(name):
    assert re.search(rf'["_]{name.removesuffix("_total")}"', SOURCES)


def test_every_symptom_has_its_section_and_every_section_its_parts():
    titles = [section.partition("\n")[0] for section in SECTIONS]
    assert set(NAMED_BY_THE_ISSUE) <= set(titles)
    table = re.findall(r"\| \[([^]]+)\]\(#([a-z-]+)\) \|", RECOVERY)
    assert [title for title, _ in table] == titles
    for section in SECTIONS:
        parts = re.findall(r"^\*\*(You see|It means|Do|It is over)", section, re.MULTILINE)
        assert parts == ["You see", "It means", "Do", "It is over"], section[:20]


def test_links_lead_to_sections():
    anchors = {section.partition("\n")[0].lower().replace(" ", "-") for section in SECTIONS}
    assert set(re.findall(r"\]\(#([a-z-]+)\)", RECOVERY)) <= anchors
