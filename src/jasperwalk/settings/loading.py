"""Loads a settings file: TOML, then overrides, then validation by the model."""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

from pydantic import ValidationError

from jasperwalk.settings.errors import WHOLE_FILE, SettingsError
from jasperwalk.settings.models import ProcessSettings
from jasperwalk.settings.overrides import Override, apply_override, parse_override
from jasperwalk.settings.types import BASE_FOLDER
from jasperwalk.settings.validation_errors import explain_validation_error

FLAGS_ONLY = "(flags)"
"""The source that errors name when there is no settings file."""

SettingsType = TypeVar("SettingsType", bound=ProcessSettings)


def load_settings(
    path: Path | None, model: type[SettingsType], overrides: Sequence[str | Override] = ()
) -> SettingsType:
    """Load `path` as `model`, with `overrides` (or strings `key=value`) on top.

    Without a path the overrides alone make the settings. Raises `SettingsError` when the
    file, a key in it, or an override cannot be used.
    """
    document = {} if path is None else _read_document(path)
    for item in overrides:
        override = parse_override(item) if isinstance(item, str) else item
        apply_override(document, override)
    base_folder = Path.cwd() if path is None else path.absolute().parent
    try:
        return model.model_validate(document, context={BASE_FOLDER: base_folder})
    except ValidationError as error:
        raise explain_validation_error(error, source=source_name(path), model=model) from error


def source_name(path: Path | None) -> str:
    """Return what error messages call the source of the settings."""
    return FLAGS_ONLY if path is None else str(path)


def _read_document(path: Path) -> dict[str, object]:
    text = _read_text(path)
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problem = f"is not TOML ({error})"
        mend = "write it as `key = value` lines, with strings in quotes"
        raise _whole_file_error(path, problem, mend) from error


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        problem = f"cannot be read ({error.strerror})"
        mend = "name an existing, readable TOML file with --settings"
        raise _whole_file_error(path, problem, mend) from error
    except UnicodeDecodeError as error:
        mend = "save the file as UTF-8"
        raise _whole_file_error(path, "is not UTF-8 text", mend) from error


def _whole_file_error(path: Path, problem: str, mend: str) -> SettingsError:
    return SettingsError(source=str(path), key=WHOLE_FILE, problem=problem, mend=mend)
