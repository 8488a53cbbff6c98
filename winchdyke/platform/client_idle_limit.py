"""How many connections between requests are worth keeping. Pure: it takes counts and the time and returns a count.

Clients need as many connections as they have requests open at a time. What stands idle beyond that is of clients that ask
once and stay; it takes the connections of others, at their end and at this one.
"""

from __future__ import annotations

PEAK_HALF_LIFE_MS = 1000.0  # in which the most that was open of late counts half
IDLE_PER_BUSY_RATIO, MIN_IDLE_CONNECTIONS = (
    2.0,
    16.0,
)  # idle connections for each that was open at once, and in any case


class IdleConnectionLimit:
    """Follows how many requests were open at a time."""

    def __init__(self, now: float) -> None:
        self._recent_peak, self._updated_at_ms = 0.0, now

    def limit(self, now: float, busy: int) -> int:
        """How many idle connections are kept where so many are busy now."""
        self._recent_peak = max(
            float(busy), self._recent_peak * 0.5 ** ((now - self._updated_at_ms) / PEAK_HALF_LIFE_MS)
        )
        self._updated_at_ms = now
        return int(MIN_IDLE_CONNECTIONS + IDLE_PER_BUSY_RATIO * self._recent_peak)
