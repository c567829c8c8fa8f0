"""Changes of an example's template and tenants, as operators make them (pure)."""

from __future__ import annotations

import tomllib
from dataclasses import replace

import msgspec
import tomli_w

from jasperwalk.addresses import Endpoint
from jasperwalk.config.parameters import ParameterType
from jasperwalk.config.templates import parse_template
from jasperwalk.config.tenants import Tenant
from jasperwalk_lab.example import Example


def with_weight(example: Example, address: Endpoint, weight: int) -> Example:
    """Return the example with another weight of the member at `address`."""
    tenants = []
    for tenant in example.tenants:
        values = dict(tenant.values)
        for name in _member_lists(example, tenant):
            values[name] = [
                {**each, "weight": weight} if each["address"] == str(address) else each
                for each in values[name]
            ]
        tenants.append(msgspec.structs.replace(tenant, values=values))
    return example.with_tenants(tuple(tenants))


def with_default(example: Example, parameter: str, value: int) -> Example:
    """Return the example with another default of a template's parameter."""
    document = tomllib.loads(example.template_text)
    document["parameters"][parameter]["default"] = value
    text = tomli_w.dumps(document)
    return replace(example, template_text=text, template=parse_template(text))


def tenant_of(example: Example, address: Endpoint) -> Tenant:
    """Return the tenant that has a member at `address`; raise `StopIteration` if none has."""
    return next(
        tenant
        for tenant in example.tenants
        for name in _member_lists(example, tenant)
        if any(each["address"] == str(address) for each in tenant.values[name])
    )


def _member_lists(example: Example, tenant: Tenant) -> list[str]:
    return [
        name
        for name, parameter in example.template.parameters.items()
        if parameter.shape.type is ParameterType.MEMBERS and name in tenant.values
    ]
