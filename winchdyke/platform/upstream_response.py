"""Reads one complete response of a store within memory limits, in steps of bounded work."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from winchdyke.http1 import ClientCodec, EndOfBody, NeedData, ProtocolError
from winchdyke.peer_limits.memory_account import MemoryAccount, MemoryCharge
from winchdyke.platform import protocol
from winchdyke.platform.upstream_connection import MAX_HEAD_BYTES

# The limit on informational responses, head and chunk framing together.
MAX_FRAMING_BYTES = 2 * MAX_HEAD_BYTES


def _ignore() -> None:
    """Do nothing: the callback of a response that has ended."""


class MalformedResponseError(Exception):
    """A response must not be forwarded; ``reason`` is ``http``, ``framing``, ``length`` or ``too-large``."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed response: {reason}")
        self.reason = reason


class ResponseProgress(Enum):
    """How far the reader has come."""

    NEEDS_DATA = auto()  # more bytes are needed
    HAS_MORE_WORK = auto()  # the work of this step is done, and more bytes may be parsed
    COMPLETE = auto()


class ResponseMemory:
    """Limits the memory of one response, and of all responses that are being read or written to clients.

    A response is read completely before any of it is forwarded. Stores sometimes exceed the protocol's 64
    KiB, so the limits depend on the machine's memory. Over the limit of all, slow clients are closed first, then the
    largest incomplete response fails: small ones, which are most, are still read.

    Attributes:
        max_response_bytes: The limit on the body of one response.
        account: The memory of all responses.
        make_room: Called while the account is over its limit; returns whether it released memory of another response.
        on_full: Called if a response has to end for the memory of others.
    """

    def __init__(self, max_response_bytes: int, account: MemoryAccount) -> None:
        self.max_response_bytes = max_response_bytes
        self.account = account
        self.on_full: Callable[[], None] = lambda: None
        self.make_room: Callable[[], bool] = lambda: False
        self._incomplete: dict[ResponseReader, None] = {}  # the oldest first

    @property
    def buffered_bytes(self) -> int:
        """The memory of all responses now."""
        return self.account.used_bytes

    def add(self, reader: ResponseReader) -> None:
        """Register a response of which a part was read."""
        self._incomplete[reader] = None

    def remove(self, reader: ResponseReader) -> None:
        """Remove a response that has ended."""
        self._incomplete.pop(reader, None)

    def enforce_limit(self) -> None:
        """Release memory until the account is within its limit, as far as that is possible."""
        while self.account.used_bytes > self.account.limit_bytes:
            if self.make_room():
                continue
            largest = max(self._incomplete, key=lambda reader: reader.held_bytes, default=None)
            if largest is None:
                return
            self.on_full()
            self.remove(largest)
            largest.on_evicted()


class ResponseReader:
    """Parses one response.

    Attributes:
        close_delimited: Whether the head gives no length; the body then ends with an orderly close.
        on_evicted: Called if the response has to end before it is complete, to release its memory.
        result: What the head says of the attempt; None until it was read. The head itself is not kept.
    """

    __slots__ = (
        "_body",
        "_charge",
        "_load_report_fields",
        "_memory",
        "_received_bytes",
        "close_delimited",
        "on_evicted",
        "result",
    )

    def __init__(
        self,
        memory: ResponseMemory,
        load_report_fields: tuple[str, ...],
        on_evicted: Callable[[], None] = _ignore,
    ) -> None:
        self.on_evicted = on_evicted
        self._memory = memory
        self._load_report_fields = load_report_fields
        self._charge = MemoryCharge(memory.account)
        self._body = bytearray()
        self._received_bytes = 0
        self.result: protocol.AttemptResult | None = None
        self.close_delimited = False

    @property
    def body(self) -> bytes:
        """The part of the body that was read so far."""
        return bytes(self._body)

    @property
    def held_bytes(self) -> int:
        """The memory that is charged for the response."""
        return self._charge.held_bytes

    @property
    def exceeds_wire_limit(self) -> bool:
        """Whether more bytes were received than a body of the permitted size can take with its framing."""
        return self._received_bytes > 2 * self._memory.max_response_bytes + MAX_FRAMING_BYTES

    def feed(self, codec: ClientCodec, data: bytes) -> None:
        """Add received bytes, empty at the end of the connection."""
        self._received_bytes += len(data)
        codec.feed(data)

    def read(self, codec: ClientCodec, max_work_units: int) -> ResponseProgress:
        """Parse the received bytes until the response is complete, or until ``max_work_units`` of work are done.

        Raises MalformedResponseError if the response must not be forwarded. Calls ``on_evicted`` if all responses
        exceed their memory and this one is the largest.
        """
        try:
            progress = self._parse(codec, max_work_units)
        except ProtocolError as error:
            raise MalformedResponseError("framing" if error.reason == "store-framing" else "http") from error
        self._charge.set(codec.buffered_bytes + len(self._body))
        if progress is not ResponseProgress.COMPLETE:
            self._memory.add(self)
            self._memory.enforce_limit()
        return progress

    def release(self) -> None:
        """Release the memory of the response, and the reference to its attempt."""
        self._memory.remove(self)
        self._charge.set(0)
        self.on_evicted = _ignore

    def _parse(self, codec: ClientCodec, max_work_units: int) -> ResponseProgress:
        last_work_units = codec.work_units + max_work_units
        if self.result is None and not self._parse_head(codec):
            return ResponseProgress.NEEDS_DATA
        while not isinstance(piece := codec.body(), NeedData):
            if isinstance(piece, EndOfBody):
                return ResponseProgress.COMPLETE
            self._append(piece)
            if codec.work_units >= last_work_units:
                return ResponseProgress.HAS_MORE_WORK
        return ResponseProgress.NEEDS_DATA

    def _parse_head(self, codec: ClientCodec) -> bool:
        head = codec.head()
        if isinstance(head, NeedData):
            return False
        self.close_delimited = not protocol.count_framing_headers(head)
        if not self.close_delimited and not protocol.has_valid_framing(head, self._memory.max_response_bytes):
            raise MalformedResponseError("length")
        self.result = protocol.parse_response(head, self._load_report_fields)
        return True

    def _append(self, piece: bytes | bytearray) -> None:
        self._body += piece
        if len(self._body) > self._memory.max_response_bytes:
            raise MalformedResponseError("too-large")
