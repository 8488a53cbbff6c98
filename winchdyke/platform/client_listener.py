"""The listening socket: accepts connections while the connection limit and the file descriptors allow it."""

from __future__ import annotations

import errno
import socket

from winchdyke.gateway.pool import RESOURCE_EXHAUSTION_ERRNOS
from winchdyke.platform import sockets
from winchdyke.platform.client_connection import ClientConnection
from winchdyke.platform.client_connections import ClientConnections
from winchdyke.platform.client_idle_eviction import CHECK_INTERVAL_SECONDS, IdleEviction

LISTEN_BACKLOG = 512
MAX_ACCEPTS_PER_TURN = 16  # per turn of the event loop
ACCEPT_PAUSE_SECONDS = CHECK_INTERVAL_SECONDS / 2


class ClientListener:
    """Accepts up to ``max_connections`` connections; further ones wait in the kernel's accept queue."""

    def __init__(
        self,
        sock: socket.socket,
        connections: ClientConnections,
        eviction: IdleEviction,
        max_connections: int,
    ) -> None:
        self._sock = sock
        self._connections = connections
        self._eviction = eviction
        self.max_connections = max_connections
        self.accepting = False
        self._paused = False

    def set_accepting(self, accepting: bool) -> None:
        """Start or stop accepting connections. Does nothing after ``close``."""
        if self._sock.fileno() < 0:
            return
        loop = self._connections.loop
        if accepting and not self.accepting:
            loop.add_reader(self._sock.fileno(), self.accept_pending)
        elif not accepting and self.accepting:
            loop.remove_reader(self._sock.fileno())
        self.accepting = accepting

    def accept_pending(self) -> bool:
        """Accept up to ``MAX_ACCEPTS_PER_TURN`` connections.

        Returns whether to stop for now: the accept queue is empty, or no more connections can be accepted.
        """
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._connections.count >= self.max_connections and not self._eviction.evict_one():
                self._pause()  # every connection has a pending response or was just accepted
                return True
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if not self._may_retry(error):
                    return True
                continue
            self._add(sock)
        return False

    def _may_retry(self, error: OSError) -> bool:
        """Return whether to retry accept at once; frees a descriptor if the process has run out of them."""
        if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
            if self._eviction.evict_one():
                return True
            self._pause()
            return False
        return error.errno == errno.ECONNABORTED

    def _add(self, sock: socket.socket) -> None:
        try:
            sockets.configure(sock)
        except OSError:
            sock.close()
            return
        connection = ClientConnection(self._connections, sock)
        self._connections.add(connection)
        self._connections.loop.add_reader(sock.fileno(), connection.on_readable)
        connection.on_readable()

    def _pause(self) -> None:
        """Stop accepting for ``ACCEPT_PAUSE_SECONDS``, or until a connection closes."""
        self.set_accepting(False)
        self._paused = True
        self._connections.loop.call_later(ACCEPT_PAUSE_SECONDS, self.resume)

    def resume(self) -> None:
        """Accept again after a pause; does nothing if accepting is not paused."""
        if self._paused:
            self._paused = False
            self.set_accepting(True)

    def close(self) -> None:
        """Close the listening socket; the kernel refuses connections from then on."""
        self.set_accepting(False)
        self._sock.close()
