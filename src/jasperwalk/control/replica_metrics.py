"""Metrics of a control replica."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from jasperwalk.control.control_runner import ControlRunner
from jasperwalk.control.peer_links import PeerNetwork
from jasperwalk.control.publishing import Publishing
from jasperwalk.control.region_view import RegionView
from jasperwalk.control.state.machine import ControlState
from jasperwalk.observability.metrics import MetricsRegistry


class MeasuredReplica(Protocol):
    """What the metrics read of a replica."""

    runner: ControlRunner
    network: PeerNetwork
    publishing: Publishing
    region: RegionView

    @property
    def state(self) -> ControlState:
        """The state machine."""


class ReplicaMetrics:
    """Gauges that read the replica on each scrape, and the counter of proposals."""

    def __init__(self, registry: MetricsRegistry, replica: MeasuredReplica) -> None:
        self._proposals = registry.counter(
            "proposals", "Operators' changes by outcome.", ["outcome"]
        )
        runner = replica.runner
        gauges: list[tuple[str, str, Callable[[], float]]] = [
            ("raft_term", "Current term.", lambda: runner.term),
            ("raft_commit_index", "Newest committed entry.", lambda: runner.commit_index),
            ("raft_applied_index", "Newest applied entry.", lambda: runner.applied.index),
            ("raft_leader", "1 on the leader, else 0.", lambda: int(runner.is_leader)),
            ("quorum_age_seconds", "Time since quorum contact.", runner.quorum_age),
            ("table_revision", "Revision of the table.", lambda: replica.state.revision),
            (
                "subscribers",
                "Balancers and agents that follow this replica.",
                lambda: replica.publishing.subscriber_count,
            ),
            (
                "balancers_in_force",
                "Balancers of the region with the newest revision; NaN where not known.",
                lambda: _balancers_in_force(replica),
            ),
            (
                "laggards",
                "Subscribers of the region without the newest revision; NaN where not known.",
                lambda: _laggards(replica),
            ),
            (
                "peer_messages_dropped",
                "Messages to peers that were not sent, since the links were opened.",
                replica.network.dropped_messages,
            ),
        ]
        for name, documentation, read in gauges:
            registry.gauge(name, documentation).set_function(read)

    def count_proposal(self, outcome: str) -> None:
        """Count a finished proposal under its outcome's kind."""
        self._proposals.labels(outcome=outcome).inc()


def _balancers_in_force(replica: MeasuredReplica) -> float:
    found = replica.region.known_in_force(replica.state.revision)
    return math.nan if found.in_force is None else found.in_force


def _laggards(replica: MeasuredReplica) -> float:
    found = replica.region.known_in_force(replica.state.revision)
    return math.nan if found.in_force is None else found.laggard_count
