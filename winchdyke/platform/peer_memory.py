"""The gateway's memory for its peers: one account for clients' requests, one for stores' responses.

The accounts are separate so that neither side can take the memory of the other: requests are admitted while their
account has room, and the responses to requests that were admitted have memory of their own. Together they get a part of what
the limit leaves beside the memory that the process has in use before its first peer; the rest is a reserve.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from winchdyke.peer_limits.memory_account import MemoryAccount
from winchdyke.platform import protocol

# Fractions of the memory that the process leaves. The reserve is for the scheduler's state, for work under way, and for
# memory that was released and that the allocators of the interpreter and of the C library keep, each for its own sizes.
REQUESTS_MEMORY_FRACTION = 1 / 3  # all requests: connections, bytes received, parsed requests, bodies
RESPONSES_MEMORY_FRACTION = 1 / 6  # all responses that are being read from stores or written to clients
MIN_PEER_MEMORY_FRACTION = 1 / 8  # of the limit: left to peers even if the process has nearly all in use
# Some clients and stores exceed the protocol's body limit of 64 KiB.
MAX_REQUEST_BODY_FRACTION = 1 / 256
LARGE_REQUEST_BODIES_FRACTION = (
    1 / 4
)  # of the memory for requests: all bodies that exceed the protocol's limit
MAX_RESPONSE_BODY_FRACTION = 1 / 64
CONNECTION_OBJECTS_BYTES = (
    3 * 1024
)  # the memory of a connection, to a client or a store, that has received nothing
# Memory of a parsed request besides the bytes of its fields and its body: its objects here and in the scheduler.
REQUEST_OBJECTS_BYTES = 4 * 1024
MIN_CLIENT_BYTES = CONNECTION_OBJECTS_BYTES + REQUEST_OBJECTS_BYTES
LOG_INTERVAL_MS = 10_000.0


class MemoryFullLog:
    """Logs that an account is full, at most once in ``LOG_INTERVAL_MS``.

    Args:
        event: The name of the log event.
        account: The account whose use is logged.
        clock: Returns the time in milliseconds.
        reason: What happens to peers while the account is full.
    """

    def __init__(self, event: str, account: MemoryAccount, clock: Callable[[], float], reason: str) -> None:
        self._event = event
        self._account = account
        self._clock = clock
        self._reason = reason
        self._logged_at_ms = float("-inf")
        self._log = structlog.get_logger("gateway")

    def write(self, connections: int) -> None:
        """Log the event with the number of connections, unless it was logged a short time ago."""
        now_ms = self._clock()
        if now_ms - self._logged_at_ms < LOG_INTERVAL_MS:
            return
        self._logged_at_ms = now_ms
        self._log.warning(
            self._event,
            used_bytes=self._account.used_bytes,
            limit_bytes=self._account.limit_bytes,
            connections=connections,
            reason=self._reason,
        )


@dataclass(slots=True)
class PeerMemory:
    """The accounts of a machine's memory for peers, and the limits of single messages."""

    limit_bytes: float
    store_connections_bytes: int
    requests: MemoryAccount
    responses: MemoryAccount
    max_request_body_bytes: int
    max_response_body_bytes: int

    @classmethod
    def of_machine(cls, memory_mb: float, process_bytes: int, store_connections: int = 0) -> PeerMemory:
        """Return the accounts and limits of a process.

        Args:
            memory_mb: The limit on the process's memory, in MiB.
            process_bytes: What the process has in use before its first peer connects.
            store_connections: How many connections to stores may be open; they are charged in advance.
        """
        memory_bytes = memory_mb * 2**20
        memory = cls(
            memory_bytes,
            store_connections * CONNECTION_OBJECTS_BYTES,
            MemoryAccount(0),
            MemoryAccount(0),
            max(protocol.MAX_BODY_BYTES, int(memory_bytes * MAX_REQUEST_BODY_FRACTION)),
            max(protocol.MAX_BODY_BYTES, int(memory_bytes * MAX_RESPONSE_BODY_FRACTION)),
        )
        memory.fit(process_bytes)
        return memory

    def fit(self, process_bytes: int) -> None:
        """Set the limits of the accounts beside what the process has in use before its first peer connects."""
        left_bytes = self.limit_bytes - process_bytes - self.store_connections_bytes
        left_bytes = max(left_bytes, self.limit_bytes * MIN_PEER_MEMORY_FRACTION)
        self.requests.limit_bytes = int(left_bytes * REQUESTS_MEMORY_FRACTION)
        self.responses.limit_bytes = int(left_bytes * RESPONSES_MEMORY_FRACTION)

    @property
    def large_request_bodies_bytes(self) -> int:
        """The memory for all request bodies that exceed the protocol's limit."""
        return int(self.requests.limit_bytes * LARGE_REQUEST_BODIES_FRACTION)

    def max_clients(self, max_by_descriptors: int) -> int:
        """Return how many clients may be connected, so that each of them can have a request open."""
        return min(max_by_descriptors, self.requests.limit_bytes // MIN_CLIENT_BYTES)
