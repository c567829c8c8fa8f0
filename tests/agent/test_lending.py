"""Lending slots over loopback connections, with tables of faults of lender and requester."""

import asyncio
import contextlib
import random

import msgspec
import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent import lending
from jasperwalk.agent.admission import Admission, AdmissionLimits
from jasperwalk.agent.borrower import OwnSlot, SlotBorrower
from jasperwalk.agent.health import BackendHealth
from jasperwalk.agent.lender import SlotLender
from jasperwalk.agent.lending import (
    LentRequest,
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    serve_lending,
)
from jasperwalk.agent.lending_client import BorrowedSlot, IdleLinks, LendingClient, LendingLink
from jasperwalk.agent.local_runner import LocalRunner
from jasperwalk.agent.peer_slots import PeerSlots
from jasperwalk.agent.relay import RelayClient
from jasperwalk.agent.relay_messages import ANSWER_DECODER, RelayNotRun
from jasperwalk.agent.relay_server import serve_relay
from jasperwalk.agent.requests import (
    Answered,
    NotRun,
    NotRunReason,
    Request,
    Unknown,
    UnknownReason,
)
from jasperwalk.agent.runner import RequestRunner
from jasperwalk.agent.slot_allocator import SlotAllocator
from jasperwalk.agent.tickets import TICKET_PATH
from jasperwalk.config.table_entries import AdminState, Objective, OperatingStatus
from jasperwalk.errors import JasperwalkError
from jasperwalk.messages.codec import encode
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer

ANY_PORT = Endpoint("127.0.0.1", 0)
LIMIT_SECONDS = 10.0
SEED = 4_711


class FakeBackend:
    """Answers at once, but `/hold` only once `release` is set."""

    def __init__(self):
        self.ran = []
        self.cancelled = []
        self.release = asyncio.Event()

    async def run(self, request, deadline_at, sink, on_head):
        self.ran.append(request.request_id)
        try:
            if request.path == "/hold":
                await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.request_id)
            raise
        on_head()
        await sink.head(200, [])
        await sink.data(b"whole")
        await sink.end()
        return Answered(200)


class FakeSink:
    def __init__(self):
        self.body = b""

    async def head(self, status, headers):
        pass

    async def data(self, data):
        self.body += data

    async def end(self):
        pass


class LendingAgent:
    """The components of one agent between its flows and its backend."""

    def __init__(self, serve=None, slots=1, lend=True):
        loop = asyncio.get_running_loop()
        source = random.Random(SEED)
        self.view = None
        self.backend = FakeBackend()
        self.health = BackendHealth(1)
        self.allocator = SlotAllocator(Admission(AdmissionLimits(slots, 4, 5_000)))
        peers = PeerSlots(source)
        client = RelayClient("test", "test")
        local = LocalRunner(self.backend, self.allocator, self.health, loop.time)
        parts = (peers, lambda: self.view, loop.time, lend)
        self.lender = SlotLender(self.allocator, self.health, local, *parts)
        self.borrower = SlotBorrower(self.allocator, LendingClient(client, loop.time), *parts)
        self.runner = RequestRunner(
            local, self.allocator, self.borrower, client, lambda: self.view, loop.time, source
        )
        hello = make_hello(ConnectionKind.RELAY, "test", "test")
        serve = serve or (lambda connection: serve_lending(connection, self.lender))
        handlers = {
            ConnectionKind.LENDING: serve,
            ConnectionKind.RELAY: lambda link: serve_relay(link, self.runner.run_relayed),
        }
        self.server = FramedServer(ANY_PORT, hello, handlers)

    @property
    def free_slots(self):
        return self.allocator.admission.free_slots

    def start(self, request_id, method="GET", path="/hold", **headers):
        fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
        request = Request(request_id, method, path, "", fields, b"", 5_000, False)
        return asyncio.ensure_future(self.runner.run(request, FakeSink()))


async def until(condition):
    async with asyncio.timeout(LIMIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.001)


def run_with_agents(helpers, scenario, *agents, objective=Objective.LEAST_IMBALANCE):
    """Run `scenario` on agents built from these options; the slot of the first one is in use."""

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            built = [LendingAgent(**options) for options in agents]
            for agent in built:
                await agent.server.start()
                stack.push_async_callback(agent.server.close)
            members = [helpers.member_entry(agent.server.endpoint) for agent in built]
            for number, agent in enumerate(built):
                others = members[:number] + members[number + 1 :]
                agent.view = helpers.make_view(members[number], *others)
                service = msgspec.structs.replace(agent.view.service, objective=objective)
                _replace_view(agent, service=service)
            first = built[0].start("first")
            await until(lambda: built[0].backend.ran == ["first"])
            await scenario(*built)
            for agent in built:
                agent.backend.release.set()
            assert await first == Answered(200)
            await until(lambda: all(agent.allocator.admission.running == 0 for agent in built))

    asyncio.run(main())


def test_a_request_that_waits_runs_in_a_slot_of_another_member(helpers):
    async def scenario(requester, lender):
        second, third = requester.start("second"), requester.start("third")
        await until(lambda: lender.backend.ran)
        assert (requester.free_slots, requester.allocator.admission.waiting, lender.free_slots) == (
            0,
            1,
            0,
        )
        lender.backend.release.set()
        assert await asyncio.gather(second, third) == [Answered(200)] * 2
        assert sorted(requester.backend.ran + lender.backend.ran) == ["first", "second", "third"]
        assert (requester.borrower.borrowed, lender.lender.lent) == (2, 2)

    run_with_agents(helpers, scenario, {}, {})


@pytest.mark.parametrize("own_slot_comes", [True, False])
def test_where_broken_flows_weigh_most_the_own_slot_comes_first(helpers, own_slot_comes):
    async def scenario(requester, lender):
        second = requester.start("second")
        await asyncio.sleep(0)
        if own_slot_comes:
            requester.backend.release.set()
        lender.backend.release.set()
        assert await second == Answered(200)
        assert lender.lender.lent == (0 if own_slot_comes else 1)
        assert bool(requester.borrower.asked) != own_slot_comes

    run_with_agents(helpers, scenario, {}, {}, objective=Objective.FEWEST_BROKEN_FLOWS)


def _draining(agent):
    member = msgspec.structs.replace(agent.view.member, admin_state=AdminState.DRAINING)
    _replace_view(agent, member=member)


def _offline(agent):
    member = msgspec.structs.replace(agent.view.member, operating_status=OperatingStatus.OFFLINE)
    _replace_view(agent, member=member)


def _other_service(agent):
    _replace_view(agent, service=msgspec.structs.replace(agent.view.service, service_id=9))


def _replace_view(agent, **changes):
    agent.view = type(agent.view)(**{**vars(agent.view), **changes})


LENDERS_THAT_REFUSE = {
    "draining": _draining,
    "stopping": lambda agent: _replace_view(agent, stopping=True),
    "offline in its own table": _offline,
    "of another service": _other_service,
    "not registered": lambda agent: _replace_view(agent, incarnation=0),
    "back end down": lambda agent: agent.health.request_refused(),
    "shedding": lambda agent: agent.allocator.admission.shed(asyncio.get_running_loop().time()),
    "full": lambda agent: agent.start("own"),
}


@pytest.mark.parametrize("case", LENDERS_THAT_REFUSE)
def test_a_lender_that_may_not_lend_refuses_and_the_own_slot_serves(helpers, case):
    async def scenario(requester, lender):
        LENDERS_THAT_REFUSE[case](lender)
        await asyncio.sleep(0)
        second = requester.start("second")
        await until(lambda: requester.borrower.asked)
        requester.backend.release.set()
        assert await second == Answered(200)
        assert requester.backend.ran == ["first", "second"]
        assert "second" not in lender.backend.ran
        assert lender.lender.open_slots == 0

    run_with_agents(helpers, scenario, {}, {})


@pytest.mark.parametrize("options", [({"lend": False}, {}), ({}, {"lend": False})])
def test_the_setting_turns_off_asking_and_lending(helpers, options):
    async def scenario(requester, lender):
        second = requester.start("second")
        await asyncio.sleep(0.05)
        assert bool(requester.borrower.asked) == ("lend" not in options[0])
        requester.backend.release.set()
        assert await second == Answered(200)
        assert lender.backend.ran == []

    run_with_agents(helpers, scenario, *options)


async def _grant_and_close(connection):
    await connection.receive()
    await connection.send(encode(SlotGrant(0)))


async def _take_request_and_close(connection):
    await _grant_and_close(connection)
    await connection.receive()


async def _grant_and_refuse(connection):
    await _take_request_and_close(connection)
    await connection.send(encode(RelayNotRun(NotRunReason.BACKEND_UNREACHABLE, 100)))


async def _take_request_and_send_garbage(connection):
    await _take_request_and_close(connection)
    await connection.send(b"\xff")


LOST = Unknown(UnknownReason.RELAY_FAILED)
FAILING_LENDERS = {
    # lender, method, outcome, runs at the requester
    "closes after the grant, POST": (_grant_and_close, "POST", LOST, 0),
    "closes after the grant, GET": (_grant_and_close, "GET", LOST, 0),
    "closes after the request, POST": (_take_request_and_close, "POST", LOST, 0),
    "closes after the request, GET": (_take_request_and_close, "GET", LOST, 0),
    "sends nonsense, POST": (_take_request_and_send_garbage, "POST", LOST, 0),
    "refuses after the grant, POST": (_grant_and_refuse, "POST", Answered(200), 1),
    "closes without an answer, POST": (lambda c: c.receive(), "POST", Answered(200), 1),
}


@pytest.mark.parametrize("case", FAILING_LENDERS)
def test_only_what_a_failing_lender_provably_did_not_run_runs_at_the_requester(helpers, case):
    serve, method, outcome, runs = FAILING_LENDERS[case]

    async def scenario(requester, _):
        second = requester.start("second", method=method, path="/lookup")
        await until(lambda: requester.borrower.asked)
        # Its own slot becomes free after the lender has acted.
        await asyncio.sleep(0.05)
        requester.backend.release.set()
        assert await second == outcome
        assert requester.backend.ran.count("second") == runs

    run_with_agents(helpers, scenario, {}, {"serve": serve})


def test_a_ticket_stays_with_its_home_when_its_lender_is_lost(helpers):
    async def scenario(requester, _):
        sink = FakeSink()
        issue = Request("issue", "POST", TICKET_PATH, "", [], b"", 5_000, False)
        await requester.runner.run(issue, sink)
        ticket = msgspec.json.decode(sink.body)["ticket"]
        headers = {"method": "POST", "path": "/names", "idempotency_key": ticket}
        assert await requester.start("second", **headers) == LOST
        requester.backend.release.set()
        await until(lambda: requester.free_slots == 1)
        again = await requester.start("third", **headers)
        assert again == Unknown(UnknownReason.OUTCOME_NOT_KEPT)
        assert requester.backend.ran == ["first"]

    run_with_agents(helpers, scenario, {}, {"serve": _take_request_and_close})


def test_cancelling_a_lent_request_ends_it_at_the_lender(helpers):
    async def scenario(requester, lender):
        second = requester.start("second")
        await until(lambda: lender.backend.ran == ["second"])
        second.cancel()
        await until(lambda: lender.backend.cancelled == ["second"])
        await until(lambda: lender.free_slots == 1 and not lender.lender.open_slots)
        assert requester.allocator.admission.waiting == 0

    run_with_agents(helpers, scenario, {}, {})


ENDS_DURING_A_SLOT_REQUEST = {
    "the own slot comes first": lambda requester, _: requester.backend.release.set(),
    "the requester cancels": lambda _, second: second.cancel(),
}


@pytest.mark.parametrize("late_turns", range(4))
@pytest.mark.parametrize("case", ENDS_DURING_A_SLOT_REQUEST)
def test_a_slot_that_comes_too_late_is_given_back_and_nothing_runs_twice(helpers, case, late_turns):
    asked, go_on, closed = asyncio.Event(), asyncio.Event(), asyncio.Event()
    requests = []

    async def serve(connection):
        await connection.receive()
        asked.set()
        await go_on.wait()
        await connection.send(encode(SlotGrant(0)))
        with contextlib.suppress(JasperwalkError):
            requests.append(await connection.receive())
        closed.set()

    async def scenario(requester, _):
        second = requester.start("second")
        await asked.wait()
        go_on.set()
        for _ in range(late_turns):  # the grant and the other event arrive in different orders
            await asyncio.sleep(0)
        ENDS_DURING_A_SLOT_REQUEST[case](requester, second)
        await asyncio.wait([second])
        await asyncio.wait_for(closed.wait(), LIMIT_SECONDS)
        assert requester.backend.ran.count("second") + len(requests) <= 1
        assert requester.allocator.admission.waiting == 0

    run_with_agents(helpers, scenario, {}, {"serve": serve})


@pytest.mark.parametrize("leaves", [True, False])
def test_a_granted_slot_that_is_not_used_is_free_again(helpers, monkeypatch, leaves):
    monkeypatch.setattr(lending, "RESERVATION_SECONDS", 5.0 if leaves else 0.02)

    async def scenario(requester, lender):
        member = lender.server.endpoint
        client = RelayClient("test", "test")
        connection = await client.open(member, ConnectionKind.LENDING, 1.0)
        await connection.send(
            encode(SlotRequest(helpers.SERVICE_ID, requester.server.endpoint.pack()))
        )
        await connection.receive()
        assert lender.free_slots == 0
        if leaves:
            connection.abort()
        await until(lambda: lender.free_slots == 1)
        if not leaves:
            late = Request("late", "POST", "/late", "", [], b"", 1_000, False)
            await connection.send(encode(LentRequest(late)))
            answer = ANSWER_DECODER.decode(await connection.receive())
            assert answer == RelayNotRun(NotRunReason.SLOT_EXPIRED, 100)
            connection.abort()
        assert (lender.backend.ran, lender.lender.open_slots) == ([], 0)

    run_with_agents(helpers, scenario, {}, {})


def test_own_requests_of_a_lender_wait_for_the_lent_slot_alone_and_borrow_in_turn(helpers):
    async def scenario(requester, lender):
        requester.start("second")
        await until(lambda: lender.backend.ran == ["second"])
        own = lender.start("own")
        refused = SlotRequest(helpers.SERVICE_ID, requester.server.endpoint.pack())
        await asyncio.sleep(0)
        assert lender.allocator.admission.waiting == 1
        assert lender.lender.reserve(refused) is None
        requester.backend.release.set()
        assert await own == Answered(200)
        assert "own" in requester.backend.ran

    run_with_agents(helpers, scenario, {}, {})


def test_a_request_that_the_own_queue_refuses_runs_where_a_slot_is_free(helpers):
    async def scenario(requester, lender):
        for agent in (requester, lender):
            agent.allocator.admission.set_limits(AdmissionLimits(1, 0, 5_000), 0.0)
        assert await requester.start("second", method="POST", path="/names") == Answered(200)
        lender.start("own")
        await until(lambda: lender.backend.ran == ["second", "own"])
        refused = await requester.start("third", method="POST", path="/names")
        assert isinstance(refused, NotRun)
        assert "third" not in requester.backend.ran + lender.backend.ran

    run_with_agents(helpers, scenario, {}, {})


class FakeLendingClient:
    """Grants a slot once `grant` is set; also its connection, which counts aborts."""

    def __init__(self):
        self.grant = asyncio.Event()
        self.aborted = 0

    async def ask(self, member, ask):
        await self.grant.wait()
        return BorrowedSlot(0, LendingLink(member, self, 0.0), None)

    def abort(self):
        self.aborted += 1


@pytest.mark.parametrize("grant_first", [True, False])
@pytest.mark.parametrize("turns_between", range(4))
def test_of_two_slots_that_come_together_one_is_used(helpers, grant_first, turns_between):
    async def main():
        loop = asyncio.get_running_loop()
        allocator, requester = (
            SlotAllocator(Admission(AdmissionLimits(1, 4, 5_000))),
            FakeLendingClient(),
        )
        view = helpers.make_view(
            helpers.member_entry(helpers.AGENT), helpers.member_entry(helpers.OTHER_AGENT)
        )
        peers = PeerSlots(random.Random(SEED))
        borrower = SlotBorrower(allocator, requester, peers, lambda: view, loop.time, True)
        await borrower.acquire("first", loop.time() + 60)
        second = asyncio.ensure_future(borrower.acquire("second", loop.time() + 60))
        await until(lambda: borrower.asked)
        ends = [requester.grant.set, lambda: allocator.release("first")]
        for end in ends if grant_first else reversed(ends):
            end()
            for _ in range(turns_between):
                await asyncio.sleep(0)
        slot = await second
        await asyncio.sleep(0)
        used_here = slot == OwnSlot("second")
        assert (allocator.admission.running, allocator.admission.waiting) == (int(used_here), 0)
        assert requester.aborted == int(used_here and borrower.borrowed == 1)

    asyncio.run(main())


def test_a_connection_is_reused_only_after_a_refusal_or_a_complete_answer(helpers):
    opened = []

    async def scenario(requester, lender):
        async def ask():
            request = SlotRequest(helpers.SERVICE_ID, requester.server.endpoint.pack())
            return await lending_client.ask(lender.server.endpoint, request)

        async def open_one(*arguments):
            opened.append(await client_open(*arguments))
            return opened[-1]

        client = RelayClient("test", "test")
        client_open, client.open = client.open, open_one
        lending_client = LendingClient(client, asyncio.get_running_loop().time)
        own = lender.start("own")
        assert await ask() == await ask() == SlotRefusal()
        lender.backend.release.set()
        await own
        for number in range(5):
            slot = await ask()
            lookup = Request(f"lent-{number}", "GET", "/lookup", "", [], b"", 1_000, False)
            assert await slot.run(lookup, FakeSink()) == Answered(200)
        assert len(opened) == 1
        (await ask()).give_back()
        await until(lambda: lender.free_slots == 1)
        slot = await ask()
        assert len(opened) == 2
        for link in opened:  # as if the lender had closed the idle connections
            link.abort()
        lookup = Request("cut", "POST", "/names", "", [], b"", 1_000, False)
        assert await slot.run(lookup, FakeSink()) == LOST
        await until(lambda: lender.free_slots == 1)
        lending_client._idle.keep(slot.link)
        assert isinstance(await ask(), BorrowedSlot)
        assert len(opened) == 3
        opened[-1].abort()
        lending_client.close()

    run_with_agents(helpers, scenario, {}, {})


class FakeConnection:
    aborted = False

    def abort(self):
        self.aborted = True


def test_kept_connections_are_few_and_not_old(helpers):
    now = 0.0
    idle = IdleLinks(lambda: now)
    links = [LendingLink(helpers.AGENT, FakeConnection(), 0.0) for _ in range(5)]
    for link in links:
        idle.keep(link)
    assert [link.connection.aborted for link in links] == [True] + [False] * 4
    assert idle.take(helpers.OTHER_AGENT) is None
    assert idle.take(helpers.AGENT).connection is links[-1].connection
    now = 11.0
    assert idle.take(helpers.AGENT) is None
    assert [link.connection.aborted for link in links] == [True] * 4 + [False]
    now = 61.0
    idle.keep(links[-1])
    assert idle.take(helpers.AGENT) is None
