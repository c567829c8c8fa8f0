"""The best possible result of a day of rushes, in cases small enough to compute by hand."""

import msgspec
import pytest
from click.testing import CliRunner

from scripts.rush_ideal import (
    ROOT,
    Day,
    Fault,
    RequestKind,
    Site,
    Stream,
    available_slots,
    ideal,
    lost_share,
    main,
    rate,
    read_day,
)

DAYS = ROOT / "experiments" / "platform"
WEB = RequestKind("web", work=0.1, objective=0.5, limit=2.0, worth=1.0, late_worth=0.25)
URGENT = msgspec.structs.replace(WEB, worth=2.0, late_worth=0.5)


def site(slots=10.0, seconds=20.0, traffic=1.0, **kinds):
    return Site(traffic, seconds, {"web": slots}, kinds or {"look-up": WEB})


def day(*faults, **rates):
    rates = rates or {"look-up": 100.0}
    streams = tuple(Stream(kind, "north", per_second) for kind, per_second in rates.items())
    return Day("d", streams, faults)


def burst(x, at=6.0, for_s=4.0, **fields):
    return Fault("burst", at=at, for_s=for_s, x=x, **fields)


def test_a_day_within_capacity_earns_everything():
    best = ideal(day(), site())
    assert best.day == pytest.approx(1.0)
    assert best.windows == pytest.approx((1.0,) * 10)


def test_traffic_is_played_in_part():
    assert ideal(day(), site(slots=5.0, traffic=0.5)).day == pytest.approx(1.0)


def test_in_a_lasting_overload_capacity_serves_requests_that_are_in_time():
    """Load of twice the capacity all day: half is served in time, and some late at the end."""
    best = ideal(day(), site(slots=5.0))
    assert best.windows[1:-1] == pytest.approx((0.5,) * 8, abs=0.02)
    assert best.windows[-1] > 0.55


def test_urgent_requests_come_first_and_the_others_bear_the_overload():
    both = {"hold": URGENT, "look-up": WEB}
    best = ideal(day(burst(2.0), hold=50.0, **{"look-up": 50.0}), site(**both))
    assert best.kinds["hold"] == pytest.approx(1.0)
    assert best.worst_kind() == "look-up"
    assert min(best.windows) == pytest.approx(2 / 3, abs=0.04)


def test_work_that_is_worth_more_for_each_second_of_a_slot_comes_first():
    long_urgent = msgspec.structs.replace(URGENT, work=0.4)
    both = {"hold": long_urgent, "look-up": WEB}
    best = ideal(day(hold=25.0, **{"look-up": 100.0}), site(**both))
    assert best.kinds["look-up"] == pytest.approx(1.0)
    assert best.worst_kind() == "hold"


def test_late_requests_are_served_after_a_rush_at_their_late_worth():
    patient = msgspec.structs.replace(WEB, limit=60.0)
    impatient = msgspec.structs.replace(WEB, limit=0.5)
    rates = {"look-up": 50.0}
    served = ideal(day(burst(4.0), **rates), site(**{"look-up": patient}))
    lost = ideal(day(burst(4.0), **rates), site(**{"look-up": impatient}))
    # Of 800 requests of the rush 400 are served during it and 25 after it within the objective.
    assert lost.day == pytest.approx(1 - 375 / 1600, abs=0.02)
    assert served.day == pytest.approx(1 - 0.75 * 375 / 1600, abs=0.02)


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, 20.0),
        ({"kind_of_request": "look-up"}, 20.0),
        ({"kind_of_request": "hold"}, 10.0),
        ({"zone": "north"}, 20.0),
        ({"zone": "south"}, 10.0),
        ({"at": 7.0}, 10.0),
    ],
)
def test_a_burst_multiplies_the_rate_of_a_kind_a_zone_or_all(fields, expected):
    fault = burst(2.0, **{"at": 5.0, **fields})
    assert rate(Stream("look-up", "north", 10.0), [fault], 6.0) == expected


@pytest.mark.parametrize(
    ("fault", "lost"),
    [
        (Fault("srv_grey", share=0.2, how="slow", x=5.0), 0.16),
        (Fault("srv_slow", share=0.2, x=5.0), 0.16),
        (Fault("srv_grey", share=0.2, how="mute", x=0.5), 0.1),
        (Fault("srv_grey", share=0.2, how="reset", x=0.5), 0.1),
        (Fault("srv_flap", share=0.2), 0.1),
        (Fault("burst", x=3.0), 0.0),
    ],
)
def test_faults_of_hosts_cost_capacity(fault, lost):
    assert lost_share(fault) == pytest.approx(lost)
    holding = msgspec.structs.replace(fault, at=1.0, for_s=2.0, service="web")
    assert available_slots("web", 10.0, [holding], 2.0) == pytest.approx(10.0 * (1 - lost))
    assert available_slots("export", 10.0, [holding], 2.0) == 10.0
    assert available_slots("web", 10.0, [holding], 3.0) == 10.0


def test_a_day_file_is_read_with_its_rates_by_kind_and_zone():
    traffic = [{"zone": "north", "mix": {"a": 3, "b": 1}, "per_s": 100.0, "clients": 7}]
    faults = [{"at": 1.0, "kind": "burst", "x": 2.0, "for_s": 3.0, "class": "a"}]
    found = read_day({"day": [{"name": "d", "traffic": traffic, "faults": faults}]})
    assert found.streams == (Stream("a", "north", 75.0), Stream("b", "north", 25.0))
    assert found.faults == (Fault("burst", 1.0, 3.0, 2.0, kind_of_request="a"),)


def test_the_days_of_rushes_can_be_computed():
    paths = [str(DAYS / f"rush-{name}.toml") for name in ("tickets", "registry")]
    result = CliRunner().invoke(main, paths)
    assert result.exit_code == 0, result.output
    assert [line.split(":")[0] for line in result.output.splitlines() if line[0] != " "] == [
        "rush-tickets",
        "rush-registry",
    ]


def test_a_day_without_figures_is_an_error_that_names_it(tmp_path):
    path = tmp_path / "day.toml"
    path.write_text('[[day]]\nname = "unknown-day"\ntraffic = []\n')
    (tmp_path / "rush-hosts.toml").write_text("")
    result = CliRunner().invoke(main, [str(path)])
    assert result.exit_code == 1
    assert "unknown-day" in result.output
