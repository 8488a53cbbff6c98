"""How many connections between requests are worth keeping. Pure: it takes counts and the time and returns a count.

Clients need as many connections as they have requests open at a time. What stands idle beyond that is of clients that ask
once and stay; it takes the connections of others, at their end and at this one.
"""

from __future__ import annotations

HALF_MS = 1000.0  # in which the most that was open of late counts half
TIMES, LEAST = 2.0, 16.0  # idle connections for each that was open at once, and in any case


class Room:
    """Follows how many requests were open at a time."""

    def __init__(self, now: float) -> None:
        self._peak, self._at = 0.0, now

    def keeps(self, now: float, busy: int) -> int:
        """How many idle connections are kept where so many are busy now."""
        self._peak = max(float(busy), self._peak * 0.5 ** ((now - self._at) / HALF_MS))
        self._at = now
        return int(LEAST + TIMES * self._peak)
