import pytest

from jasperwalk.agent.datagrams.host import RETURN_SECONDS, HostAnnouncement, HostState
from jasperwalk.fleet.messages import HostPhase

READY, DRAINING = HostPhase.READY, HostPhase.DRAINING


def call(number, phase=READY, host="h1"):
    return HostAnnouncement(host, phase, 4, 0.0, number)


def state_after(*news):
    host = HostState()
    for each in news:
        host.leave(each) if isinstance(each, str) else host.announce(each, 10.0)
    return host


@pytest.mark.parametrize(
    ("news", "phase"),
    [
        ([], HostPhase.UNKNOWN),
        ([call(1)], READY),
        ([call(1), call(2, DRAINING)], DRAINING),
        ([call(2, DRAINING), call(1)], DRAINING),
        ([call(2, DRAINING), call(3)], DRAINING),
        ([call(1), "h1"], DRAINING),
        ([call(1), "h1", call(2)], DRAINING),
        (["h1", call(2)], DRAINING),
        ([call(1, host="old"), call(1), "old"], READY),
        ([call(1, host="old"), call(1), call(9, DRAINING, "old")], READY),
    ],
    ids=[
        "nothing heard",
        "ready",
        "drains",
        "a late ready call after draining",
        "ready after draining is no host's to say",
        "goodbye without draining",
        "a late call after the goodbye",
        "a late call after a goodbye that a new agent heard first",
        "the goodbye of the host before",
        "a late call of the host before",
    ],
)
def test_the_newest_word_of_the_present_host_counts(news, phase):
    assert state_after(*news).phase is phase


def test_a_late_call_is_told_apart():
    host = state_after(call(5))
    assert not host.announce(call(5), 11.0)
    assert not host.announce(call(4), 11.0)
    assert host.announce(call(6), 11.0)


def test_slow_start_runs_out():
    host = HostState()
    host.announce(HostAnnouncement("h1", READY, 4, 2.0, 1), 10.0)
    assert host.slow_start_seconds(11.5) == pytest.approx(0.5)
    assert host.slow_start_seconds(13.0) == 0.0


def test_a_host_that_said_goodbye_has_left():
    assert state_after(call(1), "h1").has_left()
    assert not state_after(call(1)).has_left()


def test_a_late_announcement_of_an_earlier_start_changes_nothing():
    state = HostState()
    state.announce(call(7, host="old"), 0.0)
    state.announce(call(1, host="new"), 1.0)
    assert not state.announce(call(8, host="old"), 1.5)
    assert state.host_id == "new"


def test_a_host_that_an_earlier_start_seemed_to_replace_counts_again():
    """The agent was restarted: it saw the present host first, then a late announcement."""
    state = HostState()
    state.announce(call(3, host="new"), 0.0)
    assert state.announce(call(8, host="old"), 0.2)
    assert not state.announce(call(4, host="new"), 0.8)
    assert state.announce(call(7, host="new"), 0.3 + RETURN_SECONDS)
    assert (state.host_id, state.phase) == ("new", READY)


def test_a_host_that_left_does_not_count_again_however_late_it_speaks():
    state = HostState()
    state.announce(call(7, DRAINING, "old"), 0.0)
    state.announce(call(1, host="new"), 1.0)
    assert not state.announce(call(8, host="old"), 100.0)
