"""Orders for zones on real replicas: acknowledged, repeated, stored, refused."""

import asyncio
import shutil

from jasperwalk.control.fleet.zone_orders import ZoneListed
from tests.control.fleet.support import Cluster, configuration, until


def run(scenario):
    asyncio.run(scenario)


def drained(replica):
    return (
        []
        if replica.fleet_replica is None
        else replica.fleet_replica.applier.state.zones.drained_zones().zones
    )


def test_an_order_is_acknowledged_again_when_it_is_sent_again(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 3) as cluster:
            assert (await cluster.order_zone("a", True)).revision == 1
            assert (await cluster.order_zone("a", True)).revision == 1
            assert (await cluster.order_zone("a", False)).revision == 2
            assert (await cluster.order_zone("a", False)).revision == 2
            await until(lambda: all(drained(each) == [] for each in cluster.replicas))

    run(scenario())


def test_a_drained_zone_survives_two_lost_disks_and_a_restart_of_all_replicas(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 5) as cluster:
            await cluster.put(configuration(7))
            await cluster.order_zone("a", True)
            await cluster.order_zone("b", True)
            await cluster.order_zone("b", False)
            for replica in cluster.replicas:
                await replica.kill()
            for replica in cluster.replicas[:2]:
                shutil.rmtree(replica.folder)
            for replica in cluster.replicas:
                replica.start()
            await until(lambda: all(drained(each) == ["a"] for each in cluster.replicas))
            listed = cluster.leader.zone_orders.list()
            assert listed.zones == (ZoneListed("a", True), ZoneListed("b", False))

    run(scenario())


def test_a_replica_that_does_not_lead_names_the_leader_and_takes_nothing(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 3) as cluster:
            await cluster.put(configuration(1))
            leader = cluster.leader
            follower = next(each for each in cluster.replicas if each is not leader)
            await until(lambda: follower.fleet_replica.runner.leader_id is not None)
            result = await follower.zone_orders.order("a", True)
            assert (result.kind, result.replica.host) == ("ask-leader", leader.host)
            assert drained(leader) == []

    run(scenario())


def test_a_zone_that_nobody_knows_is_refused_and_one_that_was_ordered_is_known(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 3) as cluster:
            await cluster.order_zone("a", True)
            service = cluster.leader.zone_orders
            for name in ("elsewhere", "", "x" * 100_000):
                result = await service.order(name, True)
                assert result.kind == "unknown-zone"
                assert len(result.zone) <= 200
            assert service.counters.zone_orders_unknown == 3

    run(scenario())


def test_an_order_whose_caller_has_left_changes_nothing(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 3) as cluster:
            await cluster.order_zone("a", True)
            await cluster.order_zone("a", False)
            service = cluster.leader.zone_orders
            result = await service.order("a", True, lambda: False)
            assert (result.kind, result.reason) == ("unavailable", "caller-left")
            assert drained(cluster.leader) == []
            assert service.counters.zone_orders_abandoned == 1

    run(scenario())


def test_a_minority_acknowledges_no_order(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 3) as cluster:
            await cluster.order_zone("a", True)
            leader = cluster.leader
            for replica in cluster.replicas:
                if replica is not leader:
                    await replica.kill()
            assert (await leader.zone_orders.order("b", True)).kind == "unavailable"
            await until(lambda: leader.zone_orders.list().kind != "zones-listed")

    run(scenario())
