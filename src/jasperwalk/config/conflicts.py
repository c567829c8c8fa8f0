"""Detects conflicts between tenants: a listener or an agent address claimed by two of them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.rendering import RenderedService


class Owner(msgspec.Struct, frozen=True, gc=False, order=True):
    """The tenant and service that claim a listener or an address."""

    tenant: str
    service: str


class RenderedTenant(msgspec.Struct, frozen=True):
    """A tenant's rendered services."""

    tenant: str
    services: list[RenderedService]


class ListenerConflict(msgspec.Struct, frozen=True):
    """Two tenants claim one VIP and port."""

    listener: Endpoint
    owner: Owner
    other: Owner


class AddressConflict(msgspec.Struct, frozen=True):
    """Two tenants claim one agent address."""

    address: Endpoint
    owner: Owner
    other: Owner


Conflict = ListenerConflict | AddressConflict


class Claims:
    """The owner of each listener and each agent address."""

    def __init__(self) -> None:
        self._listeners: dict[Endpoint, Owner] = {}
        self._addresses: dict[Endpoint, Owner] = {}

    def claim_listener(self, listener: Endpoint, owner: Owner) -> None:
        """Record the owner of a listener."""
        self._listeners[listener] = owner

    def claim_address(self, address: Endpoint, owner: Owner) -> None:
        """Record the owner of an agent address."""
        self._addresses[address] = owner

    def release_listener(self, listener: Endpoint) -> None:
        """Remove the owner of a listener."""
        self._listeners.pop(listener, None)

    def release_address(self, address: Endpoint) -> None:
        """Remove the owner of an agent address."""
        self._addresses.pop(address, None)

    def find_conflicts(self, candidates: Iterable[RenderedTenant]) -> list[Conflict]:
        """Return the conflicts of the candidates with other tenants and with each other.

        Each candidate replaces the present claims of its tenant.
        """
        rendered = list(candidates)
        replaced = {candidate.tenant for candidate in rendered}
        new_listeners: dict[Endpoint, Owner] = {}
        new_addresses: dict[Endpoint, Owner] = {}
        conflicts: list[Conflict] = []
        for candidate in rendered:
            for service in candidate.services:
                owner = Owner(tenant=candidate.tenant, service=service.name)
                other = _find_other_owner(
                    service.listener, owner, new_listeners, self._listeners, replaced
                )
                if other is not None:
                    conflicts.append(ListenerConflict(service.listener, owner, other))
                for member in service.members:
                    other = _find_other_owner(
                        member.address, owner, new_addresses, self._addresses, replaced
                    )
                    if other is not None:
                        conflicts.append(AddressConflict(member.address, owner, other))
        return conflicts


def _find_other_owner(
    endpoint: Endpoint,
    owner: Owner,
    new_owners: dict[Endpoint, Owner],
    present_owners: dict[Endpoint, Owner],
    replaced: set[str],
) -> Owner | None:
    """Return an owner of another tenant that claims the end point; record the new claim."""
    earlier = new_owners.setdefault(endpoint, owner)
    if earlier.tenant != owner.tenant:
        return earlier
    present = present_owners.get(endpoint)
    if present is not None and present.tenant not in replaced:
        return present
    return None


def find_conflicts(tenants: Iterable[RenderedTenant]) -> list[Conflict]:
    """Return the conflicts among a set of rendered tenants."""
    return Claims().find_conflicts(tenants)
