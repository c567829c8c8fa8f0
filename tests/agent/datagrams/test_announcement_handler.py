"""An agent accepts announcements of the host beside it, and of no other."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.announcement_handler import AnnouncementHandler, AnnouncementOutcome
from jasperwalk.agent.datagrams.host import HostAnnouncement, HostState
from jasperwalk.fleet.messages import HostPhase

HOST = Endpoint("10.0.0.9", 8080)


class Recorder:
    def __init__(self):
        self.changes = 0
        self.new_hosts = 0
        self.lines = []

    def note(self, event, **fields):
        self.lines.append((event, fields))


def handler_and_state():
    recorder, state = Recorder(), HostState()

    def changed():
        recorder.changes += 1

    def replaced():
        recorder.new_hosts += 1

    return AnnouncementHandler(state, "web", HOST, recorder, changed, replaced), state, recorder


def announcement(number=1, host="h1", service="web", address=HOST, born=0, phase=HostPhase.READY):
    return HostAnnouncement(
        host, phase, 4, 0.0, number, service=service, address=address, started_unix_ms=born
    )


def test_an_announcement_of_the_host_beside_the_agent_is_accepted():
    handler, state, recorder = handler_and_state()
    assert handler.announce(announcement()) is AnnouncementOutcome.ACCEPTED
    assert handler.announce(announcement()) is AnnouncementOutcome.STALE
    assert state.phase is HostPhase.READY
    assert recorder.changes == 1


@pytest.mark.parametrize(
    "foreign",
    [
        announcement(2, "h2", service="export"),
        announcement(2, "h2", address=Endpoint("10.0.0.8", 8080)),
    ],
    ids=["another service", "another address"],
)
def test_an_announcement_of_another_host_changes_nothing(foreign):
    handler, state, recorder = handler_and_state()
    handler.announce(announcement())
    assert handler.announce(foreign) is AnnouncementOutcome.REFUSED
    assert (state.host_id, state.phase) == ("h1", HostPhase.READY)
    assert recorder.lines[-1][0] == "host-announcement-refused"
    assert handler.refused == 1


def test_a_start_under_the_same_id_is_another_host():
    """The flows that the agent knows belonged to the earlier start, so they become unconfirmed."""
    handler, _, recorder = handler_and_state()
    handler.announce(announcement(7, born=1000))
    handler.announce(announcement(1, born=2000))
    assert recorder.new_hosts == 1
    assert recorder.changes == 2


def test_the_next_call_of_the_same_start_is_no_other_host():
    handler, _, recorder = handler_and_state()
    handler.announce(announcement(7, born=1000))
    handler.announce(announcement(8, born=1000))
    assert recorder.new_hosts == 0
    assert recorder.changes == 1


def test_an_unreadable_announcement_is_counted_and_logged():
    handler, state, recorder = handler_and_state()
    handler.refuse("h1", "state: not a known state")
    assert state.phase is HostPhase.UNKNOWN
    assert handler.refused == 1
    assert recorder.lines == [
        ("host-announcement-refused", {"host": "h1", "reason": "state: not a known state"})
    ]
