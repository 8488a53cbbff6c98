"""Admission: accepts requests, queues them at their shards, and rejects those that cannot be served."""

from __future__ import annotations

from winchdyke import interface as api
from winchdyke.scheduling.endpoint_state import EndpointState
from winchdyke.scheduling.pending_request import PendingRequest
from winchdyke.scheduling.quota import VolumeQuota
from winchdyke.scheduling.shard import Shard
from winchdyke.scheduling.state import SchedulerState
from winchdyke.scheduling.unused_quotas import forget_unused_quotas

ANSWER_MARGIN_TICKS = 2  # a request is answered this many clock ticks before its deadline


def accept_request(state: SchedulerState, request: api.Request) -> None:
    """Accepts a new request: computes its deadlines, sets its deadline timer, and queues or rejects it."""
    now = state.now
    request_class = state.classes[request.request_class]
    forget_unused_quotas(state)
    quota = _quota_of(state, request)
    quota.sharing_gateways = max(quota.sharing_gateways, request.sharing_gateways)
    quota.refill(now)
    pending = PendingRequest(request, request_class, quota, now)
    state.requests[request.request_id] = pending
    quota.open_requests += 1
    time_left_ms = max(0.0, request.time_left_ms - ANSWER_MARGIN_TICKS * state.settings.clock_tick_ms)
    pending.deadline_ms = now + time_left_ms
    pending.first_received_at_ms = _first_received_at_ms(state, request, request_class)
    pending.objective_at_ms = min(
        pending.first_received_at_ms + request_class.latency_objective_ms, pending.deadline_ms
    )
    state.retry_budget.record_request(now)
    set_deadline_timer(state, pending)
    enqueue(state, pending)


def set_deadline_timer(state: SchedulerState, pending: PendingRequest) -> None:
    """Sets a timer for a request's deadline, or for a part of the time until then if its client waits very long.

    Timers outlive their requests, so that one with a deadline of days would be kept for days.
    """
    time_left_ms = max(0.0, pending.deadline_ms - state.now)
    state.last_timer_id += 1
    state.deadline_timers[state.last_timer_id] = pending.request.request_id
    state.actions.append(api.SetTimer(state.last_timer_id, min(time_left_ms, state.longest_deadline_ms)))


def enqueue(state: SchedulerState, pending: PendingRequest) -> None:
    """Queues a request at its shard, or at one chosen for a new object; rejects it if it cannot be served."""
    request = pending.request
    if pending.needs_placement:
        endpoint = _endpoint_for_new_object(state)
        pending.shard = endpoint.shard if endpoint else -1
    shard = state.shards.get(pending.shard)
    if shard is None:  # no endpoint was ever listed for it: a client may have made up its number
        reject(state, pending)
        return
    if request.shard >= 0:
        shard.quotas[request.volume] = pending.quota
        pending.quota.shards.add(request.shard)
    shard.queue[request.request_id] = pending
    for endpoint in shard.endpoints.values():
        endpoint.concurrency_limit.divide_among(request.sharing_gateways, state.settings.gateway_count)
    state.shards_with_queue.add(pending.shard)
    if cannot_be_served(state, pending, shard):
        reject(state, pending)


def reject(state: SchedulerState, pending: PendingRequest) -> None:
    """Rejects a request: as shed if it was not executed or is safe to retry, else as failed."""
    request = pending.request
    if pending.may_be_shed:
        state.actions.append(api.ShedRequest(request.request_id, state.settings.max_retry_after_ms))
    else:
        state.actions.append(api.FailRequest(request.request_id))
    _remember_shed(state, pending)
    finish(state, pending)


def _remember_shed(state: SchedulerState, pending: PendingRequest) -> None:
    """Remembers when a request was first received, for its retry; forgets those whose retries would come too late."""
    request = pending.request
    shed_requests = state.shed_requests
    shed_requests[request.volume, request.key or request.request_id] = pending.first_received_at_ms
    while True:
        oldest = next(iter(shed_requests))
        if state.now - shed_requests[oldest] < state.longest_deadline_ms or len(shed_requests) == 1:
            return
        del shed_requests[oldest]


def finish(state: SchedulerState, pending: PendingRequest) -> None:
    """Marks a request as finished, and deletes it unless an attempt is still in flight."""
    request_id = pending.request.request_id
    pending.finished = True
    shard = state.shards.get(pending.shard)
    if shard is not None:
        shard.queue.pop(request_id, None)
    if not pending.attempts_in_flight and state.requests.pop(request_id, None) is not None:
        pending.quota.open_requests -= 1


def cannot_be_served(state: SchedulerState, pending: PendingRequest, shard: Shard) -> bool:
    """Returns whether a queued request should be rejected now, because waiting longer would gain nothing."""
    now = state.now
    if _is_exhausted(state, pending):
        return True
    if pending.needs_placement:
        return not any(endpoint.ready for endpoint in state.endpoints.values())
    if shard.without_ready_endpoint_since_ms is not None:
        # The shard is expected to stay without a ready endpoint for as long again as it has been so far.
        return now - shard.without_ready_endpoint_since_ms >= pending.objective_at_ms - now
    if pending.may_be_shed and _is_stale(pending, shard, now):
        return True
    return not any(
        endpoint.ready and pending.may_be_sent_to(endpoint, now) for endpoint in shard.endpoints.values()
    )


def _is_exhausted(state: SchedulerState, pending: PendingRequest) -> bool:
    """Returns whether no attempts are left, or too little time for the work or the volume's limit."""
    if len(pending.attempts) >= state.settings.max_attempts:
        return True
    if state.now + state.expected_work_ms(pending) >= pending.deadline_ms:
        return True
    quota = pending.quota
    if not quota.plan.limit_units_per_s or pending.limit_charged:
        return False
    return quota.limit_admits_at_ms(pending.request.units) >= pending.deadline_ms


def _is_stale(pending: PendingRequest, shard: Shard, now: float) -> bool:
    """Returns whether a request was queued for a whole objective, or is late while CoDel drops its class."""
    request_class = pending.request_class
    codel = shard.codels.get(request_class.name)
    if codel is not None and codel.is_dropping and now >= pending.objective_at_ms:
        return True
    return now - pending.queued_at_ms >= request_class.latency_objective_ms


def _quota_of(state: SchedulerState, request: api.Request) -> VolumeQuota:
    """Returns the quota of the request's volume, creating it if needed.

    A new quota accrues from the start of this gateway, which has sent nothing for the volume since then.
    """
    quota = state.quotas.get(request.volume)
    if quota is None:
        plan = state.plans.get(request.plan) or api.Plan(request.plan, 1.0, 1.0, 0.0, 0.0)
        quota = VolumeQuota(state.settings, plan, state.started_at_ms)
        state.quotas[request.volume] = quota
    return quota


def _first_received_at_ms(
    state: SchedulerState, request: api.Request, request_class: api.RequestClass
) -> float:
    """Returns when a request was first received: for the retry of a shed request, the time of the first try.

    A retry's deadline is no later than the class's deadline counted from the first try. A request with a
    later deadline is another client's request for the same key.
    """
    now = state.now
    first_received_at_ms = state.shed_requests.pop((request.volume, request.key), now)
    if now + request.time_left_ms <= first_received_at_ms + request_class.deadline_ms:
        return first_received_at_ms
    return now


def _endpoint_for_new_object(state: SchedulerState) -> EndpointState | None:
    """Chooses the endpoint for a new object: the better of two drawn at random; None if no endpoint is ready.

    If every gateway chose the best one, they would overload it together.
    """
    ready = [endpoint for endpoint in state.endpoints.values() if endpoint.ready]
    candidates = [endpoint for endpoint in ready if endpoint.suspected_since_ms is None] or ready
    drawn = state.random.sample(candidates, min(2, len(candidates)))
    warm_if_started_by = state.now - state.settings.slow_start_duration_ms
    return min(
        drawn,
        key=lambda endpoint: (
            endpoint.started_at_ms > warm_if_started_by,
            len(endpoint.in_flight) / endpoint.concurrency_limit.limit,
        ),
        default=None,
    )
