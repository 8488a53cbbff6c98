"""The table of all client connections: by state, with what they share: limits, counters and the flags of a shutdown."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from winchdyke.http1 import ProtocolError
from winchdyke.platform import protocol
from winchdyke.platform.client_connection import ClientConnection, ConnectionState

AcceptRequest = Callable[[ClientConnection, protocol.ParsedRequest, float], None]
BODY_STATES = (ConnectionState.AWAITING_RESPONSE, ConnectionState.READING_REQUEST)
UNANSWERED_STATES = (ConnectionState.NEW, ConnectionState.READING_REQUEST, ConnectionState.IDLE)
UNSETTLED_STATES = (
    ConnectionState.NEW,
    ConnectionState.READING_REQUEST,
    ConnectionState.LINGERING,
    ConnectionState.HALF_CLOSED,
)


class ClientConnections:
    """Owner of the connections' states and of the memory for large request bodies.

    ``accept_request`` is handed each complete request, with when its last byte arrived; it raises ProtocolError for one that can't
    be taken. ``on_connection_idle`` and ``on_connection_closed`` are hooks for the eviction and the listener. ``counts`` is logged
    under ``client:``.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        request_parser: protocol.RequestParser,
        accept_request: AcceptRequest,
        max_large_body_bytes: float = 0.0,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.request_parser = request_parser
        self.accept_request = accept_request
        self.large_body_bytes = 0  # reserved for bodies over the protocol's limit
        self.max_large_body_bytes = max_large_body_bytes
        self.close_after_response = False  # each response says that its connection ends
        # Each state's connections in the order of entering it: the longest silent one stands first.
        self.by_state: dict[ConnectionState, dict[ClientConnection, None]] = {
            state: {} for state in ConnectionState
        }
        self.count = 0
        self.counts: Counter[str] = Counter()
        self.on_connection_idle: Callable[[], None] = lambda: None
        self.on_connection_closed: Callable[[], None] = lambda: None

    @property
    def awaiting_count(self) -> int:
        """How many are owed a response."""
        awaiting = self.by_state[ConnectionState.AWAITING_RESPONSE]
        return len(awaiting) + len(self.by_state[ConnectionState.WRITING_RESPONSE])

    @property
    def has_unsettled(self) -> bool:
        """Whether requests may be on their way in, or last responses on their way out."""
        return any(self.by_state[state] for state in UNSETTLED_STATES)

    def add(self, connection: ClientConnection) -> None:
        """Take in a connection that has just been accepted."""
        self.count += 1
        self.by_state[connection.state][connection] = None

    def move_to(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Change a connection's state; a body's reservation ends with the request."""
        self.by_state[connection.state].pop(connection, None)
        if connection.reserved_body_bytes and state not in BODY_STATES:
            self.large_body_bytes -= connection.reserved_body_bytes
            connection.reserved_body_bytes = 0
        connection.state = state
        connection.state_since_ms = self.clock()
        if state is ConnectionState.CLOSED:
            self.count -= 1
            self.on_connection_closed()
        else:
            self.by_state[state][connection] = None

    def reserve_body(self, connection: ClientConnection, length_bytes: int) -> None:
        """Reserve memory for a body of such a length, where that is over the protocol's limit.

        ProtocolError 413 where no body may be so long here, 503 where other bodies hold the memory.
        """
        additional_bytes = length_bytes - connection.reserved_body_bytes
        if length_bytes <= protocol.MAX_BODY_BYTES or additional_bytes <= 0:
            return
        if length_bytes > self.request_parser.max_body_bytes:
            raise protocol.body_too_large(self.request_parser.max_body_bytes)
        if self.large_body_bytes + additional_bytes > self.max_large_body_bytes:
            raise ProtocolError(503, "too-large", "all room for long bodies is held; try again")
        connection.reserved_body_bytes = length_bytes
        self.large_body_bytes += additional_bytes

    def process_pending(self) -> None:
        """Read what has arrived on each connection that is owed no response."""
        for state in UNANSWERED_STATES:
            for connection in list(self.by_state[state]):
                connection.process_pending()

    def close_all(self) -> None:
        """Close all connections at once."""
        for connections in self.by_state.values():
            for connection in list(connections):
                connection.close()
