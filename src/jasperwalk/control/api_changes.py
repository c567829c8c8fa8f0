"""Handlers of the operators' interface that change state.

Each turns a request into a command or a change of the replicas, proposes it, and answers with
the outcome.
"""

from __future__ import annotations

import secrets

import msgspec
from aiohttp import web

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import AdminState
from jasperwalk.control.api_requests import (
    change_id_of,
    expected_revision_of,
    json_body_of,
    key_purpose_of,
    replica_id_of,
    text_body_of,
)
from jasperwalk.control.key_duties import SECRET_BYTES
from jasperwalk.control.peer_messages import (
    ReplicaAddition,
    ReplicaChange,
    ReplicaPromotion,
    ReplicaRemoval,
)
from jasperwalk.control.problem import BadRequest, problem_response
from jasperwalk.control.proposal_errors import ProposalError
from jasperwalk.control.replica import ControlReplica
from jasperwalk.control.state.commands import (
    ApplyTemplate,
    OperatorCommand,
    RemoveTenant,
    RotateKey,
    SetHostState,
    SetTenant,
)
from jasperwalk.control.state.outcomes import Accepted, Outcome
from jasperwalk.control.views import ChangeView, ReplicaBody, ReplicaChangeView, TenantBody
from jasperwalk.errors import MalformedMessage


class ChangeHandlers:
    """One method per operation, named by its `operation_id`."""

    def __init__(self, replica: ControlReplica) -> None:
        self._replica = replica

    async def put_template(self, request: web.Request) -> web.Response:
        """Create or change a template."""
        command = ApplyTemplate(
            change_id=change_id_of(request),
            expected_revision=expected_revision_of(request),
            text=await text_body_of(request),
            name=request.match_info["name"],
        )
        return await self._change(command)

    async def put_tenant(self, request: web.Request) -> web.Response:
        """Create or change a tenant."""
        body = await json_body_of(request, TenantBody)
        command = SetTenant(
            change_id=change_id_of(request),
            expected_revision=expected_revision_of(request),
            name=request.match_info["name"],
            template=body.template,
            values=body.values,
        )
        return await self._change(command)

    async def delete_tenant(self, request: web.Request) -> web.Response:
        """Remove a tenant."""
        command = RemoveTenant(
            change_id=change_id_of(request),
            expected_revision=expected_revision_of(request),
            name=request.match_info["name"],
        )
        return await self._change(command)

    async def drain_host(self, request: web.Request) -> web.Response:
        """Stop new work on a host."""
        return await self._set_host(request, AdminState.DRAINING)

    async def resume_host(self, request: web.Request) -> web.Response:
        """Let a drained host take new work."""
        return await self._set_host(request, AdminState.ENABLED)

    async def rotate_key(self, request: web.Request) -> web.Response:
        """Start the rotation of a key."""
        command = RotateKey(
            change_id=change_id_of(request),
            purpose=key_purpose_of(request),
            secret=secrets.token_bytes(SECRET_BYTES),
        )
        return await self._change(command)

    async def add_replica(self, request: web.Request) -> web.Response:
        """Add a learner, or promote one."""
        body = await json_body_of(request, ReplicaBody)
        if body.promote:
            return await self._change_replicas(ReplicaPromotion(replica_id=body.replica_id))
        if body.address is None:
            raise BadRequest(reason="address is missing; expected IPV4:PORT of the peer port")
        endpoint = Endpoint.parse(body.address)
        return await self._change_replicas(ReplicaAddition(body.replica_id, endpoint))

    async def remove_replica(self, request: web.Request) -> web.Response:
        """Remove a replica."""
        return await self._change_replicas(ReplicaRemoval(replica_id=replica_id_of(request)))

    async def _set_host(self, request: web.Request, admin_state: AdminState) -> web.Response:
        command = SetHostState(
            change_id=change_id_of(request),
            host=request.match_info["host"],
            admin_state=admin_state,
        )
        return await self._change(command)

    async def _change(self, command: OperatorCommand) -> web.Response:
        change_id = command.change_id
        try:
            outcome = await self._replica.change(command)
        except ProposalError as error:
            # The caller needs the change ID for a resend, also if it was generated here.
            return problem_response(error, change_id)
        except MalformedMessage as error:
            # A command that another replica could not decode or print never enters the log.
            raise BadRequest(reason=error.reason) from error
        return outcome_response(change_id, outcome)

    async def _change_replicas(self, change: ReplicaChange) -> web.Response:
        index = await self._replica.change_replicas(change)
        return json_response(ReplicaChangeView(outcome=Accepted.kind, index=index))


def outcome_response(change_id: str, outcome: Outcome) -> web.Response:
    """Answer with a change's outcome: accepted, or the state's refusal as a problem."""
    if not isinstance(outcome, Accepted):
        return problem_response(outcome, change_id)
    view = ChangeView(
        change_id=change_id,
        outcome=outcome.kind,
        revision=outcome.revision,
        subject_revision=outcome.subject_revision,
    )
    return json_response(view, revision=outcome.subject_revision or None)


def json_response(body: msgspec.Struct, revision: int | None = None) -> web.Response:
    """Answer with a typed body, and its ETag where it has a revision."""
    response = web.Response(body=msgspec.json.encode(body), content_type="application/json")
    if revision is not None:
        response.headers["ETag"] = f'"{revision}"'
    return response
