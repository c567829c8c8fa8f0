"""Turns pydantic's errors into the one line that operators see."""

from __future__ import annotations

import difflib

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from jasperwalk.settings.errors import WHOLE_FILE, SettingsError

UNKNOWN_KEY = "extra_forbidden"
MISSING_KEY = "missing"
VALUE_ERROR_PREFIX = "Value error, "


def explain_validation_error(
    error: ValidationError, source: str, model: type[BaseModel]
) -> SettingsError:
    """Describe the first problem, and count the others.

    Unknown keys come first: a misspelt key is the usual cause of a missing one.
    """
    problems = sorted(error.errors(), key=lambda problem: problem["type"] != UNKNOWN_KEY)
    first = problems[0]
    return SettingsError(
        source=source,
        key=_dotted(first["loc"]),
        problem=_problem(first),
        mend=_mend(first, model),
        further_problems=len(problems) - 1,
    )


def _dotted(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location) or WHOLE_FILE


def _problem(details: ErrorDetails) -> str:
    if details["type"] == UNKNOWN_KEY:
        return "unknown key"
    if details["type"] == MISSING_KEY:
        return "missing"
    return details["msg"].removeprefix(VALUE_ERROR_PREFIX)


def _mend(details: ErrorDetails, model: type[BaseModel]) -> str:
    location = details["loc"]
    if details["type"] == UNKNOWN_KEY:
        return _mend_for_unknown_key(str(location[-1]), model if len(location) == 1 else None)
    field = model.model_fields.get(str(location[0])) if location else None
    if field is None or field.description is None:
        return "correct it"
    if details["type"] == MISSING_KEY and len(location) == 1:
        return f"add it: {field.description}"
    return f"expected: {field.description}"


def _mend_for_unknown_key(key: str, model: type[BaseModel] | None) -> str:
    if model is None:
        return "remove it"
    known_keys = list(model.model_fields)
    close_matches = difflib.get_close_matches(key, known_keys, n=1)
    if close_matches:
        return f"did you mean {close_matches[0]}?"
    return f"remove it; known keys are {', '.join(known_keys)}"
