"""JSON bodies of the operators' interface, as typed structs.

The OpenAPI document derives its schemas from these types.
"""

from __future__ import annotations

from typing import Any

import msgspec


class TenantBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a PUT of a tenant: a template's name and the tenant's values."""

    template: str
    values: dict[str, Any] = {}


class ReplicaBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a POST of a replica: its ID (never used before) and `IPV4:PORT`.

    With `promote` an existing learner becomes a voter and `address` is left out.
    """

    replica_id: int
    address: str | None = None
    promote: bool = False


class ChangeView(msgspec.Struct, frozen=True):
    """The outcome of an accepted change.

    `revision` is the table revision that carries it; `subject_revision` is the new revision
    (ETag) of the template or tenant, 0 where there is none.
    """

    change_id: str
    outcome: str
    revision: int
    subject_revision: int


class TemplateView(msgspec.Struct, frozen=True):
    """A template: name, revision (its ETag) and TOML text."""

    name: str
    revision: int
    text: str


class TemplateList(msgspec.Struct, frozen=True):
    """All templates."""

    templates: list[TemplateView]


class TenantView(msgspec.Struct, frozen=True):
    """A tenant: name, revision (its ETag), template and values."""

    name: str
    revision: int
    template: str
    values: dict[str, Any]


class TenantList(msgspec.Struct, frozen=True):
    """All tenants."""

    tenants: list[TenantView]


class MemberView(msgspec.Struct, frozen=True):
    """One member of a service's pool, as control sees it."""

    address: str
    host: str
    zone: str
    service: str
    weight: int
    slots: int
    admin_state: str
    operating_status: str
    incarnation: int
    healthy: bool | None
    open_flows: int | None


class HostList(msgspec.Struct, frozen=True):
    """All members, sorted by host and address."""

    members: list[MemberView]


class KeyView(msgspec.Struct, frozen=True):
    """One fleet key, without its secret.

    `state` is active, waiting (newer, not used yet) or accepted (older); `superseded_at_ms` is
    the Unix time in ms at which another key became active, null where none did.
    """

    purpose: str
    rotation: int
    generation: int
    state: str
    superseded_at_ms: int | None


class KeyList(msgspec.Struct, frozen=True):
    """All fleet keys, sorted by purpose and generation."""

    keys: list[KeyView]


class ReplicaView(msgspec.Struct, frozen=True):
    """One control replica; `voter` is False for a learner that is catching up."""

    replica_id: int
    address: str
    voter: bool
    leader: bool


class ReplicaList(msgspec.Struct, frozen=True):
    """All control replicas."""

    replicas: list[ReplicaView]


class ReplicaChangeView(msgspec.Struct, frozen=True):
    """An accepted change of the replicas, with the log index that carries it."""

    outcome: str
    index: int


class ServiceView(msgspec.Struct, frozen=True):
    """One service with the number of its members that take new work."""

    service_id: int
    name: str
    tenant: str
    listener: str
    objective: str
    members: int
    members_accepting: int


class StatusView(msgspec.Struct, frozen=True):
    """State of the region as this replica knows it.

    `quorum_age_ms` is the time since contact with a quorum, null when it is not known; so are
    the counts of balancers and agents. `laggards` names at most 100 of `laggard_count`.
    """

    replica_id: int
    leader_id: int | None
    term: int
    commit_index: int
    applied_index: int
    revision: int
    quorum_age_ms: int | None
    balancers: int | None
    balancers_in_force: int | None
    agents: int | None
    agents_in_force: int | None
    laggards: list[str]
    services: list[ServiceView]
    laggard_count: int = 0
