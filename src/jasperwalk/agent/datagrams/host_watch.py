"""The log of a host's response to opening packets: one line for each change of belief."""

from __future__ import annotations

from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.agent.datagrams.host_response import HostResponse
from jasperwalk.observability.decisions import DecisionLog


class HostWatch:
    """Passes on to `response` what the host does; sans-IO, times are seconds."""

    def __init__(self, host: HostState, log: DecisionLog) -> None:
        self._host = host
        self._log = log
        self.response = HostResponse()

    def note_packet(self, now: float) -> None:
        """Note a packet of the host."""
        self.response.note_packet()
        self.check(now)

    def note_opening_returned(self, now: float) -> None:
        """Note that the host handed an opening packet back."""
        if self.response.note_returned():
            self._log.note("host-returns-openings", **self._host.describe(now))

    def note_opening_taken(self, now: float) -> None:
        """Note that the host answered an opening packet."""
        if self.response.note_taken():
            self._log.note("host-takes-openings", **self._host.describe(now))

    def note_replaced(self) -> None:
        """Note that another host has taken the place of this one."""
        self.response.note_taken()

    def check(self, now: float) -> None:
        """Log that the host no longer answers, or does again; call every second."""
        if self.response.has_turned(now):
            event = "host-silent" if self.response.is_silent(now) else "host-answers-again"
            self._log.note(event, **self._host.describe(now))
