"""Retries and exit codes when replicas are unreachable, overloaded, stale, or refuse."""

import json
import socket

import pytest

CHANGE = {"change_id": "c1", "outcome": "accepted", "revision": 7, "subject_revision": 6}
STATUS = {
    "replica_id": 1,
    "leader_id": 1,
    "term": 2,
    "commit_index": 9,
    "applied_index": 9,
    "revision": 7,
    "quorum_age_ms": 12,
    "balancers": 3,
    "balancers_in_force": 3,
    "agents": 10,
    "agents_in_force": 9,
    "laggards": ["urednik-3"],
    "services": [],
}


@pytest.fixture
def closed_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "{}:{}".format(*probe.getsockname())


def drain(*flags):
    return ("host", "drain", "h1", "--change-id", "c1", "--timeout", "1", *flags)


def test_the_next_replica_is_tried_when_one_is_lost(run_command, start_replica, closed_address):
    replica = start_replica()
    replica.answer(STATUS)
    result = run_command("status", replicas=[closed_address, replica])
    assert result.exit_code == 0
    assert "urednik-3" in result.stdout


@pytest.mark.parametrize("kind", ["no-leader", "overloaded", "stale-replica"])
def test_the_next_replica_is_tried_on_503(run_command, start_replica, kind):
    first, second = start_replica(), start_replica()
    first.problem(503, kind, Retry_After="1")
    second.answer(CHANGE)
    result = run_command(*drain(), replicas=[first, second])
    assert (result.exit_code, len(first.seen), len(second.seen)) == (0, 1, 1)


def test_503_everywhere_is_tried_again_then_given_up(run_command, replica):
    replica.problem(503, "no-leader")
    result = run_command(*drain("--json"), replicas=[replica])
    assert result.exit_code == 3
    assert len(replica.seen) > 1
    assert json.loads(result.stdout)["kind"] == "control-unreachable"
    assert f"{replica.address}: why" in result.stderr


def test_a_retry_after_beyond_the_time_is_not_waited_for(run_command, replica):
    replica.problem(503, "no-leader", Retry_After="60")
    assert run_command(*drain(), replicas=[replica]).exit_code == 3
    assert len(replica.seen) == 1


UNCERTAIN = [
    ("connection cut", lambda replica: replica.cut()),
    ("504", lambda replica: replica.problem(504, "outcome-unknown")),
    ("500", lambda replica: replica.answer(b"oops", status=500)),
]


@pytest.mark.parametrize("fail", [row[1] for row in UNCERTAIN], ids=[row[0] for row in UNCERTAIN])
def test_a_lost_answer_is_resent_with_the_same_change_id(run_command, replica, fail):
    fail(replica)
    replica.answer(CHANGE)
    result = run_command("host", "drain", "h1", replicas=[replica])
    assert result.exit_code == 0
    first, second = (seen.headers["Idempotency-Key"] for seen in replica.seen)
    assert first == second
    assert f"change ID: {first}" in result.stderr


@pytest.mark.parametrize("fail", [row[1] for row in UNCERTAIN], ids=[row[0] for row in UNCERTAIN])
def test_an_answer_lost_for_good_is_an_unknown_outcome(run_command, replica, fail):
    fail(replica)
    result = run_command(*drain(), replicas=[replica])
    assert result.exit_code == 4
    assert "resend it with --change-id c1" in result.stderr


def test_an_earlier_lost_answer_outweighs_a_later_refused_connection(run_command, replica):
    replica.cut()
    replica.problem(503, "no-leader", Retry_After="60")
    assert run_command(*drain(), replicas=[replica]).exit_code == 4


def test_a_change_of_replicas_is_never_sent_twice_once_it_may_have_arrived(
    run_command, start_replica
):
    first, second = start_replica(), start_replica()
    first.cut()
    second.answer({"outcome": "accepted", "index": 4})
    result = run_command("member", "remove", "2", replicas=[first, second])
    assert (result.exit_code, len(second.seen)) == (4, 0)


def test_a_change_of_replicas_goes_on_to_the_next_on_503(run_command, start_replica):
    first, second = start_replica(), start_replica()
    first.problem(503, "no-leader")
    second.answer({"outcome": "accepted", "index": 4})
    assert run_command("member", "remove", "2", replicas=[first, second]).exit_code == 0


@pytest.mark.parametrize(
    ("status", "kind"),
    [(412, "revision-mismatch"), (409, "conflict"), (404, "unknown-host"), (422, "invalid-values")],
)
def test_a_refusal_is_final(run_command, start_replica, status, kind):
    first, second = start_replica(), start_replica()
    first.problem(status, kind)
    result = run_command(*drain("--json"), replicas=[first, second])
    failure = json.loads(result.stdout)
    assert (result.exit_code, failure["exit_code"], failure["kind"]) == (1, 1, kind)
    assert failure["context"]["detail"] == "why"
    assert second.seen == []
    assert f"error: {kind}: why" in result.stderr


@pytest.mark.parametrize(("command", "exit_code"), [(("status",), 3), (drain(), 4)])
def test_an_answer_of_another_shape_is_no_answer(run_command, replica, command, exit_code):
    replica.answer({"unexpected": True})
    assert run_command(*command, replicas=[replica]).exit_code == exit_code
