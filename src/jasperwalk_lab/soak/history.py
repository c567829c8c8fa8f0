"""What callers, hosts and operators of a soak observed; the only input of the checks."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

from jasperwalk_lab.soak.faults import InjectedFault


class RequestOutcome(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    GIVEN_UP = "given-up"
    FLOW_RESET = "flow-reset"
    REFUSED = "refused"
    """Every try was refused before it ran."""


class OpeningReceived(msgspec.Struct, frozen=True):
    """An opening packet that reached a host; `route_service` is whose listener it named.

    Here and below `host_id` names one start of a host.
    """

    at: float
    host_id: str
    service: str
    route_service: str
    zone: str
    flow: str = ""
    """Name of the flow throughout the history, here and below."""
    priority: int = 0


class RequestStarted(msgspec.Struct, frozen=True):
    """A request that a host started to run."""

    at: float
    request_id: str
    host_id: str
    service: str
    route_service: str
    flow: str = ""


class FlowRequested(msgspec.Struct, frozen=True):
    """A caller's first opening packet of a flow."""

    at: float
    flow: str


class RequestRefused(msgspec.Struct, frozen=True):
    """A try that the system, or its host, reported to the caller as not run."""

    at: float
    request_id: str
    flow: str
    service: str
    priority: int
    is_by_host: bool = False


class HostStarted(msgspec.Struct, frozen=True):
    """A host that started beside an agent; it replaces the one before."""

    at: float
    agent: str
    host_id: str
    service: str


class RequestEnded(msgspec.Struct, frozen=True):
    """The end of a request; `answered_id` is the request that the answer names."""

    began_at: float
    at: float
    request_id: str
    outcome: RequestOutcome
    answered_id: str = ""


class OpenFlowReset(msgspec.Struct, frozen=True):
    """A reset of a flow that its running host held open and had not reset itself."""

    at: float
    flow: str
    host_id: str


class HostDrained(msgspec.Struct, frozen=True):
    """A host's announcement that it drains, acknowledged by the agent beside it."""

    at: float
    host_id: str


class MachineStall(msgspec.Struct, frozen=True):
    """The run's own event loop, and so the machine, stalled for `seconds` before `at`."""

    at: float
    seconds: float


class HostAtEnd(msgspec.Struct, frozen=True):
    """A host that was ready when the run ended."""

    host_id: str
    service: str
    started_at: float


class HostColdPeriod(msgspec.Struct, frozen=True):
    """The time in which a host is cold, from its start."""

    host_id: str
    begins_at: float
    ends_at: float


class InvalidAnnouncementAccepted(msgspec.Struct, frozen=True):
    """An announcement without a usable host that an agent acknowledged nevertheless."""

    at: float
    agent: str
    body: bytes


class ZoneOrdered(msgspec.Struct, frozen=True):
    """An order for a zone: when it was first sent, and acknowledged (None where it was not)."""

    zone: str
    drained: bool
    sent_at: float
    acknowledged_at: float | None
    given_up_at: float | None = None
    """When an order without acknowledgement was sent for the last time."""


class ConfigurationAcknowledged(msgspec.Struct, frozen=True):
    """A configuration that a replica acknowledged to an operator."""

    at: float
    version: int


class ConfigurationRead(msgspec.Struct, frozen=True):
    """A configuration that was read back from a replica; version 0 where the answer is not one.

    `is_answered` is False where no replica answered at the end of the run.
    """

    asked_at: float
    version: int
    is_answered: bool = True


class ProcessResources(msgspec.Struct, frozen=True):
    """Memory and descriptors of a process soon after traffic started, and at the end."""

    process: str
    first_bytes: int
    last_bytes: int
    first_descriptors: int
    last_descriptors: int


class ProcessKilledAtStop(msgspec.Struct, frozen=True):
    """A process that did not end within the grace period after its stop signal."""

    at: float
    process: str


@dataclass
class SoakHistory:
    """Everything recorded; times are seconds of the run."""

    openings: list[OpeningReceived] = field(default_factory=list)
    runs: list[RequestStarted] = field(default_factory=list)
    requests: list[RequestEnded] = field(default_factory=list)
    asked: list[FlowRequested] = field(default_factory=list)
    refused: list[RequestRefused] = field(default_factory=list)
    hosts_began: list[HostStarted] = field(default_factory=list)
    resets: list[OpenFlowReset] = field(default_factory=list)
    drained: list[HostDrained] = field(default_factory=list)
    cold: list[HostColdPeriod] = field(default_factory=list)
    unusable_taken: list[InvalidAnnouncementAccepted] = field(default_factory=list)
    zones: list[ZoneOrdered] = field(default_factory=list)
    acknowledged: list[ConfigurationAcknowledged] = field(default_factory=list)
    reads: list[ConfigurationRead] = field(default_factory=list)
    faults: list[InjectedFault] = field(default_factory=list)
    ended_processes: list[str] = field(default_factory=list)
    killed_at_stop: list[ProcessKilledAtStop] = field(default_factory=list)
    uses: list[ProcessResources] = field(default_factory=list)
    stalls: list[MachineStall] = field(default_factory=list)
    hosts_at_end: list[HostAtEnd] = field(default_factory=list)
    ends_at: float = 0.0
