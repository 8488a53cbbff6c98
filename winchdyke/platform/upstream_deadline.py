"""The timer of an attempt: connect timeout, deadline, or the limit for a response without a length."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class AttemptDeadline:
    """A timer that can be moved; ``due_at_ms`` is on the event loop's clock, in milliseconds."""

    __slots__ = ("_loop", "_timer", "due_at_ms")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None
        self.due_at_ms = 0.0

    def set(self, due_at_ms: float, on_due: Callable[[], None]) -> None:
        """Replace the timer with one that calls ``on_due`` at ``due_at_ms``.

        The callback is not stored in an attribute, so that a cancelled timer leaves no reference cycle with
        the attempt.
        """
        self.cancel()
        self.due_at_ms = due_at_ms
        self._timer = self._loop.call_at(due_at_ms / 1000, on_due)

    def cancel(self) -> None:
        """Cancel the timer if it is running."""
        if self._timer is not None:
            self._timer.cancel()
