import socket

import pytest

from jasperwalk.balancer.segments import (
    MAX_SEGMENTS,
    MAX_SEND_BYTES,
    send_run,
    split_runs,
)


@pytest.mark.parametrize(
    ("lengths", "runs"),
    [
        ([], []),
        ([0, 0], [1, 1]),
        ([5], [1]),
        ([5, 5, 5], [3]),
        ([5, 5, 6, 5, 5], [2, 1, 2]),
        ([9] * (MAX_SEGMENTS + 2), [MAX_SEGMENTS, 2]),
        ([1_300] * 60, [50, 10]),
        ([MAX_SEND_BYTES + 1] * 2, [1, 1]),
    ],
)
def test_runs_keep_the_order_and_the_kernels_limits(lengths, runs):
    datagrams = [bytes([number]) * length for number, length in enumerate(lengths)]
    split = list(split_runs(datagrams))
    assert [len(run) for run in split] == runs
    assert [datagram for run in split for datagram in run] == datagrams


@pytest.mark.parametrize(("length", "count"), [(1, 2), (1_226, 53), (1_000, MAX_SEGMENTS)])
def test_a_run_arrives_as_the_datagrams_that_it_holds(length, count):
    run = [bytes([number]) * length for number in range(count)]
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as agent,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        agent.bind(("127.0.0.1", 0))
        agent.settimeout(10)
        sender.connect(agent.getsockname())
        send_run(sender, run)
        assert [agent.recv(65_536) for _ in run] == run
