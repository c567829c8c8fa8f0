"""Decides which fleet keys the leader installs, activates and retires (sans-IO).

Decisions use the committed table and the reports of subscribers. A waiting key becomes active only
once every live balancer and agent holds it. A superseded key is accepted until no open flow depends
on it, and no longer than the maximum age of its purpose. No state is kept between decisions, so
that a new leader continues where the former one stopped.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.config.table_entries import FleetKeyKey, KeyEntry, KeyPurpose
from jasperwalk.control.state.commands import ActivateKey, InstallKey, KeyCommand, RetireKey
from jasperwalk.control.state.fleet_keys import (
    SPARE_KEYS,
    active_key,
    free_rotations,
    keys_of,
    waiting_keys,
)

SECRET_BYTES = 16
"""Length of every fleet key: AES-128 for connection IDs, 128 bits for the MAC keys."""

MILLISECONDS_PER_SECOND = 1000
FLOW_KEY_MIN_AGE_SECONDS = 60
"""Minimum age at which a key without flows is retired: packets and reports may be in transit."""
FLOW_KEY_MAX_AGE_SECONDS = 24 * 3600
"""Age at which a key is retired even if an agent has flows on it, or has not reported."""
TICKET_KEY_AGE_SECONDS = 2 * 3600
"""Tickets are valid for an hour; agents may have received the next key somewhat later."""
DATAGRAM_KEY_AGE_SECONDS = 3600
"""Time for which a balancer that was cut off may still seal with the former key."""

SecretSource = Callable[[int], bytes]
"""Returns the given number of random bytes."""

InForceEverywhere = Callable[[int], bool]
"""Returns whether a revision is in force on every live balancer and agent."""


@dataclass(frozen=True)
class AgentKeys:
    """Generations of the oldest keys that a live agent's flows depend on, 0 if not known."""

    address: Endpoint
    connection_id_generation: int
    stateless_reset_generation: int


GenerationOf = Callable[[AgentKeys], int]


@dataclass(frozen=True)
class RetirementRule:
    """When a superseded key is retired, by its age in ms since it was superseded.

    From `min_age_ms` it is retired if no flow depends on it, from `max_age_ms` in any case.
    Without `generation_of`, flows do not depend on keys of the purpose.
    """

    min_age_ms: int
    max_age_ms: int
    generation_of: GenerationOf | None = None


def _retire_by_age(seconds: int) -> RetirementRule:
    age_ms = seconds * MILLISECONDS_PER_SECOND
    return RetirementRule(min_age_ms=age_ms, max_age_ms=age_ms)


def _retire_by_flows(generation_of: GenerationOf) -> RetirementRule:
    return RetirementRule(
        min_age_ms=FLOW_KEY_MIN_AGE_SECONDS * MILLISECONDS_PER_SECOND,
        max_age_ms=FLOW_KEY_MAX_AGE_SECONDS * MILLISECONDS_PER_SECOND,
        generation_of=generation_of,
    )


RETIREMENT_RULES = {
    KeyPurpose.CONNECTION_ID: _retire_by_flows(lambda agent: agent.connection_id_generation),
    KeyPurpose.STATELESS_RESET: _retire_by_flows(lambda agent: agent.stateless_reset_generation),
    KeyPurpose.TICKET: _retire_by_age(TICKET_KEY_AGE_SECONDS),
    KeyPurpose.DATAGRAM: _retire_by_age(DATAGRAM_KEY_AGE_SECONDS),
}


def missing_keys(table: VersionedTable, new_secret: SecretSource) -> list[KeyCommand]:
    """Return commands that install the first key, or the spare, of each purpose without one."""
    commands: list[KeyCommand] = []
    for purpose in KeyPurpose:
        keys = keys_of(table, purpose)
        wanted = [True] if active_key(keys) is None else []
        wanted += [False] * (SPARE_KEYS - len(waiting_keys(keys)))
        for rotation, active in zip(free_rotations(keys), wanted, strict=False):
            commands.append(InstallKey(purpose, rotation, new_secret(SECRET_BYTES), active))
    return commands


def keys_to_activate(
    table: VersionedTable, in_force: InForceEverywhere, now_ms: Callable[[], int]
) -> list[KeyCommand]:
    """Return commands that complete the rotations whose newest key every live process holds.

    `now_ms` returns the Unix time in ms.
    """
    commands: list[KeyCommand] = []
    for purpose in KeyPurpose:
        waiting = waiting_keys(keys_of(table, purpose))
        if len(waiting) <= SPARE_KEYS:
            continue
        if in_force(_revision_of(table, waiting[-1])):
            oldest = waiting[0]
            command = ActivateKey(purpose, oldest.rotation, oldest.generation, now_ms())
            commands.append(command)
    return commands


def keys_to_retire(
    table: VersionedTable,
    in_force: InForceEverywhere,
    live_agents: Callable[[], Sequence[AgentKeys]],
    now_ms: Callable[[], int],
) -> list[KeyCommand]:
    """Return commands that retire superseded keys that are unused or too old."""
    commands: list[KeyCommand] = []
    for purpose in KeyPurpose:
        keys = keys_of(table, purpose)
        active = active_key(keys)
        for key in keys:
            # Without the time at which it was superseded, a key has no age.
            if active is None or key.generation >= active.generation or not key.superseded_at_ms:
                continue
            age_ms = now_ms() - key.superseded_at_ms
            rule = RETIREMENT_RULES[purpose]
            is_due = age_ms >= rule.max_age_ms
            if not is_due and age_ms >= rule.min_age_ms:
                everywhere = in_force(_revision_of(table, active))
                is_due = everywhere and _is_unused(key, rule, live_agents(), table)
            if is_due:
                commands.append(RetireKey(purpose, key.rotation, key.generation))
    return commands


def _is_unused(
    key: KeyEntry,
    rule: RetirementRule,
    agents: Sequence[AgentKeys],
    table: VersionedTable,
) -> bool:
    """Return whether every agent has reported and has moved its flows to newer keys.

    An agent that is cut off from control may still serve flows, so a registered member that has
    not reported keeps the key in use.
    """
    generation_of = rule.generation_of
    if generation_of is None:
        return True
    reporting: set[Endpoint] = {agent.address for agent in agents}
    if any(each.incarnation and each.address not in reporting for each in table.members()):
        return False
    return all(generation_of(agent) > key.generation for agent in agents)


def _revision_of(table: VersionedTable, key: KeyEntry) -> int:
    entry_key = FleetKeyKey(purpose=key.purpose, rotation=key.rotation)
    revision = table.revision_of(entry_key)
    return table.revision if revision is None else revision
