"""All rows of the capacity page."""

from __future__ import annotations

from jasperwalk_lab.scale.capacity_control import region_rows, replica_rows, whole_rows
from jasperwalk_lab.scale.capacity_model import Row
from jasperwalk_lab.scale.capacity_nodes import agent_rows, balancer_rows
from jasperwalk_lab.scale.measurements import Measurements


def make_rows(measured: Measurements) -> list[Row]:
    """Work out every row."""
    return [
        *balancer_rows(measured),
        *agent_rows(measured),
        *replica_rows(measured),
        *region_rows(measured),
        *whole_rows(measured),
    ]
