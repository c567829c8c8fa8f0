"""The real programs as processes on loopback: a configuration is sent, a flow is served.

Three control replicas, one balancer and one agent are started as the platform starts them. The
test plays the operator, the fabric, the host and the caller.
"""

import json
import os
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

import pytest
from datagram_codec import PlatformCodec

from jasperwalk_lab.ports import common_ports

ROOT = Path(__file__).resolve().parents[2]
WAIT_LIMIT_SECONDS = 60.0
"""Bound of every wait; nothing is asserted about how long things take."""
CODEC = PlatformCodec()
CONTROL_HOSTS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
FIRST_REFUSED_PORT = 41000
POLL_SECONDS = 0.1
BALANCER_HOST, AGENT_HOST, CALLER_HOST = "127.0.2.1", "127.0.3.1", "127.0.4.1"
HOSTS = (*CONTROL_HOSTS, BALANCER_HOST, AGENT_HOST, CALLER_HOST)
SYN, ACK = 4, 16


def packet(source, target, flags, data=b""):
    head = bytearray(32)
    head[0:4], head[4:6] = socket.inet_aton(source[0]), source[1].to_bytes(2, "big")
    head[6:8], head[8:12] = target[1].to_bytes(2, "big"), socket.inet_aton(target[0])
    head[28] = flags
    head[30:32] = len(data).to_bytes(2, "big")
    return bytes(head) + data


class Fleet:
    """The started programs; they are ended by process ID."""

    def __init__(self, folder):
        self.folder = folder
        names = ("replica", "operators", "frames", "ready", "calls", "outbound", "app", "ingress")
        self.ports = common_ports(names, HOSTS)
        self.processes = []

    def start(self, role, name, **settings):
        path = self.folder / f"{name}.toml"
        seeds = [f"{host}:{self.ports['operators']}" for host in CONTROL_HOSTS]
        settings = {"name": name, "zone": "a", "seeds": seeds, **settings}
        lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
        path.write_text("\n".join(lines) + "\n")
        log = (self.folder / f"{name}.log").open("wb")
        environment = {"PATH": os.environ["PATH"], "JASPERWALK_NODE_FILE": str(path)}
        command = [sys.executable, "platform/run.py", role]
        process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start_all(self):
        ports = self.ports
        for number, host in enumerate(CONTROL_HOSTS):
            self.start(
                "control",
                f"control-{number}",
                data_folder=str(self.folder / f"data-{number}"),
                operators_listen=f"{host}:{ports['operators']}",
                replica_listen=f"{host}:{ports['replica']}",
                founding=True,
            )
        self.start(
            "balancer",
            "balancer",
            callers_listen=f"{BALANCER_HOST}:{ports['ingress']}",
            readiness_listen=f"{BALANCER_HOST}:{ports['ready']}",
            frames_listen=f"{BALANCER_HOST}:{ports['frames']}",
            replica_port=ports["replica"],
        )
        self.start(
            "agent",
            "agent",
            service="web",
            host=f"{AGENT_HOST}:{ports['app']}",
            frames_listen=f"{AGENT_HOST}:{ports['frames']}",
            host_packets_listen=f"{AGENT_HOST}:{ports['outbound']}",
            host_calls_listen=f"{AGENT_HOST}:{ports['calls']}",
            readiness_listen=f"{AGENT_HOST}:{ports['ready']}",
            callers_port=ports["ingress"],
            replica_port=ports["replica"],
        )

    def call(self, method, host, port, path, body=None):
        """Make one HTTP call and follow redirects; return status and body, status 0 without one."""
        url = f"http://{host}:{self.ports[port]}{path}"
        for _ in range(3):
            request = urllib.request.Request(url, data=body, method=method)
            try:
                with urllib.request.urlopen(request, timeout=5) as response:
                    return response.status, response.read()
            except urllib.error.HTTPError as error:
                if error.code != 307:
                    return error.code, error.read()
                url = error.headers["Location"]
            except OSError:
                return 0, b""
        return 0, b""

    def until(self, *call):
        """Repeat a call until it returns 200; return its body."""
        deadline = time.monotonic() + WAIT_LIMIT_SECONDS
        while time.monotonic() < deadline:
            status, body = self.call(*call)
            if status == 200:
                return body
            time.sleep(0.05)
        raise AssertionError(f"{call} did not succeed; logs in {self.folder}")

    def end(self):
        for process in self.processes:
            process.terminate()
        statuses = [process.wait(timeout=WAIT_LIMIT_SECONDS) for process in self.processes]
        self.processes.clear()
        return statuses


@pytest.fixture
def fleet(tmp_path):
    made = Fleet(tmp_path)
    try:
        made.start_all()
        yield made
    finally:
        for process in made.processes:
            process.kill()
            process.wait()


def bound(host, port):
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.bind((host, port))
    made.settimeout(WAIT_LIMIT_SECONDS)
    return made


def assert_flows_are_reset_soon(fabric, client, host, listener, ingress):
    """Open flows until one is reset: an order is in force shortly after it is acknowledged.

    Each attempt is another flow, because copies of an admitted opening packet belong to its flow.
    At the end each opening packet has either been answered by its own reset or reached the host.
    """
    openings = {}
    for attempt in range(int(WAIT_LIMIT_SECONDS / POLL_SECONDS)):
        opening = packet((CALLER_HOST, FIRST_REFUSED_PORT + attempt), listener, SYN)
        openings[CODEC.reset_for(opening)] = opening
        fabric.sendto(opening, ingress)
        reset = received_soon(client)
        if reset is not None:
            break
    del openings[reset]
    deadline = time.monotonic() + WAIT_LIMIT_SECONDS
    while openings and time.monotonic() < deadline:
        reset, admitted = received_soon(client), received_soon(host)
        if reset is not None:
            del openings[reset]
        if admitted is not None:
            del openings[CODEC.reset_for(admitted)]
    assert openings == {}


def received_soon(receiver):
    """Return the next datagram, None where none comes within `POLL_SECONDS`."""
    receiver.settimeout(POLL_SECONDS)
    try:
        return receiver.recv(2048)
    except TimeoutError:
        return None
    finally:
        receiver.settimeout(WAIT_LIMIT_SECONDS)


def heartbeat(fleet, state, number):
    return json.dumps(
        {
            "service": "web",
            "address": f"{AGENT_HOST}:{fleet.ports['app']}",
            "capacity": 4,
            "state": state,
            "coldLeftMs": 0,
            "callSeq": number,
        }
    ).encode()


def test_a_flow_is_served_and_a_draining_host_gets_no_more(fleet):
    listener = ("198.18.0.1", 443)
    body = json.dumps(
        {
            "version": 3,
            "routes": [
                {
                    "name": "r",
                    "host": listener[0],
                    "pathPrefix": f"/{listener[1]}/",
                    "timeoutMs": 1000,
                    "service": "web",
                }
            ],
            "services": [{"name": "web"}],
        }
    ).encode()
    fleet.until("PUT", CONTROL_HOSTS[0], "operators", "/config", body)
    assert fleet.until("GET", CONTROL_HOSTS[1], "operators", "/config") == body
    assert fleet.call("PUT", CONTROL_HOSTS[2], "operators", "/config", b"{")[0] == 400
    fleet.until("PUT", AGENT_HOST, "calls", "/instances/h1", heartbeat(fleet, "ready", 1))
    fleet.until("GET", BALANCER_HOST, "ready", "/readiness")

    ports = fleet.ports
    caller = (CALLER_HOST, 40001)
    ingress = (BALANCER_HOST, ports["ingress"])
    with (
        bound(AGENT_HOST, ports["app"]) as host,
        bound(CALLER_HOST, ports["ingress"]) as client,
        bound(CALLER_HOST, 0) as fabric,
    ):
        opening = packet(caller, listener, SYN)
        fabric.sendto(opening, ingress)
        assert host.recv(2048) == opening
        answer = packet(listener, caller, SYN | ACK)
        host.sendto(answer, (AGENT_HOST, ports["outbound"]))
        assert client.recv(2048) == answer
        request = packet(caller, listener, ACK, b"request")
        fabric.sendto(request, ingress)
        assert host.recv(2048) == request

        evacuation = ("operators", "/evacuations/a")
        fleet.until("POST", CONTROL_HOSTS[1], *evacuation)
        assert_flows_are_reset_soon(fabric, client, host, listener, ingress)
        assert fleet.call("POST", CONTROL_HOSTS[0], "operators", "/evacuations/elsewhere")[0] == 404
        fleet.until("DELETE", CONTROL_HOSTS[2], *evacuation)
        fleet.until("POST", CONTROL_HOSTS[0], *evacuation)
        fleet.until("DELETE", CONTROL_HOSTS[0], *evacuation)

        fleet.until("PUT", AGENT_HOST, "calls", "/instances/h1", heartbeat(fleet, "draining", 2))
        other = (CALLER_HOST, 40002)
        refused = packet(other, listener, SYN)
        fabric.sendto(refused, ingress)
        assert client.recv(2048) == CODEC.reset_for(refused)
        again = packet(caller, listener, ACK, b"again")
        fabric.sendto(again, ingress)
        assert host.recv(2048) == again
    assert fleet.end() == [0] * 5
