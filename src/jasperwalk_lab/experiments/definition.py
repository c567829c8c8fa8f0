"""An experiment as its TOML file describes it."""

from __future__ import annotations

import enum
import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from jasperwalk_lab.errors import LabSettingsError
from jasperwalk_lab.example import EXAMPLE_NAMES, Example, load_example
from jasperwalk_lab.fleet_options import FleetOptions, FlowPlacement
from jasperwalk_lab.layout import BALANCERS, CONTROL_REPLICAS, SPARE_BALANCERS
from jasperwalk_lab.load.profile import PROFILES, LoadProfile

MOST_SEEDS = 20
HOST_TARGET = "host"


class Action(enum.StrEnum):
    """What an event does; `target` and `value` are described beside each."""

    KILL_BALANCER = "kill-balancer"
    """Kill the balancer `target` without warning."""
    JOIN_BALANCER = "join-balancer"
    """Start the spare balancer `target` and add it to the fabric."""
    REMOVE_BALANCER = "remove-balancer"
    """Take the balancer `target` out of the fabric, then stop it."""
    RESTART_BALANCER = "restart-balancer"
    """Replace the balancer `target` by a fresh process, as an upgrade does."""
    RESTART_CONTROL = "restart-control"
    """Stop the control replica `target` and start it again with its data."""
    SET_DEFAULT = "set-default"
    """Change the template: its parameter `target` has the default `value` (a number)."""
    STOP_AGENT = "stop-agent"
    """Stop the agent of the host `target`, drained before; it waits for its open requests."""
    DRAIN_HOST = "drain-host"
    """Drain the host `target` by control."""
    RESUME_HOST = "resume-host"
    """Let the drained host `target` take new work."""
    KILL_HOST = "kill-host"
    """Kill agent and back end of the host `target`: a lost machine."""
    SET_WEIGHT = "set-weight"
    """Set the weight of the host `target` to `value` by control."""
    SLOW_HOST = "slow-host"
    """Multiply the service times of the host `target` by `value`."""
    FALSE_LOAD = "false-load"
    """Let the load page of the host `target` tell `value` busy slots."""
    LAGGING_LOAD = "lagging-load"
    """Let the load page of the host `target` tell the load of `value` seconds ago."""
    SHED = "shed"
    """Let the back end of the host `target` refuse all work (1) or take it again (0)."""


TARGETS = {
    Action.KILL_BALANCER: "balancer",
    Action.JOIN_BALANCER: "balancer",
    Action.REMOVE_BALANCER: "balancer",
    Action.RESTART_BALANCER: "balancer",
    Action.RESTART_CONTROL: "control replica",
    Action.SET_DEFAULT: "parameter",
}
"""What an action's target names; a host for all others."""


class Event(BaseModel):
    """Something that happens `at` seconds after the load began."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    at: Annotated[float, Field(ge=0)]
    action: Action
    target: str
    value: float = 0.0


class Variant(BaseModel):
    """One way of dispatching."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Annotated[str, Field(pattern=r"^[a-z0-9-]+$")]
    placement: FlowPlacement = FlowPlacement.RENDEZVOUS
    lend_slots: bool = True
    hand_over_when_busy: bool = True
    offline_ms: Annotated[int, Field(ge=1)] | None = None


class Experiment(BaseModel):
    """Every variant runs once for each seed; `load` defaults to the example's own mix."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Annotated[str, Field(pattern=r"^[a-z0-9-]+$")]
    question: str
    example: str
    seeds: Annotated[tuple[int, ...], Field(min_length=1, max_length=MOST_SEEDS)]
    service_time_ms: Annotated[float, Field(gt=0)] = 100.0
    rate: Annotated[float, Field(gt=0)] = 1.0
    seconds: Annotated[float, Field(gt=0)] = 20.0
    settle_seconds: Annotated[float, Field(ge=0)] = 6.0
    """From the fleet's start to the first flow: longer than the examples' slow start (5 s)."""
    load: LoadProfile | None = None
    events: tuple[Event, ...] = ()
    variants: Annotated[tuple[Variant, ...], Field(min_length=1)]

    @model_validator(mode="after")
    def _check(self) -> Experiment:
        if self.example not in EXAMPLE_NAMES:
            raise ValueError(f"known examples are {', '.join(EXAMPLE_NAMES)}")
        names = [variant.name for variant in self.variants]
        if len(set(names)) != len(names):
            raise ValueError("two variants have the same name")
        if len(set(self.seeds)) != len(self.seeds):
            raise ValueError("two seeds are the same")
        self._check_targets()
        return self

    def _check_targets(self) -> None:
        known = known_targets(load_example(self.example))
        for number, event in enumerate(self.events):
            kind = TARGETS.get(event.action, HOST_TARGET)
            if event.target not in known[kind]:
                raise ValueError(f"events.{number}.target: no {kind} {event.target!r}")
        services = known["service"]
        for load in self.load.services if self.load else ():
            if load.service not in services:
                raise ValueError(f"load.services: no service {load.service!r}")

    def profile(self) -> LoadProfile:
        """Return the load of each run."""
        profile = self.load or PROFILES[self.example]
        return profile.scaled(self.rate).model_copy(update={"seconds": self.seconds})

    def options(self, variant: Variant) -> FleetOptions:
        """Return the fleet's options for a variant."""
        return FleetOptions(
            service_time_ms=self.service_time_ms,
            service_time_varies=True,
            placement=variant.placement,
            lend_slots=variant.lend_slots,
            hand_over_when_busy=variant.hand_over_when_busy,
            offline_ms=variant.offline_ms,
        )

    def schedule(self) -> list[tuple[int, Variant]]:
        """Return the runs in order: seed by seed, each starting with another variant.

        The alternation spreads whatever else the machine does evenly over the variants.
        """
        runs: list[tuple[int, Variant]] = []
        for number, seed in enumerate(self.seeds):
            first = number % len(self.variants)
            order = self.variants[first:] + self.variants[:first]
            runs += [(seed, variant) for variant in order]
        return runs


def known_targets(example: Example) -> dict[str, set[str]]:
    """Return the names that events and loads may use, by what they name."""
    services = example.services()
    return {
        HOST_TARGET: {member.host for service in services for member in service.members},
        "service": {service.name for service in services},
        "parameter": set(example.template.parameters),
        "balancer": {f"balancer-{1 + number}" for number in range(BALANCERS + SPARE_BALANCERS)},
        "control replica": {f"control-{1 + number}" for number in range(CONTROL_REPLICAS)},
    }


def load_experiment(path: Path) -> Experiment:
    """Read an experiment; raise `LabSettingsError` naming the file and each wrong key."""
    try:
        return Experiment.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise LabSettingsError(path, str(error)) from error
    except ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(map(str, each['loc'])) or 'experiment'}: {one_line(each['msg'])}"
            for each in error.errors()
        )
        raise LabSettingsError(path, problems) from error


def one_line(text: str) -> str:
    """Put a message on one line."""
    return " ".join(text.split())
