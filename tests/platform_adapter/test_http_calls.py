import asyncio
import json

import pytest
from node_calls import host_calls, readiness
from operator_calls import operator_calls

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.announcement_handler import AnnouncementOutcome
from jasperwalk.control.fleet.committing import AskLeader, Unavailable
from jasperwalk.control.fleet.configurations import Acknowledged
from jasperwalk.control.fleet.versioned_state import HeldConfiguration
from jasperwalk.control.fleet.zone_orders import UnknownZone, ZoneAcknowledged
from jasperwalk.fleet.messages import HostPhase
from jasperwalk.transport.http_messages import HttpRequest

HEARTBEAT = {
    "service": "web",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "coldLeftMs": 1500,
    "callSeq": 4,
}
VALID = json.dumps({"version": 1, "routes": [], "services": []}).encode()


def ask(handler, method, path, body=b""):
    return asyncio.run(handler(HttpRequest(method, path, body)))


class FakeAnnouncementHandler:
    def __init__(self):
        self.received = []
        self.refused = []
        self.outcome = AnnouncementOutcome.ACCEPTED

    def refuse(self, host_id, reason):
        self.refused.append((host_id, reason))

    def announce(self, announcement):
        self.received.append(announcement)
        return self.outcome

    def leave(self, host_id):
        self.received.append(host_id)
        return True


@pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
def test_readiness(ready, status):
    handler = readiness(lambda: ready)
    assert ask(handler, "GET", "/readiness").status == status
    assert ask(handler, "GET", "/other").status == 404


def test_a_heartbeat():
    announcements = FakeAnnouncementHandler()
    response = ask(
        host_calls(announcements), "PUT", "/instances/i-1", json.dumps(HEARTBEAT).encode()
    )
    (announcement,) = announcements.received
    assert response.status == 200
    assert (announcement.host_id, announcement.phase, announcement.capacity) == (
        "i-1",
        HostPhase.READY,
        3,
    )
    assert (announcement.slow_start_seconds, announcement.call_number, announcement.zone) == (
        1.5,
        4,
        "a",
    )


def test_a_draining_heartbeat_and_a_removal():
    announcements = FakeAnnouncementHandler()
    handler = host_calls(announcements)
    draining = json.dumps({**HEARTBEAT, "state": "draining"}).encode()
    assert ask(handler, "PUT", "/instances/i-1", draining).status == 200
    assert ask(handler, "DELETE", "/instances/i-1").status == 200
    assert (announcements.received[0].phase, announcements.received[1]) == (
        HostPhase.DRAINING,
        "i-1",
    )


@pytest.mark.parametrize(
    ("outcome", "status"),
    [(AnnouncementOutcome.STALE, 200), (AnnouncementOutcome.REFUSED, 400)],
)
def test_only_a_heartbeat_of_the_host_beside_the_agent_is_acknowledged(outcome, status):
    announcements = FakeAnnouncementHandler()
    announcements.outcome = outcome
    body = json.dumps(HEARTBEAT).encode()
    assert ask(host_calls(announcements), "PUT", "/instances/i-1", body).status == status


def test_a_heartbeat_tells_when_the_host_started():
    announcements = FakeAnnouncementHandler()
    beat = json.dumps({**HEARTBEAT, "born": 1_700_000_000_123}).encode()
    assert ask(host_calls(announcements), "PUT", "/instances/i-1", beat).status == 200
    assert announcements.received[0].started_unix_ms == 1_700_000_000_123


def test_a_heartbeat_without_its_optional_fields():
    announcements = FakeAnnouncementHandler()
    lean = {k: v for k, v in HEARTBEAT.items() if k not in ("zone", "coldLeftMs", "version")}
    assert (
        ask(host_calls(announcements), "PUT", "/instances/i-1", json.dumps(lean).encode()).status
        == 200
    )
    (announcement,) = announcements.received
    assert (announcement.started_unix_ms, announcement.slow_start_seconds, announcement.zone) == (
        0,
        0.0,
        "",
    )


INVALID_HEARTBEATS = [
    *[
        {k: v for k, v in HEARTBEAT.items() if k != missing}
        for missing in ("service", "address", "capacity", "state", "callSeq")
    ],
    {**HEARTBEAT, "service": 7},
    {**HEARTBEAT, "service": ""},
    {**HEARTBEAT, "service": ["web"]},
    {**HEARTBEAT, "address": 7},
    {**HEARTBEAT, "address": "nowhere"},
    {**HEARTBEAT, "zone": {"name": "a"}},
    {**HEARTBEAT, "capacity": True},
    {**HEARTBEAT, "capacity": "3"},
    {**HEARTBEAT, "capacity": 2.5},
    {**HEARTBEAT, "capacity": 0},
    {**HEARTBEAT, "capacity": -1},
    {**HEARTBEAT, "capacity": 10**30},
    {**HEARTBEAT, "state": "starting"},
    {**HEARTBEAT, "state": "READY"},
    {**HEARTBEAT, "state": ["ready"]},
    {**HEARTBEAT, "state": None},
    {**HEARTBEAT, "coldLeftMs": "1500"},
    {**HEARTBEAT, "coldLeftMs": float("nan")},
    {**HEARTBEAT, "coldLeftMs": float("inf")},
    {**HEARTBEAT, "coldLeftMs": 1e300},
    {**HEARTBEAT, "coldLeftMs": -1},
    {**HEARTBEAT, "callSeq": "4"},
    {**HEARTBEAT, "callSeq": True},
    {**HEARTBEAT, "callSeq": -4},
    {**HEARTBEAT, "callSeq": 10**400},
    {**HEARTBEAT, "born": "yesterday"},
    {**HEARTBEAT, "born": -1},
    {**HEARTBEAT, "born": 1.5},
    {**HEARTBEAT, "born": True},
]
UNREADABLE = [
    json.dumps(HEARTBEAT).encode()[:-5],
    json.dumps(HEARTBEAT).encode("utf-16"),
    json.dumps(HEARTBEAT).encode().replace(b'"a"', b'"\xff\xfe"'),
    json.dumps(HEARTBEAT).encode().replace(b'"v1"', b'"\xff\xfe"'),
    b"\x00" * 100,
    b"null",
    b'"ready"',
    b"4",
]


@pytest.mark.parametrize(
    "body", [*(json.dumps(each).encode() for each in INVALID_HEARTBEATS), *UNREADABLE]
)
def test_an_invalid_heartbeat_announces_no_host(body):
    announcements = FakeAnnouncementHandler()
    assert ask(host_calls(announcements), "PUT", "/instances/i-1", body).status == 400
    assert announcements.received == []
    assert len(announcements.refused) == 1


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("PUT", "/instances/i-1", b"", 400),
        ("PUT", "/instances/i-1", b"[]", 400),
        ("PUT", "/instances/i-1", b"{}", 400),
        ("PUT", "/instances/i-1", json.dumps({**HEARTBEAT, "state": "odd"}).encode(), 400),
        ("PUT", "/instances/i-1", json.dumps({**HEARTBEAT, "capacity": "x"}).encode(), 400),
        ("PUT", "/instances/i-1", json.dumps({**HEARTBEAT, "callSeq": None}).encode(), 400),
        ("PUT", "/instances/i-1", b"[" * 100_000, 400),
        ("PUT", "/instances/", json.dumps(HEARTBEAT).encode(), 404),
        ("PUT", "/elsewhere", b"", 404),
        ("POST", "/instances/i-1", b"", 405),
    ],
)
def test_a_bad_call_of_a_host_changes_nothing(method, path, body, status):
    announcements = FakeAnnouncementHandler()
    assert ask(host_calls(announcements), method, path, body).status == status
    assert announcements.received == []


@pytest.mark.parametrize("name", ["x" * 300, "%ff", "a b", "i-1/state"])
def test_an_invalid_host_id_is_not_found(name):
    announcements = FakeAnnouncementHandler()
    body = json.dumps(HEARTBEAT).encode()
    assert ask(host_calls(announcements), "PUT", f"/instances/{name}", body).status == 404
    assert ask(host_calls(announcements), "DELETE", f"/instances/{name}").status == 404
    assert announcements.received == []


class FakeConfigurationService:
    def __init__(self, result):
        self.result = result
        self.taken = []

    async def put(self, command):
        self.taken.append(command)
        return self.result

    def read(self):
        return self.result


def test_an_acknowledged_configuration():
    service = FakeConfigurationService(Acknowledged(1, 1))
    assert ask(operator_calls(service, None, 8166), "PUT", "/config", VALID).status == 200
    assert service.taken[0].source == VALID


def test_an_invalid_configuration_goes_no_further():
    service = FakeConfigurationService(Acknowledged(1, 1))
    assert ask(operator_calls(service, None, 8166), "PUT", "/config", b"{}").status == 400
    assert service.taken == []


@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_a_replica_that_does_not_lead_sends_the_operator_to_the_leader(method):
    handler = operator_calls(
        FakeConfigurationService(AskLeader(Endpoint("10.0.0.4", 7600))), None, 8166
    )
    response = ask(handler, method, "/config", VALID)
    assert response.status == 307
    assert response.headers["Location"] == "http://10.0.0.4:8166/config"


@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_a_replica_that_is_not_sure_says_when_to_come_back(method):
    response = ask(
        operator_calls(FakeConfigurationService(Unavailable("no quorum")), None, 8166),
        method,
        "/config",
        VALID,
    )
    assert response.status == 503
    assert response.headers["Retry-After"] == "1"


def test_a_read_returns_what_the_operator_sent():
    service = FakeConfigurationService(HeldConfiguration(1, VALID, []))
    assert ask(operator_calls(service, None, 8166), "GET", "/config").body == VALID


class FakeZoneOrders:
    def __init__(self, result):
        self.result = result
        self.taken = []

    async def order(self, zone, drained, caller_waits):
        self.taken.append((zone, drained, caller_waits()))
        return self.result


def evacuate(result, method, path):
    orders = FakeZoneOrders(result)
    return ask(operator_calls(None, orders, 8166), method, path), orders.taken


@pytest.mark.parametrize(("method", "drained"), [("POST", True), ("DELETE", False)])
def test_an_evacuation_drains_a_zone_and_its_end_restores_it(method, drained):
    result = ZoneAcknowledged("hall a", drained, 1)
    response, taken = evacuate(result, method, "/evacuations/hall%20a")
    assert response.status == 200
    assert taken == [("hall a", drained, True)]


@pytest.mark.parametrize(
    ("result", "status"),
    [
        (UnknownZone("x"), 404),
        (Unavailable("caller-left"), 503),
        (AskLeader(Endpoint("10.0.0.4", 7600)), 307),
    ],
)
def test_an_order_that_is_not_taken(result, status):
    response, _ = evacuate(result, "POST", "/evacuations/hall%20a")
    assert response.status == status
    if status == 307:
        assert response.headers["Location"] == "http://10.0.0.4:8166/evacuations/hall%20a"


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/evacuations/a", 405),
        ("PUT", "/evacuations/a", 405),
        ("POST", "/evacuations", 404),
    ],
)
def test_a_bad_call_for_a_zone_orders_nothing(method, path, status):
    response, taken = evacuate(ZoneAcknowledged("a", True, 1), method, path)
    assert response.status == status
    assert taken == []


@pytest.mark.parametrize("name", ["%ff%fe", "%00", "a/b", "..%2f..", "x" * 60_000, ""])
def test_an_odd_name_of_a_zone_reaches_the_orders_as_a_text(name):
    _, taken = evacuate(UnknownZone(""), "POST", f"/evacuations/{name}")
    ((zone, _, _),) = taken
    assert isinstance(zone, str)
