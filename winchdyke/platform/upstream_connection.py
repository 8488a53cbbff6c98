"""One connection to a store: its socket, its HTTP codec and the attempt that is using it."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, NamedTuple

from winchdyke.http1 import ClientCodec

if TYPE_CHECKING:
    from winchdyke.platform.upstream_attempt import UpstreamAttempt
    from winchdyke.platform.upstream_pool import UpstreamPool

MAX_HEAD_BYTES = 16 * 1024


class EndpointAddress(NamedTuple):
    """The id and the address of a store.

    A connection is identified by both, since an address can be reassigned to another store.
    """

    endpoint_id: str
    address: str


class UpstreamConnection:
    """One connection to a store, in use by an attempt or idle in the pool.

    ``established`` is True once the connect has succeeded; ``idle_since_ms`` is when the last byte of the
    latest response arrived.
    """

    __slots__ = ("attempt", "codec", "endpoint", "established", "idle_since_ms", "pool", "sock")

    def __init__(self, pool: UpstreamPool, endpoint: EndpointAddress, sock: socket.socket) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.sock = sock
        self.codec = ClientCodec(MAX_HEAD_BYTES)
        self.attempt: UpstreamAttempt | None = None
        self.established = False
        self.idle_since_ms = 0.0

    def on_readable(self) -> None:
        """Let the attempt read. An idle connection is closed, since data on it is unexpected."""
        if self.attempt is not None:
            self.attempt.on_readable()
        else:
            self.close()

    def on_writable(self) -> None:
        """Notify the attempt that the connect has finished or that the socket is writable again."""
        if self.attempt is not None:
            self.attempt.on_writable()

    def close(self) -> None:
        """Close immediately."""
        self.pool.close_connection(self)
