"""Connections to stores, kept alive between attempts."""

from __future__ import annotations

import errno
import select
import ssl
from collections import defaultdict, deque
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream

from winchdyke.http1 import Bytes, ClientCodec, EndOfBody, NeedData, ProtocolError, ResponseHead
from winchdyke.peer_limits.task_turns import TaskTurns

RESOURCE_EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
RECEIVE_BYTES = 256 * 1024  # the transport's read size; a smaller one would copy each read in pieces
MAX_RESPONSE_HEAD_BYTES = 64 * 1024
# On a busy host, the identity check may take longer than connecting: the store's process answers the check, the kernel
# accepts the connection.
MIN_IDENTITY_CHECK_TIMEOUT_MS = 1000.0
HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class ConnectError(Exception):
    """No usable connection could be made.

    Attributes:
        local_exhaustion: Whether this host had no file descriptor or memory left for a connection.
    """

    def __init__(self, text: str, local_exhaustion: bool) -> None:
        super().__init__(text)
        self.local_exhaustion = local_exhaustion


class Connection:
    """One connection to a store.

    Attributes:
        endpoint: Address of the store.
        stream: The socket.
        codec: HTTP parser and serializer of the connection.
        turns: The connection's part of the event loop's work.
        exchanges: Completed exchanges.
        idle_since_ms: When the last exchange ended.
        on_close: Called as the connection is closed.
    """

    __slots__ = ("_poll", "codec", "endpoint", "exchanges", "idle_since_ms", "on_close", "stream", "turns")

    def __init__(self, endpoint: str, stream: SocketStream) -> None:
        self.endpoint = endpoint
        self.stream = stream
        self.codec = ClientCodec(MAX_RESPONSE_HEAD_BYTES)
        self.turns = TaskTurns()
        self.exchanges = 0
        self.idle_since_ms = 0.0
        self.on_close: Callable[[Connection], None] = lambda _: None
        self._poll = select.poll()
        self._poll.register(
            stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN | select.POLLRDHUP
        )

    def is_readable_or_closed(self) -> bool:
        """Whether the store has closed an idle connection or sent data on it, so that it must not be reused."""
        return bool(self._poll.poll(0))

    def peer_hung_up(self) -> bool:
        """Whether the store has closed its side, even if unread data is left."""
        return any(event & HANG_UP_EVENTS for _, event in self._poll.poll(0))

    async def read_head(self) -> ResponseHead:
        """Read the head of a response. Raises ProtocolError if it is malformed."""
        while True:
            await self.turns.wait()
            head = self.codec.head()
            self.turns.count(self.codec.work_units)
            if not isinstance(head, NeedData):
                return head
            self.codec.feed(await self._receive())

    async def read_body_chunk(self) -> Bytes | EndOfBody:
        """Read the next part of a response's body. Raises ProtocolError if it is malformed."""
        while True:
            await self.turns.wait()
            chunk = self.codec.body()
            self.turns.count(self.codec.work_units)
            if not isinstance(chunk, NeedData):
                return chunk
            self.codec.feed(await self._receive())

    async def _receive(self) -> bytes:
        try:
            return await self.stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            return b""  # the parser knows whether the response may end here

    async def close(self) -> None:
        """Close at once, also during an exchange."""
        self.on_close(self)
        await anyio.aclose_forcefully(self.stream)


def _error_numbers(error: BaseException | None) -> set[int]:
    """Return the errno values of an exception and of its causes."""
    found: set[int] = set()
    while error is not None:
        if isinstance(error, BaseExceptionGroup):
            for inner in error.exceptions:
                found |= _error_numbers(inner)
        if isinstance(error, OSError) and error.errno:
            found.add(error.errno)
        error = error.__cause__ or error.__context__
    return found


class ConnectionPool:
    """The connections of one gateway to its stores.

    Args:
        connect_timeout_ms: The time allowed for a new connection.
        max_idle_ms: A connection that has been idle for longer is not reused.
        max_idle_per_endpoint: Idle connections kept for an endpoint.
        clock: Monotonic time in milliseconds.

    Attributes:
        verify_identity: Verifies a store's identity on a new connection; raises ConnectError if it is not the expected one.
        tls_context: Returns the TLS context for stores; None: connections are not encrypted.
        connections_opened: Connections opened so far.
        connections_reused: Number of times that an idle connection was reused.
    """

    def __init__(
        self,
        connect_timeout_ms: float,
        max_idle_ms: float,
        max_idle_per_endpoint: int,
        clock: Callable[[], float],
    ) -> None:
        self.connect_timeout_ms = connect_timeout_ms
        self.max_idle_ms = max_idle_ms
        self.max_idle_per_endpoint = max_idle_per_endpoint
        self.verify_identity: Callable[[Connection], Awaitable[None]] | None = None
        self.tls_context: Callable[[], ssl.SSLContext] | None = None
        self.connections_opened = 0
        self.connections_reused = 0
        self._clock = clock
        self._idle: defaultdict[str, deque[Connection]] = defaultdict(deque)
        self._open: defaultdict[str, set[Connection]] = defaultdict(set)

    def __str__(self) -> str:
        idle = sum(len(connections) for connections in self._idle.values())
        return (
            f"pool: {idle} idle at {len(self._idle)} endpoints, "
            f"{self.connections_opened} opened, {self.connections_reused} reused"
        )

    async def acquire(self, endpoint: str) -> Connection:
        """Return an idle connection to an endpoint that is still usable, or a new one.

        Raises:
            ConnectError: No connection could be made.
        """
        idle = self._idle[endpoint]
        while idle:
            connection = idle.pop()
            idle_ms = self._clock() - connection.idle_since_ms
            if idle_ms < self.max_idle_ms and not connection.is_readable_or_closed():
                self.connections_reused += 1
                return connection
            await connection.close()
        return await self._open_connection(endpoint)

    async def _open_connection(self, endpoint: str) -> Connection:
        host, _, port = endpoint.rpartition(":")
        try:
            with anyio.fail_after(self.connect_timeout_ms / 1000):
                stream = await self._connect(host, int(port))
        except (OSError, ValueError, ExceptionGroup) as error:
            local_exhaustion = bool(_error_numbers(error).intersection(RESOURCE_EXHAUSTION_ERRNOS))
            raise ConnectError(f"{endpoint}: {error}", local_exhaustion) from error
        self.connections_opened += 1
        connection = Connection(endpoint, stream)
        # Another store may have taken over the address, but only after the previous one has closed all its connections:
        # the identity is checked only if no other connection is open.
        if self.verify_identity is not None and all(other.peer_hung_up() for other in self._open[endpoint]):
            await self._check_identity(connection)
        self._open[endpoint].add(connection)
        connection.on_close = self._on_connection_closed
        return connection

    async def _connect(self, host: str, port: int) -> SocketStream:
        if self.tls_context is None:
            return await anyio.connect_tcp(host, port)
        return await anyio.connect_tcp(  # type: ignore[return-value]
            host, port, tls=True, ssl_context=self.tls_context(), tls_standard_compatible=False
        )

    def _on_connection_closed(self, connection: Connection) -> None:
        self._open[connection.endpoint].discard(connection)

    async def _check_identity(self, connection: Connection) -> None:
        assert self.verify_identity is not None
        timeout_ms = max(self.connect_timeout_ms, MIN_IDENTITY_CHECK_TIMEOUT_MS)
        try:
            with anyio.fail_after(timeout_ms / 1000):
                await self.verify_identity(connection)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, ProtocolError) as error:
            await connection.close()
            reason = error or "no response to the identity check"
            raise ConnectError(f"{connection.endpoint}: {reason}", False) from error
        except BaseException:
            await connection.close()
            raise
        if not connection.codec.reusable:
            await connection.close()
            raise ConnectError(f"{connection.endpoint}: closed after the identity check", False)
        connection.codec.next_cycle()

    async def release(self, connection: Connection) -> None:
        """Keep a connection whose exchange has ended, or close it if it can't be reused."""
        idle = self._idle[connection.endpoint]
        if not connection.codec.reusable or len(idle) >= self.max_idle_per_endpoint:
            await connection.close()
            return
        connection.codec.next_cycle()
        connection.exchanges += 1
        connection.idle_since_ms = self._clock()
        idle.append(connection)

    async def close_idle_except(self, endpoints: set[str]) -> None:
        """Close the idle connections to all other endpoints."""
        for endpoint in [endpoint for endpoint in self._idle if endpoint not in endpoints]:
            for connection in self._idle.pop(endpoint):
                await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        await self.close_idle_except(set())
