"""How a balancer uses reported service times, and refusals because of a slow host."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.fleet.host_slowdowns import MAX_SLOWDOWN, MIN_SAMPLES
from jasperwalk.fleet.target import SLOW_SECONDS
from jasperwalk.flows.frames import FULL_LOAD_PER_SLOT, FrameKind, RefusalReason
from jasperwalk.flows.service_time import UNKNOWN_SERVICE_TIME, encode_service_time
from tests.balancer.datagrams.support import Harness, address_of, record
from tests.flows.support import OPENING, from_caller, key_of

TYPICAL, SLOW = 0.05, 0.4
CAPACITY = 4
HOSTS = 3


class SlowdownHarness(Harness):
    """Opens flows and lets agents answer with given service times."""

    def __init__(self):
        super().__init__(*(record(number + 1) for number in range(HOSTS)))
        self.port = 1000

    def open(self, now):
        """Send an opening packet; return the agent that is tried and whether the flow may wait."""
        self.port += 1
        self.caller = Endpoint("100.64.0.7", self.port)
        self.core.receive(from_caller(OPENING, caller=self.caller), now)
        return self.take_opening()

    def accept(self, number, seconds, now):
        flags = UNKNOWN_SERVICE_TIME if seconds is None else encode_service_time(seconds)
        self.answer(number, FrameKind.ACCEPTED, now, flags, key=key_of(self.caller))

    def refuse_slow(self, number, now):
        self.answer(number, FrameKind.REFUSED, now, RefusalReason.SLOW, key=key_of(self.caller))

    def target(self, number):
        endpoint = address_of(number)
        return self.pool.at((endpoint.host, endpoint.port))

    def establish_baseline(self):
        for _ in range(4 * MIN_SAMPLES):
            number, _ = self.open(0.5)
            self.accept(number, TYPICAL, 0.5)


def test_an_acceptance_that_reports_a_slow_host_keeps_new_flows_away():
    harness = SlowdownHarness()
    harness.establish_baseline()
    slow, _ = harness.open(1.0)
    harness.accept(slow, SLOW, 1.0)
    assert harness.target(slow).slowdown == MAX_SLOWDOWN
    asked = []
    for _ in range(6):
        number, _ = harness.open(1.1)
        harness.accept(number, TYPICAL, 1.1)
        asked.append(number)
    assert slow not in asked


@pytest.mark.parametrize("flags", [UNKNOWN_SERVICE_TIME, 1, 255])
def test_the_flags_of_other_answers_are_no_service_time(flags):
    harness = SlowdownHarness()
    harness.establish_baseline()
    number, _ = harness.open(1.0)
    harness.answer(number, FrameKind.HELD, 1.0, flags, key=key_of(harness.caller))
    assert harness.target(number).slowdown == 1.0


def test_an_agent_whose_host_is_slow_is_avoided_for_a_while():
    harness = SlowdownHarness()
    slow, _ = harness.open(1.0)
    harness.refuse_slow(slow, 1.0)
    other, _ = harness.take_opening()
    harness.accept(other, None, 1.0)
    assert other != slow
    for now, load in ((1.0 + SLOW_SECONDS - 0.01, 5.0), (1.0 + SLOW_SECONDS, 5.0)):
        for number in range(1, HOSTS + 1):
            harness.target(number).record_load(0.0 if number == slow else load, now)
        asked, _ = harness.open(now)
        harness.accept(asked, None, now)
        assert (asked == slow) is (now >= 1.0 + SLOW_SECONDS)


def test_a_flow_does_not_wait_at_a_slow_host_before_others_were_asked():
    harness = SlowdownHarness()
    slow, _ = harness.open(1.0)
    harness.refuse_slow(slow, 1.0)
    harness.accept(harness.take_opening()[0], None, 1.0)
    now = 1.0 + SLOW_SECONDS
    full = CAPACITY * FULL_LOAD_PER_SLOT
    for number in range(1, HOSTS + 1):
        harness.target(number).record_load(full if number == slow else 3 * full, now)
    assert harness.open(now) == (slow, False)
    harness.refuse_slow(slow, now)
    other, waits = harness.take_opening()
    assert (other != slow, waits) == (True, True)


def test_a_flow_that_all_hosts_refuse_as_slow_may_wait_in_the_end():
    harness = SlowdownHarness()
    number, waits = harness.open(1.0)
    asked = [(number, waits)]
    while not waits:
        harness.refuse_slow(number, 1.0)
        number, waits = harness.take_opening()
        asked.append((number, waits))
    assert len(asked) == HOSTS + 1
    harness.accept(number, SLOW, 1.0)
    assert harness.resets == []
