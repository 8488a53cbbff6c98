"""Holds received bytes in front of an HTTP/1.1 parser, and passes them on in bounded parts.

A parser takes a head or the trailers of a body apart in one call, and each chunk of a body in one call. The gate
counts their lines before the parser sees them, and the bytes of chunked framing that outweigh the body. The bound
on framing follows Go's reader of chunked bodies (CVE-2023-39326), without its allowance for each chunk: a chunk
costs this parser far more than its bytes.
"""

from __future__ import annotations

import re

# The lines of all heads of one message, interim responses included; its trailers have the same limit.
MAX_HEAD_LINES = 128
MAX_PIECE_BYTES = 256 * 1024  # the part of a body that is passed to the parser at a time
# A piece with more lines may be full of trailers, which the parser takes apart in one call; less of it is passed then.
MAX_LINES_IN_LARGE_PIECE = 1024
MAX_CHUNKED_PIECE_BYTES = 8 * 1024
# The framing of a chunked body may exceed FRAMING_BYTES_PER_PAYLOAD_BYTE times its payload by this.
MAX_EXCESS_FRAMING_BYTES = 16 * 1024
FRAMING_BYTES_PER_PAYLOAD_BYTE = 2
LINE_WORK_UNITS = 1
EVENT_WORK_UNITS = 2  # a parsed chunk costs about twice as much as a header line
FIRST_GRAPHIC_BYTE = 0x21
BLANK_LINE_PATTERN = re.compile(rb"\n\r?\n")


class FramingLimitError(Exception):
    """A message's framing exceeds a limit; ``in_head`` tells whether its head does, or the framing of its body."""

    def __init__(self, text: str, in_head: bool) -> None:
        super().__init__(text)
        self.in_head = in_head


class MessageGate:
    """The bytes of one connection that the parser has not been given yet, and the counts of its present message.

    Attributes:
        work_units: Work of the parser so far, over all messages; a unit is about the work of one header line.
    """

    __slots__ = (
        "_head_lines",
        "_max_head_bytes",
        "_passed_body_bytes",
        "_payload_bytes",
        "_searched_bytes",
        "_waiting",
        "work_units",
    )

    def __init__(self, max_head_bytes: int) -> None:
        self.work_units = 0
        self._max_head_bytes = max_head_bytes
        self._waiting = bytearray()
        self._searched_bytes = 0  # part of the buffered head that holds no blank line
        self._head_lines = 0
        self._passed_body_bytes = 0
        self._payload_bytes = 0

    @property
    def waiting_bytes(self) -> int:
        """The number of bytes that the parser has not been given yet."""
        return len(self._waiting)

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._waiting += data

    def clear(self) -> None:
        """Drop the waiting bytes."""
        self._waiting = bytearray()
        self._searched_bytes = 0

    def take_head(self, in_parser: bytes) -> bytes | bytearray | None:
        """Return the rest of the next head, or None if it is incomplete.

        ``in_parser`` is the part of it that the parser has already. Raises FramingLimitError if the head exceeds the
        limit of its bytes or of its lines.
        """
        buffered = in_parser + self._waiting if in_parser else self._waiting
        if buffered and buffered[0] < FIRST_GRAPHIC_BYTE:
            return self._take(2)  # the parser rejects the head for its first byte or for being empty
        blank_line = BLANK_LINE_PATTERN.search(buffered, max(0, self._searched_bytes - 2))
        head_bytes = len(buffered) if blank_line is None else blank_line.end()
        lines = buffered.count(b"\n", 0, head_bytes)
        self._check_head(head_bytes, lines)
        if blank_line is None:
            self._searched_bytes = head_bytes
            return None
        self._searched_bytes = 0
        self._head_lines += lines
        self.work_units += lines * LINE_WORK_UNITS
        return self._take(max(0, head_bytes - len(in_parser)))

    def _check_head(self, head_bytes: int, lines: int) -> None:
        if head_bytes > self._max_head_bytes:
            raise FramingLimitError(f"the head is larger than {self._max_head_bytes} bytes", in_head=True)
        if self._head_lines + lines > MAX_HEAD_LINES:
            raise FramingLimitError(f"the head has more than {MAX_HEAD_LINES} lines", in_head=True)

    def start_body(self) -> None:
        """Start the counts of a body, after the last head of its message."""
        self._head_lines = 0
        self._passed_body_bytes = 0
        self._payload_bytes = 0

    def take_body(self, max_bytes: int = MAX_PIECE_BYTES) -> bytes | bytearray:
        """Return the next bytes of a body that is not chunked, or of a head that can't be completed."""
        return self._take(min(max_bytes, MAX_PIECE_BYTES))

    def take_chunked(self, in_parser: bytes) -> bytes | bytearray:
        """Return the next bytes of a chunked body.

        ``in_parser`` are the bytes that the parser has and can't use yet. Raises FramingLimitError if the framing outweighs
        the payload, or if there are too many trailers.
        """
        if in_parser.count(b"\n") > MAX_HEAD_LINES:
            raise FramingLimitError(
                f"the body has more than {MAX_HEAD_LINES} lines of trailers", in_head=False
            )
        framing_bytes = self._passed_body_bytes - self._payload_bytes - len(in_parser)
        allowed_bytes = MAX_EXCESS_FRAMING_BYTES + FRAMING_BYTES_PER_PAYLOAD_BYTE * self._payload_bytes
        if framing_bytes > allowed_bytes:
            raise FramingLimitError(
                f"{framing_bytes} bytes frame a body of {self._payload_bytes} bytes", in_head=False
            )
        has_many_lines = self._waiting.count(b"\n") > MAX_LINES_IN_LARGE_PIECE
        piece = self._take(MAX_CHUNKED_PIECE_BYTES if has_many_lines else MAX_PIECE_BYTES)
        self._passed_body_bytes += len(piece)
        return piece

    def count_payload(self, payload_bytes: int) -> None:
        """Count a parsed piece of a body."""
        self._payload_bytes += payload_bytes
        self.work_units += EVENT_WORK_UNITS

    def count_trailers(self, lines: int) -> None:
        """Count the end of a body with its trailers."""
        self.work_units += EVENT_WORK_UNITS + lines * LINE_WORK_UNITS

    def _take(self, max_bytes: int) -> bytes | bytearray:
        if len(self._waiting) <= max_bytes:
            taken = self._waiting
            self._waiting = bytearray()
            return taken
        taken = self._waiting[:max_bytes]
        del self._waiting[:max_bytes]
        return taken
