"""Multipart uploads: validates a completion against the stored parts, and selects expired uploads. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from winchdyke.s3.errors import S3Error
from winchdyke.s3.xml import CompletedPart

MIN_PART_BYTES = 5 << 20  # S3's minimum for every part but the last; a setting may lower it


class StoredPart(msgspec.Struct):
    """A part, as stored."""

    partNumber: int
    size: int
    etag: str = ""


class StoredParts(msgspec.Struct):
    """The parts of an upload."""

    parts: list[StoredPart]


class Upload(msgspec.Struct):
    """An upload in progress, as stored.

    Attributes:
        since_ms: Unix time of its start; 0: unknown.
        touched_ms: Unix time at which a part was last written.
    """

    key: str
    uploadId: str
    since_ms: float = 0.0
    touched_ms: float = 0.0


class Uploads(msgspec.Struct):
    """The uploads in progress of a volume on one store."""

    uploads: list[Upload]


def validate_completion(
    requested: Sequence[CompletedPart], stored: Iterable[StoredPart], min_part_bytes: int = MIN_PART_BYTES
) -> int:
    """The size in bytes of the completed object.

    Raises:
        S3Error: The listed parts are out of order, too small, or differ from the stored ones.
    """
    stored_by_number = {part.partNumber: part for part in stored}
    size = 0
    for index, part in enumerate(requested):
        if index and part.number <= requested[index - 1].number:
            raise S3Error(
                "InvalidPartOrder", f"part {part.number} is listed after part {requested[index - 1].number}"
            )
        stored_part = stored_by_number.get(part.number)
        if stored_part is None:
            raise S3Error("InvalidPart", f"part {part.number} was not uploaded")
        if stored_part.etag.strip('"') != part.etag:
            raise S3Error(
                "InvalidPart",
                f"part {part.number} has a different ETag: it was uploaded again, or the given ETag is wrong",
            )
        if stored_part.size < min_part_bytes and index < len(requested) - 1:
            raise S3Error(
                "EntityTooSmall",
                f"part {part.number} has {stored_part.size} bytes; all but the last need at least {min_part_bytes}",
            )
        size += stored_part.size
    return size


def expired(uploads: Iterable[Upload], now_ms: float, max_idle_ms: float) -> list[Upload]:
    """The uploads that were idle for longer than ``max_idle_ms``; never one with an unknown start time."""
    return [
        upload
        for upload in uploads
        if upload.since_ms and now_ms - max(upload.since_ms, upload.touched_ms) > max_idle_ms
    ]
