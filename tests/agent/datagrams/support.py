"""An agent, its host, and what left it."""

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.flow_agent import FlowAgent
from jasperwalk.agent.datagrams.host import HostAnnouncement, HostState
from jasperwalk.agent.datagrams.host_admission import max_requests
from jasperwalk.fleet.messages import HostPhase
from jasperwalk.flows.frames import (
    FLAG_WAIT,
    FrameKind,
    decode_replies,
    encode_request,
    service_tag,
)
from jasperwalk.scheduling.request_order import NoShares
from tests.flows.support import (
    CALLER,
    OPENING,
    PlainCodec,
    SilentLog,
    from_caller,
    key_of,
)

BALANCER = ("10.0.0.1", 7601)
OTHER_BALANCER = ("10.0.0.2", 7601)
LIFETIME = 60.0
ZONE = "a"
CAPACITY = 2
"""Slots of the host."""


class Harness:
    """An agent, its host's state, and what the agent sent."""

    def __init__(self, phase=HostPhase.READY, started_at=0.0, warm_up_floor=None, shares=None):
        self.host_packets, self.replies, self.caller_packets = [], [], []
        self.host = HostState()
        self.agent = FlowAgent(
            codec=PlainCodec(),
            service="web",
            host=self.host,
            to_host=self.host_packets.append,
            to_balancer=lambda data, to: self.replies.extend(
                (reply, to) for reply in decode_replies(data, 12)
            ),
            to_caller=lambda data, to: self.caller_packets.append((data, to)),
            log=SilentLog(),
            started_at=started_at,
            flow_lifetime_seconds=LIFETIME,
            zone=ZONE,
            warm_up_floor=warm_up_floor,
            shares=NoShares() if shares is None else shares,
        )
        if phase is not HostPhase.UNKNOWN:
            self.say(phase, 1)

    def say(self, phase, number):
        self.host.announce(HostAnnouncement("h1", phase, CAPACITY, 0.0, number), 0.0)

    def frame(self, kind, body, now=1.0, service="web", sender=BALANCER, flags=0):
        data = encode_request(kind, flags, service_tag(service), body)
        self.agent.receive_frame(data, sender, now)

    def open(self, now=1.0, caller=CALLER, service="web", flags=0):
        self.frame(FrameKind.OPEN, from_caller(OPENING, caller=caller), now, service, flags=flags)
        return self.replies[-1][0]

    def fill(self):
        """Admit flows up to the host's limit; return the callers."""
        ports = range(1, 1 + max_requests(CAPACITY))
        callers = [Endpoint("100.64.0.9", port) for port in ports]
        for caller in callers:
            assert self.open(caller=caller).kind is FrameKind.ACCEPTED
        self.host_packets.clear()
        return callers

    def fill_at(self, now):
        """Admit flows up to the host's limit at this time."""
        for port in range(1, 1 + max_requests(CAPACITY)):
            caller = Endpoint("100.64.0.9", port)
            assert self.open(now, caller).kind is FrameKind.ACCEPTED

    def follow_up(self, callers, now=1.0):
        """Let callers send their requests."""
        for caller in callers:
            self.frame(FrameKind.CARRY, from_caller(0, b"request", caller=caller), now)
        self.host_packets.clear()

    def wait(self, port, now=1.0):
        """Open a flow that may wait; return its caller."""
        caller = Endpoint("100.64.0.10", port)
        assert self.open(now, caller, flags=FLAG_WAIT).kind is FrameKind.ACCEPTED
        return caller

    def find(self, now=1.0, service="web"):
        self.frame(FrameKind.FIND, key_of(), now, service)
        return self.replies[-1][0].kind
