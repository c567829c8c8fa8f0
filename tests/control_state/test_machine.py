"""Outcomes of the state machine: races, resends, refusals, IDs and incarnations."""

from __future__ import annotations

from typing import Any

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.config.member_states import MemberStatus, PlatformState
from jasperwalk.config.problems import ProblemKind
from jasperwalk.config.routing_table import SnapshotRequired
from jasperwalk.config.table_entries import (
    AdminState,
    KeyPurpose,
    OperatingStatus,
    accepts_new_work,
)
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
    encode_command,
)
from jasperwalk.control.state.configuration_refusals import (
    ConflictingAddress,
    ConflictingListener,
    InvalidValues,
    RevisionMismatch,
    TenantRenderingFailed,
)
from jasperwalk.control.state.fleet_refusals import SupersededBoot
from jasperwalk.control.state.machine import CommandOutOfOrder, ControlState
from jasperwalk.control.state.outcomes import Accepted, ChangeIdReused, MalformedCommand, Registered
from jasperwalk.errors import MalformedMessage

ADDRESS = Endpoint(host="127.0.0.1", port=7000)
SECRET = b"0123456789abcdef"


def register(boot_id: str, address: Endpoint = ADDRESS) -> RegisterAgent:
    return RegisterAgent(address=address, boot_id=boot_id, name="h1", zone="z1")


def test_a_race_of_two_operators_has_one_winner(driver: Any) -> None:
    created = driver.set_tenant("create", expected=0)
    assert created == Accepted(revision=2, subject_revision=2)
    assert driver.set_tenant("first", port=5, expected=2).accepted
    outcome = driver.set_tenant("second", port=6, expected=2)
    assert outcome == RevisionMismatch(subject="tenant alpha", expected=2, current=3)
    assert driver.state.table.service_at(Endpoint(host="127.1.0.1", port=5)) is not None
    assert driver.state.table.service_at(Endpoint(host="127.1.0.1", port=6)) is None


def test_a_race_without_any_difference_has_one_winner_too(driver: Any) -> None:
    driver.set_tenant("create")
    assert driver.set_tenant("first", expected=2) == Accepted(revision=2, subject_revision=3)
    assert driver.set_tenant("second", expected=2).kind == "revision-mismatch"


@pytest.mark.parametrize("restart", [False, True])
def test_a_resend_gets_the_first_outcome(driver: Any, restart: bool) -> None:
    first = driver.set_tenant("change", expected=0)
    refused = driver.set_tenant("refused", port=9, expected=77)
    driver.set_tenant("later", hosts=(1, 2))
    if restart:
        driver.restart()
    before = driver.state.table.image()
    assert driver.set_tenant("change", expected=0) == first
    assert driver.set_tenant("change", expected=3) == first
    assert driver.set_tenant("refused", port=9, expected=77) == refused
    assert driver.set_tenant("change", port=3) == ChangeIdReused(change_id="change")
    assert driver.state.table.image() == before
    assert driver.state.outcome_of("change") == first


def test_the_change_register_is_bounded_and_survives_restarts(make_driver: Any) -> None:
    driver = make_driver(ControlState(change_limit=2))
    driver.apply_template("template")
    driver.set_tenant("one")
    driver.restart()
    driver.set_tenant("two")
    assert driver.state.outcome_of("template") is None
    assert driver.state.outcome_of("one") is not None
    assert driver.state.outcome_of("two") is not None


@pytest.mark.parametrize(
    ("port", "hosts", "expected"),
    [
        (1, (2,), ConflictingListener("127.1.0.1:1", "beta", "views", "alpha", "views")),
        (2, (1,), ConflictingAddress("127.0.0.1:7000", "beta", "views", "alpha", "views")),
    ],
)
@pytest.mark.parametrize("restart", [False, True])
def test_conflicts_name_both_tenants_and_change_nothing(
    driver: Any, port: int, hosts: tuple[int, ...], expected: object, restart: bool
) -> None:
    driver.set_tenant("alpha")
    if restart:
        driver.restart()
    before = driver.state.table.image()
    assert driver.set_tenant("beta", "beta", port, hosts) == expected
    assert driver.state.table.image() == before
    assert driver.state.tenant("beta") is None
    driver.apply(RemoveTenant("remove", None, "alpha"))
    assert driver.set_tenant("beta again", "beta", port, hosts).accepted


def test_a_template_change_renders_its_tenants_again(driver: Any, template_text: str) -> None:
    driver.set_tenant("alpha")
    driver.set_tenant("beta", "beta", 2, (2,))
    text = template_text.replace("default = 8", "default = 9")
    assert driver.apply_template("new", text, expected=1) == Accepted(4, 4)
    assert {each.limits.queue_length for each in driver.state.table.services()} == {9}
    alpha = driver.state.tenant("alpha")
    assert (alpha.tenant.template_version, alpha.revision) == (4, 2)


def test_a_template_that_does_not_fit_a_tenant_is_refused_naming_it(
    driver: Any, template_text: str
) -> None:
    driver.set_tenant("alpha")
    before = driver.state.table.image()
    text = template_text.replace(
        "[parameters.queue]", "[parameters.more]\ntype='string'\n[parameters.queue]"
    )
    outcome = driver.apply_template("new", text)
    assert isinstance(outcome, TenantRenderingFailed)
    assert outcome.tenant == "alpha"
    assert outcome.problems[0].kind is ProblemKind.MISSING_PARAMETER
    assert driver.state.template("portal").text == template_text
    assert driver.state.table.image() == before


def test_a_template_that_brings_tenants_into_conflict_is_refused(
    driver: Any, template_text: str
) -> None:
    driver.set_tenant("alpha")
    driver.set_tenant("beta", "beta", 2, (2,))
    text = template_text.replace('"${vip}"', '"127.1.0.9:9"')
    expected = ConflictingListener("127.1.0.9:9", "beta", "views", "alpha", "views")
    assert driver.apply_template("new", text) == expected


REFUSALS: list[tuple[Command, str]] = [
    (ApplyTemplate("c", None, "name = "), "invalid-template"),
    (ApplyTemplate("c", 7, 'name = "portal"'), "invalid-template"),
    (SetTenant("c", None, "alpha", "missing", {}), "unknown-template"),
    (SetTenant("c", None, "alpha", "portal", {}), "invalid-values"),
    (SetTenant("c", None, "Al pha", "portal", {}), "invalid-identifier"),
    (SetTenant("c", 3, "alpha", "portal", {}), "revision-mismatch"),
    (SetTenant("", None, "alpha", "portal", {}), "invalid-identifier"),
    (SetTenant("c" * 129, None, "alpha", "portal", {}), "invalid-identifier"),
    (RemoveTenant("c", None, "alpha"), "unknown-tenant"),
    (SetHostState("c", "nowhere", AdminState.DRAINING), "unknown-host"),
    (InstallKey(KeyPurpose.TICKET, 7, SECRET, True), "invalid-key"),
    (InstallKey(KeyPurpose.TICKET, 0, b"short", True), "invalid-key"),
    (InstallKey(KeyPurpose.CONNECTION_ID, 0, SECRET * 2, True), "invalid-key"),
]


@pytest.mark.parametrize(("command", "kind"), REFUSALS)
def test_refusals_are_typed_and_change_nothing(driver: Any, command: Command, kind: str) -> None:
    before = driver.state.table.image()
    outcome = driver.apply(command)
    assert (outcome.kind, outcome.accepted) == (kind, False)
    assert outcome.describe()
    assert driver.state.table.image() == before


def test_service_ids_are_never_used_again(driver: Any) -> None:
    seen: list[int] = []
    for round_number in range(4):
        driver.set_tenant(f"set {round_number}")
        seen.extend(service.service_id for service in driver.state.table.services())
        driver.apply(RemoveTenant(f"remove {round_number}", None, "alpha"))
        driver.restart()
    assert seen == [1, 2, 3, 4]


def test_incarnations_rise_with_each_boot_and_outlive_the_member(driver: Any) -> None:
    driver.set_tenant("alpha")
    assert driver.apply(register("boot-1")) == Registered("127.0.0.1:7000", 1, 3)
    assert driver.apply(register("boot-1")) == Registered("127.0.0.1:7000", 1, 3)
    assert driver.apply(register("boot-2")).incarnation == 2
    assert driver.apply(register("boot-1")) == SupersededBoot("127.0.0.1:7000", 2)
    driver.apply(RemoveTenant("remove", None, "alpha"))
    driver.restart()
    driver.set_tenant("again", "beta")
    assert driver.state.table.member(ADDRESS).incarnation == 2
    assert driver.apply(register("boot-3")).incarnation == 3


def test_incarnations_end_with_a_typed_refusal(driver: Any) -> None:
    for number in range(65_535):
        driver.state._incarnations.register(register(f"boot-{number}"))
    assert driver.apply(register("one-too-many")).kind == "incarnations-exhausted"


def test_a_status_of_an_earlier_incarnation_is_ignored(driver: Any) -> None:
    driver.set_tenant("alpha")
    driver.apply(register("boot-1"))
    online = SetMemberStatus([MemberStatus(ADDRESS, 1, OperatingStatus.ONLINE)])
    driver.apply(online)
    assert accepts_new_work(driver.state.table.member(ADDRESS))
    driver.apply(register("boot-2"))
    driver.apply(online)
    member = driver.state.table.member(ADDRESS)
    assert (member.incarnation, member.operating_status) == (2, OperatingStatus.OFFLINE)


@pytest.mark.parametrize("host", ["h1", "127.0.0.1:7000"])
def test_operator_and_platform_drain_independently(driver: Any, host: str) -> None:
    driver.set_tenant("alpha")

    def by_operator(change_id: str, state: AdminState) -> AdminState:
        driver.apply(SetHostState(change_id, host, state))
        return driver.state.table.member(ADDRESS).admin_state

    def by_platform(state: AdminState) -> AdminState:
        driver.apply(SetPlatformStates([PlatformState("h1", state)]))
        return driver.state.table.member(ADDRESS).admin_state

    assert by_operator("drain", AdminState.DRAINING) is AdminState.DRAINING
    assert by_platform(AdminState.DRAINING) is AdminState.DRAINING
    driver.restart()
    assert by_operator("resume", AdminState.ENABLED) is AdminState.DRAINING
    assert by_platform(AdminState.ENABLED) is AdminState.ENABLED


def test_a_drained_host_stays_drained_when_its_tenant_is_set_again(driver: Any) -> None:
    driver.set_tenant("alpha")
    driver.apply(SetHostState("drain", "h1", AdminState.DRAINING))
    driver.set_tenant("alpha again", hosts=(1, 2))
    states = {each.host: each.admin_state for each in driver.state.members()}
    assert states == {"h1": AdminState.DRAINING, "h2": AdminState.ENABLED}


def test_the_first_key_stands_and_one_of_a_purpose_is_active(driver: Any) -> None:
    first = InstallKey(KeyPurpose.TICKET, 0, SECRET, True)
    assert driver.apply(first).accepted
    assert driver.apply(first).accepted
    other = InstallKey(KeyPurpose.TICKET, 0, SECRET[::-1], True)
    assert driver.apply(other).kind == "key-already-installed"
    driver.apply(InstallKey(KeyPurpose.TICKET, 1, SECRET[::-1], True))
    fleet_keys = driver.state.table.keys()
    active = {key.rotation: key.active for key in fleet_keys}
    assert active == {0: False, 1: True}


def test_removals_reach_followers_until_the_horizon(make_driver: Any) -> None:
    driver = make_driver(ControlState(tombstone_limit=2))
    driver.apply_template("template")
    driver.set_tenant("three", hosts=(1, 2, 3))
    driver.set_tenant("two", hosts=(1, 2))
    assert len(driver.state.table.changes_since(2).removals) == 1
    driver.apply(RemoveTenant("remove", None, "alpha"))
    assert isinstance(driver.state.table.changes_since(2), SnapshotRequired)


def test_an_index_is_applied_once(driver: Any) -> None:
    with pytest.raises(CommandOutOfOrder):
        driver.state.apply(1, register("boot-1"))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"\x80",
        b"\x81\x18\x63",
        encode_command(register("boot"))[:-1],
        b"\x86\x02\x61c\xf6\x61a\x61p\xa1\x61v\xc0\x74" + b"2026-01-01T00:00:00Z",
        b"\x86\x02\x61c\xf6\x61a\x61p\xa1\x01\x02",
        b"\x86\x02\x61c\xf6\x61a\x61p\xa1\x61v" + b"\x81" * 50 + b"\x01",
    ],
)
def test_a_malformed_command_changes_nothing(driver: Any, data: bytes) -> None:
    before = driver.state.table.image()
    assert isinstance(driver.state.apply_encoded(2, data), MalformedCommand)
    assert driver.state.table.image() == before
    assert driver.state.last_index == 2


def nested(levels: int) -> list[Any]:
    value: list[Any] = []
    for _ in range(levels):
        value = [value]
    return value


@pytest.mark.parametrize("value", ["\ud800", 2**63, nested(8), nested(100_000), {1: 2}, b"x", {1}])
def test_values_that_cannot_be_kept_are_refused_before_the_log(value: Any) -> None:
    with pytest.raises(MalformedMessage):
        encode_command(SetTenant("c", None, "alpha", "portal", {"vip": value}))


def test_invalid_values_repeat_with_their_problems_after_a_restart(driver: Any) -> None:
    command = SetTenant("c", None, "alpha", "portal", {"vip": 1})
    first = driver.apply(command)
    assert isinstance(first, InvalidValues)
    driver.restart()
    assert driver.apply(command) == first
