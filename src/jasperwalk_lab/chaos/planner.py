"""Plans the processes of a chaos fleet: control behind relays, backend journals on disk."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from jasperwalk.addresses import Endpoint
from jasperwalk.transport.identity import ProcessRole
from jasperwalk_lab.certificates import CertificateFiles
from jasperwalk_lab.fleet_settings import CLUSTER_ID, KEYS_FOLDER, FleetPlanner
from jasperwalk_lab.layout import ControlPlace, Layout, MemberPlace
from jasperwalk_lab.supervisor import ProcessPlan, health_url

LINKS = "links"


@dataclass(frozen=True)
class LinkLayout:
    """Endpoints of the relays: the relay of each replica by its name, and their admin interface."""

    admin: Endpoint
    relays: dict[str, Endpoint]
    replacements: tuple[ControlPlace, ...]
    """Replicas that replace lost ones."""


class ChaosPlanner(FleetPlanner):
    """A planner whose replicas are reached through relays and whose backends write journals."""

    def __init__(
        self,
        layout: Layout,
        run_folder: Path,
        certificates: CertificateFiles,
        seed: int,
        links: LinkLayout,
    ) -> None:
        super().__init__(layout, run_folder, certificates, seed)
        self._links = links
        self._journal_folder = run_folder / "journals"
        self._journal_folder.mkdir()

    def links(self) -> ProcessPlan:
        """Plan the relays."""
        places = [*self._layout.controls, *self._links.replacements]
        for each in places:  # a relay needs its replica's certificate before the replica does
            self._tls(ProcessRole.CONTROL, each.name)
        settings: dict[str, Any] = {
            "admin_listen": str(self._links.admin),
            "cluster_id": CLUSTER_ID,
            "keys_folder": str(self._run_folder / KEYS_FOLDER),
            "links": [
                {
                    "name": each.name,
                    "listen": str(self._links.relays[each.name]),
                    "target": str(each.peer),
                }
                for each in places
            ],
        }
        return self._stand_in(LINKS, LINKS, settings, health_url(self._links.admin))

    def joining_control(self, place: ControlPlace) -> ProcessPlan:
        """Plan a replica that starts empty and waits to be added to the group."""
        settings = self._control_settings(place) | {"join": True}
        return self._product("control", place.name, settings, health_url(place.api))

    def journal_files(self) -> list[Path]:
        """Return the paths of the journals that backends have written."""
        return sorted(self._journal_folder.iterdir())

    def data_folder(self, place: ControlPlace) -> Path:
        """Return the folder of a replica's log."""
        return self._run_folder / "data" / place.name

    def _control_endpoints(self) -> list[str]:
        return [str(relay) for relay in self._links.relays.values()]

    def _peer_endpoint(self, place: ControlPlace) -> Endpoint:
        return self._links.relays[place.name]

    def _backend_extras(self, place: MemberPlace) -> dict[str, Any]:
        return {"journal_file": str(self._journal_folder / f"{place.host}.jsonl")}
