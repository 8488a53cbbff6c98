"""What decides about uploads in parts: whether a completion fits the parts that a store has, and which uploads are forgotten. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from winchdyke.s3.errors import S3Error
from winchdyke.s3.xml import Part

LEAST = 5 << 20  # bytes of every part but the last, as S3 has it; a setting may lower it


class Kept(msgspec.Struct):
    """A part as its store has it."""

    partNumber: int
    size: int
    etag: str = ""


class Parts(msgspec.Struct):
    """The parts of an upload."""

    parts: list[Kept]


class Upload(msgspec.Struct):
    """An upload as its store has it; ``since_ms``: Unix time of its start."""

    key: str
    uploadId: str
    since_ms: float = 0.0
    touched_ms: float = 0.0  # when a part was put last


class Uploads(msgspec.Struct):
    """The uploads of a volume on one store."""

    uploads: list[Upload]


def fits(asked: Sequence[Part], kept: Iterable[Kept], least: int = LEAST) -> int:
    """The bytes of the object that a completion makes. S3Error where the parts named are not those that were put."""
    there = {part.partNumber: part for part in kept}
    size = 0
    for at, part in enumerate(asked):
        if at and part.number <= asked[at - 1].number:
            raise S3Error(
                "InvalidPartOrder", f"part {part.number} is named after part {asked[at - 1].number}"
            )
        have = there.get(part.number)
        if have is None:
            raise S3Error("InvalidPart", f"part {part.number} was not put")
        if have.etag.strip('"') != part.etag:
            raise S3Error("InvalidPart", f"part {part.number} has another ETag: it was put anew, or never so")
        if have.size < least and at < len(asked) - 1:
            raise S3Error(
                "EntityTooSmall",
                f"part {part.number} has {have.size} bytes; all but the last have at least {least}",
            )
        size += have.size
    return size


def forgotten(uploads: Iterable[Upload], now_ms: float, keep_ms: float) -> list[Upload]:
    """Those that nobody has touched for so long. One that has no time told is never forgotten."""
    return [
        upload
        for upload in uploads
        if upload.since_ms and now_ms - max(upload.since_ms, upload.touched_ms) > keep_ms
    ]
