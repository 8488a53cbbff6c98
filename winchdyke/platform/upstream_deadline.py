"""The one timer of an attempt: connect timeout, attempt deadline, or the end of a response without a length."""

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
        """Replace the timer by one that calls ``on_due`` at a time.

        The callback is passed here, not kept: a cancelled timer then leaves no reference cycle with the attempt.
        """
        self.cancel()
        self.due_at_ms = due_at_ms
        self._timer = self._loop.call_at(due_at_ms / 1000, on_due)

    def cancel(self) -> None:
        """Stop the timer, if one runs."""
        if self._timer is not None:
            self._timer.cancel()
