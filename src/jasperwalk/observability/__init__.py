"""Logs, metrics and the admin HTTP server that every daemon has."""

from jasperwalk.observability.admin import (
    AdminServer,
    HealthFact,
    HealthReport,
    add_admin_routes,
)
from jasperwalk.observability.logs import configure_logging, get_logger
from jasperwalk.observability.metrics import MetricsRegistry

__all__ = [
    "AdminServer",
    "HealthFact",
    "HealthReport",
    "MetricsRegistry",
    "add_admin_routes",
    "configure_logging",
    "get_logger",
]
