"""How many idle client connections are kept. Pure: it takes counts and the time and returns a count.

Clients need as many connections as they have requests open at a time. Idle ones beyond that belong to clients that send one
request and stay connected; they take the places of others, in the client and here.
"""

from __future__ import annotations

PEAK_HALF_LIFE_MS = 1000.0  # of the recent peak of open requests
IDLE_PER_BUSY_RATIO = 2.0  # idle connections kept for each request of the recent peak
MIN_IDLE_CONNECTIONS = 16.0  # kept in any case


class IdleConnectionLimit:
    """Follows the recent peak of requests that were open at a time. Times are milliseconds of one clock."""

    def __init__(self, now_ms: float) -> None:
        self._recent_peak = 0.0
        self._updated_at_ms = now_ms

    def limit(self, now_ms: float, busy_count: int) -> int:
        """How many idle connections are kept where so many are busy now."""
        half_lives = (now_ms - self._updated_at_ms) / PEAK_HALF_LIFE_MS
        self._recent_peak = max(float(busy_count), self._recent_peak * 0.5**half_lives)
        self._updated_at_ms = now_ms
        return int(MIN_IDLE_CONNECTIONS + IDLE_PER_BUSY_RATIO * self._recent_peak)
