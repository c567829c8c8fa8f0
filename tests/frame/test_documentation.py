"""The documentation covers every setting, command, exit code, problem, operation and reason."""

from pathlib import Path

import click
import pytest

from jasperwalk.agent.requests import NotRunReason, UnknownReason
from jasperwalk.cli.exit_codes import ExitCode
from jasperwalk.cli.main import main
from jasperwalk.control.openapi import OPERATIONS
from jasperwalk.control.problem import STATUS_BY_KIND
from jasperwalk.settings import AgentSettings, BalancerSettings, ControlSettings
from jasperwalk.settings.models import TlsSettings

DOCUMENTS = Path(__file__).parents[2] / "docs"
OPERATING = (DOCUMENTS / "OPERATIONS.md").read_text(encoding="utf-8")
INTERFACES = (DOCUMENTS / "INTERFACES.md").read_text(encoding="utf-8")

FIELDS = sorted(
    {
        (name, "(must be given)" if field.is_required() else str(field.default), field.description)
        for model in (ControlSettings, BalancerSettings, AgentSettings)
        for name, field in model.model_fields.items()
    }
)
TLS_FIELDS = [
    (f"tls.{name}", "(must be given)" if field.is_required() else "true", field.description)
    for name, field in TlsSettings.model_fields.items()
]
SHOWN_DEFAULTS = {
    "None": "none",
    "False": "false",
    "True": "true",
    "[IPv4Network('127.0.0.0/8')]": "127.0.0.0/8",
}


ROWS = [*FIELDS, *TLS_FIELDS]


@pytest.mark.parametrize(("name", "default", "description"), ROWS, ids=[row[0] for row in ROWS])
def test_every_setting_has_its_row(name, default, description):
    assert f"| `{name}` | {SHOWN_DEFAULTS.get(default, default)} | {description} |" in OPERATING


def command_names(group, prefix):
    for name, command in group.commands.items():
        path = f"{prefix} {name}"
        if isinstance(command, click.Group):
            yield from command_names(command, path)
        else:
            yield path


@pytest.mark.parametrize("path", list(command_names(main, "jasperwalk")))
def test_every_command_has_its_row_and_an_example(path):
    assert f"| `{path}" in OPERATING
    command = main
    for word in path.split()[1:]:
        command = command.commands[word]
    assert any(example.startswith(path) for example in command.examples)


@pytest.mark.parametrize("code", list(ExitCode), ids=lambda code: code.name)
def test_every_exit_code_has_its_row(code):
    assert f"| {code.value} | " in OPERATING


@pytest.mark.parametrize("kind", sorted(STATUS_BY_KIND))
def test_every_problem_of_control_stands_beside_its_status(kind):
    (row,) = [
        line for line in INTERFACES.splitlines() if f"`{kind}`" in line and line[2:5].isdigit()
    ]
    assert row.startswith(f"| {STATUS_BY_KIND[kind].value}")


@pytest.mark.parametrize("operation", OPERATIONS, ids=lambda operation: operation.operation_id)
def test_every_operation_of_control_is_listed(operation):
    assert f"`{operation.method} {operation.path}`" in INTERFACES


SENT_REASONS = sorted({*NotRunReason, *UnknownReason})


@pytest.mark.parametrize("reason", SENT_REASONS)
def test_every_reason_of_an_agent_is_listed(reason):
    assert f"`{reason}`" in INTERFACES
