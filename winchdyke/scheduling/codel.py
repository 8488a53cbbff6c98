"""CoDel (RFC 8289): controlled delay for the queue of one request class at one shard."""

from __future__ import annotations

TARGET_OBJECTIVES = 0.75  # target sojourn time, in latency objectives
INTERVAL_OBJECTIVES = 1.0  # interval, in latency objectives


class CoDel:
    """Decides when to drop the head of a queue: at shrinking intervals while its delay exceeds the target."""

    def __init__(self, latency_objective_ms: float) -> None:
        self.target_ms = TARGET_OBJECTIVES * latency_objective_ms
        self.interval_ms = INTERVAL_OBJECTIVES * latency_objective_ms
        self.next_drop_at_ms = -1.0
        self.drop_count = 0

    @property
    def is_dropping(self) -> bool:
        """Whether a drop was due since the delay was last below the target."""
        return self.drop_count > 0

    def should_drop(self, now: float, sojourn_ms: float) -> bool:
        """Returns whether to drop the head of the queue now, after it has waited for ``sojourn_ms``."""
        if sojourn_ms < self.target_ms:
            self.next_drop_at_ms = -1.0
            self.drop_count = 0
        elif self.next_drop_at_ms < 0:
            self.next_drop_at_ms = now + self.interval_ms
        elif now >= self.next_drop_at_ms:
            self.drop_count += 1
            self.next_drop_at_ms += self.interval_ms / self.drop_count**0.5
            return True
        return False
