"""Settings of one replica's Raft core: initial members, intervals, time-outs and limits."""

from __future__ import annotations

from dataclasses import dataclass

KIBIBYTE = 1024


@dataclass(frozen=True)
class InitialMember:
    """A replica of the first deployment; `address` is opaque to the core."""

    replica_id: int
    address: str = ""


@dataclass(frozen=True)
class RaftConfig:
    """Settings of one replica's core.

    `initial_members` are the replicas that found the cluster, the same on each of them. A
    replica that joins later (or replaces one that lost its disk) has a new replica ID that
    is not among them; it waits until the leader adds it as a learner.
    """

    initial_members: tuple[InitialMember, ...]
    heartbeat_interval_seconds: float = 0.1
    election_timeout_seconds: float = 1.0
    """A replica waits between one and two election timeouts before it campaigns."""
    first_election_seconds: float | None = None
    """Longest wait of a process that has just started and knows no leader; None means the
    normal wait. It may be short: pre-votes keep the campaign from disturbing a leader that the
    others follow, and after a power loss there is none. It doubles with each failed campaign."""
    founding_interval_seconds: float = 0.2
    max_batch_entries: int = 256
    max_batch_bytes: int = 256 * KIBIBYTE
    max_in_flight_entries: int = 2048
    """Entries sent to one follower and not acknowledged yet."""
    max_pending_entries: int = 4096
    """Limit of the proposal queue: entries in the leader's log that are not committed."""
    max_command_bytes: int = 1024 * KIBIBYTE
    max_committed_per_ready: int = 1024
    snapshot_chunk_bytes: int = 256 * KIBIBYTE
    trailing_entries: int = 512
    """Entries kept below a snapshot, so that a follower that lags briefly needs no snapshot."""
    promotion_lag_entries: int = 32
    """A learner counts as caught up when it lacks no more entries than this."""

    def initial_ids(self) -> list[int]:
        """Return the replica IDs of the initial members."""
        return [member.replica_id for member in self.initial_members]
