"""Elections: when a replica campaigns, how it counts votes and to whom it grants its own."""

from __future__ import annotations

from jasperwalk.consensus.messages import RequestVote, TimeoutNow, VoteReply
from jasperwalk.consensus.state import ReplicaState, Role


class Election:
    """Campaigns of this replica and its answers to those of others."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._granted: set[int] = set()
        self.started_at = 0.0
        """When the current campaign started, seconds; votes prove contact since then."""

    def tick(self, now: float) -> bool:
        """Start a pre-vote when the election deadline has passed without contact with a leader.

        Return True when the election is won at once.
        """
        state = self._state
        if state.role is Role.LEADER or now < state.election_deadline:
            return False
        if state.leader_id is not None and state.stall_grace.is_running(now):
            state.election_deadline = state.stall_grace.ends_at
            return False
        state.schedule_campaign(now)
        if not state.is_voter():
            return False
        return self._start_pre_vote(now)

    def _start_pre_vote(self, now: float) -> bool:
        """Ask whether a campaign would succeed, without changing the term of any replica."""
        self._state.role = Role.PRE_CANDIDATE
        self._state.leader_id = None
        return self._ask_for_votes(now, term=self._state.term + 1, pre_vote=True)

    def on_timeout_now(self, sender: int, message: TimeoutNow, now: float) -> bool:
        """Campaign at the leader's request; return True when the election is won."""
        state = self._state
        is_from_leader = sender == state.leader_id and message.term == state.term
        if state.role is not Role.FOLLOWER or not is_from_leader or not state.is_voter():
            return False
        return self._start_campaign(now, transferred=True)

    def _start_campaign(self, now: float, transferred: bool = False) -> bool:
        """Move to the next term and vote for itself; both are persisted before asking."""
        state = self._state
        state.set_hard_state(state.term + 1, state.replica_id)
        state.role = Role.CANDIDATE
        state.reset_election_timer(now)
        state.leader_id = None
        return self._ask_for_votes(now, state.term, False, transferred)

    def _ask_for_votes(
        self, now: float, term: int, pre_vote: bool, transferred: bool = False
    ) -> bool:
        self.started_at = now
        self._granted = {self._state.replica_id}
        log = self._state.log
        request = RequestVote(term, log.last_index, log.last_term, pre_vote, transferred)
        for replica_id in self._state.membership.voter_ids():
            if replica_id != self._state.replica_id:
                self._state.send(replica_id, request)
        return self._advance_on_quorum(now)

    def _advance_on_quorum(self, now: float) -> bool:
        """Go on to the next stage on a quorum of votes; return True when the election is won."""
        if not self._state.membership.has_quorum(self._granted):
            return False
        if self._state.role is Role.PRE_CANDIDATE:
            return self._start_campaign(now)
        return True

    def on_request(self, sender: int, request: RequestVote, now: float) -> None:
        """Answer a request for a vote or pre-vote."""
        state = self._state
        if not state.may_grant_vote():
            return
        # A replica in contact with its leader refuses without adopting the term, so that a
        # replica that was partitioned or removed cannot depose a working leader.
        hears_leader = self._has_leader_contact(now) and not request.transferred
        if request.term < state.term or hears_leader:
            self._reply(sender, state.term, False, request.pre_vote)
            return
        if request.pre_vote:
            granted = request.term > state.term and self._is_up_to_date(request)
            self._reply(sender, request.term if granted else state.term, granted, True)
            return
        if request.term > state.term:
            state.become_follower(request.term, None)
        granted = self._is_vote_free_for(sender) and self._is_up_to_date(request)
        if granted:
            state.set_hard_state(state.term, sender)
            state.reset_election_timer(now)
        self._reply(sender, state.term, granted, False)

    def _has_leader_contact(self, now: float) -> bool:
        if self._state.role is Role.LEADER:
            return True
        silence = now - self._state.leader_seen_at
        known = self._state.leader_id is not None
        return known and silence < self._state.config.election_timeout_seconds

    def _is_vote_free_for(self, candidate: int) -> bool:
        return self._state.hard_state.voted_for in (None, candidate)

    def _is_up_to_date(self, request: RequestVote) -> bool:
        log = self._state.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    def _reply(self, to: int, term: int, granted: bool, pre_vote: bool) -> None:
        self._state.send(to, VoteReply(term, granted, pre_vote, self._state.disk_id))

    def on_reply(self, sender: int, reply: VoteReply, now: float) -> bool:
        """Count a vote; return True when this replica has won the election."""
        state = self._state
        if not reply.granted:
            if reply.term > state.term:
                state.become_follower(reply.term, None)
            return False
        if not self._matches_campaign(reply) or not self._is_from_listed_disk(sender, reply):
            return False
        self._granted.add(sender)
        return self._advance_on_quorum(now)

    def _matches_campaign(self, reply: VoteReply) -> bool:
        if reply.pre_vote:
            return self._state.role is Role.PRE_CANDIDATE and reply.term == self._state.term + 1
        return self._state.role is Role.CANDIDATE and reply.term == self._state.term

    def _is_from_listed_disk(self, sender: int, reply: VoteReply) -> bool:
        """Tell whether the vote is from the listed disk: a replaced one has lost earlier votes."""
        member = self._state.membership.find(sender)
        return member is not None and member.disk_id == reply.disk_id

    def voters(self) -> set[int]:
        """Return who voted for this replica in the current campaign."""
        return set(self._granted)
