"""The OpenAPI document of the operators' interface, served at /openapi.json."""

from __future__ import annotations

from typing import Any

import msgspec

from jasperwalk.control.operation_types import BodyKind, Operation, Parameter, ParameterLocation
from jasperwalk.control.operations import OPERATIONS
from jasperwalk.control.problem import PROBLEM_CONTENT_TYPE, Problem, status_of

__all__ = ["OPERATIONS", "openapi_document"]

OPENAPI_VERSION = "3.1.0"
INTERFACE_VERSION = "1"
SCHEMA_REFERENCE = "#/components/schemas/{name}"


def openapi_document() -> dict[str, Any]:
    """Return the OpenAPI document of all operations, ready for encoding as JSON."""
    paths: dict[str, dict[str, Any]] = {}
    for operation in OPERATIONS:
        paths.setdefault(operation.path, {})[operation.method.lower()] = _describe(operation)
    types = [each for one in OPERATIONS for each in (one.answer, one.body) if each is not None]
    _, schemas = msgspec.json.schema_components(
        [*dict.fromkeys(types), Problem], ref_template=SCHEMA_REFERENCE
    )
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": "jasperwalk control", "version": INTERFACE_VERSION},
        "paths": paths,
        "components": {"schemas": schemas},
    }


def _describe(operation: Operation) -> dict[str, Any]:
    described: dict[str, Any] = {
        "operationId": operation.operation_id,
        "summary": operation.summary,
        "parameters": [_describe_parameter(each) for each in operation.parameters],
        "responses": _describe_responses(operation),
    }
    if operation.body is not None:
        content = {operation.body_kind.value: {"schema": _schema(operation.body)}}
        described["requestBody"] = {"required": True, "content": content}
    return described


def _describe_parameter(parameter: Parameter) -> dict[str, Any]:
    return {
        "name": parameter.name,
        "in": parameter.location.value,
        "required": parameter.location is ParameterLocation.PATH,
        "schema": {"type": parameter.schema_type},
        "description": parameter.description,
    }


def _describe_responses(operation: Operation) -> dict[str, Any]:
    media = BodyKind.TEXT if operation.answer is str else BodyKind.JSON
    content = {media.value: {"schema": _schema(operation.answer)}}
    responses: dict[str, Any] = {"200": {"description": "done", "content": content}}
    for kind in operation.problems:
        status = str(status_of(kind).value)
        response = responses.setdefault(status, {"description": kind})
        if kind not in response["description"].split(", "):
            response["description"] += f", {kind}"
        response["content"] = {PROBLEM_CONTENT_TYPE: {"schema": _schema(Problem)}}
    return responses


def _schema(body: type | None) -> dict[str, Any]:
    if body is None:
        return {"type": "object"}
    if body is str:
        return {"type": "string"}
    return {"$ref": SCHEMA_REFERENCE.format(name=body.__name__)}
