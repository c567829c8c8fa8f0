import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet.versioned_state import (
    HeldConfiguration,
    OrderZone,
    PutConfiguration,
    VersionedState,
    encode_command,
)
from jasperwalk.errors import MalformedMessage
from jasperwalk.fleet.messages import DrainedZones, WarmUp
from jasperwalk.flows.routes import FlowRoute, RouteBackend
from jasperwalk.messages import codec


def command(version, text=b"text"):
    route = FlowRoute("r", Endpoint("198.18.0.1", 443), [RouteBackend("web", 1.0)])
    return PutConfiguration(version, text, [route])


def applied(*commands):
    state = VersionedState()
    outcomes = [state.apply(encode_command(each)) for each in commands]
    return state, outcomes


def test_the_highest_version_is_held_in_any_order():
    state, outcomes = applied(command(3), command(9, b"nine"), command(5))
    assert (state.held.version, state.held.source) == (9, b"nine")
    assert [each.changed for each in outcomes] == [True, True, False]
    assert [each.held_version for each in outcomes] == [3, 9, 9]


def test_the_same_version_with_other_content_changes_nothing():
    state, (_, again) = applied(command(3), command(3, b"other"))
    assert state.held.source == b"text"
    assert not again.changed


def test_a_snapshot_restores_the_state():
    state, _ = applied(command(3))
    assert VersionedState.restore(state.serialise()).held == state.held


def test_an_undecodable_log_entry_changes_nothing():
    state, _ = applied(command(3))
    assert state.apply(b"noise") is None
    assert state.held.version == 3


def test_a_damaged_snapshot_is_a_typed_failure():
    with pytest.raises(MalformedMessage):
        VersionedState.restore(b"noise")


def drain(zone):
    return OrderZone(zone, True)


def restore(zone):
    return OrderZone(zone, False)


def test_zones_are_drained_and_restored_in_the_order_of_the_log():
    state, outcomes = applied(drain("a"), drain("b"), restore("a"), drain("c"), restore("c"))
    assert state.zones.drained_zones() == DrainedZones(5, ["b"])
    assert [each.revision for each in outcomes] == [1, 2, 3, 4, 5]


def test_an_order_that_comes_again_changes_nothing():
    state, outcomes = applied(drain("a"), drain("a"), restore("b"), restore("b"))
    assert state.zones.drained_zones() == DrainedZones(2, ["a"])
    assert [each.changed for each in outcomes] == [True, False, True, False]


def test_a_zones_first_order_is_known_even_where_it_restores():
    state, _ = applied(restore("a"))
    assert state.zones.drained == {"a": False}


def test_configurations_and_orders_do_not_touch_each_other():
    state, _ = applied(command(3), drain("a"), command(9), command(5))
    assert state.position() == (9, 1)


def test_a_snapshot_restores_the_drained_zones():
    state, _ = applied(command(3), drain("a"), drain("b"), restore("b"))
    restored = VersionedState.restore(state.serialise())
    assert (restored.held, restored.zones) == (state.held, state.zones)


def test_a_snapshot_from_before_there_were_orders_has_no_drained_zones():
    held = HeldConfiguration(3, b"text", [])
    restored = VersionedState.restore(codec.encode(held))
    assert restored.held == held
    assert restored.zones.drained_zones() == DrainedZones()


def test_warm_ups_are_stored_with_the_configuration():
    warm_ups = {"web": WarmUp(2.0, 20.0)}
    state, _ = applied(PutConfiguration(3, b"text", [], 0, warm_ups))
    assert VersionedState.restore(state.serialise()).held.warm_ups == warm_ups
