"""Retries stay a small share of the requests, whatever fails."""

import asyncio
import random

import pytest

from jasperwalk.agent.borrower import OwnSlot
from jasperwalk.agent.requests import (
    Answered,
    NotRun,
    NotRunReason,
    Request,
    Unknown,
    UnknownReason,
)
from jasperwalk.agent.retry_budget import MAX_TOKENS, RETRIES_PER_REQUEST, RetryBudget
from jasperwalk.agent.runner import RequestRunner

REQUESTS = 200
UNREACHABLE = NotRun(NotRunReason.BACKEND_UNREACHABLE)


def test_tokens_come_with_requests_alone_and_are_bounded():
    budget = RetryBudget()
    for _ in range(1000):
        budget.earn()
    assert sum(budget.spend() for _ in range(100)) == MAX_TOKENS
    for _ in range(int(3 / RETRIES_PER_REQUEST)):
        budget.earn()
    assert 2 <= sum(budget.spend() for _ in range(100)) <= 3


class FakeDependencies:
    """Borrower, backend and relay in one: every request fails here with `outcome`."""

    def __init__(self, outcome, elsewhere):
        self.outcome = outcome
        self.elsewhere = elsewhere
        self.relayed = 0

    async def acquire(self, request_id, deadline_at):
        return OwnSlot(request_id)

    async def run(self, *arguments):
        if isinstance(arguments[0], str):  # as the backend, in the slot of this name
            return self.outcome
        self.relayed += 1
        return self.elsewhere


MAX_RETRIES = MAX_TOKENS + REQUESTS * RETRIES_PER_REQUEST
CASES = {
    # outcome here, outcome elsewhere, least and most retries
    "did not run, and not elsewhere": (UNREACHABLE, UNREACHABLE, 1, MAX_RETRIES),
    "did not run, elsewhere it did": (UNREACHABLE, Answered(200), 1, MAX_RETRIES),
    "deadline too short: not retried": (NotRun(NotRunReason.DEADLINE_TOO_SHORT), UNREACHABLE, 0, 0),
    "may have run: not retried": (Unknown(UnknownReason.BACKEND_FAILED), UNREACHABLE, 0, 0),
}


@pytest.mark.parametrize("case", CASES)
def test_retries_keep_to_the_budget(helpers, case):
    outcome, elsewhere, least, most = CASES[case]
    view = helpers.make_view(
        helpers.member_entry(helpers.AGENT), helpers.member_entry(helpers.OTHER_AGENT)
    )

    async def main():
        parts, clock = FakeDependencies(outcome, elsewhere), asyncio.get_running_loop().time
        runner = RequestRunner(
            parts, None, parts, parts, lambda: view, clock, random.Random(REQUESTS)
        )
        request = Request("r", "POST", "/names", "", [], b"", 1_000, False)
        outcomes = [await runner.run(request, None) for _ in range(REQUESTS)]
        assert least <= parts.relayed <= most
        assert runner.retried == parts.relayed
        answered = sum(isinstance(each, Answered) for each in outcomes)
        assert answered == (parts.relayed if isinstance(elsewhere, Answered) else 0)
        assert outcomes.count(outcome) == REQUESTS - answered

    asyncio.run(main())
