"""Requests and output of each operator command."""

import json

import pytest

CHANGE = {"change_id": "c1", "outcome": "accepted", "revision": 7, "subject_revision": 6}
TENANT = {"name": "t1", "revision": 5, "template": "portal", "values": {"weight": {"a": 1, "b": 2}}}
IN_FORCE = {
    "revision": 7,
    "in_force": 3,
    "balancers": 3,
    "agents_in_force": 10,
    "agents": 10,
    "laggards": [],
    "laggard_count": 0,
    "complete": True,
}
BEHIND = {
    **IN_FORCE,
    "in_force": 2,
    "laggards": ["balancer-2"],
    "laggard_count": 3,
    "complete": False,
}
UNKNOWN = {"revision": 7, "laggards": ["replica-2"], "laggard_count": 1, "complete": False}


@pytest.fixture
def files(tmp_path):
    (tmp_path / "portal.toml").write_text('name = "portal"\nversion = 1\n')
    (tmp_path / "nameless.toml").write_text("version = 1\n")
    (tmp_path / "values.toml").write_text("slots = 4\n")
    (tmp_path / "values.json").write_text('{"slots": 4}')
    (tmp_path / "change.toml").write_text(
        'change_id = "from-file"\nexpected_revision = 3\n[template]\nfile = "portal.toml"\n'
    )
    (tmp_path / "change.json").write_text(
        '{"tenant": {"name": "t1", "template": "portal", "values": {"slots": 4}}}'
    )
    (tmp_path / "tenant.toml").write_text('name = "t1"\ntemplate = "portal"\n[values]\nslots = 4\n')
    (tmp_path / "remove.toml").write_text('remove_tenant = "t1"\n')
    (tmp_path / "two.toml").write_text('remove_tenant = "t1"\n[template]\ntext = ""\n')
    (tmp_path / "typo.toml").write_text('remove_tenants = "t1"\n')
    (tmp_path / "broken.toml").write_text("name = \n")
    (tmp_path / "broken.json").write_text("{")
    return tmp_path


TENANT_BODY = {"template": "portal", "values": {"slots": 4}}
SENT = [
    ("template apply portal.toml", "PUT", "/v1/templates/portal", None),
    ("tenant set t1 --template portal --values values.toml", "PUT", "/v1/tenants/t1", TENANT_BODY),
    ("tenant set t1 --template portal --values values.json", "PUT", "/v1/tenants/t1", TENANT_BODY),
    ("tenant apply tenant.toml", "PUT", "/v1/tenants/t1", TENANT_BODY),
    ("tenant remove t1", "DELETE", "/v1/tenants/t1", None),
    ("change submit change.json", "PUT", "/v1/tenants/t1", TENANT_BODY),
    ("change submit remove.toml", "DELETE", "/v1/tenants/t1", None),
    ("host drain a/b", "POST", "/v1/hosts/a%2Fb/drain", None),
    ("host resume 10.0.0.1:9", "POST", "/v1/hosts/10.0.0.1:9/resume", None),
]


@pytest.mark.parametrize(("arguments", "method", "path", "body"), SENT)
def test_a_change_is_sent_with_its_id_and_revision(
    run_command, replica, files, monkeypatch, arguments, method, path, body
):
    monkeypatch.chdir(files)
    replica.answer(CHANGE)
    arguments = arguments.split()
    guarded = arguments[0] != "host"
    flags = ("--expect-revision", "3") if guarded else ()
    result = run_command(*arguments, "--change-id", "c1", *flags, replicas=[replica])
    assert result.exit_code == 0, result.output
    (seen,) = replica.seen
    assert (seen.method, seen.path) == (method, path)
    assert seen.headers["Idempotency-Key"] == "c1"
    assert seen.headers.get("If-Match") == ('"3"' if guarded else None)
    if body is not None:
        assert json.loads(seen.body) == body
    assert result.stdout == "accepted at table revision 7, own revision 6 (change c1)\n"


def test_a_template_is_sent_as_it_stands(run_command, replica, files):
    replica.answer(CHANGE)
    run_command("template", "apply", files / "portal.toml", replicas=[replica])
    assert replica.seen[0].body == (files / "portal.toml").read_bytes()


def test_a_document_brings_its_own_change_id_and_revision(run_command, replica, files):
    replica.answer(CHANGE)
    assert run_command("change", "submit", files / "change.toml", replicas=[replica]).exit_code == 0
    headers = replica.seen[0].headers
    assert (headers["Idempotency-Key"], headers["If-Match"]) == ("from-file", '"3"')


def test_flags_win_over_the_document(run_command, replica, files):
    replica.answer(CHANGE)
    flags = ("--change-id", "c9", "--expect-revision", "0")
    run_command("change", "submit", files / "change.toml", *flags, replicas=[replica])
    headers = replica.seen[0].headers
    assert (headers["Idempotency-Key"], headers["If-Match"]) == ("c9", '"0"')


def test_single_values_change_the_present_tenant_guarded_by_its_revision(run_command, replica):
    replica.answer(TENANT)
    replica.answer(CHANGE)
    result = run_command("tenant", "set", "t1", "--value", "weight.a=50", replicas=[replica])
    assert result.exit_code == 0
    sent = replica.seen[1]
    assert json.loads(sent.body)["values"] == {"weight": {"a": 50, "b": 2}}
    assert sent.headers["If-Match"] == '"5"'


def test_a_new_tenant_needs_a_template(run_command, replica):
    replica.problem(404, "unknown-tenant")
    result = run_command("tenant", "set", "t1", "--value", "a=1", replicas=[replica])
    assert result.exit_code == 2
    assert "give --template" in result.stderr


def test_a_resent_change_of_single_values_reports_the_first_outcome(run_command, replica):
    replica.answer(CHANGE)
    arguments = ("tenant", "set", "t1", "--value", "weight.a=50", "--change-id", "c1")
    assert run_command(*arguments, replicas=[replica]).exit_code == 0
    assert [(seen.method, seen.path) for seen in replica.seen] == [("GET", "/v1/changes/c1")]


def test_a_resent_change_that_never_arrived_is_made(run_command, replica):
    replica.problem(404, "unknown-change")
    replica.answer(TENANT)
    replica.answer(CHANGE)
    arguments = ("tenant", "set", "t1", "--value", "weight.a=50", "--change-id", "c1")
    assert run_command(*arguments, replicas=[replica]).exit_code == 0
    assert replica.seen[2].headers["Idempotency-Key"] == "c1"


BAD_INPUT = [
    "template apply none.toml",
    "template apply nameless.toml",
    "template apply broken.toml",
    "tenant apply values.toml",
    "tenant set t1",
    "tenant set t1 --template p --values broken.json",
    "tenant set t1 --template p --values values.toml --value x",
    "change submit two.toml",
    "change submit typo.toml",
    "member add 4 localhost:1",
    "member add 0 127.0.0.1:1",
]


@pytest.mark.parametrize("arguments", BAD_INPUT)
def test_bad_input_ends_with_2_and_nothing_is_sent(
    run_command, replica, files, monkeypatch, arguments
):
    monkeypatch.chdir(files)
    replica.answer(CHANGE)
    result = run_command(*arguments.split(), replicas=[replica])
    assert (result.exit_code, replica.seen) == (2, [])
    assert "rror: " in result.stderr


def test_no_api_address_is_a_usage_error(run_command):
    assert run_command("status").exit_code == 2


def test_wait_asks_until_it_is_in_force(run_command, replica):
    replica.answer(BEHIND)
    replica.answer(IN_FORCE)
    result = run_command("change", "wait", "c1", "--for", "8", replicas=[replica])
    assert result.exit_code == 0
    assert "3 of 3 balancers, 10 of 10 agents" in result.stdout
    assert [seen.query["wait_ms"] for seen in replica.seen] == ["5000", "3000"]


def test_counts_that_are_not_known_are_not_shown_as_numbers(run_command, replica):
    replica.answer(CHANGE)
    replica.answer(UNKNOWN)
    result = run_command("host", "drain", "h1", "--wait", "0", replicas=[replica])
    assert "an unknown number of balancers" in result.stderr
    assert "None" not in result.stderr


@pytest.mark.parametrize("as_json", [False, True])
def test_not_in_force_in_time_names_the_laggards(run_command, replica, as_json):
    replica.answer(CHANGE)
    replica.answer(BEHIND)
    flags = ("--wait", "0", *(("--json",) if as_json else ()))
    result = run_command("tenant", "remove", "t1", "--change-id", "c1", *flags, replicas=[replica])
    assert result.exit_code == 5
    assert "behind: balancer-2" in result.stderr
    if as_json:
        assert json.loads(result.stdout)["context"]["laggards"] == ["balancer-2"]


def test_a_change_that_is_waited_for_prints_one_json_object(run_command, replica):
    replica.answer(CHANGE)
    replica.answer(IN_FORCE)
    result = run_command("host", "drain", "h1", "--wait", "5", "--json", replicas=[replica])
    assert json.loads(result.stdout) == {**CHANGE, "in_force": IN_FORCE}


MEMBER = {
    "address": "127.0.0.1:9",
    "host": "h1",
    "zone": "z1",
    "service": "t1/urednik",
    "weight": 1,
    "slots": 4,
    "admin_state": "enabled",
    "operating_status": "online",
    "incarnation": 1,
    "healthy": None,
    "open_flows": 3,
}
REPLICA = {"replica_id": 1, "address": "portal:1", "voter": True, "leader": False}
TEMPLATE = {"name": "portal", "revision": 3, "text": "portal = 1"}
READS = [
    ("template list", {"templates": [TEMPLATE]}),
    ("template show portal", TEMPLATE),
    ("tenant list", {"tenants": [TENANT]}),
    ("tenant show t1", TENANT),
    ("change show c1", {**CHANGE, "outcome": "portal"}),
    ("host list", {"members": [{**MEMBER, "zone": "portal"}]}),
    ("member list", {"replicas": [REPLICA]}),
]


@pytest.mark.parametrize(("arguments", "document"), READS)
def test_reads_print_lines_or_the_document(run_command, replica, arguments, document):
    replica.answer(document)
    lines = run_command(*arguments.split(), replicas=[replica])
    assert (lines.exit_code, "portal" in lines.stdout) == (0, True)
    as_json = run_command(*arguments.split(), "--json", replicas=[replica])
    assert json.loads(as_json.stdout) == document


def test_a_replica_is_added_and_promoted(run_command, replica):
    replica.answer({"outcome": "accepted", "index": 12})
    added = run_command("member", "add", "4", "127.0.0.1:7000", replicas=[replica])
    promoted = run_command("member", "promote", "4", replicas=[replica])
    assert added.stdout == promoted.stdout == "accepted at log index 12\n"
    bodies = [json.loads(seen.body) for seen in replica.seen]
    assert bodies == [
        {"replica_id": 4, "address": "127.0.0.1:7000", "promote": False},
        {"replica_id": 4, "address": None, "promote": True},
    ]
