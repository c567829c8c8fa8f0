"""A thin link: what a burst of uploads loses without pacing, and the order with it."""

import pytest

from jasperwalk.scheduling.link_pacer import (
    BURST_SECONDS,
    HEADER_BYTES,
    MAX_BULK_SECONDS,
    MAX_URGENT_SECONDS,
    MIN_BURST_BYTES,
    PACED_SHARE,
    LinkPacer,
    link_bytes_per_second,
)

MEGABITS = 2.0
RATE = link_bytes_per_second(MEGABITS)
BUFFER_SECONDS = 0.04
"""What the link's own buffer holds; more is lost."""
WINDOW = 16
DATAGRAM_BYTES = 1238
ARRIVAL_SECONDS = 0.0005
"""Time between two packets of a window at the balancer."""
CALLERS_RESEND_SECONDS = 0.2
AGENT = ("10.0.0.1", 7602)
STEP_SECONDS = 0.001


class BoundedLink:
    """A link that loses what its buffer does not hold; records when each datagram was across."""

    def __init__(self):
        self.now, self.free_at = 0.0, 0.0
        self.lost, self.crossed = [], {}

    def take(self, datagram, _address):
        if self.free_at - self.now > BUFFER_SECONDS:
            self.lost.append(datagram)
            return
        crossing = (len(datagram) + HEADER_BYTES) / RATE
        self.free_at = max(self.now, self.free_at) + crossing
        self.crossed.setdefault(datagram, self.free_at)


def datagram(flow, number, size=DATAGRAM_BYTES):
    return bytes((flow, number)).ljust(size, b".")


def window_of(flow, begins=0.0):
    return [
        (begins + number * ARRIVAL_SECONDS, flow, datagram(flow, number))
        for number in range(WINDOW)
    ]


def simulate(arrivals, seconds, paced=True):
    """Hand datagrams to a link at their times; return the link."""
    link = BoundedLink()
    pacer = LinkPacer(PACED_SHARE * RATE, link.take)
    arrivals = sorted(arrivals)
    for step in range(round(seconds / STEP_SECONDS)):
        link.now = step * STEP_SECONDS
        while arrivals and arrivals[0][0] <= link.now:
            _, flow, data = arrivals.pop(0)
            if not paced:
                link.take(data, AGENT)
            elif flow is None:
                pacer.send(data, AGENT, link.now)
            else:
                pacer.send_bulk(bytes((flow,)), data[1], data, AGENT, link.now)
        pacer.release(link.now)
    return link, pacer


def test_a_window_at_once_is_more_than_the_link_holds_unless_it_is_paced():
    unpaced, _ = simulate(window_of(1), 0.5, paced=False)
    assert len(unpaced.lost) >= 5
    paced, _ = simulate(window_of(1), 0.5)
    assert not paced.lost
    assert len(paced.crossed) == WINDOW


def test_two_windows_at_once_are_across_before_their_callers_send_again():
    link, _ = simulate(window_of(1) + window_of(2), 0.5)
    assert not link.lost
    assert max(link.crossed.values()) < CALLERS_RESEND_SECONDS


def test_small_datagrams_go_before_a_window_that_waits():
    small = datagram(9, 0, size=200)
    link, _ = simulate([*window_of(1), (0.02, None, small)], 0.5)
    assert not link.lost
    assert link.crossed[small] - 0.02 < BURST_SECONDS + BUFFER_SECONDS
    assert link.crossed[small] < max(link.crossed.values()) / 2


def test_flows_take_turns_so_that_a_short_upload_is_not_kept_behind_a_long_one():
    long = [(number * ARRIVAL_SECONDS, 1, datagram(1, number)) for number in range(2 * WINDOW)]
    short = [(0.02, 2, datagram(2, number)) for number in range(3)]
    link, _ = simulate(long + short, 0.5)
    last_of_short = max(at for data, at in link.crossed.items() if data[0] == 2)
    assert last_of_short < max(link.crossed.values()) / 2


def test_a_copy_of_what_still_waits_is_not_taken_and_one_of_what_has_left_is():
    again = [(0.03, 1, datagram(1, WINDOW - 1)), (0.4, 1, datagram(1, WINDOW - 1))]
    link, pacer = simulate(window_of(1) + again, 0.6)
    assert pacer.counters.datagrams_copies == 1
    assert link.free_at > 0.4


def sent_at_once(rate, count, bulk):
    """Hand over more than the link takes; return the pacer and what has left."""
    left = []
    pacer = LinkPacer(rate, lambda data, _address: left.append(data))
    for number in range(count):
        if bulk:
            pacer.send_bulk(b"flow", number, datagram(1, number % 256), AGENT, 0.0)
        else:
            pacer.send(datagram(1, number % 256), AGENT, 0.0)
    return pacer, left


@pytest.mark.parametrize(
    ("bulk", "longest_seconds"), [(True, MAX_BULK_SECONDS), (False, MAX_URGENT_SECONDS)]
)
def test_what_waits_is_bounded_and_what_is_too_much_is_counted(bulk, longest_seconds):
    pacer, left = sent_at_once(RATE, 1000, bulk)
    whole = DATAGRAM_BYTES + HEADER_BYTES
    assert pacer.backlog_bytes() <= longest_seconds * RATE + whole
    waiting = pacer.backlog_bytes() // whole
    assert pacer.counters.datagrams_dropped == 1000 - len(left) - waiting


def test_the_newest_of_what_cannot_wait_is_kept():
    pacer, left = sent_at_once(RATE, 256, bulk=False)
    pacer.release(1000.0)
    for step in range(1000):
        pacer.release(1000.0 + step)
    assert left[-1][1] == 255


def test_a_fast_link_delays_nothing():
    pacer, left = sent_at_once(link_bytes_per_second(1000.0), 1000, bulk=True)
    assert len(left) == 1000
    assert pacer.pause() is None


def test_however_thin_the_link_one_datagram_leaves_and_the_next_one_has_its_time():
    pacer, left = sent_at_once(100.0, 3, bulk=True)
    assert len(left) == 2  # the smallest burst, and the datagram that exceeds it
    assert pacer.pause() == pytest.approx(
        (2 * (DATAGRAM_BYTES + HEADER_BYTES) - MIN_BURST_BYTES) / 100.0
    )


def test_a_clock_that_goes_back_adds_no_credit():
    pacer, left = sent_at_once(RATE, 100, bulk=True)
    before = len(left)
    pacer.release(-50.0)
    assert len(left) == before
    pacer.release(-49.9)
    assert len(left) > before
