"""The replica's identity in the cluster: its replica ID and its data folder.

A replica ID belongs to one data folder. The founders' IDs are derived from their addresses, so
that all founders agree on them; any other ID is drawn at random. A replica that the cluster has
removed starts again in a new folder under a new ID. Folders are numbered; the one with the highest
number is used.
"""

from __future__ import annotations

import secrets
import shutil
from dataclasses import dataclass
from pathlib import Path

from jasperwalk.addresses import Endpoint
from jasperwalk.consensus.storage import stored_replica_id

RANDOM_ID_BITS = 62
FOLDER_PREFIX = "replica-"


@dataclass(frozen=True)
class ReplicaIdentity:
    """A replica's ID and its folder; `founders` is empty on a replica that joins."""

    replica_id: int
    folder: Path
    founders: dict[int, Endpoint]


def founder_id(address: Endpoint) -> int:
    """Return the replica ID of a founder: its packed address as a number."""
    return int.from_bytes(address.pack(), "big")


def open_identity(
    data_folder: Path, address: Endpoint, seeds: list[Endpoint], founding: bool
) -> ReplicaIdentity:
    """Return the identity in the newest folder, or a new one; raises `StorageError`."""
    founders = {founder_id(seed): seed for seed in seeds}
    folder = _newest_folder(data_folder)
    stored = stored_replica_id(folder)
    if stored is not None:
        is_founder = stored == founder_id(address)
        return ReplicaIdentity(stored, folder, founders if is_founder else {})
    if founding and founder_id(address) in founders:
        return ReplicaIdentity(founder_id(address), folder, founders)
    return ReplicaIdentity(_random_id(), folder, {})


def renew_identity(data_folder: Path) -> ReplicaIdentity:
    """Return a new identity in a new folder, for a replica that the cluster removed."""
    old = _newest_folder(data_folder)
    number = int(old.name.removeprefix(FOLDER_PREFIX)) + 1
    shutil.rmtree(old, ignore_errors=True)
    return ReplicaIdentity(_random_id(), data_folder / f"{FOLDER_PREFIX}{number}", {})


def _random_id() -> int:
    """Draw an ID; its highest bit lies above an address's 48, so that no founder has the same."""
    return secrets.randbits(RANDOM_ID_BITS) | (1 << (RANDOM_ID_BITS - 1))


def _newest_folder(data_folder: Path) -> Path:
    data_folder.mkdir(parents=True, exist_ok=True)
    numbers = [
        int(each.name.removeprefix(FOLDER_PREFIX))
        for each in data_folder.glob(f"{FOLDER_PREFIX}*")
        if each.name.removeprefix(FOLDER_PREFIX).isdecimal()
    ]
    return data_folder / f"{FOLDER_PREFIX}{max(numbers, default=1)}"
