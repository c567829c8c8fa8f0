"""Types of parameters and fields, and validation of raw TOML or JSON values against them."""

from __future__ import annotations

import enum
import re
from typing import Any

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.problems import ProblemCollector, ProblemKind
from jasperwalk.errors import InvalidAddress

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
"""Names of templates, tenants, services, hosts and zones."""

NAME_RULE = "use 1 to 63 lower-case letters, digits and inner hyphens"

MAX_STRING_LENGTH = 1_024
"""Characters of a string value where its definition gives no lower maximum."""

MAX_MEMBERS = 10_000
"""Members of a pool where the definition gives no lower maximum."""

MAX_WEIGHT = 10_000
MAX_SLOTS = 100_000
MAX_INTEGER = 2**53
"""JSON readers do not preserve larger integers."""

MAX_SHOWN_VALUE_LENGTH = 80
"""Characters of a wrong value that a problem's text repeats."""


class ParameterType(enum.StrEnum):
    """Types of a template's parameters and of a service's fields."""

    STRING = "string"
    INTEGER = "integer"
    BOOLEAN = "boolean"
    ADDRESS = "address"
    MEMBERS = "members"


class MemberValue(msgspec.Struct, frozen=True):
    """A member as a tenant's value gives it; None where the service's default applies."""

    host: str
    zone: str
    address: Endpoint
    weight: int | None
    slots: int | None


TypedValue = str | int | bool | Endpoint | tuple[MemberValue, ...]
"""A validated value."""


class ValueShape(msgspec.Struct, frozen=True):
    """The type and bounds that a value must have.

    `minimum` and `maximum` bound an integer's value, a string's length or a list's count.
    """

    type: ParameterType
    minimum: int | None = None
    maximum: int | None = None
    choices: tuple[str, ...] = ()


def is_name(text: str) -> bool:
    """Tell whether a text is a valid name."""
    return NAME_PATTERN.fullmatch(text) is not None


def format_value(raw: Any) -> str:
    """Format a wrong value for a problem's text, in a bounded length."""
    text = repr(raw)
    return text if len(text) <= MAX_SHOWN_VALUE_LENGTH else text[:MAX_SHOWN_VALUE_LENGTH] + "..."


def check_value(
    shape: ValueShape, raw: Any, place: str, problems: ProblemCollector
) -> TypedValue | None:
    """Validate one raw value; return it typed, or None after adding its problems."""
    match shape.type:
        case ParameterType.STRING:
            return _check_string(shape, raw, place, problems)
        case ParameterType.INTEGER:
            return check_integer(shape, raw, place, problems)
        case ParameterType.BOOLEAN:
            return _check_boolean(raw, place, problems)
        case ParameterType.ADDRESS:
            return check_address(raw, place, problems)
        case ParameterType.MEMBERS:
            return _check_members(shape, raw, place, problems)


def check_name(raw: Any, place: str, problems: ProblemCollector) -> str | None:
    """Validate a name of a service, host or zone."""
    if not isinstance(raw, str):
        _add_wrong_type("a string", raw, place, problems)
        return None
    if not is_name(raw):
        problems.add(
            ProblemKind.INVALID_NAME, place, f"{format_value(raw)} is not a name", NAME_RULE
        )
        return None
    return raw


def check_integer(
    shape: ValueShape, raw: Any, place: str, problems: ProblemCollector
) -> int | None:
    """Validate an integer and its bounds; a boolean is not an integer."""
    if isinstance(raw, bool) or not isinstance(raw, int):
        _add_wrong_type("an integer", raw, place, problems)
        return None
    minimum = -MAX_INTEGER if shape.minimum is None else shape.minimum
    maximum = MAX_INTEGER if shape.maximum is None else shape.maximum
    if not _check_bounds(raw, (minimum, maximum), place, "the value", problems):
        return None
    return raw


def check_address(raw: Any, place: str, problems: ProblemCollector) -> Endpoint | None:
    """Validate an `IPV4:PORT` with a port from 1 on."""
    if not isinstance(raw, str):
        _add_wrong_type("an address string", raw, place, problems)
        return None
    try:
        endpoint = Endpoint.parse(raw)
    except InvalidAddress:
        endpoint = Endpoint(host="", port=0)
    if endpoint.port == 0:
        mend = "give IPV4:PORT with a port from 1 to 65535, such as 127.0.0.1:7000"
        problems.add(ProblemKind.INVALID_ADDRESS, place, f"{format_value(raw)} is no address", mend)
        return None
    return endpoint


def _check_string(
    shape: ValueShape, raw: Any, place: str, problems: ProblemCollector
) -> str | None:
    if not isinstance(raw, str):
        _add_wrong_type("a string", raw, place, problems)
        return None
    if shape.choices and raw not in shape.choices:
        mend = "choose one of " + ", ".join(shape.choices)
        problems.add(ProblemKind.NOT_A_CHOICE, place, f"{format_value(raw)} is not a choice", mend)
        return None
    minimum = shape.minimum or 0
    maximum = MAX_STRING_LENGTH if shape.maximum is None else shape.maximum
    if not _check_bounds(len(raw), (minimum, maximum), place, "the length", problems):
        return None
    return raw


def _check_boolean(raw: Any, place: str, problems: ProblemCollector) -> bool | None:
    if not isinstance(raw, bool):
        _add_wrong_type("true or false", raw, place, problems)
        return None
    return raw


def _check_members(
    shape: ValueShape, raw: Any, place: str, problems: ProblemCollector
) -> tuple[MemberValue, ...] | None:
    if not isinstance(raw, list):
        _add_wrong_type("a list of members", raw, place, problems)
        return None
    minimum = shape.minimum or 0
    maximum = MAX_MEMBERS if shape.maximum is None else shape.maximum
    if not _check_bounds(len(raw), (minimum, maximum), place, "the count of members", problems):
        return None
    members: list[MemberValue] = []
    first_places: dict[Endpoint, str] = {}
    for position, raw_member in enumerate(raw):
        member_place = f"{place}[{position}]"
        member = _check_member(raw_member, member_place, problems)
        if member is None:
            continue
        first_place = first_places.setdefault(member.address, member_place)
        if first_place != member_place:
            add_duplicate_address(member.address, member_place, first_place, problems)
        members.append(member)
    return tuple(members) if len(members) == len(raw) else None


_MEMBER_FIELDS = ("host", "zone", "address", "weight", "slots")
_MEMBER_REQUIRED_FIELDS = ("host", "zone", "address")

WEIGHT_VALUE_SHAPE = ValueShape(type=ParameterType.INTEGER, minimum=0, maximum=MAX_WEIGHT)
"""Weight of a member; 0 for no new flows."""

SLOTS_VALUE_SHAPE = ValueShape(type=ParameterType.INTEGER, minimum=1, maximum=MAX_SLOTS)
"""Requests that a member's backend runs concurrently."""


def _check_member(raw: Any, place: str, problems: ProblemCollector) -> MemberValue | None:
    if not isinstance(raw, dict):
        _add_wrong_type("a member table", raw, place, problems)
        return None
    before = problems.count
    for field in raw:
        if field not in _MEMBER_FIELDS:
            mend = "a member has " + ", ".join(_MEMBER_FIELDS)
            problems.add(ProblemKind.UNKNOWN_FIELD, f"{place}.{field}", "unknown field", mend)
    for field in _MEMBER_REQUIRED_FIELDS:
        if field not in raw:
            mend = f"add {field}"
            problems.add(ProblemKind.MISSING_FIELD, f"{place}.{field}", "missing field", mend)
    if problems.count > before:
        return None
    host = check_name(raw["host"], f"{place}.host", problems)
    zone = check_name(raw["zone"], f"{place}.zone", problems)
    address = check_address(raw["address"], f"{place}.address", problems)
    weight = _check_optional(WEIGHT_VALUE_SHAPE, raw, "weight", place, problems)
    slots = _check_optional(SLOTS_VALUE_SHAPE, raw, "slots", place, problems)
    if problems.count > before or host is None or zone is None or address is None:
        return None
    return MemberValue(host=host, zone=zone, address=address, weight=weight, slots=slots)


def _check_optional(
    shape: ValueShape, raw: dict[str, Any], field: str, place: str, problems: ProblemCollector
) -> int | None:
    if field not in raw:
        return None
    return check_integer(shape, raw[field], f"{place}.{field}", problems)


def add_duplicate_address(
    address: Endpoint, place: str, first_place: str, problems: ProblemCollector
) -> None:
    """Add the problem that a member's address was given before, at `first_place`."""
    detail = f"address {address} is already given at {first_place}"
    mend = "give each member its own address"
    problems.add(ProblemKind.DUPLICATE_ADDRESS, place, detail, mend)


def _add_wrong_type(wanted: str, raw: Any, place: str, problems: ProblemCollector) -> None:
    problems.add(
        ProblemKind.WRONG_TYPE, place, f"{format_value(raw)} is not {wanted}", f"give {wanted}"
    )


def _check_bounds(
    number: int, bounds: tuple[int, int], place: str, subject: str, problems: ProblemCollector
) -> bool:
    minimum, maximum = bounds
    if minimum <= number <= maximum:
        return True
    mend = f"keep {subject} from {minimum} to {maximum}"
    detail = f"{subject} {number} is out of bounds"
    problems.add(ProblemKind.OUT_OF_BOUNDS, place, detail, mend)
    return False
