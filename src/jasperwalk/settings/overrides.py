"""Overrides of settings on the command line: `key=value`, dotted keys for tables."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass

from jasperwalk.settings.errors import SettingsError

SET_FLAG = "--set"


@dataclass(frozen=True)
class Override:
    """One value that replaces the file's.

    `path` holds the parts of the key, `flag` the command-line flag that it came from.
    """

    path: tuple[str, ...]
    value: object
    flag: str = SET_FLAG


def parse_override(text: str, flag: str = SET_FLAG) -> Override:
    """Parse `key=value`; the value is TOML, or a plain string where it is not valid TOML.

    Raises `SettingsError` when there is no key or no equals sign.
    """
    key, separator, value_text = text.partition("=")
    path = tuple(part.strip() for part in key.split("."))
    if not separator or not all(path):
        raise SettingsError(
            source=flag,
            key=text,
            problem="is not of the shape key=value",
            mend=f"write, for example, {flag} heartbeat_ms=250",
        )
    return Override(path=path, value=_parse_value(value_text.strip()), flag=flag)


def apply_override(document: dict[str, object], override: Override) -> None:
    """Set the override's value in the document, creating tables as needed."""
    table = document
    for part in override.path[:-1]:
        inner = table.setdefault(part, {})
        if not isinstance(inner, dict):
            raise SettingsError(
                source=override.flag,
                key=".".join(override.path),
                problem=f"{part} is not a table",
                mend=f"set {part} as a whole",
            )
        table = inner
    table[override.path[-1]] = override.value


def _parse_value(text: str) -> object:
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text
