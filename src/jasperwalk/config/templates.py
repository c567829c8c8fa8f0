"""Parses and validates templates: TOML text into typed parameters and service descriptions."""

from __future__ import annotations

import tomllib
from typing import Any

import msgspec

from jasperwalk.config.parameters import (
    NAME_RULE,
    ParameterType,
    ValueShape,
    check_name,
    check_value,
)
from jasperwalk.config.problems import ProblemCollector, ProblemKind, TemplateError
from jasperwalk.config.service_fields import (
    SERVICE_FIELDS,
    SERVICE_TABLES,
    references_in,
    sole_reference,
)

MAX_TEMPLATE_LENGTH = 262_144
"""Characters of a template's text."""

PARAMETER_NAME_RULE = "use letters, digits and underscores, not starting with a digit"

_TOP_LEVEL_FIELDS = ("name", "description", "parameters", "services")
_PARAMETER_FIELDS = ("type", "description", "default", "minimum", "maximum", "choices")
_TEXT_TYPES = (ParameterType.STRING, ParameterType.ADDRESS)
_BOUNDED_TYPES = (ParameterType.STRING, ParameterType.INTEGER, ParameterType.MEMBERS)


class Parameter(msgspec.Struct, frozen=True):
    """A parameter: its shape and its raw default, None where a tenant must give a value."""

    name: str
    description: str
    shape: ValueShape
    default: Any


class ServiceTemplate(msgspec.Struct, frozen=True):
    """A service: raw field values by dotted path, with defaults filled in."""

    place: str
    fields: dict[str, Any]


class Template(msgspec.Struct, frozen=True):
    """A parsed template."""

    name: str
    description: str
    parameters: dict[str, Parameter]
    services: tuple[ServiceTemplate, ...]


def parse_template(text: str) -> Template:
    """Parse TOML text; raise `TemplateError` with every problem found."""
    problems = ProblemCollector()
    document = _parse_toml(text, problems)
    template = None if document is None else _read_document(document, problems)
    if template is None or problems.found():
        raise TemplateError(problems=problems.found())
    return template


def _parse_toml(text: str, problems: ProblemCollector) -> dict[str, Any] | None:
    if len(text) > MAX_TEMPLATE_LENGTH:
        mend = f"keep the text within {MAX_TEMPLATE_LENGTH} characters"
        problems.add(ProblemKind.OUT_OF_BOUNDS, "template", "the text is too long", mend)
        return None
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        problems.add(ProblemKind.SYNTAX, "template", f"not TOML: {error}", "mend the TOML there")
        return None


def _read_document(document: dict[str, Any], problems: ProblemCollector) -> Template | None:
    _check_unknown_fields(document, _TOP_LEVEL_FIELDS, "", problems)
    name = _read_name(document, problems)
    description = _read_description(document, "description", problems)
    parameters = _read_parameters(document.get("parameters", {}), problems)
    services = _read_services(document.get("services"), parameters, problems)
    if name is None:
        return None
    return Template(
        name=name, description=description, parameters=parameters, services=tuple(services)
    )


def _read_name(document: dict[str, Any], problems: ProblemCollector) -> str | None:
    if "name" not in document:
        problems.add(ProblemKind.MISSING_FIELD, "name", "missing field", f"add name; {NAME_RULE}")
        return None
    return check_name(document["name"], "name", problems)


def _read_description(raw: dict[str, Any], place: str, problems: ProblemCollector) -> str:
    description = check_value(
        ValueShape(type=ParameterType.STRING), raw.get("description", ""), place, problems
    )
    return description if isinstance(description, str) else ""


def _read_parameters(raw: Any, problems: ProblemCollector) -> dict[str, Parameter]:
    if not isinstance(raw, dict):
        problems.add(
            ProblemKind.WRONG_TYPE, "parameters", "not a table", "write [parameters.NAME] tables"
        )
        return {}
    parameters: dict[str, Parameter] = {}
    for name in sorted(raw):
        parameter = _read_parameter(name, raw[name], problems)
        if parameter is not None:
            parameters[name] = parameter
    return parameters


def _read_parameter(name: str, raw: Any, problems: ProblemCollector) -> Parameter | None:
    place = f"parameters.{name}"
    if not (name.isascii() and name.isidentifier()):
        detail = f"{name!r} is not a parameter name"
        problems.add(ProblemKind.INVALID_NAME, place, detail, PARAMETER_NAME_RULE)
        return None
    if not isinstance(raw, dict):
        problems.add(ProblemKind.WRONG_TYPE, place, "not a table", f"write a [{place}] table")
        return None
    _check_unknown_fields(raw, _PARAMETER_FIELDS, place, problems)
    shape = _read_shape(raw, place, problems)
    if shape is None:
        return None
    if "default" in raw:
        check_value(shape, raw["default"], f"{place}.default", problems)
    return Parameter(
        name=name,
        description=_read_description(raw, f"{place}.description", problems),
        shape=shape,
        default=raw.get("default"),
    )


def _read_shape(raw: dict[str, Any], place: str, problems: ProblemCollector) -> ValueShape | None:
    type_names = tuple(parameter_type.value for parameter_type in ParameterType)
    if "type" not in raw:
        mend = "add type, one of " + ", ".join(type_names)
        problems.add(ProblemKind.MISSING_FIELD, f"{place}.type", "missing field", mend)
        return None
    type_shape = ValueShape(type=ParameterType.STRING, choices=type_names)
    type_name = check_value(type_shape, raw["type"], f"{place}.type", problems)
    if not isinstance(type_name, str):
        return None
    parameter_type = ParameterType(type_name)
    minimum = _read_bound(raw, "minimum", parameter_type, place, problems)
    maximum = _read_bound(raw, "maximum", parameter_type, place, problems)
    if minimum is not None and maximum is not None and minimum > maximum:
        detail = f"minimum {minimum} is above maximum {maximum}"
        problems.add(ProblemKind.OUT_OF_BOUNDS, f"{place}.minimum", detail, "swap or mend them")
        return None
    choices = _read_choices(raw, parameter_type, place, problems)
    return ValueShape(type=parameter_type, minimum=minimum, maximum=maximum, choices=choices)


def _read_bound(
    raw: dict[str, Any],
    field: str,
    parameter_type: ParameterType,
    place: str,
    problems: ProblemCollector,
) -> int | None:
    if field not in raw:
        return None
    bound = check_value(
        ValueShape(type=ParameterType.INTEGER), raw[field], f"{place}.{field}", problems
    )
    if parameter_type not in _BOUNDED_TYPES:
        detail = f"a {parameter_type.value} has no {field}"
        problems.add(ProblemKind.UNKNOWN_FIELD, f"{place}.{field}", detail, "remove it")
    return bound if isinstance(bound, int) else None


def _read_choices(
    raw: dict[str, Any], parameter_type: ParameterType, place: str, problems: ProblemCollector
) -> tuple[str, ...]:
    if "choices" not in raw:
        return ()
    choices = raw["choices"]
    valid = isinstance(choices, list) and all(isinstance(choice, str) for choice in choices)
    if not valid or not choices or parameter_type is not ParameterType.STRING:
        mend = "give a list of strings, for a parameter of type string"
        detail = "not choices of a string"
        problems.add(ProblemKind.WRONG_TYPE, f"{place}.choices", detail, mend)
        return ()
    return tuple(choices)


def _read_services(
    raw: Any, parameters: dict[str, Parameter], problems: ProblemCollector
) -> list[ServiceTemplate]:
    if not isinstance(raw, list) or not raw:
        mend = "write at least one [[services]] table"
        problems.add(ProblemKind.MISSING_FIELD, "services", "no list of services", mend)
        return []
    services: list[ServiceTemplate] = []
    for position, raw_service in enumerate(raw):
        place = f"services[{position}]"
        if not isinstance(raw_service, dict):
            mend = "write a [[services]] table"
            problems.add(ProblemKind.WRONG_TYPE, place, "not a table", mend)
            continue
        fields = _flatten(raw_service, place, problems)
        _check_fields(fields, parameters, place, problems)
        services.append(ServiceTemplate(place=place, fields=fields))
    return services


def _flatten(raw: dict[str, Any], place: str, problems: ProblemCollector) -> dict[str, Any]:
    """Return values by dotted path, with defaults; add problems of unknown or missing fields."""
    given: dict[str, Any] = {}
    for field, value in raw.items():
        if field in SERVICE_TABLES and isinstance(value, dict):
            given.update({f"{field}.{inner}": inner_value for inner, inner_value in value.items()})
        else:
            given[field] = value
    _check_unknown_fields(given, tuple(SERVICE_FIELDS), place, problems)
    fields: dict[str, Any] = {}
    for path, rule in SERVICE_FIELDS.items():
        if path in given:
            fields[path] = given[path]
        elif rule.default is not None:
            fields[path] = rule.default
        else:
            field_place = f"{place}.{path}"
            problems.add(ProblemKind.MISSING_FIELD, field_place, "missing field", f"add {path}")
    return fields


def _check_fields(
    fields: dict[str, Any],
    parameters: dict[str, Parameter],
    place: str,
    problems: ProblemCollector,
) -> None:
    """Validate literals and references; values that come from parameters wait for rendering."""
    for path, raw in fields.items():
        field_place = f"{place}.{path}"
        references = references_in(raw)
        if not references:
            check_value(SERVICE_FIELDS[path].shape, raw, field_place, problems)
            continue
        unknown = [name for name in references if name not in parameters]
        for name in unknown:
            detail = f"${{{name}}} is not a parameter of this template"
            mend = f"add [parameters.{name}] or mend the name"
            problems.add(ProblemKind.UNKNOWN_REFERENCE, field_place, detail, mend)
        if not unknown:
            _check_reference_types(path, raw, parameters, field_place, problems)


def _check_reference_types(
    path: str,
    raw: str,
    parameters: dict[str, Parameter],
    place: str,
    problems: ProblemCollector,
) -> None:
    wanted = SERVICE_FIELDS[path].shape.type
    whole = sole_reference(raw)
    if whole is not None:
        given = parameters[whole].shape.type
        if given is not wanted:
            detail = f"${{{whole}}} is of type {given.value}, the field of type {wanted.value}"
            mend = f"refer to a parameter of type {wanted.value}"
            problems.add(ProblemKind.WRONG_TYPE, place, detail, mend)
        return
    if wanted not in _TEXT_TYPES:
        detail = f"a field of type {wanted.value} cannot be put together from parts"
        problems.add(ProblemKind.WRONG_TYPE, place, detail, "write one ${name} and nothing else")
        return
    embedded_types = {parameters[name].shape.type for name in references_in(raw)}
    if embedded_types & {ParameterType.MEMBERS, ParameterType.BOOLEAN}:
        detail = "members and booleans cannot be part of a longer text"
        problems.add(ProblemKind.WRONG_TYPE, place, detail, "refer to strings or numbers there")


def _check_unknown_fields(
    raw: dict[str, Any], known: tuple[str, ...], place: str, problems: ProblemCollector
) -> None:
    for field in raw:
        if field not in known:
            field_place = f"{place}.{field}" if place else field
            mend = "remove it, or use one of " + ", ".join(known)
            problems.add(ProblemKind.UNKNOWN_FIELD, field_place, "unknown field", mend)
