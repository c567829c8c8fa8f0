import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import AdminState, MemberEntry, OperatingStatus
from jasperwalk.routing.candidates import CandidateIndex


class Pool:
    def __init__(self, members):
        self.members = members

    def members_of(self, service_id):
        return self.members if service_id == 7 else ()


def make_member(number, **changes):
    facts = {
        "address": Endpoint(f"127.0.0.{number}", 7000),
        "service_id": 7,
        "host": f"host-{number}",
        "zone": "z",
        "weight": 100,
        "slots": 4,
        "admin_state": AdminState.ENABLED,
        "operating_status": OperatingStatus.ONLINE,
        "incarnation": 1,
    }
    return MemberEntry(**(facts | changes))


@pytest.mark.parametrize(
    "changes",
    [
        {"admin_state": AdminState.DRAINING},
        {"operating_status": OperatingStatus.OFFLINE},
        {"operating_status": OperatingStatus.UNREGISTERED},
        {"weight": 0},
        {"incarnation": 0},
    ],
)
def test_a_member_that_takes_no_new_work_is_no_candidate(changes):
    index = CandidateIndex(Pool([make_member(1, **changes), make_member(2)]))
    for number in range(50):
        pair = index.candidates(7, number.to_bytes(8, "big"))
        assert pair.first.address.host == "127.0.0.2"
        assert pair.second is None


def test_a_changed_pool_is_seen_after_table_changed_and_an_unchanged_one_is_kept():
    pool = Pool([make_member(1)])
    index = CandidateIndex(pool)
    first = index.prepared_members(7)
    index.table_changed(pool)
    assert index.prepared_members(7) is first
    pool.members = [make_member(2)]
    index.table_changed(pool)
    assert [prepared_member.address.host for prepared_member in index.prepared_members(7)] == [
        "127.0.0.2"
    ]


def test_a_service_without_members_has_no_candidates():
    assert CandidateIndex(Pool([])).candidates(7, b"key") is None
    assert CandidateIndex(Pool([make_member(1)])).candidates(8, b"key") is None
