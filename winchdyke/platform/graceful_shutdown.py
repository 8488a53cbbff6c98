"""The schedule of a graceful shutdown: a pure calculation on times in milliseconds.

After SIGTERM the platform waits at least for the longest request deadline (counted as 3 s if it is longer)
plus 0.7 s before it kills a gateway. It starts the gateway again at the same time even if that exited
earlier, so an early exit has no benefit; but requests that are open when the gateway is killed are lost. New
connections arrive for 0.4 s after SIGTERM, and clients use their existing connections for as long as these
stay open.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_COUNTED_DEADLINE_MS = 3000.0  # set by the platform, which counts longer deadlines as 3 s
KILL_GRACE_MS = 700.0  # set by the platform: time from the longest deadline to the earliest kill
NEW_CONNECTION_PERIOD_MS = 700.0  # how long new connections arrive: the platform's 0.4 s plus a margin
RESPONSE_MARGIN_MS = 400.0  # time before the earliest kill for event loop lag and the transfer to clients
CLOSING_MARGIN_MS = 900.0  # time before the earliest kill; leaves 0.5 s for the last requests


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The times of one shutdown, on the same clock as ``now_ms``.

    Attributes:
        close_connections_from_ms: When to start closing idle connections and sending "Connection: close" in
            responses. Until then requests are served as usual.
        respond_by_ms: When to send a final response to every request that is still open, whatever the state
            of its attempts.
        earliest_exit_ms: The process doesn't exit earlier, since a connection may be waiting to be accepted.
    """

    close_connections_from_ms: float
    respond_by_ms: float
    earliest_exit_ms: float


def shutdown_schedule(now_ms: float, longest_deadline_ms: float) -> ShutdownSchedule:
    """Return the schedule of a shutdown starting at ``now_ms``, given the longest deadline of any class."""
    earliest_kill_ms = now_ms + min(longest_deadline_ms, MAX_COUNTED_DEADLINE_MS) + KILL_GRACE_MS
    return ShutdownSchedule(
        close_connections_from_ms=max(now_ms, earliest_kill_ms - CLOSING_MARGIN_MS),
        respond_by_ms=max(now_ms, earliest_kill_ms - RESPONSE_MARGIN_MS),
        earliest_exit_ms=now_ms + NEW_CONNECTION_PERIOD_MS,
    )
