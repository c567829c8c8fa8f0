"""Loads an example deployment and gives it addresses of this machine.

An example folder holds one template (`template.toml`) and a file `tenant-NAME.toml` for each
tenant with `name`, `template` and a `values` table. Addresses in values are those of a
real deployment; the fleet replaces each by a free loopback endpoint.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from jasperwalk.addresses import Endpoint
from jasperwalk.config.parameters import ParameterType
from jasperwalk.config.rendering import RenderedService, render
from jasperwalk.config.templates import Template, parse_template
from jasperwalk.config.tenants import Tenant
from jasperwalk_lab.errors import ExampleError

EXAMPLES_FOLDER = Path(__file__).resolve().parents[2] / "examples"
EndpointMaker = Callable[[], Endpoint]


@dataclass(frozen=True)
class ZoneDelays:
    """One-way delays in milliseconds: between two zones, and between callers and the fabric."""

    between_zones_ms: float
    to_clients_ms: float


DELAYS = {
    "zagreb": ZoneDelays(between_zones_ms=1.5, to_clients_ms=1.0),
    "hanoi": ZoneDelays(between_zones_ms=0.5, to_clients_ms=3.0),
}
EXAMPLE_NAMES = tuple(DELAYS)


@dataclass(frozen=True)
class Example:
    """A deployment: a template with its text, the tenants that use it, and its network delays."""

    name: str
    template_text: str
    template: Template
    tenants: tuple[Tenant, ...]
    delays: ZoneDelays

    def services(self) -> list[RenderedService]:
        """Render every tenant's services."""
        return [service for tenant in self.tenants for service in render(self.template, tenant)]

    def zones(self) -> list[str]:
        """Return the zones of all members, sorted."""
        members = [member for service in self.services() for member in service.members]
        return sorted({member.zone for member in members})

    def with_tenants(self, tenants: tuple[Tenant, ...]) -> Example:
        """Return the same deployment with other tenants."""
        return replace(self, tenants=tenants)

    def relocated(self, make_vip: EndpointMaker, make_member: EndpointMaker) -> Example:
        """Return the same deployment with new endpoints for listeners and members."""
        tenants = tuple(self._relocated_tenant(t, make_vip, make_member) for t in self.tenants)
        return self.with_tenants(tenants)

    def _relocated_tenant(
        self, tenant: Tenant, make_vip: EndpointMaker, make_member: EndpointMaker
    ) -> Tenant:
        values: dict[str, Any] = dict(tenant.values)
        for name, parameter in self.template.parameters.items():
            if name not in values:
                continue
            if parameter.shape.type is ParameterType.ADDRESS:
                values[name] = str(make_vip())
            elif parameter.shape.type is ParameterType.MEMBERS:
                values[name] = [{**m, "address": str(make_member())} for m in values[name]]
        return Tenant(
            name=tenant.name,
            template=tenant.template,
            template_version=tenant.template_version,
            values=values,
        )


def load_example(name: str, folder: Path = EXAMPLES_FOLDER) -> Example:
    """Read the example called `name`; raise `ExampleError` if it is unknown or incomplete."""
    if name not in DELAYS:
        raise ExampleError(example=name, reason=f"known examples are {', '.join(EXAMPLE_NAMES)}")
    try:
        text = (folder / name / "template.toml").read_text(encoding="utf-8")
        files = sorted((folder / name).glob("tenant-*.toml"))
        tenants = tuple(_read_tenant(path) for path in files)
    except (OSError, tomllib.TOMLDecodeError, KeyError) as error:
        raise ExampleError(example=name, reason=f"{type(error).__name__}: {error}") from error
    if not tenants:
        raise ExampleError(example=name, reason="the folder has no tenant files")
    return Example(
        name=name,
        template_text=text,
        template=parse_template(text),
        tenants=tenants,
        delays=DELAYS[name],
    )


def _read_tenant(path: Path) -> Tenant:
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    return Tenant(
        name=document["name"],
        template=document["template"],
        template_version=0,
        values=document["values"],
    )
