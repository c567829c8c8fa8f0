"""The planned stop of an agent while its host still drains."""

import asyncio

from jasperwalk.agent.datagrams import planned_stop
from jasperwalk.agent.datagrams.host import HostAnnouncement, HostState
from jasperwalk.fleet.messages import HostPhase

GRACE_SECONDS = 6.0


def host(phase):
    state = HostState()
    state.announce(HostAnnouncement("h1", phase, 2, 0.0, 1), 0.0)
    return state


def pauses_before_stop(monkeypatch, state, leaves_after=None):
    """Return the pauses before the agent goes on to stop."""
    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)
        if len(pauses) == leaves_after:
            state.leave("h1")

    monkeypatch.setattr(planned_stop.asyncio, "sleep", sleep)
    asyncio.run(planned_stop.wait_for_deregistration(state, GRACE_SECONDS))
    return pauses


def test_it_serves_on_until_the_host_has_deregistered(monkeypatch):
    assert len(pauses_before_stop(monkeypatch, host(HostPhase.DRAINING), leaves_after=7)) == 7


def test_it_stops_within_its_grace_all_the_same(monkeypatch):
    pauses = pauses_before_stop(monkeypatch, host(HostPhase.DRAINING))
    assert 0 < sum(pauses) <= GRACE_SECONDS - planned_stop.DEREGISTRATION_MARGIN_SECONDS


def test_it_stops_at_once_beside_a_host_that_stays_or_has_left(monkeypatch):
    gone = host(HostPhase.DRAINING)
    gone.leave("h1")
    for state in (host(HostPhase.READY), HostState(), gone):
        assert pauses_before_stop(monkeypatch, state) == []
