import pytest

from jasperwalk.consensus.disk.failures import WriteFailed
from jasperwalk.control.storage_faults import StorageFaults


@pytest.mark.parametrize("line", ["full", "sync-fails"])
def test_a_write_fails_as_the_file_says(tmp_path, line):
    path = tmp_path / "fault"
    path.write_text(line)
    with pytest.raises(WriteFailed, match=line):
        StorageFaults(path).before_write()


@pytest.mark.parametrize("line", ["", "slow", "slow x", "slow 0", "odd words"])
def test_an_unreadable_fault_is_ignored(tmp_path, line):
    path = tmp_path / "fault"
    path.write_text(line)
    StorageFaults(path).before_write()


def test_without_the_file_nothing_fails(tmp_path):
    StorageFaults(tmp_path / "none").before_write()
