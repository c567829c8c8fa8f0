"""Hosts that are draining, kept separately for the two sources: operators and the platform."""

from __future__ import annotations

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import AdminState

MAX_DRAINING_HOSTS = 100_000
"""Maximum hosts that drain at once, per source; bounds memory."""


class HostStatesImage(msgspec.Struct, frozen=True, array_like=True):
    """Serialised form: sorted host names and `IPV4:PORT` addresses."""

    operator_draining: list[str]
    platform_draining: list[str]


class HostStates:
    """Draining hosts; a host is a host name or an agent's `IPV4:PORT`."""

    def __init__(self) -> None:
        self._operator_draining: set[str] = set()
        self._platform_draining: set[str] = set()

    def set_by_operator(self, host: str, admin_state: AdminState) -> bool:
        """Set a host's state by operators; return False if the limit is reached."""
        return _set_state(self._operator_draining, host, admin_state)

    def set_by_platform(self, host: str, admin_state: AdminState) -> bool:
        """Set a host's state by the platform; return False if the limit is reached."""
        return _set_state(self._platform_draining, host, admin_state)

    def operator_draining(self) -> list[str]:
        """Return the hosts that operators drain, sorted."""
        return sorted(self._operator_draining)

    def platform_draining(self) -> list[str]:
        """Return the hosts that are leaving by the platform's list, sorted."""
        return sorted(self._platform_draining)

    def admin_state(self, host: str, address: Endpoint) -> AdminState:
        """Return a member's state: draining if either source drains its host or address."""
        for draining in (self._operator_draining, self._platform_draining):
            if host in draining or str(address) in draining:
                return AdminState.DRAINING
        return AdminState.ENABLED

    def copy(self) -> HostStates:
        """Return a copy that later changes do not affect."""
        copied = HostStates()
        copied._operator_draining = set(self._operator_draining)
        copied._platform_draining = set(self._platform_draining)
        return copied

    def image(self) -> HostStatesImage:
        """Return the serialised form."""
        return HostStatesImage(
            operator_draining=self.operator_draining(), platform_draining=self.platform_draining()
        )

    @classmethod
    def from_image(cls, image: HostStatesImage) -> HostStates:
        """Rebuild from the serialised form."""
        states = cls()
        states._operator_draining = set(image.operator_draining)
        states._platform_draining = set(image.platform_draining)
        return states


def _set_state(draining: set[str], host: str, admin_state: AdminState) -> bool:
    if admin_state is AdminState.ENABLED:
        draining.discard(host)
        return True
    if host not in draining and len(draining) >= MAX_DRAINING_HOSTS:
        return False
    draining.add(host)
    return True
