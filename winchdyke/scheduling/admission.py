"""Accepting a request, queueing it at its shard, and giving it its final answer where waiting can gain nothing."""

from __future__ import annotations

from winchdyke import interface as api
from winchdyke.scheduling.endpoint_state import EndpointState
from winchdyke.scheduling.pending_request import PendingRequest
from winchdyke.scheduling.quota import VolumeQuota
from winchdyke.scheduling.shard import Shard
from winchdyke.scheduling.state import SchedulerState

ANSWER_MARGIN_TICKS = 2  # clock ticks before its deadline at which a request is answered


def accept_request(state: SchedulerState, request: api.Request) -> None:
    """Take in a request that has arrived: set its deadline, and queue or answer it."""
    now = state.now
    request_class = state.classes[request.request_class]
    quota = _quota_of(state, request)
    quota.sharing_gateways = max(quota.sharing_gateways, request.sharing_gateways)
    quota.refill(now)
    pending = PendingRequest(request, request_class, quota, now)
    state.requests[request.request_id] = pending
    time_left_ms = max(0.0, request.time_left_ms - ANSWER_MARGIN_TICKS * state.settings.clock_tick_ms)
    pending.deadline_ms = now + time_left_ms
    pending.first_received_at_ms = _first_received_at_ms(state, request, request_class)
    pending.objective_at_ms = min(
        pending.first_received_at_ms + request_class.latency_objective_ms, pending.deadline_ms
    )
    state.retry_budget.record_request(now)
    state.last_timer_id += 1
    state.deadline_timers[state.last_timer_id] = request.request_id
    state.actions.append(api.SetTimer(state.last_timer_id, time_left_ms))
    enqueue(state, pending)


def enqueue(state: SchedulerState, pending: PendingRequest) -> None:
    """Queue a request at its shard; a new object at the shard that is expected to serve it soonest."""
    request = pending.request
    if pending.needs_placement:
        endpoint = _endpoint_for_new_object(state)
        pending.shard = endpoint.shard if endpoint else -1
    shard = state.shards[pending.shard]
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
    """Give the final answer that the request was not served: shed where that is proven or safe, else failed."""
    request = pending.request
    if pending.may_be_shed:
        state.actions.append(api.ShedRequest(request.request_id, state.settings.max_retry_after_ms))
    else:
        state.actions.append(api.FailRequest(request.request_id))
    state.shed_requests[request.volume, request.key or request.request_id] = pending.first_received_at_ms
    finish(state, pending)


def finish(state: SchedulerState, pending: PendingRequest) -> None:
    """The request needs no further attempt; it is forgotten once none is in flight."""
    request_id = pending.request.request_id
    pending.finished = True
    state.shards[pending.shard].queue.pop(request_id, None)
    if not pending.attempts_in_flight:
        state.requests.pop(request_id, None)


def cannot_be_served(state: SchedulerState, pending: PendingRequest, shard: Shard) -> bool:
    """Whether waiting can gain nothing for a queued request, so that it is answered at once."""
    now = state.now
    if _is_exhausted(state, pending):
        return True
    if pending.needs_placement:
        return not any(endpoint.ready for endpoint in state.endpoints.values())
    if shard.without_ready_endpoint_since_ms is not None:
        # An endpoint that is away is expected to stay away for as long again.
        return now - shard.without_ready_endpoint_since_ms >= pending.objective_at_ms - now
    if pending.may_be_shed and _is_stale(pending, shard, now):
        return True
    return not any(
        endpoint.ready and pending.may_be_sent_to(endpoint, now) for endpoint in shard.endpoints.values()
    )


def _is_exhausted(state: SchedulerState, pending: PendingRequest) -> bool:
    """Whether its attempts are used up, or its deadline is too near for its work or its volume's limit."""
    if len(pending.attempts) >= state.settings.max_attempts:
        return True
    if state.now + state.expected_work_ms(pending) >= pending.deadline_ms:
        return True
    quota = pending.quota
    if not quota.plan.limit_units_per_s or pending.limit_charged:
        return False
    return quota.limit_admits_at_ms(pending.request.units) >= pending.deadline_ms


def _is_stale(pending: PendingRequest, shard: Shard, now: float) -> bool:
    """Whether it has waited for a whole objective, or is past it while CoDel drops requests of its class."""
    request_class = pending.request_class
    codel = shard.codels.get(request_class.name)
    if codel is not None and codel.is_dropping and now >= pending.objective_at_ms:
        return True
    return now - pending.queued_at_ms >= request_class.latency_objective_ms


def _quota_of(state: SchedulerState, request: api.Request) -> VolumeQuota:
    """The quota of the request's volume. A new one accrues from this gateway's start: nothing was sent since then."""
    quota = state.quotas.get(request.volume)
    if quota is None:
        plan = state.plans.get(request.plan) or api.Plan(request.plan, 1.0, 1.0, 0.0, 0.0)
        quota = VolumeQuota(state.settings, plan, state.started_at_ms)
        state.quotas[request.volume] = quota
    return quota


def _first_received_at_ms(
    state: SchedulerState, request: api.Request, request_class: api.RequestClass
) -> float:
    """When the client first sent the request, if it was shed before.

    A request that would last longer than the first one could is another client's, for the same key.
    """
    now = state.now
    first_received_at_ms = state.shed_requests.pop((request.volume, request.key), now)
    if now + request.time_left_ms <= first_received_at_ms + request_class.deadline_ms:
        return first_received_at_ms
    return now


def _endpoint_for_new_object(state: SchedulerState) -> EndpointState | None:
    """The better of two endpoints drawn at random: if all gateways chose the best one they would overload it."""
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
