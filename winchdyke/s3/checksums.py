"""The checksum algorithms of S3, by their names in headers. Pure; computed by hashlib, zlib and crc32c."""

from __future__ import annotations

import base64
import binascii
import hashlib
import zlib
from collections.abc import Callable
from typing import Protocol

import crc32c


class Checksum(Protocol):
    """A checksum that is updated incrementally."""

    def update(self, data: bytes | bytearray, /) -> None:
        """Adds bytes."""

    def digest(self) -> bytes:
        """The checksum of the bytes added so far."""


class _Crc:
    def __init__(self, update_crc: Callable[[bytes, int], int]) -> None:
        self._update_crc, self._value = update_crc, 0

    def update(self, data: bytes | bytearray, /) -> None:
        self._value = self._update_crc(bytes(data), self._value)

    def digest(self) -> bytes:
        return (self._value & 0xFFFFFFFF).to_bytes(4, "big")


ALGORITHMS: dict[str, Callable[[], Checksum]] = {
    "crc32": lambda: _Crc(zlib.crc32),
    "crc32c": lambda: _Crc(crc32c.crc32c),
    "sha1": lambda: hashlib.sha1(usedforsecurity=False),
    "sha256": hashlib.sha256,
}
PREFIX = "x-amz-checksum-"


def decode_base64(text: str) -> bytes | None:
    """Decodes the base64 value of a header; None if it is not valid base64."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return None


def encode_base64(value: bytes) -> str:
    """Encodes a checksum as the value of a header."""
    return base64.b64encode(value).decode()
