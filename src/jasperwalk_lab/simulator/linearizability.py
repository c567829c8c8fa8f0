"""Is a history of changes linearizable? After Wing and Gong, with Lowe's memory of states.

The specification is one tenant at a time (tenants are independent objects, so a history is
linearizable when that of each tenant is): a register whose value is the revision of its last
accepted change. A change either names the revision that it expects, or none. It is

- accepted at a revision: legal when nothing or the current revision was expected;
- refused by a revision mismatch that names the current revision: legal when that is the
  current one and another was expected;
- open (no outcome came back): it may have taken effect at any time after it was invoked, at a
  revision that nobody was told, or never.
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
    """The change was refused: the tenant stood at `current`."""

    current: int


@dataclass(frozen=True)
class Open:
    """Nobody knows whether the change took effect."""


@dataclass(frozen=True)
class ReadAt:
    """A read of the tenant's revision, such as the one at the end of a run."""

    revision: int


ChangeResult = AcceptedAt | RefusedAt | Open | ReadAt


@dataclass(frozen=True)
class Operation:
    """One change of a tenant, from its first invocation to its completion (seconds).

    An open one has no completion: `completed` is infinite.
    """

    name: str
    invoked: float
    completed: float
    expected: int | None
    result: ChangeResult


State = int | str
"""The tenant's revision; for an open change that took effect, the change's name."""


def find_order(operations: list[Operation], initial: int) -> list[str] | None:
    """Return the names in an order that explains the history; None where there is none."""
    search = _Search(sorted(operations, key=lambda one: one.invoked))
    return search.run(initial)


class _Search:
    """Depth-first search over which operation takes effect next."""

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
        """Search from the initial revision."""
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
        """Return the state after an operation; None where its result does not fit."""
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
        """Tell whether the state may be `revision`: an untold one may be any untold number."""
        if isinstance(state, str):
            return revision not in self._known_revisions and revision != 0
        return state == revision
