"""Batches the queries of many searches to the same agents into as few frames as possible."""

from __future__ import annotations

from dataclasses import dataclass, field

from jasperwalk.fleet.target import Target
from jasperwalk.flows.codec import DatagramSender

KEYS_PER_FRAME = 64
"""Flow keys in one frame, which so stays below the usual 1,500 bytes of a link's frame."""


@dataclass(eq=False, repr=False)
class QueryBatch:
    """Collects queries until `flush`."""

    send: DatagramSender
    _keys: dict[Target, list[bytes]] = field(default_factory=dict)

    def ask(self, target: Target, key: bytes) -> None:
        """Add a query that asks an agent whether it holds a flow."""
        self._keys.setdefault(target, []).append(key)

    def flush(self) -> None:
        """Send the queries; called after every packet, so an empty batch returns at once."""
        if not self._keys:
            return
        batches, self._keys = self._keys, {}
        for target, keys in batches.items():
            for start in range(0, len(keys), KEYS_PER_FRAME):
                queried = b"".join(keys[start : start + KEYS_PER_FRAME])
                self.send(target.find_head + queried, target.address)
