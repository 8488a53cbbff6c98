"""A request accepted by this gateway, and the rules for repeating its attempts."""

from __future__ import annotations

from typing import NamedTuple

from winchdyke import interface as api
from winchdyke.interface import DeduplicationScope, RepeatSafety
from winchdyke.scheduling.endpoint_state import EndpointState
from winchdyke.scheduling.quota import VolumeQuota


class SentAttempt(NamedTuple):
    """An attempt that was started: its endpoint and start time."""

    endpoint: EndpointState
    sent_at_ms: float


class PendingRequest:
    """A request that is queued or has an attempt in flight.

    Attributes:
        request: The request as it arrived.
        request_class: Its class.
        quota: The quota of its volume.
        queued_at_ms: When it arrived.
        shard: The shard at which it is queued; -1 for a new object that has no shard yet.
        first_received_at_ms: When it arrived, or for the retry of a shed request, when the first try arrived.
        objective_at_ms: The time by which it meets its latency objective.
        deadline_ms: The time by which it must be answered.
        attempts: The attempts that were started, in order.
        attempts_in_flight: Number of attempts that have not ended.
        attempts_cancelled: The length of ``attempts`` when an attempt was last cancelled; 0 if none was.
        limit_charged: Whether the volume's limit is charged for it, so that its next attempt is not charged.
            False before the first attempt, and after one that did not reach its endpoint.
        first_possible_execution: The first attempt that may have been executed; None if there is none.
        finished: Whether it has been answered, or needs no answer.
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
        """Whether it is a new object that may still be placed at any shard."""
        return self.request.shard < 0 and self.first_possible_execution is None

    @property
    def may_be_shed(self) -> bool:
        """Whether it may be answered as shed: it was not executed, or is safe to retry."""
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
        """Returns whether an attempt at the endpoint cannot execute the request a second time with effect.

        False while another attempt is in flight.
        """
        if self.attempts_in_flight:
            return False
        executed = self.first_possible_execution
        if executed is None or self.request_class.repeat_safety is RepeatSafety.IDEMPOTENT:
            return True
        if self.request_class.repeat_safety is not RepeatSafety.IDEMPOTENCY_KEY:
            return False
        remembered = now < executed.sent_at_ms + self.request_class.deduplication_window_ms
        return remembered and self._deduplicated_at(endpoint, executed.endpoint)

    def record_possible_execution(self, attempt: SentAttempt) -> None:
        """Records an attempt that may have been executed; only the first one is kept."""
        if self.first_possible_execution is None:
            self.first_possible_execution = attempt

    def write_timeout_ms(self, now: float) -> float:
        """Returns the time within which an attempt must be written; 0 if there is no such limit.

        A repeat must reach the endpoint before the deduplication window of the first possible execution ends.
        """
        executed = self.first_possible_execution
        if executed is None or self.request_class.repeat_safety is not RepeatSafety.IDEMPOTENCY_KEY:
            return 0.0
        return executed.sent_at_ms + self.request_class.deduplication_window_ms - now

    def _deduplicated_at(self, endpoint: EndpointState, executed_at: EndpointState) -> bool:
        """Returns whether an endpoint shares the deduplication state of the one that may have executed it."""
        match self.request_class.deduplication_scope:
            case DeduplicationScope.ALL:
                return True
            case DeduplicationScope.ZONE:
                return executed_at.zone == endpoint.zone
            case DeduplicationScope.SHARD:
                return executed_at.shard == endpoint.shard
