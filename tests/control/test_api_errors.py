"""A table of invalid requests: each is refused with its kind, and control continues to serve."""

import asyncio
import json
import re

import pytest

QUICK = {"heartbeat_interval_seconds": 0.02, "election_timeout_seconds": 0.1}
"""Short time-outs are safe with one replica, which cannot lose an election."""

TENANT = "/v1/tenants/mreza"
PROOFS = "/v1/templates/proofs"
UNKNOWN_TENANT_BODY = {"template": "nowhere", "values": {}}


def toml(text):
    return {"body": text}


def values_body(value):
    """Return a tenant whose values are refused before they enter the log."""
    return {"template": "proofs", "values": {"weight": value}}


# method, path, options of the request, status, kind
CASES = [
    ("PUT", PROOFS, toml("name = "), 422, "invalid-template"),
    ("PUT", PROOFS, toml('name = "proofs"\nsurprise = 1'), 422, "invalid-template"),
    ("PUT", PROOFS, toml(b"\xff\xfe"), 400, "bad-request"),
    ("PUT", "/v1/templates/other", "template", 400, "invalid-identifier"),
    ("PUT", PROOFS, toml("#" * 600_000), 413, "body-too-large"),
    ("PUT", TENANT, toml("{"), 400, "bad-request"),
    ("PUT", TENANT, toml("[1]"), 400, "bad-request"),
    ("PUT", TENANT, toml("[" * 100_000), 400, "bad-request"),
    ("PUT", TENANT, toml('{"template": "proofs", "values": {"a": "\\ud800"}}'), 400, "bad-request"),
    ("PUT", TENANT, {"body": values_body(2**63)}, 400, "bad-request"),
    ("PUT", TENANT, {"body": values_body(2**80)}, 400, "bad-request"),
    ("PUT", TENANT, {"body": values_body([[[[[[[[[]]]]]]]]])}, 400, "bad-request"),
    ("PUT", TENANT, {"body": {"template": 5}}, 400, "bad-request"),
    ("PUT", TENANT, {"body": {"template": "proofs", "extra": 1}}, 400, "bad-request"),
    ("PUT", TENANT, {"body": UNKNOWN_TENANT_BODY}, 404, "unknown-template"),
    ("PUT", TENANT, {"body": {"template": "proofs", "values": {}}}, 422, "invalid-values"),
    ("PUT", TENANT, {"body": UNKNOWN_TENANT_BODY, "if_match": 99}, 412, "revision-mismatch"),
    ("PUT", TENANT, {"body": UNKNOWN_TENANT_BODY, "if_match": "x"}, 400, "bad-request"),
    ("PUT", "/v1/tenants/other", "same listener", 409, "conflicting-listener"),
    ("PUT", "/v1/tenants/other", "same member", 409, "conflicting-address"),
    ("DELETE", "/v1/tenants/nobody", {}, 404, "unknown-tenant"),
    ("DELETE", TENANT, {"if_match": 1}, 412, "revision-mismatch"),
    ("DELETE", TENANT, {"change_id": "x" * 1000}, 400, "invalid-identifier"),
    ("DELETE", TENANT, {"change_id": "tenant-1"}, 409, "change-id-reused"),
    ("GET", "/v1/tenants/nobody", {}, 404, "unknown-tenant"),
    ("GET", "/v1/templates/none", {}, 404, "unknown-template"),
    ("GET", "/v1/tenants?stale=perhaps", {}, 400, "bad-request"),
    ("GET", "/v1/changes/never-sent", {}, 404, "unknown-change"),
    ("GET", "/v1/changes/never-sent/in-force", {}, 404, "unknown-change"),
    ("GET", "/v1/changes/tenant-1/in-force?wait_ms=-1", {}, 400, "bad-request"),
    ("GET", "/v1/changes/tenant-1/in-force?wait_ms=99999999", {}, 400, "bad-request"),
    ("POST", "/v1/hosts/nobody/drain", {}, 404, "unknown-host"),
    ("POST", "/v1/replicas", {"body": {"replica_id": 2}}, 400, "bad-request"),
    ("POST", "/v1/replicas", {"body": {"replica_id": 2, "address": "x"}}, 400, "invalid-address"),
    (
        "POST",
        "/v1/replicas",
        {"body": {"replica_id": 1, "address": "127.0.0.1:1"}},
        409,
        "membership-refused",
    ),
    ("DELETE", "/v1/replicas/1", {}, 409, "membership-refused"),
    ("DELETE", "/v1/replicas/one", {}, 400, "bad-request"),
    ("GET", "/v1/nothing", {}, 404, "unknown-path"),
    ("PATCH", TENANT, {}, 405, "method-not-allowed"),
    ("POST", "/v1/status", {}, 405, "method-not-allowed"),
]


@pytest.fixture
def options_of(new_tenant, template_text):
    """Resolve a request's options; those that need valid bodies are given by name."""
    named = {
        "template": {"body": template_text},
        "same listener": {"body": new_tenant(first_member=7500)},
        "same member": {"body": new_tenant(port=9001)},
    }
    return lambda options: named[options] if isinstance(options, str) else options


def test_refusals(cluster, run, options_of, template_text, new_tenant):
    async def scenario():
        async with cluster(size=1, **QUICK) as one:
            await one.accept("PUT", PROOFS, body=template_text)
            await one.accept("PUT", TENANT, change_id="tenant-1", body=new_tenant())
            before = (await one.call("GET", "/v1/tenants")).body
            wrong = []
            for method, path, options, status, kind in CASES:
                answer = await one.call(method, path, **options_of(options))
                found = (answer.status, answer.body["kind"], answer.headers["Content-Type"])
                if found != (status, kind, "application/problem+json"):
                    wrong.append((method, path, str(options)[:60], found, answer.body))
            assert not wrong, json.dumps(wrong, indent=1)
            assert (await one.call("GET", "/v1/tenants")).body == before
            assert (await one.call("GET", "/healthz")).status == 200
            assert b"jasperwalk_control_raft_term" in (await one.call("GET", "/metrics")).body

    run(scenario())


def test_conflict_names_both_tenants(cluster, run, new_tenant):
    async def scenario():
        async with cluster(size=1, **QUICK) as one:
            await one.configure()
            answer = await one.call("PUT", "/v1/tenants/other", body=new_tenant(first_member=7500))
            assert {"mreza", "other"} <= set(answer.body["context"].values())

    run(scenario())


def test_etag_answers_and_resend(cluster, run, new_tenant):
    async def scenario():
        async with cluster(size=1, **QUICK) as one:
            await one.configure()
            shown = await one.call("GET", TENANT)
            revision = shown.body["revision"]
            assert shown.headers["ETag"] == f'"{revision}"'
            change = {"change_id": "c", "if_match": revision, "body": new_tenant(weight=50)}
            first = await one.accept("PUT", TENANT, **change)
            assert first.headers["ETag"] == f'"{first.body["subject_revision"]}"'
            # Without its change ID the same request would now be a revision mismatch.
            assert (await one.accept("PUT", TENANT, **change)).body == first.body
            assert (await one.call("GET", "/v1/changes/c")).body == first.body

    run(scenario())


# Bytes that are not UTF-8 where text is expected; aiohttp's client would not send them.
RAW_CASES = [
    (b"DELETE /v1/tenants/mreza", b"Idempotency-Key: a\xff", b"400", b"bad-request"),
    (b"DELETE /v1/tenants/mreza", b"If-Match: \xff", b"400", b"bad-request"),
    (b"GET /v1/changes/%ff", b"Accept: */*", b"404", b"unknown-change"),
    (b"GET /v1/changes/%ed%a0%80", b"Accept: */*", b"404", b"unknown-change"),
    (b"GET /v1/tenants/%ff", b"Accept: */*", b"404", b"unknown-tenant"),
    (b"DELETE /v1/tenants/%ff", b"Accept: */*", b"404", b"unknown-tenant"),
    (b"POST /v1/hosts/%ff/drain", b"Accept: */*", b"404", b"unknown-host"),
]


def test_bytes_that_are_no_text_are_refused(cluster, run):
    async def scenario():
        async with cluster(size=1, **QUICK) as one:
            await one.configure()
            found = [await send_raw(one, line, header) for line, header, _, _ in RAW_CASES]
            wanted = [(status, kind) for _, _, status, kind in RAW_CASES]
            assert found == wanted

    async def send_raw(one, line, header):
        endpoint = one.processes[1].api_endpoint
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        request = line + b" HTTP/1.1\r\nHost: control\r\nConnection: close\r\n" + header
        writer.write(request + b"\r\n\r\n")
        answer = await reader.read()
        writer.close()
        kind = re.search(rb'"kind":"([a-z-]+)"', answer)
        return answer.split(b" ", 2)[1], kind and kind.group(1)

    run(scenario())
