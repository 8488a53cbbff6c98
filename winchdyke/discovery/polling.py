"""Poll rates of sources: a token bucket that limits calls, and a backoff with jitter after failures."""

from __future__ import annotations

import random
from dataclasses import dataclass

POLL_BURST = 20.0
POLLS_PER_SECOND = 2.0
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 8.0
MAX_BACKOFF_DOUBLINGS = 20
MIN_JITTER_FACTOR = 0.5


def jittered_backoff_seconds(failures: int, rng: random.Random) -> float:
    """Returns the exponential backoff after consecutive failures, bounded, times a jitter of 0.5 to 1.5."""
    doublings = min(failures - 1, MAX_BACKOFF_DOUBLINGS)
    backoff_seconds = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2.0**doublings)
    return backoff_seconds * (MIN_JITTER_FACTOR + rng.random())


@dataclass
class PollRateLimiter:
    """A token bucket that bounds one gateway's calls to a list service."""

    tokens: float = POLL_BURST
    refilled_at_seconds: float = 0.0

    def take_token(self, now_seconds: float) -> float:
        """Takes a token; returns the seconds to wait before the call."""
        if self.refilled_at_seconds:
            refill = (now_seconds - self.refilled_at_seconds) * POLLS_PER_SECOND
            self.tokens = min(POLL_BURST, self.tokens + refill)
        else:
            self.tokens = POLL_BURST
        self.refilled_at_seconds = now_seconds
        self.tokens -= 1.0
        return max(0.0, -self.tokens / POLLS_PER_SECOND)
