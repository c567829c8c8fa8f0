"""The consensus adapter of a control replica, which feeds committed entries to `ControlState`."""

from __future__ import annotations

from random import Random

from jasperwalk.control.applied import AppliedEntries
from jasperwalk.control.peer_links import PeerNetwork
from jasperwalk.control.raft_runner import RaftRunner, RaftRunnerConfig
from jasperwalk.control.state.machine import ControlState
from jasperwalk.control.state.outcomes import Outcome
from jasperwalk.control.state_applier import AppliedListener, StateApplier


class ControlRunner(RaftRunner):
    """Consensus adapter that applies its entries to a `ControlState`."""

    def __init__(
        self,
        config: RaftRunnerConfig,
        network: PeerNetwork,
        listener: AppliedListener,
        random: Random,
    ) -> None:
        self._state_applier = StateApplier(listener, config.snapshot_interval_entries)
        super().__init__(config, network, self._state_applier, random)

    @property
    def state(self) -> ControlState:
        """The state machine; the object changes when a leader's snapshot is installed."""
        return self._state_applier.state

    @property
    def applied(self) -> AppliedEntries[Outcome]:
        """The applied entries, and the proposals that wait for them."""
        return self._state_applier.applied
