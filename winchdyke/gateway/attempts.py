"""One attempt to have a request executed by a store: sends it, reads the response and classifies the outcome.

The outcomes are defined in :mod:`winchdyke.gateway.outcomes`.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from winchdyke.gateway.bodies import BodyStoreFullError, ReplayBody
from winchdyke.gateway.pool import ConnectError, Connection, ConnectionPool
from winchdyke.http1 import Bytes, EndOfBody, Headers, ProtocolError, ResponseHead
from winchdyke.interface import AttemptOutcome
from winchdyke.object_api import store_protocol
from winchdyke.object_api.sinks import Sink
from winchdyke.quotas.token_bucket import QuotaExceededError

MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024  # a larger response is streamed
CONNECTION_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class ClientDisconnectedError(Exception):
    """The client has disconnected."""


@dataclass(slots=True)
class OutgoingRequest:
    """A request in the form that is sent to a store."""

    method: str
    target: bytes
    headers: Headers
    body: ReplayBody | None = None


@dataclass(slots=True)
class UpstreamResponse:
    """A store's complete response."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt.

    Attributes:
        outcome: Its outcome.
        latency_ms: Time from its start to its end, excluding time spent waiting for the client.
        report: The load report in the response's head.
        response: The complete response; None: there was none, or it was streamed.
        streamed: Whether a part of the response has been passed to the client.
        status: The response's status; 0: there was no response.
        body_bytes: Bytes of the response's body.
        error: The error of the client or the gateway that ended the attempt; None: there was none.
    """

    outcome: AttemptOutcome
    latency_ms: float = 0.0
    report: store_protocol.EndpointReport = field(default_factory=store_protocol.EndpointReport)
    response: UpstreamResponse | None = None
    streamed: bool = False
    status: int = 0
    body_bytes: int = 0
    error: Exception | None = None


class Attempt:
    """One running attempt.

    Args:
        pool: The pool that provides the connection.
        clock: Monotonic time in milliseconds.
        stream_idle_ms: The longest pause between two chunks of a streamed response.
        sink: Receives a streamed response.
        on_stream_start: Called before the first chunk of a streamed response is passed on.
        is_expected: Returns whether the head of a response matches the request.
        enter_phase: Called with the name of each phase that begins.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Callable[[], float],
        stream_idle_ms: float,
        sink: Sink,
        on_stream_start: Callable[[], None],
        is_expected: Callable[[ResponseHead], bool],
        enter_phase: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._stream_idle_ms = stream_idle_ms
        self._sink = sink
        self._on_stream_start = on_stream_start
        self._is_expected = is_expected
        self._enter_phase = enter_phase
        self._scope = anyio.CancelScope()
        self._cancelled = False
        self._write_started = False
        self._write_completed = False
        self._waiting_on_client = False
        self._client_wait_since_ms = 0.0
        self._client_wait_ms = 0.0
        self._client_error: Exception | None = None
        self._result: AttemptResult | None = None

    @property
    def write_completed(self) -> bool:
        """Whether the complete request has been passed to the socket."""
        return self._write_completed

    def cancel(self) -> None:
        """Cancel the attempt; a store that has received the request may still execute it."""
        self._cancelled = True
        self._scope.cancel()

    def abandon(self) -> None:
        """Cancel the attempt if no byte of it has been passed to the socket."""
        if not self._write_started:
            self._scope.cancel()

    async def run(
        self, endpoint: str, request: OutgoingRequest, timeout_ms: float, write_timeout_ms: float = 0.0
    ) -> AttemptResult:
        """Run the attempt; raises only if the calling task is cancelled.

        Args:
            endpoint: Address of the store.
            request: The request to send.
            timeout_ms: The attempt's time limit, up to the start of a streamed response.
            write_timeout_ms: If connecting takes longer than this, nothing is written; 0: no limit.
        """
        started_at_ms = self._clock()
        connection: Connection | None = None
        result: AttemptResult | None = None
        self._scope.deadline = anyio.current_time() + max(0.0, timeout_ms) / 1000
        self._enter_phase("dial")
        try:
            with self._scope:
                connection = await self._pool.acquire(endpoint)
                if not write_timeout_ms or self._clock() < started_at_ms + write_timeout_ms:
                    result = await self._exchange(connection, request)
                else:
                    result = AttemptResult(AttemptOutcome.NOT_SENT)
        except ConnectError as error:
            local_fault = error.local_exhaustion
            result = AttemptResult(AttemptOutcome.NOT_SENT if local_fault else AttemptOutcome.CONNECT_FAILED)
        except CONNECTION_ERRORS:
            result = AttemptResult(self._outcome_of_connection_error())
        except ProtocolError:
            result = AttemptResult(AttemptOutcome.CONNECTION_RESET)
        finally:
            if connection is not None and (result is None or not connection.codec.reusable):
                await connection.close()
        if result is None:
            result = self._result or AttemptResult(self._outcome_when_interrupted())
        if connection is not None and connection.codec.reusable:
            await self._pool.release(connection)
        result.error = result.error or self._client_error
        result.latency_ms = self._clock() - started_at_ms - self._client_wait_ms
        return result

    def _outcome_of_connection_error(self) -> AttemptOutcome:
        return AttemptOutcome.CONNECTION_RESET if self._write_started else AttemptOutcome.NOT_SENT

    def _outcome_when_interrupted(self) -> AttemptOutcome:
        if not self._write_started:
            return AttemptOutcome.NOT_SENT
        # A timeout marks the endpoint as suspect; a client that sends its body slowly must not cause that.
        if self._cancelled or self._waiting_on_client:
            return AttemptOutcome.CANCELLED
        return AttemptOutcome.TIMED_OUT

    # Writing the request

    async def _exchange(self, connection: Connection, request: OutgoingRequest) -> AttemptResult:
        codec = connection.codec
        body = request.body
        payload = codec.request(request.method, request.target, request.headers)
        buffered = b"" if body is None else body.in_memory
        if buffered is None:
            assert body is not None
            return await self._exchange_streaming(connection, payload, body)
        payload += (codec.data(buffered) if buffered else b"") + codec.end()
        self._write_started = True
        self._enter_phase("send")
        try:
            await connection.stream.send(payload)
            self._write_completed = True
            self._enter_phase("store")
        except CONNECTION_ERRORS:
            pass  # the store may have responded before it closed the connection
        return await self._read_response(connection)

    async def _exchange_streaming(
        self, connection: Connection, head: bytes, body: ReplayBody
    ) -> AttemptResult:
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_request, connection, head, body, group)
            try:
                result = await self._read_response(connection)
            except (*CONNECTION_ERRORS, ProtocolError):
                result = AttemptResult(self._outcome_of_connection_error())
            self._result = result
            group.cancel_scope.cancel()
        if self._client_error is not None:
            return AttemptResult(AttemptOutcome.CANCELLED if self._write_started else AttemptOutcome.NOT_SENT)
        assert self._result is not None
        return self._result

    async def _write_request(
        self, connection: Connection, head: bytes, body: ReplayBody, group: TaskGroup
    ) -> None:
        codec = connection.codec
        chunks = body.chunks()
        try:
            while True:
                self._begin_client_wait()
                try:
                    data = await anext(chunks, b"")
                finally:
                    self._end_client_wait()
                if not data:
                    break
                self._write_started = True
                encoded = codec.data(data)
                await connection.stream.send(head + encoded if head else encoded)  # type: ignore[arg-type]
                head = b""
            self._write_started = True
            await connection.stream.send(head + codec.end())
            self._write_completed = True
            self._enter_phase("store")
        except (ClientDisconnectedError, ProtocolError, BodyStoreFullError, QuotaExceededError) as error:
            self._client_error = error
            group.cancel_scope.cancel()
        except CONNECTION_ERRORS:
            pass  # reading the response raises the same error
        finally:
            await chunks.aclose()

    def _begin_client_wait(self) -> None:
        now = self._clock()
        self._enter_phase("body")
        self._client_wait_since_ms = now
        self._waiting_on_client = True

    def _end_client_wait(self) -> None:
        now = self._clock()
        self._enter_phase("send")
        self._client_wait_ms += now - self._client_wait_since_ms
        # Stays set if the wait was interrupted, so that the outcome is classified as the client's fault.
        self._waiting_on_client = self._waiting_on_client and self._scope.cancel_called

    # Reading the response

    async def _read_response(self, connection: Connection) -> AttemptResult:
        head = await connection.read_head()
        self._enter_phase("answer")
        if not self._is_expected(head):
            raise ProtocolError(502, "store-range", "the store's range is not the requested one")
        report = store_protocol.read_report(head)
        body = bytearray()
        while len(body) <= MAX_BUFFERED_RESPONSE_BYTES and (
            head.length is None or head.length <= MAX_BUFFERED_RESPONSE_BYTES
        ):
            chunk = await connection.read_body_chunk()
            if isinstance(chunk, EndOfBody):
                return self._complete_response(head, report, bytes(body))
            body += chunk
        if head.status >= 500:
            return self._complete_response(head, report, b"")
        while not body:
            chunk = await connection.read_body_chunk()
            if isinstance(chunk, EndOfBody):
                return self._complete_response(head, report, b"")
            body += chunk
        return await self._stream_response(connection, head, report, bytes(body))

    @staticmethod
    def _complete_response(
        head: ResponseHead, report: store_protocol.EndpointReport, body: bytes
    ) -> AttemptResult:
        if store_protocol.proves_no_effect(head):
            return AttemptResult(AttemptOutcome.SHED, report=report, status=head.status)
        if head.status >= 500:
            return AttemptResult(AttemptOutcome.ERROR, report=report, status=head.status)
        return AttemptResult(
            AttemptOutcome.SERVED,
            report=report,
            response=UpstreamResponse(head, body),
            status=head.status,
            body_bytes=len(body),
        )

    async def _stream_response(
        self,
        connection: Connection,
        head: ResponseHead,
        report: store_protocol.EndpointReport,
        first_chunk: bytes,
    ) -> AttemptResult:
        self._scope.deadline = float("inf")  # the client's pace now determines the duration
        self._on_stream_start()
        body_bytes = 0
        result = AttemptResult(
            AttemptOutcome.CONNECTION_RESET, report=report, streamed=True, status=head.status
        )
        self._result = result
        try:
            await self._send_to_client(self._sink.begin_stream(head))
            chunk: Bytes | EndOfBody = first_chunk
            while not isinstance(chunk, EndOfBody):
                await self._send_to_client(self._sink.data(chunk))
                body_bytes += len(chunk)
                with anyio.fail_after(self._stream_idle_ms / 1000):
                    chunk = await connection.read_body_chunk()
            await self._send_to_client(self._sink.finish())
            result.outcome = AttemptOutcome.SERVED
        except ClientDisconnectedError as error:
            result.outcome = AttemptOutcome.CANCELLED
            result.error = error
        except QuotaExceededError as error:
            result.outcome = AttemptOutcome.CANCELLED
            result.error = error
            result.streamed = body_bytes > 0  # the head is sent with the first chunk
        except (*CONNECTION_ERRORS, ProtocolError):
            pass
        result.body_bytes = body_bytes
        return result

    async def _send_to_client(self, sending: Awaitable[None]) -> None:
        started_at_ms = self._clock()
        self._enter_phase("client")
        try:
            await sending
        finally:
            self._client_wait_ms += self._clock() - started_at_ms
            self._enter_phase("answer")
