"""Reads one complete response of a store within memory limits."""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.http1 import ClientCodec, EndOfBody, NeedData, ProtocolError, ResponseHead
from winchdyke.platform import protocol
from winchdyke.platform.upstream_connection import MAX_HEAD_BYTES

MAX_FRAMING_BYTES = 2 * MAX_HEAD_BYTES  # for informational responses, head and chunk framing together
MAX_RESPONSE_MEMORY_FRACTION = 1 / 64  # fraction of the machine's memory for one response
MAX_BUFFERED_MEMORY_FRACTION = 1 / 8  # fraction of the machine's memory for all responses being read


class MalformedResponseError(Exception):
    """A response must not be forwarded; ``reason`` is ``http``, ``length`` or ``too-large``."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed response: {reason}")
        self.reason = reason


@dataclass(slots=True)
class ResponseMemory:
    """Counts the bytes of response bodies that all attempts of a gateway buffer, and limits them.

    A response is read completely before any of it is forwarded. Stores sometimes exceed the protocol's 64
    KiB, so the limits depend on the machine's memory.
    """

    max_response_bytes: int
    max_buffered_bytes: int
    buffered_bytes: int = 0

    @classmethod
    def of_machine(cls, memory_mb: float) -> ResponseMemory:
        """Return the limits for a machine with ``memory_mb`` MiB of memory."""
        memory_bytes = memory_mb * 2**20
        return cls(
            max(protocol.MAX_BODY_BYTES, int(memory_bytes * MAX_RESPONSE_MEMORY_FRACTION)),
            int(memory_bytes * MAX_BUFFERED_MEMORY_FRACTION),
        )


class ResponseReader:
    """Parses one response.

    ``close_delimited`` is True if the head gives no length; the body then ends with an orderly close.
    """

    __slots__ = ("_body", "_memory", "_received_bytes", "close_delimited", "head")

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._body = bytearray()
        self._received_bytes = 0
        self.head: ResponseHead | None = None
        self.close_delimited = False

    @property
    def body(self) -> bytes:
        """The part of the body that was read so far."""
        return bytes(self._body)

    @property
    def exceeds_wire_limit(self) -> bool:
        """Whether more bytes were received than a body of the permitted size can take with its framing."""
        return self._received_bytes > 2 * self._memory.max_response_bytes + MAX_FRAMING_BYTES

    def feed(self, codec: ClientCodec, data: bytes) -> bool:
        """Parse received bytes, empty at the end of the connection; return whether the response is complete.

        Raises MalformedResponseError if the response must not be forwarded.
        """
        self._received_bytes += len(data)
        try:
            codec.feed(data)
            return self._parse(codec)
        except ProtocolError as error:
            raise MalformedResponseError("http") from error

    def release(self) -> None:
        """Release the memory of the body; must be called exactly once."""
        self._memory.buffered_bytes -= len(self._body)

    def _parse(self, codec: ClientCodec) -> bool:
        if self.head is None and not self._parse_head(codec):
            return False
        while not isinstance(piece := codec.body(), NeedData):
            if isinstance(piece, EndOfBody):
                return True
            self._append(piece)
        return False

    def _parse_head(self, codec: ClientCodec) -> bool:
        head = codec.head()
        if isinstance(head, NeedData):
            return False
        self.close_delimited = not protocol.count_framing_headers(head)
        if not self.close_delimited and not protocol.has_valid_framing(head, self._memory.max_response_bytes):
            raise MalformedResponseError("length")
        self.head = head
        return True

    def _append(self, piece: bytes | bytearray) -> None:
        memory = self._memory
        self._body += piece
        memory.buffered_bytes += len(piece)
        if len(self._body) > memory.max_response_bytes or memory.buffered_bytes > memory.max_buffered_bytes:
            raise MalformedResponseError("too-large")
