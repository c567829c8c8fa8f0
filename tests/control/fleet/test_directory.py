from jasperwalk.addresses import Endpoint
from jasperwalk.control.fleet.directory import (
    CLAIM_LIFETIME_SECONDS,
    LOST_NODE_RETENTION_SECONDS,
    NodeDirectory,
)
from jasperwalk.control.fleet.messages import ReplicaHeartbeat
from jasperwalk.fleet.messages import HostPhase, NodeRecord, NodeRole


def node(number, incarnation=1, role=NodeRole.AGENT, phase=HostPhase.READY):
    endpoint = Endpoint(f"10.0.0.{number}", 7602)
    return NodeRecord(f"node-{number}", incarnation, role, "a", endpoint, "web", phase, 4)


def changes(directory):
    update = directory.take_changes()
    if update is None:
        return ([], [])
    return ([each.name for each in update.records], [str(each.host) for each in update.removed])


def names(directory):
    update = directory.agents(0.0)
    return {each.name for each in update.records if each.endpoint not in update.removed}


def heartbeat(process_incarnation, sequence):
    return ReplicaHeartbeat(
        process_incarnation=process_incarnation, leading=False, version=0, sequence=sequence
    )


def test_an_announced_agent_is_reported_once():
    directory = NodeDirectory(1)
    directory.announce(node(1))
    assert changes(directory) == (["node-1"], [])
    assert changes(directory) == ([], [])


def test_balancers_are_not_reported_to_balancers():
    directory = NodeDirectory(1)
    directory.announce(node(1, role=NodeRole.BALANCER))
    assert changes(directory) == ([], [])
    assert names(directory) == set()


def test_an_ended_link_removes_its_node():
    directory = NodeDirectory(1)
    directory.announce(node(1))
    changes(directory)
    directory.unlink(node(1), 0.0)
    assert changes(directory) == ([], ["10.0.0.1"])


def test_the_end_of_an_old_link_does_not_remove_the_new_process():
    directory = NodeDirectory(1)
    directory.announce(node(1))
    directory.announce(node(1, incarnation=2))
    assert directory.unlink(node(1), 0.0) is None
    assert names(directory) == {"node-1"}


def test_updates_of_another_home_are_merged():
    here, there = NodeDirectory(1), NodeDirectory(2)
    assert here.merge_nodes(7, there.announce(node(1)), 0.0) is True
    assert here.merge_nodes(7, there.own_nodes(), 0.0) is False
    assert here.merge_nodes(7, there.announce(node(2)), 0.0) is False
    assert names(here) == {"node-1", "node-2"}
    assert here.merge_nodes(7, there.unlink(node(1), 0.0), 0.0) is False
    assert names(here) == {"node-2"}


def test_a_missed_change_is_noticed_by_the_next_change_and_by_a_heartbeat():
    here, there = NodeDirectory(1), NodeDirectory(2)
    here.merge_nodes(7, there.own_nodes(), 0.0)
    there.announce(node(1))
    assert here.on_heartbeat(7, heartbeat(2, there.sequence), 0.0) is True
    assert here.merge_nodes(7, there.announce(node(2)), 0.0) is True
    assert names(here) == set()
    here.merge_nodes(7, there.own_nodes(), 0.0)
    assert here.on_heartbeat(7, heartbeat(2, there.sequence), 0.0) is False
    assert names(here) == {"node-1", "node-2"}


def test_a_restarted_home_is_asked_for_everything():
    here, there = NodeDirectory(1), NodeDirectory(2)
    there.announce(node(1))
    here.merge_nodes(7, there.own_nodes(), 0.0)
    restarted = NodeDirectory(3)
    assert here.on_heartbeat(7, heartbeat(3, 0), 1.0) is True
    here.merge_nodes(7, restarted.own_nodes(), 1.0)
    assert names(here) == set()


def test_a_node_that_moved_between_homes_stays_when_the_old_home_notices_late():
    here, old, new = NodeDirectory(1), NodeDirectory(2), NodeDirectory(3)
    old.announce(node(1))
    here.merge_nodes(7, old.own_nodes(), 0.0)
    new.announce(node(1))
    here.merge_nodes(8, new.own_nodes(), 1.0)
    here.merge_nodes(7, old.unlink(node(1), 0.0), 2.0)
    assert names(here) == {"node-1"}


def test_a_restarted_node_at_a_new_home_is_not_overwritten_by_the_old_homes_removal():
    here, old, new = NodeDirectory(1), NodeDirectory(2), NodeDirectory(3)
    old.announce(node(1))
    here.merge_nodes(7, old.own_nodes(), 0.0)
    new.announce(node(1, incarnation=2, phase=HostPhase.DRAINING))
    here.merge_nodes(8, new.own_nodes(), 1.0)
    here.merge_nodes(7, old.unlink(node(1), 0.0), 2.0)
    (held,) = here.agents(2.0).records
    assert (held.incarnation, held.phase) == (2, HostPhase.DRAINING)


def test_a_silent_homes_nodes_are_kept_until_they_had_time_to_move():
    here, there = NodeDirectory(1), NodeDirectory(2)
    there.announce(node(1))
    here.merge_nodes(7, there.own_nodes(), 0.0)
    here.expire(CLAIM_LIFETIME_SECONDS / 2)
    assert names(here) == {"node-1"}
    here.expire(CLAIM_LIFETIME_SECONDS + 0.1)
    assert names(here) == set()


def test_own_nodes_never_expire():
    directory = NodeDirectory(1)
    directory.announce(node(1))
    directory.expire(1e9)
    assert names(directory) == {"node-1"}


def test_an_agent_that_left_without_deregistering_is_listed_as_lost_for_a_while():
    directory = NodeDirectory(1)
    directory.announce(node(1))
    directory.unlink(node(1), 10.0)
    update = directory.agents(12.5)
    assert update.removals() == [(node(1).endpoint, 2.5)]
    assert update.records == [node(1)]
    assert update.removed == [node(1).endpoint]
    directory.expire(10.0 + LOST_NODE_RETENTION_SECONDS + 0.1)
    assert names(directory) == set()


def test_an_agent_that_deregistered_or_came_back_is_not_listed_as_lost():
    directory = NodeDirectory(1)
    directory.announce(node(1, phase=HostPhase.GONE))
    directory.unlink(node(1), 10.0)
    assert names(directory) == set()
    directory.announce(node(2))
    directory.unlink(node(2), 10.0)
    directory.announce(node(2, incarnation=2))
    assert directory.agents(11.0).removed == []
