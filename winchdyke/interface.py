"""The types that a gateway and its scheduler exchange: settings, events and actions.

A gateway makes one :class:`winchdyke.Scheduler` from :class:`Settings`, passes it each batch of events together with
the time, and carries out the actions it returns, in their order. Nothing here decides anything.

Times are milliseconds on the gateway's monotonic clock. A *unit* is the measure of work in which plans are counted.
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
    """Which endpoints share the memory by which repeats of an idempotency key are discarded."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


class EndpointStatus(Enum):
    """The state of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """What an endpoint list event holds: changes only, the full list, an earlier copy of it, or nothing."""

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
        name: The name that requests give.
        priority_weight: The value of one request served within its latency objective.
        latency_objective_ms: The latency up to which a response earns its full value.
        deadline_ms: The latency past which a response is of no use.
        late_value_ratio: The part of the value that a response after the objective still earns.
        repeat_safety: What a second execution of the same request does.
        deduplication_scope: Which endpoints discard repeats of an idempotency key.
        deduplication_window_ms: For how long an endpoint remembers an idempotency key.
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
        name: The name that requests give.
        priority_factor: A factor on the priority weight of the volume's requests.
        fair_share_weight: The volume's weight in sharing what reservations leave.
        expected_units_per_s: The use that the volume is sized for.
        reserved_units_per_s: The reservation: use that has full priority.
        limit_units_per_s: The use that is never exceeded; 0: no limit.
        limit_burst_units: Units that the limit admits at once.
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
    """What a scheduler is configured with.

    Attributes:
        gateway_count: Gateways of the deployment.
        gateway_index: This gateway's index, from 0.
        classes: The classes of requests.
        plans: The plans of volumes.
        zone: The zone of this gateway.
        clock_tick_ms: The resolution of the gateway's clock.
        mean_request_units: The mean work of a request.
        max_request_units: The largest work that a request may announce.
        fair_share_priority_factor: Factor on the priority of use beyond the reservation and within the fair share.
        excess_priority_factor: Factor on the priority of use beyond the fair share.
        usage_report_interval_ms: How often a volume's use over all gateways is reported.
        goal_total_weight: Weight of the value of all requests in the goal.
        goal_worst_class_weight: Weight of the worst-served class in the goal.
        goal_worst_plan_weight: Weight of the worst-served plan in the goal.
        polls_endpoint_list: Whether the endpoint list has to be requested; otherwise it is pushed.
        max_attempts: Attempts of one request, the first included.
        can_cancel_attempts: Whether an attempt in flight may be cancelled.
        can_health_check: Whether endpoints may be health-checked.
        can_message_peers: Whether gateways may exchange messages.
        can_hedge_requests: Whether a request may have two attempts in flight.
        max_retry_after_ms: The Retry-After of a shed request; 0: none is given.
        connect_timeout_ms: The time allowed for a new connection.
        slow_start_initial_capacity: The fraction of its capacity that an endpoint has when it starts.
        slow_start_duration_ms: The time until a started endpoint has its full capacity.
        slow_start_overload_factor: How many times its capacity overloads an endpoint that warms up.
        slow_start_overload_window_ms: The time over which that load is measured.
        slow_start_initial_units: Units that an endpoint bears within that window when it starts; 0: not stated.
        order_settle_ms: The pause of a key after an attempt that may still be executed, for ordered classes.
        retry_budget_window_ms: The time over which retries are counted; 0: retries are not limited.
        retry_budget_base: Retries allowed in any window.
        retry_budget_ratio: Retries allowed beyond these, for each request in the window.
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
    """A storage node in the endpoint list; ``started_at_ms`` is 0 where it has been up for long."""

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
        volume: The volume whose quota it uses.
        key: The key by which requests are ordered, and recognised when they are retried; may be empty.
        units: Its work.
        shard: The shard that holds its object; -1 for a new object that any shard may take.
        sharing_gateways: Gateways that serve the volume.
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
        latency_ms: Time from its start to its end.
        request_finished: Whether the request needs no further attempt.
        volume_usage_percent: The volume's recent use over all gateways, in percent of the plan's expected rate;
            None where it is not reported.
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
        timeout_ms: The attempt's time limit; 0: the client's deadline.
        write_timeout_ms: The attempt is given up as not sent unless its last byte is written within this time;
            0: no such limit.
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
    """Action: request all changes of the endpoint list from now on."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Action: write a line to the operators' log."""

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
