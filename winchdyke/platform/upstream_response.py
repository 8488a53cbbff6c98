"""Reads one response of a store completely, within the memory that responses may take."""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.http1 import ClientCodec, EndOfBody, NeedData, ProtocolError, ResponseHead
from winchdyke.platform import protocol
from winchdyke.platform.upstream_connection import MAX_HEAD_BYTES

MAX_FRAMING_BYTES = (
    2 * MAX_HEAD_BYTES
)  # of a response beside its body: informational responses, head and chunk framing
MAX_RESPONSE_MEMORY_FRACTION = 1 / 64  # of the machine's memory, for one response
MAX_BUFFERED_MEMORY_FRACTION = 1 / 8  # of the machine's memory, for all responses that are being read


class MalformedResponseError(Exception):
    """A response that must not be passed on; ``reason`` is ``http``, ``length`` or ``too-large``."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed response: {reason}")
        self.reason = reason


@dataclass(slots=True)
class ResponseMemory:
    """Bytes of response bodies that are buffered, over all attempts of a gateway, and their limits.

    A response is read completely before any of it is passed on. Stores exceed the protocol's 64 KiB at times, so the machine's
    memory limits a response.
    """

    max_response_bytes: int
    max_buffered_bytes: int
    buffered_bytes: int = 0

    @classmethod
    def of_machine(cls, memory_mb: float) -> ResponseMemory:
        """The limits for a machine with so much memory, in MiB."""
        memory_bytes = memory_mb * 2**20
        return cls(
            max(protocol.MAX_BODY_BYTES, int(memory_bytes * MAX_RESPONSE_MEMORY_FRACTION)),
            int(memory_bytes * MAX_BUFFERED_MEMORY_FRACTION),
        )


class ResponseReader:
    """Parses one response. ``close_delimited``: its head gives no length, so it ends with its connection, in good order."""

    __slots__ = ("_body", "_memory", "_received_bytes", "close_delimited", "head")

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._body = bytearray()
        self._received_bytes = 0
        self.head: ResponseHead | None = None
        self.close_delimited = False

    @property
    def body(self) -> bytes:
        """The body as far as it was read."""
        return bytes(self._body)

    @property
    def exceeds_wire_limit(self) -> bool:
        """Whether more bytes have come than a body of the permitted size and its framing take."""
        return self._received_bytes > 2 * self._memory.max_response_bytes + MAX_FRAMING_BYTES

    def feed(self, codec: ClientCodec, data: bytes) -> bool:
        """Take in bytes, empty at the connection's end; whether the response is complete.

        MalformedResponseError where it must not be passed on.
        """
        self._received_bytes += len(data)
        try:
            codec.feed(data)
            return self._parse(codec)
        except ProtocolError as error:
            raise MalformedResponseError("http") from error

    def release(self) -> None:
        """Give back the memory of the body; to be called once."""
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
