"""Checks whether a history of changes is linearizable.

The search is that of Wing and Gong, with Lowe's cache of visited states. Tenants are independent
objects, so a history is linearizable if that of each tenant is. The sequential specification of
a tenant is a register whose value is the revision of its last accepted change. A change names the
revision that it expects, or none. It is

- accepted at a revision: legal if it expected no revision or the current one;
- refused by a revision mismatch that names the current revision: legal if that is the current
  one and the change expected another;
- open (no outcome was received): it may have taken effect at any time after its invocation, at a
  revision that no outcome reports, or never.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class AcceptedAt:
    """The change took effect at `revision`."""

    revision: int


@dataclass(frozen=True)
class RefusedAt:
    """The change was refused; the tenant's revision was `current`."""

    current: int


@dataclass(frozen=True)
class Open:
    """No outcome was received; the change may have taken effect."""


@dataclass(frozen=True)
class ReadAt:
    """A read of the tenant's revision, such as the one at the end of a run."""

    revision: int


ChangeResult = AcceptedAt | RefusedAt | Open | ReadAt


@dataclass(frozen=True)
class Operation:
    """One change of a tenant, from its first invocation to its completion (seconds).

    For an open one, `completed` is infinite.
    """

    name: str
    invoked: float
    completed: float
    expected: int | None
    result: ChangeResult


State = int | str
"""The tenant's revision, or the name of an open change that took effect."""


def find_order(operations: list[Operation], initial: int) -> list[str] | None:
    """Return the operations' names in a legal order, or None if there is no such order."""
    search = _Search(sorted(operations, key=lambda one: one.invoked))
    return search.run(initial)


class _Search:
    """Depth-first search for a legal order; tries every possible next operation in each state."""

    def __init__(self, operations: list[Operation]) -> None:
        self._operations = operations
        self._known_revisions = {
            each.result.revision for each in operations if isinstance(each.result, AcceptedAt)
        }
        self._visited: set[tuple[int, State]] = set()
        self._order: list[str] = []
        self._required = 0
        for position, each in enumerate(operations):
            if not isinstance(each.result, Open):
                self._required |= 1 << position

    def run(self, initial: int) -> list[str] | None:
        """Return a legal order that starts at the initial revision."""
        return self._order if self._search_from(0, initial) else None

    def _search_from(self, done: int, state: State) -> bool:
        if done & self._required == self._required:
            return True
        if (done, state) in self._visited:
            return False
        self._visited.add((done, state))
        horizon = min(
            (
                each.completed
                for position, each in enumerate(self._operations)
                if not done >> position & 1
            ),
            default=math.inf,
        )
        for position, each in enumerate(self._operations):
            if done >> position & 1 or each.invoked > horizon:
                continue
            next_state = self._state_after(each, state)
            if next_state is None:
                continue
            self._order.append(each.name)
            if self._search_from(done | 1 << position, next_state):
                return True
            self._order.pop()
        return False

    def _state_after(self, operation: Operation, state: State) -> State | None:
        """Return the state after an operation, or None if its result is illegal in this state."""
        match operation.result:
            case AcceptedAt(revision=revision):
                fits = operation.expected is None or self._may_be(state, operation.expected)
                return revision if fits else None
            case RefusedAt(current=current):
                differs = operation.expected is not None and operation.expected != current
                return current if differs and self._may_be(state, current) else None
            case ReadAt(revision=revision):
                return revision if self._may_be(state, revision) else None
            case Open():
                expects = operation.expected is not None
                if expects and not self._may_be(state, operation.expected):
                    return None
                return operation.name

    def _may_be(self, state: State, revision: int | None) -> bool:
        """Tell whether the state may be `revision`.

        The unknown revision of an open change may be any that no accepted change reports.
        """
        if isinstance(state, str):
            return revision not in self._known_revisions and revision != 0
        return state == revision
