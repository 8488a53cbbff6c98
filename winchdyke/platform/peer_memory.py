"""The gateway's memory for its peers: one account for clients' requests, one for stores' responses.

The accounts are separate so that neither side can take the memory of the other: requests are admitted while their
account has room, and the responses to requests that were admitted have memory of their own.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from winchdyke.peer_limits.memory_account import MemoryAccount
from winchdyke.platform import protocol

REQUESTS_MEMORY_FRACTION = 1 / 4  # all requests: connections, bytes received, parsed requests, bodies
RESPONSES_MEMORY_FRACTION = 1 / 8  # all responses that are being read from stores or written to clients
# Some clients and stores exceed the protocol's body limit of 64 KiB.
MAX_REQUEST_BODY_FRACTION = 1 / 256
LARGE_REQUEST_BODIES_FRACTION = 1 / 16  # all request bodies that exceed the protocol's limit
MAX_RESPONSE_BODY_FRACTION = 1 / 64
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

    requests: MemoryAccount
    responses: MemoryAccount
    max_request_body_bytes: int
    large_request_bodies_bytes: int
    max_response_body_bytes: int

    @classmethod
    def of_machine(cls, memory_mb: float) -> PeerMemory:
        """Return the accounts and limits for a machine with ``memory_mb`` MiB of memory."""
        memory_bytes = memory_mb * 2**20
        return cls(
            MemoryAccount(int(memory_bytes * REQUESTS_MEMORY_FRACTION)),
            MemoryAccount(int(memory_bytes * RESPONSES_MEMORY_FRACTION)),
            max(protocol.MAX_BODY_BYTES, int(memory_bytes * MAX_REQUEST_BODY_FRACTION)),
            int(memory_bytes * LARGE_REQUEST_BODIES_FRACTION),
            max(protocol.MAX_BODY_BYTES, int(memory_bytes * MAX_RESPONSE_BODY_FRACTION)),
        )
