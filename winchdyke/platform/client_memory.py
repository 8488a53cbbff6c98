"""Decides which client may be read while the memory for requests runs out, and which one has to go."""

from __future__ import annotations

from winchdyke.peer_limits.memory_account import MemoryAccount
from winchdyke.platform import sockets
from winchdyke.platform.client_connection import ClientConnection, ConnectionState
from winchdyke.platform.client_connections import ClientConnections
from winchdyke.platform.peer_memory import MemoryFullLog

MIN_READ_BYTES = 4 * 1024  # nothing is read while less is available; holds any usual request without a body
# Part of the memory that is left to clients of which nothing was read yet, so that small requests never wait.
FIRST_READ_FRACTION = 1 / 8
READ_AHEAD_FRACTION = 1 / 2  # part of the memory that has to be available for requests to be read ahead
# Clients send a request at once or nearly so; one that is incomplete for longer makes room for others.
INCOMPLETE_REQUEST_GRACE_MS = 150.0
WRITING_GRACE_MS = 1000.0  # time for a client to read its response while others need the memory
RESUMED_READ_BYTES = 16 * 1024  # the expected size of the first read after a wait


class ClientMemory:
    """Backpressure first: a client is read only while memory is available, and waits its turn otherwise.

    While clients wait, the requests that have been incomplete for longest are answered with 503. Clients of which
    nothing was read yet come before the others, since most requests are small. Complete requests are never dropped
    for their memory.
    """

    def __init__(self, connections: ClientConnections, requests: MemoryAccount) -> None:
        self._connections = connections
        self._requests = requests
        # Both in the order in which they began to wait.
        self._waiting_for_first_read: dict[ClientConnection, None] = {}
        self._waiting: dict[ClientConnection, None] = {}
        self._full_log = MemoryFullLog(
            "request_memory_full",
            requests,
            connections.clock,
            "clients wait to be read; the oldest incomplete requests are rejected",
        )

    def readable_bytes(self, connection: ClientConnection) -> int:
        """Return how many bytes may be read from a client now; 0 if it has to wait."""
        if self._has_room:
            is_first_read = not connection.holds_request_data
            if is_first_read and not self.has_room_ahead:
                return MIN_READ_BYTES  # a client that sends many requests at once has one of them read
            return min(sockets.MAX_RECEIVE_BYTES, self._available_bytes)
        return MIN_READ_BYTES if self._has_room_for_first_read and not connection.holds_request_data else 0

    @property
    def has_room_ahead(self) -> bool:
        """Whether clients may be read beyond their present request: others don't need the memory."""
        return self._requests.available_bytes >= self._requests.limit_bytes * READ_AHEAD_FRACTION

    @property
    def _available_bytes(self) -> int:
        """The memory that is available beside the part that is left to first reads."""
        return self._requests.available_bytes - int(self._requests.limit_bytes * FIRST_READ_FRACTION)

    @property
    def _has_room(self) -> bool:
        return self._available_bytes >= MIN_READ_BYTES

    @property
    def _has_room_for_first_read(self) -> bool:
        return self._requests.available_bytes >= MIN_READ_BYTES

    def wait(self, connection: ClientConnection) -> None:
        """Let a client wait until memory is available."""
        if self.is_waiting(connection):
            return
        waiting = self._waiting if connection.holds_request_data else self._waiting_for_first_read
        waiting[connection] = None
        self._connections.counts["waits_for_memory"] += 1
        self._full_log.write(self._connections.count)
        self.make_room()

    def is_waiting(self, connection: ClientConnection) -> bool:
        """Return whether a client waits for memory."""
        return connection in self._waiting or connection in self._waiting_for_first_read

    def forget(self, connection: ClientConnection) -> None:
        """End a client's wait."""
        self._waiting.pop(connection, None)
        self._waiting_for_first_read.pop(connection, None)

    def on_released(self) -> None:
        """Let the clients that have waited longest be read, as far as memory is available."""
        self._resume(self._waiting_for_first_read, self._requests.available_bytes)
        self._resume(self._waiting, self._available_bytes)

    @staticmethod
    def _resume(waiting: dict[ClientConnection, None], available_bytes: int) -> None:
        while waiting and available_bytes >= MIN_READ_BYTES:
            available_bytes -= RESUMED_READ_BYTES
            connection = next(iter(waiting))
            del waiting[connection]
            connection.resume_reading()

    def make_room(self) -> None:
        """Answer the oldest incomplete requests with 503 until there is room for those that wait.

        For a first read even the youngest may have to go: the part of the memory that is left to them is used up then.
        """
        while self._waiting_for_first_read and not self._has_room_for_first_read:
            if not self._reject_oldest(grace_ms=0.0):
                break
        while self._waiting and not self._has_room:
            if not self._reject_oldest(INCOMPLETE_REQUEST_GRACE_MS):
                break
        self.on_released()

    def _reject_oldest(self, grace_ms: float) -> bool:
        """Reject the request that has been incomplete for longest; return whether one was old enough."""
        by_state = self._connections.by_state
        incomplete = [*by_state[ConnectionState.NEW], *by_state[ConnectionState.READING_REQUEST]]
        holding = [each for each in incomplete if each.holds_request_data]
        oldest = min(holding, key=lambda each: each.state_since_ms, default=None)
        if oldest is None or self._connections.clock() - oldest.state_since_ms < grace_ms:
            return False
        oldest.reject(503, "memory-full", "the memory for requests is in use; try again")
        return True

    def evict_slow_reader(self) -> bool:
        """Close the client that has read its response for longest; return whether there was one.

        Called if the memory for responses is full: a client that doesn't read its response must not cost the others theirs.
        """
        oldest_kept_ms = self._connections.clock() - WRITING_GRACE_MS
        for connection in self._connections.by_state[ConnectionState.WRITING_RESPONSE]:
            if connection.state_since_ms > oldest_kept_ms:
                break
            self._connections.counts["evicted_while_writing"] += 1
            connection.close()
            return True
        return False
