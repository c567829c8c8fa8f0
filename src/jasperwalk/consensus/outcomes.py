"""Typed outcomes of proposals, and the output of the core."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import ClassVar

from jasperwalk.consensus.durable import PersistBatch, SnapshotData
from jasperwalk.consensus.entries import LogEntry
from jasperwalk.consensus.messages import RaftMessage
from jasperwalk.errors import JasperwalkError


@dataclass(frozen=True)
class Proposed:
    """The entry is in the leader's log; it takes effect if `index` is committed with `term`."""

    kind: ClassVar[str] = "proposed"
    term: int
    index: int


@dataclass(frozen=True)
class NotLeader:
    """The replica does not lead; `leader_id` does, as far as the replica knows."""

    kind: ClassVar[str] = "not-leader"
    leader_id: int | None


@dataclass(frozen=True)
class Overloaded:
    """The proposal queue is full: `pending` entries are not committed yet."""

    kind: ClassVar[str] = "overloaded"
    pending: int
    limit: int


@dataclass(frozen=True)
class CommandTooLarge:
    """The command has more bytes than an entry may hold."""

    kind: ClassVar[str] = "command-too-large"
    size_bytes: int
    limit_bytes: int


class RefusalReason(enum.StrEnum):
    """Why a change of members was refused."""

    CHANGE_IN_PROGRESS = "change-in-progress"
    LEADER_NOT_SETTLED = "leader-not-settled"
    REPLICA_EXISTS = "replica-exists"
    REPLICA_ID_USED = "replica-id-used"
    REPLICA_UNKNOWN = "replica-unknown"
    NOT_A_LEARNER = "not-a-learner"
    NOT_CAUGHT_UP = "not-caught-up"
    LAST_VOTER = "last-voter"


@dataclass(frozen=True)
class MembershipRefused:
    """The leader refused a change of members; the state is unchanged."""

    kind: ClassVar[str] = "membership-refused"
    reason: RefusalReason


ProposalOutcome = Proposed | NotLeader | Overloaded | CommandTooLarge
MembershipOutcome = Proposed | NotLeader | MembershipRefused


@dataclass(frozen=True)
class Outgoing:
    """A message for the replica `to`."""

    to: int
    message: RaftMessage


@dataclass(frozen=True)
class Ready:
    """What the runner of the core does next, in the order of the fields.

    Sync `persist` to disk and call `RaftNode.persisted`, then send `messages`, then restore
    the state machine from `install_snapshot`, then apply `committed`.
    """

    persist: PersistBatch | None = None
    messages: list[Outgoing] = field(default_factory=list)
    install_snapshot: SnapshotData | None = None
    committed: list[LogEntry] = field(default_factory=list)

    def is_empty(self) -> bool:
        """Tell whether there is nothing to do."""
        no_state = self.persist is None and self.install_snapshot is None
        return no_state and not self.messages and not self.committed


@dataclass(eq=False)
class InvariantViolation(JasperwalkError):
    """A Raft invariant does not hold on this replica; the process must stop."""

    kind: ClassVar[str] = "consensus-invariant-broken"
    reason: str

    def describe(self) -> str:
        """Name the invariant."""
        return f"consensus invariant broken: {self.reason}; stop and replace this replica"
