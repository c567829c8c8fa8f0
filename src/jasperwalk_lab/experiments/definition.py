"""An experiment as its TOML file describes it."""

from __future__ import annotations

import enum
import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from jasperwalk_lab.errors import LabSettingsError
from jasperwalk_lab.example import EXAMPLE_NAMES
from jasperwalk_lab.fleet_options import FleetOptions, FlowPlacement
from jasperwalk_lab.load.profile import PROFILES, LoadProfile

MOST_SEEDS = 20


class Action(enum.StrEnum):
    """What an event does; `target` and `value` are described beside each."""

    KILL_BALANCER = "kill-balancer"
    """Kill the balancer `target` without warning."""
    JOIN_BALANCER = "join-balancer"
    """Start the spare balancer `target` and add it to the fabric."""
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
        return self

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


def load_experiment(path: Path) -> Experiment:
    """Read an experiment; raise `LabSettingsError` naming the file and each wrong key."""
    try:
        return Experiment.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise LabSettingsError(path, str(error)) from error
    except ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(map(str, each['loc'])) or 'experiment'}: {each['msg']}"
            for each in error.errors()
        )
        raise LabSettingsError(path, problems) from error
