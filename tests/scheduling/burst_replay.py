"""A small model of agents' queues: groups of callers send requests to hosts with slots."""

import heapq
import random
from collections import Counter
from itertools import count

SERVICE_SECONDS = 0.05
OBJECTIVE_SECONDS = 0.3
MAX_WAIT_SECONDS = 0.9
WAITING_PER_SLOT = 7
ASKED_HOSTS = 4
BURST_FROM, BURST_UNTIL, PLAYED_UNTIL = 2.0, 6.0, 8.0


class FirstGroup:
    """Shares nothing: serves and sheds the first group that the queue names."""

    def record_served(self, group, seconds, now):
        pass

    def group_to_serve(self, groups, now):
        return next(iter(groups))

    def group_to_shed(self, waiting, now):
        return next(iter(waiting))


class Host:
    """Slots and a queue, newest first within a group; a full queue sheds the oldest of a group."""

    def __init__(self, shares, slots, source):
        self.shares, self.slots, self.source = shares, slots, source
        self.busy = 0
        self.waiting = []
        self.groups_started = []

    def load(self):
        return (self.busy + len(self.waiting)) / self.slots

    def arrive(self, group, now):
        """Return the requests that are shed: (group, arrived at)."""
        self.waiting.append((group, now))
        if len(self.waiting) <= WAITING_PER_SLOT * self.slots or self.busy < self.slots:
            return []
        oldest_first = Counter(group for group, _ in self.waiting)
        over = self.shares.group_to_shed(oldest_first, now)
        gone = next(each for each in self.waiting if each[0] == over)
        self.waiting.remove(gone)
        return [gone]

    def start_waiting(self, now):
        """Return the started requests with their ends, and those that waited too long."""
        expired = [each for each in self.waiting if now - each[1] > MAX_WAIT_SECONDS]
        self.waiting = [each for each in self.waiting if each not in expired]
        started = []
        while self.busy < self.slots and self.waiting:
            newest_first = list(dict.fromkeys(group for group, _ in reversed(self.waiting)))
            group = self.shares.group_to_serve(newest_first, now)
            request = next(each for each in reversed(self.waiting) if each[0] == group)
            self.waiting.remove(request)
            self.busy += 1
            self.shares.record_served(group, SERVICE_SECONDS, now)
            started.append((request, now + self.source.expovariate(1 / SERVICE_SECONDS)))
        return started, expired


class Replay:
    """Simulates arrivals of groups at hosts; `rates` are arrivals a second outside the burst.

    `burst` gives the factor by which the rates of some groups rise during the burst. `came` and
    `in_time` count requests by group, of those that came during the burst.
    """

    def __init__(self, make_shares, rates, burst, hosts=1, slots=4, seed=1):
        self.source = random.Random(seed)
        self.hosts = [Host(make_shares(), slots, self.source) for _ in range(hosts)]
        self.rates, self.burst = rates, burst
        self.came, self.in_time = Counter(), Counter()
        self.started = Counter()

    def run(self):
        order = count()
        events = []
        for group, rate in self.rates.items():
            heapq.heappush(events, (self.source.expovariate(rate), next(order), group, None))
        while events:
            now, _, group, ended = heapq.heappop(events)
            if ended is None:
                host = self.arrival(group, now)
                next_at = now + self.source.expovariate(self.rate(group, now))
                if next_at < PLAYED_UNTIL:
                    heapq.heappush(events, (next_at, next(order), group, None))
            else:
                host, arrived_at = ended
                host.busy -= 1
                if self.counts(arrived_at) and now - arrived_at <= OBJECTIVE_SECONDS:
                    self.in_time[group] += 1
            started, _ = host.start_waiting(now)
            for (of_group, arrived_at), ends_at in started:
                self.started[of_group] += self.counts(now)
                event = (ends_at, next(order), of_group, (host, arrived_at))
                heapq.heappush(events, event)
        return self

    def rate(self, group, now):
        is_burst = BURST_FROM <= now < BURST_UNTIL
        return self.rates[group] * (self.burst.get(group, 1.0) if is_burst else 1.0)

    def counts(self, now):
        return BURST_FROM <= now < BURST_UNTIL

    def arrival(self, group, now):
        self.came[group] += self.counts(now)
        asked = self.source.sample(self.hosts, min(ASKED_HOSTS, len(self.hosts)))
        host = min(asked, key=Host.load)
        host.arrive(group, now)
        return host
