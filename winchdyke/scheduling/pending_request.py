"""A request that this gateway has accepted, and the rule on when it may be attempted again."""

from __future__ import annotations

from typing import NamedTuple

from winchdyke import interface as api
from winchdyke.interface import DeduplicationScope, RepeatSafety
from winchdyke.scheduling.endpoint_state import EndpointState
from winchdyke.scheduling.quota import VolumeQuota


class SentAttempt(NamedTuple):
    """An attempt that was started: where, and when."""

    endpoint: EndpointState
    sent_at_ms: float


class PendingRequest:
    """A request that is queued or has an attempt in flight.

    Attributes:
        request: The request as it arrived.
        request_class: Its class.
        quota: The quota of its volume.
        queued_at_ms: When it arrived.
        shard: The shard at which it is queued; -1 for a new object without a shard.
        first_received_at_ms: When the client first sent it, if it is the retry of a request that was shed.
        objective_at_ms: When its latency objective ends.
        deadline_ms: When the final answer is due.
        attempts: The attempts that were started, in order.
        attempts_in_flight: How many of them have not ended.
        attempts_cancelled: Number of attempts when the last one was cancelled.
        limit_charged: Whether its units have been taken from the limit, for an attempt that may have reached its endpoint.
        first_possible_execution: The first attempt that may have been executed.
        finished: Whether it has its final answer, or needs none.
    """

    def __init__(
        self, request: api.Request, request_class: api.RequestClass, quota: VolumeQuota, now: float
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.quota = quota
        self.queued_at_ms = now
        self.shard = request.shard
        self.first_received_at_ms = now
        self.objective_at_ms = now
        self.deadline_ms = now
        self.attempts: list[SentAttempt] = []
        self.attempts_in_flight = 0
        self.attempts_cancelled = 0
        self.limit_charged = False
        self.first_possible_execution: SentAttempt | None = None
        self.finished = False

    @property
    def needs_placement(self) -> bool:
        """Whether it is a new object that any shard may still take."""
        return self.request.shard < 0 and self.first_possible_execution is None

    @property
    def may_be_shed(self) -> bool:
        """Whether it may be answered as not executed and safe to retry."""
        request_class = self.request_class
        deduplicated_everywhere = (
            request_class.repeat_safety is RepeatSafety.IDEMPOTENCY_KEY
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        return (
            deduplicated_everywhere
            or request_class.repeat_safety is RepeatSafety.IDEMPOTENT
            or (self.first_possible_execution is None and not self.attempts_in_flight)
        )

    def may_be_sent_to(self, endpoint: EndpointState, now: float) -> bool:
        """Whether an attempt at the endpoint can have no second effect. Never with another attempt in flight."""
        if self.attempts_in_flight:
            return False
        executed = self.first_possible_execution
        if executed is None or self.request_class.repeat_safety is RepeatSafety.IDEMPOTENT:
            return True
        if self.request_class.repeat_safety is not RepeatSafety.IDEMPOTENCY_KEY:
            return False
        remembered = now < executed.sent_at_ms + self.request_class.deduplication_window_ms
        return remembered and self._deduplicated_at(endpoint, executed.endpoint)

    def may_have_been_executed_by(self, attempt: SentAttempt) -> None:
        """Note an attempt that ended without proof that it had no effect; the first one counts."""
        if self.first_possible_execution is None:
            self.first_possible_execution = attempt

    def write_timeout_ms(self, now: float) -> float:
        """The time within which a repeat has to be written, while its first execution is remembered; 0: no limit."""
        executed = self.first_possible_execution
        if executed is None or self.request_class.repeat_safety is not RepeatSafety.IDEMPOTENCY_KEY:
            return 0.0
        return executed.sent_at_ms + self.request_class.deduplication_window_ms - now

    def _deduplicated_at(self, endpoint: EndpointState, executed_at: EndpointState) -> bool:
        """Whether an endpoint shares the deduplication memory of the one that may have executed the request."""
        match self.request_class.deduplication_scope:
            case DeduplicationScope.ALL:
                return True
            case DeduplicationScope.ZONE:
                return executed_at.zone == endpoint.zone
            case DeduplicationScope.SHARD:
                return executed_at.shard == endpoint.shard
