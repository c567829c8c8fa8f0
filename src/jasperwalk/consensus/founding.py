"""Founding (bootstrap) of a cluster, and why a replica that lost its disk cannot vote.

A vote belongs to a disk, not to a replica ID. Every member list names the disk of each voter,
and votes and acknowledgements from other disks are ignored. The first member list is made
once: the initial member with the lowest replica ID (the founder) asks all initial members for
their disks, and only when every one of them answers that it knows no cluster does it write
the list. The others adopt the list from any member that has it, if it names their own
disk. A replica whose disk was lost finds a list that names its old disk: it is displaced,
neither votes nor acknowledges, and has to be replaced under a new replica ID.
"""

from __future__ import annotations

import math

from jasperwalk.consensus.entries import Member, Membership
from jasperwalk.consensus.messages import FoundingProbe, FoundingReply
from jasperwalk.consensus.state import ReplicaState


class Founding:
    """The handshake of replicas with empty disks."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._disks: dict[int, str] = {state.replica_id: state.disk_id}
        self.displaced = False
        """True when the founding list does not name this replica's disk."""
        self.deadline = state.now if self.is_pending() else math.inf

    def is_pending(self) -> bool:
        """Tell whether this initial member doesn't know its first member list yet."""
        is_initial = self._state.replica_id in self._state.config.initial_ids()
        return is_initial and self._state.hard_state.founding is None

    def tick(self, now: float) -> None:
        """Probe the other initial members at an interval until the founding list is known."""
        if now < self.deadline:
            return
        if not self.is_pending() or self.displaced:
            self.deadline = math.inf
            return
        self.deadline = now + self._state.config.founding_interval_seconds
        self._found_if_complete()
        for replica_id in self._state.config.initial_ids():
            if self.is_pending() and replica_id != self._state.replica_id:
                self._state.send(replica_id, FoundingProbe(disk_id=self._state.disk_id))

    def on_probe(self, sender: int, probe: FoundingProbe) -> None:
        """Answer with this replica's disk and the founding list, if it knows it."""
        founding = self._state.hard_state.founding
        reply = FoundingReply(probe.disk_id, self._state.disk_id, founding)
        self._state.send(sender, reply)

    def on_reply(self, sender: int, reply: FoundingReply) -> None:
        """Adopt a founding list, or record the disk of a member that knows of none."""
        # An answer to an earlier disk of this replica says nothing about this one.
        if not self.is_pending() or reply.asker_disk_id != self._state.disk_id:
            return
        if reply.founding is None:
            if sender not in self._state.config.initial_ids():
                return
            self._disks[sender] = reply.disk_id
            self._found_if_complete()
            return
        member = reply.founding.find(self._state.replica_id)
        if member is None or member.disk_id != self._state.disk_id:
            self.displaced = True
            return
        self._adopt(reply.founding)

    def _found_if_complete(self) -> None:
        """As the founder, write the founding list once every initial member has answered."""
        initial = self._state.config.initial_members
        is_founder = self._state.replica_id == min(self._state.config.initial_ids())
        if not is_founder or self.displaced or len(self._disks) < len(initial):
            return
        members = [
            Member(one.replica_id, self._disks[one.replica_id], True, one.address)
            for one in sorted(initial, key=lambda one: one.replica_id)
        ]
        self._adopt(Membership(members=members))

    def _adopt(self, founding: Membership) -> None:
        self.deadline = math.inf
        self._state.set_hard_state(self._state.term, self._state.hard_state.voted_for, founding)
        self._state.members.reset(0, founding)
        self._state.reset_election_timer(self._state.now)
