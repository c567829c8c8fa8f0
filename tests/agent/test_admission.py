"""Decisions of the admission control core, case by case."""

import asyncio

import pytest

from jasperwalk.agent.admission import Admission, AdmissionLimits, Admitted, Queued, Refused
from jasperwalk.agent.requests import NotRunReason
from jasperwalk.agent.slot_allocator import SlotAllocator

LIMITS = AdmissionLimits(slots=2, queue_length=2, queue_wait_ms=500)


def _names(decisions):
    named = []
    for decision in decisions:
        kind = type(decision).__name__.lower()
        reason = f":{decision.not_run.reason}" if isinstance(decision, Refused) else ""
        named.append(f"{decision.request_id} {kind}{reason}")
    return named


def _run_steps(steps):
    admission = Admission(LIMITS)
    decided = []
    for now, action, *arguments in steps:
        match action:
            case "request":
                request_id, deadline_at = arguments
                decided += _names([admission.request(request_id, deadline_at, now)])
            case "shed":
                admission.shed(now)
            case "limits":
                decided += _names(admission.set_limits(arguments[0], now))
            case "reserve":
                held = admission.reserve(arguments[0], now)
                decided.append(f"{arguments[0]} {'held' if held else 'none'}")
            case "tick":
                decided += _names(admission.tick(now))
            case _:
                decided += _names(getattr(admission, action)(arguments[0], now))
    return admission, decided


FULL = [(0.0, "request", name, 9.0) for name in "abcd"]
FULL_DECISIONS = ["a admitted", "b admitted", "c queued", "d queued"]
CASES = {
    "slots, then queue, then refused at once": (
        [*FULL, (0.0, "request", "e", 9.0)],
        [*FULL_DECISIONS, "e refused:queue-full"],
    ),
    "first in, first out": (
        [*FULL, (0.1, "finished", "a"), (0.2, "finished", "b")],
        [*FULL_DECISIONS, "c admitted", "d admitted"],
    ),
    "nobody overtakes the queue": (
        [*FULL[:3], (0.1, "finished", "a"), (0.1, "request", "e", 9.0)],
        [*FULL_DECISIONS[:3], "c admitted", "e queued"],
    ),
    "waited beyond the limit: refused then, not at its deadline": (
        [*FULL, (0.499, "tick"), (0.5, "tick")],
        [*FULL_DECISIONS, "c refused:waited-too-long", "d refused:waited-too-long"],
    ),
    "deadline comes before the limit": (
        [*FULL[:2], (0.0, "request", "c", 0.3), (0.3, "tick")],
        [*FULL_DECISIONS[:2], "c queued", "c refused:deadline-too-short"],
    ),
    "deadline in the past": (
        [(1.0, "request", "a", 1.0)],
        ["a refused:deadline-too-short"],
    ),
    "estimated wait does not fit the deadline": (
        [*FULL[:2], (0.0, "request", "c", 0.01)],
        [*FULL_DECISIONS[:2], "c refused:deadline-too-short"],
    ),
    "shedding host refuses even with free slots": (
        [(0.0, "shed"), (0.5, "request", "a", 9.0), (1.0, "request", "b", 9.0)],
        ["a refused:shedding", "b admitted"],
    ),
    "a queued request that is cancelled frees its place": (
        [*FULL, (0.1, "cancelled", "c"), (0.1, "request", "e", 9.0), (0.1, "finished", "a")],
        [*FULL_DECISIONS, "e queued", "d admitted"],
    ),
    "a running request that is cancelled frees its slot": (
        [*FULL, (0.1, "cancelled", "b")],
        [*FULL_DECISIONS, "c admitted"],
    ),
    "a slot given back twice is one slot": (
        [*FULL, (0.1, "finished", "a"), (0.1, "finished", "a")],
        [*FULL_DECISIONS, "c admitted"],
    ),
    "an expired request is not admitted by a slot that frees too late": (
        [*FULL[:3], (0.6, "finished", "a")],
        [*FULL_DECISIONS[:3], "c refused:waited-too-long"],
    ),
    "more slots let the queue in": (
        [*FULL, (0.1, "limits", AdmissionLimits(4, 2, 500))],
        [*FULL_DECISIONS, "c admitted", "d admitted"],
    ),
    "a slot is lent while one is free, and given back to the queue": (
        [FULL[0], (0.0, "reserve", "x"), (0.0, "reserve", "y"), FULL[2], (0.1, "cancelled", "x")],
        ["a admitted", "x held", "y none", "c queued", "c admitted"],
    ),
    "no slot is lent while the host sheds": (
        [(0.0, "shed"), (0.5, "reserve", "x"), (1.0, "reserve", "y")],
        ["x none", "y held"],
    ),
    "fewer slots cancel no running request": (
        [*FULL, (0.1, "limits", AdmissionLimits(1, 2, 500)), (0.2, "finished", "a")],
        FULL_DECISIONS,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_decisions(case):
    steps, expected = CASES[case]
    admission, decided = _run_steps(steps)
    assert decided == expected
    assert admission.waiting <= LIMITS.queue_length


def test_the_wait_is_estimated_from_what_requests_took():
    admission = Admission(AdmissionLimits(slots=1, queue_length=8, queue_wait_ms=60_000))
    for number in range(40):
        now = number * 2.0
        assert isinstance(admission.request(f"r{number}", now + 9, now), Admitted)
        admission.finished(f"r{number}", now + 2.0)
    now = 100.0
    assert isinstance(admission.request("runs", now + 9, now), Admitted)
    assert isinstance(admission.request("waits", now + 9, now), Queued)
    refused = admission.request("late", now + 3, now)
    assert isinstance(refused, Refused)
    assert refused.not_run.reason is NotRunReason.DEADLINE_TOO_SHORT
    assert 3_500 <= refused.not_run.retry_after_ms <= 4_500


def test_the_next_deadline_is_that_of_the_first_to_give_up():
    admission = Admission(LIMITS)
    for name, deadline_at in (("a", 9.0), ("b", 9.0), ("c", 9.0), ("d", 0.2)):
        admission.request(name, deadline_at, 0.0)
    assert admission.next_deadline() == pytest.approx(0.2)


def test_a_slot_given_to_a_request_that_is_cancelled_in_the_same_turn_is_handed_on():
    async def main():
        allocator = SlotAllocator(Admission(AdmissionLimits(1, 4, 60_000)))
        deadline_at = asyncio.get_running_loop().time() + 60
        assert await allocator.acquire("a", deadline_at) is None
        second, third = (
            asyncio.ensure_future(allocator.acquire(name, deadline_at)) for name in ("b", "c")
        )
        await asyncio.sleep(0)
        allocator.release("a")
        second.cancel()
        assert await asyncio.wait_for(third, 5) is None
        assert allocator.admission.running == 1

    asyncio.run(main())
