"""Retains request bodies so that they can be resent: small bodies in memory, larger ones in a temporary file.

All retained bodies share one limit, which is checked before a body is read: once it is reached, a request is rejected
before its client is told to send the body (``100 Continue``).
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import AsyncGenerator, Awaitable, Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import IO

import anyio.to_thread

from winchdyke.http1 import Bytes

FILE_BATCH_BYTES = 1 << 20  # size of one write to a file, done by a thread
FILE_WRITERS = ThreadPoolExecutor(4, thread_name_prefix="winchdyke-body")


def _write_all(file: IO[bytes], chunks: list[Bytes]) -> None:
    size = sum(len(chunk) for chunk in chunks)
    written = os.writev(file.fileno(), chunks)
    if written == size:
        return
    # A short write means that the disk is full; one of the next writes then raises OSError.
    rest: Bytes = b"".join(chunks)[written:]
    while rest:
        rest = rest[os.write(file.fileno(), rest) :]


class BodyStoreFullError(Exception):
    """No capacity is left for bodies: their shared limit is reached, or the disk is full."""


class BodyStore:
    """The shared limit of all retained bodies.

    Args:
        max_bytes: Bytes that may be retained in total.
        memory_bytes_per_body: Bytes of one body that are kept in memory.
    """

    def __init__(self, max_bytes: int, memory_bytes_per_body: int) -> None:
        self.max_bytes = max_bytes
        self.memory_bytes_per_body = memory_bytes_per_body
        self.used_bytes = 0

    def reserve(self, size: int) -> None:
        """Reserve bytes.

        Raises:
            BodyStoreFullError: The limit would be exceeded; nothing is reserved.
        """
        if self.used_bytes + size > self.max_bytes:
            raise BodyStoreFullError
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.used_bytes -= size


class ReplayBody:
    """A request's body, read from the client once, and replayable from its start any number of times.

    Args:
        read: Returns the next bytes from the client; empty at the end.
        length: The body's length in bytes; None: unknown; capacity is reserved as it arrives.
        store: The shared limit that it counts against.
        replayable: Whether it is retained; if not, it can be read only once.

    Raises:
        BodyStoreFullError: No capacity is left for a body of this length.
    """

    def __init__(
        self,
        read: Callable[[], Awaitable[Bytes]],
        length: int | None,
        store: BodyStore,
        replayable: bool = True,
    ) -> None:
        self._read = read
        self.length = length
        self._store = store
        self._replayable = replayable
        self._reserved_bytes = length or 0 if replayable else 0
        store.reserve(self._reserved_bytes)
        self.received_bytes = 0
        self.complete = length == 0
        self._memory = bytearray()
        self._file: IO[bytes] | None = None
        self._unwritten_chunks: list[Bytes] = []
        self._unwritten_bytes = 0
        # At most one batch is written while the next one is received.
        self._write_in_progress: Future[None] | None = None

    async def _read_more(self) -> Bytes:
        data = await self._read()
        if not data:
            self.complete = True
            return b""
        self.received_bytes += len(data)
        if self._replayable:
            self._retain(data)
        if self._file is not None and self._unwritten_bytes >= FILE_BATCH_BYTES:
            await self._wait_for_write()
            self._start_write(self._file)
        return data

    def _retain(self, data: Bytes) -> None:
        if self.received_bytes > self._reserved_bytes:
            self._store.reserve(self.received_bytes - self._reserved_bytes)
            self._reserved_bytes = self.received_bytes
        if self._file is None:
            if self.received_bytes <= self._store.memory_bytes_per_body:
                self._memory += data
                return
            self._file = _open_temporary_file()
        self._unwritten_chunks.append(data)
        self._unwritten_bytes += len(data)

    def _start_write(self, file: IO[bytes]) -> None:
        self._write_in_progress = FILE_WRITERS.submit(_write_all, file, self._unwritten_chunks)
        self._unwritten_chunks = []
        self._unwritten_bytes = 0

    async def _wait_for_write(self) -> None:
        writing = self._write_in_progress
        self._write_in_progress = None
        if writing is None:
            return
        try:
            if writing.done():
                writing.result()
            else:
                await anyio.to_thread.run_sync(writing.result)
        except OSError as error:
            raise BodyStoreFullError from error

    async def chunks(self) -> AsyncGenerator[Bytes, None]:
        """Yield the body from its start: first its retained part, then the rest as it arrives.

        Raises:
            BodyStoreFullError: No capacity is left, or the body is not replayable and was read before.
        """
        if self.received_bytes and not self._replayable:
            raise BodyStoreFullError
        if self._memory:
            yield bytes(self._memory)
        in_memory_bytes = len(self._memory)
        if self._file is not None and in_memory_bytes < self.received_bytes:
            await self._wait_for_write()
            if self._unwritten_chunks:
                self._start_write(self._file)
                await self._wait_for_write()
            self._file.seek(0)
            left = self.received_bytes - in_memory_bytes
            while left:
                batch = await anyio.to_thread.run_sync(self._file.read, min(FILE_BATCH_BYTES, left))
                left -= len(batch)
                yield batch
            self._file.seek(0, os.SEEK_END)
        while not self.complete:
            data = await self._read_more()
            if data:
                yield data

    @property
    def in_memory(self) -> bytes | None:
        """The complete body; None: it is incomplete or not in memory."""
        if not self.complete or self._file is not None or not self._replayable:
            return None
        return bytes(self._memory)

    def close(self) -> None:
        """Release the reserved capacity, and delete the retained data."""
        self._store.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._replayable = False
        self._memory.clear()
        self._unwritten_chunks.clear()
        file = self._file
        self._file = None
        if file is None:
            return
        if self._write_in_progress is None:
            FILE_WRITERS.submit(file.close)
        else:
            self._write_in_progress.add_done_callback(lambda _: file.close())


def _open_temporary_file() -> IO[bytes]:
    try:
        return tempfile.TemporaryFile(prefix="winchdyke-body-", buffering=0)
    except OSError as error:
        raise BodyStoreFullError from error
