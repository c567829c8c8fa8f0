"""A service with some hosts that become slow, or always are: how many requests are late."""

import pytest

from tests.scheduling.slow_hosts_model import Kind, World

SLOW_FROM, SLOW_UNTIL, PLAYED_UNTIL = 4.0, 9.0, 12.0
SEEDS = range(3)
MANY_SEEDS = range(8)
"""For results that vary with the seed more than with the tested rule: which requests are long."""


def kinds(flows_per_second, long_share=0.03):
    """Requests with a flow each, and a few on long flows of another route."""
    return (
        Kind("hold", 1001, flows_per_second, 0.044, 0.4, long_share=long_share),
        Kind("feed", 1002, 0.5, 0.034, 0.3, requests=10, long_share=long_share),
    )


def simulate(seed, measured, hosts, slots, flows_per_second, slow=(), **settings):
    world = World(
        seed,
        kinds(flows_per_second),
        hosts,
        slots=slots,
        measured=measured,
        slow=slow,
        slow_from=SLOW_FROM,
        slow_until=SLOW_UNTIL,
        **settings,
    )
    world.run(PLAYED_UNTIL)
    return world


def late_share(measured, hosts, slots, flows_per_second, slow):
    results = [
        simulate(
            seed,
            measured,
            hosts,
            slots,
            flows_per_second,
            slow,
            count_from=SLOW_FROM,
            count_until=SLOW_UNTIL,
        ).result
        for seed in SEEDS
    ]
    return sum(each.late_share() for each in results) / len(results)


@pytest.mark.parametrize(
    ("hosts", "slots", "flows_per_second", "most"),
    [(24, 1, 200, 0.85), (12, 2, 250, 0.5), (6, 4, 250, 0.5)],
    ids=["one slot", "two slots", "four slots"],
)
def test_fewer_requests_are_late_while_a_quarter_of_the_hosts_is_slow(
    hosts, slots, flows_per_second, most
):
    slow = range(0, hosts, 4)
    before = late_share(False, hosts, slots, flows_per_second, slow)
    after = late_share(True, hosts, slots, flows_per_second, slow)
    assert before > 0.02
    assert after < most * before


def test_slow_hosts_are_detected_logged_and_get_their_share_again():
    slow = range(0, 12, 4)
    world = World(1, kinds(250), 12, slow=slow, slow_from=SLOW_FROM, slow_until=SLOW_UNTIL)
    world.count_from = SLOW_UNTIL + 4.0
    taken = world.run(SLOW_UNTIL + 9.0).taken
    for name in ("host-slow", "host-usual-again"):
        assert world.log.names().count(name) >= len(slow)
    assert sum(host.agent.counters.flows_refused_slow for host in world.hosts) > 0
    mean = sum(taken.values()) / len(world.hosts)
    assert min(taken[number] for number in slow) > 0.7 * mean


def test_where_routes_are_alike_a_slow_host_is_full_sooner():
    slow = range(0, 12, 4)
    world = simulate(2, True, 12, 2, 250, slow, with_terms=False)
    assert sum(host.agent.counters.flows_refused_slow for host in world.hosts) == 0
    counted = {"count_from": SLOW_FROM, "count_until": SLOW_UNTIL, "with_terms": False}
    before = simulate(2, False, 12, 2, 250, slow, **counted).result
    after = simulate(2, True, 12, 2, 250, slow, **counted).result
    assert after.late_share() < before.late_share()


def test_a_service_whose_hosts_are_all_slow_loses_no_request_for_it():
    everywhere = range(12)
    before = simulate(3, False, 12, 2, 40, everywhere).result
    after = simulate(3, True, 12, 2, 40, everywhere).result
    served = after.in_time + after.late
    assert served >= 0.99 * (before.in_time + before.late) * after.asked / before.asked


@pytest.mark.parametrize("flows_per_second", [80, 150])
def test_hosts_of_half_the_speed_get_no_more_than_their_share(flows_per_second):
    speeds = [1.0, 0.5] * 6
    shares, late = {}, {}
    for measured in (False, True):
        results = [
            simulate(
                seed, measured, 12, 2, flows_per_second, speeds=speeds, count_from=SLOW_FROM
            ).result
            for seed in MANY_SEEDS
        ]
        fast = sum(each.taken.get(host, 0) for each in results for host in range(0, 12, 2))
        slow = sum(each.taken.get(host, 0) for each in results for host in range(1, 12, 2))
        shares[measured] = slow / fast
        late[measured] = sum(each.late_share() for each in results)
    assert shares[True] <= 0.5 < shares[False]
    assert late[True] < late[False]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("hosts", "slots"), [(24, 1), (12, 2), (6, 4)])
def test_where_hosts_are_alike_every_choice_is_as_before(seed, hosts, slots):
    chosen = []
    for measured in (False, True):
        world = World(seed, kinds(200, long_share=0.0), hosts, slots=slots, measured=measured)
        chosen.append(world.run(8.0).chosen)
    assert len(chosen[0]) > 1000
    assert chosen[0] == chosen[1]
