"""A baseline balancer as a process: the product's balancer with another core."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from pydantic import BaseModel, ConfigDict

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.core import BalancerCore
from jasperwalk.balancer.process import PROCESS_KIND, BalancerProcess
from jasperwalk.observability.logs import configure_logging
from jasperwalk.routing.candidates import CandidateIndex
from jasperwalk.runtime import stop_event
from jasperwalk.settings.models import BalancerSettings
from jasperwalk_lab.baselines.flow_table import FlowTableCore
from jasperwalk_lab.baselines.load_pages import LoadPages
from jasperwalk_lab.baselines.placements import LeastReportedIndex, RoundRobinIndex
from jasperwalk_lab.fleet_options import FlowPlacement


class LoadPageSettings(BaseModel):
    """A member's forwarding address, and the URL of its load page."""

    model_config = ConfigDict(extra="forbid")

    member: str
    url: str


class BaselineSettings(BaseModel):
    """Settings of a baseline balancer; `balancer` holds those of the product's balancer."""

    model_config = ConfigDict(extra="forbid")

    placement: FlowPlacement
    seed: int
    load_pages: list[LoadPageSettings] = []
    balancer: dict[str, Any]


class IndexedCore(BalancerCore):
    """The product's core with another index of candidates."""

    def use_index(self, index: CandidateIndex) -> None:
        """Use `index` for the placement of new flows from now on."""
        self._new_flows.index = index


class BaselineProcess(BalancerProcess):
    """The product's balancer process with the core of a baseline."""

    def __init__(
        self, settings: BalancerSettings, placement: FlowPlacement, seed: int, pages: LoadPages
    ) -> None:
        super().__init__(settings)
        counters = self.core.counters  # the metrics read these counters
        self.core = self._make_core(settings, placement, seed, pages)
        self.core.counters = counters

    def _make_core(
        self, settings: BalancerSettings, placement: FlowPlacement, seed: int, pages: LoadPages
    ) -> BalancerCore:
        table = self._follower.table
        kind = FlowTableCore if placement is FlowPlacement.FLOW_TABLE else IndexedCore
        core = kind(table, settings.agent_networks, settings.new_flows_per_second, time.monotonic())
        generator = random.Random(f"{seed}/{settings.name}")
        if isinstance(core, IndexedCore):
            if placement is FlowPlacement.ROUND_ROBIN:
                core.use_index(RoundRobinIndex(table, generator))
            elif placement is FlowPlacement.LEAST_REPORTED:
                core.use_index(LeastReportedIndex(table, generator, pages.loads))
        return core


async def run_baseline(settings: BaselineSettings) -> None:
    """Serve until SIGTERM or SIGINT."""
    product_settings = BalancerSettings.model_validate(settings.balancer)
    configure_logging(PROCESS_KIND, product_settings.name, product_settings.log_level)
    pages = LoadPages({Endpoint.parse(each.member): each.url for each in settings.load_pages})
    process = BaselineProcess(product_settings, settings.placement, settings.seed, pages)
    polling = asyncio.create_task(pages.poll_forever())
    try:
        await process.run(stop_event())
    finally:
        polling.cancel()
