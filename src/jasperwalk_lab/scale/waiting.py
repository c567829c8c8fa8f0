"""Waiting until the hollow nodes are registered, fresh and at control's revision."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from jasperwalk_lab.scale.channel import Probe, Standing
from jasperwalk_lab.scale.fleet import ScaleFleet
from jasperwalk_lab.scale.pool import HollowHandle, ask_each

PROBE_SECONDS = 0.2
PROGRESS_SECONDS = 5.0

Progress = Callable[[str], None]


@dataclass(frozen=True)
class FleetStanding:
    """All hollow nodes together, beside control's newest revision (0 when unknown)."""

    nodes: int
    fresh: int
    registered: int
    lowest_revision: int
    control_revision: int

    @property
    def is_current(self) -> bool:
        """Tell whether every node is registered, fresh and at control's revision."""
        return (
            self.nodes == self.fresh == self.registered
            and self.lowest_revision == self.control_revision > 0
        )

    def __str__(self) -> str:
        """Return one line for progress."""
        return (
            f"{self.fresh} fresh and {self.registered} registered of {self.nodes}, "
            f"revision {self.lowest_revision} of {self.control_revision}"
        )


@dataclass(frozen=True)
class Recovery:
    """Seconds until the nodes were current for good, None when they were not in time."""

    seconds: float | None
    lowest_fresh: int
    last: FleetStanding


async def probe(fleet: ScaleFleet, handles: Sequence[HollowHandle]) -> FleetStanding:
    """Ask the hollow processes and every control replica."""
    standings = await ask_each(handles, Probe(), Standing)
    statuses = await fleet.statuses()
    return FleetStanding(
        nodes=sum(each.followers for each in standings),
        fresh=sum(each.fresh for each in standings),
        registered=sum(each.registered for each in standings),
        lowest_revision=min(each.lowest_revision for each in standings),
        control_revision=max((each.revision for each in statuses), default=0),
    )


async def wait_current(
    fleet: ScaleFleet,
    handles: Sequence[HollowHandle],
    *,
    since: float,
    stable_seconds: float,
    timeout_seconds: float,
    progress: Progress,
) -> Recovery:
    """Wait until the nodes stay current, at one revision, for `stable_seconds`.

    The time counts from `since` to the probe at which that stretch began. It is 0.0 where the
    nodes were current at every probe.
    """
    stretch_began: float | None = None
    stretch_revision = 0
    was_behind = False
    lowest_fresh: int | None = None
    said_at = since
    while True:
        standing = await probe(fleet, handles)
        now = time.monotonic()
        lowest_fresh = min(standing.fresh, standing.nodes if lowest_fresh is None else lowest_fresh)
        if not standing.is_current:
            stretch_began, was_behind = None, True
        elif stretch_began is None or standing.control_revision != stretch_revision:
            stretch_began, stretch_revision = now, standing.control_revision
        if stretch_began is not None and now - stretch_began >= stable_seconds:
            seconds = stretch_began - since if was_behind else 0.0
            return Recovery(seconds=seconds, lowest_fresh=lowest_fresh, last=standing)
        if now - since >= timeout_seconds:
            return Recovery(seconds=None, lowest_fresh=lowest_fresh, last=standing)
        if now - said_at >= PROGRESS_SECONDS:
            said_at = now
            progress(f"  {now - since:.0f} s: {standing}")
        await asyncio.sleep(PROBE_SECONDS)
