"""One client's connection: reads its requests one after another, and writes the responses.

A receiving task reads ahead up to a limit, so that a disconnect is detected while the request is queued.
"""

from __future__ import annotations

import select
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.tls import TLSStream

from winchdyke.config.model import Limits
from winchdyke.gateway.attempts import CONNECTION_ERRORS, ClientDisconnectedError
from winchdyke.gateway.pool import RECEIVE_BYTES
from winchdyke.http1 import (
    NEED_DATA,
    Bytes,
    EndOfBody,
    Headers,
    NeedData,
    ProtocolError,
    RequestHead,
    ResponseHead,
    ServerCodec,
)
from winchdyke.object_api import answers
from winchdyke.object_api.store_protocol import client_headers
from winchdyke.peer_limits.task_turns import TaskTurns

MAX_READ_AHEAD_BYTES = 128 * 1024
# An unread request body up to this size is read and discarded, so that its connection can be kept.
MAX_DISCARDED_BODY_BYTES = 64 * 1024
# Time for a client to read its response before a connection with an unread body is closed.
LINGER_SECONDS = 1.0
POLLRDHUP: int = getattr(
    select, "POLLRDHUP", 0
)  # only on Linux; elsewhere a close behind unread data is not found

RequestHandler = Callable[["ClientConnection", RequestHead], Awaitable[None]]


class ClientConnection:
    """A client's connection, and the request that is being processed on it. It is the ``Sink`` of a streamed response.

    Attributes:
        codec: HTTP parser and serializer of the connection.
        timeout_at_ms: When the current wait for the client times out; infinite: there is no wait.
        on_disconnect: Called once the client has disconnected.
        disconnected: Whether the client has disconnected.
        idle: Whether it is waiting for the first byte of a request.
        close_after_response: Whether the connection is closed after the current response.
        extra_headers: Headers that are added to the response to the current request.
        response_status: Status of that response; 0: it has not begun.
        response_bytes: Bytes of its body that have been sent.
        declared_body_bytes: Declared length of the current request's body; None: unknown.
    """

    def __init__(self, stream: SocketStream, limits: Limits, clock: Callable[[], float]) -> None:
        self.codec = ServerCodec(limits.header_bytes)
        self.timeout_at_ms = float("inf")
        self.on_disconnect: Callable[[], None] | None = None
        self.disconnected = False
        self.idle = False
        self.close_after_response = False
        self.extra_headers: Headers = []
        self.response_status = 0
        self.response_bytes = 0
        self.declared_body_bytes: int | None = 0
        self._turns = TaskTurns()
        self._stream = stream
        self._limits = limits
        self._clock = clock
        self._timed_out = False
        self._sending = False
        self._unsent_head = b""
        self._unread_bytes = 0
        self._received_any = False
        self._data_arrived = anyio.Event()
        self._reading_resumed = anyio.Event()
        self._scope = anyio.CancelScope()
        # Errors and hang-ups are always reported.
        self._close_poll = select.poll()
        self._close_poll.register(stream.extra(SocketAttribute.raw_socket).fileno(), POLLRDHUP)

    @property
    def stream(self) -> SocketStream:
        """The socket, for its local and remote addresses."""
        return self._stream

    # The connection

    async def run(self, handle: RequestHandler) -> None:
        """Process the connection's requests with ``handle`` until it is closed."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._receive_loop)
                with self._scope:
                    await self._serve_requests(handle)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    def check_for_reset(self) -> None:
        """Detect a reset or a close by a client whose data is unread, and call ``on_disconnect``.

        While receiving is paused, the transport reports neither. An orderly close counts once the request's body has been read:
        before that, the unread data is a part of the request.
        """
        if self.disconnected or self._unread_bytes <= MAX_READ_AHEAD_BYTES:
            return
        events = sum(event for _, event in self._close_poll.poll(0))
        was_reset = events & (select.POLLERR | select.POLLHUP)
        if was_reset or (events and self.codec.body_done):
            self._set_disconnected()

    def _set_disconnected(self) -> None:
        self.disconnected = True
        self._data_arrived.set()
        if self.on_disconnect is not None:
            self.on_disconnect()

    async def reject(self, status: int, headers: Headers, body: bytes) -> None:
        """Respond without reading a request, and close."""
        try:
            with anyio.move_on_after(LINGER_SECONDS):
                await self._stream.send(ServerCodec(1024).closing_response(status, headers, body))
                await self._send_eof()
                while True:
                    await self._stream.receive()
        except CONNECTION_ERRORS:
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    def close_when_idle(self) -> None:
        """Close now if no request is being processed or waiting in the socket, else after the response."""
        self.close_after_response = True
        if self.idle and not self._has_unread_data():
            self._scope.cancel()

    def _has_unread_data(self) -> bool:
        poll = select.poll()
        poll.register(self._stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN)
        return any(event & select.POLLIN for _, event in poll.poll(0))

    async def expire(self) -> None:
        """Time out the current wait for the client: reject an incomplete head, cut off a response that is being sent."""
        self._timed_out = True
        self.timeout_at_ms = float("inf")
        self._data_arrived.set()
        if self._sending:
            await anyio.aclose_forcefully(self._stream)

    # Requests

    async def _serve_requests(self, handle: RequestHandler) -> None:
        while not self.close_after_response:
            try:
                head = await self._next_head()
            except ProtocolError as error:
                self.close_after_response = True
                await self.respond(*answers.error(error.status, "refused", error.reason, "-", str(error)))
                await self._linger()
                return
            if head is None:
                return
            self.begin_request([], close=False)
            await handle(self, head)
            if not await self._finish_exchange():
                return

    async def _next_head(self) -> RequestHead | None:
        # Timeouts are detected by a periodic sweep over all connections, which costs less than a timer for each wait.
        await self._turns.wait()
        head = self._parse_head() if self._unread_bytes else NEED_DATA
        if head is NEED_DATA and not self.disconnected:
            self.idle = True
            self.timeout_at_ms = self._clock() + self._limits.idle_timeout
            while head is NEED_DATA and not self.disconnected and not self._timed_out:
                await self._wait_for_data()
                if self.idle and not self._timed_out:
                    self.idle = False
                    self.timeout_at_ms = self._clock() + self._limits.header_timeout
                await self._turns.wait()
                head = self._parse_head()
            self.idle = False
            self.timeout_at_ms = float("inf")
            if head is NEED_DATA and not self.disconnected and self._received_any:
                raise ProtocolError(408, "head-slow", "the request's head did not arrive in time")
        self._received_any = False
        return head if isinstance(head, RequestHead) else None

    def _parse_head(self) -> RequestHead | NeedData | None:
        try:
            return self.codec.head()
        finally:
            self._turns.count(self.codec.work_units)

    async def _finish_exchange(self) -> bool:
        """Discard the rest of the request; return whether the connection can be used for the next one."""
        if self.disconnected or self.codec.can_respond:
            return False
        if not self.codec.body_done and not self.close_after_response:
            with anyio.move_on_after(LINGER_SECONDS):
                discarded = 0
                while discarded <= MAX_DISCARDED_BODY_BYTES and (data := await self.read_body()):
                    discarded += len(data)
        if self.close_after_response or not self.codec.reusable:
            await self._linger()
            return False
        self.codec.next_cycle()
        return True

    async def _linger(self) -> None:
        """Keep reading for up to ``LINGER_SECONDS`` before the connection is closed.

        Closing a socket with unread data resets the connection, and the reset may discard a response that the client has
        not read.
        """
        try:
            with anyio.move_on_after(LINGER_SECONDS):
                await self._send_eof()
                while not self.disconnected:
                    self._unread_bytes = 0
                    self._reading_resumed.set()
                    await self._wait_for_data()
        except CONNECTION_ERRORS:
            pass

    async def _send_eof(self) -> None:
        """Close the sending side only; not possible with TLS."""
        if not isinstance(self._stream, TLSStream):
            await self._stream.send_eof()

    # Receiving

    async def _receive_loop(self) -> None:
        try:
            while True:
                while self._unread_bytes > MAX_READ_AHEAD_BYTES:
                    self._reading_resumed = anyio.Event()
                    await self._reading_resumed.wait()
                data = await self._stream.receive(RECEIVE_BYTES)
                self._unread_bytes += len(data)
                self._received_any = True
                if not self.close_after_response or not self.codec.body_done:
                    self.codec.feed(data)
                self._data_arrived.set()
        except CONNECTION_ERRORS:
            self._set_disconnected()

    async def _wait_for_data(self) -> None:
        self._unread_bytes = 0
        self._reading_resumed.set()
        self._data_arrived = anyio.Event()
        await self._data_arrived.wait()

    async def read_body(self) -> Bytes:
        """Return the next bytes of the request's body; empty at its end.

        Raises:
            ClientDisconnectedError: The client disconnected before the end.
            ProtocolError: The body is malformed.
        """
        if self.codec.waiting_for_continue:
            await self._send(self.codec.continue_response())
        while True:
            await self._turns.wait()
            chunk = self.codec.body()
            self._turns.count(self.codec.work_units)
            if not isinstance(chunk, (NeedData, EndOfBody)):
                self._unread_bytes = max(0, self._unread_bytes - len(chunk))
                self._reading_resumed.set()
                return chunk
            if isinstance(chunk, EndOfBody):
                return b""
            if self.disconnected:
                raise ClientDisconnectedError
            await self._wait_for_data()

    # Responses

    def begin_request(self, extra_headers: Headers, close: bool) -> None:
        """Reset the state of the response, and set headers that are added to any response."""
        self.extra_headers = extra_headers
        self.response_status = 0
        self.response_bytes = 0
        self.close_after_response = self.close_after_response or close

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response; a disconnect of the client is ignored."""
        if not self.codec.can_respond:
            return
        response = self._response_head(status, headers)
        if body:
            response += self.codec.data(body)
        response += self.codec.end()
        try:
            await self._send(response)
        except ClientDisconnectedError:
            return
        self.response_bytes = len(body)

    async def respond_from_upstream(self, head: ResponseHead, body: bytes) -> None:
        """Send a store's complete response."""
        await self.respond(head.status, client_headers(head.headers), body)

    async def begin_stream(self, head: ResponseHead) -> None:
        """Begin a streamed response; its head is sent with the first chunk of the body."""
        self._unsent_head = self._response_head(head.status, client_headers(head.headers))

    async def data(self, data: Bytes) -> None:
        """Send a chunk of a streamed response.

        Raises:
            ClientDisconnectedError: The client has disconnected, or takes its response too slowly.
        """
        encoded = self.codec.data(data)
        await self._send(self._unsent_head + encoded if self._unsent_head else encoded)
        self._unsent_head = b""
        self.response_bytes += len(data)

    async def finish(self) -> None:
        """End a streamed response.

        Raises:
            ClientDisconnectedError: The client has disconnected.
        """
        if tail := self.codec.end():
            await self._send(tail)

    def _response_head(self, status: int, headers: Headers) -> bytes:
        body_unread = self.codec.waiting_for_continue or not self.codec.body_done
        if body_unread and (self.codec.waiting_for_continue or self._too_much_unread()):
            self.close_after_response = True
        self.response_status = status
        closing: Headers = [(b"connection", b"close")] if self.close_after_response else []
        return self.codec.response_head(status, headers + self.extra_headers + closing)

    def _too_much_unread(self) -> bool:
        return self.declared_body_bytes is None or self.declared_body_bytes > MAX_DISCARDED_BODY_BYTES

    async def _send(self, data: Bytes) -> None:
        self._sending = True
        self.timeout_at_ms = self._clock() + self._limits.stream_idle
        try:
            await self._stream.send(data)  # type: ignore[arg-type]
        except CONNECTION_ERRORS as error:
            self.close_after_response = True
            raise ClientDisconnectedError from error
        finally:
            self._sending = False
            self.timeout_at_ms = float("inf")
        if self._timed_out:
            self.close_after_response = True
            raise ClientDisconnectedError
