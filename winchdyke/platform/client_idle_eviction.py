"""Closes client connections: on timeouts, beyond the limit of idle ones, and to make room for new ones."""

from __future__ import annotations

from collections.abc import Callable

from winchdyke.platform.client_connection import ClientConnection, ConnectionState
from winchdyke.platform.client_connections import ClientConnections
from winchdyke.platform.client_idle_limit import IdleConnectionLimit

NEW_CONNECTION_GRACE_MS = 150.0  # time after accept in which the first request may still be on its way
REQUEST_TIMEOUT_MS = 2400.0  # time from accept (later requests: from the first byte) to the complete request
IDLE_TIMEOUT_MS = 2000.0  # time between requests; some clients send one request and stay connected
WRITE_TIMEOUT_MS = 10_000.0  # time for the client to read a response
LINGER_TIMEOUT_MS = 800.0  # time for the client to read a last response before the connection is closed
CHECK_INTERVAL_SECONDS = 0.1
EVICTION_ORDER = (
    ConnectionState.HALF_CLOSED,
    ConnectionState.LINGERING,
    ConnectionState.NEW,
    ConnectionState.READING_REQUEST,
    ConnectionState.IDLE,
)
IGNORED_INPUT_STATES = (
    ConnectionState.LINGERING,
    ConnectionState.HALF_CLOSED,
    ConnectionState.WRITING_RESPONSE,
)


class IdleEviction:
    """Closes connections by timeout and by count, the longest inactive first.

    Data that has arrived on a connection is processed before the connection is closed.
    """

    def __init__(self, connections: ClientConnections) -> None:
        self._connections = connections
        self._by_state = connections.by_state
        self._idle_limit = IdleConnectionLimit(connections.clock())
        # True during a shutdown: a client may then be unable to replace a connection that is closed.
        self.idle_limits_suspended = False
        connections.loop.call_later(CHECK_INTERVAL_SECONDS, self._check_timeouts)

    def trim_idle(self) -> None:
        """Close idle connections beyond the present limit, the longest idle first."""
        if self.idle_limits_suspended:
            return
        connections = self._connections
        idle = self._by_state[ConnectionState.IDLE]
        max_idle = self._idle_limit.limit(connections.clock(), connections.awaiting_count)
        while len(idle) > max_idle:
            connection = next((each for each in idle if not each.is_deferred), None)
            if connection is None:
                return
            closed = self._close_unless_active(connection, ClientConnection.close)
            connections.counts["idle_evicted"] += closed

    def close_idle(self) -> None:
        """Close all connections that are between requests."""
        for connection in list(self._by_state[ConnectionState.IDLE]):
            self._close_unless_active(connection, ClientConnection.close)

    def evict_one(self) -> bool:
        """Close the connection that has been inactive longest; return whether one could be closed.

        Connections accepted less than ``NEW_CONNECTION_GRACE_MS`` ago are kept: their first request may still
        be on its way.
        """
        kept_if_accepted_after_ms = self._connections.clock() - NEW_CONNECTION_GRACE_MS
        for state in EVICTION_ORDER:
            for connection in list(self._by_state[state]):
                if state is ConnectionState.NEW and connection.state_since_ms > kept_if_accepted_after_ms:
                    break
                self._close_unless_active(connection, ClientConnection.evict)
                if connection.state is ConnectionState.CLOSED:
                    self._connections.counts["evicted_for_new_connection"] += 1
                    return True
        return False

    def _check_timeouts(self) -> None:
        for connection in list(self._by_state[ConnectionState.HALF_CLOSED]):
            connection.is_still_connected()
        self._resume_paused()
        self._close_all_expired()
        self._connections.client_memory.make_room()
        self._connections.loop.call_later(CHECK_INTERVAL_SECONDS, self._check_timeouts)

    def _close_all_expired(self) -> None:
        """Close the connections whose state has timed out, as many in a turn of the event loop as its budget allows."""
        now_ms = self._connections.clock()
        for state, timeout_ms in (
            (ConnectionState.NEW, REQUEST_TIMEOUT_MS),
            (ConnectionState.READING_REQUEST, REQUEST_TIMEOUT_MS),
            (ConnectionState.IDLE, IDLE_TIMEOUT_MS),
            (ConnectionState.LINGERING, LINGER_TIMEOUT_MS),
            (ConnectionState.HALF_CLOSED, LINGER_TIMEOUT_MS),
            (ConnectionState.WRITING_RESPONSE, WRITE_TIMEOUT_MS),
        ):
            if state is not ConnectionState.IDLE or not self.idle_limits_suspended:
                self._close_expired(state, now_ms, timeout_ms)
            if self._connections.turn_budget.exhausted:
                self._connections.turn_budget.defer(self, self._close_all_expired)
                return

    def _resume_paused(self) -> None:
        awaiting = self._by_state[ConnectionState.AWAITING_RESPONSE]
        writing = self._by_state[ConnectionState.WRITING_RESPONSE]
        for connection in [*awaiting, *writing]:
            if connection.reading_paused and connection.is_still_connected():
                connection.resume_reading()

    def _close_expired(self, state: ConnectionState, now_ms: float, timeout_ms: float) -> None:
        for connection in list(self._by_state[state]):
            if now_ms - connection.state_since_ms < timeout_ms or self._connections.turn_budget.exhausted:
                return
            self._close_unless_active(connection, ClientConnection.on_timeout)

    @staticmethod
    def _close_unless_active(connection: ClientConnection, close: Callable[[ClientConnection], None]) -> bool:
        """Process a connection's pending data, and close it if that leaves its state unchanged.

        An idle connection is kept if its data waits for a later turn of the event loop; one with a partial request is
        not, since a client could keep it open by sending without an end. Returns whether the connection was closed.
        """
        state = connection.state
        if state not in IGNORED_INPUT_STATES:
            connection.process_pending()
        if connection.state is not state or (state is ConnectionState.IDLE and connection.is_deferred):
            return False
        close(connection)
        return True
