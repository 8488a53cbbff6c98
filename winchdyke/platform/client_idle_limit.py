"""The limit on idle client connections. A pure calculation from counts and times.

Clients need as many connections as they have concurrent requests. Idle connections beyond that belong to
clients that send one request and stay connected; they use up connections that others need, on both sides.
"""

from __future__ import annotations

PEAK_HALF_LIFE_MS = 1000.0  # half-life of the exponentially decaying peak of concurrent requests
IDLE_PER_BUSY_RATIO = 2.0  # idle connections allowed per concurrent request at the recent peak
MIN_IDLE_CONNECTIONS = 16.0  # allowed even without recent requests


class IdleConnectionLimit:
    """Tracks the recent peak of concurrent requests. Times are milliseconds of one clock."""

    def __init__(self, now_ms: float) -> None:
        self._recent_peak = 0.0
        self._updated_at_ms = now_ms

    def limit(self, now_ms: float, busy_count: int) -> int:
        """Return the number of idle connections to keep, given the number of busy ones now."""
        half_lives = (now_ms - self._updated_at_ms) / PEAK_HALF_LIFE_MS
        self._recent_peak = max(float(busy_count), self._recent_peak * 0.5**half_lives)
        self._updated_at_ms = now_ms
        return int(MIN_IDLE_CONNECTIONS + IDLE_PER_BUSY_RATIO * self._recent_peak)
