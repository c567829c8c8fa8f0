import json

import pytest
from click.testing import CliRunner

from jasperwalk.cli.main import main

FLOW = "100.64.0.7:40001>198.18.0.1:443"
OTHER = "100.64.0.8:1>198.18.0.1:443"


def line(second, name, event, **fields):
    process = name.partition("-")[0]
    head = f"timestamp=2026-12-02T10:00:{second:06.3f}Z level=info process={process} name={name}"
    return " ".join([head, f"event={event}", *(f"{key}={value}" for key, value in fields.items())])


BALANCER_LOG = [
    line(1, "balancer-1", "routes-in-force", version=6),
    line(2, "balancer-1", "routes-in-force", version=7),
    line(3, "balancer-1", "agent-changed", agent="agent-2", phase="ready"),
    line(3.5, "balancer-1", "agent-changed", agent="agent-9", phase="ready"),
    line(4, "balancer-1", "flow-refused", flow=FLOW, agent="agent-1", reason="full"),
    line(4.002, "balancer-1", "flow-opened", flow=FLOW, agent="agent-2", tries=2),
    line(5, "balancer-1", "routes-in-force", version=8),
    line(5, "balancer-1", "flow-opened", flow=OTHER, agent="agent-2", tries=1),
    "a library's line without keys",
]
AGENT_LOG = [
    line(4.001, "agent-2", "flow-admitted", flow=FLOW, busy=3),
    line(0.5, "agent-2", "host-announced", host="h1", phase="ready"),
]


@pytest.fixture
def logs(tmp_path):
    paths = [tmp_path / "balancer.log", tmp_path / "agent.log"]
    for path, lines in zip(paths, (BALANCER_LOG, AGENT_LOG), strict=True):
        path.write_text("\n".join(lines) + "\n")
    return [str(path) for path in paths]


def test_the_lines_of_one_flow_are_in_order_of_time(logs):
    result = CliRunner().invoke(main, ["explain", FLOW, *logs, "--json"])
    story = json.loads(result.output)
    assert [each["event"] for each in story["lines"]] == [
        "flow-refused",
        "flow-admitted",
        "flow-opened",
    ]


def test_the_last_state_before_it_that_concerns_the_flow(logs):
    result = CliRunner().invoke(main, ["explain", FLOW, *logs, "--json"])
    beliefs = json.loads(result.output)["beliefs"]
    assert [(each["name"], each["event"]) for each in beliefs] == [
        ("agent-2", "host-announced"),
        ("balancer-1", "routes-in-force"),
        ("balancer-1", "agent-changed"),
    ]
    assert beliefs[1]["fields"] == {"version": "7"}


def test_text_output(logs):
    result = CliRunner().invoke(main, ["explain", FLOW, *logs])
    assert result.exit_code == 0
    assert "reason=full" in result.output
    assert OTHER not in result.output


def test_a_flow_that_no_line_names(logs):
    result = CliRunner().invoke(main, ["explain", "1.2.3.4:5>6.7.8.9:10", *logs])
    assert result.exit_code == 1
    assert "no line names the flow" in result.output


def test_a_log_with_a_value_in_quotes(tmp_path):
    path = tmp_path / "a.log"
    path.write_text(line(1, "agent-2", "flow-reset", flow=FLOW, detail='"two words"') + "\n")
    result = CliRunner().invoke(main, ["explain", FLOW, str(path), "--json"])
    assert json.loads(result.output)["lines"][0]["fields"]["detail"] == "two words"
