"""``Range`` and ``Content-Range`` (RFC 9110, section 14). Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass

_ONE = re.compile(r"bytes\s*=\s*(\d*)\s*-\s*(\d*)")
_CONTENT = re.compile(r"bytes (\d+)-(\d+)/(\d+|\*)")


@dataclass(frozen=True, slots=True)
class ByteRange:
    """``first`` to ``last``, both counted in; ``last`` None: open-ended; ``first`` None: a suffix of ``last`` bytes."""

    first: int | None
    last: int | None

    @property
    def length(self) -> int | None:
        """How many bytes are asked for at the most; None where the object's size decides."""
        if self.first is None:
            return self.last
        return None if self.last is None else self.last - self.first + 1

    def __str__(self) -> str:
        return f"bytes={'' if self.first is None else self.first}-{'' if self.last is None else self.last}"

    def within(self, size: int) -> tuple[int, int] | None:
        """First and last byte in an object of a size; None where the range can't be satisfied (416)."""
        if self.first is None:
            return (max(0, size - (self.last or 0)), size - 1) if self.last and size else None
        if self.first >= size:
            return None
        return self.first, size - 1 if self.last is None else min(self.last, size - 1)


def parse(text: str | None) -> ByteRange | None:
    """The one range that is asked for; None where there is none, several or no valid one: then the whole is served."""
    found = _ONE.fullmatch(text.strip()) if text else None
    if not found or not (found[1] or found[2]) or len(found[1]) > 18 or len(found[2]) > 18:
        return None
    first, last = (int(part) if part else None for part in found.groups())
    if first is not None and last is not None and last < first:
        return None
    return ByteRange(first, last)


def response_matches(
    asked: ByteRange | None, status: int, content_range: str | None, length: int | None
) -> bool:
    """Whether a store's answer fits what was asked: a 206 is the range asked for, and as long as it says."""
    if status != 206:
        return True
    found = _CONTENT.fullmatch(content_range or "")
    if asked is None or not found:
        return False
    first, last = int(found[1]), int(found[2])
    whole = None if found[3] == "*" else int(found[3])
    if last < first or (length is not None and length != last - first + 1):
        return False
    if whole is not None:
        return asked.within(whole) == (first, last)
    return asked.first is None or (first == asked.first and (asked.last is None or last <= asked.last))
