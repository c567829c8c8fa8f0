"""Templates and tenants of a simulated deployment: its services, and studios.

Studios are small tenants without running members, which operators change concurrently.
"""

from __future__ import annotations

from typing import Any

from jasperwalk_lab.simulator.layout import Layout, ServiceLayout

STUDIO_COUNT = 3
"""Number of studios."""

_TEMPLATE = """
name = "{name}"
[parameters.vip]
type = "address"
[parameters.pool]
type = "members"
[parameters.queue]
type = "integer"
default = 16
[[services]]
name = "{name}"
listener = "${{vip}}"
objective = "fewest-broken-flows"
members = "${{pool}}"
limits = {{ queue_length = "${{queue}}" }}
"""


def template_text(name: str) -> str:
    """Return the text of the template of a service, or of the studios."""
    return _TEMPLATE.format(name=name)


def member_value(layout: Layout, host: str, slots: int) -> dict[str, Any]:
    """Return a host as a member of a pool."""
    address = str(layout.agent_endpoint(host))
    number = layout.agent_endpoint(host).host.rpartition(".")[2]
    return {"host": host, "zone": layout.zone(int(number)), "address": address, "slots": slots}


def service_values(layout: Layout, service: ServiceLayout) -> dict[str, Any]:
    """Return the initial parameter values of a service's tenant."""
    pool = [member_value(layout, host, service.slots) for host in service.hosts()]
    return {"vip": str(layout.listener(service.name)), "pool": pool}


def studio_name(number: int) -> str:
    """Return the name of a studio."""
    return f"studio-{number}"


def studio_values(number: int, queue: int) -> dict[str, Any]:
    """Return the parameter values of a studio."""
    zone = "nowhere"
    member = {"host": f"none-{number}", "zone": zone, "address": f"127.0.4.{number + 1}:7000"}
    return {"vip": f"127.2.0.{number + 1}:443", "pool": [member], "queue": queue}
