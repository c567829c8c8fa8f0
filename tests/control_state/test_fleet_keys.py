"""Rotation of fleet keys: the leader's decisions on the replicated state, step by step."""

from dataclasses import dataclass, field

import msgspec
import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import KeyPurpose
from jasperwalk.control import key_duties
from jasperwalk.control.key_duties import AgentKeys
from jasperwalk.control.state.commands import ActivateKey, InstallKey, RetireKey, RotateKey
from jasperwalk.control.state.fleet_keys import KEYS_PER_PURPOSE, active_key, keys_of
from jasperwalk.routing.connection_ids import ConnectionIdCodec, RoutableId

PURPOSE = KeyPurpose.CONNECTION_ID
AGENT = Endpoint("127.0.0.1", 7000)
ROUTABLE = RoutableId(AGENT, 1, 1)
NONCE = bytes(5)
START_MS = 1_700_000_000_000
MIN_AGE_MS = key_duties.FLOW_KEY_MIN_AGE_SECONDS * 1000
MAX_AGE_MS = key_duties.FLOW_KEY_MAX_AGE_SECONDS * 1000


@dataclass
class Leader:
    """Does what a leader's step does; it holds nothing that a new leader would lack."""

    driver: object
    now_ms: int = START_MS
    in_force: bool = True
    generations: dict = field(default_factory=dict)
    secrets: int = 0

    @property
    def table(self):
        return self.driver.state.table

    def new_secret(self, length):
        self.secrets += 1
        return self.secrets.to_bytes(length, "big")

    def live_agents(self):
        return [AgentKeys(each, *[self.generations[each]] * 2) for each in self.generations]

    def commands(self):
        return [
            *key_duties.missing_keys(self.table, self.new_secret),
            *key_duties.keys_to_activate(self.table, lambda _: self.in_force, lambda: self.now_ms),
            *key_duties.keys_to_retire(
                self.table, lambda _: self.in_force, self.live_agents, lambda: self.now_ms
            ),
        ]

    def step(self):
        for command in self.commands():
            assert self.driver.apply(command).accepted, command

    def rotate(self, change_id="rotate", purpose=PURPOSE):
        return self.driver.apply(RotateKey(change_id, purpose, self.new_secret(16)))

    def generations_of(self, purpose=PURPOSE):
        """Return generation and state of each key: A for active, w waiting, o older."""
        keys = keys_of(self.table, purpose)
        active = active_key(keys).generation
        marks = {True: "A", False: "w"}
        return [
            f"{each.generation}{marks[each.active] if each.generation >= active else 'o'}"
            for each in keys
        ]

    def codec(self):
        return ConnectionIdCodec(keys_of(self.table, PURPOSE))


@pytest.fixture
def leader(driver):
    """A leader whose state holds the first key and the spare of each purpose."""
    leader = Leader(driver)
    leader.step()
    return leader


def test_each_purpose_starts_with_an_active_key_and_a_spare(leader):
    assert all(leader.generations_of(purpose) == ["1A", "2w"] for purpose in KeyPurpose)
    assert leader.commands() == []


def test_a_new_key_is_active_only_once_it_is_in_force_everywhere(leader):
    leader.in_force = False
    assert leader.rotate().accepted
    leader.step()
    assert leader.generations_of() == ["1A", "2w", "3w"]
    leader.in_force = True
    leader.step()
    assert leader.generations_of() == ["1o", "2A", "3w"]
    assert leader.generations_of(KeyPurpose.TICKET) == ["1A", "2w"]


def test_a_resend_gets_the_first_outcome_and_installs_nothing(leader):
    first = leader.rotate("once")
    assert leader.rotate("once") == first
    assert leader.generations_of() == ["1A", "2w", "3w"]
    leader.driver.restart()
    assert leader.rotate("once") == first
    assert leader.rotate("once", KeyPurpose.TICKET).kind == "change-id-reused"
    assert leader.rotate("twice").kind == "rotation-in-progress"
    assert leader.generations_of() == ["1A", "2w", "3w"]


def test_a_balancer_one_rotation_behind_can_decode_every_flow(leader):
    """A balancer that was cut off, so that nobody waited for it."""
    balancer = leader.codec()
    leader.rotate()
    leader.step()
    connection_id = leader.codec().encode(ROUTABLE, NONCE)
    assert connection_id[0] >> 5 == 1
    assert balancer.decode(connection_id) == ROUTABLE


def test_a_third_rotation_keeps_the_key_of_flows_of_the_first(leader):
    leader.generations[AGENT] = 1
    first = leader.codec().encode(ROUTABLE, NONCE)
    for number in range(3):
        leader.now_ms += MIN_AGE_MS
        assert leader.rotate(f"rotation {number}").accepted
        leader.step()
    assert leader.generations_of() == ["1o", "2o", "3o", "4A", "5w"]
    assert leader.codec().decode(first) == ROUTABLE
    leader.generations[AGENT] = 4
    leader.now_ms += MIN_AGE_MS
    leader.step()
    assert leader.generations_of() == ["4A", "5w"]
    assert leader.codec().decode(first) is None


def test_another_leader_ends_a_rotation(leader):
    leader.in_force = False
    leader.rotate()
    stale_commands = leader.commands()
    leader.driver.restart()
    successor = Leader(leader.driver)
    successor.step()
    assert successor.generations_of() == ["1o", "2A", "3w"]
    assert stale_commands == []


@pytest.mark.parametrize(
    "command",
    [
        ActivateKey(PURPOSE, 1, 2, START_MS),
        ActivateKey(PURPOSE, 0, 1, START_MS),
        ActivateKey(PURPOSE, 2, 9, START_MS),
        RetireKey(PURPOSE, 1, 2),
        RetireKey(PURPOSE, 2, 3),
        RetireKey(PURPOSE, 0, 9),
        RetireKey(PURPOSE, 6, 1),
        InstallKey(PURPOSE, 0, b"another key 16 b", True),
    ],
    ids=str,
)
def test_a_stale_command_of_a_deposed_leader_changes_nothing(leader, command):
    leader.rotate()
    leader.step()
    assert not leader.driver.apply(command).accepted
    assert leader.generations_of() == ["1o", "2A", "3w"]


RETIREMENT = {
    "all moved": (PURPOSE, 2, MIN_AGE_MS, True, True),
    "too young": (PURPOSE, 2, MIN_AGE_MS - 1, True, False),
    "not in force": (PURPOSE, 2, MIN_AGE_MS, False, False),
    "a flow rests on it": (PURPOSE, 1, MAX_AGE_MS - 1, True, False),
    "not known": (PURPOSE, 0, MAX_AGE_MS - 1, True, False),
    "an agent is cut off": (PURPOSE, None, MAX_AGE_MS - 1, True, False),
    "too old": (PURPOSE, 1, MAX_AGE_MS, False, True),
    "reset key": (KeyPurpose.STATELESS_RESET, 1, MAX_AGE_MS - 1, True, False),
    "tickets live": (
        KeyPurpose.TICKET,
        None,
        key_duties.TICKET_KEY_AGE_SECONDS * 1000 - 1,
        True,
        False,
    ),
    "tickets died": (KeyPurpose.TICKET, None, key_duties.TICKET_KEY_AGE_SECONDS * 1000, True, True),
    "datagrams": (
        KeyPurpose.DATAGRAM,
        None,
        key_duties.DATAGRAM_KEY_AGE_SECONDS * 1000,
        True,
        True,
    ),
}


@pytest.mark.parametrize(
    ("purpose", "generation", "age_ms", "in_force", "retired"),
    RETIREMENT.values(),
    ids=RETIREMENT,
)
def test_retirement(leader, purpose, generation, age_ms, in_force, retired):
    leader.driver.set_tenant("alpha")
    (member,) = leader.table.members()
    leader.table.upsert(msgspec.structs.replace(member, incarnation=1), leader.table.revision)
    if generation is not None:
        leader.generations[member.address] = generation
    leader.rotate(purpose=purpose)
    leader.step()
    leader.now_ms += age_ms
    leader.in_force = in_force
    leader.step()
    assert leader.generations_of(purpose) == (["2A", "3w"] if retired else ["1o", "2A", "3w"])


def test_a_rotation_without_a_free_key_slot_is_refused(leader):
    leader.generations[AGENT] = 1
    kinds = []
    for number in range(KEYS_PER_PURPOSE):
        kinds.append(leader.rotate(f"rotation {number}").kind)
        leader.step()
    assert kinds == ["accepted"] * 5 + ["limit-reached"] * 2
    assert leader.generations_of() == ["1o", "2o", "3o", "4o", "5o", "6A", "7w"]


def test_a_freed_rotation_is_used_again_last(leader):
    leader.generations[AGENT] = 99
    rotations = []
    for number in range(KEYS_PER_PURPOSE):
        leader.rotate(f"rotation {number}")
        rotations.append(keys_of(leader.table, PURPOSE)[-1].rotation)
        leader.step()
        leader.now_ms += MIN_AGE_MS
        leader.step()
    assert rotations == [2, 3, 4, 5, 6, 0, 1]
