"""Transfer of leadership to another voter, so that a planned stop costs no election timeout.

The leader refuses proposals meanwhile. Once the most up-to-date voter holds its whole log, it is
asked to campaign at once, and the others vote although they have a leader (Ongaro, 2014,
section 3.10). A transfer that does not complete within an election timeout is aborted.
"""

from __future__ import annotations

import math

from jasperwalk.consensus.messages import TimeoutNow
from jasperwalk.consensus.progress import Progress
from jasperwalk.consensus.state import ReplicaState


class LeadershipTransfer:
    """The leader's side; `progress` is what it knows of its followers."""

    def __init__(self, state: ReplicaState, progress: dict[int, Progress]) -> None:
        self._state = state
        self._progress = progress
        self._target: int | None = None
        self._deadline = -math.inf

    @property
    def is_active(self) -> bool:
        """Whether a transfer is in progress."""
        return self._target is not None

    def start(self, now: float) -> bool:
        """Choose the most up-to-date voter in contact; return False where there is none."""
        if self._target is None:
            self._target = self._choose_target(now)
            self._deadline = now + self._state.config.election_timeout_seconds
            self.advance()
        return self._target is not None

    def tick(self, now: float) -> None:
        """Repeat the request, in case the message was lost; abort at the deadline."""
        if now >= self._deadline:
            self._target = None
        self.advance()

    def advance(self) -> None:
        """Ask the target to campaign once it holds the whole log."""
        if self._target is None:
            return
        progress = self._progress.get(self._target)
        if progress is not None and progress.match_index == self._state.log.last_index:
            self._state.send(self._target, TimeoutNow(self._state.term))

    def _choose_target(self, now: float) -> int | None:
        oldest_contact = now - self._state.config.election_timeout_seconds
        candidates = [
            (self._progress[replica_id].match_index, replica_id)
            for replica_id in self._state.membership.voter_ids()
            if replica_id in self._progress
            if self._progress[replica_id].contact_at >= oldest_contact
        ]
        return max(candidates)[1] if candidates else None
