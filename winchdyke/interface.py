"""The types exchanged between a gateway and its scheduler: settings, events and actions.

A gateway creates one :class:`winchdyke.Scheduler` from :class:`Settings`, passes it each batch of events
together with the time, and carries out the returned actions in order. This module contains no decisions.

Times are milliseconds on the gateway's monotonic clock. Work is measured in *units*, in which plans state
rates.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RepeatSafety(Enum):
    """What happens when a request of a class is executed more than once."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "keyed"
    AT_MOST_ONCE = "at most once"


class DeduplicationScope(Enum):
    """Which endpoints share the deduplication state of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


class EndpointStatus(Enum):
    """The state of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """What an endpoint list event holds: changes only, the full list, a cached copy of it, or nothing."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    SHED = "shed"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "dial failed"
    CONNECTION_RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "unsent"

    @property
    def proves_no_effect(self) -> bool:
        """Whether the outcome proves that the attempt was never executed."""
        return self in (AttemptOutcome.SHED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its priority, its deadlines, and whether a request may be repeated.

    Attributes:
        name: The name by which requests refer to the class.
        priority_weight: The value of one request served within its latency objective.
        latency_objective_ms: The maximum latency for the full value.
        deadline_ms: The latency beyond which a response has no value.
        late_value_ratio: The fraction of the value of a response after the objective and before the deadline.
        repeat_safety: The effect of executing a request more than once.
        deduplication_scope: The endpoints that discard repeats of an idempotency key.
        deduplication_window_ms: How long an endpoint remembers an idempotency key.
        streamed: Whether responses are streamed to the client.
        in_order: Whether requests of one key are executed in the order in which they arrived.
        modifies_data: Whether requests modify stored data.
    """

    name: str
    priority_weight: float
    latency_objective_ms: float
    deadline_ms: float
    late_value_ratio: float
    repeat_safety: RepeatSafety
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    streamed: bool = False
    in_order: bool = False
    modifies_data: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """The entitlements of each volume of a plan, over all gateways and endpoints.

    Attributes:
        name: The name by which requests refer to the plan.
        priority_factor: A factor on the priority weight of the volume's requests.
        fair_share_weight: The volume's weight in sharing the capacity beyond all reservations.
        expected_units_per_s: The rate that the volume is sized for.
        reserved_units_per_s: The reservation: the rate up to which requests have full priority.
        limit_units_per_s: The rate that is never exceeded; 0 if there is no limit.
        limit_burst_units: Units that the limit admits as a burst.
    """

    name: str
    priority_factor: float
    fair_share_weight: float
    expected_units_per_s: float
    reserved_units_per_s: float
    limit_units_per_s: float = 0.0
    limit_burst_units: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a scheduler.

    Attributes:
        gateway_count: Number of gateways of the deployment.
        gateway_index: This gateway's index, from 0.
        classes: The classes of requests.
        plans: The plans of volumes.
        zone: The zone of this gateway.
        clock_tick_ms: The resolution of the gateway's clock.
        mean_request_units: The mean work of a request.
        max_request_units: The maximum work that a request may declare.
        fair_share_priority_factor: Factor on the priority of requests beyond the reservation, within the fair
            share.
        excess_priority_factor: Factor on the priority of requests beyond the fair share.
        usage_report_interval_ms: Interval of the reports of a volume's usage over all gateways.
        goal_total_weight: Weight of the total value of requests in the optimization goal.
        goal_worst_class_weight: Weight of the worst-served class in the goal.
        goal_worst_plan_weight: Weight of the worst-served plan in the goal.
        polls_endpoint_list: Whether the gateway must request the endpoint list; otherwise it is pushed.
        max_attempts: Maximum number of attempts of a request, including the first.
        can_cancel_attempts: Whether an attempt in flight may be cancelled.
        can_health_check: Whether endpoints may be health-checked.
        can_message_peers: Whether gateways may exchange messages.
        can_hedge_requests: Whether a request may have two attempts in flight.
        max_retry_after_ms: The Retry-After of a shed request; 0 if none is given.
        connect_timeout_ms: The time limit for making a connection.
        slow_start_initial_capacity: The fraction of its capacity that an endpoint has when it starts.
        slow_start_duration_ms: The time until a started endpoint has its full capacity.
        slow_start_overload_factor: The multiple of its capacity at which an endpoint that warms up is
            overloaded.
        slow_start_overload_window_ms: The time window over which that load is measured.
        slow_start_initial_units: Units that a newly started endpoint can take within that window; 0 if not
            stated.
        order_settle_ms: For ordered classes, the pause of a key after an attempt that may still be executed.
        retry_budget_window_ms: The time window over which retries are counted; 0 if retries are not limited.
        retry_budget_base: Retries allowed in any window.
        retry_budget_ratio: Additional retries allowed for each request in the window.
    """

    gateway_count: int
    gateway_index: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: str = ""
    clock_tick_ms: float = 1.0
    mean_request_units: float = 1.0
    max_request_units: float = 1.0
    fair_share_priority_factor: float = 1.0
    excess_priority_factor: float = 1.0
    usage_report_interval_ms: float = 0.0
    goal_total_weight: float = 1.0
    goal_worst_class_weight: float = 0.0
    goal_worst_plan_weight: float = 0.0
    polls_endpoint_list: bool = False
    max_attempts: int = 1
    can_cancel_attempts: bool = False
    can_health_check: bool = False
    can_message_peers: bool = False
    can_hedge_requests: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    slow_start_initial_capacity: float = 1.0
    slow_start_duration_ms: float = 0.0
    slow_start_overload_factor: float = 0.0
    slow_start_overload_window_ms: float = 0.0
    slow_start_initial_units: float = 0.0
    order_settle_ms: float = 0.0
    retry_budget_window_ms: float = 0.0
    retry_budget_base: float = 0.0
    retry_budget_ratio: float = 0.0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A storage node in the endpoint list; ``started_at_ms`` is 0 if it started long ago."""

    name: str
    status: EndpointStatus
    shard: int
    zone: str = ""
    started_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointList:
    """Event: the endpoint list, or changes of it."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """Event: a client's request has arrived.

    Attributes:
        request_id: Identifies the request in later events and actions.
        request_class: Name of its :class:`RequestClass`.
        plan: Name of its :class:`Plan`.
        volume: The volume whose quota is charged.
        key: The key that orders requests and identifies retries; may be empty.
        units: Its work.
        shard: The shard that holds its object; -1 for a new object that any shard may take.
        sharing_gateways: Number of gateways that serve the volume.
        time_left_ms: The time until the client's deadline.
        is_retry: Whether the client marked it as a retry.
    """

    request_id: str
    request_class: str
    plan: str
    volume: str
    key: str
    units: float
    shard: int
    sharing_gateways: int
    time_left_ms: float
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """Event: the response to an attempt is being streamed to the client, so the request is answered."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt has ended.

    Attributes:
        request_id: The request.
        attempt: Index of the attempt, from 0.
        endpoint: Name of the endpoint it was sent to.
        outcome: How it ended.
        latency_ms: The time from its start to its end.
        request_finished: Whether the request needs no further attempt.
        volume_usage_percent: The volume's recent usage over all gateways, in percent of the plan's expected
            rate; None if not reported.
        units_via_other_gateways: Units that the shard served to the volume through other gateways.
        load_report: Values of the endpoint's load report, in the order of the settings.
    """

    request_id: str
    attempt: int
    endpoint: str
    outcome: AttemptOutcome
    latency_ms: float
    request_finished: bool
    volume_usage_percent: float | None = None
    units_via_other_gateways: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Event: the client has disconnected, and the request needs no answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: a timer that the scheduler set has expired."""

    timer_id: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """Event: the result of a health check."""

    endpoint: str
    outcome: AttemptOutcome
    latency_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: a message from another gateway."""

    sender_index: int
    payload: bytes


Event = (
    EndpointList
    | Request
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Action: start an attempt of a request at an endpoint.

    Attributes:
        request_id: The request.
        endpoint: Name of the endpoint.
        timeout_ms: The time limit of the attempt; 0 for the client's deadline.
        write_timeout_ms: The attempt ends as not sent unless its last byte is written within this time; 0 if
            there is no such limit.
    """

    request_id: str
    endpoint: str
    timeout_ms: float = 0.0
    write_timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ShedRequest:
    """Action, final answer: the request was not executed, and may be retried after ``retry_after_ms``."""

    request_id: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Action, final answer: the request failed, and may have been executed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: deliver a :class:`TimerFired` after a time."""

    timer_id: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: stop waiting for an attempt. It may have been executed, and its work may continue."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """Action: give up an attempt that is not completely written, so that it is never executed.

    An attempt that has been written completely is not affected.
    """

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Action: subscribe to the changes of the endpoint list."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Action: write a message to the operators' log."""

    message: str


Action = (
    StartAttempt
    | ShedRequest
    | FailRequest
    | SetTimer
    | CancelAttempt
    | AbandonAttempt
    | WatchEndpoints
    | LogMessage
)
