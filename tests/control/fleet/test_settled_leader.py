"""A leader whose state lags behind its log is not settled: it answers nothing from that state."""

import asyncio
from random import Random

from jasperwalk.consensus.config import InitialMember, RaftConfig
from jasperwalk.control.fleet.applier import VersionedApplier
from jasperwalk.control.peer_links import PeerNetwork
from jasperwalk.control.raft_runner import RaftRunner, RaftRunnerConfig
from tests.control.fleet.support import until

CLUSTER_ID = "test"
REPLICA_ID = 1


class SlowApplier(VersionedApplier):
    """Holds committed entries back until `catch_up`, as a busy process does."""

    def __init__(self):
        super().__init__(lambda: None)
        self.held_back = []
        self.is_held_back = True

    def submit(self, entries):
        if self.is_held_back:
            self.held_back.extend(entries)
        else:
            super().submit(entries)

    def catch_up(self):
        self.is_held_back = False
        super().submit(self.held_back)


def make_runner(folder, applier):
    raft = RaftConfig(initial_members=(InitialMember(REPLICA_ID, "127.0.0.1:1"),))
    config = RaftRunnerConfig(CLUSTER_ID, REPLICA_ID, folder, raft)
    network = PeerNetwork("one", REPLICA_ID, CLUSTER_ID, lambda _sender, _message: None)
    return RaftRunner(config, network, applier, Random(1))


def test_a_leader_is_settled_only_once_its_state_holds_what_was_committed(tmp_path):
    async def scenario():
        applier = SlowApplier()
        runner = make_runner(tmp_path, applier)
        running = asyncio.create_task(runner.run())
        await until(lambda: applier.held_back)
        assert runner.is_leader
        assert runner.commit_index > applier.applied_index
        assert not runner.is_settled
        applier.catch_up()
        assert runner.is_settled
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        runner.close()

    asyncio.run(scenario())
