"""Committed registrations of agents, as far as this replica has applied them.

They decide whether a subscribing agent is registered, replaced by a newer process, or new.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk.messages.distribution import Subscribe


@dataclass(frozen=True)
class Registration:
    """The process that holds an address, and its incarnation."""

    boot_id: str
    incarnation: int


class RegistrationVerdict(enum.Enum):
    """The state of a subscribing agent by the registration of its address; see `verdict_for`."""

    REGISTERED = enum.auto()
    REPLACED = enum.auto()
    NEW = enum.auto()
    UNKNOWN = enum.auto()


class Registrations:
    """Registered processes by address."""

    def __init__(self) -> None:
        self._by_address: dict[Endpoint, Registration] = {}

    def register(self, address: Endpoint, boot_id: str, incarnation: int) -> None:
        """Record a committed registration, which replaces the former one of the address."""
        self._by_address[address] = Registration(boot_id=boot_id, incarnation=incarnation)

    def at(self, address: Endpoint) -> Registration | None:
        """Return the registration of an address."""
        return self._by_address.get(address)

    def verdict_for(self, subscribe: Subscribe, table_revision: int) -> RegistrationVerdict:
        """Return whether a subscribing agent is registered, replaced, or new.

        An agent that once had an incarnation and finds another process at its address was
        replaced while it was suspended. On a replica behind the agent's own revision, or behind
        its registration, the verdict is unknown: proposing the agent there could give an old
        process the address back, and refusing it would end the newest one.
        """
        registration = self._by_address.get(subscribe.address)
        if registration is not None and registration.boot_id == subscribe.boot_id:
            return RegistrationVerdict.REGISTERED
        if subscribe.incarnation == 0:
            return RegistrationVerdict.NEW
        if table_revision < subscribe.revision:
            return RegistrationVerdict.UNKNOWN
        if registration is None:
            return RegistrationVerdict.NEW
        if subscribe.incarnation > registration.incarnation:
            return RegistrationVerdict.UNKNOWN
        return RegistrationVerdict.REPLACED
