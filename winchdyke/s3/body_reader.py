"""Reads a request's body from its client, and has it decoded and verified in steps of bounded work and memory."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from winchdyke.http1 import Bytes, ProtocolError
from winchdyke.peer_limits.memory_account import MemoryAccount, MemoryCharge
from winchdyke.peer_limits.task_turns import TaskTurns
from winchdyke.peer_limits.turn_budget import UNITS_PER_PEER
from winchdyke.s3.body import BodyVerifier
from winchdyke.s3.errors import S3Error

# Buffered for a body without being charged to the memory of all: larger than the signed chunks that clients usually send.
FREE_BUFFER_BYTES = 1 << 20
# The limit on what all bodies buffer beyond FREE_BUFFER_BYTES each.
MAX_BUFFERED_CHUNKS_BYTES = 256 << 20
RETRY_AFTER_FULL_MS = 1000.0


class BodyVerificationError(ProtocolError):
    """The client's body failed verification. Aborts the request to the store.

    Attributes:
        error: The error that is sent to the client.
    """

    def __init__(self, error: S3Error) -> None:
        super().__init__(error.status, "body-cut", error.text)
        self.error = error


class VerifiedBodyReader:
    """The body of one request.

    Args:
        receive: Returns the next bytes of the body as sent by the client; empty at its end.
        verifier: Decodes and verifies them.
        max_bytes: The size limit of an object.
        chunk_memory: The memory of all signed chunks, which are buffered until their signature is verified.
    """

    def __init__(
        self,
        receive: Callable[[], Awaitable[Bytes]],
        verifier: BodyVerifier,
        max_bytes: int,
        chunk_memory: MemoryAccount,
    ) -> None:
        self._receive = receive
        self._verifier = verifier
        self._max_bytes = max_bytes
        self._chunk_memory = chunk_memory
        self._charge = MemoryCharge(chunk_memory)
        self._turns = TaskTurns()
        self._received_bytes = 0
        self._all_received = False
        self._finished = False

    async def read(self) -> bytes:
        """Return the next bytes that may be forwarded to a store; empty at the end.

        Raises:
            BodyVerificationError: The body is invalid, or the memory for signed chunks is full.
            ProtocolError: The body is malformed or too large.
            ClientDisconnectedError: The client has disconnected.
        """
        while not self._finished:
            if not self._verifier.has_more_work and not self._all_received:
                await self._receive_more()
            await self._turns.wait()
            ready = self._decode()
            if ready:
                return ready
        return b""

    async def _receive_more(self) -> None:
        data = await self._receive()
        self._received_bytes += len(data)
        if (
            self._received_bytes > self._max_bytes + self._max_bytes // 8
        ):  # an eighth for the framing of chunks
            raise ProtocolError(413, "too-large", f"the object is larger than {self._max_bytes} bytes")
        self._all_received = not data
        self._verifier.add(data)

    def _decode(self) -> bytes:
        try:
            if self._all_received and not self._verifier.has_more_work:
                ready = self._verifier.finish()
                self._finished = True
            else:
                ready = self._verifier.decode(UNITS_PER_PEER)
            self._update_charge()
        except S3Error as error:
            raise BodyVerificationError(error) from error
        self._turns.count(self._verifier.work_units)
        return ready

    def _update_charge(self) -> None:
        self._charge.set(max(0, self._verifier.buffered_bytes - FREE_BUFFER_BYTES))
        if self._charge.held_bytes and self._chunk_memory.used_bytes > self._chunk_memory.limit_bytes:
            self.release()
            raise S3Error(
                "SlowDown", "the memory for large signed chunks is in use", 503, RETRY_AFTER_FULL_MS
            )

    def release(self) -> None:
        """Release the memory of the body at the end of its request."""
        self._charge.set(0)
