"""Service IDs: allocated once per service of a tenant, never reused."""

from __future__ import annotations

import msgspec

from jasperwalk.config.conflicts import Owner

MAX_SERVICE_ID = 2**24 - 1
"""A service ID has three bytes in a connection ID."""


class ServiceIdImage(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """Serialised form of one service's ID."""

    tenant: str
    service: str
    service_id: int


class ServiceIdsImage(msgspec.Struct, frozen=True, array_like=True):
    """Serialised form of all IDs, ordered by ID, and the next free one."""

    next_service_id: int
    services: list[ServiceIdImage]


class ServiceIds:
    """IDs of present services; those of removed services are never allocated again."""

    def __init__(self, next_service_id: int = 1) -> None:
        self._next_service_id = next_service_id
        self._ids: dict[Owner, int] = {}

    def find(self, owner: Owner) -> int | None:
        """Return the ID of a present service."""
        return self._ids.get(owner)

    def can_allocate_ids(self, count: int) -> bool:
        """Return whether `count` more IDs can be allocated."""
        return self._next_service_id + count - 1 <= MAX_SERVICE_ID

    def allocate(self, owner: Owner) -> int:
        """Return the service's ID, allocating one if it has none.

        The caller checks `can_allocate_ids` first.
        """
        service_id = self._ids.get(owner)
        if service_id is None:
            service_id = self._next_service_id
            self._next_service_id += 1
            self._ids[owner] = service_id
        return service_id

    def release(self, owner: Owner) -> None:
        """Drop a removed service; if it is added again, it gets another ID."""
        self._ids.pop(owner, None)

    def copy(self) -> ServiceIds:
        """Return a copy that later changes do not affect."""
        copied = ServiceIds(next_service_id=self._next_service_id)
        copied._ids = dict(self._ids)
        return copied

    def image(self) -> ServiceIdsImage:
        """Return the serialised form."""
        ordered = sorted(self._ids.items(), key=lambda item: item[1])
        services = [
            ServiceIdImage(tenant=owner.tenant, service=owner.service, service_id=service_id)
            for owner, service_id in ordered
        ]
        return ServiceIdsImage(next_service_id=self._next_service_id, services=services)

    @classmethod
    def from_image(cls, image: ServiceIdsImage) -> ServiceIds:
        """Rebuild from the serialised form."""
        service_ids = cls(next_service_id=image.next_service_id)
        for service in image.services:
            owner = Owner(tenant=service.tenant, service=service.service)
            service_ids._ids[owner] = service.service_id
        return service_ids
