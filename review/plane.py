"""A small deployment of the datagram plane on loopback, with stand-ins for its surroundings.

Used by the scripts of the second review. The project's own programs are started with the commands
of the deploy file; hosts, clients, routers and the operator are the stand-ins below. They speak
what PROTOCOL.md says: packets with a head of 32 bytes, heartbeats, `PUT /config`. Only the
standard library is used. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEAD = struct.Struct("!4sHH4sIIIIBBH")
RST, SYN, BOUNCED, ACK, FIN = 2, 4, 8, 16, 32
BOUNDS = {"drain_s": 3.0, "contact_s": 4.0, "heartbeat_s": 1.1, "grace_s": 6.0, "flow_max_s": 60}
ZONES = ("a", "b")
TRAFFIC_LEAD_S = 3.0
"""Time between the first acknowledged configuration and the first client."""


def now() -> float:
    return time.monotonic()


class Record:
    """The lines of `record.txt`: what was sent, answered and run, with seconds from the start."""

    def __init__(self, path: Path) -> None:
        self.began = now()
        self._file = path.open("w", encoding="utf-8")

    def note(self, what: str, **fields: object) -> None:
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{now() - self.began:8.3f} {what} {text}".rstrip() + "\n")

    def close(self) -> None:
        self._file.close()


def encode(src: tuple[str, int], dst: tuple[str, int], seq: int, ack: int, flags: int,
           data: bytes = b"") -> bytes:
    return HEAD.pack(socket.inet_aton(src[0]), src[1], dst[1], socket.inet_aton(dst[0]),
                     seq % 2**32, ack % 2**32, 0x5EED, 0, flags, 0, len(data)) + data


class Packet:
    def __init__(self, datagram: bytes) -> None:
        src, sport, dport, dst, seq, ack, self.sum, _, flags, _, length = HEAD.unpack_from(datagram)
        self.src, self.dst = (socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport)
        self.seq, self.ack, self.flags = seq, ack, flags
        self.data = datagram[HEAD.size:HEAD.size + length]


class Receiver(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, tuple[str, int]], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, addr)


async def http(address: tuple[str, int], method: str, path: str, body: bytes = b"",
               seconds: float = 1.0, follow: int = 2) -> tuple[int, bytes]:
    """Call; return the status (0 for no clear answer) and the body. Follows 307 twice."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            try:
                head = (f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                        "Connection: close\r\n\r\n")
                writer.write(head.encode() + body)
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in
                           (line.partition(":") for line in lines[1:])}
                status = int(lines[0].split()[1])
                answer = await reader.readexactly(int(headers.get("content-length", "0")))
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b""
    if status == 307 and follow:
        place = headers["location"].removeprefix("http://").partition("/")
        host, _, port = place[0].partition(":")
        return await http((host, int(port)), method, "/" + place[2], body, seconds, follow - 1)
    return status, answer


class Process:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, name: str, role: str, settings: dict[str, object], folder: Path,
                 record: Record) -> None:
        self.name, self.role, self.settings = name, role, settings
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._record = record
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self._path.write_text(
            "".join(f"{k} = {json.dumps(v)}\n" for k, v in self.settings.items()), "utf-8")
        environment = {"PATH": os.environ["PATH"], "JASPERWALK_NODE_FILE": str(self._path),
                       "PYTHONPATH": str(ROOT / "target" / "deps")}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3", "-S", "deploy/start.py", self.role, cwd=ROOT, env=environment,
                stdout=log, stderr=log)
        self._record.note("process-started", name=self.name, pid=self._process.pid)

    def signal(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
            self._record.note("signal", name=self.name, signal=signal.Signals(number).name)

    async def ended(self, seconds: float) -> bool:
        if self._process is None:
            return True
        try:
            async with asyncio.timeout(seconds):
                await self._process.wait()
        except TimeoutError:
            return False
        return True

    async def stop(self) -> None:
        """SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        if not await self.ended(BOUNDS["grace_s"]):
            self.signal(signal.SIGKILL)
            await self.ended(5.0)
        self._record.note("process-ended", name=self.name)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.ended(5.0)

    def log_lines(self, word: str) -> list[str]:
        text = self._log.read_text("utf-8", "replace") if self._log.exists() else ""
        return [line for line in text.splitlines() if word in line]


class Host:
    """A host beside an agent: heartbeats, flows, requests. It answers after `work_s`."""

    def __init__(self, plane: Plane, name: str, service: str, zone: str, app: tuple[str, int],
                 outbound: tuple[str, int], control: tuple[str, int]) -> None:
        self.plane, self.name, self.service, self.zone = plane, name, service, zone
        self.app, self.outbound, self.control = app, outbound, control
        self.id = f"i-{random.getrandbits(40):010x}"
        self.call_seq = 0
        self.alive = False
        self.beats = True
        self.closes_after_answer = False
        self.work_s = 0.04
        self.flows: dict[tuple, dict] = {}
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await asyncio.start_server(self._health, *self.app)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: Receiver(self._receive), local_addr=self.app)
        self.alive = True
        self._do(self._beat())

    def _do(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _health(self, reader, writer) -> None:
        with contextlib.suppress(Exception):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        writer.close()

    def heartbeat(self, state: str = "ready") -> bytes:
        self.call_seq += 1
        return json.dumps({
            "service": self.service, "address": f"{self.app[0]}:{self.app[1]}", "zone": self.zone,
            "version": "v1", "capacity": 4, "state": state, "coldLeftMs": 0,
            "callSeq": self.call_seq}).encode()

    async def send_beat(self, body: bytes) -> int:
        status, _ = await http(self.control, "PUT", f"/instances/{self.id}", body)
        return status

    async def _beat(self) -> None:
        while self.alive and self.beats:
            taken = await self.send_beat(self.heartbeat())
            pause = BOUNDS["heartbeat_s"] if taken == 200 else 0.3
            await asyncio.sleep(pause * random.uniform(0.9, 1.1))

    async def leave(self) -> float:
        """Send `DELETE` until it is acknowledged; return when it was."""
        while True:
            status, _ = await http(self.control, "DELETE", f"/instances/{self.id}")
            if status // 100 == 2:
                self.plane.record.note("host-leave-acknowledged", host=self.name, id=self.id)
                return now()
            await asyncio.sleep(0.3)

    def end(self) -> None:
        self.alive = False
        self.plane.record.note("host-ended", host=self.name, flows=len(self.flows))
        for task in self._tasks:
            task.cancel()
        self._transport.close()
        self._server.close()

    def _send(self, datagram: bytes) -> None:
        if self.alive:
            self._transport.sendto(datagram, self.outbound)

    def _receive(self, datagram: bytes, sender: tuple[str, int]) -> None:
        if sender[0] != self.outbound[0] or not self.alive:
            return
        packet = Packet(datagram)
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            first = flow is None
            if first:
                flow = self.flows[key] = {"seq": random.getrandbits(32), "open": False,
                                          "done": {}, "ended": False}
            self.plane.on_opening(self, packet, first)
            self._send(encode(packet.dst, packet.src, flow["seq"], packet.seq + 1, SYN | ACK))
            return
        if flow is None or (not flow["open"] and (packet.ack - flow["seq"]) % 2**32 != 1):
            self._send(datagram[:28] + bytes((datagram[28] | BOUNCED,)) + datagram[29:])
            return
        flow["open"] = True
        if packet.flags & RST:
            del self.flows[key]
        elif packet.flags & FIN:
            flow["ended"] = True
            self._send(encode(packet.dst, packet.src, flow["next"] if "next" in flow else
                              flow["seq"] + 1, packet.seq + 1, ACK | FIN))
        elif packet.data:
            self._request(key, flow, packet)

    def _request(self, key: tuple, flow: dict, packet: Packet) -> None:
        if packet.seq in flow["done"]:
            # A copy: the answer, once there is one, is sent again.
            if flow["done"][packet.seq] is not None:
                self._send(flow["done"][packet.seq])
            return
        if flow["ended"]:
            self._send(encode(packet.dst, packet.src, packet.ack, 0, RST))
            return
        flow["done"][packet.seq] = None
        self._do(self._run(key, flow, packet))

    async def _run(self, key: tuple, flow: dict, packet: Packet) -> None:
        self.plane.record.note("run", host=self.name, request=packet.data.decode())
        await asyncio.sleep(self.work_s)
        answer = b"answer " + packet.data
        flags = ACK
        if self.closes_after_answer:
            flags |= FIN
            flow["ended"] = True
        flow["next"] = packet.ack + len(answer) + (1 if flags & FIN else 0)
        datagram = encode(key[1], key[0], packet.ack, packet.seq + len(packet.data), flags, answer)
        flow["done"][packet.seq] = datagram
        self._send(datagram)


class Client:
    """A client and its routers: flows by a hash that moves only the flows of a lost balancer."""

    def __init__(self, plane: Plane, address: str) -> None:
        self.plane, self.address = plane, address
        self._flows: dict[tuple, dict] = {}
        self._port = 20_000
        self._number = 0
        self.misses: dict[str, int] = {}

    async def start(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: Receiver(self._receive), local_addr=(self.address, port))

    def close(self) -> None:
        self._transport.close()

    async def poll(self) -> None:
        """Ask each balancer for its readiness twice a second; out after two misses."""
        while True:
            for name, place in self.plane.balancers.items():
                status, _ = await http(place["ready"], "GET", "/readiness", seconds=0.4)
                self.misses[name] = 0 if status == 200 else self.misses.get(name, 0) + 1
            await asyncio.sleep(0.5)

    def _balancer(self, flow: dict) -> tuple[str, int]:
        ready = [each for each in self.plane.balancers if self.misses.get(each, 0) < 2]
        names = ready or list(self.plane.balancers)
        chosen = max(names, key=lambda name: hash((flow["src"], flow["dst"], name)))
        return self.plane.balancers[chosen]["callers"]

    def _send(self, flow: dict, datagram: bytes) -> None:
        self._transport.sendto(datagram, self._balancer(flow))

    async def open(self, listener: tuple[str, int]) -> dict | None:
        """Open a flow: a SYN, copies after 200 and 600 ms, the end after 1.4 s or on a reset."""
        self._port += 1
        src = (self.address, self._port)
        flow = {"src": src, "dst": listener, "seq": random.getrandbits(31), "ack": None,
                "reset": False, "answer": None, "closed": False, "event": asyncio.Event()}
        self._flows[(src, listener)] = flow
        began = now()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            flow["sent_at"] = now()
            self._send(flow, encode(src, listener, flow["seq"], copy, SYN))
            await self._wait(flow, began + until - now(), "ack")
            if flow["ack"] is not None:
                # The end of the handshake, at once: it opens the flow at this host.
                self._send(flow, encode(src, listener, flow["seq"] + 1, flow["ack"], ACK))
                return flow
            if flow["reset"]:
                break
        del self._flows[(src, listener)]
        return None

    async def _wait(self, flow: dict, seconds: float, field: str) -> None:
        end = now() + seconds
        while flow[field] is None and not flow["reset"] and now() < end:
            flow["event"].clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(end - now(), 0.001)):
                    await flow["event"].wait()

    async def request(self, flow: dict, deadline_s: float = 3.0) -> str:
        """Send one request on an open flow: `answered`, `reset` or `deadline`."""
        self._number += 1
        data = f"q{self._number}".encode()
        flow["answer"] = None
        flow["expected"] = (flow["seq"] + 1 + len(data)) % 2**32
        began, pause = now(), 0.2
        self.plane.record.note("sent", request=data.decode(), flow=flow["src"][1])
        while now() - began < deadline_s and flow["answer"] is None and not flow["reset"]:
            packet = encode(flow["src"], flow["dst"], flow["seq"] + 1, flow["ack"], ACK, data)
            self._send(flow, packet)
            await self._wait(flow, min(pause, began + deadline_s - now()), "answer")
            pause = min(2 * pause, 1.6)
        outcome = "answered" if flow["answer"] is not None else (
            "reset" if flow["reset"] else "deadline")
        self.plane.record.note(outcome, request=data.decode(), flow=flow["src"][1])
        if outcome == "answered":
            flow["seq"] += len(data)
            flow["ack"] = (flow["ack"] + len(flow["answer"])) % 2**32
            self._send(flow, encode(flow["src"], flow["dst"], flow["seq"] + 1, flow["ack"], ACK))
        return outcome

    def finish(self, flow: dict) -> None:
        """Close a flow from this side."""
        if not flow["reset"]:
            self._send(flow, encode(flow["src"], flow["dst"], flow["seq"] + 1, flow["ack"],
                                    ACK | FIN))
        self._flows.pop((flow["src"], flow["dst"]), None)

    def _receive(self, datagram: bytes, _sender: tuple[str, int]) -> None:
        packet = Packet(datagram)
        flow = self._flows.get((packet.dst, packet.src))
        if flow is None:
            return
        if packet.flags & RST:
            flow["reset"] = True
            self.plane.on_reset(flow, packet)
        elif packet.flags & SYN:
            if flow["ack"] is None:
                flow["ack"] = (packet.seq + 1) % 2**32
        else:
            if packet.data and packet.ack == flow.get("expected"):
                flow["answer"] = packet.data
            if packet.flags & FIN:
                flow["closed"] = True
        flow["event"].set()


class Plane:
    """Three control replicas, balancers, and agents with a host each."""

    def __init__(self, folder: Path, agents: int, balancers: int = 2,
                 zones: tuple[str, ...] = ZONES) -> None:
        self.zones = zones
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.openings: list[dict] = []
        self.resets: list[dict] = []
        self._block = random.choice(range(130, 250))
        self._ports = self._free_ports(agents, balancers)
        self.processes: dict[str, Process] = {}
        self.balancers: dict[str, dict] = {}
        self.hosts: dict[str, Host] = {}
        self.listener = (self._at(200, 1), 443)
        self._lay_out(agents, balancers)
        self.client = Client(self, self._at(9, 1))

    def _at(self, group: int, number: int) -> str:
        return f"127.{self._block}.{group}.{number}"

    def _free_ports(self, agents: int, balancers: int) -> dict[str, int]:
        """Choose ports that are free at every address of this deployment."""
        addresses = [self._at(1, n + 1) for n in range(3)] + [self._at(9, 1)]
        addresses += [self._at(3, n + 1) for n in range(balancers)]
        addresses += [self._at(4, n + 1) for n in range(agents)]
        found: dict[str, int] = {}
        for name in ("replica", "control", "datagram", "ready", "frames", "outbound", "app",
                     "metrics"):
            for _ in range(1000):
                port = random.randrange(12_000, 18_000)
                if port not in found.values() and all(_is_free(a, port) for a in addresses):
                    found[name] = port
                    break
            else:
                raise RuntimeError("no free port")
        return found

    def _lay_out(self, agents: int, balancers: int) -> None:
        ports = self._ports
        seeds = [f"{self._at(1, n + 1)}:{ports['control']}" for n in range(3)]

        def add(name: str, role: str, ip: str, number: int, **settings: object) -> None:
            self.processes[name] = Process(name, role, {
                "name": name, "zone": self.zones[number % len(self.zones)], "seeds": seeds,
                "metrics_listen": f"{ip}:{ports['metrics']}", **settings,
            }, self.folder, self.record)

        for n in range(3):
            ip = self._at(1, n + 1)
            add(f"core-{n}", "control", ip, n, data_folder=str(self.folder / f"core-{n}"),
                operators_listen=f"{ip}:{ports['control']}",
                replica_listen=f"{ip}:{ports['replica']}", founding=True, zones=list(self.zones),
                orders_repeat_ms=5000)
        for n in range(balancers):
            ip = self._at(3, n + 1)
            self.balancers[f"edge-{n}"] = {"callers": (ip, ports["datagram"]),
                                           "ready": (ip, ports["ready"])}
            add(f"edge-{n}", "balancer", ip, n, callers_listen=f"{ip}:{ports['datagram']}",
                readiness_listen=f"{ip}:{ports['ready']}",
                frames_listen=f"{ip}:{ports['frames']}", replica_port=ports["replica"],
                flow_lifetime_ms=60000, stop_grace_ms=6000, link_megabits=1000.0,
                processor_share=1.0, processor_speed=1)
        for n in range(agents):
            ip, name = self._at(4, n + 1), f"side-{n}"
            host = Host(self, f"host-{n}", "svc", self.zones[n % len(self.zones)], (ip, ports["app"]),
                        (ip, ports["outbound"]), (ip, ports["control"]))
            self.hosts[name] = host
            add(name, "agent", ip, n, service="svc", host=f"{ip}:{ports['app']}",
                frames_listen=f"{ip}:{ports['datagram']}",
                host_packets_listen=f"{ip}:{ports['outbound']}",
                host_calls_listen=f"{ip}:{ports['control']}",
                readiness_listen=f"{ip}:{ports['ready']}", replica_port=ports["replica"],
                flow_lifetime_ms=60000, stop_grace_ms=6000, processor_share=1.0,
                processor_speed=1)

    async def order(self, method: str, path: str, body: bytes = b"", seconds: float = 6.0) -> bool:
        """Send an order of the operator, to one replica after the other, until it is taken."""
        end, replica = now() + seconds, 0
        while now() < end:
            address = (self._at(1, replica % 3 + 1), self._ports["control"])
            status, _ = await http(address, method, path, body)
            self.record.note("order", method=method, path=path, answer=status)
            if status // 100 == 2:
                return True
            replica += 1
            await asyncio.sleep(0.2)
        return False

    def configuration(self, version: int) -> bytes:
        return json.dumps({
            "version": version,
            "routes": [{"name": "r-1", "host": self.listener[0],
                        "pathPrefix": f"/{self.listener[1]}/", "routeType": "safe",
                        "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1,
                        "service": "svc", "maxAttempts": 2}],
            "services": [{"name": "svc", "healthPath": "/health", "maxConns": 2000,
                          "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}).encode()

    async def start(self) -> bool:
        """Start everything and put the first configuration; False where it cannot run."""
        for process in self.processes.values():
            await process.start()
        for process in self.processes.values():
            # At the first start only: the disks are empty.
            process.settings.pop("founding", None)
        for host in self.hosts.values():
            await host.start()
        await self.client.start(self._ports["datagram"])
        self._polling = asyncio.create_task(self.client.poll())
        end, replica = now() + 25.0, 0
        while now() < end:
            address = (self._at(1, replica % 3 + 1), self._ports["control"])
            status, _ = await http(address, "PUT", "/config", self.configuration(1))
            if status == 200:
                self.record.note("configuration-acknowledged", version=1)
                break
            replica += 1
            await asyncio.sleep(0.3)
        else:
            return False
        while now() < end:
            ready = [await http(place["ready"], "GET", "/readiness")
                     for place in self.balancers.values()]
            flow = None
            if all(status == 200 for status, _ in ready):
                flow = await self.client.open(self.listener)
            if flow is not None and await self.client.request(flow) == "answered":
                self.client.finish(flow)
                await asyncio.sleep(TRAFFIC_LEAD_S)
                return True
            await asyncio.sleep(0.3)
        return False

    async def stop(self) -> None:
        """End all processes that this object started, and all stand-ins."""
        self._polling.cancel() if hasattr(self, "_polling") else None
        for host in self.hosts.values():
            if host.alive:
                host.end()
        await asyncio.gather(*(process.kill() for process in self.processes.values()))
        with contextlib.suppress(AttributeError):
            self.client.close()
        self.record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs: {self.folder}")

    # What clients and hosts see

    def on_opening(self, host: Host, packet: Packet, first: bool) -> None:
        flow = self.client._flows.get((packet.src, packet.dst))
        seen = {"at": now(), "host": host, "first": first, "port": packet.src[1],
                "sent_at": flow["sent_at"] if flow else now()}
        self.openings.append(seen)
        self.record.note("opening", host=host.name, flow=packet.src[1],
                         copy=packet.ack, first=first)

    def on_reset(self, flow: dict, packet: Packet) -> None:
        """Record a reset; `holder` is the running host at which the flow is open, if any."""
        key = (flow["src"], flow["dst"])
        holder = next((h for h in self.hosts.values() if h.alive and key in h.flows
                       and h.flows[key]["open"] and not h.flows[key]["ended"]), None)
        self.resets.append({"at": now(), "flow": flow, "holder": holder, "sum": packet.sum})
        self.record.note("client-got-reset", flow=flow["src"][1], sum=packet.sum,
                         holder=holder.name if holder else "none",
                         open=flow["ack"] is not None)


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


def run(case: Callable[[Plane], object], folder: Path, agents: int, balancers: int = 2,
        zones: tuple[str, ...] = ZONES) -> int:
    """Run a case: 1 where the rule was broken, 0 where it held, 2 where the case cannot run."""
    random.seed()
    try:
        plane = Plane(folder, agents, balancers, zones)
    except (OSError, RuntimeError) as error:
        print(f"cannot run: {error}")
        return 2

    async def play() -> int:
        try:
            async with asyncio.timeout(110.0):
                if not await plane.start():
                    print("cannot run: the deployment did not come up")
                    return 2
                return await case(plane)
        except TimeoutError:
            print("cannot run: it took too long")
            return 2
        finally:
            await plane.stop()

    return asyncio.run(play())


def finish(status: int) -> None:
    sys.exit(status)
