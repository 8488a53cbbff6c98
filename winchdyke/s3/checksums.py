"""Checksums of bodies, by the names that S3 has for them. Pure; the work is done by hashlib, zlib and crc32c."""

from __future__ import annotations

import base64
import binascii
import hashlib
import zlib
from collections.abc import Callable
from typing import Protocol

import crc32c


class Sum(Protocol):
    """A running checksum."""

    def update(self, data: bytes | bytearray, /) -> None:
        """Take in bytes."""

    def digest(self) -> bytes:
        """The value now."""


class _Crc:
    def __init__(self, step: Callable[[bytes, int], int]) -> None:
        self._step, self._value = step, 0

    def update(self, data: bytes | bytearray, /) -> None:
        self._value = self._step(bytes(data), self._value)

    def digest(self) -> bytes:
        return (self._value & 0xFFFFFFFF).to_bytes(4, "big")


MADE: dict[str, Callable[[], Sum]] = {
    "crc32": lambda: _Crc(zlib.crc32),
    "crc32c": lambda: _Crc(crc32c.crc32c),
    "sha1": lambda: hashlib.sha1(usedforsecurity=False),
    "sha256": hashlib.sha256,
}
PREFIX = "x-amz-checksum-"


def decoded(text: str) -> bytes | None:
    """Base64 as it is in headers; None where it is none."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return None


def encode_base64(value: bytes) -> str:
    """The other way round."""
    return base64.b64encode(value).decode()
