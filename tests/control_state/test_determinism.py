"""The same commands give the same bytes, also if the state is restored in between.

Guards against replicas whose states differ, and against untyped errors for malformed states.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jasperwalk.addresses import Endpoint
from jasperwalk.config.member_states import MemberStatus, PlatformState
from jasperwalk.config.table_entries import AdminState, KeyPurpose, OperatingStatus
from jasperwalk.control.state.commands import (
    ApplyTemplate,
    Command,
    InstallKey,
    RegisterAgent,
    RemoveTenant,
    SetHostState,
    SetMemberStatus,
    SetPlatformStates,
    SetTenant,
    decode_command,
    encode_command,
)
from jasperwalk.control.state.machine import ControlState
from jasperwalk.control.state.state_image import MalformedState

TEMPLATES = [
    """
name = "portal"
[parameters.vip]
type = "address"
[parameters.pool]
type = "members"
[[services]]
name = "views"
listener = "${vip}"
objective = "least-imbalance"
members = "${pool}"
""",
    """
name = "portal"
[parameters.vip]
type = "address"
[parameters.pool]
type = "members"
maximum = 2
[[services]]
name = "views"
listener = "${vip}"
objective = "fewest-broken-flows"
members = "${pool}"
[[services]]
name = "empty"
listener = "127.1.0.2:443"
objective = "fewest-broken-flows"
members = []
""",
    "name = 'portal'",
]

CHANGE_IDS = st.sampled_from([f"change-{number}" for number in range(12)])
EXPECTED = st.one_of(st.none(), st.integers(0, 6))
TENANTS = st.sampled_from(["alpha", "beta", "gamma"])
HOSTS = st.integers(1, 4)
ADMIN_STATES = st.sampled_from(AdminState)


def address(number: int) -> Endpoint:
    return Endpoint(host=f"127.0.0.{number}", port=7000)


def values(port: int, hosts: list[int]) -> dict[str, Any]:
    pool = [{"host": f"h{each}", "zone": "z", "address": str(address(each))} for each in hosts]
    return {"vip": f"127.1.0.1:{port}", "pool": pool}


VALUES = st.builds(values, st.integers(1, 3), st.lists(HOSTS, max_size=3, unique=True))
STATUSES = st.builds(
    MemberStatus, st.builds(address, HOSTS), st.integers(1, 3), st.sampled_from(OperatingStatus)
)
HOST_NAMES = st.one_of(HOSTS.map("h{}".format), HOSTS.map(address).map(str))
COMMANDS: st.SearchStrategy[Command] = st.one_of(
    st.builds(ApplyTemplate, CHANGE_IDS, EXPECTED, st.sampled_from(TEMPLATES)),
    st.builds(SetTenant, CHANGE_IDS, EXPECTED, TENANTS, st.just("portal"), VALUES),
    st.builds(SetTenant, CHANGE_IDS, st.none(), TENANTS, st.just("portal"), VALUES),
    st.builds(RemoveTenant, CHANGE_IDS, EXPECTED, TENANTS),
    st.builds(SetHostState, CHANGE_IDS, HOST_NAMES, ADMIN_STATES),
    st.builds(
        RegisterAgent,
        st.builds(address, HOSTS),
        st.sampled_from(["boot-1", "boot-2", "boot-3"]),
        HOSTS.map("h{}".format),
        st.just("z"),
    ),
    st.builds(SetMemberStatus, st.lists(STATUSES, max_size=3)),
    st.builds(
        SetPlatformStates, st.lists(st.builds(PlatformState, HOST_NAMES, ADMIN_STATES), max_size=3)
    ),
    st.builds(
        InstallKey,
        st.sampled_from(KeyPurpose),
        st.integers(0, 2),
        st.sampled_from([b"a" * 16, b"b" * 16]),
        st.booleans(),
    ),
)
LOGS = st.lists(COMMANDS, max_size=40).map(
    lambda commands: [ApplyTemplate("template", None, TEMPLATES[0]), *commands]
)


def new_state() -> ControlState:
    return ControlState(change_limit=8, tombstone_limit=2)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(log=LOGS, cut=st.integers(0, 40))
def test_a_restored_replica_goes_on_as_one_that_never_stopped(log: list[Command], cut: int) -> None:
    uninterrupted = new_state()
    restored = new_state()
    frozen, at_cut = uninterrupted.freeze(), uninterrupted.serialise()
    for index, command in enumerate(log, start=1):
        first = uninterrupted.apply(index, command)
        encoded = encode_command(command)
        job = restored.background_plan(index, encoded)
        second = restored.apply_encoded(index, encoded, job and job())
        assert first == second
        if index == cut:
            restored = ControlState.restore(restored.serialise())
            frozen, at_cut = uninterrupted.freeze(), uninterrupted.serialise()
    assert uninterrupted.serialise() == restored.serialise()
    assert frozen.serialise() == at_cut
    assert ControlState.restore(uninterrupted.serialise()).serialise() == uninterrupted.serialise()


@settings(derandomize=True, deadline=None, max_examples=150)
@given(log=LOGS)
def test_the_table_always_agrees_with_the_tenants(log: list[Command]) -> None:
    """No two services share a listener, each belongs to a tenant, and IDs are not reused."""
    state = new_state()
    owners: dict[int, tuple[str, str]] = {}
    revision = 0
    for index, command in enumerate(log, start=1):
        state.apply(index, command)
        assert revision <= state.revision <= index
        revision = state.revision
        services = list(state.table.services())
        assert len({service.listener for service in services}) == len(services)
        names = {stored.tenant.name for stored in state.tenants()}
        assert {service.tenant for service in services} == names
        ids = {service.service_id for service in services}
        assert {member.service_id for member in state.members()} <= ids
        for service in services:
            owner = (service.tenant, service.name)
            assert owners.setdefault(service.service_id, owner) == owner


@settings(derandomize=True, deadline=None, max_examples=100)
@given(command=COMMANDS)
def test_commands_survive_the_log(command: Command) -> None:
    assert decode_command(encode_command(command)) == command


def test_the_order_of_values_does_not_show_in_the_bytes() -> None:
    serialised = []
    for reverse in (False, True):
        state = new_state()
        state.apply(1, ApplyTemplate("template", None, TEMPLATES[0]))
        ordered = dict(sorted(values(1, [1, 2]).items(), reverse=reverse))
        state.apply(2, SetTenant("tenant", None, "alpha", "portal", ordered))
        serialised.append(state.serialise())
    assert serialised[0] == serialised[1]


def full_state() -> bytes:
    state = new_state()
    state.apply(1, ApplyTemplate("template", None, TEMPLATES[0]))
    state.apply(2, SetTenant("tenant", None, "alpha", "portal", values(1, [1, 2])))
    state.apply(3, RegisterAgent(address(1), "boot-1", "h1", "z"))
    state.apply(4, RemoveTenant("missing", None, "beta"))
    return state.serialise()


COMPLETE_STATE = full_state()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"\xa0",
        COMPLETE_STATE[:-1],
        COMPLETE_STATE[: len(COMPLETE_STATE) // 2],
        COMPLETE_STATE + b"\x00",
        COMPLETE_STATE.replace(b'name = "portal"', b'name = "ortal" '),
        COMPLETE_STATE.replace(b"[[services]]", b"[[services]["),
        COMPLETE_STATE.replace(b"unknown-tenant", b"unknown-tenent"),
        COMPLETE_STATE.replace(b"fboot-1", b"gboot-1"),
    ],
)
def test_malformed_bytes_are_refused_with_a_typed_error(data: bytes) -> None:
    assert data != COMPLETE_STATE
    with pytest.raises(MalformedState):
        ControlState.restore(data)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(position=st.integers(0, len(COMPLETE_STATE) - 1), byte=st.integers(0, 255))
def test_a_changed_byte_never_raises_an_untyped_error(position: int, byte: int) -> None:
    """A changed byte that still decodes is detected by the storage's checksum, not here."""
    data = COMPLETE_STATE[:position] + bytes([byte]) + COMPLETE_STATE[position + 1 :]
    try:
        ControlState.restore(data).serialise()
    except MalformedState:
        return
