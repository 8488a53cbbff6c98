"""Parses durations and sizes with units: ``400ms``, ``4s``, ``64KiB``."""

from __future__ import annotations

from winchdyke.config.diagnostics import Source, Span
from winchdyke.config.syntax import Word
from winchdyke.config.types import Duration, InvalidValueError, Size, Type

_NOWHERE = Span(Source("", ""), 1)


def _value(kind: Type, text: str) -> float:
    try:
        return float(kind.read_word(Word(text.strip(), False, _NOWHERE)))
    except InvalidValueError as wrong:
        raise ValueError(f"{wrong}; {wrong.fix}") from wrong


def duration(text: str) -> float:
    """Return the milliseconds of a duration such as ``1.5s``; ``0`` needs no unit. Raises ValueError."""
    return _value(Duration(), text)


def size(text: str) -> int:
    """Return the bytes of a size such as ``64KiB``; ``0`` needs no unit. Raises ValueError."""
    return int(_value(Size(), text))
