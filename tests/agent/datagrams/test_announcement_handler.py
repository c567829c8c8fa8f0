"""What an agent takes of what is announced to it: the host beside it, and no other."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.announcement_handler import AnnouncementHandler, AnnouncementOutcome
from jasperwalk.agent.datagrams.host import HostAnnouncement, HostState
from jasperwalk.fleet.messages import HostPhase

HOST = Endpoint("10.0.0.9", 8080)


class Told:
    def __init__(self):
        self.changes = 0
        self.new_hosts = 0
        self.lines = []

    def note(self, event, **fields):
        self.lines.append((event, fields))


def handler_and_state():
    told, state = Told(), HostState()

    def changed():
        told.changes += 1

    def replaced():
        told.new_hosts += 1

    return AnnouncementHandler(state, "web", HOST, told, changed, replaced), state, told


def announcement(number=1, host="h1", service="web", address=HOST, born=0, phase=HostPhase.READY):
    return HostAnnouncement(
        host, phase, 4, 0.0, number, service=service, address=address, started_unix_ms=born
    )


def test_the_host_beside_the_agent_is_taken():
    handler, state, told = handler_and_state()
    assert handler.announce(announcement()) is AnnouncementOutcome.ACCEPTED
    assert handler.announce(announcement()) is AnnouncementOutcome.STALE
    assert state.phase is HostPhase.READY
    assert told.changes == 1


@pytest.mark.parametrize(
    "foreign",
    [
        announcement(2, "h2", service="export"),
        announcement(2, "h2", address=Endpoint("10.0.0.8", 8080)),
    ],
    ids=["another service", "another address"],
)
def test_what_another_host_says_of_itself_changes_nothing(foreign):
    handler, state, told = handler_and_state()
    handler.announce(announcement())
    assert handler.announce(foreign) is AnnouncementOutcome.REFUSED
    assert (state.host_id, state.phase) == ("h1", HostPhase.READY)
    assert told.lines[-1][0] == "host-announcement-refused"
    assert handler.refused == 1


def test_a_start_under_the_same_id_is_another_host():
    """The flows that the agent knows were the earlier start's: each is asked for anew."""
    handler, _, told = handler_and_state()
    handler.announce(announcement(7, born=1000))
    handler.announce(announcement(1, born=2000))
    assert told.new_hosts == 1
    assert told.changes == 2


def test_the_next_call_of_the_same_start_is_no_other_host():
    handler, _, told = handler_and_state()
    handler.announce(announcement(7, born=1000))
    handler.announce(announcement(8, born=1000))
    assert told.new_hosts == 0
    assert told.changes == 1


def test_an_unreadable_announcement_is_counted_and_told():
    handler, state, told = handler_and_state()
    handler.refuse("h1", "state: not a known state")
    assert state.phase is HostPhase.UNKNOWN
    assert handler.refused == 1
    assert told.lines == [
        ("host-announcement-refused", {"host": "h1", "reason": "state: not a known state"})
    ]
