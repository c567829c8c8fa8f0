import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.consensus.entries import Member, Membership
from jasperwalk.consensus.members import AddLearner, PromoteLearner, RemoveReplica
from jasperwalk.control.fleet.autopilot import (
    REPLACE_AFTER_SECONDS,
    REQUEST_LIFETIME_SECONDS,
    Autopilot,
)
from jasperwalk.control.fleet.messages import JoinRequest

SILENT = REPLACE_AFTER_SECONDS + 0.1


def address(number):
    return Endpoint(f"10.0.0.{number}", 7600)


def voter(number, at=None):
    return Member(number, f"disk-{number}", True, str(address(at or number)))


def learner(number, at=None):
    return Member(number, "", False, str(address(at or number)))


def members(*listed, removed=()):
    return Membership(members=list(listed), removed=list(removed))


FIVE = [voter(number) for number in range(1, 6)]


def make_autopilot(*requests):
    made = Autopilot()
    for replica_id, at, founding in requests:
        made.record_request(JoinRequest(replica_id, address(at), founding), 0.0)
    return made


@pytest.mark.parametrize(
    ("requests", "listed", "silent", "change"),
    [
        ([], FIVE, [], None),
        ([], FIVE, [1], None),
        ([], FIVE, [1, 2], None),
        ([(9, 9, False)], FIVE, [], AddLearner(9, "10.0.0.9:7600")),
        ([(9, 9, True)], [*FIVE[:3], learner(9)], [], PromoteLearner(9)),
        ([(9, 9, False)], [*FIVE, learner(9)], [], None),
        ([(9, 9, False)], [*FIVE, learner(9)], [2], PromoteLearner(9)),
        ([(9, 2, False)], [*FIVE, learner(9, 2)], [], PromoteLearner(9)),
        ([], [*FIVE, voter(9)], [2], RemoveReplica(2)),
        ([(9, 2, False)], [*FIVE, voter(9, 2)], [], RemoveReplica(2)),
        ([(9, 2, False)], [*FIVE, voter(9, 2)], [4], RemoveReplica(2)),
        ([], [*FIVE, voter(9)], [], None),
        ([(9, 9, False)], [*FIVE, learner(9)], [2, 9], None),
        ([], [*FIVE, learner(9)], [9], RemoveReplica(9)),
    ],
    ids=[
        "no change while all voters are in contact",
        "a silent voter without a successor stays",
        "two silent voters without successors stay",
        "a joining replica becomes a learner",
        "a replica that joins at the founding gets a vote",
        "a spare learner gets no vote while all voters are in contact",
        "a spare replaces a silent voter",
        "a lost disk's successor replaces it at once",
        "a replaced voter is removed after its successor has the vote",
        "a lost disk's voter is removed after its successor has the vote",
        "the lost disk's voter is removed, not another that is silent",
        "an even number of voters in contact stays",
        "a silent learner replaces nobody",
        "a silent learner that requests nothing is removed",
    ],
)
def test_the_next_change(requests, listed, silent, change):
    ages = {each.replica_id: SILENT if each.replica_id in silent else 0.0 for each in listed}
    assert make_autopilot(*requests).next_change(members(*listed), ages, 1.0) == change


def test_a_removed_replica_is_never_added_again():
    made = make_autopilot((2, 2, False))
    listed = members(*FIVE[2:], removed=[2])
    assert made.next_change(listed, {}, 1.0) is None


def test_a_join_request_that_is_not_repeated_expires():
    made = make_autopilot((9, 9, False))
    assert made.next_change(members(*FIVE), {}, REQUEST_LIFETIME_SECONDS + 0.1) is None


def test_two_lost_disks_are_replaced_one_after_the_other_and_five_voters_remain():
    made = make_autopilot((11, 1, False), (12, 2, False))
    listed, ages, sizes = members(*FIVE), {1: SILENT, 2: SILENT}, []
    for _ in range(20):
        change = made.next_change(listed, ages, 1.0)
        if change is None:
            break
        match change:
            case AddLearner():
                listed = listed.with_member(Member(change.replica_id, "", False, change.address))
            case PromoteLearner():
                old = listed.find(change.replica_id)
                listed = listed.with_member(Member(old.replica_id, "d", True, old.address))
            case RemoveReplica():
                listed = listed.without(change.replica_id)
        sizes.append(len(listed.voter_ids()))
    assert listed.voter_ids() == [3, 4, 5, 11, 12]
    assert min(sizes) == 5
