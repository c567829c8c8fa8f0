"""What the stand-ins of the users' platform speak: packet heads, heartbeats, configurations.

This module alone of the lab knows the platform's names; `platform/` has the product's side of them.
"""

from __future__ import annotations

import json
import socket
import struct

import msgspec

from jasperwalk.addresses import Endpoint

HEAD = struct.Struct("!4sHH4sIIIIBBH")
RST, SYN, BOUNCED, ACK, FIN = 2, 4, 8, 16, 32
SETTINGS_VARIABLE = "JASPERWALK_NODE_FILE"
"""Environment variable with the path of a process's settings file."""
CONFIG_PATH = "/config"
READY_PATH = "/readiness"
REQUIRED_FIELDS = ("service", "address", "capacity", "state", "callSeq")
INVALID_VALUES: tuple[tuple[str, object], ...] = (
    ("service", 7),
    ("service", "unnamed"),
    ("address", "198.51.100.9:1"),
    ("address", None),
    ("capacity", "4"),
    ("capacity", 10**30),
    ("state", "starting"),
    ("state", ["ready"]),
    ("callSeq", 10**400),
    ("callSeq", True),
    ("coldLeftMs", float("inf")),
    ("born", "yesterday"),
)
"""Fields of other types, unnamed states and services, absurd numbers."""


class Packet(msgspec.Struct, frozen=True):
    """One datagram of a flow; `copy` counts the copies of an opening packet, in place of `ack`."""

    source: Endpoint
    target: Endpoint
    sequence: int
    acknowledged: int
    flags: int
    data: bytes = b""

    def encode(self) -> bytes:
        """Return the datagram; the sum is not looked at by the product."""
        head = HEAD.pack(
            socket.inet_aton(self.source.host),
            self.source.port,
            self.target.port,
            socket.inet_aton(self.target.host),
            self.sequence % 2**32,
            self.acknowledged % 2**32,
            0,
            0,
            self.flags,
            0,
            len(self.data),
        )
        return head + self.data


def decode(datagram: bytes) -> Packet | None:
    """Return the packet, None where it is not whole."""
    if len(datagram) < HEAD.size:
        return None
    fields = HEAD.unpack_from(datagram)
    source, sport, dport, target, sequence, acknowledged, _, _, flags, _, length = fields
    if len(datagram) != HEAD.size + length:
        return None
    return Packet(
        Endpoint(socket.inet_ntoa(source), sport),
        Endpoint(socket.inet_ntoa(target), dport),
        sequence,
        acknowledged,
        flags,
        datagram[HEAD.size :],
    )


def bounced(datagram: bytes) -> bytes:
    """Return a packet as a host hands it back."""
    return datagram[:28] + bytes((datagram[28] | BOUNCED,)) + datagram[29:]


class Heartbeat(msgspec.Struct, frozen=True):
    """A host's announcement; `cold_seconds` is how much longer it is slow from its start."""

    host_id: str
    service: str
    address: Endpoint
    zone: str
    capacity: int
    is_draining: bool
    cold_seconds: float
    call_number: int
    started_unix_ms: int = 0

    def path(self) -> str:
        """Return the path of the call."""
        return f"/instances/{self.host_id}"

    def document(self) -> dict[str, object]:
        """Return the body of the call as a document."""
        return {
            "service": self.service,
            "address": str(self.address),
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": "draining" if self.is_draining else "ready",
            "coldLeftMs": round(1000 * self.cold_seconds),
            "callSeq": self.call_number,
            "born": self.started_unix_ms,
        }

    def body(self) -> bytes:
        """Return the body of the call."""
        return json.dumps(self.document()).encode()

    def invalid_bodies(self) -> list[bytes]:
        """Return bodies like this one that name no host to use: each has one fault."""
        document, intact = self.document(), self.body()
        without = [{k: v for k, v in document.items() if k != name} for name in REQUIRED_FIELDS]
        changed = [{**document, name: value} for name, value in INVALID_VALUES]
        unreadable = [b"", b"[]", intact[:-3], intact.replace(b'"v1"', b'"\xff\xfe"'), b"\x00" * 64]
        return [*(json.dumps(each).encode() for each in (*without, *changed)), *unreadable]


class SoakRoute(msgspec.Struct, frozen=True):
    """A listener and the service behind it."""

    listener: Endpoint
    service: str
    priority: int = 1
    """0 is the most urgent."""
    objective_ms: int = 500
    limit_ms: int = 2000


class SoakConfiguration(msgspec.Struct, frozen=True):
    """A configuration as an operator writes it."""

    version: int
    routes: tuple[SoakRoute, ...]
    cold_seconds: float
    cold_flows_per_second: float

    def body(self) -> bytes:
        """Return the document."""
        services = sorted({route.service for route in self.routes})
        document = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{route.listener.port}",
                    "host": route.listener.host,
                    "pathPrefix": f"/{route.listener.port}/",
                    "routeType": "safe",
                    "timeoutMs": route.limit_ms,
                    "targetLatencyMs": route.objective_ms,
                    "priority": route.priority,
                    "service": route.service,
                }
                for route in self.routes
            ],
            "services": [
                {
                    "name": name,
                    "coldS": self.cold_seconds,
                    "warmupPerS": self.cold_flows_per_second,
                }
                for name in services
            ],
            "limits": {"idleTimeoutMs": 15000},
        }
        return json.dumps(document).encode()


def version_of(body: bytes) -> int:
    """Return the version of a configuration that was read back, 0 where it is none."""
    try:
        document = json.loads(body)
    except ValueError:
        return 0
    version = document.get("version") if isinstance(document, dict) else None
    return version if isinstance(version, int) else 0


def evacuation_path(zone: str) -> str:
    """Return the path of the orders for a zone."""
    return f"/evacuations/{zone}"
