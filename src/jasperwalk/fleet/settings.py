"""Settings of the datagram plane's nodes, and the reader of their files.

A settings file is TOML. Unknown keys are ignored, because the program that writes the file may be
newer than this one; a missing or malformed key is an error that names the key.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import Annotated, ClassVar, TypeVar

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import JasperwalkError
from jasperwalk.fleet.group_weights import WEIGHTS_TABLE, find_weight_problem, weights_by_group
from jasperwalk.scheduling.request_order import DEFAULT_LEAST_SHARE

SettingsType = TypeVar("SettingsType", bound=msgspec.Struct)


@dataclass(eq=False, repr=False)
class InvalidSettings(JasperwalkError):
    """A settings file that cannot be used."""

    kind: ClassVar[str] = "invalid-settings"
    path: str
    reason: str

    def describe(self) -> str:
        """Name the file and what is wrong in it."""
        return f"{self.path}: {self.reason}"


class Policies(msgspec.Struct, frozen=True, kw_only=True):
    """Table `[policies]`: mechanisms that can be switched off, to measure the effect of each."""

    delegated_search: bool = True
    """Agents search flows on behalf of balancers."""
    link_pacing: bool = True
    """A balancer sends no faster than its link's rate, and opens uploads as the link allows."""
    request_scheduling: bool = True
    """An agent orders the requests for its host by the terms of their routes, if these differ
    between the routes of its service."""
    fair_shares: bool = True
    """An agent whose host is busy serves the waiting groups of callers by weighted fair queueing.
    It needs `request_scheduling`, which distinguishes the groups."""
    host_pace: bool = True
    """An agent measures its host's service times, reports them to balancers and refuses new flows
    for a host that is much slower than usual; a balancer weighs agents by these reports."""


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Optional settings that balancers and agents share.

    Times are milliseconds. `processor_share` is the process's part of a processor's time, and
    `processor_speed` that processor's speed as a multiple of a reference processor's.
    """

    flow_lifetime_ms: int = 60_000
    stop_grace_ms: int = 6_000
    metrics_listen: str = ""
    metrics_path: str = "/metrics"
    log_level: str = "info"
    policies: Policies = Policies()
    processor_share: float = 1.0
    processor_speed: float = 1.0

    @property
    def processors(self) -> float:
        """Return the process's processor time, in reference processors."""
        return self.processor_share * self.processor_speed


class BalancerNodeSettings(NodeSettings, frozen=True, kw_only=True):
    """A balancer's settings; end points are `IPV4:PORT`, times are milliseconds."""

    name: str
    zone: str
    callers_listen: str
    link_megabits: float = 0.0
    """The link's rate in megabits per second, 0 if unknown."""
    caller_window_bytes: int = 20_000
    """Most unacknowledged bytes that a caller may have in flight on one flow."""
    caller_resend_ms: int = 200
    """Time after which a caller sends unacknowledged data again, milliseconds."""
    readiness_listen: str
    frames_listen: str
    replica_port: int
    seeds: list[str]
    zone_regions: dict[str, str] = {}
    """The region of each zone; needed for routes that allow only some regions."""

    def replicas(self) -> list[Endpoint]:
        """Return the control replicas that the settings name."""
        return seed_replicas(self.seeds, self.replica_port)


class AgentNodeSettings(NodeSettings, frozen=True, kw_only=True):
    """An agent's settings; end points are `IPV4:PORT`, times are milliseconds.

    `host` is where the host receives packets, `host_packets_listen` where it sends its own.
    `callers_port` is the port of callers' addresses at which the fabric receives packets; 0
    means the port of `frames_listen`.
    """

    name: str
    zone: str
    service: str
    host: str
    frames_listen: str
    host_packets_listen: str
    host_calls_listen: str
    readiness_listen: str
    replica_port: int
    seeds: list[str]
    callers_port: int = 0
    frames_advertised: str = ""
    """Address at which others reach `frames_listen`, if different: behind a relay or NAT."""
    warm_up_floor: float | None = None
    """New flows per second that any cold host can take, whatever its service's configuration says.

    It applies until the configuration has arrived; without it a cold host is unlimited until then.
    """
    least_share: Annotated[float, msgspec.Meta(ge=0.0, le=0.5)] = DEFAULT_LEAST_SHARE
    """Part of the requests started at a busy host that less urgent ones keep while they wait."""
    caller_group_weights: dict[str, float] = {}
    """The weight of callers of each zone, if it is not 1: their share of a busy host."""

    def group_weights(self) -> dict[int, float]:
        """Return the weights by the numbers of the callers' groups."""
        return weights_by_group(self.caller_group_weights)

    def replicas(self) -> list[Endpoint]:
        """Return the control replicas that the settings name."""
        return seed_replicas(self.seeds, self.replica_port)


def seed_replicas(seeds: list[str], port: int) -> list[Endpoint]:
    """Return the seeds' hosts at the port where replicas listen; raises `InvalidAddress`."""
    return [Endpoint(Endpoint.parse(seed).host, port) for seed in seeds]


def read_settings(path: str, settings_type: type[SettingsType]) -> SettingsType:
    """Read a settings file; raises `InvalidSettings`."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        content = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidSettings(path, str(error)) from error
    if WEIGHTS_TABLE in settings_type.__struct_fields__:
        problem = find_weight_problem(content, text)
        if problem is not None:
            raise InvalidSettings(path, problem.describe())
    try:
        return msgspec.convert(content, settings_type)
    except msgspec.ValidationError as error:
        raise InvalidSettings(path, str(error)) from error
