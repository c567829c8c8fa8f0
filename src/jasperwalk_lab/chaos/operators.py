"""Operators who submit conflicting changes, lose answers and resend; and bursts of changes."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk.config.parameters import ParameterType
from jasperwalk.config.tenants import Tenant
from jasperwalk.control.views import TenantBody
from jasperwalk_lab.chaos.api import Accepted, ChangeAnswer, NotDecided, ReplicaApi
from jasperwalk_lab.chaos.in_force import wait_in_force
from jasperwalk_lab.example import Example

RACED_PARAMETER = "queue_length"
RACED_VALUES = itertools.cycle(range(64, 1024))
OPERATORS_PER_RACE = (2, 3)
"""Minimum and maximum number of operators of one race."""
PAUSE_SECONDS = (0.1, 0.4)
LOST_ANSWER_SHARE = 0.3
MAX_ANSWER_WAIT_SECONDS = 0.03
"""An operator who loses the answer stops waiting for it within this time."""
RESEND_SHARE = 0.3
DECISION_TIMEOUT_SECONDS = 25.0
RESEND_PAUSE_SECONDS = 0.2
MAX_IN_FORCE_WAIT_SECONDS = 30.0
"""Maximum time that an operator waits; the verdict decides what is too long."""
BURST_TENANT = "burst"
BURST_CHANGES = 250
BURST_OPERATORS = 8


@dataclass
class SubmittedChange:
    """One change with every definite answer that its operator received, in order."""

    change_id: str
    tenant: str
    expected: int | None
    value: int
    invoked: float
    completed: float = 0.0
    answers: list[ChangeAnswer] = field(default_factory=list)

    def accepted(self) -> Accepted | None:
        """Return the first answer if it accepts the change."""
        first = self.answers[0] if self.answers else None
        return first if isinstance(first, Accepted) else None


@dataclass(frozen=True)
class InForceTime:
    """Seconds until control reported a change in force everywhere; None if it never did.

    The wait lasted from `accepted` to `ended` (seconds).
    """

    change_id: str
    seconds: float | None
    accepted: float
    ended: float
    last_words: tuple[str, ...] = ()
    """Each replica's last answer."""


@dataclass
class ChangeHistory:
    """All changes of the operators of a run, and the waits for them."""

    changes: list[SubmittedChange] = field(default_factory=list)
    in_force: list[InForceTime] = field(default_factory=list)

    def newest_revision(self) -> int:
        """Return the table revision of the newest accepted change."""
        accepted = [change.accepted() for change in self.changes]
        return max((each.revision for each in accepted if each is not None), default=0)


class Operators:
    """The operators of a run; `apis` returns the endpoints of the current replicas."""

    def __init__(
        self, example: Example, apis: Callable[[], list[Endpoint]], generator: random.Random
    ) -> None:
        self.history = ChangeHistory()
        self._tenant = example.tenants[0]
        self._burst_tenant = burst_tenant(example)
        self._apis = apis
        self._random = generator
        self._api = ReplicaApi()
        self._numbers = itertools.count()
        self._stopping = False
        self._waits: set[asyncio.Task[None]] = set()

    @property
    def raced_tenant(self) -> str:
        """Name of the tenant that operators change concurrently."""
        return self._tenant.name

    async def close(self) -> None:
        """Finish the pending waits, and close the connections."""
        await asyncio.gather(*self._waits)
        await self._api.close()

    def stop(self) -> None:
        """Stop after the current race."""
        self._stopping = True

    async def run_races(self) -> None:
        """Run one race after the other until `stop` is called."""
        while not self._stopping:
            seen = await self._api.tenant(self._any_replica(), self._tenant.name)
            if seen is not None:
                await self._race(seen.revision)
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))

    async def make_changes(self) -> int:
        """Submit hundreds of changes, a few at a time; return how many were accepted."""
        before = len(self.history.changes)
        limit = asyncio.Semaphore(BURST_OPERATORS)

        async def change() -> None:
            async with limit:
                await self._submit(self._burst_tenant, None)

        await asyncio.gather(*(change() for _ in range(BURST_CHANGES)))
        made = self.history.changes[before:]
        return sum(c.tenant == BURST_TENANT and c.accepted() is not None for c in made)

    async def _race(self, expected: int) -> None:
        operators = self._random.randint(*OPERATORS_PER_RACE)
        changes = await asyncio.gather(
            *(self._submit(self._tenant, expected) for _ in range(operators))
        )
        winners = [change for change in changes if change.accepted() is not None]
        if winners and len(self._waits) <= 1:
            wait = asyncio.create_task(self._time_in_force(winners[0]))
            self._waits.add(wait)
            wait.add_done_callback(self._waits.discard)

    async def _submit(self, tenant: Tenant, expected: int | None) -> SubmittedChange:
        """Send a change until it is decided; sometimes lose the answer, sometimes resend."""
        value = next(RACED_VALUES)
        values = {**tenant.values, RACED_PARAMETER: value}
        body = TenantBody(template=tenant.template, values=values)
        change = SubmittedChange(
            change_id=f"chaos-{next(self._numbers)}",
            tenant=tenant.name,
            expected=expected,
            value=value,
            invoked=_now(),
        )
        self.history.changes.append(change)
        if self._random.random() < LOST_ANSWER_SHARE:
            await self._send_and_lose_answer(change, body)
        await self._send_until_decided(change, body)
        if change.answers and self._random.random() < RESEND_SHARE:
            await self._send(change, body)
        return change

    async def _send_and_lose_answer(self, change: SubmittedChange, body: TenantBody) -> None:
        wait_limit = self._random.uniform(0.0, MAX_ANSWER_WAIT_SECONDS)
        try:
            async with asyncio.timeout(wait_limit):
                await self._send(change, body)
        except TimeoutError:
            return

    async def _send_until_decided(self, change: SubmittedChange, body: TenantBody) -> None:
        deadline = _now() + DECISION_TIMEOUT_SECONDS
        while not change.answers and _now() < deadline:
            answer = await self._send(change, body)
            if isinstance(answer, NotDecided):
                await asyncio.sleep(RESEND_PAUSE_SECONDS)

    async def _send(self, change: SubmittedChange, body: TenantBody) -> ChangeAnswer:
        answer = await self._api.put_tenant(
            self._any_replica(), change.tenant, body, change.change_id, change.expected
        )
        if not isinstance(answer, NotDecided):
            if not change.answers:
                change.completed = _now()
            change.answers.append(answer)
        return answer

    async def _time_in_force(self, change: SubmittedChange) -> None:
        wait = await wait_in_force(
            self._api, self._apis, change.change_id, MAX_IN_FORCE_WAIT_SECONDS
        )
        ended = _now()
        measured = InForceTime(
            change_id=change.change_id,
            seconds=ended - change.completed if wait.complete else None,
            accepted=change.completed,
            ended=ended,
            last_words=wait.describe(),
        )
        self.history.in_force.append(measured)

    def _any_replica(self) -> Endpoint:
        return self._random.choice(self._apis())


def _now() -> float:
    return asyncio.get_running_loop().time()


def burst_tenant(example: Example) -> Tenant:
    """Return a tenant of the example's template at addresses where nothing listens.

    Addresses are in the network 127.255.255.0/24, which fleets do not use.
    """
    numbers = itertools.count(1)
    values = dict(example.tenants[0].values)
    for name, parameter in example.template.parameters.items():
        if name not in values:
            continue
        if parameter.shape.type is ParameterType.ADDRESS:
            values[name] = f"127.255.255.{next(numbers)}:4433"
        elif parameter.shape.type is ParameterType.MEMBERS:
            number = next(numbers)
            address = f"127.255.255.{number}:7100"
            values[name] = [{**values[name][0], "host": f"absent-{number}", "address": address}]
    return Tenant(
        name=BURST_TENANT,
        template=example.tenants[0].template,
        template_version=0,
        values=values,
    )
