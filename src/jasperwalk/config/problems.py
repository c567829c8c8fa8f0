"""Problems of templates and values: each names its place and how to correct it."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar

import msgspec

from jasperwalk.errors import JasperwalkError

MAX_PROBLEMS = 20
"""Problems reported at once; further ones are counted and reported on the next try."""

MAX_PLACE_LENGTH = 160
"""Characters of a problem's place; outcomes with problems are kept in bounded memory."""

MAX_SENTENCE_LENGTH = 400
"""Characters of a problem's detail, and of its `mend`."""


class ProblemKind(enum.StrEnum):
    """Machine-readable kinds of problems."""

    SYNTAX = "syntax"
    MISSING_FIELD = "missing-field"
    UNKNOWN_FIELD = "unknown-field"
    MISSING_PARAMETER = "missing-parameter"
    UNKNOWN_PARAMETER = "unknown-parameter"
    UNKNOWN_REFERENCE = "unknown-reference"
    WRONG_TYPE = "wrong-type"
    OUT_OF_BOUNDS = "out-of-bounds"
    NOT_A_CHOICE = "not-a-choice"
    INVALID_NAME = "invalid-name"
    INVALID_ADDRESS = "invalid-address"
    DUPLICATE_ADDRESS = "duplicate-address"
    DUPLICATE_LISTENER = "duplicate-listener"
    DUPLICATE_SERVICE = "duplicate-service"


class Problem(msgspec.Struct, frozen=True, array_like=True):
    """One problem; `place` is a dotted path such as `services[0].limits.queue_length`.

    `detail` says what is wrong there, `mend` how to correct it.
    """

    kind: ProblemKind
    place: str
    detail: str
    mend: str

    def describe(self) -> str:
        """Describe the problem in one line."""
        return f"{self.place}: {self.detail}; {self.mend}"


def describe_problems(problems: tuple[Problem, ...]) -> str:
    """Join the problems into one line."""
    return " | ".join(problem.describe() for problem in problems)


class ProblemCollector:
    """Collects problems while a template or its values are checked."""

    def __init__(self) -> None:
        self.count = 0
        self._problems: list[Problem] = []

    def add(self, kind: ProblemKind, place: str, detail: str, mend: str) -> None:
        """Add one problem; beyond `MAX_PROBLEMS` it is only counted."""
        self.count += 1
        if len(self._problems) >= MAX_PROBLEMS:
            return
        problem = Problem(
            kind=kind,
            place=place[:MAX_PLACE_LENGTH],
            detail=detail[:MAX_SENTENCE_LENGTH],
            mend=mend[:MAX_SENTENCE_LENGTH],
        )
        self._problems.append(problem)

    def found(self) -> tuple[Problem, ...]:
        """Return the problems in the order in which they were found."""
        return tuple(self._problems)


@dataclass(eq=False)
class TemplateError(JasperwalkError):
    """A text that is not a valid template."""

    kind: ClassVar[str] = "invalid-template"
    problems: tuple[Problem, ...]

    def describe(self) -> str:
        """List the problems."""
        return describe_problems(self.problems)


@dataclass(eq=False)
class ValuesError(JasperwalkError):
    """Values that do not fit the template's parameters, or do not render."""

    kind: ClassVar[str] = "invalid-values"
    problems: tuple[Problem, ...]

    def describe(self) -> str:
        """List the problems."""
        return describe_problems(self.problems)
