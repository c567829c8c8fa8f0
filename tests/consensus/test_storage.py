"""Which crashes the data folder recovers from, and which damage it refuses to load."""

from __future__ import annotations

from pathlib import Path

import pytest

from jasperwalk.consensus.disk.failures import (
    CorruptFile,
    FolderInUse,
    IdentityMismatch,
    MissingFile,
    WriteFailed,
)
from jasperwalk.consensus.disk.frames import encode_frame, read_frames
from jasperwalk.consensus.durable import HardState, PersistBatch, SnapshotData
from jasperwalk.consensus.entries import EMPTY_MEMBERSHIP, EntryKind, LogEntry
from jasperwalk.consensus.storage import FileStorage

SEGMENT_BYTES = 250


def entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, b"command %d of %d" % (index, term))


def snapshot(index: int, term: int = 1) -> SnapshotData:
    return SnapshotData(index, term, EMPTY_MEMBERSHIP, b"state" * 50)


def open_storage(folder: Path, disk_id: str = "disk", replica_id: int = 1) -> FileStorage:
    return FileStorage(folder, "cluster", replica_id, disk_id, SEGMENT_BYTES)


def load(folder: Path):
    """Load a folder as after a crash, and unlock it."""
    storage = open_storage(folder, "another disk")
    durable = storage.load()
    storage.close()
    return durable


@pytest.fixture
def populated_folder(tmp_path: Path) -> Path:
    """Return a folder with entries 1 to 30 over several segments, a vote and a snapshot."""
    storage = open_storage(tmp_path / "data")
    storage.load()
    storage.persist(PersistBatch(hard_state=HardState(term=7, voted_for=2)))
    for index in range(1, 31):
        storage.persist(PersistBatch(entries=[entry(index)]))
    storage.persist(PersistBatch(snapshot=snapshot(20), discard_through=15))
    storage.close()
    return tmp_path / "data"


def segments(folder: Path) -> list[Path]:
    return sorted(folder.glob("segment-*.log"))


def test_all_that_was_persisted_is_loaded(populated_folder):
    assert len(segments(populated_folder)) > 3
    assert not (populated_folder / "segment-0000000001.log").exists()
    durable = load(populated_folder)
    assert durable.hard_state == HardState(term=7, voted_for=2)
    assert durable.snapshot == snapshot(20)
    assert durable.entries[0].index <= 16
    assert durable.entries == [entry(one) for one in range(durable.entries[0].index, 31)]
    assert (durable.disk_id, durable.fresh) == ("disk", False)


def test_a_new_folder_is_fresh_once(tmp_path):
    assert load(tmp_path).fresh
    assert not load(tmp_path).fresh


def test_a_conflicting_tail_is_replaced(populated_folder):
    storage = open_storage(populated_folder)
    storage.load()
    storage.persist(PersistBatch(entries=[entry(25, 2), entry(26, 2)]))
    storage.close()
    assert load(populated_folder).entries[-3:] == [entry(24), entry(25, 2), entry(26, 2)]


def test_a_leaders_snapshot_replaces_the_log(populated_folder):
    storage = open_storage(populated_folder)
    storage.load()
    batch = PersistBatch(None, snapshot(50, 3), 50, [entry(51, 3)], 50)
    storage.persist(batch)
    storage.close()
    durable = load(populated_folder)
    assert (durable.snapshot, durable.entries) == (snapshot(50, 3), [entry(51, 3)])


@pytest.mark.parametrize("newer", [snapshot(50, 3), snapshot(25, 3)])
def test_a_crash_between_snapshot_and_log_is_repaired(populated_folder, newer, monkeypatch):
    storage = open_storage(populated_folder)
    storage.load()
    with monkeypatch.context() as patch:
        patch.setattr(storage._log, "append", lambda record: (_ for _ in ()).throw(OSError()))
        with pytest.raises(WriteFailed):
            storage.persist(PersistBatch(snapshot=newer, reset_index=newer.index))
    storage.close()
    assert load(populated_folder).entries == []
    storage = open_storage(populated_folder)
    storage.load()
    storage.persist(PersistBatch(entries=[entry(newer.index + 1, 3)]))
    storage.close()
    assert load(populated_folder).entries == [entry(newer.index + 1, 3)]


def last_frame_start(path: Path) -> int:
    data = path.read_bytes()
    return ([0] + [frame.end for frame in read_frames(path, data, may_be_torn=False)])[-2]


@pytest.mark.parametrize("kept", ["nothing", "5 bytes", "header", "all but 1", "zeros"])
def test_a_torn_tail_is_cut_back(populated_folder, kept):
    path = segments(populated_folder)[-1]
    before = path.read_bytes()
    torn = encode_frame(b"x" * 2000)
    tails = {
        "nothing": b"",
        "5 bytes": torn[:5],
        "header": torn[:16],
        "all but 1": torn[:-1],
        "zeros": torn[:900] + bytes(len(torn) - 900),
    }
    path.write_bytes(before + tails[kept])
    storage = open_storage(populated_folder)
    assert storage.load().entries[-1] == entry(30)
    assert storage.torn_bytes == len(tails[kept])
    storage.persist(PersistBatch(entries=[entry(31)]))
    storage.close()
    assert load(populated_folder).entries[-1] == entry(31)


def flip_bit(path: Path, offset: int) -> None:
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x10
    path.write_bytes(bytes(data))


def test_a_flipped_byte_anywhere_is_refused(populated_folder):
    for path in [
        *segments(populated_folder),
        populated_folder / "snapshot",
        populated_folder / "manifest",
        populated_folder / "identity",
    ]:
        whole = path.read_bytes()
        for offset in range(len(whole)):
            flip_bit(path, offset)
            with pytest.raises(CorruptFile):
                load(populated_folder)
            path.write_bytes(whole)
    assert load(populated_folder).entries[-1] == entry(30)


DAMAGES = {
    "first segment missing": (lambda f: segments(f)[0].unlink(), MissingFile),
    "middle segment missing": (lambda f: segments(f)[1].unlink(), MissingFile),
    "last segment missing": (lambda f: segments(f)[-1].unlink(), MissingFile),
    "last segment empty": (lambda f: segments(f)[-1].write_bytes(b""), MissingFile),
    "middle segment cut": (lambda f: truncate(segments(f)[1], 3), CorruptFile),
    "snapshot cut": (lambda f: truncate(f / "snapshot", 3), CorruptFile),
    "snapshot missing": (lambda f: (f / "snapshot").unlink(), MissingFile),
    "manifest missing": (lambda f: (f / "manifest").unlink(), MissingFile),
    "identity missing": (lambda f: (f / "identity").unlink(), MissingFile),
    "segments swapped": (lambda f: swap(segments(f)[0], segments(f)[2]), CorruptFile),
}


def truncate(path: Path, count: int) -> None:
    path.write_bytes(path.read_bytes()[:-count])


def swap(one: Path, other: Path) -> None:
    first, second = one.read_bytes(), other.read_bytes()
    one.write_bytes(second)
    other.write_bytes(first)


@pytest.mark.parametrize("name", DAMAGES)
def test_damage_is_refused_and_nothing_changed(populated_folder, name):
    damage, error = DAMAGES[name]
    damage(populated_folder)
    files = {path: path.read_bytes() for path in populated_folder.iterdir()}
    with pytest.raises(error):
        load(populated_folder)
    assert {path: path.read_bytes() for path in populated_folder.iterdir()} == files


def test_a_folder_of_another_replica_is_refused(populated_folder):
    with pytest.raises(IdentityMismatch):
        open_storage(populated_folder, replica_id=2).load()


def test_a_folder_in_use_is_refused(tmp_path):
    storage = open_storage(tmp_path)
    storage.load()
    with pytest.raises(FolderInUse):
        load(tmp_path)
    storage.close()


def test_after_a_failed_sync_no_write_is_accepted(populated_folder, monkeypatch):
    storage = open_storage(populated_folder)
    storage.load()
    with monkeypatch.context() as patch:
        patch.setattr("os.fsync", lambda _: (_ for _ in ()).throw(OSError("no")))
        with pytest.raises(WriteFailed):
            storage.persist(PersistBatch(entries=[entry(31)]))
    with pytest.raises(WriteFailed):
        storage.persist(PersistBatch(entries=[entry(31)]))
    storage.close()


@pytest.mark.parametrize("stop_at", range(6))
def test_a_crash_during_creation_leaves_a_usable_folder(tmp_path, monkeypatch, stop_at):
    calls = []

    def sync(descriptor):
        calls.append(descriptor)
        if len(calls) > stop_at:
            raise OSError("crash")

    storage = open_storage(tmp_path / "data")
    with monkeypatch.context() as patch:
        patch.setattr("os.fsync", sync)
        with pytest.raises(OSError, match="crash"):
            storage.load()
    storage.close()
    assert load(tmp_path / "data").hard_state == HardState()
