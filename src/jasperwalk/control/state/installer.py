"""Installs accepted renderings into the routing table: service IDs, claims, entries, removals."""

from __future__ import annotations

from jasperwalk.addresses import Endpoint
from jasperwalk.config.conflicts import Claims, Owner, RenderedTenant
from jasperwalk.config.rendering import RenderedMember, RenderedService
from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.config.table_entries import (
    MemberEntry,
    MemberKey,
    OperatingStatus,
    ServiceEntry,
    ServiceKey,
)
from jasperwalk.control.state.host_states import HostStates
from jasperwalk.control.state.incarnations import Incarnations
from jasperwalk.control.state.service_ids import ServiceIds


class Installer:
    """Keeps table, claims and service IDs consistent with the accepted renderings."""

    def __init__(
        self,
        table: VersionedTable,
        service_ids: ServiceIds,
        incarnations: Incarnations,
        host_states: HostStates,
    ) -> None:
        self.table = table
        self.service_ids = service_ids
        self.claims = Claims()
        self._incarnations = incarnations
        self._host_states = host_states
        self._services_by_tenant: dict[str, dict[str, int]] = {}
        self._claim_present_entries()

    def can_allocate_ids(self, renderings: list[RenderedTenant]) -> bool:
        """Return whether there are enough service IDs for the renderings."""
        owners = [
            Owner(tenant=rendering.tenant, service=service.name)
            for rendering in renderings
            for service in rendering.services
        ]
        new_owners = [owner for owner in owners if self.service_ids.find(owner) is None]
        return self.service_ids.can_allocate_ids(len(new_owners))

    def install(self, renderings: list[RenderedTenant], revision: int) -> None:
        """Replace the entries of the renderings' tenants; the renderings have no conflicts.

        Entries that are no longer rendered are removed first, so that an address or listener
        may move from one service to another in the same change.
        """
        kept_addresses = _addresses_of(renderings)
        for rendering in renderings:
            self._remove_superseded(rendering, kept_addresses, revision)
        for rendering in renderings:
            for service in rendering.services:
                self._upsert_service(rendering.tenant, service, revision)

    def refresh_member(self, address: Endpoint, revision: int) -> None:
        """Update a member's entry from its agent's record and its host's state."""
        member = self.table.member(address)
        if member is not None:
            self._upsert_member(
                member.service_id,
                RenderedMember(
                    address=address,
                    host=member.host,
                    zone=member.zone,
                    weight=member.weight,
                    slots=member.slots,
                ),
                revision,
            )

    def _claim_present_entries(self) -> None:
        """Rebuild the claims from the table after a restore."""
        for service in self.table.services():
            owner = Owner(tenant=service.tenant, service=service.name)
            self.claims.claim_listener(service.listener, owner)
            self._services_by_tenant.setdefault(service.tenant, {})[service.name] = (
                service.service_id
            )
            for member in self.table.members_of(service.service_id):
                self.claims.claim_address(member.address, owner)

    def _remove_superseded(
        self, rendering: RenderedTenant, kept_addresses: set[Endpoint], revision: int
    ) -> None:
        """Remove the tenant's services and members that are not in its new rendering."""
        names = {service.name for service in rendering.services}
        present = self._services_by_tenant.get(rendering.tenant, {})
        for name in sorted(present):
            service_id = present[name]
            for member in self.table.members_of(service_id):
                self.claims.release_address(member.address)
                if member.address not in kept_addresses:
                    self.table.remove(MemberKey(address=member.address), revision)
            service = self.table.service(service_id)
            if service is not None:
                self.claims.release_listener(service.listener)
            if name not in names:
                self.table.remove(ServiceKey(service_id=service_id), revision)
                self.service_ids.release(Owner(tenant=rendering.tenant, service=name))
                del present[name]
        if not rendering.services:
            self._services_by_tenant.pop(rendering.tenant, None)

    def _upsert_service(self, tenant: str, service: RenderedService, revision: int) -> None:
        owner = Owner(tenant=tenant, service=service.name)
        service_id = self.service_ids.allocate(owner)
        self._services_by_tenant.setdefault(tenant, {})[service.name] = service_id
        self.claims.claim_listener(service.listener, owner)
        entry = ServiceEntry(
            service_id=service_id,
            name=service.name,
            tenant=tenant,
            listener=service.listener,
            objective=service.objective,
            limits=service.limits,
            health_monitor=service.health_monitor,
        )
        self.table.upsert(entry, revision)
        for member in service.members:
            self.claims.claim_address(member.address, owner)
            self._upsert_member(service_id, member, revision)

    def _upsert_member(self, service_id: int, member: RenderedMember, revision: int) -> None:
        record = self._incarnations.find(member.address)
        status = OperatingStatus.UNREGISTERED if record is None else record.operating_status
        entry = MemberEntry(
            address=member.address,
            service_id=service_id,
            host=member.host,
            zone=member.zone,
            weight=member.weight,
            slots=member.slots,
            admin_state=self._host_states.admin_state(member.host, member.address),
            operating_status=status,
            incarnation=0 if record is None else record.incarnation,
        )
        self.table.upsert(entry, revision)


def _addresses_of(renderings: list[RenderedTenant]) -> set[Endpoint]:
    """Return the addresses of all members in the renderings."""
    return {
        member.address
        for rendering in renderings
        for service in rendering.services
        for member in service.members
    }
