"""Endpoint health: applies endpoint list updates and attempt results, and handles suspicion and recovery."""

from __future__ import annotations

from winchdyke import interface as api
from winchdyke.interface import AttemptOutcome
from winchdyke.scheduling.concurrency_limit import INITIAL_LIMIT, Gradient2Limit
from winchdyke.scheduling.endpoint_state import EndpointState
from winchdyke.scheduling.pending_request import PendingRequest
from winchdyke.scheduling.shard import Shard
from winchdyke.scheduling.state import (
    MAX_WATCH_BACKOFF_MS,
    SAFE_LATENCY_FACTOR,
    WATCH_BACKOFF_MS,
    SchedulerState,
)

HEALTH_CHECK_INTERVAL_MS = 250.0
MAX_HEALTH_CHECK_INTERVAL_MS = 2000.0


def apply_endpoint_list(state: SchedulerState, update: api.EndpointList) -> None:
    """Applies a full endpoint list, changes of it, or the failure to fetch it."""
    if update.kind is api.EndpointListKind.FAILED:
        _back_off_watch(state)
        return
    if update.kind is not api.EndpointListKind.CACHED:
        state.watching = True
        state.watch_backoff_ms = WATCH_BACKOFF_MS
    if update.kind is not api.EndpointListKind.CHANGES:
        for endpoint in state.endpoints.values():
            endpoint.ready = False
            endpoint.removed = True
    restarted = {entry.name for entry in update.endpoints if _apply_entry(state, entry)}
    _abandon_unwritten_attempts(state, restarted)
    _forget_removed_endpoints(state)
    for shard in state.shards.values():
        shard.update_readiness(state.now)


def learn_from_attempt(
    state: SchedulerState, endpoint: EndpointState, pending: PendingRequest, event: api.AttemptEnded
) -> None:
    """Updates an endpoint's health and limit, and the volume's reported usage, from the end of an attempt."""
    outcome = event.outcome
    sent_at_ms = pending.attempts[event.attempt].sent_at_ms
    if outcome in (AttemptOutcome.SERVED, AttemptOutcome.ERROR, AttemptOutcome.SHED):
        _record_response(state, endpoint, pending, event)
    if outcome is AttemptOutcome.SERVED:
        is_warm = state.now - endpoint.started_at_ms >= state.settings.slow_start_duration_ms
        state.shards[endpoint.shard].record_served(state.now, pending.request.units, is_warm)
    # If the endpoint has responded to others since the attempt was sent, the duration of a timed-out attempt
    # counts as a latency.
    timed_out_alone = outcome is AttemptOutcome.TIMED_OUT and sent_at_ms <= endpoint.last_response_at_ms
    if outcome is AttemptOutcome.SERVED or timed_out_alone:
        _record_latency(state, endpoint, pending, event)
    elif outcome is AttemptOutcome.SHED:
        endpoint.concurrency_limit.reduce_after_shed()
    elif outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECT_FAILED):
        # A connection reset raises no suspicion: the endpoint may have responded, and only the response may
        # have been lost.
        endpoint.restart_suspected = endpoint.restart_suspected or outcome is AttemptOutcome.CONNECT_FAILED
        suspect(state, endpoint)
    if event.volume_usage_percent is not None:
        pending.quota.record_usage_report(event.volume_usage_percent, state.now)


def suspect(state: SchedulerState, endpoint: EndpointState) -> None:
    """Marks an endpoint as suspected, or doubles the interval of its health checks if it already is.

    A suspected endpoint is sent only single requests, as health checks.
    """
    sharing_gateways = endpoint.concurrency_limit.sharing_gateways
    if endpoint.suspected_since_ms is None:
        endpoint.health_check_interval_ms = HEALTH_CHECK_INTERVAL_MS * sharing_gateways
        endpoint.suspected_since_ms = state.now
        state.actions.append(api.LogMessage(f"endpoint {endpoint.name} suspected: health checks only"))
    else:
        max_interval_ms = MAX_HEALTH_CHECK_INTERVAL_MS * sharing_gateways
        endpoint.health_check_interval_ms = min(max_interval_ms, 2 * endpoint.health_check_interval_ms)
    jitter = 0.5 + state.random.random()
    endpoint.next_health_check_at_ms = state.now + endpoint.health_check_interval_ms * jitter


def suspect_silent_endpoint(state: SchedulerState, endpoint: EndpointState) -> None:
    """Marks an endpoint that does not respond as suspected, and sets its limit to the minimum.

    The limit adapts only on responses, and would otherwise keep its old value.
    """
    limit = endpoint.concurrency_limit
    endpoint.limit_before_suspicion = limit.limit
    limit.limit = limit.min_limit
    suspect(state, endpoint)


def _record_response(
    state: SchedulerState, endpoint: EndpointState, pending: PendingRequest, event: api.AttemptEnded
) -> None:
    """Records that the endpoint has responded to an attempt, which ends a suspicion."""
    sent_at_ms = pending.attempts[event.attempt].sent_at_ms
    endpoint.last_response_at_ms = state.now
    if endpoint.suspected_since_ms is not None:
        is_prompt = (
            sent_at_ms > endpoint.suspected_since_ms
            and event.latency_ms <= SAFE_LATENCY_FACTOR * state.expected_latency_ms(pending, endpoint)
        )
        _recover(state, endpoint, is_prompt)
    if event.outcome is not AttemptOutcome.SHED:
        endpoint.last_answered_sent_at_ms = max(endpoint.last_answered_sent_at_ms, sent_at_ms)


def _record_latency(
    state: SchedulerState, endpoint: EndpointState, pending: PendingRequest, event: api.AttemptEnded
) -> None:
    """Updates the concurrency limit, the warm-up goodput and the unit cost from the latency of an attempt."""
    settings = state.settings
    limit = endpoint.concurrency_limit
    limit.record(event.latency_ms, state.expected_work_ms(pending))
    max_normal_ratio = state.max_normal_ratio()
    limit.update(state.now, max_normal_ratio)
    if event.outcome is AttemptOutcome.SERVED:
        warmup_fraction = endpoint.warmup_fraction(settings, state.now)
        if limit.short_ratio <= SAFE_LATENCY_FACTOR * max_normal_ratio / warmup_fraction:
            endpoint.record_warmup_goodput(settings, state.now, pending.request.units)
    state.learn_unit_cost(pending, event.latency_ms)


def _recover(state: SchedulerState, endpoint: EndpointState, is_prompt: bool) -> None:
    """Ends the suspicion of an endpoint that has responded.

    If it was unreachable for longer than a partition would explain, it counts as restarted and begins a slow
    start. A prompt response shows that it has no queue; unless a connection failed, it restores the limit
    from before the suspicion.
    """
    suspected_for_ms = state.now - (endpoint.suspected_since_ms or state.now)
    tolerated_ms = state.silence_timeout_ms if endpoint.restart_suspected else state.longest_deadline_ms
    if suspected_for_ms > tolerated_ms:
        endpoint.begin_slow_start(state.now, state.now, state.random.random())
    limit = endpoint.concurrency_limit
    restores_limit = is_prompt and not endpoint.restart_suspected
    recovered_limit = max(limit.limit, endpoint.limit_before_suspicion if restores_limit else 0.0)
    endpoint.suspected_since_ms = None
    endpoint.restart_suspected = False
    limit.limit = min(recovered_limit, INITIAL_LIMIT / limit.sharing_gateways)
    state.actions.append(api.LogMessage(f"endpoint {endpoint.name} recovered"))


def _back_off_watch(state: SchedulerState) -> None:
    """Schedules the next fetch of the endpoint list, which has failed, after a backoff with jitter."""
    state.watching = False
    state.watch_backoff_ms = min(2 * state.watch_backoff_ms, MAX_WATCH_BACKOFF_MS)
    jitter = 0.5 + state.random.random()
    state.next_watch_at_ms = state.now + state.watch_backoff_ms * jitter


def _apply_entry(state: SchedulerState, entry: api.Endpoint) -> bool:
    """Applies one entry of the endpoint list. Returns whether it shows that the endpoint has restarted."""
    endpoint = state.endpoints.get(entry.name) or EndpointState(entry, state.now)
    former_shard = state.shards.get(endpoint.shard)
    if former_shard is not None:
        former_shard.endpoints.pop(endpoint.name, None)
    endpoint.ready = entry.status is api.EndpointStatus.READY
    endpoint.shard = entry.shard
    endpoint.removed = entry.status is api.EndpointStatus.REMOVED
    state.endpoints[endpoint.name] = endpoint
    state.shards.setdefault(endpoint.shard, Shard()).endpoints[endpoint.name] = endpoint
    if not entry.started_at_ms or entry.started_at_ms <= endpoint.started_at_ms:
        return False
    endpoint.begin_slow_start(entry.started_at_ms, state.now, state.random.random())
    endpoint.concurrency_limit = Gradient2Limit(state.now)
    return True


def _abandon_unwritten_attempts(state: SchedulerState, restarted: set[str]) -> None:
    """Abandons attempts not yet written to endpoints that have restarted or are no longer ready."""
    for endpoint in state.endpoints.values():
        if endpoint.in_flight and (endpoint.name in restarted or not endpoint.ready):
            state.actions += [api.AbandonAttempt(*attempt) for attempt in endpoint.in_flight]


def _forget_removed_endpoints(state: SchedulerState) -> None:
    for endpoint in list(state.endpoints.values()):
        if endpoint.removed and not endpoint.in_flight:
            del state.endpoints[endpoint.name]
            del state.shards[endpoint.shard].endpoints[endpoint.name]
