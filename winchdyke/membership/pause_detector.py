"""Detects pauses of this process (stopped, throttled, or its event loop blocked) by its own clock. Without I/O."""

from __future__ import annotations


class PauseDetector:
    """Compares the start of each turn with the time by which it was expected. Times are ms."""

    def __init__(self, now: float, min_pause_ms: float) -> None:
        self.min_pause_ms = min_pause_ms
        self.total_paused_ms = 0.0
        self.pause_count = 0
        self._expected_by_ms = now

    def expect_turn_by(self, due_ms: float) -> None:
        """Sets the latest time at which the next turn is expected to start.

        Called at the end of a turn: the turn itself may move the deadline, which must not make the next turn look late.
        """
        self._expected_by_ms = due_ms

    def check(self, now: float) -> float:
        """Returns the delay in ms of the turn that starts now, or 0 if it is shorter than the minimum pause."""
        late_ms = now - self._expected_by_ms
        if late_ms < self.min_pause_ms:
            return 0.0
        self.total_paused_ms += late_ms
        self.pause_count += 1
        return late_ms
