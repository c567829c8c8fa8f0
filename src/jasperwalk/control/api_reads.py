"""Handlers of the operators' interface that only read.

All but the status require a replica with recent quorum contact, unless the request accepts a
stale answer: an operator should not decide on outdated state.
"""

from __future__ import annotations

import asyncio
import math

from aiohttp import web

from jasperwalk.config.table_entries import KeyEntry, KeyPurpose, MemberEntry, accepts_new_work
from jasperwalk.control.api_changes import json_response, outcome_response
from jasperwalk.control.api_requests import accepts_stale, integer_query_of, wait_seconds_of
from jasperwalk.control.in_force import InForce
from jasperwalk.control.peer_messages import AgentCondition
from jasperwalk.control.problem import UnknownChange, problem_response
from jasperwalk.control.replica import ControlReplica
from jasperwalk.control.state.configuration_refusals import UnknownTemplate, UnknownTenant
from jasperwalk.control.state.fleet_keys import keys_of, waiting_keys
from jasperwalk.control.state.outcomes import Accepted
from jasperwalk.control.views import (
    HostList,
    KeyList,
    KeyView,
    MemberView,
    ReplicaList,
    ReplicaView,
    ServiceView,
    StatusView,
    TemplateList,
    TemplateView,
    TenantList,
    TenantView,
)

IN_FORCE_POLL_SECONDS = 0.05
"""Interval at which a waiting request checks the acknowledgements again."""


class ReadHandlers:
    """One method per operation, named by its `operation_id`."""

    def __init__(self, replica: ControlReplica) -> None:
        self._replica = replica

    async def list_templates(self, request: web.Request) -> web.Response:
        """List the templates."""
        self._require_fresh(request)
        return json_response(TemplateList(templates=self._templates()))

    async def get_template(self, request: web.Request) -> web.Response:
        """Show a template."""
        self._require_fresh(request)
        name = request.match_info["name"]
        for template in self._templates():
            if template.name == name:
                return json_response(template, revision=template.revision)
        return problem_response(UnknownTemplate(template=name))

    async def list_tenants(self, request: web.Request) -> web.Response:
        """List the tenants."""
        self._require_fresh(request)
        return json_response(TenantList(tenants=self._tenants()))

    async def get_tenant(self, request: web.Request) -> web.Response:
        """Show a tenant."""
        self._require_fresh(request)
        name = request.match_info["name"]
        for tenant in self._tenants():
            if tenant.name == name:
                return json_response(tenant, revision=tenant.revision)
        return problem_response(UnknownTenant(tenant=name))

    async def get_change(self, request: web.Request) -> web.Response:
        """Show the outcome of a change."""
        self._require_fresh(request)
        change_id = request.match_info["change_id"]
        outcome = self._replica.state.outcome_of(change_id)
        if outcome is None:
            raise UnknownChange(change_id=change_id)
        return outcome_response(change_id, outcome)

    async def get_in_force(self, request: web.Request) -> web.Response:
        """Show whether a change is in force everywhere, waiting for it if asked to."""
        self._require_fresh(request)
        revision = integer_query_of(request, "revision")
        if revision is None:
            change_id = request.match_info["change_id"]
            outcome = self._replica.state.outcome_of(change_id)
            if outcome is None:
                raise UnknownChange(change_id=change_id)
            if not isinstance(outcome, Accepted):
                return problem_response(outcome, change_id)
            revision = outcome.revision
        return json_response(await self._wait_in_force(revision, wait_seconds_of(request)))

    async def list_hosts(self, request: web.Request) -> web.Response:
        """List the members by host."""
        self._require_fresh(request)
        members = sorted(self._replica.state.table.members(), key=_member_order)
        agents = await self._replica.region.agents()
        views = [self._view_member(each, agents.get(each.address)) for each in members]
        return json_response(HostList(members=views))

    async def list_keys(self, request: web.Request) -> web.Response:
        """List the fleet keys, without their secrets."""
        self._require_fresh(request)
        table = self._replica.state.table
        views = [view for purpose in KeyPurpose for view in _view_keys(keys_of(table, purpose))]
        return json_response(KeyList(keys=views))

    async def list_replicas(self, request: web.Request) -> web.Response:
        """List the control replicas."""
        self._require_fresh(request)
        endpoints = self._replica.runner.endpoints()
        replicas = [
            ReplicaView(
                replica_id=member.replica_id,
                address=str(endpoints.get(member.replica_id, "")),
                voter=member.voting,
                leader=member.replica_id == self._replica.runner.leader_id,
            )
            for member in self._replica.runner.membership.members
        ]
        return json_response(ReplicaList(replicas=replicas))

    async def get_status(self, _request: web.Request) -> web.Response:
        """Show what this replica knows."""
        runner = self._replica.runner
        revision = self._replica.state.table.revision
        in_force = await self._replica.region.in_force(revision)
        quorum_age = runner.quorum_age()
        status = StatusView(
            replica_id=self._replica.replica_id,
            leader_id=runner.leader_id,
            term=runner.term,
            commit_index=runner.commit_index,
            applied_index=runner.applied.index,
            revision=revision,
            quorum_age_ms=int(quorum_age * 1000) if math.isfinite(quorum_age) else None,
            balancers=in_force.balancers,
            balancers_in_force=in_force.in_force,
            agents=in_force.agents,
            agents_in_force=in_force.agents_in_force,
            laggards=in_force.laggards,
            laggard_count=in_force.laggard_count,
            services=self._services(),
        )
        return json_response(status)

    def _require_fresh(self, request: web.Request) -> None:
        if not accepts_stale(request):
            self._replica.require_quorum()

    async def _wait_in_force(self, revision: int, wait_seconds: float) -> InForce:
        deadline = asyncio.get_running_loop().time() + wait_seconds
        while True:
            in_force = await self._replica.region.in_force(revision)
            if in_force.complete or asyncio.get_running_loop().time() >= deadline:
                return in_force
            await asyncio.sleep(IN_FORCE_POLL_SECONDS)

    def _templates(self) -> list[TemplateView]:
        return [
            TemplateView(name=each.template.name, revision=each.revision, text=each.text)
            for each in self._replica.state.templates()
        ]

    def _tenants(self) -> list[TenantView]:
        return [
            TenantView(
                name=each.tenant.name,
                revision=each.revision,
                template=each.tenant.template,
                values=each.tenant.values,
            )
            for each in self._replica.state.tenants()
        ]

    def _services(self) -> list[ServiceView]:
        table = self._replica.state.table
        views = []
        for service in sorted(table.services(), key=lambda each: each.service_id):
            members = table.members_of(service.service_id)
            accepting = [each for each in members if accepts_new_work(each)]
            view = ServiceView(
                service_id=service.service_id,
                name=service.name,
                tenant=service.tenant,
                listener=str(service.listener),
                objective=service.objective.value,
                members=len(members),
                members_accepting=len(accepting),
            )
            views.append(view)
        return views

    def _view_member(self, member: MemberEntry, fact: AgentCondition | None) -> MemberView:
        service = self._replica.state.table.service(member.service_id)
        return MemberView(
            address=str(member.address),
            host=member.host,
            zone=member.zone,
            service="" if service is None else service.name,
            weight=member.weight,
            slots=member.slots,
            admin_state=member.admin_state.value,
            operating_status=member.operating_status.value,
            incarnation=member.incarnation,
            healthy=None if fact is None else fact.healthy,
            open_flows=None if fact is None else fact.open_flows,
        )


def _view_keys(keys: list[KeyEntry]) -> list[KeyView]:
    waiting = waiting_keys(keys)
    return [
        KeyView(
            purpose=key.purpose.value,
            rotation=key.rotation,
            generation=key.generation,
            state="active" if key.active else "waiting" if key in waiting else "accepted",
            superseded_at_ms=key.superseded_at_ms or None,
        )
        for key in keys
    ]


def _member_order(member: MemberEntry) -> tuple[str, str]:
    return member.host, str(member.address)
