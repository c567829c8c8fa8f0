"""`jasperwalk zone` against real control replicas."""

import asyncio
import contextlib
import json
import threading

import pytest
import structlog
from click.testing import CliRunner

from jasperwalk.cli.main import main
from tests.control.fleet.support import Cluster, until


@pytest.fixture
def replicas(tmp_path):
    """Run three replicas on an event loop in a thread; return their end points."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    cluster = Cluster(tmp_path, 3)

    async def found():
        await cluster.__aenter__()
        await until(lambda: all(each.fleet_replica.is_current() for each in cluster.replicas))

    asyncio.run_coroutine_threadsafe(found(), loop).result()
    try:
        # The replicas run in this process, and their log lines would go to the command's output.
        with structlog.testing.capture_logs():
            yield [f"{each.host}:{cluster.replica_port}" for each in cluster.replicas]
    finally:
        with contextlib.suppress(Exception):
            asyncio.run_coroutine_threadsafe(cluster.__aexit__(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


def zone(replicas, *arguments):
    flags = [flag for each in replicas for flag in ("--replica", each)]
    return CliRunner().invoke(main, ["zone", *arguments, *flags])


def test_a_zone_is_drained_listed_and_restored(replicas):
    drained = zone(replicas, "drain", "a", "--wait", "5", "--json")
    assert drained.exit_code == 0
    view = json.loads(drained.stdout)
    assert (view["zone"], view["drained"], view["revision"]) == ("a", True, 1)
    assert view["in_force"]
    listed = json.loads(zone(replicas, "list", "--json").stdout)
    assert listed["zones"] == [{"zone": "a", "drained": True}, {"zone": "b", "drained": False}]
    assert "restored" in zone(replicas, "restore", "a").stdout
    assert "no" in zone(replicas, "list").stdout


def test_a_zone_that_nobody_knows_is_refused(replicas):
    answer = zone(replicas, "drain", "elsewhere", "--json")
    assert answer.exit_code == 1
    assert json.loads(answer.stdout)["kind"] == "unknown-zone"


def test_an_unreachable_replica_is_skipped(replicas):
    assert zone(["127.0.0.99:1", *replicas], "drain", "a").exit_code == 0


def test_where_no_replica_answers_the_command_says_so():
    answer = zone(["127.0.0.99:1"], "list", "--timeout", "0.1")
    assert answer.exit_code == 3
    assert "127.0.0.99:1" in answer.output


@pytest.mark.parametrize("arguments", [("drain",), ("drain", "a", "--wait", "-1")])
def test_wrong_flags_are_usage_errors(replicas, arguments):
    assert zone(replicas, *arguments).exit_code == 2
