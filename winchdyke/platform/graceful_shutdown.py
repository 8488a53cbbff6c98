"""When a gateway that was told to stop says, ends and answers what. Pure: it takes times in ms and returns times in ms.

The platform ends a gateway outright at the earliest so long after SIGTERM as its longest deadline, counted as 3 s where it
is longer, and 0.7 s. It comes back at the same time whenever it ended by itself, so that to end early serves nobody; but what
is open when the end comes is lost. New connections come for 0.4 s; clients use those they have while these stay open.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_COUNTED_DEADLINE_MS, KILL_GRACE_MS = (
    3000.0,
    700.0,
)  # the platform's figures: the most of a deadline that counts, and what is added
NEW_CONNECTIONS_MS = 700.0  # until when connections may still come, and a while
ANSWER_MARGIN_MS = 400.0  # all is answered so long before the earliest end: a late turn of the loop, and the way to the client
CLOSING_MARGIN_MS = (
    900.0  # connections are served as before until so long before it: half a second for what came last
)


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The times of one stop, on the clock that ``now`` was read from."""

    closing_from_ms: (
        float  # until then all goes on; from then on answers say close, and idle connections are ended
    )
    answer_by_ms: float  # what is open then is answered, whatever has become of it
    earliest_exit_ms: float  # not to end before this: a connection may stand in the queue


def shutdown_schedule(now: float, longest: float) -> ShutdownSchedule:
    """The times of a stop told at ``now``, where the longest deadline of any class is ``longest``."""
    earliest = now + min(longest, MAX_COUNTED_DEADLINE_MS) + KILL_GRACE_MS
    return ShutdownSchedule(
        max(now, earliest - CLOSING_MARGIN_MS),
        max(now, earliest - ANSWER_MARGIN_MS),
        now + NEW_CONNECTIONS_MS,
    )
