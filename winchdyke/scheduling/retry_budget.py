"""The retry budget: limits the retries that a gateway may start within a time window."""

from __future__ import annotations

from collections import deque

from winchdyke import interface as api


class RetryBudget:
    """Counts requests and retries within the window given in the settings; earlier ones are not kept."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.request_times: deque[float] = deque()
        self.retry_times: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Counts a request that has arrived."""
        self.request_times.append(now)
        self._discard_expired(now)

    def record_retry(self, now: float) -> None:
        """Counts a retry that is started."""
        self.retry_times.append(now)

    def allows(self, now: float) -> bool:
        """Returns whether a retry may be started now."""
        settings = self.settings
        self._discard_expired(now)
        max_retries = settings.retry_budget_base + settings.retry_budget_ratio * len(self.request_times)
        return not settings.retry_budget_window_ms or len(self.retry_times) + 1 <= max_retries

    def _discard_expired(self, now: float) -> None:
        window_start = now - self.settings.retry_budget_window_ms
        _discard_until(self.request_times, window_start)
        _discard_until(self.retry_times, window_start - self.settings.clock_tick_ms)


def _discard_until(times: deque[float], end: float) -> None:
    """Removes the times up to and including ``end`` from a sorted queue."""
    while times and times[0] <= end:
        times.popleft()
