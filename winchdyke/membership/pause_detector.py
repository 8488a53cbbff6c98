"""Detects that this process was not running (stopped, throttled, or its event loop blocked) by its own clock. Pure."""

from __future__ import annotations


class PauseDetector:
    """Compares the start of each turn with the time by which it was expected. Times are ms."""

    def __init__(self, now: float, min_pause_ms: float) -> None:
        self.min_pause_ms = min_pause_ms
        self.total_paused_ms = 0.0
        self.pause_count = 0
        self._expected_by_ms = now

    def expect_turn_by(self, due_ms: float) -> None:
        """Note when the next turn starts at the latest.

        Called at the end of a turn, since a deadline that the turn itself moves must not make the next one look late.
        """
        self._expected_by_ms = due_ms

    def check(self, now: float) -> float:
        """Return how late the turn that starts now is in ms, or 0 where that is shorter than a pause."""
        late_ms = now - self._expected_by_ms
        if late_ms < self.min_pause_ms:
            return 0.0
        self.total_paused_ms += late_ms
        self.pause_count += 1
        return late_ms
