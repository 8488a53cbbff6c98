"""The pool of connections to stores: opens them, keeps them idle between attempts, closes expired ones."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections import Counter, OrderedDict
from collections.abc import Callable

from winchdyke.peer_limits.turn_budget import TurnBudget
from winchdyke.platform import sockets
from winchdyke.platform.upstream_connection import EndpointAddress, UpstreamConnection
from winchdyke.platform.upstream_response import ResponseMemory

# Connections are reused only within this fraction of the stores' idle timeout, so that a request is not sent
# while the store closes the connection.
REUSE_IDLE_FRACTION = 0.5
# Stores may send a response twice, a few milliseconds apart. On a connection that is reused at once, the
# second copy would be taken as the response to the next request. Data that arrives during the pause closes
# the connection.
MIN_REUSE_PAUSE_MS = 50.0


class UpstreamPool:
    """Connections to stores, by endpoint; each carries one request at a time.

    Times are milliseconds of ``clock``. ``counts`` is logged under ``store:``.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        connect_timeout_ms: float,
        store_idle_timeout_ms: float,
        max_connections: int,
        load_report_fields: tuple[str, ...],
        response_memory: ResponseMemory,
        turn_budget: TurnBudget,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.connect_timeout_ms = connect_timeout_ms
        self.max_idle_ms = store_idle_timeout_ms * REUSE_IDLE_FRACTION
        self.max_connections = max_connections
        self.load_report_fields = load_report_fields
        self.response_memory = response_memory
        self.turn_budget = turn_budget
        self.connections: set[UpstreamConnection] = set()
        self.counts: Counter[str] = Counter()
        self._idle: OrderedDict[UpstreamConnection, None] = OrderedDict()  # longest idle first
        self._idle_by_endpoint: dict[EndpointAddress, list[UpstreamConnection]] = {}

    def take_idle(self, endpoint: EndpointAddress) -> UpstreamConnection | None:
        """Return an idle connection that may be reused, or None.

        Its pause since the last response is over and no data has arrived since. Connections that have expired
        or received data are closed.
        """
        now = self.clock()
        for connection in reversed(self._idle_by_endpoint.get(endpoint, ())[:]):
            idle_ms = now - connection.idle_since_ms
            if idle_ms < MIN_REUSE_PAUSE_MS:
                continue
            if idle_ms < self.max_idle_ms and sockets.has_nothing_to_read(connection.sock):
                self._remove_idle(connection)
                self.counts["connections_reused"] += 1
                return connection
            connection.close()
        return None

    def connect(self, endpoint: EndpointAddress) -> UpstreamConnection:
        """Start a new connection; at the limit, the longest idle connection is closed first.

        Raises OSError if the connect fails at once, with EMFILE if all connections are in use.
        """
        if len(self.connections) >= self.max_connections:
            if not self._idle:
                raise OSError(errno.EMFILE, "the limit of connections to stores is reached and none is idle")
            next(iter(self._idle)).close()
        sock = _begin_connect(endpoint.address)
        connection = UpstreamConnection(self, endpoint, sock)
        self.connections.add(connection)
        self.counts["connections_opened"] += 1
        self.loop.add_writer(sock.fileno(), connection.on_writable)
        return connection

    def release(self, connection: UpstreamConnection, idle_since_ms: float) -> None:
        """Keep a connection for reuse after a complete response, idle since its last byte arrived."""
        connection.codec.next_cycle()
        connection.idle_since_ms = idle_since_ms
        self._idle[connection] = None
        self._idle_by_endpoint.setdefault(connection.endpoint, []).append(connection)

    def close_connection(self, connection: UpstreamConnection) -> None:
        """Close a connection, idle or in use; does nothing if it is already closed."""
        if connection not in self.connections:
            return
        self.connections.discard(connection)
        if connection in self._idle:
            self._remove_idle(connection)
        self.loop.remove_reader(connection.sock.fileno())
        self.loop.remove_writer(connection.sock.fileno())
        connection.sock.close()

    def close_idle_to(self, endpoint: EndpointAddress) -> None:
        """Close the idle connections to one endpoint."""
        for connection in list(self._idle_by_endpoint.get(endpoint, ())):
            connection.close()

    def close_expired(self, listed: set[EndpointAddress]) -> None:
        """Close idle connections that have expired or whose endpoint is no longer listed."""
        expired_at = self.clock() - self.max_idle_ms
        expired = [
            connection
            for connection in self._idle
            if connection.idle_since_ms <= expired_at or connection.endpoint not in listed
        ]
        for connection in expired:
            connection.close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.close()

    def _remove_idle(self, connection: UpstreamConnection) -> None:
        del self._idle[connection]
        same_endpoint = self._idle_by_endpoint[connection.endpoint]
        same_endpoint.remove(connection)
        if not same_endpoint:
            del self._idle_by_endpoint[connection.endpoint]


def _begin_connect(address: str) -> socket.socket:
    """Return a socket that is connecting to HOST:PORT. Raises OSError if the connect fails at once."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sockets.configure(sock)
        connect_error = sock.connect_ex((host, int(port)))
        if connect_error not in (0, errno.EINPROGRESS):
            raise OSError(connect_error, os.strerror(connect_error))
    except BaseException:
        sock.close()
        raise
    return sock
