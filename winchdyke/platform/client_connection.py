"""The listener and its connections: requests in, one answer each out; strangers bounded in number, bytes and time."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections import Counter
from collections.abc import Callable
from enum import Enum, auto

from winchdyke.gateway.pool import NO_DESCRIPTORS
from winchdyke.http1 import End, Headers, Need, ProtocolError, RequestHead, ServerSide
from winchdyke.object_api import answers
from winchdyke.platform import protocol, sockets
from winchdyke.platform.client_idle_limit import IdleConnectionLimit

MAX_HEAD_BYTES = 16 * 1024
MAX_PIPELINED_BYTES = (
    64 * 1024
)  # bytes kept while an answer is owed; what comes beyond is thrown away, and told behind the answers
NEW_CONNECTION_GRACE_MS = 150.0  # from a connection's start, in which its request is still on its way
REQUEST_TIMEOUT_MS = 2400.0  # from a connection's start, or from a request's first byte, to its whole request
IDLE_TIMEOUT_MS = 2000.0  # between requests: some clients ask once and stay, and hold what others need
WRITE_TIMEOUT_MS = 10_000.0  # for an answer to be taken by its client
LINGER_TIMEOUT_MS = 800.0  # after a last answer, for its client to read it before the connection goes
MAX_DISCARDED_BYTES = (
    1024 * 1024
)  # bytes of a client's thrown away meanwhile; while an answer is owed, between two looks
CHECK_INTERVAL_SECONDS = 0.1  # between looks at the times above
MAX_ACCEPTS_PER_TURN = 16  # connections taken at one turn of the loop
LISTEN_BACKLOG = 512


class ConnectionState(Enum):
    """Where a connection is."""

    NEW = auto()  # nothing whole has come yet
    READING_REQUEST = auto()  # a part of a request has come
    IDLE = auto()  # between requests
    AWAITING_RESPONSE = auto()  # a request is owed its answer
    WRITING_RESPONSE = auto()  # an answer is being written
    LINGERING = auto()  # an error was written; the client may read it
    HALF_CLOSED = auto()  # an answer that says close was written; what the client sends now is not read
    CLOSED = auto()


class ClientConnection:
    """One connection."""

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

    def __init__(self, ports: ClientConnections, sock: socket.socket) -> None:
        self._connections, self.sock = ports, sock
        self.state, self.state_since_ms, self.last_received_at_ms = ConnectionState.NEW, ports.clock(), 0.0
        self._codec = ServerSide(MAX_HEAD_BYTES)
        self._head: RequestHead | None = None
        self._request: protocol.ParsedRequest | None = None
        self._body = bytearray()
        self._unsent: memoryview | None = None
        self._pipelined_bytes = self._discarded_bytes = self.reserved_body_bytes = 0
        self._reading_paused = self._pipeline_overflowed = self.close_after_response = False
        self.on_disconnect: Callable[[], None] | None = None

    def move_to(self, state: ConnectionState) -> None:
        """Go to a state."""
        self._connections.move_to(self, state)

    def on_readable(self) -> None:
        """Bytes, or the end."""
        if self.state is ConnectionState.CLOSED:
            return
        if self.state is ConnectionState.HALF_CLOSED:
            if not self.close_if_peer_closed():
                self._pause_reading()  # what came is left lying: it is not taken, and its client sends it on a new connection
            return
        try:
            data, self.last_received_at_ms = sockets.receive(self.sock)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if self.state is ConnectionState.LINGERING:
            self._discarded_bytes += len(data)
            if not data or self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.close()
            return
        if not data:
            self.close()
            return
        if self._pipeline_overflowed or self.state in (
            ConnectionState.AWAITING_RESPONSE,
            ConnectionState.WRITING_RESPONSE,
        ):  # behind a gap nothing is a request any more
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes <= MAX_PIPELINED_BYTES and not self._pipeline_overflowed:
                self._codec.feed(data)
                return
            # Guards against a client's leaving that nobody sees, behind bytes that nobody reads: what it asked for would be sent
            # on. It hurts who sends so much ahead: what is beyond is never read, and told so.
            self._pipeline_overflowed = True
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._pause_reading()  # until the next look: one client must not have all of this gateway's time
            return
        self._codec.feed(data)
        self._parse_requests()

    def _pause_reading(self) -> None:
        if not self._reading_paused:
            self._reading_paused = True
            self._connections.loop.remove_reader(self.sock.fileno())

    def resume_reading(self) -> None:
        """Go on reading."""
        if self._reading_paused:
            self._reading_paused, self._discarded_bytes = False, 0
            self._connections.loop.add_reader(self.sock.fileno(), self.on_readable)

    def close_if_peer_closed(self) -> bool:
        """Close where the client has read its last answer, which its own end tells; whether it has."""
        return not self.is_still_connected()

    def is_still_connected(self) -> bool:
        """Whether its client is there still, by what its socket holds."""
        # Guards against a leave that came with what else a late loop finds, and would be read after it.
        if self.state is not ConnectionState.CLOSED and sockets.peer_has_closed(self.sock):
            self.close()
        return self.state is not ConnectionState.CLOSED

    def process_pending(self) -> None:
        """Go on with what was taken in and not looked at, or with what has come."""
        if self.state is ConnectionState.IDLE and (self._codec.more or self._pipeline_overflowed):
            self._parse_requests()
        elif not sockets.has_nothing_to_read(self.sock):
            self.on_readable()

    def _parse_requests(self) -> None:
        if self.state not in (ConnectionState.NEW, ConnectionState.IDLE, ConnectionState.READING_REQUEST):
            return
        try:
            if self._head is None:
                head = self._codec.head()
                if isinstance(head, Need):
                    self._wait_for_more()
                    return
                if head is None:
                    self.close()
                    return
                if head.target == protocol.READY_PATH and head.method == "GET":
                    self._head, self.close_after_response = (
                        head,
                        True,
                    )  # whoever asks that, by hundreds maybe, asks once
                    self.move_to(ConnectionState.AWAITING_RESPONSE)
                    self.respond(200, [(b"content-length", b"6")], b"ready\n")
                    return
                self._request = self._connections.request_parser.parse(head)
                self._head = head
                self._reserve_body(head.length or 0)
                if head.length != 0 and self._codec.waiting_for_continue:
                    self.sock.send(self._codec.go_on())
            assert self._request is not None
            while not self._codec.body_done:
                piece = self._codec.body()
                if isinstance(piece, Need):
                    self._wait_for_more()
                    return
                if isinstance(piece, End):
                    break
                self._body += piece
                self._reserve_body(len(self._body))
        except ProtocolError as error:
            self.reject(error.status, error.reason, str(error))
            return
        except OSError:
            self.close()
            return
        # Guards against sending on for a client whose leaving lies behind its request: where this gateway was off its core,
        # or took no connection for a while, both are found together, and the request would go before the leave is read.
        if not self.is_still_connected():
            self._connections.counts["gone-before-look"] += 1
            return
        asked, self._request, asked.body = self._request, None, bytes(self._body)
        self._body.clear()
        self.move_to(ConnectionState.AWAITING_RESPONSE)
        try:
            self._connections.accept_request(self, asked, self.last_received_at_ms)
        except ProtocolError as error:
            self.reject(error.status, error.reason, str(error))

    def _reserve_body(self, length: int) -> None:
        """Keep room for a body so long, where that is beyond the protocol's bound."""
        # Guards against long bodies that together take this machine's memory. It hurts the one that comes when all room is held.
        more = length - self.reserved_body_bytes
        if length <= protocol.MAX_BODY_BYTES or more <= 0:
            return
        if length > self._connections.request_parser.max_body_bytes:
            raise protocol.body_too_large(self._connections.request_parser.max_body_bytes)
        if self._connections.large_body_bytes + more > self._connections.max_large_body_bytes:
            raise ProtocolError(503, "too-large", "all room for long bodies is held; try again")
        self.reserved_body_bytes, self._connections.large_body_bytes = (
            length,
            self._connections.large_body_bytes + more,
        )

    def _wait_for_more(self) -> None:
        if self._pipeline_overflowed:
            raise ProtocolError(
                413, "too-large", f"more than {MAX_PIPELINED_BYTES} bytes were sent ahead of an answer"
            )
        if self.state is ConnectionState.IDLE:
            self.move_to(ConnectionState.READING_REQUEST)

    def reject(self, status: int, reason: str, text: str) -> None:
        """Answer an error, and close once the client has had time to read it."""
        self._connections.counts[reason] += 1
        self.on_disconnect = None
        try:
            self.sock.send(ServerSide(1024).unasked(*_error(status, reason, text)))
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self.move_to(ConnectionState.LINGERING)
        self.resume_reading()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """The one answer to the request that is open."""
        if self.state is not ConnectionState.AWAITING_RESPONSE:
            return
        self.on_disconnect = None
        self.close_after_response = self.close_after_response or self._connections.close_after_response
        if self.close_after_response:
            headers = [*headers, (b"connection", b"close")]
        codec = self._codec
        sent = codec.answer(status, headers) + (codec.data(body) if body else b"") + codec.end()
        self.move_to(ConnectionState.WRITING_RESPONSE)
        self._write(memoryview(sent))

    def _write(self, left: memoryview) -> None:
        try:
            sent = self.sock.send(left)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        if sent < len(left):
            if self._unsent is None:
                self._connections.loop.add_writer(self.sock.fileno(), self._on_writable)
            self._unsent = left[sent:]
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
        more = self._codec.more or self._pipeline_overflowed
        self._codec.next_cycle()
        self._head, self._pipelined_bytes = None, 0
        self.move_to(ConnectionState.IDLE)
        self._connections.trim_idle()
        if not self._pipeline_overflowed:
            self.resume_reading()
        if more:
            self._connections.loop.call_soon(
                self._parse_requests
            )  # others first: many requests may have come at once

    def _half_close(self) -> None:
        """No more is answered here."""
        # Guards against an answer that a reset destroys on its way: closing a connection with bytes unread sends one, and
        # clients send on each that is open. It hurts by a connection held until its client ends it.
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
        """Its time is up: who has sent a part of a request is told so."""
        if self._request_started:
            self.reject(408, "head-slow", "the request did not arrive in time")
        else:
            self.close()

    def evict(self) -> None:
        """Close for another's sake: who has sent a part of a request is told so."""
        if self._request_started:
            with contextlib.suppress(OSError):
                said = _error(503, "too-many-connections", "this gateway holds as many connections as it may")
                self.sock.send(ServerSide(1024).unasked(*said))
        self.close()

    @property
    def _request_started(self) -> bool:
        """Whether a part of a request has come: a connection that is closed on it with no answer is a request lost."""
        return self.state is ConnectionState.READING_REQUEST or (
            self.state is ConnectionState.NEW and self.last_received_at_ms > 0
        )

    def close(self) -> None:
        """Close; whoever waits for the answer is told that its client has gone."""
        if self.state is ConnectionState.CLOSED:
            return
        gone, self.on_disconnect = self.on_disconnect, None
        self._connections.loop.remove_reader(self.sock.fileno())
        self._connections.loop.remove_writer(self.sock.fileno())
        self.move_to(ConnectionState.CLOSED)
        self.sock.close()
        if gone is not None:
            gone()


def _error(status: int, reason: str, text: str) -> tuple[int, Headers, bytes]:
    return answers.error(status, "refused", reason, "-", text)


class ClientConnections:
    """All connections of clients."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        sock: socket.socket,
        reader: protocol.RequestParser,
        take: Callable[[ClientConnection, protocol.ParsedRequest, float], None],
        most: int,
        long_most: float = 0.0,
    ) -> None:
        self.loop, self.clock, self.request_parser, self.accept_request, self.max_connections = (
            loop,
            clock,
            reader,
            take,
            most,
        )
        self.large_body_bytes, self.max_large_body_bytes = (
            0,
            long_most,
        )  # bytes of bodies beyond the protocol's bound: held, and at most
        self._listener, self._accepting, self._accept_paused = sock, False, False
        self.close_after_response = False  # every answer says that its connection ends
        self.keep_idle_connections = False  # no new ones will come in the place of what is ended
        # By state, each in the order of its coming there: who has been silent longest stands first.
        self.by_state: dict[ConnectionState, dict[ClientConnection, None]] = {
            state: {} for state in ConnectionState
        }
        self.count, self._idle_limit = 0, IdleConnectionLimit(clock())
        self.counts: Counter[str] = Counter()
        loop.call_later(CHECK_INTERVAL_SECONDS, self._check_timeouts)

    def set_accepting(self, on: bool) -> None:
        """Take connections, or leave them in the queue."""
        if self._listener.fileno() < 0:
            return
        if on and not self._accepting:
            self.loop.add_reader(self._listener.fileno(), self.accept_pending)
        elif not on and self._accepting:
            self.loop.remove_reader(self._listener.fileno())
        self._accepting = on

    def move_to(self, client: ClientConnection, state: ConnectionState) -> None:
        """A connection goes to another state."""
        self.by_state[client.state].pop(client, None)
        if client.reserved_body_bytes and state not in (
            ConnectionState.AWAITING_RESPONSE,
            ConnectionState.READING_REQUEST,
        ):
            self.large_body_bytes, client.reserved_body_bytes = (
                self.large_body_bytes - client.reserved_body_bytes,
                0,
            )
        client.state, client.state_since_ms = state, self.clock()
        if state is ConnectionState.CLOSED:
            self.count -= 1
            if self._accept_paused:
                self._resume_accepting()
        else:
            self.by_state[state][client] = None

    def accept_pending(self) -> bool:
        """Take what stands in the queue; whether that was all."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.count >= self.max_connections and not self.make_room():
                self._pause_accepting()  # every one is owed an answer, or has just come
                return True
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in NO_DESCRIPTORS and not self.make_room():
                    self._pause_accepting()
                    return True
                if error.errno not in (*NO_DESCRIPTORS, errno.ECONNABORTED):
                    return True
                continue
            try:
                sockets.configure(sock)
            except OSError:
                sock.close()
                continue
            client = ClientConnection(self, sock)
            self.count += 1
            self.by_state[ConnectionState.NEW][client] = None
            self.loop.add_reader(sock.fileno(), client.on_readable)
            client.on_readable()
        return False

    def _pause_accepting(self) -> None:
        """Leave the queue alone for a moment, or until a connection ends."""
        self.set_accepting(False)
        self._accept_paused = True
        self.loop.call_later(CHECK_INTERVAL_SECONDS / 2, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._accept_paused:
            self._accept_paused = False
            self.set_accepting(True)

    def trim_idle(self) -> None:
        """Close what is idle beyond what is worth keeping, the longest idle first."""
        if self.keep_idle_connections:
            return
        idle = self.by_state[ConnectionState.IDLE]
        most = self._idle_limit.limit(self.clock(), self.busy)
        while len(idle) > most:
            self.counts["idle-beyond-use"] += self._close_unless_active(
                next(iter(idle)), ClientConnection.close
            )

    def make_room(self) -> bool:
        """Close whoever is silent longest; who has said something is read first."""
        # Guards against strangers who take every connection and say nothing, whatever they want. It hurts a client that
        # keeps a connection between requests: it makes a new one. Who has just come is let be: hundreds at a time
        # would else take those along whose request is on its way.
        young = self.clock() - NEW_CONNECTION_GRACE_MS
        for state in (
            ConnectionState.HALF_CLOSED,
            ConnectionState.LINGERING,
            ConnectionState.NEW,
            ConnectionState.READING_REQUEST,
            ConnectionState.IDLE,
        ):
            for client in list(self.by_state[state]):
                if state is ConnectionState.NEW and client.state_since_ms > young:
                    break
                self._close_unless_active(client, ClientConnection.evict)
                if client.state is ConnectionState.CLOSED:
                    self.counts["made-room"] += 1
                    return True
        return False

    def _check_timeouts(self) -> None:
        now = self.clock()
        for client in list(self.by_state[ConnectionState.HALF_CLOSED]):
            client.close_if_peer_closed()
        for client in [
            *self.by_state[ConnectionState.AWAITING_RESPONSE],
            *self.by_state[ConnectionState.WRITING_RESPONSE],
        ]:
            client.resume_reading()
        for state, most in (
            (ConnectionState.NEW, REQUEST_TIMEOUT_MS),
            (ConnectionState.READING_REQUEST, REQUEST_TIMEOUT_MS),
            (ConnectionState.IDLE, IDLE_TIMEOUT_MS),
            (ConnectionState.LINGERING, LINGER_TIMEOUT_MS),
            (ConnectionState.HALF_CLOSED, LINGER_TIMEOUT_MS),
            (ConnectionState.WRITING_RESPONSE, WRITE_TIMEOUT_MS),
        ):
            if state is ConnectionState.IDLE and self.keep_idle_connections:
                continue
            for client in list(self.by_state[state]):
                if now - client.state_since_ms < most:
                    break
                self._close_unless_active(client, ClientConnection.on_timeout)
        self.loop.call_later(CHECK_INTERVAL_SECONDS, self._check_timeouts)

    @staticmethod
    def _close_unless_active(client: ClientConnection, end: Callable[[ClientConnection], None]) -> bool:
        """End a connection unless what has come on it, which is read first, takes it on; whether it was ended."""
        state = client.state
        if state not in (
            ConnectionState.LINGERING,
            ConnectionState.HALF_CLOSED,
            ConnectionState.WRITING_RESPONSE,
        ):
            client.process_pending()
        if client.state is not state:
            return False
        end(client)
        return True

    @property
    def busy(self) -> int:
        """How many are owed an answer."""
        return len(self.by_state[ConnectionState.AWAITING_RESPONSE]) + len(
            self.by_state[ConnectionState.WRITING_RESPONSE]
        )

    def close_idle(self) -> None:
        """Close what is between requests."""
        for client in list(self.by_state[ConnectionState.IDLE]):
            self._close_unless_active(client, ClientConnection.close)

    @property
    def has_unsettled(self) -> bool:
        """Whether requests may be on their way in, or last answers on their way out."""
        return any(
            self.by_state[s]
            for s in (
                ConnectionState.NEW,
                ConnectionState.READING_REQUEST,
                ConnectionState.LINGERING,
                ConnectionState.HALF_CLOSED,
            )
        )

    def process_all_pending(self) -> bool:
        """Take in all that has come; whether nothing is owed."""
        while not self.accept_pending():
            pass
        for state in (ConnectionState.NEW, ConnectionState.READING_REQUEST, ConnectionState.IDLE):
            for client in list(self.by_state[state]):
                client.process_pending()
        return not self.busy

    def close(self) -> None:
        """Close all; who comes then is turned away by the system."""
        self.set_accepting(False)
        self._listener.close()
        for clients in self.by_state.values():
            for client in list(clients):
                client.close()
