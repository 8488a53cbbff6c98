"""The schedule of a graceful shutdown. Pure: it takes times in milliseconds and returns times in milliseconds.

The platform ends a gateway no sooner after SIGTERM than its longest deadline (counted as 3 s where it is longer) and 0.7 s. It comes
back at the same time whenever it ended by itself, so exiting early serves nobody; but what is open when the platform ends it is lost.
New connections come for 0.4 s; clients use those they have while these stay open.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_COUNTED_DEADLINE_MS = 3000.0  # given by the platform
KILL_GRACE_MS = 700.0  # given by the platform: between the longest deadline and the earliest end
NEW_CONNECTIONS_MS = 700.0  # in which connections may still come: the platform's 0.4 s and a margin
ANSWER_MARGIN_MS = (
    400.0  # before the earliest end, for a late turn of the event loop and the way to the client
)
CLOSING_MARGIN_MS = 900.0  # before the earliest end, which leaves half a second for the last requests


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The times of one shutdown, on the clock that ``now_ms`` was read from.

    ``closing_from_ms``: until then all goes on; from then on responses say close, and idle connections are closed.
    ``answer_by_ms``: what is open then is answered, whatever has become of it. ``earliest_exit_ms``: the process does not exit before,
    since a connection may stand in the queue.
    """

    closing_from_ms: float
    answer_by_ms: float
    earliest_exit_ms: float


def shutdown_schedule(now_ms: float, longest_deadline_ms: float) -> ShutdownSchedule:
    """The schedule of a shutdown that starts at ``now_ms``, for the longest deadline of any class."""
    earliest_kill_ms = now_ms + min(longest_deadline_ms, MAX_COUNTED_DEADLINE_MS) + KILL_GRACE_MS
    return ShutdownSchedule(
        closing_from_ms=max(now_ms, earliest_kill_ms - CLOSING_MARGIN_MS),
        answer_by_ms=max(now_ms, earliest_kill_ms - ANSWER_MARGIN_MS),
        earliest_exit_ms=now_ms + NEW_CONNECTIONS_MS,
    )
