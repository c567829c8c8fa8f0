"""Several replicas are dialled one after the other, and the first that answers is used."""

import asyncio
import contextlib

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.fleet.dialing import DialledReplica, dial_first
from jasperwalk.transport.errors import ConnectFailed
from jasperwalk.transport.framed import FramedConnection

A, B, C = (Endpoint("10.0.0.1", port) for port in (1, 2, 3))


class Connection(FramedConnection):
    """A connection without a socket."""

    def __init__(self, replica):
        self.replica, self.aborted = replica, False

    def abort(self):
        self.aborted = True


class Replicas:
    """Replicas that answer, refuse, hang, or answer although the attempt was cancelled."""

    def __init__(self, **behaviour):
        self.behaviour = {
            Endpoint("10.0.0.1", int(port[1:])): how for port, how in behaviour.items()
        }
        self.dialled, self.opened = [], []

    async def dial(self, replica):
        self.dialled.append(replica)
        how = self.behaviour[replica]
        if how == "refuse":
            raise ConnectFailed(endpoint=str(replica), reason="refused")
        if how == "hang":
            await asyncio.Event().wait()
        if how == "late":
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.Event().wait()
        connection = Connection(replica)
        self.opened.append(connection)
        return connection


@pytest.mark.parametrize(
    ("behaviour", "taken", "dialled"),
    [
        ({"p1": "answer", "p2": "answer", "p3": "answer"}, A, [A]),
        ({"p1": "refuse", "p2": "answer", "p3": "answer"}, B, [A, B]),
        ({"p1": "hang", "p2": "answer", "p3": "answer"}, B, [A, B]),
        ({"p1": "hang", "p2": "hang", "p3": "answer"}, C, [A, B, C]),
        ({"p1": "refuse", "p2": "refuse", "p3": "refuse"}, None, [A, B, C]),
        ({"p1": "late", "p2": "answer", "p3": "answer"}, B, [A, B]),
    ],
)
def test_the_first_that_answers_is_taken(behaviour, taken, dialled):
    replicas = Replicas(**behaviour)
    outcome = asyncio.run(dial_first([A, B, C], replicas.dial, 0.01))
    assert replicas.dialled == dialled
    if taken is None:
        assert outcome is None
        return
    assert isinstance(outcome, DialledReplica)
    assert outcome.replica == taken
    assert [each.replica for each in replicas.opened if not each.aborted] == [taken]


def test_without_replicas_nothing_is_dialled():
    assert asyncio.run(dial_first([], Replicas().dial)) is None


def test_a_failure_that_is_no_failure_of_the_link_is_raised():
    async def broken(_replica):
        raise ValueError

    with pytest.raises(ValueError):
        asyncio.run(dial_first([A], broken))


def test_dialing_that_is_cancelled_leaves_no_connection():
    replicas = Replicas(p1="late")

    async def scenario():
        dialing = asyncio.create_task(dial_first([A], replicas.dial))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        dialing.cancel()
        await asyncio.gather(dialing, return_exceptions=True)

    asyncio.run(scenario())
    assert all(each.aborted for each in replicas.opened)
