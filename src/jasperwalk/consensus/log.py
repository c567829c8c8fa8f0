"""The in-memory part of the replicated log: entries after a base, and how far they are synced."""

from __future__ import annotations

from jasperwalk.consensus.durable import DurableState
from jasperwalk.consensus.entries import LogEntry


class RaftLog:
    """Contiguous entries after a base position, and how far they are on disk.

    `base_index` and `base_term` name the entry before the first one held. `stable_index` is
    the last entry known to be on disk. Indexes start at 1.
    """

    def __init__(self, durable: DurableState) -> None:
        self._entries = list(durable.entries)
        self.base_index = 0
        self.base_term = 0
        self._choose_base(durable)
        self.stable_index = self.last_index
        self._next_to_persist = self.last_index + 1

    def _choose_base(self, durable: DurableState) -> None:
        """Set the base; where the entry before the first one is gone, the first one becomes it."""
        if not self._entries:
            if durable.snapshot is not None:
                self.base_index = durable.snapshot.index
                self.base_term = durable.snapshot.term
            return
        first = self._entries[0]
        if first.index == 1:
            return
        if durable.snapshot is not None and durable.snapshot.index == first.index - 1:
            self.base_index = durable.snapshot.index
            self.base_term = durable.snapshot.term
            return
        self.base_index = first.index
        self.base_term = first.term
        del self._entries[0]

    @property
    def last_index(self) -> int:
        """Index of the last entry (the base when there is none)."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None when it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entries_between(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries from `first` to `last`, both included."""
        start = first - self.base_index - 1
        return self._entries[max(start, 0) : max(last - self.base_index, 0)]

    def batch_from(self, first: int, max_entries: int, max_bytes: int) -> list[LogEntry]:
        """Return entries from `first` on within both bounds, at least one if there is any."""
        batch: list[LogEntry] = []
        size = 0
        for entry in self.entries_between(first, first + max_entries - 1):
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return batch

    def append(self, entry: LogEntry) -> None:
        """Add the next entry."""
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Discard the entry at `index` and all after it."""
        del self._entries[index - self.base_index - 1 :]
        self.stable_index = min(self.stable_index, index - 1)
        self._next_to_persist = min(self._next_to_persist, index)

    def reset(self, index: int, term: int) -> None:
        """Discard all entries; the next one follows the given position (a snapshot)."""
        self._entries.clear()
        self.base_index = index
        self.base_term = term
        self.stable_index = index
        self._next_to_persist = index + 1

    def compact(self, through: int) -> None:
        """Discard entries up to `through`, which becomes the base."""
        if through <= self.base_index:
            return
        term = self.term_at(through)
        assert term is not None
        del self._entries[: through - self.base_index]
        self.base_index = through
        self.base_term = term

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first held index of the run of equal terms that `index` belongs to."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def take_unpersisted(self) -> list[LogEntry]:
        """Return entries not yet passed to storage, and mark them as passed."""
        entries = self.entries_between(self._next_to_persist, self.last_index)
        self._next_to_persist = self.last_index + 1
        return entries

    def has_unpersisted(self) -> bool:
        """Tell whether there are entries not yet passed to storage."""
        return self._next_to_persist <= self.last_index

    def mark_stable(self, index: int) -> None:
        """Record that the disk holds entries up to `index` (unless truncated meanwhile)."""
        self.stable_index = max(self.stable_index, min(index, self._next_to_persist - 1))
