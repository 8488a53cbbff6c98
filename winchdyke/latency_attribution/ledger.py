"""The ledger: accounts in append-only segments, written off the hot path, bounded on disk, readable after any crash.

A segment is a file ``NNNNNNNNNNNN.waits``: a head of 16 bytes (``WDLEDGER``, version, zeros), then records:

    2 bytes   RM
    4 bytes   length of the payload, little-endian
    8 bytes   xxh3-64 of the length and the payload
    payload   msgpack of an Account or of what was Noted (arrays, told apart by their first element)

The crash argument: a record counts only with its checksum, and nothing that was written is ever changed. After a kill at
any byte, all records before the last sync are whole; of what follows, whole records are read and the rest is told as
lost. A reader that meets a broken record looks for the next place where mark, length and checksum fit, and says how many
bytes it passed over.
"""

from __future__ import annotations

import contextlib
import os
import struct
import subprocess
import sys
import threading
import time
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import xxhash

from winchdyke.durable_files import sync_directory
from winchdyke.latency_attribution.spans import Account, Annotation, account
from winchdyke.latency_attribution.sums import Sums

MAGIC, VERSION = b"WDLEDGER", 1
HEAD = MAGIC + bytes([VERSION]) + bytes(7)
MARK = b"RM"
FRAME = struct.Struct("<2sIQ")
DECODER: msgspec.msgpack.Decoder[Account | Annotation | Sums] = msgspec.msgpack.Decoder(
    Account | Annotation | Sums
)
BATCH = 200  # accounts encoded in one go
LARGEST = 1 << 20  # bytes of one record
ENDING, SUMS_ENDING = ".waits", ".sums"
NOW = "now"  # the file with what is held at this moment


class Held(msgspec.Struct, array_like=True):
    """Requests of one class that are held for one shard now: how many, why, and the shares of those who hold them."""

    shard: int
    class_name: str
    count: int
    cause: str
    holders: list[tuple[str, str, str, float]]


class Now(msgspec.Struct, array_like=True):
    """What a gateway holds at this moment, and what its ledger could not take."""

    unix_ms: float
    gateway: str
    held: list[Held]
    dropped: int
    failed: int


class LedgerError(Exception):
    """A ledger that can't be used at all; says what is wrong."""


def framed(payload: bytes) -> bytes:
    """A record as it stands in a segment."""
    length = len(payload)
    check = xxhash.xxh3_64_intdigest(struct.pack("<I", length) + payload)
    return FRAME.pack(MARK, length, check) + payload


@dataclass
class Recovered:
    """What a reader found: how many records, and what it lost, in words."""

    records: int = 0
    lost_bytes: int = 0
    segments: int = 0
    losses: list[str] = field(default_factory=list)


def records(data: bytes, name: str, found: Recovered) -> Iterator[bytes]:
    """The payloads of a segment; what can't be read is noted in ``found``."""
    found.segments += 1
    if not HEAD.startswith(data[: len(HEAD)]) or (len(data) >= len(HEAD) and data[:8] != MAGIC):
        found.losses.append(f"{name}: the head is broken; records are looked for all the same")
    at, size = min(len(HEAD), len(data)), len(data)
    while at < size:
        payload = _record(data, at)
        if payload is not None:
            found.records += 1
            yield payload
            at += FRAME.size + len(payload)
            continue
        after = data.find(MARK, at + 1)
        while after >= 0 and _record(data, after) is None:
            after = data.find(MARK, after + 1)
        end = size if after < 0 else after
        found.lost_bytes += end - at
        what = "the end is not whole" if after < 0 else "broken"
        found.losses.append(f"{name}: {end - at} bytes at {at}: {what}")
        at = end


def _record(data: bytes, at: int) -> bytes | None:
    if at + FRAME.size > len(data):
        return None
    mark, length, check = FRAME.unpack_from(data, at)
    if mark != MARK or length > LARGEST or at + FRAME.size + length > len(data):
        return None
    payload = data[at + FRAME.size : at + FRAME.size + length]
    return payload if xxhash.xxh3_64_intdigest(struct.pack("<I", length) + payload) == check else None


def whole_records(data: bytes, at: int) -> tuple[list[bytes], int]:
    """The payloads in a piece of a segment that may begin or end within a record, and where its last whole one ends."""
    found: list[bytes] = []
    while at + FRAME.size <= len(data):
        payload = _record(data, at)
        if payload is not None:
            found.append(payload)
            at += FRAME.size + len(payload)
            continue
        mark, length, _ = FRAME.unpack_from(data, at)
        if mark == MARK and length <= LARGEST and at + FRAME.size + length > len(data):
            break  # its end is still to come
        after = data.find(MARK, at + 1)
        at = len(data) if after < 0 else after
    return found, min(at, len(data))


def segments(path: Path) -> list[Path]:
    """The files of a ledger in order; where a segment and its sums are both there the segment alone counts."""
    if not path.is_dir():
        return [path]
    whole = {each.stem: each for each in path.glob(f"*{SUMS_ENDING}")}
    whole.update({each.stem: each for each in path.glob(f"*{ENDING}")})
    if not whole:
        raise LedgerError(f"{path} holds no segment of a ledger (*{ENDING}, *{SUMS_ENDING})")
    return [whole[stem] for stem in sorted(whole)]


def entries(paths: Iterable[Path], found: Recovered | None = None) -> Iterator[Account | Sums]:
    """All that ledgers (folders of segments, or segments) hold, accounts and sums. LedgerError where there is none."""
    found = found if found is not None else Recovered()
    for path in paths:
        for segment in segments(path):
            try:
                data = segment.read_bytes()
            except OSError as error:
                raise LedgerError(f"{segment} can't be read: {error.strerror}") from error
            for payload in records(data, segment.name, found):
                made = decoded(payload, segment.name, found)
                if made is not None:
                    yield made


def decoded(payload: bytes, name: str, found: Recovered) -> Account | Sums | None:
    """What a record says; None, and noted, where it is of a form that is not known here."""
    try:
        made = DECODER.decode(payload)
    except msgspec.DecodeError as error:
        found.records -= 1
        found.losses.append(f"{name}: a record of another form: {error}")
        return None
    return account(made) if isinstance(made, Annotation) else made


def read(paths: Iterable[Path], found: Recovered | None = None) -> Iterator[Account]:
    """The accounts in ledgers; what is left of those that were summed up is passed over."""
    return (made for made in entries(paths, found) if isinstance(made, Account))


@dataclass(frozen=True)
class Bounds:
    """Bounds of a ledger: bytes and seconds of a segment, bytes in all, accounts that may wait to be written."""

    segment_bytes: int = 16 << 20
    segment_s: float = 600.0
    total_bytes: int = 1 << 30
    waiting: int = 20_000
    sync_s: float = 0.2
    keep_s: float = 7 * 86400.0  # after which accounts are summed up by the minute


class Writer:
    """Writes accounts in a thread of its own. ``put`` never waits: what there is no room for is counted in ``dropped``."""

    def __init__(self, folder: Path, bounds: Bounds = Bounds(), sync: object = os.fsync) -> None:
        self.folder, self.bounds, self._sync = folder, bounds, sync
        self.dropped = self.written = self.synced = self.failed = 0
        self.trouble = ""
        self._items: deque[Account | Annotation] = deque()
        self._stop = threading.Event()
        self._encoder = msgspec.msgpack.Encoder()
        self._file: int | None = None
        self._size, self._began, self._number = 0, 0.0, 0
        self._now: Now | None = None
        self._compactor: subprocess.Popen[bytes] | None = None
        folder.mkdir(parents=True, exist_ok=True)
        for path in folder.glob(f"*{ENDING}"):
            if path.stem.isdigit():
                self._number = max(self._number, int(path.stem))
        self._thread = threading.Thread(target=self._run, name="winchdyke-ledger", daemon=True)
        self._thread.start()

    def put(self, made: Account | Annotation) -> None:
        """Hand over an account."""
        if len(self._items) >= self.bounds.waiting:
            self.dropped += 1
        else:
            self._items.append(made)

    def tell(self, gateway: str, held: list[Held]) -> None:
        """What is held now; it is written at the next look."""
        self._now = Now(time.time() * 1000, gateway, held, self.dropped, self.failed)

    def _write_now(self) -> None:
        now, self._now = self._now, None
        if now is None:
            return
        beside = self.folder / f"{NOW}.new"
        try:
            beside.write_bytes(self._encoder.encode(now))
            beside.replace(self.folder / NOW)
        except OSError as error:
            self.trouble = error.strerror or str(error)

    def close(self, seconds: float = 5.0) -> None:
        """Write what waits, sync and end; at the most so long."""
        self._stop.set()
        self._thread.join(seconds)
        if self._compactor is not None:
            if self._compactor.poll() is None:
                self._compactor.terminate()
            self._compactor.wait(seconds)

    def _run(self) -> None:
        # It looks now and then and is never woken: a thread that wakes for each account takes the interpreter from
        # the event loop, and half of its speed.
        while True:
            over = self._stop.wait(self.bounds.sync_s)
            batch: list[Account | Annotation] = []
            while self._items:
                batch.append(self._items.popleft())
                if len(batch) >= BATCH:
                    self._write(batch)
                    batch = []
            if batch:
                self._write(batch)
            self._flush()
            self._write_now()
            if over and not self._items:
                if self._file is not None:
                    os.close(self._file)
                return

    def _write(self, batch: list[Account | Annotation]) -> None:
        data = b"".join(framed(self._encoder.encode(each)) for each in batch)
        try:
            if self._file is None or self._size >= self.bounds.segment_bytes or self._old():
                self._rotate()
            assert self._file is not None
            view = memoryview(data)
            while view:
                done = os.write(self._file, view)
                view = view[done:]
                self._size += done
            self.written += len(batch)
        except OSError as error:
            # Guards against a full or broken disk: the gateway serves on, and what is lost is counted.
            self.trouble = error.strerror or str(error)
            self.failed += len(batch)
            self._abandon()

    def _old(self) -> bool:
        return time.monotonic() - self._began >= self.bounds.segment_s

    def _abandon(self) -> None:
        """Leave a segment whose end may not be whole; the next account begins another."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _rotate(self) -> None:
        if self._file is not None:
            self._flush()
            os.close(self._file)
            self._file = None
        self._number += 1
        path = self.folder / f"{self._number:012}{ENDING}"
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND, 0o640)
        os.write(self._file, HEAD)
        sync_directory(self.folder)
        self._size, self._began = len(HEAD), time.monotonic()
        self._compact()
        self._bound()

    def _compact(self) -> None:
        """Let a process of its own sum up old segments: decoding them here would take the event loop's time."""
        from winchdyke.latency_attribution.compact import due

        if self._compactor is not None and self._compactor.poll() is None:
            return
        if due(self.folder, self.bounds.total_bytes, self.bounds.keep_s):
            words = [
                str(self.folder),
                "--most",
                str(self.bounds.total_bytes),
                "--older",
                str(self.bounds.keep_s),
            ]
            command = [sys.executable, "-m", "winchdyke", "waits", "compact", "--gently", *words]
            quiet = subprocess.DEVNULL
            self._compactor = subprocess.Popen(command, stdin=quiet, stdout=quiet, stderr=quiet)

    def _bound(self) -> None:
        """Delete the oldest files where all together are over the bound: sums first, then segments not yet summed up."""
        files = [
            *sorted(self.folder.glob(f"*{SUMS_ENDING}")),
            *sorted(self.folder.glob(f"*{ENDING}"))[:-1],
        ]
        sizes: dict[Path, int] = {}
        for path in files:
            with contextlib.suppress(FileNotFoundError):  # summed up just now
                sizes[path] = path.stat().st_size
        whole = sum(sizes.values())
        for path, size in sizes.items():
            if whole + self.bounds.segment_bytes <= self.bounds.total_bytes:
                return
            whole -= size
            path.unlink(missing_ok=True)

    def _flush(self) -> None:
        if self._file is None or self.synced == self.written:
            return
        written = self.written
        try:
            self._sync(self._file)  # type: ignore[operator]
            self.synced = written
        except OSError as error:
            self.trouble = error.strerror or str(error)
            self._abandon()
