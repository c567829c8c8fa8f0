"""Detects the silence of many agents at once, which is rarely the loss of their hosts (sans-IO).

When most of a region's agents fall silent at the same time, control itself has far more likely
failed: replicas were suspended or lost their links, and the agents are reconnecting. Marking
thousands of agents offline would then flood every link with statuses that have to be reverted a
moment later. So such a silence is unconfirmed for a while; if it lasts, it is acted on, whatever
its cause.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_MEMBERS = 100
"""Minimum number of silent members; the statuses of fewer are no significant load on links."""


@dataclass(frozen=True)
class MassSilenceConfig:
    """Silence of more than `share` of the online members counts after `confirmation_seconds`."""

    share: float = 0.5
    confirmation_seconds: float = 15.0


class MassSilence:
    """Tracks since when most members have been silent. Times are in seconds."""

    def __init__(self, config: MassSilenceConfig) -> None:
        self._config = config
        self._since: float | None = None

    def is_unconfirmed(self, silent: int, online: int, now: float) -> bool:
        """Return whether the silence of `silent` of `online` members is not confirmed yet."""
        if silent < MIN_MEMBERS or silent <= self._config.share * online:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        return now - self._since < self._config.confirmation_seconds
