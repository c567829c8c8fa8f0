"""A process binds its sockets before it imports the modules that make its start-up slow.

Packets that arrive during the start then wait in the kernel instead of being lost.
"""

import subprocess
import sys
from pathlib import Path

import pytest

PLATFORM = Path(__file__).resolve().parents[2] / "platform"
START_LIMIT_SECONDS = 60

PROBE = """
import os, sys

def watch(event, arguments):
    if event == "socket.bind":
        loaded = [name for name in ("asyncio", "structlog", "uvloop") if name in sys.modules]
        print("bound", *loaded, flush=True)
        os._exit(0)

sys.addaudithook(watch)
sys.argv = ["run.py", "ROLE"]
sys.path.insert(0, "PLATFORM")
import run
run.main()
"""

BALANCER = """
name = "b-1"
zone = "a"
callers_listen = "127.0.0.1:0"
readiness_listen = "127.0.0.1:0"
frames_listen = "127.0.0.1:0"
replica_port = 1
seeds = []
"""

AGENT = """
name = "a-1"
zone = "a"
service = "s"
host = "127.0.0.1:1"
frames_listen = "127.0.0.1:0"
host_packets_listen = "127.0.0.1:0"
host_calls_listen = "127.0.0.1:0"
readiness_listen = "127.0.0.1:0"
replica_port = 1
seeds = []
"""


@pytest.mark.parametrize(("role", "settings"), [("balancer", BALANCER), ("agent", AGENT)])
def test_the_first_socket_is_bound_before_the_event_loop_and_the_logs_are_loaded(
    role, settings, tmp_path
):
    path = tmp_path / "node.toml"
    path.write_text(settings)
    program = PROBE.replace("ROLE", role).replace("PLATFORM", str(PLATFORM))
    ended = subprocess.run(
        [sys.executable, "-c", program],
        env={"JASPERWALK_NODE_FILE": str(path)},
        capture_output=True,
        text=True,
        timeout=START_LIMIT_SECONDS,
        check=False,
    )
    assert ended.stdout == "bound\n", ended.stderr


def test_packets_that_come_before_a_socket_is_read_are_kept(tmp_path):
    from jasperwalk.fleet.bound_sockets import bind_datagrams

    early = bind_datagrams("127.0.0.1:0")
    sender = bind_datagrams("127.0.0.1:0")
    for number in range(100):
        sender.sendto(bytes([number]), early.getsockname())
    received = [early.recv(16) for _ in range(100)]
    early.close()
    sender.close()
    assert received == [bytes([number]) for number in range(100)]
