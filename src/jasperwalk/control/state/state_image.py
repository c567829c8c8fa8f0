"""The serialised state: one canonical CBOR document, checked on the way in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

import msgspec

from jasperwalk.config.problems import TemplateError
from jasperwalk.config.routing_table import TableImage
from jasperwalk.config.table_entries import KeyEntry
from jasperwalk.config.templates import parse_template
from jasperwalk.config.tenants import Tenant
from jasperwalk.control.state.canonical import canonical_chunks
from jasperwalk.control.state.change_register import ChangeRegister, ChangeRegisterImage
from jasperwalk.control.state.configuration import Configuration, StoredTemplate, StoredTenant
from jasperwalk.control.state.host_states import HostStatesImage
from jasperwalk.control.state.incarnations import AgentRecord
from jasperwalk.control.state.service_ids import ServiceIdsImage
from jasperwalk.errors import JasperwalkError, MalformedMessage
from jasperwalk.messages.codec import decode_single_item

STATE_FORMAT = 1
"""Version of the serialised form; raised when its shape changes."""


@dataclass(eq=False)
class MalformedState(JasperwalkError):
    """Bytes that are not a serialised state of this format."""

    kind: ClassVar[str] = "malformed-state"
    reason: str

    def describe(self) -> str:
        """Give the decoder's reason."""
        return f"malformed control state: {self.reason}"


class TemplateImage(msgspec.Struct, frozen=True, array_like=True):
    """Serialised form of a template; its text is parsed again on restore."""

    text: str
    revision: int


class TenantImage(msgspec.Struct, frozen=True, array_like=True):
    """Serialised form of a tenant."""

    name: str
    template: str
    template_version: int
    revision: int
    values: dict[str, Any]


class StateImage(msgspec.Struct, frozen=True, array_like=True, tag=STATE_FORMAT):
    """Serialised form of the whole state."""

    last_index: int
    table: TableImage
    templates: list[TemplateImage]
    tenants: list[TenantImage]
    service_ids: ServiceIdsImage
    agents: list[AgentRecord]
    host_states: HostStatesImage
    changes: ChangeRegisterImage


def encode_state(image: StateImage) -> bytes:
    """Encode an image; equal images give equal bytes, whatever the order of their maps."""
    return b"".join(canonical_chunks(image))


def decode_state(data: bytes) -> StateImage:
    """Decode an image; raise `MalformedState` for bytes that are none, or do not agree."""
    try:
        image = msgspec.convert(decode_single_item(data), StateImage, strict=True)
        ChangeRegister.from_image(image.changes)
        _check_agreement(image)
    except MalformedMessage as error:
        raise MalformedState(reason=error.reason) from error
    except (msgspec.ValidationError, ValueError, TypeError) as error:
        raise MalformedState(reason=str(error)) from error
    return image


def _check_agreement(image: StateImage) -> None:
    """Raise `MalformedState` where parts that decode do not fit each other."""
    highest_id = max((service.service_id for service in image.service_ids.services), default=0)
    service_ids = {service.service_id for service in image.service_ids.services}
    if image.service_ids.next_service_id <= highest_id:
        raise MalformedState(reason=f"service ID {highest_id} would be allotted again")
    if image.table.revision > image.last_index:
        raise MalformedState(reason="the table is newer than the last command")
    if any(not agent.boot_ids for agent in image.agents):
        raise MalformedState(reason="an agent without a boot ID")
    for row in image.table.entries:
        if isinstance(row.entry, KeyEntry):
            continue
        if row.entry.service_id not in service_ids:
            raise MalformedState(reason=f"entry of unknown service {row.entry.service_id}")


def template_images(configuration: Configuration) -> list[TemplateImage]:
    """Return the templates' images, ordered by name."""
    stored = configuration.templates
    return [
        TemplateImage(text=stored[name].text, revision=stored[name].revision)
        for name in sorted(stored)
    ]


def tenant_images(configuration: Configuration) -> list[TenantImage]:
    """Return the tenants' images, ordered by name."""
    return [
        TenantImage(
            name=name,
            template=stored.tenant.template,
            template_version=stored.tenant.template_version,
            revision=stored.revision,
            values=stored.tenant.values,
        )
        for name, stored in sorted(configuration.tenants.items())
    ]


def configuration_from_image(image: StateImage) -> Configuration:
    """Rebuild templates and tenants; raise `MalformedState` where they do not agree."""
    configuration = Configuration()
    for template_image in image.templates:
        try:
            template = parse_template(template_image.text)
        except TemplateError as error:
            raise MalformedState(reason=f"stored template: {error.describe()}") from error
        configuration.templates[template.name] = StoredTemplate(
            template=template, text=template_image.text, revision=template_image.revision
        )
    for tenant_image in image.tenants:
        if tenant_image.template not in configuration.templates:
            reason = f"tenant {tenant_image.name} of unknown template {tenant_image.template}"
            raise MalformedState(reason=reason)
        tenant = Tenant(
            name=tenant_image.name,
            template=tenant_image.template,
            template_version=tenant_image.template_version,
            values=tenant_image.values,
        )
        stored = StoredTenant(tenant=tenant, revision=tenant_image.revision)
        configuration.tenants[tenant.name] = stored
    return configuration
