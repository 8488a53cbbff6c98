"""Durations and sizes as people write them: ``400ms``, ``4s``, ``64KiB``."""

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
    """Milliseconds in a duration such as ``1.5s``; a bare ``0`` needs no unit. ValueError says what is wrong."""
    return _value(Duration(), text)


def size(text: str) -> int:
    """Bytes in a size such as ``64KiB``; ValueError says what is wrong."""
    return int(_value(Size(), text))
