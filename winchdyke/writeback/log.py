"""The log: records in preallocated segments, found again after any crash in one pass.

A segment is a file ``NNNNNNNNNNNNNNNN.log`` (its number), of a fixed size, zeros until written. All numbers are little-endian.

    head, 40 bytes    WDWRITES, version (2), zeros (2), epoch (4), number (8), base: the last sequence synced before (8),
                      xxh3-64 of those 32 bytes
    records, each at a multiple of 8:
        4 bytes   length of the payload
        1 byte    kind: 1 write, 2 done, 3 closed, 4 out (a write is about to be sent: its sequence, what its store held)
        3 bytes   zeros
        8 bytes   sequence, one more than the record's before it
        8 bytes   the sequence up to which all was synced when this one was written
        8 bytes   xxh3-64 of the segment's number and epoch, the 24 bytes above and the payload
        payload, padded with zeros to a multiple of 8

*The crash argument.* A record counts only with its checksum, which is over the segment's own number too, so that nothing left
from an earlier use of the blocks passes for one. Bytes of a segment are written once, in order, and a record is acknowledged only
after a sync of its segment that returned. So after a crash all acknowledged records are whole, and what follows the first record
that is not is what no sync ever covered: *torn*. A whole record after it whose ``synced`` reaches it shows that it is *corrupt*
instead: it was acknowledged, and is reported; reading goes on behind it. Damage to the very last batch, with nothing whole after
it, can't be told from a torn end; it is reported as what it is: an end that is not whole.

*A sync that failed* is fatal for its segment: nothing more is written there, what was not acknowledged before is not
acknowledged, and the log goes on in a new segment. The old one is never synced again and believed.

*Space.* A segment goes once all its writes are done, the oldest first, each removal synced before the next: so no gap is ever
left between numbers, and ``done`` records, which stand in the same or a later segment, outlive what they speak of. One segment is
kept for them, so that what is done can be said in a log that is full.
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
MAX_PAYLOAD_BYTES = 64 << 20  # bytes of one payload
READ_CHUNK_BYTES = 1 << 20  # bytes that a pass reads at once
SEQUENCE = struct.Struct("<Q")


class RecordKind(IntEnum):
    """What a record says."""

    WRITE = 1
    DONE = 2
    CLOSED = 3
    SENDING = 4


class LogError(Exception):
    """The log can't be used; says what is wrong and what to do."""


class LogFullError(LogError):
    """There is no room for the record; nothing was written."""


class DurabilityUnknownError(LogError):
    """The record may or may not be kept: it is not acknowledged."""


@dataclass(frozen=True, slots=True)
class RecordLocation:
    """Where a write's payload lies."""

    segment: int
    offset: int
    length: int


@dataclass
class RecoveryReport:
    """What a pass over the log found. ``torn`` and ``corrupt`` say it in words, segment and place first."""

    records: int = 0
    torn: list[str] = field(default_factory=list)
    corrupt: list[str] = field(default_factory=list)
    bytes: int = 0


@dataclass
class _Segment:
    number: int
    epoch: int
    end: int = SEGMENT_HEADER_SIZE  # where the next record goes
    open: set[int] = field(default_factory=set)  # its writes that are not done


def segment_file_name(number: int) -> str:
    """The file of a segment."""
    return f"{number:016d}{SEGMENT_SUFFIX}"


def padded_length(length: int) -> int:
    """A length rounded up to a multiple of 8."""
    return -(-length // 8) * 8


def encode_segment_header(number: int, epoch: int, base: int) -> bytes:
    """A segment's first bytes."""
    plain = SEGMENT_HEADER.pack(MAGIC, VERSION, epoch, number, base)
    return plain + CHECKSUM.pack(xxhash.xxh3_64_intdigest(plain))


def encode_record(
    number: int, epoch: int, kind: RecordKind, sequence: int, synced: int, payload: bytes
) -> bytes:
    """A record as it stands in a segment."""
    plain = RECORD_HEADER.pack(len(payload), kind, sequence, synced)
    return b"".join(
        (
            plain,
            CHECKSUM.pack(_check(number, epoch, plain, payload)),
            payload,
            bytes(padded_length(len(payload)) - len(payload)),
        )
    )


def _check(number: int, epoch: int, plain: bytes, payload: bytes) -> int:
    made = xxhash.xxh3_64(struct.pack("<QI", number, epoch))
    made.update(plain)
    made.update(payload)
    return made.intdigest()


@dataclass(frozen=True, slots=True)
class ScannedRecord:
    """One record that a pass read."""

    kind: RecordKind
    sequence: int
    synced: int
    offset: int  # of the record
    payload: bytes

    @property
    def size(self) -> int:
        """Bytes that it takes up."""
        return RECORD_HEADER_SIZE + padded_length(len(self.payload))


class SegmentReader:
    """One pass over a segment, with at most one record and ``READ_CHUNK_BYTES`` bytes in memory."""

    def __init__(self, disk: Disk, name: str) -> None:
        self._disk, self._name = disk, name
        self.size = disk.size(name)
        self._from, self._data = 0, b""

    def read(self, at: int, length: int) -> bytes:
        """Bytes of the segment."""
        if not self._from <= at or at + length > self._from + len(self._data):
            self._from, self._data = at, self._disk.read(self._name, at, max(READ_CHUNK_BYTES, length))
        return self._data[at - self._from : at - self._from + length]

    def header(self) -> tuple[int, int, int] | None:
        """Number, epoch and base; None where the head is not whole. LogError for a version that is not known here."""
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
                f"{self._name} has version {version} of the log's format; this program reads {VERSION}: use the one that wrote it"
            )
        return number, epoch, base

    def record_at(self, at: int, number: int, epoch: int) -> ScannedRecord | None:
        """The record at a place; None where there is no whole one."""
        if at + RECORD_HEADER_SIZE > self.size:
            return None
        data = self.read(at, RECORD_HEADER_SIZE)
        if len(data) < RECORD_HEADER_SIZE:
            return None
        length, kind, sequence, synced = RECORD_HEADER.unpack_from(data)
        if (
            not sequence
            or length > MAX_PAYLOAD_BYTES
            or at + RECORD_HEADER_SIZE + length > self.size
            or kind not in (1, 2, 3, 4)
        ):
            return None
        plain, check = data[: RECORD_HEADER.size], CHECKSUM.unpack_from(data, RECORD_HEADER.size)[0]
        payload = self.read(at + RECORD_HEADER_SIZE, length)
        if len(payload) < length or _check(number, epoch, plain, payload) != check:
            return None
        return ScannedRecord(RecordKind(kind), sequence, synced, at, payload)

    def only_zeros(self, at: int) -> bool:
        """Whether nothing but zeros follows."""
        while at < self.size:
            piece = self.read(at, min(READ_CHUNK_BYTES, self.size - at))
            if not piece:
                return True
            if piece.count(0) != len(piece):
                return False
            at += len(piece)
        return True

    def find_record(self, at: int, number: int, epoch: int) -> ScannedRecord | None:
        """The first whole record from a place on."""
        at = padded_length(at)
        while at + RECORD_HEADER_SIZE <= self.size:
            found = self.record_at(at, number, epoch)
            if found is not None:
                return found
            at += 8
        return None


class Log:
    """The log of one gateway. Not for several threads at once: :mod:`winchdyke.writeback.commit` owns it.

    ``segment_bytes`` is the size of a segment, ``total_bytes`` bounds all. ``heard`` is told what a pass could not read.
    """

    def __init__(
        self,
        disk: Disk,
        segment_bytes: int = 16 << 20,
        total_bytes: int = 1 << 30,
        heard: Callable[[str], None] = lambda _: None,
    ) -> None:
        if segment_bytes < 4096 or total_bytes < 3 * segment_bytes:
            raise LogError("a segment has 4096 bytes at least, and the log room for three of them")
        self.disk, self.segment_bytes, self.total_bytes = disk, padded_length(segment_bytes), total_bytes
        self._heard = heard
        self.pending_writes: dict[int, RecordLocation] = {}  # writes that are not done, in order
        self.sending_notes: dict[
            int, bytes
        ] = {}  # writes that may have been sent, and what was noted of that
        self.failed_sequences: set[int] = set()  # sequences of this process whose sync failed
        self.recovery = RecoveryReport()
        self.sequence = self.synced = 0
        self._segments: dict[int, _Segment] = {}
        self._dirty: list[
            tuple[int, RecordKind, bytes]
        ] = []  # appended since the last sync: sequence, kind, payload
        self.has_spare = False  # whether a file with the next segment's blocks is there, beyond total_bytes
        self._unsynced_names = False  # whether a removal is not yet known to be on the disk
        self._ended = True  # whether the last segment takes no more
        self.epoch = 0
        self._recover()

    # Finding what is there

    def _recover(self) -> None:
        numbers = sorted(
            int(name.removesuffix(SEGMENT_SUFFIX))
            for name in self.disk.file_names()
            if name.endswith(SEGMENT_SUFFIX) and name.removesuffix(SEGMENT_SUFFIX).isdigit()
        )
        for name in self.disk.file_names():
            if name.endswith(NEW_SUFFIX):
                self.disk.remove(name)  # nothing was acknowledged in it
        done: set[int] = set()
        for number in numbers:
            self._pass(number, done)
        for sequence in done:
            self._finish(sequence)
        self.epoch += 1  # each process writes segments of its own epoch
        if numbers and self._segments[numbers[-1]].epoch:
            # Guards against what was found whole and never synced, and is gone after the next crash.
            try:
                self.disk.sync(segment_file_name(numbers[-1]))
                self.synced = self.sequence
            except OSError as error:
                self._heard(f"{segment_file_name(numbers[-1])} can't be synced: {error.strerror or error}")
        # What was not done stays where it is; new records go into a new segment, so that a torn end is never written behind.
        self._sweep()

    def _pass(self, number: int, done: set[int]) -> None:
        name, found = segment_file_name(number), self.recovery
        reader = SegmentReader(self.disk, name)
        head = reader.header()
        if head is None:
            found.corrupt.append(f"{name}: its head is broken; its records can't be read")
            self._segments[number] = _Segment(number, 0, reader.size)
            return
        self.epoch = max(self.epoch, head[1])
        if head[2] > self.sequence:
            if number > 1 and not found.records and not found.corrupt:
                self.sequence = head[2]  # what came before is done and gone
            else:
                text = f"records after {self.sequence} up to {head[2]} were acknowledged and can't be read"
                found.corrupt.append(f"{name}: {text}")
                self.sequence = head[2]
        segment = self._segments[number] = _Segment(number, head[1])
        at = SEGMENT_HEADER_SIZE
        while at + RECORD_HEADER_SIZE <= reader.size:
            read = reader.record_at(at, number, head[1])
            if read is None:
                if reader.only_zeros(at):
                    break
                after = reader.find_record(at + 8, number, head[1])
                if after is None:
                    found.torn.append(f"{name}, byte {at}: the end is not whole")
                    break
                if after.synced <= self.sequence:
                    found.torn.append(
                        f"{name}, byte {at}: {after.offset - at} bytes before record {after.sequence}"
                    )
                read = after
            self._take(read, segment, done)
            at = read.offset + read.size
        segment.end = at
        found.bytes += at

    def _take(self, read: ScannedRecord, segment: _Segment, done: set[int]) -> None:
        if read.synced > self.sequence:
            text = f"records after {self.sequence} up to {read.synced} were acknowledged and can't be read"
            self.recovery.corrupt.append(f"{segment_file_name(segment.number)}, byte {read.offset}: {text}")
        self.recovery.records += 1
        self.synced = max(self.synced, read.synced)
        self.sequence = max(self.sequence, read.sequence)
        if read.kind is RecordKind.WRITE:
            segment.open.add(read.sequence)
            self.pending_writes[read.sequence] = RecordLocation(
                segment.number, read.offset + RECORD_HEADER_SIZE, len(read.payload)
            )
        elif read.kind is RecordKind.DONE:
            done.update(each[0] for each in SEQUENCE.iter_unpack(read.payload))
        elif read.kind is RecordKind.SENDING:
            self.sending_notes[SEQUENCE.unpack_from(read.payload)[0]] = read.payload[SEQUENCE.size :]

    def _finish(self, sequence: int) -> None:
        self.sending_notes.pop(sequence, None)
        place = self.pending_writes.pop(sequence, None)
        if place is not None:
            self._segments[place.segment].open.discard(sequence)

    def _sweep(self) -> None:
        """Remove segments that hold nothing to be done, the oldest first; the last one stays, for its number."""
        for number in sorted(self._segments)[:-1]:
            if self._segments[number].open:
                return
            try:
                if self._unsynced_names:
                    self.disk.sync_directory()
                    self._unsynced_names = False
                if (
                    segment_file_name(number) in self.disk.file_names()
                ):  # one that could not be made may not be there
                    self.disk.remove(segment_file_name(number))
                del self._segments[number]
                self._unsynced_names = True
                self.disk.sync_directory()
                self._unsynced_names = False
            except OSError as error:
                self._heard(f"{segment_file_name(number)} can't be removed: {error.strerror or error}")
                return

    # Writing

    @property
    def used_bytes(self) -> int:
        """Bytes that the log's segments take up."""
        return len(self._segments) * self.segment_bytes

    def free_bytes(self) -> int:
        """Bytes that may surely be appended still, a little less than there is."""
        last = max(self._segments, default=None)
        here = 0 if self._ended or last is None else self.segment_bytes - self._segments[last].end
        more = max(0, (self.total_bytes - self.used_bytes) // self.segment_bytes - 1)
        return here + more * (self.segment_bytes - SEGMENT_HEADER_SIZE)

    def append(self, payload: bytes, kind: RecordKind = RecordKind.WRITE) -> int:
        """Put a record behind the others, not yet synced; its sequence.

        LogFullError where there is no room for it: nothing is written.
        """
        size = RECORD_HEADER_SIZE + padded_length(len(payload))
        if size > self.segment_bytes - SEGMENT_HEADER_SIZE or len(payload) > MAX_PAYLOAD_BYTES:
            raise LogFullError(
                f"a record of {len(payload)} bytes does not fit into a segment of {self.segment_bytes}"
            )
        last = max(self._segments, default=0)
        if self._ended or self._segments[last].end + size > self.segment_bytes:
            self._begin(last + 1, spare=kind is RecordKind.WRITE)
            last += 1
        segment = self._segments[last]
        self.sequence += 1
        data = encode_record(last, segment.epoch, kind, self.sequence, self.synced, payload)
        try:
            self.disk.write(segment_file_name(last), segment.end, data)
        except OSError as error:
            self._ended = True
            raise DurabilityUnknownError(
                f"record {self.sequence} could not be written: {error.strerror or error}"
            ) from error
        if kind is RecordKind.WRITE:
            segment.open.add(self.sequence)
            self.pending_writes[self.sequence] = RecordLocation(
                last, segment.end + RECORD_HEADER_SIZE, len(payload)
            )
        self._dirty.append((self.sequence, kind, payload))
        segment.end += size
        return self.sequence

    def _begin(self, number: int, spare: bool) -> None:
        """A new segment; ``spare``: one more has to be left, so that what is done can always be said."""
        if self._dirty:
            self.sync()  # each sync is of one segment
        self._sweep()
        if self.used_bytes + self.segment_bytes * (2 if spare else 1) > self.total_bytes:
            raise LogFullError(
                f"the log has its {self.total_bytes} bytes; what is in it has to reach the stores first"
            )
        try:
            # Under another name until its head is safe: a segment with a broken head is damage then, and never a start cut off.
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
            self._ended = True
            raise LogFullError(f"no new segment could be made: {error.strerror or error}") from error
        self._segments[number] = _Segment(number, self.epoch)
        self._ended = False

    @property
    def needs_spare(self) -> bool:
        """Whether the next segment is near, and nothing is prepared for it."""
        last = max(self._segments, default=None)
        return not self.has_spare and (last is None or self._segments[last].end * 2 > self.segment_bytes)

    def create_spare(self) -> None:
        """Set the blocks of the next segment aside. Slow; the one thing here that another thread may do meanwhile."""
        try:
            self.disk.create(SPARE_FILE, self.segment_bytes)
        except OSError as error:
            self._heard(f"no blocks can be set aside: {error.strerror or error}")
        else:
            self.has_spare = True

    def sync(self) -> int:
        """Bring all that was appended to the disk; the last sequence that is safe now.

        DurabilityUnknownError where the disk did not say so.
        """
        if not self._dirty:
            return self.synced
        last = max(self._segments)
        dirty, self._dirty = self._dirty, []
        try:
            self.disk.sync(segment_file_name(last))
        except OSError as error:
            # Guards against a sync that failed and is tried again: the system may have dropped the data and say yes. It hurts by a
            # segment given up, and by clients who are told that nothing is promised.
            self._ended = True
            self.failed_sequences.update(sequence for sequence, _, _ in dirty)
            for sequence, kind, _ in dirty:
                if kind is RecordKind.WRITE:
                    self._finish(sequence)
            raise DurabilityUnknownError(
                f"{len(dirty)} records may not be on the disk: {error.strerror or error}"
            ) from error
        self.synced = dirty[-1][0]
        return self.synced

    def mark_done(self, sequences: list[int]) -> None:
        """Writes that have reached their stores. It counts once the next sync has returned; until then they may be found again."""
        for each in sequences:
            self._finish(each)
        if sequences:
            self._sweep()
            self.append(b"".join(SEQUENCE.pack(each) for each in sequences), RecordKind.DONE)

    def read_payload(self, sequence: int) -> bytes:
        """What a write holds. LogError where it is damaged now, KeyError where it is done."""
        place = self.pending_writes[sequence]
        segment = self._segments[place.segment]
        reader = SegmentReader(self.disk, segment_file_name(place.segment))
        read = reader.record_at(place.offset - RECORD_HEADER_SIZE, place.segment, segment.epoch)
        if read is None or read.sequence != sequence:
            raise LogError(
                f"record {sequence} can't be read any more: {segment_file_name(place.segment)}, byte {place.offset}"
            )
        return read.payload

    def writes(self) -> Iterator[tuple[int, bytes]]:
        """All writes that are not done, in order."""
        for sequence in sorted(self.pending_writes):
            yield sequence, self.read_payload(sequence)

    def close(self) -> None:
        """End in good order: all is synced, and a later pass knows that nothing may be missing."""
        self.append(b"", RecordKind.CLOSED)
        self.sync()
        self.disk.close()
