"""Dispatch: chooses which queued requests of a shard to send next, and starts their attempts."""

from __future__ import annotations

from winchdyke import interface as api
from winchdyke.scheduling.admission import enqueue
from winchdyke.scheduling.concurrency_limit import MAX_LIMIT
from winchdyke.scheduling.endpoint_health import suspect
from winchdyke.scheduling.endpoint_state import EndpointState, InFlightAttempt
from winchdyke.scheduling.pending_request import PendingRequest, SentAttempt
from winchdyke.scheduling.shard import Shard
from winchdyke.scheduling.state import SAFE_LATENCY_FACTOR, SchedulerState


def dispatch_shard(state: SchedulerState, shard: Shard) -> None:
    """Starts attempts of a shard's queued requests in order of priority, while its endpoint has capacity."""
    endpoint = shard.active_endpoint()
    _move_new_objects_away(state, shard, endpoint)
    if endpoint is None or not _may_have_capacity(state, shard, endpoint):
        return
    now = state.now
    by_priority = sorted(
        shard.queue.values(),
        key=lambda pending: (-priority_per_ms(state, pending, endpoint), pending.objective_at_ms),
    )
    for pending in by_priority:
        if not has_capacity(state, endpoint, pending):
            continue
        if not is_eligible(state, pending, endpoint):
            continue
        if not endpoint.admits_during_slow_start(
            state.settings,
            now,
            pending.request.units,
            shard.throughput_units_per_s,
            state.gateways_sharing_a_shard,
        ):
            return
        start_attempt(state, pending, endpoint)


def priority_per_ms(state: SchedulerState, pending: PendingRequest, endpoint: EndpointState) -> float:
    """Returns the priority of a request per millisecond of the endpoint's time.

    It is the priority weight of the class and plan, times the chance to meet the objective, times a factor
    that falls with the volume's use: from its reservation, through its fair share, to the excess. Refills the
    volume's quota.
    """
    request_class = pending.request_class
    unit_cost_ms = state.unit_cost_ms[request_class.name]
    pending.quota.refill(state.now)
    needed_ms = (
        SAFE_LATENCY_FACTOR
        * unit_cost_ms
        * pending.request.units
        * max(1.0, endpoint.concurrency_limit.short_ratio)
    )
    chance = min(1.0, max(0.0, pending.objective_at_ms - state.now) / needed_ms)
    weight = request_class.priority_weight * pending.quota.plan.priority_factor
    return weight * chance * _entitlement_factor(state, pending) / unit_cost_ms


def has_capacity(state: SchedulerState, endpoint: EndpointState, pending: PendingRequest) -> bool:
    """Returns whether the endpoint may be sent one more request.

    At its limit, it still admits a class that is below its guaranteed share. A suspected endpoint admits a
    request when its next health check is due.
    """
    if endpoint.suspected_since_ms is not None:
        return state.now >= endpoint.next_health_check_at_ms
    limit = endpoint.concurrency_limit.limit
    if limit < 1:
        return _has_paused(state, endpoint, pending)
    in_flight = len(endpoint.in_flight)
    if in_flight < int(limit):
        return True
    class_name = pending.request_class.name
    class_in_flight = sum(name == class_name for _, name in endpoint.in_flight.values())
    return class_in_flight < int(limit * state.class_shares[class_name]) and in_flight < MAX_LIMIT


def is_eligible(state: SchedulerState, pending: PendingRequest, endpoint: EndpointState) -> bool:
    """Returns whether key order, repeat safety, volume limit and retry budget allow an attempt now."""
    if _waits_for_order(state, pending) or not pending.may_be_sent_to(endpoint, state.now):
        return False
    if _waits_for_limit(pending):
        return False
    return not pending.attempts or state.retry_budget.allows(state.now)


def start_attempt(state: SchedulerState, pending: PendingRequest, endpoint: EndpointState) -> None:
    """Starts an attempt, and charges it to the volume's quota, the retry budget and the slow-start credit."""
    now = state.now
    request = pending.request
    del state.shards[pending.shard].queue[request.request_id]
    if pending.attempts:
        state.retry_budget.record_retry(now)
    else:
        pending.quota.record_sent(request.units)
    if not pending.limit_charged:
        pending.quota.limit_units -= request.units
        pending.limit_charged = True
    endpoint.slow_start_credit_units -= request.units
    endpoint.overdraft_fraction = state.random.random()
    attempt = len(pending.attempts)
    endpoint.in_flight[request.request_id, attempt] = InFlightAttempt(now, pending.request_class.name)
    limit = endpoint.concurrency_limit
    limit.peak_in_flight = max(limit.peak_in_flight, len(endpoint.in_flight))
    pending.attempts.append(SentAttempt(endpoint, now))
    pending.attempts_in_flight += 1
    if endpoint.suspected_since_ms is not None:
        suspect(state, endpoint)
    state.actions.append(
        api.StartAttempt(request.request_id, endpoint.name, write_timeout_ms=pending.write_timeout_ms(now))
    )


def _move_new_objects_away(state: SchedulerState, shard: Shard, endpoint: EndpointState | None) -> None:
    """Chooses a shard again for queued new objects if the endpoint of their shard is missing or suspected."""
    if endpoint is not None and endpoint.suspected_since_ms is None:
        return
    for pending in [pending for pending in shard.queue.values() if pending.request.shard < 0]:
        del shard.queue[pending.request.request_id]
        enqueue(state, pending)


def _may_have_capacity(state: SchedulerState, shard: Shard, endpoint: EndpointState) -> bool:
    """Returns whether the endpoint is idle, or has capacity for at least one of the queued classes."""
    if endpoint.suspected_since_ms is None and not endpoint.in_flight:
        return True
    heads = {pending.request_class.name: pending for pending in shard.queue.values()}.values()
    return any(has_capacity(state, endpoint, head) for head in heads)


def _has_paused(state: SchedulerState, endpoint: EndpointState, pending: PendingRequest) -> bool:
    """Returns whether the pause that enforces a limit below 1 is over.

    A request within its volume's reservation skips the pause if it can still meet its objective.
    """
    if endpoint.in_flight:
        return False
    limit = endpoint.concurrency_limit
    if pending.quota.reserved_units > 0 and limit.mean_latency_ms < pending.objective_at_ms - state.now:
        return True
    pause_ms = limit.mean_latency_ms * (1 / limit.limit - 1)
    return state.now - endpoint.last_response_at_ms >= pause_ms


def _entitlement_factor(state: SchedulerState, pending: PendingRequest) -> float:
    """Returns the priority factor of a volume's use: 1 within its reservation, falling with overuse."""
    settings = state.settings
    quota = pending.quota
    if quota.reserved_units > 0:
        return 1.0
    entitled_units_per_s = quota.plan.reserved_units_per_s + quota.plan.expected_units_per_s
    own_units_per_s = quota.own_units_per_s / quota.gateway_fraction
    overuse = max(1.0, own_units_per_s / max(1.0, entitled_units_per_s))
    fair_share_bonus = settings.fair_share_priority_factor - settings.excess_priority_factor
    return settings.excess_priority_factor + fair_share_bonus / overuse**2


def _waits_for_limit(pending: PendingRequest) -> bool:
    """Returns whether the request must wait until the limit of its volume has accrued its units."""
    quota = pending.quota
    if pending.limit_charged or not quota.plan.limit_units_per_s:
        return False
    return quota.limit_units < pending.request.units


def _waits_for_order(state: SchedulerState, pending: PendingRequest) -> bool:
    """Returns whether an ordered request must wait for an earlier one of its key, or for the key's pause."""
    key = pending.request.key
    if not pending.request_class.in_order or not key or pending.attempts:
        return False
    first = next(
        other
        for other in state.requests.values()
        if other.request_class.in_order and other.request.key == key
    )
    return first is not pending or state.now < state.settling_keys.get(key, state.now)
