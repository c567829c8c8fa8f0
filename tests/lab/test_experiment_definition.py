"""Experiment files: which are refused, with which message, and the order of the runs."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from jasperwalk.config.rendering import render
from jasperwalk_lab.cli import lab
from jasperwalk_lab.example import load_example
from jasperwalk_lab.experiments.configuration import tenant_of, with_default, with_weight
from jasperwalk_lab.experiments.definition import load_experiment
from jasperwalk_lab.fleet_options import FlowPlacement

GOOD = """
name = "x"
question = "?"
example = "zagreb"
seeds = [1, 2]

[[events]]
at = 1.0
action = "drain-host"
target = "urednik-1"

[[variants]]
name = "plain"
lend_slots = false

[[variants]]
name = "tables"
placement = "flow-table"
"""
FILES = sorted((Path(__file__).parents[2] / "experiments").glob("*.toml"))


def written(tmp_path, text):
    path = tmp_path / "x.toml"
    path.write_text(text)
    return path


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_the_experiments_of_the_repository_are_usable(path):
    loaded = load_experiment(path)
    assert loaded.name == path.stem
    assert len(loaded.seeds) >= 3


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('"zagreb"', '"zagreb', "x.toml: "),  # not TOML
        ('"zagreb"', '"split"', "known examples are zagreb, hanoi"),
        ("seeds = [1, 2]", "seeds = []", "seeds: "),
        ("seeds = [1, 2]", "seeds = [1, 1]", "two seeds are the same"),
        ("seeds = [1, 2]", 'seeds = ["one"]', "seeds.0: "),
        ("seeds = [1, 2]", "", "seeds: Field required"),
        ('"tables"', '"plain"', "two variants have the same name"),
        ('"flow-table"', '"best"', "variants.1.placement: "),
        ('"drain-host"', '"explode"', "events.0.action: "),
        ('"urednik-1"', '"urednik-9"', "events.0.target: no host 'urednik-9'"),
        ('"drain-host"', '"kill-balancer"', "events.0.target: no balancer 'urednik-1'"),
        ("at = 1.0", "at = -1.0", "events.0.at: "),
        ("lend_slots = false", "lends = false", "variants.0.lends: "),
    ],
)
def test_an_unusable_file_ends_with_one_line_that_names_file_and_key(tmp_path, old, new, named):
    assert old in GOOD
    path = written(tmp_path, GOOD.replace(old, new, 1))
    result = CliRunner().invoke(
        lab, ["experiment", "run", str(path), "--runs", str(tmp_path / "runs")]
    )
    assert result.exit_code == 2
    assert result.output.count("\n") == 1
    assert str(path) in result.output
    assert named in result.output
    assert not (tmp_path / "runs").exists()


def test_runs_alternate_in_their_order_and_variants_give_options(tmp_path):
    loaded = load_experiment(written(tmp_path, GOOD))
    order = [(seed, variant.name) for seed, variant in loaded.schedule()]
    assert order == [(1, "plain"), (1, "tables"), (2, "tables"), (2, "plain")]
    plain, tables = (loaded.options(variant) for variant in loaded.variants)
    assert (plain.placement, plain.lend_slots) == (FlowPlacement.RENDEZVOUS, False)
    assert (tables.placement, tables.lend_slots) == (FlowPlacement.FLOW_TABLE, True)


def test_a_change_of_weight_or_default_changes_just_that():
    example = load_example("zagreb")
    address = example.services()[0].members[0].address
    changed = with_default(with_weight(example, address, 150), "queue_length", 48)
    assert [each.weight for each in changed.services()[0].members] == [150] + [100] * 6
    assert {each.limits.queue_length for each in changed.services()} == {48}
    assert {each.limits.queue_length for each in example.services()} == {64}
    assert tenant_of(changed, address).name == example.tenants[0].name
    assert render(changed.template, changed.tenants[0]) == changed.services()
