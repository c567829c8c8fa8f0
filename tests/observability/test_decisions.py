import os

import pytest
from structlog.testing import capture_logs

from jasperwalk.observability.decisions import DecisionLog, affordable_lines_per_second
from jasperwalk.observability.output import PENDING_LIMIT_BYTES, NonBlockingOutput


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def test_lines_beyond_the_budget_are_dropped_and_counted_in_the_next_line():
    clock = Clock()
    log = DecisionLog(clock, lines_per_second=2.0, burst_lines=3.0)
    with capture_logs() as lines:
        for number in range(10):
            log.note("flow-opened", number=number)
        clock.now = 1.0
        log.note("flow-opened", number=10)
    assert [line["number"] for line in lines] == [0, 1, 2, 10]
    assert lines[-1]["lines_dropped_before"] == 7
    assert log.dropped == 7


def test_a_stalled_reader_does_not_block_the_writer_and_gets_complete_lines():
    reading, writing = os.pipe()
    output = NonBlockingOutput(writing)
    line = "x" * 999 + "\n"
    written = 0
    while not output.dropped:
        output.write(line)
        written += 1
        assert written < 10_000
    received = b""
    while len(received) < (written - output.dropped) * len(line) - PENDING_LIMIT_BYTES:
        received += os.read(reading, 65536)
    output.write("last\n")
    os.set_blocking(reading, False)
    while True:
        output.flush()
        try:
            received += os.read(reading, 65536)
        except BlockingIOError:
            break
    lines = received.decode().splitlines()
    assert lines[-1] == "last"
    assert set(lines[:-1]) == {"x" * 999}
    os.close(reading)
    os.close(writing)


def test_a_reader_that_went_away_is_no_failure():
    reading, writing = os.pipe()
    output = NonBlockingOutput(writing)
    os.close(reading)
    output.write("line\n")
    os.close(writing)


@pytest.mark.parametrize(("processors", "lines"), [(0.052, 26.0), (0.3, 150.0), (2.58, 200.0)])
def test_a_small_machine_writes_fewer_lines(processors, lines):
    assert affordable_lines_per_second(processors) == pytest.approx(lines)


def test_the_burst_follows_the_rate():
    clock = Clock()
    log = DecisionLog(clock, lines_per_second=2.0)
    with capture_logs() as written:
        for _ in range(9):
            log.note("event")
    assert (len(written), log.dropped) == (4, 5)
