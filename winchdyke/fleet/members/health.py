"""How well this process itself does: Lifeguard's local health, and sleep told by the own clock. Pure."""

from __future__ import annotations


class Health:
    """0 is well; each step lengthens the own interval and time-outs by one of them, never others' lives."""

    def __init__(self, most: int) -> None:
        self.most, self.score = most, 0

    def worse(self, by: int = 1) -> None:
        """Something was missed that the process itself may have missed: an answer, a helper's word, its own good name."""
        self.score = min(self.most, self.score + by)

    def better(self) -> None:
        """An answer came in time."""
        self.score = max(0, self.score - 1)

    @property
    def factor(self) -> float:
        """What own times are multiplied by."""
        return 1.0 + self.score


class Sleep:
    """Tells by the own clock that the process did not run: it was stopped, throttled, or its loop stood still."""

    def __init__(self, now: float, least: float) -> None:
        self.least, self._due = least, now
        self.slept = 0.0  # ms in all
        self.times = 0

    def look(self, now: float, due: float) -> float:
        """Called at each turn with when the next one is due at the latest; ms overslept, 0 where that is no sleep."""
        late, self._due = now - self._due, due
        if late < self.least:
            return 0.0
        self.slept += late
        self.times += 1
        return late
