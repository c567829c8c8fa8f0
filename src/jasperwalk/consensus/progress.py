"""What a leader knows about one follower."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

from jasperwalk.consensus.durable import SnapshotData


class ProgressMode(enum.Enum):
    """How the leader replicates to a follower."""

    PROBE = "probe"
    """One message at a time, until the logs are known to match."""
    REPLICATE = "replicate"
    """Batches are sent without waiting for replies."""
    SNAPSHOT = "snapshot"
    """Chunks of a snapshot, one at a time."""


@dataclass
class SnapshotTransfer:
    """A snapshot being sent; it stays the same even if the leader takes a newer one."""

    snapshot: SnapshotData
    checksum: int
    offset: int = 0


@dataclass
class Progress:
    """Replication state of one follower.

    `contact_at` is the send time (leader's clock, seconds) of the newest answered message.
    `awaiting_reply` holds back the next probe or chunk until a reply or a heartbeat.
    """

    next_index: int
    match_index: int = 0
    mode: ProgressMode = ProgressMode.PROBE
    contact_at: float = -math.inf
    awaiting_reply: bool = False
    sent_commit_index: int = 0
    disk_id: str = ""
    transfer: SnapshotTransfer | None = None

    def record_match(self, index: int) -> None:
        """Record that the follower holds the leader's entries up to `index`."""
        self.awaiting_reply = False
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.mode is ProgressMode.PROBE:
            self.mode = ProgressMode.REPLICATE
            self.next_index = self.match_index + 1

    def record_rejection(self, rejected_index: int, next_index: int) -> None:
        """Go back after a refusal, unless a later match has superseded it."""
        if rejected_index <= self.match_index or rejected_index >= self.next_index:
            return
        self.awaiting_reply = False
        self.mode = ProgressMode.PROBE
        self.next_index = max(self.match_index + 1, min(next_index, rejected_index))

    def start_transfer(self, snapshot: SnapshotData) -> None:
        """Start to send a snapshot from its first byte."""
        self.mode = ProgressMode.SNAPSHOT
        self.awaiting_reply = False
        self.transfer = SnapshotTransfer(snapshot=snapshot, checksum=snapshot.checksum())

    def finish_transfer(self, index: int) -> None:
        """Continue with the entries after the installed snapshot."""
        self.transfer = None
        self.mode = ProgressMode.PROBE
        self.record_match(index)
        self.next_index = self.match_index + 1

    def reset(self, next_index: int, disk_id: str) -> None:
        """Start over with a learner that came back with another disk."""
        self.match_index = 0
        self.next_index = next_index
        self.mode = ProgressMode.PROBE
        self.awaiting_reply = False
        self.transfer = None
        self.disk_id = disk_id
