"""Settings of a control replica of the datagram plane."""

from __future__ import annotations

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.fleet.settings import seed_replicas


class FleetControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """A settings file's content; end points are `IPV4:PORT`.

    `seeds` are the replicas known when the file was written. At the first start of the system,
    which `founding` marks, they form the cluster.
    """

    name: str
    zone: str
    data_folder: str
    operators_listen: str
    replica_listen: str
    replica_advertised: str = ""
    """End point at which others reach `replica_listen`, where it differs (relay, translation)."""
    storage_faults: str = ""
    """File that describes storage faults to inject in failure tests; see
    `jasperwalk.control.storage_faults`. Empty in production."""
    seeds: list[str] = []
    founding: bool = False
    zones: list[str] = []
    """Every zone of the installation; zones that nodes announce are known as well."""
    orders_repeat_ms: float = 6_000.0
    """How long an operator repeats an order that had no answer, milliseconds."""
    metrics_listen: str = ""
    metrics_path: str = "/metrics"
    log_level: str = "info"

    def operators_endpoint(self) -> Endpoint:
        """Return the end point of the operators' interface; raises `InvalidAddress`."""
        return Endpoint.parse(self.operators_listen)

    def replica_endpoint(self) -> Endpoint:
        """Return the end point on which replicas and nodes connect; raises `InvalidAddress`."""
        return Endpoint.parse(self.replica_listen)

    def advertised_endpoint(self) -> Endpoint:
        """Return the end point at which others reach the replica; raises `InvalidAddress`."""
        return Endpoint.parse(self.replica_advertised or self.replica_listen)

    def seed_endpoints(self) -> list[Endpoint]:
        """Return the seeds' replica end points: their hosts at the port of this one."""
        return sorted(seed_replicas(self.seeds, self.advertised_endpoint().port))
