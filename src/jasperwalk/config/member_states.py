"""Reported states of members and hosts, before they become part of the routing table.

The leader's observations become a `MemberStatus`, the platform's list a `PlatformState`. Both
are carried in commands of the replicated log.
"""

from __future__ import annotations

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import AdminState, OperatingStatus


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """The observed status of one incarnation of the agent at `address`."""

    address: Endpoint
    incarnation: int
    operating_status: OperatingStatus


class PlatformState(msgspec.Struct, frozen=True, array_like=True):
    """The platform's admin state for `host`, a host name or an agent's `IPV4:PORT`."""

    host: str
    admin_state: AdminState
