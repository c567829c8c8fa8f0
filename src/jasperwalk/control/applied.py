"""Proposals that wait for their log entry to be applied, and results of the latest entries.

A waiter is resolved by index and term: an entry of another term at its index means that the
proposal was lost.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

from jasperwalk.control.proposal_errors import OutcomeUnknown, ProposalError, ProposalLost

RETAINED_ENTRIES = 1024
"""Number of latest results kept: a forwarded entry may be applied here before the leader's
reply with its index arrives."""


OutcomeType = TypeVar("OutcomeType")


@dataclass(frozen=True)
class AppliedEntry(Generic[OutcomeType]):
    """One applied entry; `outcome` is None if the entry was not a command."""

    index: int
    term: int
    outcome: OutcomeType | None


@dataclass(frozen=True)
class Waiter(Generic[OutcomeType]):
    """A proposal that waits for the entry of `term` at its index."""

    term: int
    future: asyncio.Future[AppliedEntry[OutcomeType]]


class AppliedEntries(Generic[OutcomeType]):
    """Results of applied entries, by index, and the proposals that wait for them."""

    def __init__(self) -> None:
        self.index = 0
        self._latest: OrderedDict[int, AppliedEntry[OutcomeType]] = OrderedDict()
        self._waiters: dict[int, list[Waiter[OutcomeType]]] = {}

    def record(self, entry: AppliedEntry[OutcomeType]) -> None:
        """Record an applied entry and resolve the waiters for its index."""
        self.index = entry.index
        self._latest[entry.index] = entry
        if len(self._latest) > RETAINED_ENTRIES:
            self._latest.popitem(last=False)
        for waiter in self._waiters.pop(entry.index, []):
            _resolve(waiter, entry)

    def skip_to(self, index: int) -> None:
        """Record that a snapshot replaced all entries up to `index`; their results are unknown."""
        self.index = index
        for waited_index in [each for each in self._waiters if each <= index]:
            for waiter in self._waiters.pop(waited_index):
                _fail(waiter, OutcomeUnknown())

    async def wait(
        self, index: int, term: int, timeout_seconds: float
    ) -> AppliedEntry[OutcomeType]:
        """Return the entry once it is applied.

        Raises `ProposalLost` when an entry of another term took its place, and
        `OutcomeUnknown` when it was not applied in time or was covered by a snapshot.
        """
        waiter = Waiter(term=term, future=asyncio.get_running_loop().create_future())
        if index <= self.index:
            self._resolve_if_retained(index, waiter)
        else:
            self._waiters.setdefault(index, []).append(waiter)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await waiter.future
        except TimeoutError as error:
            raise OutcomeUnknown() from error
        finally:
            self._discard(index, waiter)

    def _resolve_if_retained(self, index: int, waiter: Waiter[OutcomeType]) -> None:
        entry = self._latest.get(index)
        if entry is None:
            _fail(waiter, OutcomeUnknown())
        else:
            _resolve(waiter, entry)

    def _discard(self, index: int, waiter: Waiter[OutcomeType]) -> None:
        """Remove a waiter that timed out, so that a stalled log does not accumulate them."""
        waiters = self._waiters.get(index)
        if waiters is not None and waiter in waiters:
            waiters.remove(waiter)
            if not waiters:
                del self._waiters[index]


def _resolve(waiter: Waiter[OutcomeType], entry: AppliedEntry[OutcomeType]) -> None:
    if waiter.term != entry.term:
        _fail(waiter, ProposalLost())
    elif not waiter.future.done():
        waiter.future.set_result(entry)


def _fail(waiter: Waiter[OutcomeType], error: ProposalError) -> None:
    if not waiter.future.done():
        waiter.future.set_exception(error)
