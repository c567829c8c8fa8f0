"""The scenarios: which failure of the brief each provokes, and against which promises.

A scenario draws its timetable of faults from the seed. Names of hosts follow `layout`.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from jasperwalk_lab.simulator.faults import (
    Burst,
    Cut,
    Drain,
    Fault,
    FaultAction,
    Freeze,
    Kill,
    Leave,
    Mood,
    Move,
    Weather,
    Wipe,
)
from jasperwalk_lab.simulator.layout import HANOI, ZAGREB, Layout


class Promise(enum.StrEnum):
    """The brief's "What must always hold", line by line."""

    FLOW_SURVIVES_PLANNED_CHANGES = "flow-survives-planned-changes"
    RIGHT_SERVICE = "right-service"
    OWN_WHOLE_ANSWER = "own-whole-answer"
    NOT_RUN_DID_NOT_RUN = "not-run-did-not-run"
    AT_MOST_ONCE = "at-most-once"
    LEAVING_HOST_GETS_NO_WORK = "leaving-host-gets-no-work"
    PLANNED_STOP_CUTS_NOTHING = "planned-stop-cuts-nothing"
    ACCEPTED_IN_FORCE_AND_KEPT = "accepted-in-force-and-kept"


class Failure(enum.StrEnum):
    """The brief's "What fails", line by line."""

    BALANCERS_DIE_AND_JOIN = "balancers-die-and-join"
    BACK_ENDS_DRAIN = "back-ends-drain"
    UPDATES_REACH_UNEVENLY = "updates-reach-unevenly"
    CONTROL_CUT_OFF = "control-machine-cut-off"
    OPERATORS_RACE_EVEN_SPLIT = "operators-race-on-an-even-split"
    CHANGES_RESENT = "changes-resent-after-a-lost-answer"
    SECOND_LOSS_AFTER_REPAIR = "second-machine-lost-after-a-repair"
    RESTART_AFTER_MANY_CHANGES = "restart-after-hundreds-of-changes"
    TOGETHER_OR_TWICE = "together-or-twice"


POWER_LOSSES = 5
"""Losses of power in a run of `power-lost`."""

FaultPlan = Callable[[Layout, Random], list[Fault]]


@dataclass(frozen=True)
class Scenario:
    """A named way to disturb a deployment."""

    name: str
    description: str
    promises: tuple[Promise, ...]
    failures: tuple[Failure, ...]
    layout: Layout
    plan: FaultPlan


def _controls(layout: Layout) -> list[str]:
    return [f"control-{number}" for number in range(1, layout.replica_count + 1)]


def _balancers(layout: Layout) -> list[str]:
    return [f"balancer-{number}" for number in range(1, layout.balancer_count + 1)]


def _agents(layout: Layout) -> list[str]:
    return [host for service in layout.services for host in service.hosts()]


def _random_bool(random: Random) -> bool:
    return bool(random.getrandbits(1))


def _at_random_times(random: Random, actions: list[FaultAction], seconds: float) -> list[Fault]:
    faults = [Fault(random.uniform(0.5, seconds), action) for action in actions]
    return sorted(faults, key=lambda fault: fault.at)


def _balancers_come_and_go(layout: Layout, random: Random) -> list[Fault]:
    names = _balancers(layout)
    actions: list[FaultAction] = [
        Kill(random.choice(names), random.uniform(1.0, 5.0), power=_random_bool(random))
        for _ in range(4)
    ]
    actions += [Freeze(random.choice(names), random.uniform(1.0, 4.0)), Burst(10)]
    return _at_random_times(random, actions, 12.0)


def _hosts_leave(layout: Layout, random: Random) -> list[Fault]:
    hosts = random.sample(layout.services[0].hosts(), 3)
    actions: list[FaultAction] = [
        Drain(hosts[0], random.uniform(2.0, 5.0), stop=True),
        Drain(hosts[1], random.uniform(6.0, 8.0)),
        Leave(hosts[2], random.uniform(6.0, 8.0)),
        Drain(random.choice(layout.services[1].hosts()), random.uniform(2.0, 5.0), stop=True),
    ]
    return _at_random_times(random, actions, 4.0)


def _uneven_updates(layout: Layout, random: Random) -> list[Fault]:
    stale = tuple(random.sample(_balancers(layout), 1))
    controls = tuple(_controls(layout))
    moved = random.choice(layout.services[0].hosts())
    drained = random.choice([each for each in layout.services[0].hosts() if each != moved])
    late = random.choice([each for each in layout.services[0].hosts() if each != moved])
    return [
        Fault(0.5, Cut(stale, random.uniform(11.0, 14.0), apart_from=controls)),
        Fault(random.uniform(1.0, 2.0), Move(moved, layout.services[1].name)),
        Fault(random.uniform(1.0, 3.0), Drain(drained, 8.0)),
        Fault(random.uniform(2.0, 4.0), Freeze(late, random.uniform(0.5, 2.0))),
    ]


def _control_cut_off(layout: Layout, random: Random) -> list[Fault]:
    names = _controls(layout)
    first, second, third = random.sample(names, 3)
    return [
        Fault(0.5, Cut((first,), random.uniform(12.0, 14.0), one_way=_random_bool(random))),
        Fault(random.uniform(5.0, 8.0), Kill(third, 1.0)),
        Fault(random.uniform(16.0, 17.0), Cut((second,), random.uniform(4.0, 6.0))),
        Fault(random.uniform(1.0, 9.0), Drain(random.choice(layout.services[0].hosts()), 6.0)),
    ]


def _control_apart(layout: Layout, random: Random) -> list[Fault]:
    names = _controls(layout)
    apart, second = random.sample(names, 2)
    others = tuple(each for each in names if each != apart)
    return [
        Fault(0.5, Cut((apart,), random.uniform(12.0, 14.0), apart_from=others)),
        Fault(random.uniform(3.0, 4.0), Kill(second, 0.5)),
        Fault(random.uniform(8.0, 9.0), Kill(second, 0.5)),
        Fault(random.uniform(1.0, 9.0), Burst(10)),
    ]


def _even_split(layout: Layout, random: Random) -> list[Fault]:
    names = _controls(layout)
    half = tuple(sorted(random.sample(names, len(names) // 2)))
    return [
        Fault(1.0, Cut(half, random.uniform(5.0, 8.0))),
        Fault(random.uniform(11.0, 12.0), Cut(half[:1], random.uniform(2.0, 4.0))),
        Fault(random.uniform(0.5, 5.0), Kill(random.choice(names), random.uniform(0.5, 3.0))),
    ]


def _lost_answers(layout: Layout, random: Random) -> list[Fault]:
    names = _controls(layout)
    actions: list[FaultAction] = [
        Weather(random.uniform(6.0, 10.0), loss=0.1, duplication=0.1),
        Kill(random.choice(names), random.uniform(0.2, 2.0)),
        Kill(random.choice(names), random.uniform(0.2, 2.0), power=True),
        Freeze(random.choice(names), random.uniform(1.0, 4.0)),
        Burst(30),
    ]
    return _at_random_times(random, actions, 10.0)


def _second_loss(layout: Layout, random: Random) -> list[Fault]:
    first, second = random.sample(_controls(layout), 2)
    return [
        Fault(random.uniform(0.5, 2.0), Wipe(first, then_lose=second, seconds=6.0)),
        Fault(random.uniform(0.5, 3.0), Burst(20)),
    ]


def _power_lost(layout: Layout, random: Random) -> list[Fault]:
    names = _controls(layout)
    faults = [Fault(0.5, Burst(60))]
    at = random.uniform(1.0, 1.5)
    for _ in range(POWER_LOSSES):
        faults += [Fault(at, Kill(each, random.uniform(0.2, 0.6), power=True)) for each in names]
        at += random.uniform(1.5, 3.0)
    return faults


def _long_absence(layout: Layout, random: Random) -> list[Fault]:
    balancer = random.choice(_balancers(layout))
    control = random.choice(_controls(layout))
    agent = random.choice(layout.services[0].hosts())
    return [
        Fault(0.5, Kill(balancer, 12.0, power=True)),
        Fault(0.6, Kill(control, random.uniform(11.0, 13.0), power=True)),
        Fault(0.7, Kill(agent, random.uniform(9.0, 12.0))),
        Fault(1.0, Burst(250)),
        Fault(random.uniform(14.0, 16.0), Kill(random.choice(_controls(layout)), 1.0)),
    ]


def _misleading_back_ends(layout: Layout, random: Random) -> list[Fault]:
    hosts = layout.services[0].hosts()
    actions: list[FaultAction] = [
        Mood(random.choice(hosts), 5.0, stalls=True, lies=True),
        Mood(random.choice(hosts), 5.0, refuses=True, lies=True),
        Mood(random.choice(hosts), 4.0, lies=False),
        Mood(random.choice(hosts), 6.0, shed_share=0.5),
        Mood(random.choice(layout.services[1].hosts()), 4.0, stalls=True),
    ]
    return _at_random_times(random, actions, 9.0)


def _hosts_lost(layout: Layout, random: Random) -> list[Fault]:
    hosts = random.sample(layout.services[0].hosts(), 2)
    actions: list[FaultAction] = [
        Kill(hosts[0], random.uniform(0.3, 4.0)),
        Kill(hosts[0], random.uniform(0.3, 4.0), power=True),
        Freeze(hosts[1], random.uniform(2.0, 7.0)),
        Weather(5.0, loss=0.05, duplication=0.1),
    ]
    return _at_random_times(random, actions, 11.0)


def _together(layout: Layout, random: Random) -> list[Fault]:
    controls, balancers = _controls(layout), _balancers(layout)
    hosts = layout.services[0].hosts()
    choices: list[FaultAction] = [
        Kill(random.choice(controls), random.uniform(0.5, 5.0), power=True),
        Freeze(random.choice(controls), random.uniform(0.5, 5.0)),
        Cut((random.choice(controls),), random.uniform(2.0, 8.0)),
        Cut((random.choice(controls),), random.uniform(2.0, 8.0), one_way=True),
        Wipe(random.choice(controls)),
        Kill(random.choice(balancers), random.uniform(0.5, 5.0)),
        Cut((random.choice(balancers),), random.uniform(2.0, 8.0), apart_from=tuple(controls)),
        Kill(hosts[0], random.uniform(0.5, 5.0)),
        Freeze(hosts[0], random.uniform(0.5, 5.0)),
        Drain(hosts[1], random.uniform(2.0, 6.0), stop=True),
        Leave(hosts[2], random.uniform(6.0, 8.0)),
        Mood(hosts[2], 4.0, stalls=True, lies=True),
        Weather(8.0, loss=0.05, duplication=0.05),
        Burst(40),
    ]
    # One wipe a run: a second one before the repair would lose a majority for good.
    return _at_random_times(random, random.sample(choices, 7), 12.0)


_FOUR_REPLICAS = dataclasses.replace(ZAGREB, replica_count=4)
_FIVE_REPLICAS = dataclasses.replace(ZAGREB, replica_count=5)

SCENARIOS: tuple[Scenario, ...] = (
    Scenario(
        "balancers-come-and-go",
        "balancers are killed, lost with their machine, frozen and started again under load",
        (Promise.FLOW_SURVIVES_PLANNED_CHANGES, Promise.OWN_WHOLE_ANSWER),
        (Failure.BALANCERS_DIE_AND_JOIN,),
        ZAGREB,
        _balancers_come_and_go,
    ),
    Scenario(
        "hosts-leave",
        "hosts are drained by operators and by the platform's lagging list, two are stopped",
        (
            Promise.LEAVING_HOST_GETS_NO_WORK,
            Promise.PLANNED_STOP_CUTS_NOTHING,
            Promise.FLOW_SURVIVES_PLANNED_CHANGES,
        ),
        (Failure.BACK_ENDS_DRAIN,),
        ZAGREB,
        _hosts_leave,
    ),
    Scenario(
        "uneven-updates",
        "a balancer is cut off from control while a host moves to another service and one drains",
        (Promise.RIGHT_SERVICE, Promise.LEAVING_HOST_GETS_NO_WORK),
        (Failure.UPDATES_REACH_UNEVENLY, Failure.BACK_ENDS_DRAIN),
        HANOI,
        _uneven_updates,
    ),
    Scenario(
        "control-cut-off",
        "a control machine is cut off without notice, one way or both; others are lost meanwhile",
        (Promise.ACCEPTED_IN_FORCE_AND_KEPT, Promise.LEAVING_HOST_GETS_NO_WORK),
        (Failure.CONTROL_CUT_OFF, Failure.TOGETHER_OR_TWICE),
        _FIVE_REPLICAS,
        _control_cut_off,
    ),
    Scenario(
        "control-apart",
        "a control machine loses the others, but not the balancers, agents and operators",
        (Promise.ACCEPTED_IN_FORCE_AND_KEPT,),
        (Failure.CONTROL_CUT_OFF, Failure.UPDATES_REACH_UNEVENLY),
        _FIVE_REPLICAS,
        _control_apart,
    ),
    Scenario(
        "even-split",
        "four control machines split two and two, with operators racing on each side",
        (Promise.ACCEPTED_IN_FORCE_AND_KEPT,),
        (Failure.OPERATORS_RACE_EVEN_SPLIT, Failure.CHANGES_RESENT),
        _FOUR_REPLICAS,
        _even_split,
    ),
    Scenario(
        "lost-answers",
        "answers are lost, replicas die and freeze; operators and callers resend",
        (Promise.ACCEPTED_IN_FORCE_AND_KEPT, Promise.AT_MOST_ONCE),
        (Failure.CHANGES_RESENT,),
        ZAGREB,
        _lost_answers,
    ),
    Scenario(
        "second-loss",
        "a control machine loses its disk and is replaced; at once a second one is lost",
        (Promise.ACCEPTED_IN_FORCE_AND_KEPT,),
        (Failure.SECOND_LOSS_AFTER_REPAIR,),
        HANOI,
        _second_loss,
    ),
    Scenario(
        "power-lost",
        "all control machines lose power at once, again and again, during a burst of changes",
        (Promise.ACCEPTED_IN_FORCE_AND_KEPT,),
        (Failure.TOGETHER_OR_TWICE, Failure.CHANGES_RESENT),
        HANOI,
        _power_lost,
    ),
    Scenario(
        "long-absence",
        "a balancer, a replica and an agent come back after 250 changes",
        (Promise.ACCEPTED_IN_FORCE_AND_KEPT, Promise.RIGHT_SERVICE),
        (Failure.RESTART_AFTER_MANY_CHANGES,),
        ZAGREB,
        _long_absence,
    ),
    Scenario(
        "misleading-back-ends",
        "back ends stall, refuse and shed while their health end points say otherwise",
        (Promise.NOT_RUN_DID_NOT_RUN, Promise.OWN_WHOLE_ANSWER, Promise.AT_MOST_ONCE),
        (),
        HANOI,
        _misleading_back_ends,
    ),
    Scenario(
        "hosts-lost",
        "agents are killed, lost with their machine and frozen past their replacement",
        (Promise.AT_MOST_ONCE, Promise.NOT_RUN_DID_NOT_RUN, Promise.OWN_WHOLE_ANSWER),
        (Failure.TOGETHER_OR_TWICE,),
        HANOI,
        _hosts_lost,
    ),
    Scenario(
        "together",
        "seven faults of all kinds at once, on control, balancers and hosts",
        tuple(Promise),
        (Failure.TOGETHER_OR_TWICE, Failure.BALANCERS_DIE_AND_JOIN, Failure.BACK_ENDS_DRAIN),
        ZAGREB,
        _together,
    ),
)


def scenario_named(name: str) -> Scenario:
    """Return a scenario by its name."""
    return next(each for each in SCENARIOS if each.name == name)
