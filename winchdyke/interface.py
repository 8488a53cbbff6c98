"""The types through which a gateway and the scheduler speak: settings, events and actions.

Times are milliseconds on the gateway's own clock; units are the measure in which plans count. A gateway
makes one :class:`winchdyke.policy.Scheduler` from :class:`Settings`, hands it each batch of events with the
time, and carries out the actions it returns, in their order. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What happens when a request of the class runs twice."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    AT_MOST_ONCE = "at most once"


class Scope(Enum):
    """The group of nodes that drops the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class NodeState(Enum):
    """What the node list says of a node."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a node list event holds: changes only, the whole list, an old copy of it, or nothing."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    SHED = "shed"
    TIMED_OUT = "timed out"
    DIAL_FAILED = "dial failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the attempt had no effect."""
        return self in (Outcome.SHED, Outcome.DIAL_FAILED, Outcome.UNSENT)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: what it is worth, until when, and whether it may be repeated."""

    name: str
    worth: float
    aim_ms: float
    deadline_ms: float
    late_share: float
    effect: Effect
    scope: Scope
    memory_ms: float
    streamed: bool = False
    in_order: bool = False
    writes: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the figures of each of its volumes, over all gateways and nodes. Rates are units a second."""

    name: str
    worth_factor: float
    weight: float
    usual_rate: float
    reserve: float
    limit: float = 0.0
    limit_burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at its start."""

    gateways: int
    index: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: str = ""
    tick_ms: float = 1.0
    mean_units: float = 1.0
    largest_units: float = 1.0
    fair_worth: float = 1.0
    idle_worth: float = 1.0
    meter_ms: float = 0.0
    goal_whole: float = 1.0
    goal_worst_class: float = 0.0
    goal_worst_plan: float = 0.0
    must_ask: bool = False
    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    second_copies: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    cold_from: float = 1.0
    warm_after_ms: float = 0.0
    fall_multiple: float = 0.0
    fall_window_ms: float = 0.0
    cold_units: float = 0.0
    settle_ms: float = 0.0
    extra_window_ms: float = 0.0
    extra_free: float = 0.0
    extra_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Node:
    """A storage node as the list names it; ``started_ms`` is 0 where it has been up for long."""

    name: str
    state: NodeState
    shard: int
    zone: str = ""
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class NodeList:
    """News of the nodes."""

    kind: ListKind
    nodes: tuple[Node, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, now this gateway's to answer. ``shard`` is -1 for an object that is new."""

    id: str
    class_name: str
    plan: str
    volume: str
    key: str
    units: float
    shard: int
    gateways: int
    left_ms: float
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer to an attempt has begun to stream: it is the client's from now on."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; ``closed`` tells that the request is finished with it or was before.

    ``volume_rate`` is the volume's recent use everywhere in units a second (None: not told), ``from_others``
    the units this shard served it through other gateways, ``load`` the node's report.
    """

    request: str
    attempt: int
    node: str
    outcome: Outcome
    latency_ms: float
    closed: bool
    used_percent: float | None = None
    from_others: float = 0.0
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has left, and the request needs no answer."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the scheduler set has come due."""

    tag: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """What a probe of a node brought."""

    node: str
    outcome: Outcome
    latency_ms: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A short message of another gateway."""

    sender: int
    data: bytes


Event = NodeList | Request | StreamStarted | AttemptEnded | ClientGone | TimerFired | ProbeEnded | PeerMessage


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt of a request at a node; a time-out of 0 is the client's own.

    ``write_ms``: an attempt whose last byte has not been handed over after this time is given up, unsent; 0: no such bound.
    """

    request: str
    node: str
    timeout_ms: float = 0.0
    write_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, and safe to try again after the given time."""

    request: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a :class:`TimerFired` after a time."""

    tag: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt; it may have run, and its work may go on."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class CallOff:
    """Give up one attempt that has not been written whole, which then never ran; one that has is let be."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Ask the list service for all changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Refuse | Fail | SetTimer | Cancel | CallOff | WatchList | Log
