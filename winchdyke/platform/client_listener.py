"""The listening socket: takes connections from its queue while places and descriptors are left."""

from __future__ import annotations

import errno
import socket

from winchdyke.gateway.pool import RESOURCE_EXHAUSTION_ERRNOS
from winchdyke.platform import sockets
from winchdyke.platform.client_connection import ClientConnection
from winchdyke.platform.client_connections import ClientConnections
from winchdyke.platform.client_idle_eviction import CHECK_INTERVAL_SECONDS, IdleEviction

LISTEN_BACKLOG = 512
MAX_ACCEPTS_PER_TURN = 16  # of the event loop
ACCEPT_PAUSE_SECONDS = CHECK_INTERVAL_SECONDS / 2


class ClientListener:
    """Accepts connections into the table, at most ``max_connections`` at a time; the rest waits in the queue."""

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
        """Take connections, or leave them in the queue. Without effect after ``close``."""
        if self._sock.fileno() < 0:
            return
        loop = self._connections.loop
        if accepting and not self.accepting:
            loop.add_reader(self._sock.fileno(), self.accept_pending)
        elif not accepting and self.accepting:
            loop.remove_reader(self._sock.fileno())
        self.accepting = accepting

    def accept_pending(self) -> bool:
        """Take connections from the queue, a limited number; whether the queue is empty or can't be taken from now."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._connections.count >= self.max_connections and not self._eviction.evict_one():
                self._pause()  # each is owed a response, or has just come
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
        """Whether to accept again at once after an error, having freed a descriptor where none was left."""
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
        """Leave the queue alone for a moment, or until a connection closes."""
        self.set_accepting(False)
        self._paused = True
        self._connections.loop.call_later(ACCEPT_PAUSE_SECONDS, self.resume)

    def resume(self) -> None:
        """Accept again after a pause; without effect where there is none."""
        if self._paused:
            self._paused = False
            self.set_accepting(True)

    def close(self) -> None:
        """Close the listening socket; connections that come from then on are refused by the system."""
        self.set_accepting(False)
        self._sock.close()
