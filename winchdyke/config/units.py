"""Durations and sizes as people write them: ``400ms``, ``4s``, ``64KiB``."""

from __future__ import annotations

import re

DURATIONS = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
SIZES = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3, "kB": 1000, "MB": 1000**2, "GB": 1000**3}
_FORM = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]*)")


def _parts(text: str, units: dict[str, float] | dict[str, int], example: str) -> float:
    found = _FORM.fullmatch(text.strip())
    if not found:
        raise ValueError(f"{text!r} is not a number with a unit; write it like {example}")
    number, unit = found.groups()
    if not unit and float(number):
        raise ValueError(f"{text!r} has no unit; write one of {', '.join(units)}, as in {example}")
    if unit and unit not in units:
        raise ValueError(f"{unit!r} is no unit known here; use one of {', '.join(units)}, as in {example}")
    return float(number) * (units[unit] if unit else 1)


def duration(text: str) -> float:
    """Milliseconds in a duration such as ``1.5s``; a bare ``0`` needs no unit. ValueError says what is wrong."""
    return _parts(text, DURATIONS, "400ms")


def size(text: str) -> int:
    """Bytes in a size such as ``64KiB``; ValueError says what is wrong."""
    return int(_parts(text, SIZES, "64KiB"))
