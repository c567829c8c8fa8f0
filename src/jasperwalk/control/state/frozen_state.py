"""A copy of the state at one log index, for serialising while the state itself advances.

Copying takes milliseconds, because only the containers are copied: templates, tenants, records and
table entries are immutable. Serialising a region's state takes most of a second, and may run in
another thread.
"""

from __future__ import annotations

from dataclasses import dataclass

from jasperwalk.config.routing_table import TableContent
from jasperwalk.control.state.change_register import ChangeRegister
from jasperwalk.control.state.configuration import Configuration
from jasperwalk.control.state.host_states import HostStates
from jasperwalk.control.state.incarnations import Incarnations
from jasperwalk.control.state.service_ids import ServiceIds
from jasperwalk.control.state.state_image import (
    StateImage,
    encode_state,
    template_images,
    tenant_images,
)


@dataclass(frozen=True)
class FrozenState:
    """Copies of a state's parts, not shared with anything else."""

    last_index: int
    table: TableContent
    configuration: Configuration
    service_ids: ServiceIds
    incarnations: Incarnations
    host_states: HostStates
    changes: ChangeRegister

    def serialise(self) -> bytes:
        """Encode the complete state; equal states give equal bytes."""
        image = StateImage(
            last_index=self.last_index,
            table=self.table.image(),
            templates=template_images(self.configuration),
            tenants=tenant_images(self.configuration),
            service_ids=self.service_ids.image(),
            agents=self.incarnations.records(),
            host_states=self.host_states.image(),
            changes=self.changes.image(),
        )
        return encode_state(image)
