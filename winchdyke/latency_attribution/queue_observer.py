"""Finds out why requests are queued and who holds the capacity they wait for, by reading the scheduler's state.

The state is never changed here. A *turn* is one run of the scheduler over the events that have arrived. For each shard and
class with queued requests, the shares of the holders of the missing capacity are integrated over time, and the wait of a
request is the difference of two readings of that integral. So the cost does not depend on the number of queued requests: an
observation costs in proportion to shards with a queue, times classes, times attempts in flight at an endpoint. Causes that
apply to a single request (its volume's quota, its key's order, the rules on repeats) are observed request by request, for a
bounded number of requests at a time.

These causes are facts, as the scheduler itself decides by them: attempts in flight, a quota, a key's order, no endpoint, a
health check, slow start. These are estimates: attempts in flight have equal shares; an attempt's time beyond its expected
one (the unit cost of its class, times the endpoint's long-term ratio) is attributed to the endpoint.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice
from typing import TypeVar

from winchdyke.latency_attribution.vocabulary import (
    CAUSE_CONCURRENCY_LIMIT,
    CAUSE_FAIR_SHARE,
    CAUSE_HEALTH_CHECK,
    CAUSE_KEY_ORDER,
    CAUSE_LIMIT_BACKOFF,
    CAUSE_NO_ENDPOINT,
    CAUSE_QUOTA,
    CAUSE_REPEAT_SAFETY,
    CAUSE_RETRY_BUDGET,
    CAUSE_SLOW_START,
    CAUSE_TURN,
    DETAIL_NO_ENDPOINT,
    DETAIL_QUOTA,
    DETAIL_SLOW,
    DETAIL_SUSPECTED,
    KIND_DESIGN,
    KIND_ENDPOINT,
    KIND_VOLUME,
    TURN_HOLDER,
    Holder,
)
from winchdyke.scheduling import Scheduler
from winchdyke.scheduling.concurrency_limit import MAX_LIMIT
from winchdyke.scheduling.endpoint_state import EndpointState
from winchdyke.scheduling.pending_request import PendingRequest
from winchdyke.scheduling.shard import Shard

Key = TypeVar("Key")
Shares = dict[Holder, float]  # sum to 1
TimesByHolder = dict[Holder, float]  # milliseconds
TimesByCause = dict[str, float]  # milliseconds
Reading = tuple[TimesByHolder, TimesByCause]
CauseAndShares = tuple[str, Shares]

MAX_OBSERVED_REQUESTS = 512  # requests examined for causes of their own in one observation
# Multiple of the expected latency beyond which an attempt is attributed to its endpoint.
SLOW_ATTEMPT_FACTOR = 1.5
TURN: CauseAndShares = (CAUSE_TURN, {TURN_HOLDER: 1.0})
BACKOFF_HOLDER: Holder = (KIND_DESIGN, "window", "pause")
RETRY_BUDGET_HOLDER: Holder = (KIND_DESIGN, "budget", "attempts")
SETTLING_HOLDER: Holder = (KIND_DESIGN, "order", "rest after an attempt that may still run")


@dataclass(frozen=True, slots=True)
class ObservedGroup:
    """The requests of one class that are queued for one shard."""

    shard: int
    class_name: str
    count: int
    cause: str
    shares: Shares


class WaitIntegral:
    """Milliseconds by holder and by cause for one shard and class, integrated while requests are queued there."""

    __slots__ = ("_reading", "advanced_at_ms", "cause", "causes_ms", "holders_ms", "shares")

    def __init__(self, now_ms: float) -> None:
        self.advanced_at_ms = now_ms
        self.cause, self.shares = TURN
        self.holders_ms: TimesByHolder = {}
        self.causes_ms: TimesByCause = {}
        self._reading: Reading | None = None

    def advance(self, now_ms: float) -> None:
        """Adds the time since the last call according to the current shares."""
        span_ms = now_ms - self.advanced_at_ms
        if span_ms <= 0:
            return
        _add_shares(self.holders_ms, self.shares, span_ms)
        self.causes_ms[self.cause] = self.causes_ms.get(self.cause, 0.0) + span_ms
        self.advanced_at_ms = now_ms
        self._reading = None

    def read(self) -> Reading:
        """Returns the current reading; requests queued at the same time share one copy."""
        if self._reading is None:
            self._reading = (dict(self.holders_ms), dict(self.causes_ms))
        return self._reading


class QueuedRequest:
    """One queued request: the reading at the start of its wait, and a cause of its own if it has one."""

    __slots__ = (
        "cause",
        "causes_ms",
        "group",
        "has_own_cause",
        "holders_ms",
        "integral",
        "reading",
        "settled_at_ms",
        "shares",
    )

    def __init__(self, group: tuple[int, str], integral: WaitIntegral, now_ms: float) -> None:
        self.group = group
        self.integral = integral
        self.reading = integral.read()
        self.has_own_cause = False
        self.settled_at_ms = now_ms
        self.cause = ""
        self.shares: Shares = {}
        self.holders_ms: TimesByHolder = {}
        self.causes_ms: TimesByCause = {}

    def settle(self, now_ms: float) -> None:
        """Adds the time since the last call to the request's own cause, or to the causes of its group."""
        if self.has_own_cause:
            span_ms = max(0.0, now_ms - self.settled_at_ms)
            _add_shares(self.holders_ms, self.shares, span_ms)
            self.causes_ms[self.cause] = self.causes_ms.get(self.cause, 0.0) + span_ms
            self.integral.advance(now_ms)
        else:
            self.integral.advance(now_ms)
            holders_before, causes_before = self.reading
            _add_increase(self.holders_ms, self.integral.holders_ms, holders_before)
            _add_increase(self.causes_ms, self.integral.causes_ms, causes_before)
        self.reading = self.integral.read()
        self.settled_at_ms = now_ms


def _add_shares(times_ms: TimesByHolder, shares: Shares, span_ms: float) -> None:
    for holder, share in shares.items():
        times_ms[holder] = times_ms.get(holder, 0.0) + span_ms * share


def _add_increase(
    times_ms: dict[Key, float], current_ms: Mapping[Key, float], before_ms: Mapping[Key, float]
) -> None:
    """Adds the increase of each time since ``before_ms`` to ``times_ms``; decreases are ignored."""
    for key, value_ms in current_ms.items():
        increase_ms = value_ms - before_ms.get(key, 0.0)
        if increase_ms > 0:
            times_ms[key] = times_ms.get(key, 0.0) + increase_ms


class QueueObserver:
    """Observes one scheduler. :meth:`observe` has to be called after each turn of the scheduler."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self._groups: dict[tuple[int, str], WaitIntegral] = {}
        self._group_sizes: dict[tuple[int, str], int] = {}
        self._waiting: dict[str, QueuedRequest] = {}
        # Requests that may have a cause of their own.
        self._individual: OrderedDict[str, None] = OrderedDict()
        # Shard, class and time of requests not yet observed in the queue; most are dispatched in the turn that takes them.
        self._unobserved: dict[str, tuple[int, str, float]] = {}

    def record_queued(self, request: str, shard: int, class_name: str, now_ms: float) -> None:
        """Records that a request is passed to the scheduler; it counts as queued from now on if the turn leaves it queued."""
        self._unobserved[request] = (shard, class_name, now_ms)

    def take_immediate(self, request: str) -> bool:
        """Returns whether a request was decided on in the turn that took it, and forgets the request in that case."""
        return self._unobserved.pop(request, None) is not None

    def record_dequeued(self, request: str, now_ms: float) -> Reading:
        """Ends the wait of a request, and returns its milliseconds by holder and by cause."""
        unobserved = self._unobserved.pop(request, None)
        if unobserved is not None:
            _, _, queued_at_ms = unobserved
            span_ms = max(0.0, now_ms - queued_at_ms)
            return {TURN_HOLDER: span_ms}, {CAUSE_TURN: span_ms}
        waiting = self._waiting.pop(request, None)
        if waiting is None:
            return {}, {}
        self._individual.pop(request, None)
        group = waiting.group
        self._group_sizes[group] -= 1
        waiting.settle(now_ms)
        if not self._group_sizes[group]:
            del self._group_sizes[group]
            self._groups.pop(group, None)
        return waiting.holders_ms, waiting.causes_ms

    def queued_groups(self) -> list[ObservedGroup]:
        """Returns the groups of requests that are queued now."""
        return [
            ObservedGroup(*group, self._group_sizes[group], integral.cause, dict(integral.shares))
            for group, integral in self._groups.items()
        ]

    def observe(self, now_ms: float) -> None:
        """Reads the scheduler's state after one of its turns."""
        requests = self.scheduler.requests
        for name in list(self._unobserved):
            pending = requests.get(name)
            if pending is not None and not pending.finished and not pending.attempts_in_flight:
                shard_number, class_name, queued_at_ms = self._unobserved.pop(name)
                self._start_wait(name, shard_number, class_name, queued_at_ms)
        if not self._waiting:
            return
        shards = self.scheduler.shards
        for (shard_number, class_name), integral in self._groups.items():
            integral.advance(now_ms)
            shard = shards.get(shard_number)
            if shard is None:
                integral.cause, integral.shares = TURN
            else:
                integral.cause, integral.shares = self._group_cause(shard, shard_number, class_name, now_ms)
        for name in list(islice(self._individual, MAX_OBSERVED_REQUESTS)):
            self._observe_request(name, now_ms)
            if name in self._individual:
                self._individual.move_to_end(name)

    def expected_latency_ms(self, endpoint: EndpointState, class_name: str, units: float) -> float:
        """Returns the expected latency of an endpoint for some work, as learnt for the class and the endpoint."""
        unit_cost_ms = self.scheduler.unit_cost_ms[class_name]
        return float(unit_cost_ms * units * max(1.0, endpoint.concurrency_limit.long_ratio))

    def _start_wait(self, name: str, shard_number: int, class_name: str, now_ms: float) -> None:
        """Begins the wait of a request; it is examined for a cause of its own at least once."""
        group = (shard_number, class_name)
        integral = self._groups.get(group)
        if integral is None:
            integral = WaitIntegral(now_ms)
            self._groups[group] = integral
        integral.advance(now_ms)
        self._waiting[name] = QueuedRequest(group, integral, now_ms)
        self._group_sizes[group] = self._group_sizes.get(group, 0) + 1
        self._individual[name] = None

    def _observe_request(self, name: str, now_ms: float) -> None:
        """Updates the cause of one request; its time so far is settled before its cause changes."""
        waiting = self._waiting[name]
        pending = self.scheduler.requests.get(name)
        found = None
        if pending is not None:
            if not pending.finished:
                found = self._own_cause(pending, now_ms)
            if not _may_have_own_cause(pending):
                self._individual.pop(name, None)
        if found is None and not waiting.has_own_cause:
            return
        waiting.settle(now_ms)
        waiting.has_own_cause = found is not None
        if found is not None:
            waiting.cause, waiting.shares = found

    # Causes of one request

    def _own_cause(self, pending: PendingRequest, now_ms: float) -> CauseAndShares | None:
        """Returns the cause that holds back this request alone, or None if it waits for the same as its group."""
        if pending.attempts:
            return self._retry_cause(pending, now_ms)
        return self._order_cause(pending, now_ms) or _quota_cause(pending, now_ms)

    def _order_cause(self, pending: PendingRequest, now_ms: float) -> CauseAndShares | None:
        """Returns the cause if an earlier request of the same key has to finish, or its outcome is not settled yet."""
        key = pending.request.key
        if not pending.request_class.in_order or not key:
            return None
        scheduler = self.scheduler
        ordered = (
            each
            for each in scheduler.requests.values()
            if each.request_class.in_order and each.request.key == key
        )
        first = next(ordered, None)
        if first is not None and first is not pending:
            return CAUSE_KEY_ORDER, {(KIND_VOLUME, first.request.volume, first.request_class.name): 1.0}
        if now_ms < scheduler.settling_keys.get(key, now_ms):
            return CAUSE_KEY_ORDER, {SETTLING_HOLDER: 1.0}
        return None

    def _retry_cause(self, pending: PendingRequest, now_ms: float) -> CauseAndShares | None:
        """Returns the cause if the retry budget is spent, or a repetition at the active endpoint may not be safe."""
        scheduler = self.scheduler
        if self._is_retry_budget_spent(now_ms):
            return CAUSE_RETRY_BUDGET, {RETRY_BUDGET_HOLDER: 1.0}
        endpoint = scheduler.shards[pending.shard].active_endpoint()
        if endpoint is not None and not pending.may_be_sent_to(endpoint, now_ms):
            holder: Holder = (KIND_DESIGN, "repeat", pending.request_class.name)
            return CAUSE_REPEAT_SAFETY, {holder: 1.0}
        return None

    def _is_retry_budget_spent(self, now_ms: float) -> bool:
        """Returns whether the budget has no retry left, computed without changing the scheduler's state."""
        settings = self.scheduler.settings
        budget = self.scheduler.retry_budget
        if not settings.retry_budget_window_ms:
            return False
        since_ms = now_ms - settings.retry_budget_window_ms
        retries = sum(at_ms > since_ms for at_ms in budget.retry_times)
        requests = sum(at_ms > since_ms for at_ms in budget.request_times)
        return retries + 1 > settings.retry_budget_base + settings.retry_budget_ratio * requests

    # Causes of a group

    def _group_cause(self, shard: Shard, shard_number: int, class_name: str, now_ms: float) -> CauseAndShares:
        """Returns the cause for which the requests of a class wait at a shard, and the holders' shares."""
        endpoint = shard.active_endpoint()
        if endpoint is None:
            return CAUSE_NO_ENDPOINT, {(KIND_ENDPOINT, f"shard {shard_number}", DETAIL_NO_ENDPOINT): 1.0}
        if endpoint.suspected_since_ms is not None:
            return CAUSE_HEALTH_CHECK, {(KIND_ENDPOINT, endpoint.name, DETAIL_SUSPECTED): 1.0}
        limit = endpoint.concurrency_limit.limit
        in_flight = endpoint.in_flight
        if limit < 1 and not in_flight:
            return CAUSE_LIMIT_BACKOFF, {BACKOFF_HOLDER: 1.0}
        if limit >= 1 and len(in_flight) < int(limit):
            if self._is_in_slow_start(endpoint, now_ms):
                return CAUSE_SLOW_START, {(KIND_DESIGN, "cold", endpoint.name): 1.0}
            return TURN
        of_class = sum(name == class_name for _, name in in_flight.values())
        has_others = 0 < of_class < len(in_flight)
        is_fair_share = has_others and len(in_flight) < MAX_LIMIT
        cause = CAUSE_FAIR_SHARE if is_fair_share else CAUSE_CONCURRENCY_LIMIT
        return cause, self._in_flight_shares(endpoint, now_ms)

    def _is_in_slow_start(self, endpoint: EndpointState, now_ms: float) -> bool:
        """Returns whether an endpoint has started less than the slow-start duration ago, if slow start is enabled."""
        settings = self.scheduler.settings
        age_ms = now_ms - endpoint.started_at_ms
        return bool(settings.slow_start_overload_window_ms) and age_ms < settings.slow_start_duration_ms

    def _in_flight_shares(self, endpoint: EndpointState, now_ms: float) -> Shares:
        """Returns equal shares for all attempts in flight; the share of a slow attempt goes to the endpoint."""
        requests = self.scheduler.requests
        shares: Shares = {}
        share = 1.0 / len(endpoint.in_flight)
        for (name, _), (sent_at_ms, class_name) in endpoint.in_flight.items():
            pending = requests.get(name)
            units = pending.request.units if pending is not None else 1.0
            expected_ms = self.expected_latency_ms(endpoint, class_name, units)
            if now_ms - sent_at_ms > SLOW_ATTEMPT_FACTOR * expected_ms:
                holder: Holder = (KIND_ENDPOINT, endpoint.name, DETAIL_SLOW)
            else:
                volume = pending.request.volume if pending is not None else "?"
                holder = (KIND_VOLUME, volume, class_name)
            shares[holder] = shares.get(holder, 0.0) + share
        return shares


def _may_have_own_cause(pending: PendingRequest) -> bool:
    """Returns whether a request has to be examined by itself: after an attempt, with a key order, or with a limit."""
    has_quota_limit = bool(pending.quota.plan.limit_units_per_s)
    return bool(pending.attempts) or pending.request_class.in_order or has_quota_limit


def _quota_cause(pending: PendingRequest, now_ms: float) -> CauseAndShares | None:
    """Returns the cause if the bucket of the volume's limit holds fewer units than the request needs."""
    quota = pending.quota
    if not quota.plan.limit_units_per_s:
        return None
    # The current level, computed without refilling the quota, as the scheduler's state must not change.
    seconds = (now_ms - quota.refilled_at_ms) / 1000
    level_units = quota.limit_units + quota.plan.limit_units_per_s / quota.sharing_gateways * seconds
    if level_units >= pending.request.units:
        return None
    return CAUSE_QUOTA, {(KIND_VOLUME, pending.request.volume, DETAIL_QUOTA): 1.0}
