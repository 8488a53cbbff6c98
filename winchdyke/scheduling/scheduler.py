"""The scheduler class: passes each event to the module that handles it, and returns the actions."""

from __future__ import annotations

from winchdyke import interface as api
from winchdyke.interface import AttemptOutcome
from winchdyke.scheduling.admission import (
    ANSWER_MARGIN_TICKS,
    accept_request,
    enqueue,
    finish,
    reject,
    set_deadline_timer,
)
from winchdyke.scheduling.dispatch import dispatch_shard
from winchdyke.scheduling.endpoint_health import apply_endpoint_list, learn_from_attempt
from winchdyke.scheduling.maintenance import sweep
from winchdyke.scheduling.pending_request import PendingRequest
from winchdyke.scheduling.state import SchedulerState

SWEEP_INTERVAL_MS = 25.0  # much shorter than any latency objective
SWEEP_TIMER_ID = 0
MAY_STILL_RUN = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_RESET, AttemptOutcome.CANCELLED)


class Scheduler(SchedulerState):
    """Makes the decisions of one gateway.

    It does no I/O and reads no clock; the seed is its only source of randomness.
    """

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Handles a batch of events at the time ``now`` (ms). Returns the actions to carry out, in order."""
        self.now = now
        self.actions = []
        sweep_due = not self.endpoints
        for event in events:
            if isinstance(event, api.TimerFired) and event.timer_id == SWEEP_TIMER_ID:
                self.sweep_timer_set = False
                sweep_due = True
            self._handle_event(event)
        if sweep_due:
            sweep(self)
        for number in sorted(self.shards_with_queue):
            dispatch_shard(self, self.shards[number])
        if not self.sweep_timer_set and (self.requests or not self.watching):
            self.sweep_timer_set = True
            self.actions.append(api.SetTimer(SWEEP_TIMER_ID, SWEEP_INTERVAL_MS))
        return self.actions

    def _handle_event(self, event: api.Event) -> None:
        if isinstance(event, api.Request):
            accept_request(self, event)
        elif isinstance(event, api.AttemptEnded):
            self._on_attempt_ended(event)
        elif isinstance(event, api.EndpointList):
            apply_endpoint_list(self, event)
        elif isinstance(event, api.TimerFired):
            self._on_deadline(event.timer_id)
        elif isinstance(event, api.ClientDisconnected):
            self._on_client_disconnected(event.request_id)

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        pending = self.requests.get(event.request_id)
        if endpoint is None or pending is None:
            return
        if endpoint.in_flight.pop((event.request_id, event.attempt), None) is None:
            return
        pending.attempts_in_flight -= 1
        learn_from_attempt(self, endpoint, pending, event)
        self._note_possible_execution(pending, event)
        if pending.finished or event.request_finished:
            finish(self, pending)
        elif event.outcome is AttemptOutcome.TIMED_OUT:
            reject(self, pending)
        else:
            enqueue(self, pending)

    def _note_possible_execution(self, pending: PendingRequest, event: api.AttemptEnded) -> None:
        """Records what the end of an attempt implies for repeats, the volume's limit and the key order."""
        outcome = event.outcome
        if not outcome.proves_no_effect:
            pending.record_possible_execution(pending.attempts[event.attempt])
        # After an attempt that did not reach its endpoint, the next one is charged again: units charged long
        # before they are sent would come on top of those accrued since, and together exceed the limit.
        never_arrived = outcome in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
        pending.limit_charged = pending.first_possible_execution is not None or not never_arrived
        if pending.request_class.in_order and outcome in MAY_STILL_RUN:
            self.settling_keys[pending.request.key] = self.now + self.settings.order_settle_ms

    def _on_deadline(self, timer_id: int) -> None:
        pending = self.requests.get(self.deadline_timers.pop(timer_id, ""))
        if not pending or pending.finished:
            return
        if pending.deadline_ms - self.now > ANSWER_MARGIN_TICKS * self.settings.clock_tick_ms:
            set_deadline_timer(self, pending)
        elif not pending.attempts_in_flight:
            reject(self, pending)

    def _on_client_disconnected(self, request_id: str) -> None:
        pending = self.requests.get(request_id)
        if pending is None:
            return
        finish(self, pending)
        if pending.attempts_in_flight:
            self.actions.append(api.AbandonAttempt(request_id, len(pending.attempts) - 1))
