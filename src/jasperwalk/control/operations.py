"""The table of operations of the operators' interface.

`OPERATIONS` is the only definition of paths and methods: the router binds a handler to each
`operation_id`, and the OpenAPI document is generated from the same table.
"""

from __future__ import annotations

from jasperwalk.control.in_force import InForce
from jasperwalk.control.operation_types import BodyKind, Operation, Parameter, ParameterLocation
from jasperwalk.control.views import (
    ChangeView,
    HostList,
    KeyList,
    ReplicaBody,
    ReplicaChangeView,
    ReplicaList,
    StatusView,
    TemplateList,
    TemplateView,
    TenantBody,
    TenantList,
    TenantView,
)

NAME = Parameter("name", ParameterLocation.PATH, "string", "name of the template or tenant")
HOST = Parameter("host", ParameterLocation.PATH, "string", "name of the host, as in the templates")
CHANGE_ID = Parameter(
    "change_id", ParameterLocation.PATH, "string", "change ID that the change was sent with"
)
REPLICA_ID = Parameter("replica_id", ParameterLocation.PATH, "integer", "identity of the replica")
PURPOSE = Parameter(
    "purpose",
    ParameterLocation.PATH,
    "string",
    "connection-id, stateless-reset, ticket or datagram",
)
STALE = Parameter(
    "stale", ParameterLocation.QUERY, "boolean", "true: accept an answer that may be old"
)
WAIT_MS = Parameter(
    "wait_ms", ParameterLocation.QUERY, "integer", "wait this long (ms) until it is complete"
)
REVISION = Parameter(
    "revision",
    ParameterLocation.QUERY,
    "integer",
    "revision to ask for, instead of the change's own",
)
IF_MATCH = Parameter(
    "If-Match",
    ParameterLocation.HEADER,
    "string",
    'expected revision in quotes, such as "17"; "0" expects that it does not exist yet',
)
IDEMPOTENCY_KEY = Parameter(
    "Idempotency-Key",
    ParameterLocation.HEADER,
    "string",
    "change ID; a resend with the same ID gets the first outcome (drawn when it is left out)",
)

READ_PARAMETERS = (STALE,)
CHANGE_PARAMETERS = (IF_MATCH, IDEMPOTENCY_KEY)
READ_PROBLEMS = ("stale-replica",)
CHANGE_PROBLEMS = (
    "bad-request",
    "invalid-identifier",
    "change-id-reused",
    "no-leader",
    "overloaded",
    "proposal-lost",
    "outcome-unknown",
)
REPLICA_PROBLEMS = ("bad-request", "membership-refused", "no-leader", "outcome-unknown")
CONFIGURATION_PROBLEMS = (
    *CHANGE_PROBLEMS,
    "revision-mismatch",
    "conflicting-listener",
    "conflicting-address",
    "limit-reached",
)

OPERATIONS: tuple[Operation, ...] = (
    Operation(
        "put_template",
        "PUT",
        "/v1/templates/{name}",
        "Create or change a template; the body is its TOML text.",
        ChangeView,
        (NAME, *CHANGE_PARAMETERS),
        (*CONFIGURATION_PROBLEMS, "invalid-template", "tenant-rendering-failed", "body-too-large"),
        body=str,
        body_kind=BodyKind.TOML,
    ),
    Operation(
        "list_templates",
        "GET",
        "/v1/templates",
        "List the templates.",
        TemplateList,
        READ_PARAMETERS,
        READ_PROBLEMS,
    ),
    Operation(
        "get_template",
        "GET",
        "/v1/templates/{name}",
        "Show a template; its ETag is its revision.",
        TemplateView,
        (NAME, *READ_PARAMETERS),
        (*READ_PROBLEMS, "unknown-template"),
    ),
    Operation(
        "put_tenant",
        "PUT",
        "/v1/tenants/{name}",
        "Create or change a tenant.",
        ChangeView,
        (NAME, *CHANGE_PARAMETERS),
        (*CONFIGURATION_PROBLEMS, "unknown-template", "invalid-values", "body-too-large"),
        body=TenantBody,
    ),
    Operation(
        "list_tenants",
        "GET",
        "/v1/tenants",
        "List the tenants.",
        TenantList,
        READ_PARAMETERS,
        READ_PROBLEMS,
    ),
    Operation(
        "get_tenant",
        "GET",
        "/v1/tenants/{name}",
        "Show a tenant; its ETag is its revision.",
        TenantView,
        (NAME, *READ_PARAMETERS),
        (*READ_PROBLEMS, "unknown-tenant"),
    ),
    Operation(
        "delete_tenant",
        "DELETE",
        "/v1/tenants/{name}",
        "Remove a tenant with its services.",
        ChangeView,
        (NAME, *CHANGE_PARAMETERS),
        (*CONFIGURATION_PROBLEMS, "unknown-tenant"),
    ),
    Operation(
        "get_change",
        "GET",
        "/v1/changes/{change_id}",
        "Show the outcome of a change.",
        ChangeView,
        (CHANGE_ID, *READ_PARAMETERS),
        (*READ_PROBLEMS, "unknown-change"),
    ),
    Operation(
        "get_in_force",
        "GET",
        "/v1/changes/{change_id}/in-force",
        "Tell, or wait until, a change is in force on every balancer and agent.",
        InForce,
        (CHANGE_ID, WAIT_MS, REVISION, STALE),
        (*READ_PROBLEMS, "bad-request", "unknown-change"),
    ),
    Operation(
        "drain_host",
        "POST",
        "/v1/hosts/{host}/drain",
        "Stop new work on a host; open streams run to their end.",
        ChangeView,
        (HOST, IDEMPOTENCY_KEY),
        (*CHANGE_PROBLEMS, "unknown-host"),
    ),
    Operation(
        "resume_host",
        "POST",
        "/v1/hosts/{host}/resume",
        "Let a drained host take new work again.",
        ChangeView,
        (HOST, IDEMPOTENCY_KEY),
        (*CHANGE_PROBLEMS, "unknown-host"),
    ),
    Operation(
        "list_hosts",
        "GET",
        "/v1/hosts",
        "List the members of all pools by host.",
        HostList,
        READ_PARAMETERS,
        READ_PROBLEMS,
    ),
    Operation(
        "list_keys",
        "GET",
        "/v1/keys",
        "List the fleet keys, without their secrets.",
        KeyList,
        READ_PARAMETERS,
        READ_PROBLEMS,
    ),
    Operation(
        "rotate_key",
        "POST",
        "/v1/keys/{purpose}/rotate",
        "Put another key in the place of the active one, once it is in force everywhere.",
        ChangeView,
        (PURPOSE, IDEMPOTENCY_KEY),
        (*CHANGE_PROBLEMS, "rotation-in-progress", "limit-reached"),
    ),
    Operation(
        "list_replicas",
        "GET",
        "/v1/replicas",
        "List the control replicas.",
        ReplicaList,
        READ_PARAMETERS,
        READ_PROBLEMS,
    ),
    Operation(
        "add_replica",
        "POST",
        "/v1/replicas",
        "Add a replica as a learner, or promote a learner that has caught up.",
        ReplicaChangeView,
        (),
        REPLICA_PROBLEMS,
        body=ReplicaBody,
    ),
    Operation(
        "remove_replica",
        "DELETE",
        "/v1/replicas/{replica_id}",
        "Remove a replica for good.",
        ReplicaChangeView,
        (REPLICA_ID,),
        REPLICA_PROBLEMS,
    ),
    Operation(
        "get_status",
        "GET",
        "/v1/status",
        "Show what this replica knows of the region; answers on a stale replica too.",
        StatusView,
    ),
    Operation("get_openapi", "GET", "/openapi.json", "This document.", None),
    Operation(
        "get_metrics",
        "GET",
        "/metrics",
        "Metrics in the Prometheus text format.",
        str,
        body_kind=BodyKind.TEXT,
    ),
    Operation("get_health", "GET", "/healthz", "Health of this process.", None),
)
