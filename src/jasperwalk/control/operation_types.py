"""Types that describe an operation of the operators' interface: parameters and bodies."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class ParameterLocation(enum.StrEnum):
    """Part of the request that holds a parameter (`in` of the OpenAPI document)."""

    PATH = "path"
    QUERY = "query"
    HEADER = "header"


@dataclass(frozen=True)
class Parameter:
    """One parameter; `schema_type` is a JSON schema type."""

    name: str
    location: ParameterLocation
    schema_type: str
    description: str


class BodyKind(enum.StrEnum):
    """Media types of request and response bodies."""

    JSON = "application/json"
    TOML = "application/toml"
    TEXT = "text/plain"


@dataclass(frozen=True)
class Operation:
    """One method of one path; `answer` and `body` are the types of response and request body."""

    operation_id: str
    method: str
    path: str
    summary: str
    answer: type | None
    parameters: tuple[Parameter, ...] = ()
    problems: tuple[str, ...] = ()
    body: type | None = None
    body_kind: BodyKind = BodyKind.JSON
