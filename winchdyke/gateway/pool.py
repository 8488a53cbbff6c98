"""Connections to stores, kept alive between attempts. One list of idle connections for each node."""

from __future__ import annotations

import errno
import select
import ssl
from collections import defaultdict, deque
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream

from winchdyke.http1 import ClientSide, ProtocolError

NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ANSWER_HEAD = 64 * 1024
GREET_MS = (
    1000.0  # for a store's word on who it is, where connecting has less: a host that is behind is not gone
)
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class ConnectError(Exception):
    """No connection was made; ``own`` tells that this host had no means left to make one."""

    def __init__(self, text: str, own: bool) -> None:
        super().__init__(text)
        self.own = own


class Connection:
    """One connection to a store."""

    __slots__ = ("_poll", "codec", "node", "on_close", "stream", "used", "used_at")

    def __init__(self, node: str, stream: SocketStream) -> None:
        self.node, self.stream, self.codec = node, stream, ClientSide(ANSWER_HEAD)
        self.used, self.used_at = 0, 0.0
        self._poll = select.poll()
        self._poll.register(
            stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN | select.POLLRDHUP
        )
        self.on_close: Callable[[Connection], None] = lambda _: None

    def stale(self) -> bool:
        """Whether the store closed it, or said something unasked, while it was idle."""
        return bool(self._poll.poll(0))

    def ended(self) -> bool:
        """Whether the store's side has ended, whatever else it has said."""
        return any(event & ENDED for _, event in self._poll.poll(0))

    async def close(self) -> None:
        """Close at once, whatever is under way."""
        self.on_close(self)
        await anyio.aclose_forcefully(self.stream)


def _errnos(error: BaseException | None) -> set[int]:
    found: set[int] = set()
    while error is not None:
        if isinstance(error, BaseExceptionGroup):
            for inner in error.exceptions:
                found |= _errnos(inner)
        if isinstance(error, OSError) and error.errno:
            found.add(error.errno)
        error = error.__cause__ or error.__context__
    return found


class ConnectionPool:
    """The idle connections of one gateway."""

    def __init__(self, connect_ms: float, idle_ms: float, per_node: int, clock: Callable[[], float]) -> None:
        self.connect_ms, self.idle_ms, self.per_node, self._clock = connect_ms, idle_ms, per_node, clock
        self._idle: defaultdict[str, deque[Connection]] = defaultdict(deque)
        self._open: defaultdict[str, set[Connection]] = defaultdict(set)
        self.greet: Callable[[Connection], Awaitable[None]] | None = None
        self.secure: Callable[[], ssl.SSLContext] | None = (
            None  # TLS to stores, whose certificates are for their addresses
        )
        self.dialled = self.reused = 0

    def __str__(self) -> str:
        idle = sum(len(line) for line in self._idle.values())
        return f"pool: {idle} idle at {len(self._idle)} nodes, {self.dialled} dialled, {self.reused} reused"

    async def get(self, node: str) -> Connection:
        """A connection to a node: an idle one that is still open, or a new one. DialError where none is made."""
        line = self._idle[node]
        while line:
            connection = line.pop()
            if self._clock() - connection.used_at < self.idle_ms and not connection.stale():
                self.reused += 1
                return connection
            await connection.close()
        host, _, port = node.rpartition(":")
        try:
            with anyio.fail_after(self.connect_ms / 1000):
                stream = await self._dial(host, int(port))
        except (OSError, ValueError, ExceptionGroup) as error:
            own = bool(_errnos(error).intersection(NO_DESCRIPTORS))
            raise ConnectError(f"{node}: {error}", own) from error
        self.dialled += 1
        connection = Connection(node, stream)
        # Guards against an address that another store has taken, whatever the list says: nothing of one process
        # is left open once another answers there, so only the first connection must ask. It costs that one a
        # round trip; it would miss a host that went without a word and came back with its connections kept.
        if self.greet is not None and all(other.ended() for other in self._open[node]):
            await self._greeted(connection)
        self._open[node].add(connection)
        connection.on_close = self._closed
        return connection

    async def _dial(self, host: str, port: int) -> SocketStream:
        if self.secure is None:
            return await anyio.connect_tcp(host, port)
        made = await anyio.connect_tcp(
            host, port, tls=True, ssl_context=self.secure(), tls_standard_compatible=False
        )
        return made  # type: ignore[return-value]

    def _closed(self, connection: Connection) -> None:
        self._open[connection.node].discard(connection)

    async def _greeted(self, connection: Connection) -> None:
        assert self.greet is not None
        try:
            with anyio.fail_after(max(self.connect_ms, GREET_MS) / 1000):
                await self.greet(connection)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, ProtocolError) as error:
            await connection.close()
            raise ConnectError(f"{connection.node}: {error or 'no answer to who it is'}", False) from error
        except BaseException:
            await connection.close()
            raise
        if not connection.codec.reusable:
            await connection.close()
            raise ConnectError(f"{connection.node}: closes after it said who it is", False)
        connection.codec.next_cycle()

    async def put(self, connection: Connection) -> None:
        """Keep a connection whose exchange is over; it is closed where it can't serve again."""
        line = self._idle[connection.node]
        if not connection.codec.reusable or len(line) >= self.per_node:
            await connection.close()
            return
        connection.codec.next_cycle()
        connection.used += 1
        connection.used_at = self._clock()
        line.append(connection)

    async def forget(self, nodes: set[str]) -> None:
        """Close what is idle at nodes that are no longer listed."""
        for node in [node for node in self._idle if node not in nodes]:
            for connection in self._idle.pop(node):
                await connection.close()

    async def close(self) -> None:
        """Close all."""
        await self.forget(set())
