"""Maintenance of open flows after a change of the view (sans-IO).

Flows are moved to the active fleet keys, and get GOAWAY at a drain. A bounded number of flows
is handled in each turn of the event loop.
"""

from __future__ import annotations

from jasperwalk.agent.flow_table import FlowTable
from jasperwalk.agent.go_away import PendingGoAways
from jasperwalk.agent.key_renewal import FlowRenewal
from jasperwalk.agent.service_view import ServiceView


class FlowMaintenance:
    """Maintains the flows of a table."""

    def __init__(self, flows: FlowTable) -> None:
        self._flows = flows
        self._renewal = FlowRenewal()
        self._go_aways = PendingGoAways()

    def view_changed(self, before: ServiceView, after: ServiceView) -> None:
        """Queue the open flows that a change affects."""
        numbers = [flow.number for flow in self._flows]
        self._renewal.view_changed(before, after, numbers)
        self._go_aways.view_changed(before, after, numbers)

    def renew_some_flows(self) -> bool:
        """Move a bounded number of flows to the active keys; return False when none is queued."""
        touched = [self._flows.touch(number) for number in self._renewal.take()]
        flows = [flow for flow in touched if flow is not None]
        for flow in flows:
            flow.connection.renew_connection_ids()
        return bool(flows)

    def send_some_go_aways(self) -> bool:
        """Send GOAWAY on a bounded number of flows; return False when none is queued."""
        touched = [self._flows.touch(number) for number in self._go_aways.take()]
        flows = [flow for flow in touched if flow is not None]
        for flow in flows:
            flow.http.go_away()
        return bool(flows)
