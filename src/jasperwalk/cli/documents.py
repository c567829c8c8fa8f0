"""Input files of operators' commands: templates, values and change documents."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from jasperwalk.cli.failures import InvalidInput

JSON_SUFFIX = ".json"

Document = TypeVar("Document")


class TemplateChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A template to apply: its file, relative to the document's folder, or its text."""

    file: str | None = None
    text: str | None = None


class TenantChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant to create or change."""

    name: str
    template: str
    values: dict[str, Any] = {}


class ChangeDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change as a file; exactly one of `template`, `tenant` and `remove_tenant` is given."""

    change_id: str | None = None
    expected_revision: int | None = None
    template: TemplateChange | None = None
    tenant: TenantChange | None = None
    remove_tenant: str | None = None


def read_text(path: Path) -> str:
    """Read a UTF-8 file; raise `InvalidInput` when that fails."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise InvalidInput(
            source=str(path),
            problem=f"cannot be read ({error.strerror})",
            mend="name an existing, readable file",
        ) from error
    except UnicodeDecodeError as error:
        raise InvalidInput(
            source=str(path), problem="is not UTF-8 text", mend="save the file as UTF-8"
        ) from error


def read_document(path: Path, shape: type[Document]) -> Document:
    """Read a TOML file (JSON where its name ends in .json) of the given type."""
    text = read_text(path)
    try:
        if path.suffix == JSON_SUFFIX:
            return msgspec.json.decode(text, type=shape)
        return msgspec.convert(tomllib.loads(text), shape)
    except (msgspec.DecodeError, tomllib.TOMLDecodeError) as error:
        raise InvalidInput(source=str(path), problem=str(error), mend="correct the file") from error


def read_values(path: Path) -> dict[str, Any]:
    """Read a file of a tenant's values."""
    return read_document(path, dict[str, Any])


def read_change(path: Path) -> ChangeDocument:
    """Read a change document."""
    document = read_document(path, ChangeDocument)
    given = [document.template, document.tenant, document.remove_tenant]
    if sum(each is not None for each in given) != 1:
        raise InvalidInput(
            source=str(path),
            problem="does not hold exactly one change",
            mend="give one of [template], [tenant] and remove_tenant",
        )
    return document


def template_text(change: TemplateChange, document_path: Path) -> str:
    """Return the text of a document's template, from the document or its file."""
    if (change.file is None) == (change.text is None):
        raise InvalidInput(
            source=str(document_path),
            problem="[template] needs exactly one of file and text",
            mend="give one of them",
        )
    if change.file is not None:
        return read_text(document_path.parent / change.file)
    return change.text or ""


def template_name(text: str, source: str) -> str:
    """Return the `name` in a template's TOML text."""
    try:
        name = tomllib.loads(text).get("name")
    except tomllib.TOMLDecodeError as error:
        raise InvalidInput(
            source=source, problem=f"is not TOML ({error})", mend="correct the file"
        ) from error
    if not isinstance(name, str) or not name:
        raise InvalidInput(
            source=source, problem="has no name", mend='add a line such as name = "urednik"'
        )
    return name
