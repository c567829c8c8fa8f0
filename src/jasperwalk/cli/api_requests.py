"""The requests that commands send: one function per operation of the HTTP API."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import msgspec

from jasperwalk.cli.api_client import ApiRequest
from jasperwalk.control.views import ReplicaBody, TenantBody

TOML_CONTENT_TYPE = "application/toml"


def _path(*parts: str) -> str:
    return "/v1/" + "/".join(quote(part, safe=":") for part in parts)


def read(*parts: str) -> ApiRequest:
    """Read the resource at `/v1/` followed by the parts."""
    return ApiRequest(method="GET", path=_path(*parts))


def put_template(name: str, text: str) -> ApiRequest:
    """Create or change a template."""
    return ApiRequest(
        method="PUT",
        path=_path("templates", name),
        body=text.encode(),
        content_type=TOML_CONTENT_TYPE,
    )


def put_tenant(name: str, template: str, values: dict[str, Any]) -> ApiRequest:
    """Create or change a tenant."""
    body = TenantBody(template=template, values=values)
    return ApiRequest(method="PUT", path=_path("tenants", name), body=msgspec.json.encode(body))


def delete_tenant(name: str) -> ApiRequest:
    """Remove a tenant."""
    return ApiRequest(method="DELETE", path=_path("tenants", name))


def set_host_state(host: str, action: str) -> ApiRequest:
    """Drain or resume a host (`action` is drain or resume)."""
    return ApiRequest(method="POST", path=_path("hosts", host, action))


def rotate_key(purpose: str) -> ApiRequest:
    """Rotate the key of a purpose."""
    return ApiRequest(method="POST", path=_path("keys", purpose, "rotate"))


def post_replica(body: ReplicaBody) -> ApiRequest:
    """Add a replica, or promote a learner."""
    return ApiRequest(method="POST", path=_path("replicas"), body=msgspec.json.encode(body))


def delete_replica(replica_id: int) -> ApiRequest:
    """Remove a replica."""
    return ApiRequest(method="DELETE", path=_path("replicas", str(replica_id)))
