"""Three control replicas: crashes, partitions, races, resends, and changes of the replicas."""

import asyncio

import pytest
from aiohttp import web

from jasperwalk.config.table_entries import AdminState, KeyEntry, KeyPurpose, OperatingStatus
from jasperwalk.control import proposals

TENANT = "/v1/tenants/mreza"


async def victims_of(running, victims):
    leader_id = await running.leader()
    followers = [each for each in running.processes if each != leader_id]
    chosen = {
        "leader": [leader_id],
        "follower": followers[:1],
        "leader and follower": [leader_id, followers[0]],
        "all": list(running.processes),
    }
    return chosen[victims]


@pytest.mark.parametrize("victims", ["leader", "follower", "leader and follower", "all"])
@pytest.mark.parametrize("snapshot_interval_entries", [1024, 3])
def test_restart_loses_nothing_accepted(
    cluster, run, new_tenant, victims, snapshot_interval_entries
):
    async def scenario():
        options = {"snapshot_interval_entries": snapshot_interval_entries}
        async with cluster(**options) as running:
            await running.configure()
            accepted = {}
            for number in range(12):
                body = new_tenant(weight=number)
                accepted[number] = await running.accept(
                    "PUT", TENANT, change_id=f"change-{number}", body=body
                )
            killed = await victims_of(running, victims)
            for replica_id in killed:
                await running.kill(replica_id)
            if victims in ("leader", "follower"):
                survivor = next(iter(running.processes))
                body = new_tenant(weight=99)
                await running.accept("PUT", TENANT, replica_id=survivor, body=body)
            for replica_id in killed:
                await running.start(replica_id)
            await running.leader()
            final_weight = 99 if victims in ("leader", "follower") else 11
            for replica_id in running.processes:
                await wait_until_caught_up(running, replica_id, final_weight)
                for number, answer in accepted.items():
                    found = await running.call("GET", f"/v1/changes/change-{number}", replica_id)
                    assert found.body == answer.body
            states = await states_at_the_same_index(running)
            assert states[1:] == states[:-1]

    async def states_at_the_same_index(running):
        """Guards against comparing replicas while the leader still installs keys."""
        replicas = [each.replica for each in running.processes.values()]
        while len({each.runner.applied.index for each in replicas}) > 1:
            await asyncio.sleep(0.05)
        return [each.state.serialise() for each in replicas]

    async def wait_until_caught_up(running, replica_id, weight):
        while True:
            shown = await running.call("GET", TENANT, replica_id)
            if shown.status == 200 and shown.body["values"]["weight"] == weight:
                break
            await asyncio.sleep(0.05)
        applied = [each.replica.runner.applied for each in running.processes.values()]
        while len({each.index for each in applied}) > 1:
            await asyncio.sleep(0.05)

    run(scenario())


def test_resend_after_a_change_of_leader_gets_the_first_outcome(cluster, run, new_tenant):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            change = {"change_id": "weight-5", "body": new_tenant(weight=5)}
            first = await running.accept("PUT", TENANT, **change)
            await running.accept("PUT", TENANT, body=new_tenant(weight=6))
            await running.kill(await running.leader())
            await running.leader()
            survivor = next(iter(running.processes))
            again = await running.accept("PUT", TENANT, replica_id=survivor, **change)
            assert again.body == first.body
            shown = await running.call("GET", TENANT, survivor)
            assert shown.body["values"]["weight"] == 6

    run(scenario())


def test_race_with_one_expected_revision_has_one_winner(cluster, run, new_tenant):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            for _round in range(5):
                revision = (await running.call("GET", TENANT)).body["revision"]
                answers = await asyncio.gather(
                    *(
                        running.call(
                            "PUT",
                            TENANT,
                            replica_id=1 + number % 3,
                            if_match=revision,
                            body=new_tenant(weight=number),
                        )
                        for number in range(12)
                    )
                )
                statuses = sorted(answer.status for answer in answers)
                assert statuses == [200] + [412] * 11
                winner = next(n for n, answer in enumerate(answers) if answer.status == 200)
                shown = (await running.call("GET", TENANT, 1 + winner % 3)).body
                assert shown["values"]["weight"] == winner
                await running.accept("PUT", TENANT, body=new_tenant())

    run(scenario())


@pytest.mark.parametrize("place", ["leader", "follower"])
def test_a_cut_off_replica_answers_nothing_old(cluster, run, wait_for, new_tenant, place):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            cut_id = (await victims_of(running, place))[0]
            others = [each for each in running.processes if each != cut_id]
            balancers = [running.subscribe_balancer(6000 + number) for number in range(8)]
            await wait_for(lambda: all(each.fresh() for each in balancers))
            cut_endpoint = running.endpoints[cut_id]
            assert any(each.core.replica == cut_endpoint for each in balancers)
            reconnect = running.cut(cut_id)
            replica = running.processes[cut_id].replica
            await wait_for(lambda: replica.runner.quorum_age() > 2.0)
            read = await running.call("GET", TENANT, cut_id)
            assert (read.status, read.body["kind"]) == (503, "stale-replica")
            assert "Retry-After" in read.headers
            assert (await running.call("GET", f"{TENANT}?stale=true", cut_id)).status == 200
            change = {"change_id": "cut", "body": new_tenant(weight=7)}
            refused = await running.call("PUT", TENANT, cut_id, **change)
            assert (refused.status, refused.body["kind"]) == (503, "no-leader")
            accepted = await running.accept("PUT", TENANT, replica_id=others[0], **change)
            revision = accepted.body["revision"]
            await wait_for(lambda: all(each.table.revision >= revision for each in balancers))
            await wait_for(lambda: all(each.fresh() for each in balancers))
            assert all(each.core.replica != cut_endpoint for each in balancers)
            reconnect()
            await wait_for(lambda: replica.state.revision >= revision)
            await running.leader()
            again = await running.accept("PUT", TENANT, replica_id=cut_id, **change)
            assert again.body == accepted.body

    run(scenario())


def test_change_is_in_force_on_every_subscriber(cluster, run, wait_for, new_tenant):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            balancers = [running.subscribe_balancer(6000 + n, [n]) for n in (1, 2, 3)]
            agents = [running.subscribe_agent(7000 + n) for n in (0, 1)]
            await wait_for(lambda: all(each.fresh() for each in [*balancers, *agents]))
            changed = await running.accept(
                "PUT", TENANT, change_id="weights", body=new_tenant(weight=42)
            )
            for replica_id in running.processes:
                path = "/v1/changes/weights/in-force?wait_ms=30000"
                found = (await running.call("GET", path, replica_id)).body
                assert found["complete"], found
                assert (found["balancers"], found["agents"], found["laggards"]) == (3, 2, [])
            for each in balancers:
                assert each.table.revision >= changed.body["revision"]
                weights = {member.weight for member in each.table.members()}
                assert weights == {42}

    run(scenario())


def test_a_follower_counts_subscribers_of_a_replica_it_cannot_hear(
    cluster, run, wait_for, new_tenant
):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            leader_id = await running.leader()
            queried_id, cut_off_id = (each for each in running.processes if each != leader_id)
            running.cut_link(cut_off_id, queried_id)
            balancer = running.subscribe_balancer(6001, [cut_off_id])
            await wait_for(balancer.fresh)
            await running.accept("PUT", TENANT, change_id="c", body=new_tenant(weight=1))
            found = await running.call("GET", "/v1/changes/c/in-force?wait_ms=30000", queried_id)
            assert (found.body["complete"], found.body["balancers"]) == (True, 1)

    run(scenario())


def test_a_leader_that_is_stopped_hands_over_first(cluster, run, new_tenant):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            former = await running.leader()
            await running.stop(former)
            leaders = {each.replica.runner.leader_id for each in running.processes.values()}
            assert former not in leaders
            assert leaders - {None}
            survivor = next(iter(running.processes))
            await running.accept("PUT", TENANT, replica_id=survivor, body=new_tenant(weight=9))

    run(scenario())


def test_a_resend_resolves_an_unknown_outcome(cluster, run, new_tenant):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            leader_id = await running.leader()
            others = [each for each in running.processes if each != leader_id]
            reconnect = running.cut(leader_id)
            change = {"change_id": "lost", "body": new_tenant(weight=5)}
            unknown = await running.call("PUT", TENANT, leader_id, **change)
            assert (unknown.status, unknown.body["kind"]) == (504, "outcome-unknown")
            assert unknown.body["change_id"] == "lost"
            settled = await running.accept("PUT", TENANT, replica_id=others[0], **change)
            reconnect()
            await running.leader()
            again = await running.accept("PUT", TENANT, replica_id=leader_id, **change)
            assert again.body == settled.body

    run(scenario())


def test_without_a_quorum_changes_are_refused_at_once(cluster, run, new_tenant):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            leader_id = await running.leader()
            for replica_id in [each for each in running.processes if each != leader_id]:
                await running.kill(replica_id)
            runner = running.processes[leader_id].replica.runner
            while runner.quorum_age() <= 2.0:
                await asyncio.sleep(0.05)
            refused = await running.call("PUT", TENANT, leader_id, body=new_tenant(weight=5))
            assert (refused.status, refused.body["kind"]) == (503, "no-leader")
            assert "Retry-After" in refused.headers

    run(scenario())


def test_overload_is_refused_at_once(cluster, run, new_tenant, monkeypatch):
    async def scenario():
        async with cluster(size=1) as running:
            await running.configure()
            monkeypatch.setattr(proposals, "MAX_WAITING_PROPOSALS", 0)
            refused = await running.call("PUT", TENANT, body=new_tenant(weight=5))
            assert (refused.status, refused.body["kind"]) == (503, "overloaded")
            assert "Retry-After" in refused.headers

    run(scenario())


def test_hosts_that_the_platform_takes_away_are_drained(cluster, run, wait_for):
    listed = {"version": 1, "states": {"host-0": "live", "host-1": "live"}}

    async def serve_list(_request):
        machines = [
            {"host": host, "address": f"127.0.1.1:{7000 + n}", "zone": "dvorana-a", "state": state}
            for n, (host, state) in enumerate(listed["states"].items())
        ]
        return web.json_response({"version": listed["version"], "machines": machines})

    async def scenario():
        application = web.Application()
        application.router.add_get("/machines", serve_list)
        server = web.AppRunner(application, access_log=None)
        await server.setup()
        await web.TCPSite(server, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{server.addresses[0][1]}/machines"
        async with cluster(platform_list_url=url, platform_poll_seconds=0.1) as running:
            await running.configure()
            states = admin_states(running)
            for version, state, admin_state in (
                (2, "leaving", AdminState.DRAINING),
                (1, "live", AdminState.DRAINING),  # An old copy of the list changes nothing.
                (3, "live", AdminState.ENABLED),
            ):
                listed.update(version=version, states={"host-0": "live", "host-1": state})
                await asyncio.sleep(0.5)
                await wait_for(lambda wanted=admin_state: states()["host-1"] is wanted)
                assert states()["host-0"] is AdminState.ENABLED
        await server.cleanup()

    def admin_states(running):
        state = next(iter(running.processes.values())).replica.state
        return lambda: {member.host: member.admin_state for member in state.members()}

    run(scenario())


def test_agents_register_and_their_statuses_follow(cluster, run, wait_for):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            balancer = running.subscribe_balancer()
            agent = running.subscribe_agent(7000)
            address = agent.core.facts.address
            status = status_at(balancer, address)
            await wait_for(lambda: status() is OperatingStatus.ONLINE)
            assert agent.incarnation == 1
            agent.healthy = False
            await wait_for(lambda: status() is OperatingStatus.UNHEALTHY)
            agent.healthy = True
            await wait_for(lambda: status() is OperatingStatus.ONLINE)
            # Another leader continues from the committed state and evaluates the members again.
            await running.kill(await running.leader())
            await running.leader()
            assert status() is OperatingStatus.ONLINE
            agent.stop()
            await wait_for(lambda: status() is OperatingStatus.OFFLINE)
            successor = running.subscribe_agent(7000)
            await wait_for(lambda: successor.incarnation == 2)
            await wait_for(lambda: status() is OperatingStatus.ONLINE)

    def status_at(balancer, address):
        return lambda: (
            member.operating_status
            if (member := balancer.table.member(address)) is not None
            else None
        )

    run(scenario())


def test_keys_are_installed_once_for_all(cluster, run, wait_for):
    async def scenario():
        async with cluster() as running:
            replicas = [each.replica for each in running.processes.values()]
            purposes = sorted([*KeyPurpose, *KeyPurpose])  # the active one and the spare
            await wait_for(lambda: all(purposes_of(each) == purposes for each in replicas))
            secrets = [secrets_of(each) for each in replicas]
            assert secrets[0] == secrets[1] == secrets[2]
            await running.kill(await running.leader())
            await running.leader()
            survivor = next(iter(running.processes.values())).replica
            assert secrets_of(survivor) == secrets[0]

    def purposes_of(replica):
        return sorted(key.purpose for key in keys_of(replica))

    def secrets_of(replica):
        return sorted(key.secret for key in keys_of(replica))

    def keys_of(replica):
        return [entry for entry in replica.state.table.entries() if isinstance(entry, KeyEntry)]

    run(scenario())


def test_drain_and_resume_by_operator(cluster, run):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            for verb, state in (("drain", AdminState.DRAINING), ("resume", AdminState.ENABLED)):
                await running.accept("POST", f"/v1/hosts/host-1/{verb}")
                hosts = (await running.call("GET", "/v1/hosts")).body["members"]
                states = {each["host"]: each["admin_state"] for each in hosts}
                assert states == {"host-0": "enabled", "host-1": state.value}

    run(scenario())


def test_replicas_are_added_promoted_and_removed(cluster, run, new_tenant):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            await running.start(4)
            address = str(running.endpoints[4])
            await change(running, "POST", {"replica_id": 4, "address": address}, learner=[4])
            await change(running, "POST", {"replica_id": 4, "promote": True}, learner=[])
            leader_id = await running.leader()
            removed = await running.call("DELETE", f"/v1/replicas/{leader_id}", 4)
            assert removed.status in (200, 504)
            await running.kill(leader_id)
            await running.leader()
            body = new_tenant(weight=8)
            await running.accept("PUT", TENANT, replica_id=4, body=body)
            listed = (await running.call("GET", "/v1/replicas", 4)).body["replicas"]
            assert {each["replica_id"] for each in listed} == {1, 2, 3, 4} - {leader_id}
            back = {"replica_id": leader_id, "address": address}
            again = await running.call("POST", "/v1/replicas", 4, body=back)
            assert (again.status, again.body["kind"]) == (409, "membership-refused")

    run(scenario())


def test_a_balancer_follows_when_all_control_machines_are_replaced(
    cluster, run, wait_for, new_tenant
):
    async def scenario():
        async with cluster() as running:
            await running.configure()
            balancer = running.subscribe_balancer()
            await wait_for(balancer.fresh)
            for old in (1, 2, 3):
                new = old + 3
                await running.start(new)
                body = {"replica_id": new, "address": str(running.endpoints[new])}
                await change(running, "POST", body, learner=[new], queried_id=old)
                await change(
                    running,
                    "POST",
                    {"replica_id": new, "promote": True},
                    learner=[],
                    queried_id=old,
                )
                await remove(running, old, queried_id=new)
                await running.kill(old)
                await running.leader()
            accepted = await running.accept("PUT", TENANT, replica_id=4, body=new_tenant(weight=17))
            await wait_for(lambda: balancer.table.revision >= accepted.body["revision"])
            await wait_for(balancer.fresh)

    async def remove(running, replica_id, queried_id):
        while True:
            await running.call("DELETE", f"/v1/replicas/{replica_id}", queried_id)
            listed = (await running.call("GET", "/v1/replicas", queried_id)).body.get(
                "replicas", []
            )
            if listed and replica_id not in {each["replica_id"] for each in listed}:
                return
            await asyncio.sleep(0.1)

    run(scenario())


async def change(running, method, body, learner, queried_id=1):
    """Repeat until there are four replicas and these learners: a learner has to catch up first."""
    while True:
        await running.call(method, "/v1/replicas", queried_id, body=body)
        listed = await running.call("GET", "/v1/replicas", queried_id)
        replicas = listed.body.get("replicas", [])
        learners = [each["replica_id"] for each in replicas if not each["voter"]]
        if len(replicas) == 4 and learners == learner:
            return
        await asyncio.sleep(0.1)
