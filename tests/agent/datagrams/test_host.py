import pytest

from jasperwalk.agent.datagrams.host import (
    MAX_FORMER_HOSTS,
    MAX_NEW_HOST_CALL_NUMBER,
    MIN_RETURN_SPAN_SECONDS,
    MIN_SILENCE_BEFORE_RETURN_SECONDS,
    HostAnnouncement,
    HostState,
)
from jasperwalk.fleet.messages import HostPhase

READY, DRAINING = HostPhase.READY, HostPhase.DRAINING


def call(number, phase=READY, host="h1"):
    return HostAnnouncement(host, phase, 4, 0.0, number)


def state_after(*announcement):
    host = HostState()
    for each in announcement:
        host.leave(each) if isinstance(each, str) else host.announce(each, 10.0)
    return host


@pytest.mark.parametrize(
    ("announcement", "phase"),
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
def test_the_newest_announcement_of_the_present_host_counts(announcement, phase):
    assert state_after(*announcement).phase is phase


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


def test_a_host_that_deregistered_has_left():
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
    assert state.announce(call(7, host="new"), 0.3 + MIN_SILENCE_BEFORE_RETURN_SECONDS)
    assert (state.host_id, state.phase) == ("new", READY)


def test_a_host_that_left_does_not_count_again_however_late_it_speaks():
    state = HostState()
    state.announce(call(7, DRAINING, "old"), 0.0)
    state.announce(call(1, host="new"), 1.0)
    assert not state.announce(call(8, host="old"), 100.0)


BORN, BORN_AGAIN = 1_700_000_000_000, 1_700_000_009_000


def start(number, born, phase=READY, host="h1"):
    return HostAnnouncement(host, phase, 4, 0.0, number, started_unix_ms=born)


def test_a_host_that_starts_again_under_its_id_counts_from_its_first_call():
    state = state_after(start(9, BORN))
    assert state.announce(start(1, BORN_AGAIN), 10.5)
    assert (state.started_unix_ms, state.call_number) == (BORN_AGAIN, 1)


@pytest.mark.parametrize(
    "before", [[start(9, BORN, DRAINING)], [start(9, BORN), "h1"]], ids=["drained", "left"]
)
def test_a_host_that_starts_again_under_its_id_takes_work_though_it_had_left(before):
    state = state_after(*before)
    assert state.announce(start(1, BORN_AGAIN), 10.5)
    assert state.phase is READY
    assert not state.has_left()


@pytest.mark.parametrize("phase", [READY, DRAINING])
def test_a_late_call_of_an_earlier_start_under_the_same_id_changes_nothing(phase):
    state = state_after(start(1, BORN_AGAIN))
    assert not state.announce(start(70, BORN, phase), 10.5)
    assert (state.phase, state.started_unix_ms) == (READY, BORN_AGAIN)


@pytest.mark.parametrize("host", ["h1", "old"])
def test_a_late_call_of_a_start_that_this_agent_never_knew_changes_nothing(host):
    """The agent was restarted, so it does not know that the earlier start was replaced."""
    state = state_after(start(3, BORN_AGAIN))
    assert not state.announce(start(70, BORN, host=host), 10.5)
    assert (state.host_id, state.phase) == ("h1", READY)


@pytest.mark.parametrize("host", ["h1", "old"])
def test_a_late_call_of_an_earlier_start_does_not_revive_a_host_that_drained(host):
    state = state_after(start(1, BORN_AGAIN), start(2, BORN_AGAIN, DRAINING))
    assert not state.announce(start(70, BORN, host=host), 100.0)
    assert state.phase is DRAINING


def test_a_start_whose_clock_was_set_back_counts_once_the_one_before_is_silent():
    state = state_after(start(3, BORN_AGAIN))
    assert not state.announce(start(1, BORN), 10.5)
    assert state.announce(start(4, BORN), 10.1 + MIN_SILENCE_BEFORE_RETURN_SECONDS)
    assert state.started_unix_ms == BORN


@pytest.mark.parametrize(("known", "said"), [(0, BORN), (BORN, 0)])
def test_calls_without_a_time_of_start_are_of_the_start_that_is_known(known, said):
    state = state_after(start(5, known))
    assert not state.announce(start(4, said), 10.5)
    assert state.announce(start(6, said), 10.5)
    assert state.started_unix_ms == BORN


def test_a_new_start_shows_in_the_summary_that_is_announced():
    state = state_after(start(9, BORN))
    before = state.summary(10.0)
    state.announce(start(1, BORN_AGAIN), 10.5)
    assert state.summary(10.5) != before


def test_former_hosts_are_remembered_within_a_bound():
    state = HostState()
    for number in range(3 * MAX_FORMER_HOSTS):
        state.announce(call(1, host=f"h{number}"), float(number))
        state.leave(f"other-{number}")
    assert len(state._left) <= MAX_FORMER_HOSTS
    assert len(state._replaced) <= MAX_FORMER_HOSTS


LONG_SILENCE = 3 * MIN_SILENCE_BEFORE_RETURN_SECONDS
FORMER, PRESENT = call(20, host="former"), call(3, host="present")
EARLY, LATER = 1_700_000_000_000, 1_700_000_009_000


def registered_again(now=0.0):
    """Return a host that replaced a former one and announced itself last at `now`."""
    state = HostState()
    state.announce(FORMER, now - 2.0)
    state.announce(call(2, host="present"), now - 1.0)
    state.announce(PRESENT, now)
    return state


def known_alone(now=0.0):
    """Return the same at an agent that was restarted and never knew the former one."""
    state = HostState()
    state.announce(call(2, host="present"), now - 1.0)
    state.announce(PRESENT, now)
    return state


LATE_CALLS = {
    "one": [(21, READY, 0.0)],
    "one that drains": [(21, DRAINING, 0.0)],
    "several that the cut held up together": [(21, READY, 0.0), (22, READY, 0.1), (24, READY, 0.9)],
    "out of order": [(24, READY, 0.0), (21, READY, MIN_RETURN_SPAN_SECONDS), (23, READY, 2.0)],
    "the same one again": [(21, READY, 0.0), (21, READY, MIN_RETURN_SPAN_SECONDS)],
}


@pytest.mark.parametrize("known", [registered_again, known_alone])
@pytest.mark.parametrize("silent_for", [0.5, LONG_SILENCE])
@pytest.mark.parametrize("late_calls", LATE_CALLS.values(), ids=LATE_CALLS.keys())
def test_late_calls_of_a_crashed_host_change_nothing(known, silent_for, late_calls):
    state = known()
    for number, phase, later in late_calls:
        assert not state.announce(call(number, phase, "former"), silent_for + later)
    assert (state.host_id, state.phase) == ("present", READY)
    assert state.announce(call(4, host="present"), silent_for + MIN_SILENCE_BEFORE_RETURN_SECONDS)


@pytest.mark.parametrize("born", [EARLY, LATER])
def test_late_calls_of_a_crashed_host_change_nothing_whatever_its_clock_said(born):
    state = HostState()
    state.announce(start(1, EARLY + 1), 0.0)
    state.announce(start(2, EARLY + 1), 1.0)
    for number in (40, 41):
        late = start(number, born, host="former")
        assert not state.announce(late, 1.5 + LONG_SILENCE)
    assert state.host_id == "h1"
    assert state.announce(start(3, EARLY + 1), 2.0 + LONG_SILENCE)


@pytest.mark.parametrize("known", [registered_again, known_alone])
def test_a_host_that_goes_on_calling_while_the_present_one_is_silent_counts(known):
    state = known()
    times = [
        MIN_SILENCE_BEFORE_RETURN_SECONDS + 0.1 + each for each in (0.0, MIN_RETURN_SPAN_SECONDS)
    ]
    taken = [state.announce(call(21 + n, host="former"), at) for n, at in enumerate(times)]
    assert taken == [False, True]
    assert state.host_id == "former"


def test_calls_from_before_the_present_one_spoke_do_not_count_for_a_return():
    state = registered_again()
    assert not state.announce(call(21, host="former"), 0.5)
    assert state.announce(call(4, host="present"), 1.0)
    assert not state.announce(call(22, host="former"), 1.0 + LONG_SILENCE)


def test_another_host_that_has_just_started_counts_from_its_first_call():
    state = known_alone()
    assert state.announce(call(MAX_NEW_HOST_CALL_NUMBER, host="next"), 0.1)
    assert state.host_id == "next"


def test_a_host_that_spoke_once_may_itself_have_been_late():
    """An agent that has just started receives a late call first, then one of the present host."""
    state = state_after(call(20, host="former"))
    assert state.announce(call(12, host="present"), 10.5)
    assert state.host_id == "present"
