"""The periodic sweep: handles changes that are due to the passing of time alone."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from winchdyke import interface as api
from winchdyke.interface import RepeatSafety
from winchdyke.scheduling.admission import cannot_be_served, reject
from winchdyke.scheduling.codel import CoDel
from winchdyke.scheduling.dispatch import priority_per_ms
from winchdyke.scheduling.endpoint_health import suspect_silent_endpoint
from winchdyke.scheduling.pending_request import PendingRequest
from winchdyke.scheduling.shard import Shard
from winchdyke.scheduling.state import MAX_WATCH_BACKOFF_MS, SchedulerState

LOST_RESPONSE_LATENCIES = 8.0  # time after which a response counts as lost, in expected latencies


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A request that waits for its volume's limit, and its rank in the order of dispatch."""

    rank: tuple[float, float, str]
    pending: PendingRequest


def sweep(state: SchedulerState) -> None:
    """Detects silent endpoints, lost responses, stale requests and requests beyond their volume's limit.

    Also requests the endpoint list if its changes are not received, and deletes expired entries.
    """
    _forget_expired_keys(state)
    _request_watch(state)
    _check_attempts_in_flight(state)
    _forget_empty_queues(state)
    limited: defaultdict[int, list[_Candidate]] = defaultdict(list)
    for number in sorted(state.shards_with_queue):
        shard = state.shards[number]
        _reject_hopeless_requests(state, shard)
        _collect_limited_requests(state, shard, limited)
        _drop_by_codel(state, shard)
    for candidates in limited.values():
        _reject_beyond_limit(state, candidates)


def _forget_expired_keys(state: SchedulerState) -> None:
    now = state.now
    state.shed_requests = {
        key: received_at_ms
        for key, received_at_ms in state.shed_requests.items()
        if now - received_at_ms < state.longest_deadline_ms
    }
    state.settling_keys = {key: until_ms for key, until_ms in state.settling_keys.items() if until_ms > now}


def _request_watch(state: SchedulerState) -> None:
    """Requests the endpoint list if its changes are not received and the backoff is over."""
    if not state.watching and state.now >= state.next_watch_at_ms:
        state.actions.append(api.WatchEndpoints())
        state.next_watch_at_ms = state.now + MAX_WATCH_BACKOFF_MS


def _check_attempts_in_flight(state: SchedulerState) -> None:
    """Marks silent endpoints as suspected, and cancels attempts whose responses are lost."""
    for pending in [pending for pending in state.requests.values() if pending.attempts_in_flight]:
        endpoint, sent_at_ms = pending.attempts[-1]
        silent_since_ms = max(endpoint.last_response_at_ms, sent_at_ms)
        if endpoint.suspected_since_ms is None and state.now - silent_since_ms > state.silence_timeout_ms:
            suspect_silent_endpoint(state, endpoint)
        if _may_cancel(state, pending) and _response_is_lost(state, pending):
            pending.attempts_cancelled = len(pending.attempts)
            state.actions.append(
                api.CancelAttempt(pending.request.request_id, pending.attempts_cancelled - 1)
            )


def _response_is_lost(state: SchedulerState, pending: PendingRequest) -> bool:
    """Returns whether the endpoint has answered a later attempt, and the newest attempt is long overdue.

    Without this check, the lost attempt would count against the concurrency limit until the client's
    deadline.
    """
    endpoint, sent_at_ms = pending.attempts[-1]
    if sent_at_ms >= endpoint.last_answered_sent_at_ms:
        return False
    return state.now - sent_at_ms >= LOST_RESPONSE_LATENCIES * state.expected_latency_ms(pending, endpoint)


def _may_cancel(state: SchedulerState, pending: PendingRequest) -> bool:
    """Returns whether the newest attempt may be cancelled.

    An unfinished request of an at-most-once class cannot be repeated, so it has to wait for its response.
    """
    needs_answer = pending.request_class.repeat_safety is RepeatSafety.AT_MOST_ONCE and not pending.finished
    already_cancelled = pending.attempts_cancelled >= len(pending.attempts)
    return state.settings.can_cancel_attempts and not needs_answer and not already_cancelled


def _forget_empty_queues(state: SchedulerState) -> None:
    for number in [number for number in state.shards_with_queue if not state.shards[number].queue]:
        state.shards[number].codels.clear()
        state.shards_with_queue.remove(number)


def _reject_hopeless_requests(state: SchedulerState, shard: Shard) -> None:
    hopeless = [pending for pending in shard.queue.values() if cannot_be_served(state, pending, shard)]
    for pending in hopeless:
        reject(state, pending)


def _collect_limited_requests(
    state: SchedulerState, shard: Shard, limited: defaultdict[int, list[_Candidate]]
) -> None:
    """Adds a shard's requests that wait for their volume's limit to ``limited``, with their dispatch rank."""
    endpoint = shard.active_endpoint()
    if endpoint is None:
        return
    waiting = [
        pending
        for pending in shard.queue.values()
        if pending.quota.plan.limit_units_per_s and not pending.limit_charged
    ]
    for pending in waiting:
        priority = priority_per_ms(state, pending, endpoint)
        rank = (-priority, pending.objective_at_ms, pending.request.request_id)
        limited[id(pending.quota)].append(_Candidate(rank, pending))


def _drop_by_codel(state: SchedulerState, shard: Shard) -> None:
    """Rejects the head of each class's queue if CoDel drops it and it may be shed."""
    heads = {pending.request_class.name: pending for pending in reversed(shard.queue.values())}
    for class_name, head in heads.items():
        codel = shard.codels.get(class_name)
        if codel is None:
            codel = CoDel(head.request_class.latency_objective_ms)
            shard.codels[class_name] = codel
        if codel.should_drop(state.now, state.now - head.queued_at_ms) and head.may_be_shed:
            reject(state, head)


def _reject_beyond_limit(state: SchedulerState, candidates: list[_Candidate]) -> None:
    """Rejects those requests of a volume that its limit cannot admit within their objectives.

    The limit is allotted in order of dispatch. Without this check, a volume with much more load than its
    limit would hold each client connection for a whole objective.
    """
    candidates.sort(key=lambda candidate: candidate.rank)
    queued = [candidate.pending for candidate in candidates if not candidate.pending.finished]
    if not queued:
        return
    quota = queued[0].quota
    balance = quota.limit_units
    for pending in queued:
        time_left_ms = max(0.0, pending.objective_at_ms - state.now)
        accrued_units = quota.plan.limit_units_per_s / quota.sharing_gateways * time_left_ms / 1000
        if balance + accrued_units < pending.request.units:
            reject(state, pending)
        else:
            balance -= pending.request.units
