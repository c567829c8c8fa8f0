"""Telling the silence of many agents at once from the loss of their hosts (sans-IO).

When most of a region's agents fall silent in the same moment, what failed is far more likely
control itself: replicas that stood still or lost their links, and agents that are on their
way back. Calling thousands of agents offline would then flood every link with statuses that
have to be taken back a moment later. So such a silence is doubted for a while; if it lasts, it
is believed, whatever its cause.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_MEMBERS = 100
"""Fewer statuses than that cost links nothing that matters; no silence of so few is doubted."""


@dataclass(frozen=True)
class MassSilenceConfig:
    """More than `share` of the online members silent at once is doubted for `confirmation_seconds`."""

    share: float = 0.5
    confirmation_seconds: float = 15.0


class MassSilence:
    """Keeps since when most members have been silent. Times in seconds."""

    def __init__(self, config: MassSilenceConfig) -> None:
        self._config = config
        self._since: float | None = None

    def is_unconfirmed(self, silent: int, online: int, now: float) -> bool:
        """Tell whether the silence of `silent` among `online` members is not believed yet."""
        if silent < MIN_MEMBERS or silent <= self._config.share * online:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        return now - self._since < self._config.confirmation_seconds
