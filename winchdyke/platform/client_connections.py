"""The table of all client connections by state, with their shared limits, counters and shutdown flags."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from winchdyke.http1 import ProtocolError
from winchdyke.peer_limits.turn_budget import TurnBudget
from winchdyke.platform import protocol
from winchdyke.platform.client_connection import ClientConnection, ConnectionState
from winchdyke.platform.peer_memory import PeerMemory

if TYPE_CHECKING:
    from winchdyke.platform.client_memory import ClientMemory

AcceptRequest = Callable[[ClientConnection, protocol.ParsedRequest, float], None]
BODY_STATES = (ConnectionState.AWAITING_RESPONSE, ConnectionState.READING_REQUEST)
INPUT_STATES = (ConnectionState.NEW, ConnectionState.READING_REQUEST, ConnectionState.IDLE)
UNFINISHED_STATES = (
    ConnectionState.NEW,
    ConnectionState.READING_REQUEST,
    ConnectionState.LINGERING,
    ConnectionState.HALF_CLOSED,
)


class ClientConnections:
    """Tracks the state of every client connection and the memory reserved for large request bodies.

    Attributes:
        accept_request: Called with each complete request and the time at which its last byte arrived. Raises
            ProtocolError if the request can't be accepted.
        client_memory: Decides which client is read while memory runs out; set by the service.
        on_connection_idle: Hook for the idle eviction.
        on_connection_closed: Hook for the listener.
        counts: Counters, logged with the prefix ``client:``.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        request_parser: protocol.RequestParser,
        accept_request: AcceptRequest,
        memory: PeerMemory,
        turn_budget: TurnBudget,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.request_parser = request_parser
        self.accept_request = accept_request
        self.large_body_bytes = 0  # reserved for bodies larger than protocol.MAX_BODY_BYTES
        self.max_large_body_bytes: float = memory.large_request_bodies_bytes
        self.memory = memory
        self.turn_budget = turn_budget
        self.close_after_response = False  # if set, every response carries "Connection: close"
        # Ordered by when a connection entered the state, the oldest first.
        self.by_state: dict[ConnectionState, dict[ClientConnection, None]] = {
            state: {} for state in ConnectionState
        }
        self.count = 0
        self.counts: Counter[str] = Counter()
        self.client_memory: ClientMemory
        self.on_connection_idle: Callable[[], None] = lambda: None
        self.on_connection_closed: Callable[[], None] = lambda: None

    @property
    def awaiting_count(self) -> int:
        """The number of connections with a pending or partly written response."""
        awaiting = self.by_state[ConnectionState.AWAITING_RESPONSE]
        return len(awaiting) + len(self.by_state[ConnectionState.WRITING_RESPONSE])

    @property
    def has_unfinished(self) -> bool:
        """Whether a request may still be arriving, or a client may still be reading its last response."""
        return any(self.by_state[state] for state in UNFINISHED_STATES)

    def add(self, connection: ClientConnection) -> None:
        """Register a connection that has just been accepted."""
        self.count += 1
        self.by_state[connection.state][connection] = None

    def move_to(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Change a connection's state, and release its body memory once its request has ended."""
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
        """Reserve memory for a body that is larger than the protocol's limit.

        Raises ProtocolError 413 if the body exceeds the gateway's limit, 503 if other bodies use the memory.
        """
        additional_bytes = length_bytes - connection.reserved_body_bytes
        if length_bytes <= protocol.MAX_BODY_BYTES or additional_bytes <= 0:
            return
        if length_bytes > self.request_parser.max_body_bytes:
            raise protocol.body_too_large(self.request_parser.max_body_bytes)
        if self.large_body_bytes + additional_bytes > self.max_large_body_bytes:
            raise ProtocolError(503, "too-large", "the memory for large request bodies is in use; try again")
        connection.reserved_body_bytes = length_bytes
        self.large_body_bytes += additional_bytes

    def process_pending(self) -> None:
        """Process the data that is waiting on each connection without a pending response."""
        for state in INPUT_STATES:
            for connection in list(self.by_state[state]):
                connection.process_pending()

    def close_all(self) -> None:
        """Close all connections immediately."""
        for connections in self.by_state.values():
            for connection in list(connections):
                connection.close()
