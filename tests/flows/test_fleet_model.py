"""Seeded runs of a whole fleet of cores, and mutants that show that the checks can fail."""

import os

import pytest

from jasperwalk.agent.datagrams import flow_admission, flow_agent, flow_knowledge
from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.fleet import search, target, targets
from jasperwalk.fleet.messages import HostPhase
from jasperwalk.flows.frames import FrameKind
from tests.flows.fleet_model import play

SEEDS = range(int(os.environ.get("JASPERWALK_MODEL_SEEDS", "60")))
MUTANT_SEEDS = range(40)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_run_violates_no_invariant(seed):
    world = play(seed, delegates=bool(seed % 2))
    assert world.violations == []
    assert len(world.holders) > 20


def test_agents_search_on_behalf_of_balancers():
    world = play(3, delegates=True)
    counters = [balancer.core.counters for balancer in world.balancers]
    assert sum(each.searches_delegated for each in counters) > 20
    assert sum(each.searches for each in counters) < 20


def test_the_same_seed_gives_the_same_run():
    first, second = play(7), play(7)
    assert first.order == second.order
    assert first.seen == second.seen


def violated_invariants():
    invariants = set()
    for seed in MUTANT_SEEDS:
        world = play(seed, delegates=bool(seed % 2))
        invariants.update(violation.invariant for violation in world.violations)
    return invariants


def test_mutant_a_first_denial_resets(monkeypatch):
    monkeypatch.setattr(search, "ROUNDS", 1)
    monkeypatch.setattr(search.Search, "_has_denied", lambda *_: True)
    monkeypatch.setattr(search.Search, "_probe_next", lambda *_: [])
    original = search.Search.__init__

    def asks_all(self, *arguments):
        original(self, *arguments)
        self._queried_all = True

    monkeypatch.setattr(search.Search, "__init__", asks_all)
    assert "an open flow is not reset" in violated_invariants()


def test_mutant_draining_hosts_get_new_flows(monkeypatch):
    # Balancers avoid such a host too, so the agent's refusal alone is seldom needed.
    monkeypatch.setattr(flow_admission.FlowAdmission, "_refusal", lambda *_: None)
    monkeypatch.setattr(target.Target, "is_usable", lambda *_: True)
    assert "a host that leaves gets no new flow" in violated_invariants()


def test_mutant_balancers_send_into_a_drained_zone(monkeypatch):
    # Agents that are cut off from control do not know that they should refuse new flows.
    monkeypatch.setattr(targets.TargetPool, "drain_zones", lambda *_: True)
    assert "a drained zone gets no new flow" in violated_invariants()


def test_mutant_agents_take_flows_in_a_drained_zone(monkeypatch):
    # Balancers that are cut off from control keep sending new flows there.
    monkeypatch.setattr(flow_agent.HostAdmission, "is_zone_drained", lambda *_: False)
    assert "a drained zone gets no new flow" in violated_invariants()


def test_mutant_a_restarted_agent_denies_what_it_does_not_know(monkeypatch):
    monkeypatch.setattr(flow_knowledge.FlowKnowledge, "knows_all_flows", lambda *_: True)
    assert "an open flow is not reset" in violated_invariants()


def test_mutant_frames_do_not_name_their_service(monkeypatch):
    for module in (target, targets):
        monkeypatch.setattr(module, "service_tag", lambda _: 1)
    monkeypatch.setattr(flow_agent, "service_tag", lambda _: 1)
    assert "a packet reaches only hosts of its service" in violated_invariants()


def test_mutant_a_late_call_makes_a_draining_host_ready(monkeypatch):
    def trusting(self, announcement, now):
        self.host_id, self.call_number, self.heard_at = (
            announcement.host_id,
            announcement.call_number,
            now,
        )
        self.phase, self.capacity = HostPhase.READY, announcement.capacity
        return True

    monkeypatch.setattr(HostState, "announce", trusting)
    assert "a host that leaves gets no new flow" in violated_invariants()


def test_mutant_packets_are_shown_to_everyone(monkeypatch):
    def spray(self, pool, now):
        if self.rounds:
            return []
        self.rounds = search.ROUNDS
        self.deadline = now + 5.0
        return [search.Probe(each, self.packets[-1]) for each in pool.all_targets()] * 3

    def answered(self, target, kind):
        if kind is FrameKind.RETURNED:
            self.queried[target] = kind

    monkeypatch.setattr(search.Search, "advance", spray)
    monkeypatch.setattr(search.Search, "record_answer", answered)
    assert "an open flow is found again" in violated_invariants()
