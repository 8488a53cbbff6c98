"""The write-ahead log: records in preallocated segments, recovered after a crash in one pass over them.

A segment is a file ``NNNNNNNNNNNNNNNN.log`` (its number) of a fixed size, all zeros until written. All numbers are
little-endian.

    header, 40 bytes  WDWRITES, version (2), zeros (2), epoch (4), number (8), base: the last sequence number that was
                      synced before this segment (8), xxh3-64 of those 32 bytes
    records, each at a multiple of 8:
        4 bytes   length of the payload
        1 byte    kind: 1 write, 2 done, 3 closed, 4 sending (a write is about to be sent: the payload is its sequence
                  number and a note on what its store held)
        3 bytes   zeros
        8 bytes   sequence number, one more than that of the record before it
        8 bytes   the sequence number up to which all records were synced when this one was written
        8 bytes   xxh3-64 of the segment's number and epoch, the 24 bytes above and the payload
        payload, padded with zeros to a multiple of 8

Crash safety: a record is valid only if its checksum fits. The checksum covers the segment's number and epoch too, so data
left by an earlier use of the blocks is never taken for a record. Bytes of a segment are written once, in order, and a record
is acknowledged only after a sync of its segment has returned. So after a crash all acknowledged records are valid, and the
first invalid record begins the part that no sync covered, which is *torn*. If the ``synced`` of a later valid record covers
the invalid one, that one is *corrupt* instead, because it had been acknowledged: the damage is reported, and recovery
continues with the later record. Damage to the very last batch, with no valid record after it, can't be distinguished from a
torn end, so it is reported as an incomplete end.

Failed syncs: a sync that fails ends its segment. Nothing more is written to it, its unacknowledged records stay
unacknowledged, and the log continues in a new segment. The old segment is not synced again, because the system may have
dropped the data and would still report success.

Space: a segment is removed once all its writes are done, the oldest first, and each removal is synced before the next. So
segment numbers never have a gap, and a ``done`` record, which is in the segment of its write or a later one, is removed no
earlier than the write. One segment is reserved for ``done`` records, so that they can be appended to a full log.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum

import xxhash

from winchdyke.writeback.disk import Disk

MAGIC, VERSION, SEGMENT_SUFFIX, NEW_SUFFIX = b"WDWRITES", 1, ".log", ".new"
SPARE_FILE = "spare" + NEW_SUFFIX
SEGMENT_HEADER = struct.Struct("<8sH2xIQQ")
RECORD_HEADER = struct.Struct("<IB3xQQ")
CHECKSUM = struct.Struct("<Q")
SEGMENT_HEADER_SIZE, RECORD_HEADER_SIZE = (
    SEGMENT_HEADER.size + CHECKSUM.size,
    RECORD_HEADER.size + CHECKSUM.size,
)
MAX_PAYLOAD_BYTES = 64 << 20
READ_CHUNK_BYTES = 1 << 20  # minimum size of a read from a segment
SEQUENCE = struct.Struct("<Q")


class RecordKind(IntEnum):
    """The kind of a record, as stored."""

    WRITE = 1
    DONE = 2
    CLOSED = 3
    SENDING = 4


class LogError(Exception):
    """The log can't be used, or can't take or return a record; the text says what is wrong."""


class LogFullError(LogError):
    """The log has no space for the record; nothing was written."""


class DurabilityUnknownError(LogError):
    """The record may or may not survive a crash, so it must not be acknowledged."""


@dataclass(frozen=True, slots=True)
class RecordLocation:
    """Where the payload of a write is stored: segment number, offset and length in bytes."""

    segment: int
    offset: int
    length: int


@dataclass
class RecoveryReport:
    """The result of recovery.

    Attributes:
        records: Valid records.
        torn: Parts that no sync covered, each described in a line that begins with segment and offset.
        corrupt: Damage to acknowledged records, described likewise.
        bytes: Bytes of segments that were read.
    """

    records: int = 0
    torn: list[str] = field(default_factory=list)
    corrupt: list[str] = field(default_factory=list)
    bytes: int = 0


@dataclass
class _Segment:
    number: int
    epoch: int
    end: int = SEGMENT_HEADER_SIZE  # offset of the next record
    pending: set[int] = field(default_factory=set)  # sequence numbers of its writes that are not done


def segment_file_name(number: int) -> str:
    """Returns the file name of a segment."""
    return f"{number:016d}{SEGMENT_SUFFIX}"


def padded_length(length: int) -> int:
    """Rounds a length up to a multiple of 8."""
    return -(-length // 8) * 8


def encode_segment_header(number: int, epoch: int, base: int) -> bytes:
    """Returns the header of a segment."""
    header = SEGMENT_HEADER.pack(MAGIC, VERSION, epoch, number, base)
    return header + CHECKSUM.pack(xxhash.xxh3_64_intdigest(header))


def encode_record(
    number: int, epoch: int, kind: RecordKind, sequence: int, synced: int, payload: bytes
) -> bytes:
    """Returns a record as it is stored in a segment."""
    header = RECORD_HEADER.pack(len(payload), kind, sequence, synced)
    return b"".join(
        (
            header,
            CHECKSUM.pack(_checksum(number, epoch, header, payload)),
            payload,
            bytes(padded_length(len(payload)) - len(payload)),
        )
    )


def _checksum(number: int, epoch: int, header: bytes, payload: bytes) -> int:
    digest = xxhash.xxh3_64(struct.pack("<QI", number, epoch))
    digest.update(header)
    digest.update(payload)
    return digest.intdigest()


@dataclass(frozen=True, slots=True)
class ScannedRecord:
    """A valid record read from a segment."""

    kind: RecordKind
    sequence: int
    synced: int
    offset: int
    payload: bytes

    @property
    def size(self) -> int:
        """Bytes of the record, with header and padding."""
        return RECORD_HEADER_SIZE + padded_length(len(self.payload))


class SegmentReader:
    """Reads a segment front to back, with at most one record and ``READ_CHUNK_BYTES`` in memory."""

    def __init__(self, disk: Disk, name: str) -> None:
        self._disk, self._name = disk, name
        self.size = disk.size(name)
        self._chunk_offset, self._chunk = 0, b""

    def read(self, offset: int, length: int) -> bytes:
        """Returns bytes of the segment; fewer at its end."""
        if not self._chunk_offset <= offset or offset + length > self._chunk_offset + len(self._chunk):
            self._chunk_offset, self._chunk = (
                offset,
                self._disk.read(self._name, offset, max(READ_CHUNK_BYTES, length)),
            )
        return self._chunk[offset - self._chunk_offset : offset - self._chunk_offset + length]

    def header(self) -> tuple[int, int, int] | None:
        """Returns the header's number, epoch and base; None if the header is damaged.

        Raises:
            LogError: The segment has another format version.
        """
        data = self.read(0, SEGMENT_HEADER_SIZE)
        if (
            len(data) < SEGMENT_HEADER_SIZE
            or xxhash.xxh3_64_intdigest(data[: SEGMENT_HEADER.size])
            != CHECKSUM.unpack_from(data, SEGMENT_HEADER.size)[0]
        ):
            return None
        magic, version, epoch, number, base = SEGMENT_HEADER.unpack_from(data)
        if magic != MAGIC:
            return None
        if version != VERSION:
            raise LogError(
                f"{self._name} has version {version} of the log's format; this program reads {VERSION}: "
                "start the release that wrote it"
            )
        return number, epoch, base

    def record_at(self, offset: int, number: int, epoch: int) -> ScannedRecord | None:
        """Returns the record at an offset; None if no valid record begins there."""
        if offset + RECORD_HEADER_SIZE > self.size:
            return None
        data = self.read(offset, RECORD_HEADER_SIZE)
        if len(data) < RECORD_HEADER_SIZE:
            return None
        length, kind, sequence, synced = RECORD_HEADER.unpack_from(data)
        if (
            not sequence
            or length > MAX_PAYLOAD_BYTES
            or offset + RECORD_HEADER_SIZE + length > self.size
            or kind not in (1, 2, 3, 4)
        ):
            return None
        header, checksum = data[: RECORD_HEADER.size], CHECKSUM.unpack_from(data, RECORD_HEADER.size)[0]
        payload = self.read(offset + RECORD_HEADER_SIZE, length)
        if len(payload) < length or _checksum(number, epoch, header, payload) != checksum:
            return None
        return ScannedRecord(RecordKind(kind), sequence, synced, offset, payload)

    def only_zeros(self, offset: int) -> bool:
        """Whether the segment holds only zeros from an offset on."""
        while offset < self.size:
            chunk = self.read(offset, min(READ_CHUNK_BYTES, self.size - offset))
            if not chunk:
                return True
            if chunk.count(0) != len(chunk):
                return False
            offset += len(chunk)
        return True

    def find_record(self, offset: int, number: int, epoch: int) -> ScannedRecord | None:
        """Returns the first valid record from an offset on; None if there is none."""
        offset = padded_length(offset)
        while offset + RECORD_HEADER_SIZE <= self.size:
            record = self.record_at(offset, number, epoch)
            if record is not None:
                return record
            offset += 8
        return None


class Log:
    """The log of one gateway. Not thread-safe: the thread of :mod:`winchdyke.writeback.commit` owns it.

    Attributes:
        pending_writes: Where the writes that are not done are stored, by sequence number, ascending.
        sending_notes: The notes of writes that may have been sent, by sequence number.
        failed_sequences: Sequence numbers of this process's records whose sync failed.
        recovery: What recovery found.
        sequence: The last sequence number given to a record.
        synced: The last sequence number covered by a successful sync. Records up to it are durable, except those in
            ``failed_sequences``.
        has_spare: Whether a file with the blocks of the next segment exists, in addition to ``total_bytes``.
        epoch: The epoch of this process, one more than the highest epoch in the headers of older segments.
    """

    def __init__(
        self,
        disk: Disk,
        segment_bytes: int = 16 << 20,
        total_bytes: int = 1 << 30,
        on_warning: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Recovers the log.

        Args:
            disk: The folder of the log.
            segment_bytes: The size of a segment.
            total_bytes: The size of all segments.
            on_warning: Called with the text of a disk error that the log survives.

        Raises:
            LogError: A segment has another format version.
        """
        if segment_bytes < 4096 or total_bytes < 3 * segment_bytes:
            raise LogError(
                "a segment must have at least 4096 bytes, and the log must have space for three segments"
            )
        self.disk, self.segment_bytes, self.total_bytes = disk, padded_length(segment_bytes), total_bytes
        self._on_warning = on_warning
        self.pending_writes: dict[int, RecordLocation] = {}
        self.sending_notes: dict[int, bytes] = {}
        self.failed_sequences: set[int] = set()
        self.recovery = RecoveryReport()
        self.sequence = self.synced = 0
        self._segments: dict[int, _Segment] = {}
        # Records appended since the last sync: sequence number, kind, payload.
        self._dirty: list[tuple[int, RecordKind, bytes]] = []
        self.has_spare = False
        self._unsynced_removal = False  # whether a removed segment could reappear after a crash
        self._last_segment_ended = True  # whether the last segment accepts no more records
        self.epoch = 0
        self._recover()

    # Recovery

    def _recover(self) -> None:
        numbers = sorted(
            int(name.removesuffix(SEGMENT_SUFFIX))
            for name in self.disk.file_names()
            if name.endswith(SEGMENT_SUFFIX) and name.removesuffix(SEGMENT_SUFFIX).isdigit()
        )
        for name in self.disk.file_names():
            if name.endswith(NEW_SUFFIX):
                self.disk.remove(name)  # no record in it was acknowledged
        done: set[int] = set()
        for number in numbers:
            self._recover_segment(number, done)
        for sequence in done:
            self._forget_write(sequence)
        self.epoch += 1  # each process writes segments of its own epoch
        if numbers and self._segments[numbers[-1]].epoch:
            # Recovered records may never have been synced. Without this sync the next crash could lose them after this
            # process has acted on them.
            try:
                self.disk.sync(segment_file_name(numbers[-1]))
                self.synced = self.sequence
            except OSError as error:
                self._on_warning(
                    f"{segment_file_name(numbers[-1])} can't be synced: {error.strerror or error}"
                )
        # Pending writes stay where they are. New records go to a new segment, so nothing is written behind a torn end.
        self._remove_done_segments()

    def _recover_segment(self, number: int, done: set[int]) -> None:
        name, recovery = segment_file_name(number), self.recovery
        reader = SegmentReader(self.disk, name)
        header = reader.header()
        if header is None:
            recovery.corrupt.append(
                f"{name}: the header is damaged; the records of this segment can't be read"
            )
            self._segments[number] = _Segment(number, 0, reader.size)
            return
        self.epoch = max(self.epoch, header[1])
        if header[2] > self.sequence:
            if number > 1 and not recovery.records and not recovery.corrupt:
                self.sequence = header[2]  # the segments before this one were done and removed
            else:
                text = f"records after {self.sequence} up to {header[2]} were acknowledged and can't be read"
                recovery.corrupt.append(f"{name}: {text}")
                self.sequence = header[2]
        segment = self._segments[number] = _Segment(number, header[1])
        offset = SEGMENT_HEADER_SIZE
        while offset + RECORD_HEADER_SIZE <= reader.size:
            record = reader.record_at(offset, number, header[1])
            if record is None:
                if reader.only_zeros(offset):
                    break
                next_record = reader.find_record(offset + 8, number, header[1])
                if next_record is None:
                    recovery.torn.append(f"{name}, byte {offset}: the end is incomplete")
                    break
                if next_record.synced <= self.sequence:
                    recovery.torn.append(
                        f"{name}, byte {offset}: {next_record.offset - offset} invalid bytes before record {next_record.sequence}"
                    )
                record = next_record
            self._recover_record(record, segment, done)
            offset = record.offset + record.size
        segment.end = offset
        recovery.bytes += offset

    def _recover_record(self, record: ScannedRecord, segment: _Segment, done: set[int]) -> None:
        if record.synced > self.sequence:
            text = f"records after {self.sequence} up to {record.synced} were acknowledged and can't be read"
            self.recovery.corrupt.append(f"{segment_file_name(segment.number)}, byte {record.offset}: {text}")
        self.recovery.records += 1
        self.synced = max(self.synced, record.synced)
        self.sequence = max(self.sequence, record.sequence)
        if record.kind is RecordKind.WRITE:
            segment.pending.add(record.sequence)
            self.pending_writes[record.sequence] = RecordLocation(
                segment.number, record.offset + RECORD_HEADER_SIZE, len(record.payload)
            )
        elif record.kind is RecordKind.DONE:
            done.update(each[0] for each in SEQUENCE.iter_unpack(record.payload))
        elif record.kind is RecordKind.SENDING:
            self.sending_notes[SEQUENCE.unpack_from(record.payload)[0]] = record.payload[SEQUENCE.size :]

    def _forget_write(self, sequence: int) -> None:
        self.sending_notes.pop(sequence, None)
        location = self.pending_writes.pop(sequence, None)
        if location is not None:
            self._segments[location.segment].pending.discard(sequence)

    def _remove_done_segments(self) -> None:
        """Removes segments without pending writes, the oldest first.

        The last segment stays, because the number of the next one is derived from it.
        """
        for number in sorted(self._segments)[:-1]:
            if self._segments[number].pending:
                return
            try:
                if self._unsynced_removal:
                    self.disk.sync_directory()
                    self._unsynced_removal = False
                # A segment that could not be created has no file.
                if segment_file_name(number) in self.disk.file_names():
                    self.disk.remove(segment_file_name(number))
                del self._segments[number]
                self._unsynced_removal = True
                self.disk.sync_directory()
                self._unsynced_removal = False
            except OSError as error:
                self._on_warning(f"{segment_file_name(number)} can't be removed: {error.strerror or error}")
                return

    # Writing

    @property
    def used_bytes(self) -> int:
        """The size of all segments."""
        return len(self._segments) * self.segment_bytes

    def free_bytes(self) -> int:
        """Bytes that can still be appended for certain: a lower bound, as one segment is reserved."""
        last = max(self._segments, default=None)
        last_segment_bytes = (
            0 if self._last_segment_ended or last is None else self.segment_bytes - self._segments[last].end
        )
        new_segments = max(0, (self.total_bytes - self.used_bytes) // self.segment_bytes - 1)
        return last_segment_bytes + new_segments * (self.segment_bytes - SEGMENT_HEADER_SIZE)

    def append(self, payload: bytes, kind: RecordKind = RecordKind.WRITE) -> int:
        """Appends a record without a sync, and returns its sequence number.

        Raises:
            LogFullError: The log has no space for the record; nothing was written.
            DurabilityUnknownError: The write failed; the record may or may not survive a crash.
        """
        size = RECORD_HEADER_SIZE + padded_length(len(payload))
        if size > self.segment_bytes - SEGMENT_HEADER_SIZE or len(payload) > MAX_PAYLOAD_BYTES:
            raise LogFullError(
                f"a record of {len(payload)} bytes does not fit into a segment of {self.segment_bytes}"
            )
        last = max(self._segments, default=0)
        if self._last_segment_ended or self._segments[last].end + size > self.segment_bytes:
            self._begin_segment(last + 1, reserve=kind is RecordKind.WRITE)
            last += 1
        segment = self._segments[last]
        self.sequence += 1
        data = encode_record(last, segment.epoch, kind, self.sequence, self.synced, payload)
        try:
            self.disk.write(segment_file_name(last), segment.end, data)
        except OSError as error:
            self._last_segment_ended = True
            raise DurabilityUnknownError(
                f"record {self.sequence} could not be written: {error.strerror or error}"
            ) from error
        if kind is RecordKind.WRITE:
            segment.pending.add(self.sequence)
            self.pending_writes[self.sequence] = RecordLocation(
                last, segment.end + RECORD_HEADER_SIZE, len(payload)
            )
        self._dirty.append((self.sequence, kind, payload))
        segment.end += size
        return self.sequence

    def _begin_segment(self, number: int, reserve: bool) -> None:
        """Creates a segment. ``reserve``: leave space for one more, so that ``done`` records always fit."""
        if self._dirty:
            self.sync()  # a sync covers a single segment
        self._remove_done_segments()
        if self.used_bytes + self.segment_bytes * (2 if reserve else 1) > self.total_bytes:
            raise LogFullError(
                f"the write-back log has reached its bound of {self.total_bytes} bytes; its writes have to reach their stores first"
            )
        try:
            # The segment gets its final name once its header is durable. So a segment with a damaged header is always
            # damage, and never the creation of a segment that a crash interrupted.
            if self.has_spare:
                self.has_spare = False
                self.disk.rename(SPARE_FILE, segment_file_name(number) + NEW_SUFFIX)
            else:
                self.disk.create(segment_file_name(number) + NEW_SUFFIX, self.segment_bytes)
            self.disk.write(
                segment_file_name(number) + NEW_SUFFIX,
                0,
                encode_segment_header(number, self.epoch, self.synced),
            )
            self.disk.sync(segment_file_name(number) + NEW_SUFFIX)
            self.disk.rename(segment_file_name(number) + NEW_SUFFIX, segment_file_name(number))
            self.disk.sync_directory()
        except OSError as error:
            self._segments[number] = _Segment(number, self.epoch, self.segment_bytes)
            self._last_segment_ended = True
            raise LogFullError(f"no new segment could be created: {error.strerror or error}") from error
        self._segments[number] = _Segment(number, self.epoch)
        self._last_segment_ended = False

    @property
    def needs_spare(self) -> bool:
        """Whether the last segment is more than half full and no spare exists for the next one."""
        last = max(self._segments, default=None)
        return not self.has_spare and (last is None or self._segments[last].end * 2 > self.segment_bytes)

    def create_spare(self) -> None:
        """Allocates the blocks of the next segment. Slow; the only method that may run in another thread meanwhile."""
        try:
            self.disk.create(SPARE_FILE, self.segment_bytes)
        except OSError as error:
            self._on_warning(f"the next segment can't be preallocated: {error.strerror or error}")
        else:
            self.has_spare = True

    def sync(self) -> int:
        """Makes all appended records durable, and returns the last durable sequence number.

        Raises:
            DurabilityUnknownError: The sync failed; the records may or may not survive a crash.
        """
        if not self._dirty:
            return self.synced
        last = max(self._segments)
        dirty, self._dirty = self._dirty, []
        try:
            self.disk.sync(segment_file_name(last))
        except OSError as error:
            # The sync is not repeated: the system may have dropped the data and would report success. The cost is that
            # the rest of this segment stays unused, and that clients are told that their writes may be lost.
            self._last_segment_ended = True
            self.failed_sequences.update(sequence for sequence, _, _ in dirty)
            for sequence, kind, _ in dirty:
                if kind is RecordKind.WRITE:
                    self._forget_write(sequence)
            raise DurabilityUnknownError(
                f"{len(dirty)} records may not be durable, because a sync failed: {error.strerror or error}"
            ) from error
        self.synced = dirty[-1][0]
        return self.synced

    def mark_done(self, sequences: list[int]) -> None:
        """Records that writes have reached their stores.

        The record is durable after the next sync; after a crash before that, the writes are recovered as pending.
        """
        for each in sequences:
            self._forget_write(each)
        if sequences:
            self._remove_done_segments()
            self.append(b"".join(SEQUENCE.pack(each) for each in sequences), RecordKind.DONE)

    def read_payload(self, sequence: int) -> bytes:
        """Returns the payload of a pending write.

        Raises:
            LogError: The record is damaged.
            KeyError: The write is done.
        """
        location = self.pending_writes[sequence]
        segment = self._segments[location.segment]
        reader = SegmentReader(self.disk, segment_file_name(location.segment))
        record = reader.record_at(location.offset - RECORD_HEADER_SIZE, location.segment, segment.epoch)
        if record is None or record.sequence != sequence:
            raise LogError(
                f"record {sequence} can't be read: it is damaged in {segment_file_name(location.segment)}, byte {location.offset}"
            )
        return record.payload

    def writes(self) -> Iterator[tuple[int, bytes]]:
        """Yields the sequence number and payload of each pending write, in order."""
        for sequence in sorted(self.pending_writes):
            yield sequence, self.read_payload(sequence)

    def close(self) -> None:
        """Appends a record that marks the log as closed, syncs all records and closes the disk."""
        self.append(b"", RecordKind.CLOSED)
        self.sync()
        self.disk.close()
