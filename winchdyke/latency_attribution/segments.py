"""The format of a ledger's files: append-only segments of records, readable after any crash.

A segment is a file ``NNNNNNNNNNNN.waits``: a header of 16 bytes (``WDLEDGER``, version, zeros), then records:

    2 bytes   RM
    4 bytes   length of the payload, little-endian
    8 bytes   xxh3-64 of the length and the payload
    payload   msgpack of an Account or a TraceRecord (arrays; the first element is the tag of the record type)

A file ``NNNNNNNNNNNN.sums`` has the same format; its payloads are MinuteSums.

Crash safety: a record is valid only if its checksum fits, and written data is never changed. After a kill at any byte, all
records before the last sync are valid; behind them, valid records are read and the rest is reported as lost. A reader
skips a damaged record by searching for the next offset at which mark, length and checksum fit, and reports how many bytes
it skipped.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import xxhash

from winchdyke.latency_attribution.errors import LedgerError

MAGIC = b"WDLEDGER"
VERSION = 1
SEGMENT_HEADER = MAGIC + bytes([VERSION]) + bytes(7)
RECORD_MARK = b"RM"
RECORD_HEADER = struct.Struct("<2sIQ")
LENGTH = struct.Struct("<I")
MAX_RECORD_BYTES = 1 << 20
SEGMENT_SUFFIX = ".waits"
SUMS_SUFFIX = ".sums"


@dataclass
class RecoveryReport:
    """What a reader found: counts of segments and records, lost bytes, and a description of each loss."""

    records: int = 0
    lost_bytes: int = 0
    segments: int = 0
    losses: list[str] = field(default_factory=list)


def frame_record(payload: bytes) -> bytes:
    """Returns a payload framed as a record of a segment."""
    return RECORD_HEADER.pack(RECORD_MARK, len(payload), _checksum(payload)) + payload


def _checksum(payload: bytes) -> int:
    return xxhash.xxh3_64_intdigest(LENGTH.pack(len(payload)) + payload)


def recover_payloads(data: bytes, name: str, report: RecoveryReport) -> Iterator[bytes]:
    """Yields the payloads of a segment; data that can't be read is added to the report under the segment's name."""
    report.segments += 1
    if not SEGMENT_HEADER.startswith(data[: len(SEGMENT_HEADER)]):
        report.losses.append(f"{name}: the header is damaged; searching for records all the same")
    at = min(len(SEGMENT_HEADER), len(data))
    while at < len(data):
        payload = _payload_at(data, at)
        if payload is not None:
            report.records += 1
            yield payload
            at += RECORD_HEADER.size + len(payload)
            continue
        next_record = _find_record(data, at + 1)
        end = len(data) if next_record is None else next_record
        kind = "the end is incomplete" if next_record is None else "damaged"
        report.lost_bytes += end - at
        report.losses.append(f"{name}: {end - at} bytes at {at}: {kind}")
        at = end


def complete_records(data: bytes, at: int) -> tuple[list[bytes], int]:
    """Returns the payloads in a part of a segment from an offset, and the offset behind the last complete record.

    The part may begin within a record.
    """
    payloads: list[bytes] = []
    while at + RECORD_HEADER.size <= len(data):
        payload = _payload_at(data, at)
        if payload is not None:
            payloads.append(payload)
            at += RECORD_HEADER.size + len(payload)
            continue
        if _is_incomplete(data, at):
            break
        next_mark = data.find(RECORD_MARK, at + 1)
        at = len(data) if next_mark < 0 else next_mark
    return payloads, min(at, len(data))


def _payload_at(data: bytes, at: int) -> bytes | None:
    """Returns the payload of the record that begins at an offset; None if no valid one does."""
    begin = at + RECORD_HEADER.size
    if begin > len(data):
        return None
    mark, payload_bytes, checksum = RECORD_HEADER.unpack_from(data, at)
    if mark != RECORD_MARK or payload_bytes > MAX_RECORD_BYTES or begin + payload_bytes > len(data):
        return None
    payload = data[begin : begin + payload_bytes]
    return payload if _checksum(payload) == checksum else None


def _find_record(data: bytes, at: int) -> int | None:
    """Returns the next offset at which a valid record begins; None without one."""
    found = data.find(RECORD_MARK, at)
    while found >= 0 and _payload_at(data, found) is None:
        found = data.find(RECORD_MARK, found + 1)
    return None if found < 0 else found


def _is_incomplete(data: bytes, at: int) -> bool:
    """Whether the record that begins at an offset may still be in the course of being written."""
    mark, payload_bytes, _ = RECORD_HEADER.unpack_from(data, at)
    if mark != RECORD_MARK or payload_bytes > MAX_RECORD_BYTES:
        return False
    return bool(at + RECORD_HEADER.size + payload_bytes > len(data))


def ledger_files(path: Path) -> list[Path]:
    """Returns the files of a ledger in order; a segment takes precedence over its minute sums.

    Raises:
        LedgerError: The directory contains none.
    """
    if not path.is_dir():
        return [path]
    files = {file.stem: file for file in path.glob(f"*{SUMS_SUFFIX}")}
    files.update({file.stem: file for file in path.glob(f"*{SEGMENT_SUFFIX}")})
    if not files:
        raise LedgerError(f"{path} contains no file of a ledger (*{SEGMENT_SUFFIX}, *{SUMS_SUFFIX})")
    return [files[stem] for stem in sorted(files)]
