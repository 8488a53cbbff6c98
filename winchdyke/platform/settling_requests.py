"""Ids of requests whose last attempt may still run at its store although it has ended here. Without I/O."""

from __future__ import annotations

from winchdyke.interface import AttemptOutcome, RepeatSafety, Settings
from winchdyke.scheduling.scheduler import MAY_STILL_RUN


class SettlingRequests:
    """Remembers ids for the time for which the settings let an attempt run on after its end.

    A request of such an id would run beside the first one. Requests that may be repeated anyway are not remembered.
    """

    def __init__(self, settings: Settings) -> None:
        self._settle_ms = settings.order_settle_ms
        self._repeatable = {
            each.name for each in settings.classes if each.repeat_safety is RepeatSafety.IDEMPOTENT
        }
        self._ended_at_ms: dict[str, float] = {}  # the earliest first

    def record(self, request_id: str, request_class: str, outcome: AttemptOutcome, now_ms: float) -> None:
        """Record the end of an attempt."""
        if outcome in MAY_STILL_RUN and request_class not in self._repeatable:
            self._ended_at_ms.pop(request_id, None)
            self._ended_at_ms[request_id] = now_ms
            self._forget_settled(now_ms)

    def contains(self, request_id: str, now_ms: float) -> bool:
        """Return whether an attempt of a request may still run."""
        self._forget_settled(now_ms)
        return request_id in self._ended_at_ms

    def _forget_settled(self, now_ms: float) -> None:
        while self._ended_at_ms:
            oldest = next(iter(self._ended_at_ms))
            if now_ms - self._ended_at_ms[oldest] < self._settle_ms:
                return
            del self._ended_at_ms[oldest]
