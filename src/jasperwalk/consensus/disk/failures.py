"""Typed failures of the storage. None of them is repaired silently."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

from jasperwalk.errors import JasperwalkError


@dataclass(eq=False)
class StorageError(JasperwalkError):
    """Base of the storage's failures; `path` is the file or folder concerned."""

    kind: ClassVar[str] = "storage-error"
    path: Path


@dataclass(eq=False)
class CorruptFile(StorageError):
    """Synced bytes do not read back as written; `offset` is the position in the file."""

    kind: ClassVar[str] = "storage-damaged"
    offset: int
    reason: str

    def describe(self) -> str:
        """Name the position and the remedy."""
        return (
            f"{self.path} is damaged at byte {self.offset}: {self.reason}; "
            "remove this replica and add a new one with a new replica ID"
        )


@dataclass(eq=False)
class MissingFile(StorageError):
    """A file that other files refer to is missing."""

    kind: ClassVar[str] = "storage-file-missing"

    def describe(self) -> str:
        """Name the file and the remedy."""
        return f"{self.path} is missing; remove this replica and add one with a new replica ID"


@dataclass(eq=False)
class IdentityMismatch(StorageError):
    """The data folder belongs to another replica or cluster."""

    kind: ClassVar[str] = "storage-identity-mismatch"
    found_cluster_id: str
    found_replica_id: int

    def describe(self) -> str:
        """Name the owner of the folder."""
        return (
            f"{self.path} belongs to replica {self.found_replica_id} of cluster "
            f"{self.found_cluster_id!r}; set the matching IDs or another data folder"
        )


@dataclass(eq=False)
class FolderInUse(StorageError):
    """Another process has locked the data folder."""

    kind: ClassVar[str] = "storage-in-use"

    def describe(self) -> str:
        """Name the folder."""
        return f"{self.path} is in use by another process; stop it or set another data folder"


@dataclass(eq=False)
class WriteFailed(StorageError):
    """A write or sync failed. What is on disk is unknown, so the process must restart."""

    kind: ClassVar[str] = "storage-write-failed"
    reason: str

    def describe(self) -> str:
        """Give the reason of the operating system."""
        return f"writing {self.path} failed: {self.reason}; restart the process"
