"""Carries out the scheduler's actions for a request, up to its final response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from winchdyke import interface as api
from winchdyke.discovery.records import EndpointEvidence
from winchdyke.gateway import final_response, outcomes
from winchdyke.gateway.access_log import AccessLogRecord
from winchdyke.gateway.attempts import Attempt, AttemptResult, OutgoingRequest
from winchdyke.gateway.final_response import FinalResponse
from winchdyke.gateway.metering import TransferMetering
from winchdyke.gateway.pool import ConnectionPool
from winchdyke.gateway.request_context import Caller
from winchdyke.gateway.scheduler_loop import FinalAction, RequestAction, RequestHandle, SchedulerLoop
from winchdyke.http1 import ResponseHead
from winchdyke.latency_attribution.recorder import Recorder
from winchdyke.object_api import ranges, routes
from winchdyke.object_api.sinks import Sink

DEADLINE_TOLERANCE_MS = 5.0  # a failure this close before the deadline counts as a timeout


@dataclass(slots=True)
class Exchange:
    """A request submitted to the scheduler, and how it is sent.

    Attributes:
        handle: Receives the scheduler's actions.
        operation: The requested operation.
        outgoing: Builds the request to an endpoint, from the endpoint's name and the index of the attempt.
        sink: Receives a streamed response.
        caller: The originator of the request.
        record: The data collected for the access log.
        last_outcome: Outcome of the last attempt that ended; None: there was none.
        running: The attempt that was started last; None: there was none.
    """

    handle: RequestHandle
    operation: routes.Operation
    outgoing: Callable[[str, int], OutgoingRequest]
    sink: Sink
    caller: Caller
    record: AccessLogRecord
    last_outcome: api.AttemptOutcome | None = None
    running: Attempt | None = None


class ExchangeRunner:
    """Runs the exchanges of one gateway.

    Args:
        scheduler_loop: Receives the events of attempts.
        pool: The connections to stores.
        clock: Monotonic time in milliseconds.
        stream_idle_ms: The longest pause in a streamed response.
        metering: Charges the units beyond those passed to the scheduler.
        recorder: Attributes latency; None: latency is not attributed.

    Attributes:
        on_endpoint_evidence: Called with an endpoint and the evidence about it in its response.
        on_connect_failed: Called with an endpoint that refused a connection.
    """

    def __init__(
        self,
        scheduler_loop: SchedulerLoop,
        pool: ConnectionPool,
        clock: Callable[[], float],
        stream_idle_ms: float,
        metering: TransferMetering,
        recorder: Recorder | None,
    ) -> None:
        self.on_endpoint_evidence: Callable[[str, EndpointEvidence], bool] = lambda *_: True
        self.on_connect_failed: Callable[[str], None] = lambda _: None
        self._scheduler_loop = scheduler_loop
        self._pool = pool
        self._clock = clock
        self._stream_idle_ms = stream_idle_ms
        self._metering = metering
        self._recorder = recorder

    async def run(self, exchange: Exchange) -> FinalResponse:
        """Carry out the scheduler's actions until the request has its final response."""
        try:
            return await self._run(exchange)
        finally:
            # After an exception nobody waits for the request, so the scheduler must drop it. This call has no
            # effect on a finished request.
            self._scheduler_loop.client_disconnected(exchange.handle)

    async def _run(self, exchange: Exchange) -> FinalResponse:
        record = exchange.record
        self._watch_caller(exchange)
        while True:
            queued_at_ms = self._clock()
            action = await self._next_action(exchange, queued_at_ms)
            record.queued_ms += self._clock() - queued_at_ms
            if action is None:
                return final_response.client_disconnected()
            if isinstance(action, (api.ShedRequest, api.FailRequest)):
                return self._final_response(exchange, action)
            if not isinstance(action, api.StartAttempt):
                continue
            exchange.caller.check_for_reset()
            result = await self._attempt(exchange, action)
            self._record_attempt(exchange, action.endpoint, result)
            final = final_response.from_attempt(result)
            if final is not None:
                return final

    async def _next_action(self, exchange: Exchange, queued_at_ms: float) -> RequestAction | None:
        """Wait for the scheduler's next action, and attribute the time spent waiting."""
        handle = exchange.handle
        recorder = self._recorder
        trace = exchange.record.trace
        request = exchange.record.request
        if recorder is None or trace is None or request is None:
            return await handle.next_action()
        trace.enter_phase("held")
        queued_at_ns = trace.phase_marks[-2]
        recorder.start_wait(handle.request_id, request.shard, request.request_class, queued_at_ms)
        try:
            return await handle.next_action()
        finally:
            trace.enter_phase("dial")
            recorder.end_wait(trace, handle.request_id, queued_at_ns, self._clock())

    def _watch_caller(self, exchange: Exchange) -> None:
        """Tell the scheduler when the caller disconnects."""
        caller = exchange.caller
        previous = caller.on_disconnect

        def disconnected() -> None:
            if previous is not None:
                previous()
            self._scheduler_loop.client_disconnected(exchange.handle)
            attempt = exchange.running
            # The store executes a completely written request even without a client. The gateway waits for the end of
            # that attempt, because it counts against the endpoint's concurrency limit.
            if attempt is not None and not attempt.write_completed:
                attempt.cancel()

        caller.on_disconnect = disconnected
        if caller.disconnected:
            disconnected()

    def _final_response(self, exchange: Exchange, action: FinalAction) -> FinalResponse:
        handle = exchange.handle
        deadline_passed = self._clock() >= handle.deadline_ms - DEADLINE_TOLERANCE_MS
        status, outcome, reason = outcomes.final_status(action, exchange.last_outcome, deadline_passed)
        if handle.override_reason == "engine-silent":
            status = 504
        retry_after_ms = action.retry_after_ms if isinstance(action, api.ShedRequest) else None
        return FinalResponse(status, outcome, handle.override_reason or reason, retry_after_ms=retry_after_ms)

    # Attempts

    async def _attempt(self, exchange: Exchange, action: api.StartAttempt) -> AttemptResult:
        handle = exchange.handle
        number = handle.attempts_started
        handle.attempts_started += 1
        timeout_ms = handle.deadline_ms - self._clock()
        if action.timeout_ms > 0:
            timeout_ms = min(timeout_ms, action.timeout_ms)
        result = AttemptResult(api.AttemptOutcome.NOT_SENT)
        if not handle.client_disconnected:
            attempt = self._new_attempt(exchange, number)
            try:
                outgoing = exchange.outgoing(action.endpoint, number)
                result = await attempt.run(action.endpoint, outgoing, timeout_ms, action.write_timeout_ms)
            except BaseException as error:
                # The scheduler must learn that the attempt has ended, whatever the error is.
                client_error = error if isinstance(error, Exception) else None
                cancelled = AttemptResult(api.AttemptOutcome.CANCELLED, error=client_error)
                self._report_end(handle, number, action.endpoint, cancelled)
                raise
            finally:
                handle.on_cancel = None
                handle.on_abandon = None
        if exchange.operation.name == "get":
            self._metering.charge_excess_after(exchange.record, result)
        self._report_evidence(action.endpoint, result)
        self._report_end(handle, number, action.endpoint, result)
        return result

    def _new_attempt(self, exchange: Exchange, number: int) -> Attempt:
        handle = exchange.handle
        trace = exchange.record.trace
        attempt = Attempt(
            self._pool,
            self._clock,
            self._stream_idle_ms,
            exchange.sink,
            lambda: self._scheduler_loop.post(api.StreamStarted(handle.request_id, number)),
            lambda head: _is_expected(exchange.operation, head),
            trace.enter_phase if trace is not None else _ignore_phase,
        )
        if number == 0:
            self._metering.charge_excess_before(exchange.record)
        exchange.running = attempt

        def cancel(index: int) -> None:
            if index in (number, -1):
                attempt.cancel()

        def abandon(index: int) -> None:
            if index == number:
                attempt.abandon()

        handle.on_cancel = cancel
        handle.on_abandon = abandon
        return attempt

    def _record_attempt(self, exchange: Exchange, endpoint: str, result: AttemptResult) -> None:
        record = exchange.record
        code = outcomes.OUTCOME_CODES[result.outcome]
        if record.trace is not None and record.request is not None and self._recorder is not None:
            request = record.request
            usual_ms = self._recorder.expected_latency_ms(endpoint, request.request_class, request.units)
            record.trace.attempts.append((endpoint, code, result.latency_ms, usual_ms))
        exchange.last_outcome = result.outcome
        record.attempt_count += 1
        record.endpoints.append(endpoint)
        record.outcomes.append(code)
        record.attempts_ms += result.latency_ms

    def _report_evidence(self, endpoint: str, result: AttemptResult) -> None:
        if result.report.evidence is not None:
            self.on_endpoint_evidence(endpoint, result.report.evidence)
        elif result.outcome is api.AttemptOutcome.CONNECT_FAILED:
            self.on_connect_failed(endpoint)

    def _report_end(self, handle: RequestHandle, number: int, endpoint: str, result: AttemptResult) -> None:
        report = result.report
        served = result.outcome is api.AttemptOutcome.SERVED
        finished = served or result.streamed or result.error is not None
        event = api.AttemptEnded(
            handle.request_id,
            number,
            endpoint,
            result.outcome,
            result.latency_ms,
            finished or handle.finished,
            report.volume_usage_percent,
            report.units_via_other_gateways,
            report.load_report,
        )
        self._scheduler_loop.attempt_ended(handle, event)


def _ignore_phase(_: str) -> None:
    """Do nothing, because latency is not attributed."""


def _is_expected(operation: routes.Operation, head: ResponseHead) -> bool:
    if operation.part and operation.name == "get":
        # Only the store knows which bytes a part has.
        return head.status in (200, 206) or head.status >= 400
    return ranges.response_matches(operation.range, head.status, head.get(b"content-range"), head.length)
