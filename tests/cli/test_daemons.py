import socket
import sys
import types

import pytest

from jasperwalk.errors import InvalidAddress

SETTINGS = """
name = "b1"
cluster_id = "c1"
zone = "z1"
listen = "127.0.0.1:0"
admin_listen = "127.0.0.1:0"
control = ["127.0.0.1:7000"]
"""


@pytest.fixture
def settings_file(tmp_path):
    path = tmp_path / "b1.toml"
    path.write_text(SETTINGS)
    return path


@pytest.fixture
def started(monkeypatch):
    """Replace the balancer's process by a fake; return the list of settings that it was given."""
    seen = []

    async def run_balancer(settings):
        seen.append(settings)
        if settings.name == "failing":
            raise InvalidAddress(text="x")

    module = types.ModuleType("jasperwalk.balancer.process")
    module.run_balancer = run_balancer
    monkeypatch.setitem(sys.modules, "jasperwalk.balancer.process", module)
    return seen


def test_flags_override_the_file(run_command, settings_file, started):
    flags = ("--set", "heartbeat_ms=250", "--zone", "z2", "--name", "12")
    assert run_command("balancer", "--settings", settings_file, *flags).exit_code == 0
    (settings,) = started
    assert (settings.heartbeat_ms, settings.zone, settings.name) == (250, "z2", "12")


def test_check_does_not_start(run_command, settings_file, started):
    result = run_command("balancer", "--settings", settings_file, "--check")
    assert (result.exit_code, started) == (0, [])
    assert "settings of balancer b1 are valid" in result.stdout


@pytest.mark.parametrize(
    ("flags", "words"),
    [
        (("--set", "colour=1"), "colour: unknown key"),
        (("--listen", "x"), "listen: 'x' is not an address"),
        (("--set", "zone"), "--set: zone: is not of the shape"),
    ],
)
def test_wrong_settings_end_with_2_and_one_line(run_command, settings_file, started, flags, words):
    result = run_command("balancer", "--settings", settings_file, *flags)
    assert (result.exit_code, started) == (2, [])
    (line,) = result.stderr.splitlines()
    assert words in line


def test_a_port_in_use_ends_with_2(run_command, settings_file, started):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
        holder.bind(("127.0.0.1", 0))
        address = "{}:{}".format(*holder.getsockname())
        result = run_command("balancer", "--settings", settings_file, "--listen", address)
    assert (result.exit_code, started) == (2, [])
    assert f"{settings_file}: listen: UDP port {address} is in use" in result.stderr


def test_a_daemon_that_fails_ends_with_1(run_command, settings_file, started):
    result = run_command("balancer", "--settings", settings_file, "--name", "failing")
    assert (result.exit_code, len(started)) == (1, 1)
    assert "event=stopped-by-failure kind=invalid-address" in result.stderr
