"""The settings of each daemon. A field's description is its entry in docs/OPERATIONS.md."""

from __future__ import annotations

import enum
import ipaddress
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationInfo, field_validator

from jasperwalk.addresses import Endpoint
from jasperwalk.settings.types import (
    FolderPath,
    HttpUrl,
    InputFilePath,
    ListenEndpoint,
    Milliseconds,
    Name,
    Network,
    RemoteEndpoint,
)

DEFAULT_HEARTBEAT_MS = 500
DEFAULT_REPLICA_STALE_MS = 2_000
DEFAULT_OFFLINE_MS = 1_000
DEFAULT_PLATFORM_POLL_MS = 1_000
DEFAULT_NEW_FLOWS_PER_SECOND = 5_000
LOOPBACK_NETWORK = ipaddress.IPv4Network("127.0.0.0/8")

LogLevel = Literal["debug", "info", "warning", "error"]


class Transport(enum.StrEnum):
    """Transport protocol of a listening port."""

    TCP = "tcp"
    UDP = "udp"


class Listener(BaseModel):
    """One port that a process opens, with the settings key that names it."""

    model_config = ConfigDict(frozen=True, arbitrary_types_allowed=True)

    key: str
    endpoint: Endpoint
    transport: Transport


class SettingsModel(BaseModel):
    """Base of all settings: unknown keys and implicit type conversions are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class TlsSettings(SettingsModel):
    """Mutual TLS of the internal links: PEM files, read again whenever they change."""

    ca_file: InputFilePath = Field(description="PEM file with the CA of the cluster")
    certificate_file: InputFilePath = Field(description="PEM file with this process's certificate")
    private_key_file: InputFilePath = Field(description="PEM file with its private key")
    api: bool = Field(
        default=True,
        description="(control) serve the operators' API over https, to certificates of operators",
    )


class ProcessSettings(SettingsModel):
    """Settings that all daemons have."""

    name: Name = Field(description="name of this process, unique in the cluster")
    cluster_id: Name = Field(description="name of the cluster; processes of others are refused")
    zone: Name = Field(description="zone that this process runs in")
    log_level: LogLevel = Field(
        default="info", description="least severe log level written: debug, info, warning, error"
    )
    heartbeat_ms: Milliseconds = Field(
        default=DEFAULT_HEARTBEAT_MS, description="interval between heartbeats, in ms"
    )
    tls: TlsSettings | None = Field(
        default=None, description="table of files for mutual TLS on internal links; none: plain TCP"
    )

    def listeners(self) -> list[Listener]:
        """List the ports that the process will open."""
        return []


class PeerSettings(SettingsModel):
    """One initial control replica."""

    replica_id: Annotated[int, Field(ge=1)] = Field(description="identity, never used again")
    address: RemoteEndpoint = Field(description="IPV4:PORT of the replica's peer_listen")


class ControlSettings(ProcessSettings):
    """Settings of a control replica."""

    replica_id: Annotated[int, Field(ge=1)] = Field(
        description="identity of this replica, never used again after its disk is lost"
    )
    region: Name = Field(default="main", description="region whose table this replica holds")
    data_folder: FolderPath = Field(description="folder of the log and snapshots")
    peer_listen: ListenEndpoint = Field(
        description="IPV4:PORT (TCP) for other replicas, balancers and agents"
    )
    api_listen: ListenEndpoint = Field(
        description="IPV4:PORT (TCP) of the operators' HTTP API, /metrics and /healthz"
    )
    join: bool = Field(
        default=False,
        description="start empty and wait until `jasperwalk member add` takes this replica in",
    )
    peers: list[PeerSettings] = Field(
        min_length=1,
        description="the initial replicas, this one among them except with `join`",
    )
    platform_list_url: HttpUrl | None = Field(
        default=None, description="URL http://IPV4:PORT/PATH of the platform's list of machines"
    )
    platform_poll_ms: Milliseconds = Field(
        default=DEFAULT_PLATFORM_POLL_MS, description="interval between polls of that list, in ms"
    )
    offline_ms: Milliseconds = Field(
        default=DEFAULT_OFFLINE_MS,
        description="an agent that no replica has heard for this long is offline, in ms",
    )

    @field_validator("peers")
    @classmethod
    def _check_peers(cls, peers: list[PeerSettings], info: ValidationInfo) -> list[PeerSettings]:
        identities = [peer.replica_id for peer in peers]
        if len(set(identities)) != len(identities):
            raise ValueError("two replicas have the same replica_id")
        own_identity = info.data.get("replica_id")
        if own_identity is None:
            return peers
        joins = info.data.get("join", False)
        if not joins and own_identity not in identities:
            raise ValueError(f"replica_id {own_identity}, this replica, is not among them")
        if joins and own_identity in identities:
            # It would found the cluster with the others instead of waiting to be added.
            raise ValueError(f"replica_id {own_identity} joins, but is among the initial replicas")
        return peers

    def listeners(self) -> list[Listener]:
        """List the peer port and the API port."""
        return [
            Listener(key="peer_listen", endpoint=self.peer_listen, transport=Transport.TCP),
            Listener(key="api_listen", endpoint=self.api_listen, transport=Transport.TCP),
        ]


class TableFollowerSettings(ProcessSettings):
    """Settings common to balancers and agents, which follow the table that control publishes."""

    control: list[RemoteEndpoint] = Field(
        min_length=1, description="IPV4:PORT of the peer_listen of control replicas to follow"
    )
    replica_stale_ms: Milliseconds = Field(
        default=DEFAULT_REPLICA_STALE_MS,
        description="leave a replica silent, or without quorum contact, for this long, in ms",
    )
    admin_listen: ListenEndpoint = Field(description="IPV4:PORT (TCP) of /metrics and /healthz")
    listen: ListenEndpoint = Field(description="IPV4:PORT on which datagrams are taken")


class BalancerSettings(TableFollowerSettings):
    """Settings of a balancer."""

    agent_networks: list[Network] = Field(
        default=[LOOPBACK_NETWORK],
        min_length=1,
        description="networks IPV4/BITS that agents live in; nothing is forwarded elsewhere",
    )
    new_flows_per_second: Annotated[int, Field(ge=1)] = Field(
        default=DEFAULT_NEW_FLOWS_PER_SECOND,
        description="new flows beyond this rate are shed; established flows never are",
    )

    def listeners(self) -> list[Listener]:
        """List the datagram port and the admin port."""
        return [
            Listener(key="listen", endpoint=self.listen, transport=Transport.UDP),
            Listener(key="admin_listen", endpoint=self.admin_listen, transport=Transport.TCP),
        ]


class AgentSettings(TableFollowerSettings):
    """Settings of an agent; `name` is the host name that templates and operators use."""

    backend: RemoteEndpoint = Field(description="IPV4:PORT (HTTP/1.1) of the back end beside it")
    fabric: RemoteEndpoint = Field(description="IPV4:PORT (UDP) that answers are sent to")
    certificate_file: InputFilePath = Field(description="PEM file with the certificate chain")
    private_key_file: InputFilePath = Field(description="PEM file with the private key")
    lend_slots: bool = Field(
        default=True,
        description="lend free slots to other members, borrow theirs while the own are taken",
    )
    hand_over_when_busy: bool = Field(
        default=True,
        description="hand new flows on while the own slots are taken and the other candidate's not",
    )
    stop_grace_ms: int = Field(
        default=0,
        ge=0,
        description="longest time from a stop signal to the end, in ms; what still runs is then "
        "cut, and its callers told. 0 waits for requests without a bound",
    )

    def listeners(self) -> list[Listener]:
        """List the forwarding port (UDP), the relay port (TCP, same number) and admin port."""
        return [
            Listener(key="listen", endpoint=self.listen, transport=Transport.UDP),
            Listener(key="listen", endpoint=self.listen, transport=Transport.TCP),
            Listener(key="admin_listen", endpoint=self.admin_listen, transport=Transport.TCP),
        ]
