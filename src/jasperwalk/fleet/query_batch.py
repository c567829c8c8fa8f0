"""Questions of many searches to the same agents, in as few frames as possible."""

from __future__ import annotations

from dataclasses import dataclass, field

from jasperwalk.fleet.target import Target
from jasperwalk.flows.codec import DatagramSender

KEYS_PER_FRAME = 64
"""Flow keys that one frame asks for; it stays under the usual 1,500 bytes of a link's frame."""


@dataclass(eq=False, repr=False)
class QueryBatch:
    """Collects questions until `flush`."""

    send: DatagramSender
    _keys: dict[Target, list[bytes]] = field(default_factory=dict)

    def ask(self, target: Target, key: bytes) -> None:
        """Ask an agent whether it holds a flow."""
        self._keys.setdefault(target, []).append(key)

    def flush(self) -> None:
        """Send what was asked; called after every packet, so it has to cost nothing else."""
        if not self._keys:
            return
        batches, self._keys = self._keys, {}
        for target, keys in batches.items():
            for start in range(0, len(keys), KEYS_PER_FRAME):
                queried = b"".join(keys[start : start + KEYS_PER_FRAME])
                self.send(target.find_head + queried, target.address)
