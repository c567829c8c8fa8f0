"""Clusters of real replicas: founding, lost disks, replaced and removed replicas, reads, writes."""

import asyncio
import shutil

from jasperwalk.consensus.disk.failures import WriteFailed
from tests.control.fleet.support import Cluster, configuration, until


def run(scenario):
    asyncio.run(scenario)


def test_five_replicas_found_a_cluster_from_three_seeds(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 5) as cluster:
            result = await cluster.put(configuration(7))
            assert result.held_version == 7
            await cluster.all_hold(7)
            read = await cluster.read()
            assert (read.version, read.source) == (7, b"text")

    run(scenario())


def test_a_replica_that_does_not_lead_names_the_leader(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 3) as cluster:
            await cluster.put(configuration(1))
            leader = cluster.leader
            follower = next(each for each in cluster.replicas if each is not leader)
            await until(lambda: follower.fleet_replica.runner.leader_id is not None)
            for result in (await follower.service.put(configuration(2)), follower.service.read()):
                assert (result.kind, result.replica.host) == ("ask-leader", leader.host)

    run(scenario())


def test_a_resent_version_is_acknowledged_and_other_content_under_it_is_not_held(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 3) as cluster:
            await cluster.put(configuration(5))
            assert (await cluster.put(configuration(5, text=b"other"))).held_version == 5
            assert (await cluster.put(configuration(4, text=b"older"))).held_version == 5
            assert (await cluster.read()).source == b"text"

    run(scenario())


def test_two_lost_disks_right_after_an_acknowledgement_lose_nothing(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 5) as cluster:
            await cluster.put(configuration(7))
            for replica in cluster.replicas:
                await replica.kill()
            for replica in cluster.replicas[:2]:
                shutil.rmtree(replica.folder)
            for replica in cluster.replicas:
                replica.start()
            await until(lambda: cluster.leader is not None)
            assert (await cluster.read()).version == 7
            await until(lambda: cluster.leader and len(cluster.leader.voters) == 5)
            await cluster.all_hold(7)

    run(scenario())


def test_a_minority_answers_no_reads_and_acknowledges_nothing(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 3) as cluster:
            await cluster.put(configuration(1))
            leader = cluster.leader
            others = [each for each in cluster.replicas if each is not leader]
            for replica in others:
                await replica.kill()
            result = await leader.service.put(configuration(2))
            assert result.kind == "unavailable"
            await until(lambda: leader.service.read().kind == "unavailable")
            await until(lambda: not leader.fleet_replica.is_current())

    run(scenario())


def test_a_machine_that_is_gone_is_replaced_by_one_at_another_address(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 4) as cluster:
            *_, replacement = cluster.replicas
            await cluster.put(configuration(1))
            await replacement.kill()
            # With an even number of voters, a silent one is removed.
            await until(lambda: cluster.leader and len(cluster.leader.voters) == 3)
            shutil.rmtree(replacement.folder)
            replacement.start()
            gone = next(each for each in cluster.replicas[:3] if not each.leads)
            await gone.kill()
            await until(
                lambda: (
                    replacement.fleet_replica is not None and replacement.fleet_replica.is_voter()
                )
            )
            await until(lambda: cluster.leader and len(cluster.leader.voters) == 3)
            await cluster.put(configuration(2))
            await until(lambda: replacement.version == 2)

    run(scenario())


def test_a_replica_that_was_removed_while_down_starts_again_under_another_id(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 4) as cluster:
            away = cluster.replicas[3]
            before = away.fleet_replica.replica_id
            await away.kill()
            await until(lambda: cluster.leader and len(cluster.leader.voters) == 3)
            away.start()
            await until(
                lambda: away.fleet_replica is not None and away.fleet_replica.replica_id != before
            )
            await cluster.put(configuration(3))
            await until(lambda: away.version == 3)

    run(scenario())


def test_a_replica_whose_disk_failed_follows_again_once_it_can_write(tmp_path):
    async def scenario():
        async with Cluster(tmp_path, 3) as cluster:
            await cluster.put(configuration(1))
            await cluster.all_hold(1)
            failing = next(each for each in cluster.replicas if not each.leads)
            before = failing.fleet_replica

            def refuse(_batch):
                raise WriteFailed(path=tmp_path, reason="no space left")

            before.runner._storage.persist = refuse
            await cluster.put(configuration(2))
            await until(lambda: failing.fleet_replica not in (None, before))
            await cluster.put(configuration(3))
            await until(lambda: failing.version == 3)

    run(scenario())
