"""Carries out the scheduler's actions on requests: attempts at stores and final responses to clients."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Callable

from winchdyke import interface as api
from winchdyke.gateway import outcomes
from winchdyke.gateway.scheduler_loop import RequestAction, RequestHandle, SchedulerLoop
from winchdyke.http1 import Headers, ProtocolError
from winchdyke.interface import AttemptOutcome
from winchdyke.object_api import answers
from winchdyke.peer_limits.memory_account import MemoryAccount, MemoryCharge
from winchdyke.platform.client_connection import ClientConnection
from winchdyke.platform.client_request import request_memory_bytes
from winchdyke.platform.endpoint_directory import EndpointDirectory
from winchdyke.platform.protocol import AttemptResult, ParsedRequest
from winchdyke.platform.settling_requests import SettlingRequests
from winchdyke.platform.upstream_attempt import UpstreamAttempt
from winchdyke.platform.upstream_pool import UpstreamPool

LATE_SEND_MS = 300.0  # requests written longer than this after a client's disconnect are counted separately


class ForwardedRequest(RequestHandle):
    """An accepted request with its client connection and the outcome of its last attempt."""

    __slots__ = ("client", "disconnected_at_ms", "forwarder", "last_outcome", "memory_charge", "request")

    def __init__(
        self,
        forwarder: RequestForwarder,
        client: ClientConnection,
        request: ParsedRequest,
        deadline_ms: float,
    ) -> None:
        super().__init__(request.request.request_id, deadline_ms)
        self.forwarder = forwarder
        self.client = client
        self.request = request
        self.last_outcome: AttemptOutcome | None = None
        self.disconnected_at_ms = float("inf")
        self.memory_charge = MemoryCharge(forwarder.memory)
        self.memory_charge.set(request_memory_bytes(request))

    def release_memory(self) -> None:
        """Release the memory of the request once neither its client nor an attempt needs it."""
        if self.finished and not self.attempts_in_flight:
            self.memory_charge.set(0)

    def deliver(self, action: RequestAction) -> None:
        """Carry out an action of the scheduler, or of the scheduler loop on its behalf, immediately."""
        self.forwarder.execute(self, action)


class RequestForwarder:
    """Submits requests to the scheduler loop and carries out the resulting actions.

    ``memory`` is the account to which open requests are charged; ``counts`` is logged.
    """

    def __init__(
        self,
        scheduler_loop: SchedulerLoop,
        upstream_pool: UpstreamPool,
        endpoints: EndpointDirectory,
        clock: Callable[[], float],
        memory: MemoryAccount,
    ) -> None:
        self.memory = memory
        self._scheduler_loop = scheduler_loop
        self._upstream_pool = upstream_pool
        self._endpoints = endpoints
        self._clock = clock
        self.counts: Counter[str] = Counter()
        self._settling = SettlingRequests(scheduler_loop.settings)

    def accept(
        self, client: ClientConnection, parsed: ParsedRequest, received_at_ms: float, respond_by_ms: float
    ) -> None:
        """Submit a request to the scheduler.

        Its time left counts from ``received_at_ms`` and ends at ``respond_by_ms`` at the latest. Raises
        ProtocolError 409 if a request with the same id is open, or may still run after its client has left.
        """
        request = parsed.request
        loop = self._scheduler_loop
        now_ms = self._clock()
        if (
            request.request_id in loop.open_requests
            or request.request_id in loop.disconnected_requests
            or self._settling.contains(request.request_id, now_ms)
        ):
            raise ProtocolError(409, "id-in-use", "a request with this Req-Id is still open")
        time_left_ms = request.time_left_ms - max(0.0, now_ms - received_at_ms)
        time_left_ms = min(time_left_ms, respond_by_ms - now_ms)
        self.counts["requests_accepted"] += 1
        parsed.request = dataclasses.replace(request, time_left_ms=time_left_ms)
        forwarded = ForwardedRequest(self, client, parsed, now_ms + time_left_ms)
        client.on_disconnect = lambda: self._on_disconnect(forwarded)
        loop.submit(parsed.request, forwarded)

    def execute(self, forwarded: ForwardedRequest, action: RequestAction) -> None:
        """Carry out one action of the scheduler on a request."""
        if isinstance(action, api.StartAttempt):
            self._start_attempt(forwarded, action)
        elif isinstance(action, (api.ShedRequest, api.FailRequest)):
            self._respond_final(forwarded, action)

    def _on_disconnect(self, forwarded: ForwardedRequest) -> None:
        self.counts["clients_disconnected"] += 1
        self.counts["clients_disconnected_before_attempt"] += not forwarded.attempts_started
        forwarded.disconnected_at_ms = self._clock()
        self._scheduler_loop.client_disconnected(forwarded)
        forwarded.release_memory()

    def _start_attempt(self, forwarded: ForwardedRequest, action: api.StartAttempt) -> None:
        number = forwarded.attempts_started
        now_ms = self._clock()
        forwarded.attempts_started += 1
        deadline_ms = forwarded.deadline_ms
        if action.timeout_ms:
            deadline_ms = min(deadline_ms, now_ms + action.timeout_ms)
        address = self._endpoints.addresses.get(action.endpoint)
        # The client may have left since the scheduler was last told of anything.
        if address is None or deadline_ms <= now_ms or not forwarded.client.is_still_connected():
            result = AttemptResult(AttemptOutcome.NOT_SENT)
            self._on_attempt_ended(forwarded, number, action.endpoint, result, 0.0, b"")
            return

        def on_finished(attempt: UpstreamAttempt, result: AttemptResult, latency_ms: float) -> None:
            self._count_late_send(forwarded, attempt)
            self._on_attempt_ended(forwarded, number, action.endpoint, result, latency_ms, attempt.body)

        write_deadline_ms = now_ms + action.write_timeout_ms if action.write_timeout_ms else float("inf")
        attempt = UpstreamAttempt(
            self._upstream_pool,
            address,
            forwarded.request,
            deadline_ms,
            on_finished,
            write_deadline_ms,
            forwarded.client.is_still_connected,
        )
        forwarded.on_cancel = lambda which: attempt.cancel() if which in (number, -1) else None
        forwarded.on_abandon = lambda which: attempt.abandon() if which == number else None
        attempt.start()

    def _count_late_send(self, forwarded: ForwardedRequest, attempt: UpstreamAttempt) -> None:
        late_ms = attempt.written_at_ms - forwarded.disconnected_at_ms
        self.counts["sent_after_disconnect"] += late_ms > 0
        self.counts["sent_late_after_disconnect"] += late_ms > LATE_SEND_MS

    def _on_attempt_ended(
        self,
        forwarded: ForwardedRequest,
        number: int,
        endpoint: str,
        result: AttemptResult,
        latency_ms: float,
        body: bytes,
    ) -> None:
        outcome = result.outcome
        forwarded.last_outcome = outcome
        forwarded.on_cancel = None
        forwarded.on_abandon = None
        self.counts[outcome.name] += 1
        request_class = forwarded.request.request.request_class
        self._settling.record(forwarded.request_id, request_class, outcome, self._clock())
        served = outcome is AttemptOutcome.SERVED and not forwarded.finished
        self._scheduler_loop.attempt_ended(
            forwarded,
            api.AttemptEnded(
                request_id=forwarded.request_id,
                attempt=number,
                endpoint=endpoint,
                outcome=outcome,
                latency_ms=latency_ms,
                request_finished=served or forwarded.finished,
                volume_usage_percent=result.volume_usage_percent,
                units_via_other_gateways=result.units_via_other_gateways,
                load_report=result.load_report,
            ),
        )
        forwarded.release_memory()
        if served:
            headers: Headers = [(b"content-length", b"%d" % len(body))]
            forwarded.client.respond(200, headers, body)

    def _respond_final(self, forwarded: ForwardedRequest, action: api.ShedRequest | api.FailRequest) -> None:
        time_up = self._clock() >= forwarded.deadline_ms
        status, outcome, reason = outcomes.final_status(action, forwarded.last_outcome, time_up)
        reason = forwarded.override_reason or reason
        self.counts[f"{outcome}:{reason}"] += 1
        text = outcomes.REASON_TEXTS[reason]
        status, headers, body = answers.error(status, outcome, reason, forwarded.request_id, text)
        retry_after_ms = action.retry_after_ms if isinstance(action, api.ShedRequest) else 0.0
        if retry_after_ms > 0:
            headers.append((b"retry-after", b"%.3f" % (retry_after_ms / 1000)))
        forwarded.release_memory()
        forwarded.client.respond(status, headers, body)
