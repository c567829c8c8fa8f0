"""Settings files of the datagram plane's nodes: weights of the callers' groups."""

import pytest

from jasperwalk.fleet import group_weights
from jasperwalk.fleet.group_weights import MAX_WEIGHT, MIN_WEIGHT, weights_by_group
from jasperwalk.fleet.settings import (
    AgentNodeSettings,
    BalancerNodeSettings,
    InvalidSettings,
    read_settings,
)
from jasperwalk.flows.terms import caller_group

AGENT = """\
name = "agent-1"
zone = "north"
service = "web"
host = "127.0.0.1:8080"
frames_listen = "127.0.0.1:0"
host_packets_listen = "127.0.0.1:0"
host_calls_listen = "127.0.0.1:0"
readiness_listen = "127.0.0.1:0"
replica_port = 7000
seeds = ["127.0.0.1:7000"]
"""
BALANCER = """\
name = "balancer-1"
zone = "north"
callers_listen = "127.0.0.1:0"
readiness_listen = "127.0.0.1:0"
frames_listen = "127.0.0.1:0"
replica_port = 7000
seeds = ["127.0.0.1:7000"]
"""
LINES = len(AGENT.splitlines())


@pytest.fixture
def read(tmp_path):
    def read_text(text, settings_type=AgentNodeSettings):
        file = tmp_path / "node.toml"
        file.write_text(text)
        return read_settings(str(file), settings_type)

    return read_text


def test_without_the_table_every_group_has_the_same_weight(read):
    assert read(AGENT).group_weights() == {}
    assert read(AGENT).policies.fair_shares


def test_weights_are_keyed_by_the_numbers_of_the_groups(read):
    settings = read(f"{AGENT}[caller_group_weights]\nnorth = 2\nsouth = 0.5\n")
    assert settings.group_weights() == {caller_group("north"): 2.0, caller_group("south"): 0.5}


def test_zones_of_the_same_number_have_the_weights_of_both(monkeypatch):
    monkeypatch.setattr(group_weights, "caller_group", lambda zone: 5)
    assert weights_by_group({"north": 2.0, "south": 0.5}) == {5: 2.5}


@pytest.mark.parametrize("weight", [MIN_WEIGHT, 1, MAX_WEIGHT])
def test_weights_up_to_the_bounds_are_taken(read, weight):
    settings = read(f"{AGENT}[caller_group_weights]\nnorth = {weight}\n")
    assert settings.caller_group_weights == {"north": weight}


@pytest.mark.parametrize(
    "weight",
    [
        "0",
        "0.0",
        "-1",
        "-0.5",
        "nan",
        "inf",
        "-inf",
        "1e-9",
        "1e9",
        '"2"',
        "true",
        "[2]",
        "{a = 1}",
    ],
)
def test_what_is_no_weight_is_an_error_that_names_key_and_line(read, weight):
    text = f"{AGENT}\n# Weights\n[caller_group_weights]\neast = 1\nsouth-west = {weight}\n"
    with pytest.raises(InvalidSettings) as raised:
        read(text)
    described = raised.value.describe()
    assert described.startswith(raised.value.path)
    assert "caller_group_weights.south-west" in described
    assert f"(line {LINES + 5})" in described


@pytest.mark.parametrize(
    ("table", "line"),
    [
        ('[caller_group_weights]\n"north" = 0', 2),
        ("[ caller_group_weights ]\n  north=0", 2),
        ("[policies]\nnorth = 0\n[caller_group_weights]\nnorth = 0", 4),
        ("[caller_group_weights]\n# north = 0\nnorth = 0", 3),
        ("caller_group_weights = {south = 1, north = 0}", 1),
        ("caller_group_weights.south = 1\ncaller_group_weights.north = 0", 2),
        ('caller_group_weights."north" = 0', 1),
    ],
)
def test_the_line_is_found_however_the_table_is_written(read, table, line):
    with pytest.raises(InvalidSettings) as raised:
        read(f"{AGENT}{table}\n")
    assert "caller_group_weights.north " in raised.value.describe()
    assert f"(line {LINES + line})" in raised.value.describe()


def test_a_table_that_is_none_is_an_error_that_names_it(read):
    with pytest.raises(InvalidSettings) as raised:
        read(f"{AGENT}caller_group_weights = 2\n")
    assert "caller_group_weights" in raised.value.describe()


def test_a_balancer_does_not_know_the_table(read):
    settings = read(f"{BALANCER}[caller_group_weights]\nnorth = 0\n", BalancerNodeSettings)
    assert settings.name == "balancer-1"


def test_what_cannot_be_read_is_still_an_error(read, tmp_path):
    with pytest.raises(InvalidSettings):
        read("name = ")
    with pytest.raises(InvalidSettings):
        read_settings(str(tmp_path / "none.toml"), AgentNodeSettings)
    (tmp_path / "node.toml").write_bytes(b"name = '\xff'")
    with pytest.raises(InvalidSettings):
        read_settings(str(tmp_path / "node.toml"), AgentNodeSettings)
