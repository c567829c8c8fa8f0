"""Small stand-ins for the scripts of the review; only the standard library.

A `Lab` starts the project's programs with the commands of `deploy/system.toml`, on loopback
addresses of its own and with settings that have the keys of the templates in `platform/`. It
writes what was sent, answered and run to `record.txt` beside the script, and ends all processes.
"""

from __future__ import annotations

import http.client
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
PORT_NAMES = ("replica", "control", "datagram", "ready", "frames", "outbound", "app")
BLOCKS = range(130, 250)
"""Second octets of the loopback addresses that a run may use."""
STOP_SECONDS = 3.0


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Lab:
    """The processes of one run, as a context; `record` adds a line to the record."""

    def __init__(self, record_path: Path) -> None:
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        for role in self._roles:
            if not list((ROOT / "target").glob(f"{role}.*")):
                raise CannotRun("target/ is not built")
        self._started_at = time.monotonic()
        self._record = open(record_path, "w", encoding="utf-8")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._claim: socket.socket | None = None
        self.block = self._claim_block()
        self.ports = self._free_ports()

    def __enter__(self) -> Lab:
        # A run that is stopped from outside must end its processes too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        return self

    def __exit__(self, *_failure: object) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if self._claim is not None:
            self._claim.close()
        self._record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Addresses

    def _claim_block(self) -> int:
        for block in random.SystemRandom().sample(BLOCKS, len(BLOCKS)):
            claim = socket.socket()
            try:
                claim.bind((f"127.{block}.254.254", 47_012))
            except OSError:
                claim.close()
                continue
            self._claim = claim
            return block
        raise CannotRun("no free block of loopback addresses")

    def _free_ports(self) -> dict[str, int]:
        """Return ports that are free at a wildcard address now, one for each name."""
        ports: dict[str, int] = {}
        held = []
        for name in PORT_NAMES:
            probe = socket.socket()
            probe.bind((f"127.{self.block}.254.253", 0))
            held.append(probe)
            ports[name] = probe.getsockname()[1]
        for probe in held:
            probe.close()
        return ports

    def address(self, group: int, number: int) -> str:
        """Return the loopback address of a machine."""
        return f"127.{self.block}.{group}.{number}"

    def at(self, host: str, port: str) -> str:
        """Return an end point as text."""
        return f"{host}:{self.ports[port]}"

    # Records and processes

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self._started_at

    def record(self, text: str) -> None:
        """Write one line with the time."""
        line = f"{self.now():8.3f} {text}"
        self._record.write(line + "\n")
        self._record.flush()

    def start(self, role: str, name: str, settings: dict[str, object]) -> None:
        """Start a process of a role with these settings."""
        path = self.folder / f"{name}.toml"
        path.write_text(_toml(settings), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": "target/deps",
            "JASPERWALK_NODE_FILE": str(path),
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                self._roles[role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"start {name}")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        self.record(f"{number.name} {name}")
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it is gone."""
        self.send_signal(name, signal.SIGKILL)
        self._processes[name].wait()

    def ended(self) -> list[str]:
        """Return the processes that have ended by themselves or were killed."""
        return [name for name, each in self._processes.items() if each.poll() is not None]

    def log_text(self, name: str) -> str:
        """Return what a process has printed."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    # Settings, as the templates in `platform/` give them

    def control_settings(
        self, name: str, host: str, zone: str, seeds: list[str], bootstrap: bool, zones: list[str]
    ) -> dict[str, object]:
        """Return the settings of a control replica; its data folder is in the lab's folder."""
        return {
            "name": name,
            "zone": zone,
            "data_folder": str(self.folder / f"{name}-data"),
            "operators_listen": self.at(host, "control"),
            "replica_listen": self.at(host, "replica"),
            "seeds": seeds,
            "founding": bootstrap,
            "metrics_listen": f"{host}:9464",
            "zones": zones,
            "orders_repeat_ms": 6000,
        }

    def balancer_settings(
        self, name: str, host: str, zone: str, seeds: list[str], zones: list[str]
    ) -> dict[str, object]:
        """Return the settings of a balancer."""
        return {
            "name": name,
            "zone": zone,
            "callers_listen": self.at(host, "datagram"),
            "readiness_listen": self.at(host, "ready"),
            "frames_listen": self.at(host, "frames"),
            "replica_port": self.ports["replica"],
            "seeds": seeds,
            "flow_lifetime_ms": 60000,
            "stop_grace_ms": 6000,
            "metrics_listen": f"{host}:9464",
            "zone_regions": {each: "region" for each in zones},
        }

    def agent_settings(
        self, name: str, host: str, zone: str, service: str, seeds: list[str]
    ) -> dict[str, object]:
        """Return the settings of an agent."""
        return {
            "name": name,
            "zone": zone,
            "service": service,
            "host": self.at(host, "app"),
            "frames_listen": self.at(host, "datagram"),
            "host_packets_listen": self.at(host, "outbound"),
            "host_calls_listen": self.at(host, "control"),
            "readiness_listen": self.at(host, "ready"),
            "replica_port": self.ports["replica"],
            "seeds": seeds,
            "flow_lifetime_ms": 60000,
            "stop_grace_ms": 6000,
            "metrics_listen": f"{host}:9464",
        }


def _toml(settings: dict[str, object]) -> str:
    lines, tables = [], []
    for key, value in settings.items():
        if isinstance(value, dict):
            tables.append(f"[{key}]")
            tables += [f'"{name}" = {_value(each)}' for name, each in value.items()]
        else:
            lines.append(f"{key} = {_value(value)}")
    return "\n".join([*lines, *tables]) + "\n"


def _value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return "[" + ", ".join(_value(each) for each in value) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


# HTTP


def call(
    endpoint: str, method: str, path: str, body: bytes = b"", seconds: float = 1.0
) -> tuple[int, bytes, str]:
    """Call once; return status (0 without an answer), body and `Location`."""
    connection = http.client.HTTPConnection(endpoint, timeout=seconds)
    headers = {"Content-Type": "application/json"} if body else {}
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        return response.status, response.read(), response.headers.get("Location", "")
    except (OSError, http.client.HTTPException):
        return 0, b"", ""
    finally:
        connection.close()


def operator_call(
    endpoint: str, method: str, path: str, body: bytes = b"", seconds: float = 1.0
) -> tuple[int, bytes]:
    """Call a replica and follow 307 twice, as an operator does."""
    status, answer, location = call(endpoint, method, path, body, seconds)
    for _ in range(2):
        if status != 307:
            break
        target = location.removeprefix("http://").partition("/")[0]
        status, answer, location = call(target, method, path, body, seconds)
    return status, answer


# Packets of PROTOCOL.md

HEAD = struct.Struct("!4sHH4sIIIIBBH")
RST, SYN, BOUNCED, ACK, FIN = 2, 4, 8, 16, 32


def packet(
    source: tuple[str, int],
    target: tuple[str, int],
    seq: int,
    ack: int,
    flags: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet; `sum` is 0, as the system does not know the key."""
    head = HEAD.pack(
        socket.inet_aton(source[0]),
        source[1],
        target[1],
        socket.inet_aton(target[0]),
        seq % 2**32,
        ack % 2**32,
        0,
        0,
        flags,
        0,
        len(data),
    )
    return head + data


class Parsed:
    """A received packet."""

    def __init__(self, datagram: bytes) -> None:
        fields = HEAD.unpack_from(datagram)
        src, sport, dport, dst, self.seq, self.ack, _, _, self.flags, _, _ = fields
        self.source = (socket.inet_ntoa(src), sport)
        self.target = (socket.inet_ntoa(dst), dport)
        self.data = datagram[HEAD.size :]
