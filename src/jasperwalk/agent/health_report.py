"""The agent's health report, served at `/healthz`."""

from __future__ import annotations

from collections.abc import Callable

from jasperwalk.agent.current_view import CurrentView
from jasperwalk.agent.dispatcher import Dispatcher
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.health import BackendHealth
from jasperwalk.distribution.runner import FollowerRunner
from jasperwalk.observability.admin import HealthFact, HealthReport


class AgentHealth:
    """Collects the facts from the agent's components. `clock` is in seconds."""

    def __init__(
        self,
        current: CurrentView,
        follower: FollowerRunner,
        backend_health: BackendHealth,
        endpoint: AgentEndpoint,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
    ) -> None:
        self._current = current
        self._follower = follower
        self._backend_health = backend_health
        self._endpoint = endpoint
        self._dispatcher = dispatcher
        self._clock = clock

    def report(self) -> HealthReport:
        """Return the current facts; an agent is healthy if it can answer callers."""
        view = self._current.get()
        facts = (
            HealthFact("service", "" if view.service is None else view.service.name),
            HealthFact("revision", view.revision),
            HealthFact("incarnation", view.incarnation),
            HealthFact("fresh", self._follower.fresh()),
            HealthFact("draining", view.draining),
            HealthFact("backend_healthy", self._backend_health.healthy(self._clock())),
            HealthFact("open_flows", self._endpoint.open_flows),
            HealthFact("open_requests", self._dispatcher.open_requests),
        )
        return HealthReport(healthy=view.serving, facts=facts)
