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

    def expect(self, due: float) -> None:
        """At the end of a turn: when the next one comes at the latest.

        Guards against a turn's own work taken for sleep: told at the beginning, a probe that was due then and went since
        left the next turn as late as the whole look is long, and a process that heard nothing slept by its own word.
        """
        self._due = due

    def look(self, now: float) -> float:
        """At the beginning of a turn: ms overslept, 0 where that is no sleep."""
        late = now - self._due
        if late < self.least:
            return 0.0
        self.slept += late
        self.times += 1
        return late
