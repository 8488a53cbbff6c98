"""One client connection: requests in, one response each out, as a state machine driven by the event loop."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from enum import Enum, auto
from typing import TYPE_CHECKING

from winchdyke.http1 import EndOfBody, Headers, NeedData, ProtocolError, RequestHead, ServerCodec
from winchdyke.object_api import answers
from winchdyke.platform import protocol, sockets

if TYPE_CHECKING:
    from winchdyke.platform.client_connections import ClientConnections

MAX_HEAD_BYTES = 16 * 1024
MAX_PIPELINED_BYTES = (
    64 * 1024
)  # kept while a response is owed; what comes beyond is discarded and answered with 413
MAX_DISCARDED_BYTES = (
    1024 * 1024
)  # read and discarded while lingering, or between two checks while a response is owed
ERROR_HEAD_BYTES = 1024
READY_BODY = b"ready\n"


class ConnectionState(Enum):
    """Where a connection is."""

    NEW = auto()  # no complete request has come yet
    READING_REQUEST = auto()  # a part of a request has come
    IDLE = auto()  # between requests
    AWAITING_RESPONSE = auto()  # a request is owed its response
    WRITING_RESPONSE = auto()  # a response is being written
    LINGERING = auto()  # an error was written; the client may read it
    HALF_CLOSED = auto()  # a response that says close was written; what the client sends now is not read
    CLOSED = auto()


RECEIVING_STATES = (ConnectionState.NEW, ConnectionState.IDLE, ConnectionState.READING_REQUEST)
RESPONDING_STATES = (ConnectionState.AWAITING_RESPONSE, ConnectionState.WRITING_RESPONSE)


class ClientConnection:
    """One client connection.

    ``on_disconnect`` is called if the connection ends while a request is owed its response. ``state_since_ms`` and
    ``last_received_at_ms`` are milliseconds of the gateway's clock, the latter by the kernel's time of arrival.
    """

    __slots__ = (
        "_body",
        "_codec",
        "_connections",
        "_discarded_bytes",
        "_head",
        "_pipeline_overflowed",
        "_pipelined_bytes",
        "_reading_paused",
        "_request",
        "_unsent",
        "close_after_response",
        "last_received_at_ms",
        "on_disconnect",
        "reserved_body_bytes",
        "sock",
        "state",
        "state_since_ms",
    )

    def __init__(self, connections: ClientConnections, sock: socket.socket) -> None:
        self._connections = connections
        self.sock = sock
        self.state = ConnectionState.NEW
        self.state_since_ms = connections.clock()
        self.last_received_at_ms = 0.0
        self.on_disconnect: Callable[[], None] | None = None
        self.close_after_response = False
        self.reserved_body_bytes = 0
        self._codec = ServerCodec(MAX_HEAD_BYTES)
        self._head: RequestHead | None = None
        self._request: protocol.ParsedRequest | None = None
        self._body = bytearray()
        self._unsent: memoryview | None = None
        self._pipelined_bytes = 0
        self._pipeline_overflowed = False
        self._discarded_bytes = 0
        self._reading_paused = False

    def move_to(self, state: ConnectionState) -> None:
        """Change the state."""
        self._connections.move_to(self, state)

    # Reading.

    def on_readable(self) -> None:
        """Read what has come, once."""
        if self.state is ConnectionState.CLOSED:
            return
        if self.state is ConnectionState.HALF_CLOSED:
            if self.is_still_connected():
                self._pause_reading()  # the request stays unread: its client sends it on a new connection
            return
        try:
            data, self.last_received_at_ms = sockets.receive(self.sock)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        self._on_data(data)

    def _on_data(self, data: bytes) -> None:
        if self.state is ConnectionState.LINGERING:
            self._discarded_bytes += len(data)
            if not data or self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.close()
        elif not data:
            self.close()
        elif self._pipeline_overflowed or self.state in RESPONDING_STATES:
            self._buffer_pipelined(data)
        else:
            self._codec.feed(data)
            self._parse_requests()

    def _buffer_pipelined(self, data: bytes) -> None:
        """Keep what is sent ahead of a response, up to a limit; behind discarded bytes nothing is a request any more.

        Reading goes on beyond the limit, so that a disconnect behind the discarded bytes is seen.
        """
        self._pipelined_bytes += len(data)
        if self._pipelined_bytes <= MAX_PIPELINED_BYTES and not self._pipeline_overflowed:
            self._codec.feed(data)
            return
        self._pipeline_overflowed = True
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._pause_reading()  # until the next check, so that one client can't keep the event loop busy

    def _pause_reading(self) -> None:
        if not self._reading_paused:
            self._reading_paused = True
            self._connections.loop.remove_reader(self.sock.fileno())

    def resume_reading(self) -> None:
        """Read again after a pause."""
        if self._reading_paused:
            self._reading_paused = False
            self._discarded_bytes = 0
            self._connections.loop.add_reader(self.sock.fileno(), self.on_readable)

    def is_still_connected(self) -> bool:
        """Whether the client is still there, by what its socket holds; closes the connection if not.

        A disconnect may lie in the socket before the event loop has seen it.
        """
        if self.state is not ConnectionState.CLOSED and sockets.peer_has_closed(self.sock):
            self.close()
        return self.state is not ConnectionState.CLOSED

    def process_pending(self) -> None:
        """Process what was buffered and not parsed, or what lies in the socket."""
        if self.state is ConnectionState.IDLE and (
            self._codec.has_buffered_data or self._pipeline_overflowed
        ):
            self._parse_requests()
        elif not sockets.has_nothing_to_read(self.sock):
            self.on_readable()

    # Requests.

    def _parse_requests(self) -> None:
        if self.state not in RECEIVING_STATES:
            return
        try:
            complete = self._read_request()
        except ProtocolError as error:
            self.reject(error.status, error.reason, str(error))
            return
        except OSError:
            self.close()
            return
        if complete:
            self._dispatch_request()

    def _read_request(self) -> bool:
        """Parse what was received; whether a request for the scheduler is complete."""
        if self._head is None and not self._read_head():
            return False
        return self._read_body()

    def _read_head(self) -> bool:
        head = self._codec.head()
        if isinstance(head, NeedData):
            self._wait_for_more()
            return False
        if head is None:
            self.close()
            return False
        if head.target == protocol.READY_PATH and head.method == "GET":
            self._respond_ready(head)
            return False
        self._request = self._connections.request_parser.parse(head)
        self._head = head
        self._connections.reserve_body(self, head.length or 0)
        if head.length != 0 and self._codec.waiting_for_continue:
            self.sock.send(self._codec.continue_response())
        return True

    def _read_body(self) -> bool:
        while not self._codec.body_done:
            piece = self._codec.body()
            if isinstance(piece, NeedData):
                self._wait_for_more()
                return False
            if isinstance(piece, EndOfBody):
                break
            self._body += piece
            self._connections.reserve_body(self, len(self._body))
        return True

    def _dispatch_request(self) -> None:
        """Hand a complete request over, unless its client has left: both may be found in the same turn of the event loop."""
        if not self.is_still_connected():
            self._connections.counts["disconnected_before_dispatch"] += 1
            return
        request = self._request
        assert request is not None
        self._request = None
        request.body = bytes(self._body)
        self._body.clear()
        self.move_to(ConnectionState.AWAITING_RESPONSE)
        try:
            self._connections.accept_request(self, request, self.last_received_at_ms)
        except ProtocolError as error:
            self.reject(error.status, error.reason, str(error))

    def _wait_for_more(self) -> None:
        if self._pipeline_overflowed:
            raise ProtocolError(
                413, "too-large", f"more than {MAX_PIPELINED_BYTES} bytes were sent ahead of an answer"
            )
        if self.state is ConnectionState.IDLE:
            self.move_to(ConnectionState.READING_REQUEST)

    def _respond_ready(self, head: RequestHead) -> None:
        """Answer a readiness check and close: whoever checks doesn't reuse the connection, and many may check at once."""
        self._head = head
        self.close_after_response = True
        self.move_to(ConnectionState.AWAITING_RESPONSE)
        self.respond(200, [(b"content-length", b"%d" % len(READY_BODY))], READY_BODY)

    # Responses.

    def reject(self, status: int, reason: str, text: str) -> None:
        """Respond with an error, and close once the client has had time to read it."""
        self._connections.counts[reason] += 1
        self.on_disconnect = None
        try:
            self._send_error(status, reason, text)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.move_to(ConnectionState.LINGERING)
        self.resume_reading()

    def _send_error(self, status: int, reason: str, text: str) -> None:
        error = answers.error(status, "refused", reason, "-", text)
        self.sock.send(ServerCodec(ERROR_HEAD_BYTES).closing_response(*error))

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the response to the request that awaits one; without effect where none does."""
        if self.state is not ConnectionState.AWAITING_RESPONSE:
            return
        self.on_disconnect = None
        self.close_after_response = self.close_after_response or self._connections.close_after_response
        if self.close_after_response:
            headers = [*headers, (b"connection", b"close")]
        codec = self._codec
        payload = codec.response_head(status, headers) + (codec.data(body) if body else b"") + codec.end()
        self.move_to(ConnectionState.WRITING_RESPONSE)
        self._write(memoryview(payload))

    def _write(self, unsent: memoryview) -> None:
        try:
            sent_bytes = self.sock.send(unsent)
        except BlockingIOError:
            sent_bytes = 0
        except OSError:
            self.close()
            return
        if sent_bytes < len(unsent):
            if self._unsent is None:
                self._connections.loop.add_writer(self.sock.fileno(), self._on_writable)
            self._unsent = unsent[sent_bytes:]
            return
        if self._unsent is not None:
            self._unsent = None
            self._connections.loop.remove_writer(self.sock.fileno())
        self._on_response_written()

    def _on_writable(self) -> None:
        if self._unsent is not None:
            self._write(self._unsent)

    def _on_response_written(self) -> None:
        if self.close_after_response or not self._codec.reusable:
            self._half_close()
            return
        has_more = self._codec.has_buffered_data or self._pipeline_overflowed
        self._codec.next_cycle()
        self._head = None
        self._pipelined_bytes = 0
        self.move_to(ConnectionState.IDLE)
        self._connections.on_connection_idle()
        if not self._pipeline_overflowed:
            self.resume_reading()
        if has_more:
            # In a later turn: many requests may have come at once, and other connections go first.
            self._connections.loop.call_soon(self._parse_requests)

    # Closing.

    def _half_close(self) -> None:
        """Send no more, and wait for the client's end.

        Closing a socket with unread bytes resets the connection, which may destroy the response on its way; clients send on every
        connection that is open.
        """
        if self._head is not None and self._head.target == protocol.READY_PATH:
            self.close()
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.move_to(ConnectionState.HALF_CLOSED)
        self.resume_reading()
        self.on_readable()

    def on_timeout(self) -> None:
        """End a connection whose state has lasted too long; a partial request is answered with 408."""
        if self._request_started:
            self.reject(408, "head-slow", "the request did not arrive in time")
        else:
            self.close()

    def evict(self) -> None:
        """Close to free a place for another connection; a partial request is answered with 503."""
        if self._request_started:
            with contextlib.suppress(OSError):
                text = "this gateway holds as many connections as it may"
                self._send_error(503, "too-many-connections", text)
        self.close()

    @property
    def _request_started(self) -> bool:
        """Whether a part of a request has come: closed without a response, that request would be lost."""
        if self.state is ConnectionState.READING_REQUEST:
            return True
        return self.state is ConnectionState.NEW and self.last_received_at_ms > 0

    def close(self) -> None:
        """Close at once; calls ``on_disconnect`` where a request is owed its response."""
        if self.state is ConnectionState.CLOSED:
            return
        on_disconnect = self.on_disconnect
        self.on_disconnect = None
        self._connections.loop.remove_reader(self.sock.fileno())
        self._connections.loop.remove_writer(self.sock.fileno())
        self.move_to(ConnectionState.CLOSED)
        self.sock.close()
        if on_disconnect is not None:
            on_disconnect()
