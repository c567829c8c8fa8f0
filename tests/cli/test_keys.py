"""`jasperwalk keys init`, and the files for https; the API's side is tested with control."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from jasperwalk.cli.main import main
from jasperwalk.transport.identity import Identity, ProcessRole
from jasperwalk.transport.tls import LinkTls, TlsFiles


def init(folder, *options):
    arguments = ["keys", "init", "--data", str(folder), "--cluster", "zagreb", "--json", *options]
    result = CliRunner().invoke(main, arguments)
    return result.exit_code, json.loads(result.stdout)


def test_every_process_gets_a_certificate_that_it_can_use(tmp_path):
    folder = tmp_path / "keys"
    names = {role: f"{role}-1" for role in ("control", "balancer", "agent", "operator")}
    code, made = init(folder, *(part for role in names for part in (f"--{role}", names[role])))
    assert code == 0
    assert [each["made"] for each in made["certificates"]] == [True] * 4
    for view, (role, name) in zip(made["certificates"], names.items(), strict=True):
        identity = Identity("zagreb", ProcessRole(role), name)
        files = TlsFiles(
            Path(made["ca_file"]), Path(view["certificate_file"]), Path(view["private_key_file"])
        )
        assert LinkTls(files, identity).expires_at.isoformat() == view["expires_at"]
    private = [folder, *folder.glob("*.key")]
    assert len(private) == 6
    assert all(path.stat().st_mode & 0o077 == 0 for path in private)


def test_a_second_run_keeps_what_is_not_to_be_renewed(tmp_path):
    init(tmp_path, "--agent", "a")
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    _, kept = init(tmp_path, "--agent", "a", "--agent", "b")
    assert [each["made"] for each in kept["certificates"]] == [False, True]
    after = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    assert {name: after[name] for name in before} == before
    init(tmp_path, "--agent", "a", "--renew")
    changed = {name for name in after if (tmp_path / name).read_bytes() != after[name]}
    assert changed == {"agent-a.pem", "agent-a.key"}


@pytest.mark.parametrize("missing", ["ca.pem", "ca.key"])
def test_an_incomplete_authority_is_not_replaced(tmp_path, missing):
    init(tmp_path)
    (tmp_path / missing).unlink()
    code, failure = init(tmp_path, "--agent", "a")
    assert (code, failure["kind"]) == (2, "invalid-input")
    assert not (tmp_path / missing).exists()


@pytest.mark.parametrize("name", ["", "a/b", "../a", "a b", "-a", "a" * 64])
def test_names_that_no_process_may_have_are_refused(tmp_path, name):
    assert init(tmp_path, f"--agent={name}")[0] == 2
    assert not list(tmp_path.glob("agent*"))


def flags_of(files):
    return {
        "--ca-file": files.ca_file,
        "--certificate": files.certificate_file,
        "--key": files.private_key_file,
    }


def status(flags):
    words = [word for flag, path in flags.items() for word in (flag, str(path))]
    arguments = ["status", "--api", "127.0.0.1:1", "--timeout", "0.1", "--json", *words]
    result = CliRunner().invoke(main, arguments)
    return json.loads(result.stdout)["kind"]


def test_https_takes_three_files_that_fit(certificates):
    flags = flags_of(certificates.tls("operator", "ana")._files)
    assert status(flags) == "control-unreachable"
    for flag in flags:
        assert status({other: flags[other] for other in flags if other != flag}) == "invalid-input"
        assert status({**flags, flag: certificates.folder / "missing"}) == "invalid-input"
    foreign_key = certificates.tls("operator", "eva")._files.private_key_file
    assert status({**flags, "--key": foreign_key}) == "invalid-input"


def test_an_expired_certificate_is_named_before_anything_is_sent(certificates):
    expired = certificates.tls("operator", "ana", lifetime=-certificates.HOUR)
    assert status(flags_of(expired._files)) == "invalid-input"
