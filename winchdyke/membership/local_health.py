"""How well this process itself does: Lifeguard's local health, and sleep told by the own clock. Pure."""

from __future__ import annotations


class LocalHealth:
    """0 is well; each step lengthens the own interval and time-outs by one of them, never others' lives."""

    def __init__(self, most: int) -> None:
        self.max_score, self.score = most, 0

    def degrade(self, by: int = 1) -> None:
        """Something was missed that the process itself may have missed: an answer, a helper's word, its own good name."""
        self.score = min(self.max_score, self.score + by)

    def improve(self) -> None:
        """An answer came in time."""
        self.score = max(0, self.score - 1)

    @property
    def multiplier(self) -> float:
        """What own times are multiplied by."""
        return 1.0 + self.score


class PauseDetector:
    """Tells by the own clock that the process did not run: it was stopped, throttled, or its loop stood still."""

    def __init__(self, now: float, least: float) -> None:
        self.min_pause_ms, self._expected_by_ms = least, now
        self.total_paused_ms = 0.0  # ms in all
        self.pause_count = 0

    def expect_turn_by(self, due: float) -> None:
        """At the end of a turn: when the next one comes at the latest.

        Guards against a turn's own work taken for sleep: told at the beginning, a probe that was due then and went since
        left the next turn as late as the whole look is long, and a process that heard nothing slept by its own word.
        """
        self._expected_by_ms = due

    def check(self, now: float) -> float:
        """At the beginning of a turn: ms overslept, 0 where that is no sleep."""
        late = now - self._expected_by_ms
        if late < self.min_pause_ms:
            return 0.0
        self.total_paused_ms += late
        self.pause_count += 1
        return late
