import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet.versioned_state import (
    PutConfiguration,
    VersionedState,
    encode_command,
)
from jasperwalk.errors import MalformedMessage
from jasperwalk.flows.routes import FlowRoute, RouteBackend


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


def test_noise_in_the_log_changes_nothing():
    state, _ = applied(command(3))
    assert state.apply(b"noise") is None
    assert state.held.version == 3


def test_a_damaged_snapshot_is_a_typed_failure():
    with pytest.raises(MalformedMessage):
        VersionedState.restore(b"noise")
