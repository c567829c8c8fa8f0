"""Settings of a control replica of the datagram plane."""

from __future__ import annotations

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.fleet.settings import seed_replicas


class FleetControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """A settings file's content; end points are `IPV4:PORT`.

    `seeds` are replicas as they stood when the file was written; all of them found the
    system at its first start, which `founding` marks.
    """

    name: str
    zone: str
    data_folder: str
    operators_listen: str
    replica_listen: str
    replica_advertised: str = ""
    """Where others reach `replica_listen`, where that differs: behind a relay or a translation."""
    storage_faults: str = ""
    """File that says how the storage is to misbehave, for trials of failures; see
    `jasperwalk.control.storage_faults`. Empty on every real machine."""
    seeds: list[str] = []
    founding: bool = False
    zones: list[str] = []
    """Every zone of the installation; more are known from the nodes that announce themselves."""
    orders_repeat_ms: float = 6_000.0
    """How long an operator repeats an order that had no answer, milliseconds."""
    metrics_listen: str = ""
    metrics_path: str = "/metrics"
    log_level: str = "info"

    def operators_endpoint(self) -> Endpoint:
        """Return where operators call; raises `InvalidAddress`."""
        return Endpoint.parse(self.operators_listen)

    def replica_endpoint(self) -> Endpoint:
        """Return where replicas and nodes connect; raises `InvalidAddress`."""
        return Endpoint.parse(self.replica_listen)

    def advertised_endpoint(self) -> Endpoint:
        """Return where others connect to the replica; raises `InvalidAddress`."""
        return Endpoint.parse(self.replica_advertised or self.replica_listen)

    def seed_endpoints(self) -> list[Endpoint]:
        """Return the seeds' replica end points: their hosts at the port of this one."""
        return sorted(seed_replicas(self.seeds, self.advertised_endpoint().port))
