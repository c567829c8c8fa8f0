"""Mutants: deliberate defects that show that the checks can fail.

Each mutant names a scenario, a seed, and the kind of violation that the run has to report. A
defect replaces names of the product for the duration of one run; the product has no code for it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from jasperwalk.agent import dispatcher
from jasperwalk.agent.answers import LocalAnswer, not_run_answer
from jasperwalk.agent.datagram_filter import AdmittedDatagram, DatagramFilter
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.packets import read_head
from jasperwalk.agent.requests import NotRun, NotRunReason, Request, ResponseSink, Unknown
from jasperwalk.agent.service_view import ServiceView
from jasperwalk.agent.ticket_service import TicketService
from jasperwalk.agent.tickets import RunNow, Ticket, TicketStore
from jasperwalk.balancer.routes import ServiceRoute
from jasperwalk.consensus.durable import DurableState, PersistBatch
from jasperwalk.consensus.entries import Membership
from jasperwalk.control.raft_runner import RaftRunner
from jasperwalk.control.state.change_register import ChangeRegister, ChangeRegisterImage
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.messages.datagrams import ForwardedDatagram, SealedDatagram
from jasperwalk.messages.distribution import Delta, Snapshot
from jasperwalk_lab.simulator.backend import ModelBackend
from jasperwalk_lab.simulator.disk import Disk
from jasperwalk_lab.simulator.run import Defect
from jasperwalk_lab.simulator.system_substitutes import Replacement

SEEDS_TRIED = 8
"""Number of seeds, one of which has to catch the defect."""
UNSYNCED_BATCHES = 8
"""The disk of `log-not-synced` keeps every batch up to the last multiple of this count."""


@dataclass(frozen=True)
class Mutant:
    """A defect, and the run that detects it by a violation of the kind `violation`.

    The run that a seed gives changes with the product, so `seeds` has a few more to try.
    """

    name: str
    description: str
    defect: Defect
    scenario: str
    seed: int
    violation: str

    @property
    def seeds(self) -> range:
        """Return the seeds to try, beginning with the one that is known to detect the defect."""
        return range(self.seed, self.seed + SEEDS_TRIED)


class _UnsyncedDisk(Disk):
    """Reports batches as synced before they are: a power loss loses the last ones."""

    def __init__(self, replica_id: int, disk_id: str, random: Random) -> None:
        super().__init__(replica_id, disk_id, random)
        self._synced = self._copy()
        self._batches = 0

    def apply_synced(self, batch: PersistBatch) -> None:
        super().apply_synced(batch)
        self._batches += 1
        if self._batches % UNSYNCED_BATCHES == 0:
            self._synced = self._copy()

    def crash(self) -> None:
        super().crash()
        self.state = self._synced
        self._synced = self._copy()

    def _copy(self) -> DurableState:
        return dataclasses.replace(self.state, entries=list(self.state.entries))


class _ForgottenVoteDisk(Disk):
    """Syncs term and vote only together with a snapshot: a power loss loses newer ones."""

    def __init__(self, replica_id: int, disk_id: str, random: Random) -> None:
        super().__init__(replica_id, disk_id, random)
        self._synced = self.state.hard_state

    def apply_synced(self, batch: PersistBatch) -> None:
        super().apply_synced(batch)
        if batch.snapshot is not None:
            self._synced = self.state.hard_state

    def crash(self) -> None:
        super().crash()
        self.state.hard_state = self._synced


def _admit_without_check(self: DatagramFilter, data: bytes, view: ServiceView) -> AdmittedDatagram:
    message = self._decode(data)
    sealed = isinstance(message, SealedDatagram)
    datagram: ForwardedDatagram = (
        self._open(message) if isinstance(message, SealedDatagram) else message
    )
    if view.service is not None:
        datagram = msgspec.structs.replace(datagram, service_id=view.service.service_id)
    head = read_head(datagram.payload)
    assert head is not None
    return AdmittedDatagram(datagram, head, sealed or not self.seal.has_keys)


def _always_run(self: TicketStore, ticket: Ticket, digest: bytes, now: float) -> RunNow:
    return RunNow()


async def _run_elsewhere(
    self: TicketService, ticket: Ticket, request: Request, deadline_at: float, sink: ResponseSink
) -> Any:
    outcome = await self._relay_to(ticket.home, request, deadline_at, sink)
    if isinstance(outcome, NotRun | Unknown):
        return await self._run_here(request, deadline_at, sink)
    return outcome


def _answer_unknown_as_not_run(_: Unknown) -> LocalAnswer:
    return not_run_answer(NotRun(NotRunReason.DRAINING))


def _accept_any_delta(self: FollowerCore, delta: Delta, now: float) -> Any:
    self.table.update(delta.revision, delta.upserts, delta.removals)
    return self._on_table_changed(now)


def _accept_any_snapshot(self: FollowerCore, snapshot: Snapshot, now: float) -> Any:
    self._assembly.add(snapshot)
    entries = self._assembly.take()
    if entries is None:
        return []
    self.table.replace(snapshot.revision, entries)
    return self._on_table_changed(now)


def _subscribe_from_revision_zero(original: Callable[..., Any]) -> Callable[..., Any]:
    def connected(self: FollowerCore, replica: Any, now: float) -> Any:
        revision, self.table.revision = self.table.revision, 0
        try:
            return original(self, replica, now)
        finally:
            self.table.revision = revision

    return connected


def _accept_any_service(self: ServiceView, newer: ServiceView) -> ServiceView:
    return dataclasses.replace(newer, stopping=self.stopping)


def _empty_register(image: ChangeRegisterImage) -> ChangeRegister:
    return ChangeRegister(limit=image.limit)


def _single_replacement(owner: Any, name: str, substitute: Any) -> Defect:
    return Defect((Replacement(owner, name, substitute),))


MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "log-not-synced",
        "a replica answers before its log is synced",
        Defect(disk_class=_UnsyncedDisk),
        "power-lost",
        1,
        "accepted-lost",
    ),
    Mutant(
        "vote-not-synced",
        "a replica answers before its term and vote are synced",
        Defect(disk_class=_ForgottenVoteDisk),
        "power-lost",
        1,
        "two-leaders",
    ),
    Mutant(
        "half-is-a-quorum",
        "half of the voters decide",
        _single_replacement(
            Membership, "quorum_size", lambda self: max(1, len(self.voter_ids()) // 2)
        ),
        "even-split",
        1,
        "entries-differ",
    ),
    Mutant(
        "stale-replica-publishes",
        "a replica that lost its quorum says that it is fresh",
        _single_replacement(RaftRunner, "quorum_age", lambda _: 0.0),
        "control-apart",
        1,
        "not-in-force",
    ),
    Mutant(
        "revisions-go-back",
        "a follower accepts any revision from a replica that considers itself fresh",
        Defect(
            (
                Replacement(RaftRunner, "quorum_age", lambda _: 0.0),
                Replacement(FollowerCore, "_delta", _accept_any_delta),
                Replacement(FollowerCore, "_snapshot", _accept_any_snapshot),
                Replacement(
                    FollowerCore, "connected", _subscribe_from_revision_zero(FollowerCore.connected)
                ),
            )
        ),
        "control-apart",
        5,
        "revision-went-back",
    ),
    Mutant(
        "change-register-ignored",
        "a resent change is made again",
        _single_replacement(ChangeRegister, "find", lambda _self, _change_id: None),
        "lost-answers",
        1,
        "accepted-lost",
    ),
    Mutant(
        "change-register-not-in-snapshots",
        "a replica that recovers by a snapshot has lost the outcomes of changes",
        _single_replacement(ChangeRegister, "from_image", staticmethod(_empty_register)),
        "long-absence",
        1,
        "accepted-lost",
    ),
    Mutant(
        "ticket-not-checked",
        "a ticket's home runs every arrival",
        _single_replacement(TicketStore, "use", _always_run),
        "lost-answers",
        1,
        "ran-twice",
    ),
    Mutant(
        "ticket-run-elsewhere",
        "a request that must not be repeated is retried when its home does not answer",
        _single_replacement(TicketService, "_relay_home", _run_elsewhere),
        "misleading-back-ends",
        1,
        "ran-twice",
    ),
    Mutant(
        "service-not-checked",
        "an agent accepts datagrams of any service; the balancers still check it",
        _single_replacement(DatagramFilter, "admit", _admit_without_check),
        "uneven-updates",
        2,
        "broken-flow",
    ),
    Mutant(
        "service-checked-nowhere",
        "neither balancers nor agents check the service of a datagram",
        Defect(
            (
                Replacement(DatagramFilter, "admit", _admit_without_check),
                Replacement(ServiceRoute, "names_service", lambda _self, _server_id: True),
            )
        ),
        "uneven-updates",
        2,
        "wrong-service",
    ),
    Mutant(
        "late-answer-reused",
        "a backend connection is used again after a time-out",
        _single_replacement(ModelBackend, "reuses_late_answers", True),
        "misleading-back-ends",
        1,
        "wrong-answer",
    ),
    Mutant(
        "unknown-told-as-not-run",
        "a request is refused as not run after it reached the backend",
        _single_replacement(dispatcher, "unknown_answer", _answer_unknown_as_not_run),
        "misleading-back-ends",
        1,
        "not-run-but-ran",
    ),
    Mutant(
        "drain-ignored",
        "a draining agent continues to run new requests of its open flows",
        _single_replacement(ServiceView, "draining", property(lambda self: self.stopping)),
        "hosts-leave",
        1,
        "new-work-while-leaving",
    ),
    Mutant(
        "flows-closed-early",
        "a planned stop closes flows whose last answers are not delivered yet",
        _single_replacement(AgentEndpoint, "has_undelivered_answers", property(lambda _: False)),
        "hosts-leave",
        8,
        "broken-flow",
    ),
    Mutant(
        "move-cuts-flows",
        "a host that is moved to another service drops the flows of the former one",
        _single_replacement(ServiceView, "followed_by", _accept_any_service),
        "uneven-updates",
        1,
        "broken-flow",
    ),
)


def mutant_named(name: str) -> Mutant | None:
    """Return a mutant by its name, or None if there is none of this name."""
    return next((each for each in MUTANTS if each.name == name), None)
