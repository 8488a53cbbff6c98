"""Lifeguard's local health score: an estimate of how reliable this process's observations are. Without I/O."""

from __future__ import annotations


class LocalHealth:
    """A score from 0 (healthy) to ``max_score``. It lengthens only this process's probe interval and timeouts."""

    def __init__(self, max_score: int) -> None:
        self.max_score = max_score
        self.score = 0

    def degrade(self, by: int = 1) -> None:
        """Counts a missed ack, a missing nack, or a suspicion of this process itself."""
        self.score = min(self.max_score, self.score + by)

    def improve(self) -> None:
        """Counts an ack that arrived in time."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> float:
        """The local health multiplier of the probe interval and the probe timeout."""
        return 1.0 + self.score
