"""One client connection: a state machine that reads requests and writes one response to each."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from enum import Enum, auto
from typing import TYPE_CHECKING

from winchdyke.http1 import Headers, ProtocolError, ServerCodec
from winchdyke.object_api import answers
from winchdyke.peer_limits.memory_account import MemoryCharge
from winchdyke.peer_limits.turn_budget import UNITS_PER_PEER, discard_units, receive_units
from winchdyke.platform import sockets
from winchdyke.platform.client_request import RequestProgress, RequestReader
from winchdyke.platform.peer_memory import CONNECTION_OBJECTS_BYTES

if TYPE_CHECKING:
    from winchdyke.platform.client_connections import ClientConnections

# Buffered while a response is pending. Data beyond this limit is discarded and answered with 413.
MAX_PIPELINED_BYTES = 64 * 1024
MAX_LINGERING_BYTES = 1024 * 1024  # the limit on data discarded in the LINGERING state
# The limit on data discarded between two timeout checks while a response is pending. It is more than the kernels of both
# sides hold of a client that has closed, so its close is found within that time.
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
MAX_DISCARDS_PER_TURN = 16  # reads of one connection in a turn of the event loop
ERROR_HEAD_BYTES = 1024
RESPONSE_UNITS = 20  # work of writing a response, in units of the turn budget
READY_BODY = b"ready\n"


class ConnectionState(Enum):
    """The states of a client connection."""

    NEW = auto()  # accepted; the first request is not complete yet
    READING_REQUEST = auto()  # a later request has been received in part
    IDLE = auto()  # between requests
    AWAITING_RESPONSE = auto()  # a request was accepted and its response is pending
    WRITING_RESPONSE = auto()  # a response is being written
    LINGERING = auto()  # an error response was written; incoming data is discarded until the client closes
    HALF_CLOSED = auto()  # a response with "Connection: close" was written; incoming data is left unread
    CLOSED = auto()


RECEIVING_STATES = (ConnectionState.NEW, ConnectionState.IDLE, ConnectionState.READING_REQUEST)
RESPONDING_STATES = (ConnectionState.AWAITING_RESPONSE, ConnectionState.WRITING_RESPONSE)


class ClientConnection:
    """One client connection.

    Attributes:
        reading_paused: Whether nothing is read at present.
        on_disconnect: Called if the connection closes while a response is pending.
        state_since_ms: When the present state was entered, in milliseconds of the gateway's clock.
        last_received_at_ms: When the kernel received the last bytes, on the same clock; 0 if there were none.
    """

    __slots__ = (
        "_connections",
        "_discarded_bytes",
        "_has_unparsed",
        "_is_readiness_check",
        "_payload_bytes",
        "_payload_charge",
        "_pipeline_overflowed",
        "_pipelined_bytes",
        "_reader",
        "_request_charge",
        "_unsent",
        "close_after_response",
        "last_received_at_ms",
        "on_disconnect",
        "reading_paused",
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
        self._reader = RequestReader(connections.request_parser)
        self._request_charge = MemoryCharge(connections.memory.requests)
        self._request_charge.set(CONNECTION_OBJECTS_BYTES)
        self._payload_charge = MemoryCharge(connections.memory.responses)
        self._has_unparsed = False  # received bytes wait for a later turn of the event loop
        self._is_readiness_check = False
        self._payload_bytes = 0  # the size of the response that is being written
        self._unsent: memoryview | None = None
        self._pipelined_bytes = 0
        self._pipeline_overflowed = False
        self._discarded_bytes = 0
        self.reading_paused = False

    def move_to(self, state: ConnectionState) -> None:
        """Change the state."""
        self._connections.move_to(self, state)

    # Reading from the socket.

    def on_readable(self) -> None:
        """Read from the socket once and process the data."""
        if self.state is ConnectionState.CLOSED:
            return
        if self.state is ConnectionState.HALF_CLOSED:
            if self.is_still_connected():
                # The next request stays unread, so its client can safely send it again on a new connection.
                self._pause_reading()
            return
        if self._connections.turn_budget.exhausted:
            self._defer()
            return
        if self._pipeline_overflowed and self.state in RESPONDING_STATES:
            self._discard_unread()
            return
        max_bytes = self._readable_bytes()
        if not max_bytes:
            return
        try:
            data, self.last_received_at_ms = sockets.receive(self.sock, max_bytes)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        self._connections.turn_budget.spend(receive_units(len(data)))
        self._on_data(data)
        self._update_charge()

    def _defer(self) -> None:
        """Continue in a later turn of the event loop; until then nothing more is read."""
        self._pause_reading()
        self._connections.turn_budget.defer(self, self._continue)

    def _continue(self) -> None:
        self.resume_reading()
        if self._has_unparsed:
            self._parse_requests()
        else:
            self.on_readable()

    @property
    def is_deferred(self) -> bool:
        """Whether data may wait for a later turn of the event loop."""
        return self._connections.turn_budget.is_deferred(self)

    def _readable_bytes(self) -> int:
        """Return how many bytes to read now; 0 if the connection has to wait for memory."""
        if self.state in RESPONDING_STATES and not self._connections.client_memory.has_room_ahead:
            self._pause_reading()  # until the response is written, or the next timeout check
            return 0
        if self.state not in RECEIVING_STATES:
            return sockets.MAX_RECEIVE_BYTES  # data that can't be buffered is discarded
        max_bytes = self._connections.client_memory.readable_bytes(self)
        if not max_bytes:
            self._pause_reading()
            self._connections.client_memory.wait(self)
        return max_bytes

    def _on_data(self, data: bytes) -> None:
        if self.state is ConnectionState.LINGERING:
            self._discarded_bytes += len(data)
            if not data or self._discarded_bytes > MAX_LINGERING_BYTES:
                self.close()
        elif not data:
            self.close()
        elif self._pipeline_overflowed or self.state in RESPONDING_STATES:
            self._buffer_pipelined(data)
        else:
            self._reader.codec.feed(data)
            self._parse_requests()

    def _buffer_pipelined(self, data: bytes) -> None:
        """Buffer data that arrives while a response is pending.

        It is discarded beyond ``MAX_PIPELINED_BYTES``, and if the memory for requests is full.
        Once bytes were discarded, later bytes can't be parsed as requests and are discarded as well.
        """
        self._pipelined_bytes += len(data)
        has_room = len(data) <= self._connections.memory.requests.available_bytes
        if has_room and self._pipelined_bytes <= MAX_PIPELINED_BYTES and not self._pipeline_overflowed:
            self._reader.codec.feed(data)
            return
        self._pipeline_overflowed = True
        self._discarded_bytes += len(data)

    def _discard_unread(self) -> None:
        """Drop what the client sends behind discarded data, so that its disconnect is noticed however much that is."""
        budget = self._connections.turn_budget
        for _ in range(MAX_DISCARDS_PER_TURN):
            if budget.exhausted:
                self._defer()
                return
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                # Reading pauses until the next timeout check, so that one client can't keep the event loop busy.
                self._pause_reading()
                return
            try:
                discarded_bytes = sockets.discard(self.sock)
            except BlockingIOError:
                return
            except OSError:
                discarded_bytes = 0
            if not discarded_bytes:
                self.close()
                return
            self._discarded_bytes += discarded_bytes
            budget.spend(discard_units(discarded_bytes))

    def _pause_reading(self) -> None:
        if not self.reading_paused:
            self.reading_paused = True
            self._connections.loop.remove_reader(self.sock.fileno())

    def resume_reading(self) -> None:
        """Resume reading after a pause; does nothing if reading is not paused."""
        if self.reading_paused:
            self.reading_paused = False
            self._connections.client_memory.forget(self)
            self._discarded_bytes = 0
            self._connections.loop.add_reader(self.sock.fileno(), self.on_readable)

    def is_still_connected(self) -> bool:
        """Close the connection if its socket reports a disconnect; return whether it is still open.

        The socket may already report a disconnect that the event loop has not delivered yet, or that lies behind
        data that the gateway has not read.
        """
        if self.state is not ConnectionState.CLOSED and self._peer_has_left():
            self.close()
        return self.state is not ConnectionState.CLOSED

    def _peer_has_left(self) -> bool:
        if self.state is ConnectionState.HALF_CLOSED:
            # Closing a socket with unread data resets it, and the client may still be reading its last response.
            return sockets.is_at_end(self.sock)
        return sockets.peer_has_closed(self.sock)

    def process_pending(self) -> None:
        """Parse buffered data if there is any, else read data that is waiting in the socket."""
        has_next_request = self._reader.codec.has_buffered_data or self._pipeline_overflowed
        if self._has_unparsed or (self.state is ConnectionState.IDLE and has_next_request):
            self._parse_requests()
        elif not sockets.has_nothing_to_read(self.sock):
            self.on_readable()

    # Parsing requests.

    def _parse_requests(self) -> None:
        if self.state not in RECEIVING_STATES:
            return
        self._has_unparsed = True
        if self._connections.turn_budget.exhausted:
            self._defer()
            return
        self._has_unparsed = False
        try:
            self._on_progress(self._read_request())
        except ProtocolError as error:
            self.reject(error.status, error.reason, str(error))
        except OSError:
            self.close()
        self._update_charge()

    def _read_request(self) -> RequestProgress:
        codec = self._reader.codec
        units_before = codec.work_units
        try:
            return self._reader.read(UNITS_PER_PEER, self)
        finally:
            self._connections.turn_budget.spend(codec.work_units - units_before)

    def _on_progress(self, progress: RequestProgress) -> None:
        if progress is RequestProgress.COMPLETE:
            self._dispatch_request()
        elif progress is RequestProgress.READINESS_CHECK:
            self._respond_ready()
        elif progress is RequestProgress.CLOSED:
            self.close()
        elif progress is RequestProgress.HAS_MORE_WORK:
            self._has_unparsed = True
            self._enter_reading()
            self._defer()
        else:
            self._wait_for_more()

    def reserve_body(self, length_bytes: int) -> None:
        """Reserve memory for the body of the request that is being read. Raises ProtocolError."""
        self._connections.reserve_body(self, length_bytes)

    def send_interim(self, response: bytes) -> None:
        """Send an interim response. Raises OSError."""
        self.sock.send(response)

    def _dispatch_request(self) -> None:
        """Pass a complete request on unless its client has disconnected.

        The request and the disconnect may both be waiting in the same turn of the event loop.
        """
        if not self.is_still_connected():
            self._connections.counts["disconnected_before_dispatch"] += 1
            return
        request = self._reader.take_request()
        self.move_to(ConnectionState.AWAITING_RESPONSE)
        self._connections.accept_request(self, request, self.last_received_at_ms)

    def _wait_for_more(self) -> None:
        if self._pipeline_overflowed:
            raise ProtocolError(
                413, "too-large", f"more than {MAX_PIPELINED_BYTES} bytes were sent before the response"
            )
        self._enter_reading()

    def _enter_reading(self) -> None:
        if self.state is ConnectionState.IDLE:
            self.move_to(ConnectionState.READING_REQUEST)

    def _respond_ready(self) -> None:
        """Answer a readiness check and close the connection.

        Readiness checks don't reuse connections, and many may arrive at the same time.
        """
        self._is_readiness_check = True
        self.close_after_response = True
        self.move_to(ConnectionState.AWAITING_RESPONSE)
        self.respond(200, [(b"content-length", b"%d" % len(READY_BODY))], READY_BODY)

    # Writing responses.

    def reject(self, status: int, reason: str, text: str) -> None:
        """Respond with an error, then linger so that the client can read it before the connection closes."""
        self._connections.counts[reason] += 1
        self._connections.turn_budget.spend(RESPONSE_UNITS)
        self.on_disconnect = None
        self._drop_input()
        try:
            self._send_error(status, reason, text)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.move_to(ConnectionState.LINGERING)
        self.resume_reading()
        self._update_charge()

    def _send_error(self, status: int, reason: str, text: str) -> None:
        error = answers.error(status, "refused", reason, "-", text)
        self.sock.send(ServerCodec(ERROR_HEAD_BYTES).closing_response(*error))

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the response to the pending request; does nothing if no request is pending."""
        if self.state is not ConnectionState.AWAITING_RESPONSE:
            return
        self.on_disconnect = None
        self.close_after_response = self.close_after_response or self._connections.close_after_response
        if self.close_after_response:
            headers = [*headers, (b"connection", b"close")]
        codec = self._reader.codec
        payload = codec.response_head(status, headers) + (codec.data(body) if body else b"") + codec.end()
        self.move_to(ConnectionState.WRITING_RESPONSE)
        self._connections.turn_budget.spend(RESPONSE_UNITS)
        self._payload_bytes = len(payload)
        self._write(memoryview(payload))
        self._update_charge()

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
            self._update_charge()

    def _on_response_written(self) -> None:
        codec = self._reader.codec
        if self.close_after_response or not codec.reusable:
            self._half_close()
            return
        has_more = codec.has_buffered_data or self._pipeline_overflowed
        codec.next_cycle()
        self._pipelined_bytes = 0
        self.move_to(ConnectionState.IDLE)
        self._connections.on_connection_idle()
        if not self._pipeline_overflowed:
            self.resume_reading()
        if has_more:
            # Many requests may be pipelined. Each is parsed in a later turn of the event loop, after the events
            # of other clients.
            self._connections.loop.call_soon(self._parse_requests)

    # Closing.

    def _drop_input(self) -> None:
        """Drop what was received and not answered, and the work on it that waits for a later turn."""
        self._connections.turn_budget.cancel(self)
        self._has_unparsed = False
        self._reader.discard()

    def _half_close(self) -> None:
        """Shut down the sending side and wait for the client to close.

        Closing a socket that holds unread bytes resets the connection, and the client may lose the response
        that is still on its way. Unread bytes are common, since clients send requests on any open connection.
        """
        if self._is_readiness_check:
            self.close()
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._drop_input()
        self.move_to(ConnectionState.HALF_CLOSED)
        self.resume_reading()
        self._update_charge()
        self.on_readable()

    def on_timeout(self) -> None:
        """Close a connection whose state has timed out; a partial request is answered with 408."""
        if self._request_started:
            self.reject(408, "head-slow", "the request did not arrive in time")
        else:
            self.close()

    def evict(self) -> None:
        """Close to make room for another connection; a partial request is answered with 503."""
        if self._request_started:
            with contextlib.suppress(OSError):
                text = "the gateway has reached its connection limit; try again"
                self._send_error(503, "too-many-connections", text)
        self.close()

    @property
    def _request_started(self) -> bool:
        """Whether part of a request was received; closing without a response would lose that request."""
        if self.state is ConnectionState.READING_REQUEST:
            return True
        if self.state is not ConnectionState.NEW:
            return False
        has_unread_data = self.is_deferred or self._connections.client_memory.is_waiting(self)
        return self.last_received_at_ms > 0 or has_unread_data

    @property
    def holds_request_data(self) -> bool:
        """Whether memory is held for a request that was received in part."""
        return self._request_charge.held_bytes > CONNECTION_OBJECTS_BYTES

    def _update_charge(self) -> None:
        """Charge what the connection holds to the accounts of the gateway's memory."""
        closed = self.state is ConnectionState.CLOSED
        before_bytes = self._request_charge.held_bytes
        self._request_charge.set(0 if closed else CONNECTION_OBJECTS_BYTES + self._reader.memory_bytes)
        # The payload is kept as a whole until its last byte is written.
        self._payload_charge.set(0 if closed or self._unsent is None else self._payload_bytes)
        if self._request_charge.held_bytes < before_bytes:
            self._connections.client_memory.on_released()

    def close(self) -> None:
        """Close immediately, and call ``on_disconnect`` if a response is pending."""
        if self.state is ConnectionState.CLOSED:
            return
        on_disconnect = self.on_disconnect
        self.on_disconnect = None
        self._connections.loop.remove_reader(self.sock.fileno())
        self._connections.loop.remove_writer(self.sock.fileno())
        self._connections.client_memory.forget(self)
        self.move_to(ConnectionState.CLOSED)
        self.sock.close()
        self._drop_input()
        self._unsent = None
        self._update_charge()
        if on_disconnect is not None:
            on_disconnect()
