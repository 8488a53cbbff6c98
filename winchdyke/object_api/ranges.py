"""``Range`` and ``Content-Range`` (RFC 9110, section 14). Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass

_RANGE = re.compile(r"bytes\s*=\s*(\d*)\s*-\s*(\d*)")
_CONTENT_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+|\*)")


@dataclass(frozen=True, slots=True)
class ByteRange:
    """A range of bytes.

    Attributes:
        first: The first byte; None: the range is the last ``last`` bytes of the object.
        last: The last byte, inclusive; None: to the end of the object.
    """

    first: int | None
    last: int | None

    @property
    def length(self) -> int | None:
        """The maximum number of bytes; None if it depends on the object's size."""
        if self.first is None:
            return self.last
        return None if self.last is None else self.last - self.first + 1

    def __str__(self) -> str:
        return f"bytes={'' if self.first is None else self.first}-{'' if self.last is None else self.last}"

    def resolve(self, size: int) -> tuple[int, int] | None:
        """The first and last byte in an object of this size; None if the range is not satisfiable (416)."""
        if self.first is None:
            return (max(0, size - (self.last or 0)), size - 1) if self.last and size else None
        if self.first >= size:
            return None
        return self.first, size - 1 if self.last is None else min(self.last, size - 1)


def parse(text: str | None) -> ByteRange | None:
    """Parses the value of a Range header.

    Returns None if it is missing, invalid or names several ranges; the whole object is then served.
    """
    match = _RANGE.fullmatch(text.strip()) if text else None
    if not match or not (match[1] or match[2]) or len(match[1]) > 18 or len(match[2]) > 18:
        return None
    first, last = (int(part) if part else None for part in match.groups())
    if first is not None and last is not None and last < first:
        return None
    return ByteRange(first, last)


def response_matches(
    requested: ByteRange | None, status: int, content_range: str | None, length: int | None
) -> bool:
    """Whether a store's response matches the requested range.

    A 206 response must have the requested range, and the length that its Content-Range states. Other statuses
    always match.
    """
    if status != 206:
        return True
    match = _CONTENT_RANGE.fullmatch(content_range or "")
    if requested is None or not match:
        return False
    first, last = int(match[1]), int(match[2])
    size = None if match[3] == "*" else int(match[3])
    if last < first or (length is not None and length != last - first + 1):
        return False
    if size is not None:
        return requested.resolve(size) == (first, last)
    return requested.first is None or (
        first == requested.first and (requested.last is None or last <= requested.last)
    )
