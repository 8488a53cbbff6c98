"""The gateway's memory for its peers: one account for clients' requests, one for stores' responses.

The accounts are separate so that neither side can take the memory of the other: requests are admitted while their
account has room, and the responses to requests that were admitted have memory of their own.
"""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.peer_limits.memory_account import MemoryAccount
from winchdyke.platform import protocol

REQUESTS_MEMORY_FRACTION = 1 / 4  # all requests: connections, bytes received, parsed requests, bodies
RESPONSES_MEMORY_FRACTION = 1 / 8  # all responses that are being read from stores or written to clients
# Some clients and stores exceed the protocol's body limit of 64 KiB.
MAX_REQUEST_BODY_FRACTION = 1 / 256
LARGE_REQUEST_BODIES_FRACTION = 1 / 16  # all request bodies that exceed the protocol's limit
MAX_RESPONSE_BODY_FRACTION = 1 / 64


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
