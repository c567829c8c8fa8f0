"""Writes the settings file of each process of a fleet, and returns the command that runs it.

Input: the layout of the fleet (names and endpoints) and its options. The product's processes
start with `jasperwalk`, the stand-ins with `jasperwalk-lab stand-in`.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import tomli_w

from jasperwalk.addresses import Endpoint
from jasperwalk.transport.identity import Identity, ProcessRole
from jasperwalk_lab.certificates import CertificateFiles, LinkCertificates
from jasperwalk_lab.fleet_options import DEFAULT_OPTIONS, FleetOptions, FlowPlacement
from jasperwalk_lab.layout import BalancerPlace, ControlPlace, Layout, MemberPlace
from jasperwalk_lab.supervisor import STOP_TIMEOUT_SECONDS, ProcessPlan, health_url

CLUSTER_ID = "lab"
AGENT_STOP_GRACE_MS = round(0.8 * 1000 * STOP_TIMEOUT_SECONDS)
"""Shorter than the supervisor's time-out, so that an agent ends its callers' flows itself before it
is killed."""
COMMANDS_FOLDER = Path(sys.executable).parent
PLATFORM_LIST = "platform-list"
FABRIC = "fabric"
KEYS_FOLDER = "keys"
"""Folder of the internal links' certificates in a run's folder."""


class FleetPlanner:
    """Plans processes; each settings file goes to `run_folder/settings/<name>.toml`."""

    def __init__(
        self,
        layout: Layout,
        run_folder: Path,
        certificates: CertificateFiles,
        seed: int,
        options: FleetOptions = DEFAULT_OPTIONS,
    ) -> None:
        self._options = options
        self._layout = layout
        self._run_folder = run_folder
        self._certificates = certificates
        self._seed = seed
        self._settings_folder = run_folder / "settings"
        self._settings_folder.mkdir(parents=True, exist_ok=True)
        self._link_certificates: LinkCertificates | None = None
        if options.protect_links:
            self._link_certificates = LinkCertificates(run_folder / KEYS_FOLDER)

    def control(self, place: ControlPlace) -> ProcessPlan:
        """Plan a control replica."""
        settings = self._control_settings(place)
        if self._options.offline_ms is not None:
            settings["offline_ms"] = self._options.offline_ms
        return self._product("control", place.name, settings, health_url(place.api))

    def _control_settings(self, place: ControlPlace) -> dict[str, Any]:
        peers = [
            {"replica_id": each.replica_id, "address": str(self._peer_endpoint(each))}
            for each in self._layout.controls
        ]
        return {
            "name": place.name,
            "replica_id": place.replica_id,
            "cluster_id": CLUSTER_ID,
            "zone": place.zone,
            "data_folder": str(self._run_folder / "data" / place.name),
            "peer_listen": str(place.peer),
            "api_listen": str(place.api),
            "platform_list_url": health_url(self._layout.platform_list, "/machines"),
            "peers": peers,
            **self._tls(ProcessRole.CONTROL, place.name),
        }

    def balancer(self, place: BalancerPlace) -> ProcessPlan:
        """Plan a balancer."""
        settings: dict[str, Any] = {
            "name": place.name,
            "cluster_id": CLUSTER_ID,
            "zone": place.zone,
            "listen": str(place.listen),
            "admin_listen": str(place.admin),
            "control": self._control_endpoints(),
            **self._tls(ProcessRole.BALANCER, place.name),
        }
        if self._options.placement is not FlowPlacement.RENDEZVOUS:
            return self._baseline_balancer(place, settings)
        return self._product("balancer", place.name, settings, health_url(place.admin))

    def _baseline_balancer(self, place: BalancerPlace, settings: dict[str, Any]) -> ProcessPlan:
        pages = [
            {"member": str(each.listen), "url": health_url(each.backend, "/load")}
            for each in self._layout.members
        ]
        around: dict[str, Any] = {
            "placement": self._options.placement.value,
            "seed": self._seed,
            "load_pages": pages,
            "balancer": settings,
        }
        return self._stand_in("balancer", place.name, around, health_url(place.admin))

    def agent(self, place: MemberPlace) -> ProcessPlan:
        """Plan an agent."""
        settings: dict[str, Any] = {
            "name": place.host,
            "cluster_id": CLUSTER_ID,
            "zone": place.zone,
            "listen": str(place.listen),
            "admin_listen": str(place.admin),
            "control": self._control_endpoints(),
            "backend": str(place.backend),
            "fabric": str(self._layout.fabric_return),
            "stop_grace_ms": AGENT_STOP_GRACE_MS,
            "certificate_file": str(self._certificates.certificate_file),
            "private_key_file": str(self._certificates.private_key_file),
            **self._tls(ProcessRole.AGENT, place.host),
        }
        if not self._options.lend_slots:
            settings["lend_slots"] = False
        if not self._options.hand_over_when_busy:
            settings["hand_over_when_busy"] = False
        return self._product("agent", agent_name(place), settings, health_url(place.admin))

    def backend(self, place: MemberPlace) -> ProcessPlan:
        """Plan the backend beside an agent."""
        settings: dict[str, Any] = {
            "service": place.service,
            "host": place.host,
            "listen": str(place.backend),
            "slots": place.slots,
            "service_time_ms": self._options.service_time_ms,
            "service_time_varies": self._options.service_time_varies,
            **self._backend_extras(place),
        }
        ready_url = health_url(place.backend, "/health")
        return self._stand_in("backend", backend_name(place), settings, ready_url)

    def platform_list(self) -> ProcessPlan:
        """Plan the platform list."""
        settings: dict[str, Any] = {
            "listen": str(self._layout.platform_list),
            "machines": [
                {"host": each.host, "address": str(each.listen), "zone": each.zone}
                for each in self._layout.members
            ],
        }
        ready_url = health_url(self._layout.platform_list, "/machines")
        return self._stand_in(PLATFORM_LIST, PLATFORM_LIST, settings, ready_url)

    def fabric(self) -> ProcessPlan:
        """Plan the fabric; it sprays over the balancers that start with the fleet."""
        settings: dict[str, Any] = {
            "listeners": [str(each.listener) for each in self._layout.example.services()],
            "return_listen": str(self._layout.fabric_return),
            "admin_listen": str(self._layout.fabric_admin),
            "return_delay_ms": self._layout.example.delays.to_clients_ms,
            "seed": self._seed,
            "balancers": [
                {
                    "name": each.name,
                    "address": str(each.listen),
                    "admin": str(each.admin),
                    "delay_ms": each.delay_ms,
                }
                for each in self._layout.balancers
            ],
        }
        return self._stand_in(FABRIC, FABRIC, settings, health_url(self._layout.fabric_admin))

    def _tls(self, role: ProcessRole, name: str) -> dict[str, Any]:
        """Return the TLS settings of a process's internal links, empty without protection."""
        if self._link_certificates is None:
            return {}
        files = self._link_certificates.files(Identity(CLUSTER_ID, role, name))
        table: dict[str, Any] = {
            "ca_file": str(files.ca_file),
            "certificate_file": str(files.certificate_file),
            "private_key_file": str(files.private_key_file),
        }
        if role is ProcessRole.CONTROL:
            table["api"] = False  # the lab's own clients use plain HTTP
        return {"tls": table}

    def _control_endpoints(self) -> list[str]:
        return [str(self._peer_endpoint(each)) for each in self._layout.controls]

    def _peer_endpoint(self, place: ControlPlace) -> Endpoint:
        """Return the endpoint at which other processes reach a replica."""
        return place.peer

    def _backend_extras(self, _place: MemberPlace) -> dict[str, Any]:
        """Return additional settings of a backend."""
        return {}

    def _product(
        self, kind: str, name: str, settings: dict[str, Any], ready_url: str
    ) -> ProcessPlan:
        program = str(COMMANDS_FOLDER / "jasperwalk")
        command = (program, kind, "--settings", self._write(name, settings))
        return ProcessPlan(name=name, command=command, health_url=ready_url)

    def _stand_in(
        self, kind: str, name: str, settings: dict[str, Any], ready_url: str
    ) -> ProcessPlan:
        program = str(COMMANDS_FOLDER / "jasperwalk-lab")
        command = (program, "stand-in", kind, "--settings", self._write(name, settings))
        return ProcessPlan(name=name, command=command, health_url=ready_url)

    def _write(self, name: str, settings: dict[str, Any]) -> str:
        path = self._settings_folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings), encoding="utf-8")
        return str(path)


def agent_name(place: MemberPlace) -> str:
    """Return the process name of a member's agent."""
    return f"agent-{place.host}"


def backend_name(place: MemberPlace) -> str:
    """Return the process name of a member's backend."""
    return f"backend-{place.host}"
