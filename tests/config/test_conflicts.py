"""A conflict between two tenants names both of them."""

from __future__ import annotations

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.config.conflicts import (
    AddressConflict,
    Claims,
    Conflict,
    ListenerConflict,
    Owner,
    RenderedTenant,
    find_conflicts,
)
from jasperwalk.config.rendering import RenderedMember, RenderedService
from jasperwalk.config.table_entries import HealthMonitor, Objective, ServiceLimits


def endpoint(number: int) -> Endpoint:
    return Endpoint(host="127.0.0.1", port=number)


def rendered(tenant: str, listener: int, address: int) -> RenderedTenant:
    service = RenderedService(
        name="s",
        listener=endpoint(listener),
        objective=Objective.LEAST_IMBALANCE,
        limits=ServiceLimits(1, 1, 1, 1),
        health_monitor=HealthMonitor("/", 1, 1, 1),
        members=(RenderedMember(endpoint(address), "h", "z", 1, 1),),
    )
    return RenderedTenant(tenant=tenant, services=[service])


A = Owner(tenant="a", service="s")
B = Owner(tenant="b", service="s")


@pytest.mark.parametrize(
    ("listener", "address", "expected"),
    [
        (2, 20, []),
        (1, 20, [ListenerConflict(endpoint(1), B, A)]),
        (2, 10, [AddressConflict(endpoint(10), B, A)]),
        (1, 10, [ListenerConflict(endpoint(1), B, A), AddressConflict(endpoint(10), B, A)]),
    ],
)
def test_conflicts_name_both_tenants(listener: int, address: int, expected: list[Conflict]) -> None:
    second = rendered("b", listener, address)
    assert find_conflicts([rendered("a", 1, 10), second]) == expected
    claims = Claims()
    claims.claim_listener(endpoint(1), A)
    claims.claim_address(endpoint(10), A)
    assert claims.find_conflicts([second]) == expected


def test_a_candidate_replaces_its_tenants_claims() -> None:
    claims = Claims()
    claims.claim_listener(endpoint(1), A)
    claims.claim_listener(endpoint(2), B)
    swapped = [rendered("a", 2, 10), rendered("b", 1, 20)]
    assert claims.find_conflicts(swapped) == []
    assert claims.find_conflicts(swapped[:1]) == [ListenerConflict(endpoint(2), A, B)]
