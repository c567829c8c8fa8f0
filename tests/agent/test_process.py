"""Complete agents on loopback; control, fabric, callers and backends are fakes of this file."""

import asyncio
import contextlib
from pathlib import Path

import msgspec
import pytest
from aiohttp import web

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.backend import READ_BUFFER_BYTES
from jasperwalk.agent.process import Agent
from jasperwalk.agent.relay import RelayClient
from jasperwalk.agent.requests import NotRun, NotRunReason, Request
from jasperwalk.agent.sinks import MAX_UNSENT_BYTES
from jasperwalk.config.table_entries import AdminState
from jasperwalk.messages.codec import Decoder, encode
from jasperwalk.messages.distribution import FromSubscriber, Heartbeat, Snapshot
from jasperwalk.routing.connection_ids import ConnectionIdCodec
from jasperwalk.settings import AgentSettings
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer

ANY_PORT = Endpoint("127.0.0.1", 0)
LIMIT_SECONDS = 10.0
DOWNLOAD = bytes(range(256)) * 4_000
TICKETS = "/.well-known/jasperwalk/tickets"


class FakeControl:
    """Publishes the table as full snapshots."""

    def __init__(self, helpers):
        self.helpers = helpers
        self.revision = 0
        self.members = {}
        self.service = helpers.service_entry()
        hello = make_hello(ConnectionKind.SUBSCRIBER, "control", "test")
        self.server = FramedServer(ANY_PORT, hello, {ConnectionKind.SUBSCRIBER: self._serve})

    def put(self, *members):
        self.revision += 1
        self.members.update({member.address: member for member in members})

    async def _serve(self, connection):
        subscribe = Decoder(FromSubscriber).decode(await connection.receive())
        sent = 0
        while True:
            if sent != self.revision:
                sent = self.revision
                entries = list(self.helpers.KEYS)
                if subscribe.address in self.members:
                    entries += [self.service, *self.members.values()]
                await connection.send(encode(Snapshot(sent, 0, 1, entries)))
            own = self.members.get(subscribe.address)
            incarnation = 0 if own is None else own.incarnation
            await connection.send(encode(Heartbeat(sent, 0, incarnation)))
            await asyncio.sleep(0.02)


class FakeBackend:
    """Counts what ran and what was cancelled; `release` lets waiting requests end."""

    def __init__(self, name):
        self.name = name
        self.ran = {}
        self.cancelled = {}
        self.release = asyncio.Event()
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self._handle)
        self.runner = web.AppRunner(application, access_log=None, handler_cancellation=True)

    async def start(self):
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        return Endpoint(*self.runner.addresses[0][:2])

    async def _handle(self, request):
        path = request.path
        if path == "/health":
            return web.json_response({"status": "ok"})
        if path == "/shed":
            return web.Response(status=503, headers={"jasperwalk-not-run": "1", "retry-after": "7"})
        self.ran[path] = self.ran.get(path, 0) + 1
        try:
            return await self._answer(request, path)
        except asyncio.CancelledError:
            self.cancelled[path] = self.cancelled.get(path, 0) + 1
            raise

    async def _answer(self, request, path):
        body = await request.read()
        if path == "/cut":
            request.transport.abort()
        if path == "/wait":
            await self.release.wait()
        if path in ("/stream", "/half"):
            return await self._stream(request, path)
        if path == "/download":
            return web.Response(body=DOWNLOAD)
        names = ",".join(sorted(name for name in request.headers if "jasperwalk" in name.lower()))
        return web.Response(
            text=f"{self.name} {request.method} {request.path_qs} {body.decode()} {names}",
            headers={"x-back-end": self.name, "jasperwalk-forged": "1"},
        )

    async def _stream(self, request, path):
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"first,")
        await self.release.wait()
        if path == "/half":
            request.transport.abort()
        await response.write(b"last")
        return response


class FakeFabric(asyncio.DatagramProtocol):
    """Fabric and balancer in one: routes by connection ID, new flows by `candidates`.

    Its table dates from the start of the fleet, so after a change it acts as a stale balancer.
    """

    def __init__(self, helpers):
        self.helpers = helpers
        self.codec = ConnectionIdCodec(helpers.KEYS)
        self.callers = []

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        source_cid = data[self.helpers.PROXY_HEADER_LENGTH :]
        for caller in self.callers:
            caller.receive(source_cid, asyncio.get_running_loop().time())

    def caller(self, *candidates):
        caller = self.helpers.Caller(asyncio.get_running_loop().time())
        caller.candidates = candidates
        self.callers.append(caller)
        return caller

    async def until(self, condition):
        loop = asyncio.get_running_loop()
        end = loop.time() + LIMIT_SECONDS
        while not condition() and loop.time() < end:
            for caller in self.callers:
                self._pump(caller, loop.time())
            await asyncio.sleep(0.001)
        assert condition(), "not within the limit"

    def _pump(self, caller, now):
        timer = caller.quic.get_timer()
        if timer is not None and timer <= now:
            caller.quic.handle_timer(now)
            caller.collect()
        for data in caller.datagrams(now):
            connection_id = data[6 : 6 + data[5]] if data[0] & 0x80 else data[1:18]
            routable = self.codec.decode(connection_id)
            target = caller.candidates[0] if routable is None else routable.address
            datagram = self.helpers.forwarded(data, caller.candidates, revision=1)
            self.transport.sendto(datagram, (target.host, target.port))

    async def ask(self, caller, method, path, body=b"", **headers):
        response = caller.responses[caller.request(method, path, body, **headers)]
        await self.until(lambda: response.ended or response.reset)
        return response


class Fleet:
    """Two agents, each with its backend."""

    def __init__(self, helpers, certificate, settings):
        self.helpers = helpers
        self.certificate = certificate
        self.settings = settings
        self.control = FakeControl(helpers)
        self.agents = []
        self.backends = []
        self.tasks = []

    async def start(self, stack, slots):
        await self.control.server.start()
        stack.push_async_callback(self.control.server.close)
        loop = asyncio.get_running_loop()
        transport, self.fabric = await loop.create_datagram_endpoint(
            lambda: FakeFabric(self.helpers), local_addr=("127.0.0.1", 0)
        )
        stack.callback(transport.close)
        fabric_address = Endpoint(*transport.get_extra_info("sockname"))
        for name in ("one", "two"):
            await self._start_agent(stack, name, fabric_address)
        self.control.put(
            *(self.helpers.member_entry(agent.view.address, slots=slots) for agent in self.agents)
        )
        await self.fabric.until(
            lambda: (
                all(agent.view.serving for agent in self.agents)
                or any(task.done() for task in self.tasks)
            )
        )
        for task in self.tasks:
            assert not task.done(), task.exception()

    async def _start_agent(self, stack, name, fabric_address):
        backend = FakeBackend(name)
        stack.push_async_callback(backend.runner.cleanup)
        settings = AgentSettings(
            name=name,
            cluster_id="test",
            zone="dvorana-a",
            listen=ANY_PORT,
            admin_listen=ANY_PORT,
            control=[self.control.server.endpoint],
            backend=await backend.start(),
            fabric=fabric_address,
            certificate_file=Path(self.certificate.certificate),
            private_key_file=Path(self.certificate.private_key),
            **self.settings,
        )
        agent = Agent(settings)
        task = asyncio.ensure_future(agent.run())
        stack.callback(task.cancel)
        self.agents.append(agent)
        self.backends.append(backend)
        self.tasks.append(task)
        await self.fabric.until(lambda: agent.view.address.port != 0)

    async def drain(self, *numbers):
        for number in numbers:
            address = self.agents[number].view.address
            member = self.control.members[address]
            drained = msgspec.structs.replace(member, admin_state=AdminState.DRAINING)
            self.control.put(drained)
        await self.fabric.until(
            lambda: all(
                self.agents[number].view.draining
                and all(agent.view.revision == self.control.revision for agent in self.agents)
                for number in numbers
            )
        )

    def caller(self, first=0):
        addresses = [agent.view.address for agent in self.agents]
        return self.fabric.caller(addresses[first], addresses[1 - first])


def run_with_fleet(helpers, certificate, scenario, slots=2, **settings):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            fleet = Fleet(helpers, certificate, settings)
            await fleet.start(stack, slots)
            await scenario(fleet, fleet.fabric.ask)

    asyncio.run(main())


def test_one_request_to_the_back_end_and_back(helpers, certificate):
    async def scenario(fleet, ask):
        forged = {"jasperwalk_host": "forged", "jasperwalk_request_id": "forged"}
        response = await ask(fleet.caller(), "POST", "/lookup?q=a%20b", b"name", **forged)
        assert response.status == 200
        expected = "one POST /lookup?q=a%20b name jasperwalk-request-id"
        assert response.body.decode() == expected
        assert response.headers["jasperwalk-outcome"] == "answered"
        assert response.headers["jasperwalk-host"] == "one"
        assert "jasperwalk-forged" not in response.headers
        assert "transfer-encoding" not in response.headers

    run_with_fleet(helpers, certificate, scenario)


def test_large_answers_of_many_streams_are_complete(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller()
        responses = await asyncio.gather(*(ask(caller, "GET", "/download") for _ in range(4)))
        assert [response.body == DOWNLOAD for response in responses] == [True] * 4

    run_with_fleet(helpers, certificate, scenario)


OUTCOMES = {
    # method, path, caller's deadline, expected status, outcome, runs, cancelled
    "broken PUT: unknown, run once": ("PUT", "/cut", None, 502, "unknown", 1, 0),
    "broken GET: unknown, run once": ("GET", "/cut", None, 502, "unknown", 1, 0),
    "deadline passes while it runs": ("POST", "/wait", "200", 504, "unknown", 1, 1),
    "shed by the backend": ("POST", "/shed", None, 503, "not-run", 0, 0),
    "deadline of nothing": ("POST", "/lookup", "0", 503, "not-run", 0, 0),
}


@pytest.mark.parametrize("case", OUTCOMES)
def test_outcomes(helpers, certificate, case):
    method, path, deadline, status, outcome, runs, cancelled = OUTCOMES[case]

    async def scenario(fleet, ask):
        headers = {} if deadline is None else {"jasperwalk_deadline_ms": deadline}
        response = await ask(fleet.caller(), method, path, **headers)
        assert (response.status, response.headers["jasperwalk-outcome"]) == (status, outcome)
        assert response.headers["content-type"] == "application/problem+json"
        assert ("retry-after" in response.headers) == (outcome == "not-run")
        ran = sum(backend.ran.get(path, 0) for backend in fleet.backends)
        assert ran == runs
        await fleet.fabric.until(lambda: fleet.backends[0].cancelled.get(path, 0) == cancelled)

    run_with_fleet(helpers, certificate, scenario)


def test_a_late_answer_reaches_no_caller(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller()
        late = await ask(caller, "GET", "/wait", jasperwalk_deadline_ms="150")
        assert late.status == 504
        fleet.backends[0].release.set()
        for number in range(20):
            response = await ask(caller, "GET", f"/lookup?n={number}")
            assert response.body.decode().startswith(f"one GET /lookup?n={number} ")

    run_with_fleet(helpers, certificate, scenario)


def test_a_caller_that_gives_up_cancels_the_work(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller()
        stream_id = caller.request("GET", "/wait")
        await fleet.fabric.until(lambda: fleet.backends[0].ran.get("/wait") == 1)
        caller.quic.stop_stream(stream_id, 0x10C)
        await fleet.fabric.until(lambda: fleet.backends[0].cancelled.get("/wait") == 1)
        assert (await ask(caller, "GET", "/lookup")).status == 200

    run_with_fleet(helpers, certificate, scenario, slots=1)


def test_an_answer_cut_by_the_back_end_is_reset_not_ended(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller()
        response = caller.responses[caller.request("GET", "/half")]
        await fleet.fabric.until(lambda: response.body == b"first,")
        fleet.backends[0].release.set()
        await fleet.fabric.until(lambda: response.reset)
        assert not response.ended

    run_with_fleet(helpers, certificate, scenario)


def test_what_a_full_host_refuses_did_not_run(helpers, certificate):
    async def scenario(fleet, ask):
        await fleet.drain(1)  # so that nothing is retried there
        caller = fleet.caller()
        streams = [caller.request("POST", "/wait", b"x") for _ in range(12)]
        responses = [caller.responses[stream] for stream in streams]
        await fleet.fabric.until(lambda: sum(response.ended for response in responses) == 11)
        fleet.backends[0].release.set()
        await fleet.fabric.until(lambda: all(response.ended for response in responses))
        outcomes = [response.headers["jasperwalk-outcome"] for response in responses]
        assert outcomes.count("answered") == 1
        assert outcomes.count("not-run") == 11
        assert fleet.backends[0].ran["/wait"] == 1
        assert "/wait" not in fleet.backends[1].ran

    run_with_fleet(helpers, certificate, scenario, slots=1)


def test_what_provably_did_not_run_is_run_elsewhere(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller()
        assert (await ask(caller, "GET", "/lookup")).headers["jasperwalk-host"] == "one"
        await fleet.backends[0].runner.cleanup()
        response = await ask(caller, "POST", "/submit", b"names")
        assert (response.status, response.headers["jasperwalk-host"]) == (200, "two")
        assert fleet.backends[1].ran == {"/submit": 1}

    run_with_fleet(helpers, certificate, scenario)


def test_a_draining_host_completes_its_streams_and_gets_no_new_work(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller()
        stream = caller.responses[caller.request("GET", "/stream")]
        await fleet.fabric.until(lambda: stream.body == b"first,")
        await fleet.drain(0)
        for path in ("/lookup", "/submit", "/download"):
            response = await ask(caller, "POST", path, b"x")
            assert (response.status, response.headers["jasperwalk-host"]) == (200, "two")
        assert fleet.backends[0].ran == {"/stream": 1}
        fleet.backends[0].release.set()
        await fleet.fabric.until(lambda: stream.ended)
        assert stream.body == b"first,last"
        new_flow = await ask(fleet.caller(), "GET", "/lookup")
        assert new_flow.headers["jasperwalk-host"] == "two"
        assert [agent.endpoint.open_flows for agent in fleet.agents] == [1, 1]

    run_with_fleet(helpers, certificate, scenario)


def test_a_member_removed_from_its_pool_completes_its_streams(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller()
        stream = caller.responses[caller.request("GET", "/stream")]
        await fleet.fabric.until(lambda: stream.body == b"first,")
        fleet.control.members.pop(fleet.agents[0].view.address)
        fleet.control.put()
        await fleet.fabric.until(lambda: fleet.agents[0].view.draining)
        response = await ask(caller, "POST", "/submit", b"x")
        assert (response.status, response.headers["jasperwalk-host"]) == (200, "two")
        fleet.backends[0].release.set()
        await fleet.fabric.until(lambda: stream.ended)
        assert stream.body == b"first,last"
        assert fleet.backends[0].ran == {"/stream": 1}

    run_with_fleet(helpers, certificate, scenario)


def test_with_every_host_draining_requests_are_refused_and_not_relayed_in_a_loop(
    helpers, certificate
):
    async def scenario(fleet, ask):
        caller = fleet.caller()
        assert (await ask(caller, "GET", "/lookup")).status == 200
        await fleet.drain(0, 1)
        response = await ask(caller, "POST", "/submit", b"x")
        assert (response.status, response.headers["jasperwalk-outcome"]) == (503, "not-run")
        assert all("/submit" not in backend.ran for backend in fleet.backends)

    run_with_fleet(helpers, certificate, scenario)


def test_a_draining_target_refuses_what_is_relayed_to_it(helpers, certificate):
    async def scenario(fleet, ask):
        await fleet.drain(0)
        request = Request("r", "POST", "/submit", "", [], b"x", 1000, False)
        client = RelayClient("test", "test")
        target = fleet.agents[0].view.address
        for service_id, reason in ((helpers.SERVICE_ID, "draining"), (9, "no-service")):
            outcome = await client.run(target, service_id, request, None)
            assert outcome == NotRun(NotRunReason(reason))
        assert fleet.backends[0].ran == {}

    run_with_fleet(helpers, certificate, scenario)


def test_the_default_deadline_bounds_the_head_and_not_a_stream(helpers, certificate):
    async def scenario(fleet, ask):
        limits = msgspec.structs.replace(fleet.control.service.limits, request_deadline_ms=200)
        fleet.control.service = msgspec.structs.replace(fleet.control.service, limits=limits)
        await fleet.drain(1)
        caller = fleet.caller()
        stream = caller.responses[caller.request("GET", "/stream")]
        assert (await ask(caller, "GET", "/wait")).status == 504
        await asyncio.sleep(0.2)
        fleet.backends[0].release.set()
        await fleet.fabric.until(lambda: stream.ended or stream.reset)
        assert stream.body == b"first,last"

    run_with_fleet(helpers, certificate, scenario)


def test_a_slow_caller_limits_what_is_read_from_the_backend(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller()
        assert (await ask(caller, "GET", "/lookup")).status == 200
        caller.request("GET", "/download")
        await fleet.fabric.until(lambda: "/download" in fleet.backends[0].ran)
        await asyncio.sleep(0.2)  # the caller acknowledges nothing
        flow = next(iter(fleet.agents[0].endpoint._flows))
        unsent = max(len(s.sender._buffer) for s in flow.connection._streams.values())
        assert 0 < unsent <= MAX_UNSENT_BYTES + READ_BUFFER_BYTES * 4

    run_with_fleet(helpers, certificate, scenario)


def test_a_planned_stop_cuts_no_request(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller()
        stream = caller.responses[caller.request("GET", "/stream")]
        await fleet.fabric.until(lambda: stream.body == b"first,")
        fleet.agents[0].stop()
        await fleet.fabric.until(lambda: fleet.agents[0].view.stopping)
        relayed = await ask(caller, "GET", "/lookup")
        assert relayed.headers["jasperwalk-host"] == "two"
        assert not fleet.tasks[0].done()
        fleet.backends[0].release.set()
        await fleet.fabric.until(lambda: stream.ended and fleet.tasks[0].done())
        assert stream.body == b"first,last"

    run_with_fleet(helpers, certificate, scenario)


def test_a_stop_with_a_grace_ends_within_it_and_tells_its_callers(helpers, certificate):
    """Otherwise a supervisor that kills after its time-out would break requests without notice."""

    async def scenario(fleet, ask):
        caller = fleet.caller()
        stream = caller.responses[caller.request("GET", "/stream")]
        await fleet.fabric.until(lambda: stream.body == b"first,")
        fleet.agents[0].stop()
        await fleet.fabric.until(lambda: fleet.tasks[0].done() and caller.terminated is not None)
        assert fleet.backends[0].cancelled == {"/stream": 1}
        assert not stream.ended

    run_with_fleet(helpers, certificate, scenario, stop_grace_ms=300)


@pytest.mark.parametrize("how", ["lent", "relayed"])
def test_a_planned_stop_cuts_no_request_of_another_agent(helpers, certificate, how):
    async def scenario(fleet, ask):
        caller = fleet.caller(0)
        if how == "relayed":
            await fleet.drain(0)
        else:
            caller.request("GET", "/wait")
            await fleet.fabric.until(lambda: fleet.backends[0].ran.get("/wait") == 1)
        stream = caller.responses[caller.request("GET", "/stream")]
        await fleet.fabric.until(lambda: stream.body == b"first,")
        assert fleet.backends[1].ran == {"/stream": 1}
        fleet.agents[1].stop()
        await fleet.fabric.until(lambda: fleet.agents[1].view.stopping)
        await asyncio.sleep(0.2)
        assert not fleet.tasks[1].done()
        fleet.backends[1].release.set()
        await fleet.fabric.until(lambda: stream.ended and fleet.tasks[1].done())
        assert stream.body == b"first,last"

    run_with_fleet(helpers, certificate, scenario, slots=1)


async def _new_ticket(ask, caller):
    response = await ask(caller, "POST", TICKETS)
    assert response.status == 201
    return msgspec.json.decode(response.body)["ticket"]


def test_a_ticket_runs_once_and_repeats_its_outcome_from_anywhere(helpers, certificate):
    async def scenario(fleet, ask):
        caller, elsewhere = fleet.caller(0), fleet.caller(1)
        ticket = await _new_ticket(ask, caller)
        first = await ask(caller, "POST", "/submit", b"names", idempotency_key=ticket)
        for again in (caller, elsewhere):
            resend = await ask(again, "POST", "/submit", b"names", idempotency_key=ticket)
            assert (resend.status, resend.body) == (200, first.body)
            other = await ask(again, "POST", "/submit", b"OTHER", idempotency_key=ticket)
            assert other.status == 422
        assert fleet.backends[0].ran == {"/submit": 1}
        assert fleet.backends[1].ran == {}

    run_with_fleet(helpers, certificate, scenario)


def test_a_resend_after_a_broken_flow_gets_the_first_outcome(helpers, certificate):
    async def scenario(fleet, ask):
        caller, elsewhere = fleet.caller(0), fleet.caller(1)
        ticket = await _new_ticket(ask, caller)
        caller.request("POST", "/wait", b"names", idempotency_key=ticket)
        await fleet.fabric.until(lambda: fleet.backends[0].ran.get("/wait") == 1)
        caller.quic.close()
        resend = elsewhere.request("POST", "/wait", b"names", idempotency_key=ticket)
        await fleet.fabric.until(lambda: fleet.agents[0].endpoint.open_flows == 0)
        fleet.backends[0].release.set()
        response = elsewhere.responses[resend]
        await fleet.fabric.until(lambda: response.ended)
        assert response.status == 200
        assert response.body.startswith(b"one POST /wait names")
        assert (fleet.backends[0].ran, fleet.backends[0].cancelled) == ({"/wait": 1}, {})

    run_with_fleet(helpers, certificate, scenario)


def test_without_its_home_a_ticket_is_unknown_and_never_run(helpers, certificate):
    async def scenario(fleet, ask):
        caller, elsewhere = fleet.caller(0), fleet.caller(1)
        ticket = await _new_ticket(ask, caller)
        fleet.tasks[0].cancel()
        await fleet.fabric.until(fleet.tasks[0].done)
        response = await ask(elsewhere, "POST", "/submit", b"names", idempotency_key=ticket)
        assert (response.status, response.headers["jasperwalk-outcome"]) == (504, "unknown")
        assert all(backend.ran == {} for backend in fleet.backends)

    run_with_fleet(helpers, certificate, scenario)


def test_a_ticket_of_an_earlier_incarnation_is_unknown_and_never_run(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller(0)
        ticket = await _new_ticket(ask, caller)
        own = fleet.control.members[fleet.agents[0].view.address]
        fleet.control.put(msgspec.structs.replace(own, incarnation=2))
        await fleet.fabric.until(lambda: fleet.agents[0].view.incarnation == 2)
        response = await ask(caller, "POST", "/submit", b"names", idempotency_key=ticket)
        assert (response.status, response.headers["jasperwalk-outcome"]) == (504, "unknown")
        assert all(backend.ran == {} for backend in fleet.backends)

    run_with_fleet(helpers, certificate, scenario)


def test_a_draining_home_repeats_outcomes_but_runs_no_new_ticket(helpers, certificate):
    async def scenario(fleet, ask):
        caller = fleet.caller(0)
        used, unused = await _new_ticket(ask, caller), await _new_ticket(ask, caller)
        first = await ask(caller, "POST", "/submit", b"names", idempotency_key=used)
        await fleet.drain(0)
        again = await ask(caller, "POST", "/submit", b"names", idempotency_key=used)
        assert again.body == first.body
        refused = await ask(caller, "POST", "/submit", b"more", idempotency_key=unused)
        assert (refused.status, refused.headers["jasperwalk-outcome"]) == (503, "not-run")
        fresh = await _new_ticket(ask, caller)
        answered = await ask(caller, "POST", "/submit", b"more", idempotency_key=fresh)
        assert answered.headers["jasperwalk-host"] == "two"
        assert fleet.backends[0].ran == {"/submit": 1}

    run_with_fleet(helpers, certificate, scenario)


def test_an_idempotency_key_that_is_no_ticket_is_refused(helpers, certificate):
    async def scenario(fleet, ask):
        response = await ask(fleet.caller(), "POST", "/submit", b"x", idempotency_key="mine")
        assert (response.status, response.headers["jasperwalk-outcome"]) == (400, "not-run")
        assert fleet.backends[0].ran == {}

    run_with_fleet(helpers, certificate, scenario)
