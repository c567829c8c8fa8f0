"""The addresses of a fleet's listeners, stored in its run folder for other commands."""

from __future__ import annotations

from pathlib import Path

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.errors import LabSettingsError
from jasperwalk_lab.fleet import Fleet

LISTENERS_FILE = "places.json"


class FleetListeners(msgspec.Struct, frozen=True):
    """The example's name, the CA file, and each service's listener (`ip:port`)."""

    example: str
    ca_file: str
    listeners: dict[str, str]

    def listener(self, service: str) -> Endpoint:
        """Return a service's VIP and port; raise `LabSettingsError` for an unknown one."""
        if service not in self.listeners:
            reason = f"no service {service!r}; there are {', '.join(sorted(self.listeners))}"
            raise LabSettingsError(Path(LISTENERS_FILE), reason)
        return Endpoint.parse(self.listeners[service])


def listeners_of(fleet: Fleet) -> FleetListeners:
    """Return the listeners of a running fleet."""
    example = fleet.layout.example
    return FleetListeners(
        example=example.name,
        ca_file=str(fleet.certificates.ca_file),
        listeners={each.name: str(each.listener) for each in example.services()},
    )


def write_listeners(fleet: Fleet) -> Path:
    """Write a fleet's listeners to its run folder; return the file."""
    path = fleet.run_folder / LISTENERS_FILE
    path.write_bytes(msgspec.json.encode(listeners_of(fleet)))
    return path


def read_listeners(run_folder: Path) -> FleetListeners:
    """Read the listeners of a running fleet; raise `LabSettingsError`."""
    path = run_folder / LISTENERS_FILE
    try:
        return msgspec.json.decode(path.read_bytes(), type=FleetListeners)
    except (OSError, msgspec.MsgspecError) as error:
        raise LabSettingsError(path, str(error)) from error
