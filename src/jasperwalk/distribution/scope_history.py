"""History of members that left a service, so that an agent's delta can name them as removed.

The table has only the current service of a member. An agent holds the members of one service, and
has to be notified when one of them moves to another.
"""

from __future__ import annotations

from collections import OrderedDict

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import Changes, VersionedTable
from jasperwalk.config.table_entries import MemberEntry, MemberKey

STEP_LIMIT = 4_096
"""Number of table changes that are kept; an agent from before them is sent a snapshot."""


class ScopeHistory:
    """Records moves of members between services, for each step that the table advances."""

    def __init__(self, table: VersionedTable) -> None:
        self._service_of: dict[Endpoint, int] = {}
        self._moved_at: dict[Endpoint, int] = {}
        self._departures: dict[int, dict[Endpoint, int]] = {}
        self._steps: OrderedDict[int, list[tuple[int, Endpoint]]] = OrderedDict()
        self.revision = 0
        self.rebuild(table)

    def rebuild(self, table: VersionedTable) -> None:
        """Reset the history to the table as it is now."""
        self._service_of = {each.address: each.service_id for each in table.members()}
        self._moved_at.clear()
        self._departures.clear()
        self._steps.clear()
        self.revision = table.revision
        self._steps[table.revision] = []

    def advance(self, table: VersionedTable) -> None:
        """Record what changed in the table since the last call."""
        changes = table.changes_since(self.revision)
        if not isinstance(changes, Changes) or table.revision < self.revision:
            self.rebuild(table)
            return
        if changes.revision == self.revision:
            return
        self.revision = changes.revision
        self._steps[changes.revision] = []
        for entry in changes.upserts:
            if isinstance(entry, MemberEntry):
                self._move(entry.address, entry.service_id)
        for key in changes.removals:
            if isinstance(key, MemberKey):
                self._move(key.address, 0)
        if len(self._steps) > STEP_LIMIT:
            self._remove_oldest_step()

    def covers(self, revision: int) -> bool:
        """Return whether all moves after `revision` are known.

        They are for revisions at which a step ended: within a step, a member may have been in
        a service without a record of it.
        """
        return revision in self._steps

    def moved_after(self, address: Endpoint, revision: int) -> bool:
        """Return whether the member moved to its current service after `revision`."""
        return self._moved_at.get(address, 0) > revision

    def departed(self, service_id: int, revision: int) -> list[Endpoint]:
        """Return the members that left the service after `revision` and have not returned."""
        departures = self._departures.get(service_id, {})
        return [address for address, left_at in departures.items() if left_at > revision]

    def _move(self, address: Endpoint, service_id: int) -> None:
        former = self._service_of.get(address, 0)
        if former == service_id:
            return
        if service_id:
            self._service_of[address] = service_id
            self._departures.get(service_id, {}).pop(address, None)
        else:
            del self._service_of[address]
        self._moved_at[address] = self.revision
        if former:
            self._departures.setdefault(former, {})[address] = self.revision
        self._steps[self.revision].append((former, address))

    def _remove_oldest_step(self) -> None:
        revision, moves = self._steps.popitem(last=False)
        for former, address in moves:
            if self._moved_at.get(address) == revision:
                del self._moved_at[address]
            departures = self._departures.get(former, {})
            if departures.get(address) == revision:
                del departures[address]
            if former in self._departures and not departures:
                del self._departures[former]
