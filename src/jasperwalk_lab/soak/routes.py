"""The routes of a soak: each service has an urgent route and one of normal priority."""

from __future__ import annotations

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.soak.fleet import SERVICES
from jasperwalk_lab.soak.wire import SoakRoute

LISTENER_HOST = "198.18.0.1"
URGENT_PORTS = dict(zip(SERVICES, (443, 8443), strict=True))
NORMAL_PORT_OFFSET = 1
URGENT_PRIORITY, NORMAL_PRIORITY = 0, 1
URGENT_OBJECTIVE_MS, NORMAL_OBJECTIVE_MS = 250, 800
URGENT_LIMIT_MS, NORMAL_LIMIT_MS = 1500, 2500


def _urgent(service: str, port: int) -> SoakRoute:
    listener = Endpoint(LISTENER_HOST, port)
    return SoakRoute(listener, service, URGENT_PRIORITY, URGENT_OBJECTIVE_MS, URGENT_LIMIT_MS)


def _normal(service: str, port: int) -> SoakRoute:
    listener = Endpoint(LISTENER_HOST, port + NORMAL_PORT_OFFSET)
    return SoakRoute(listener, service, NORMAL_PRIORITY, NORMAL_OBJECTIVE_MS, NORMAL_LIMIT_MS)


ROUTES = (
    *(_urgent(service, port) for service, port in URGENT_PORTS.items()),
    *(_normal(service, port) for service, port in URGENT_PORTS.items()),
)
BY_LISTENER = {route.listener: route for route in ROUTES}


def route_of(listener: Endpoint) -> SoakRoute:
    """Return the route of a listener, or one without a service for an unknown listener."""
    return BY_LISTENER.get(listener, SoakRoute(listener, ""))
