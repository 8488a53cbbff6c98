"""A source of endpoint lists: a file in the format of the list service's answer, watched for changes."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import anyio
import anyio.to_thread

from winchdyke.discovery.errors import EndpointListError
from winchdyke.discovery.list_protocol import ListParser, ReceivedList
from winchdyke.discovery.sources import MAX_LIST_BYTES, OnFailure, OnList

CHECK_INTERVAL_SECONDS = 0.5


class FileSource:
    """Watches a file; a partially written file is a failure."""

    name = "file"

    def __init__(self, path: Path, clock: Callable[[], float]) -> None:
        self._path = path
        self._clock = clock
        self._parser = ListParser()
        self._read_version: tuple[int, int, int] | None = None

    def request_poll(self) -> None:
        """Does nothing: the file is checked at fixed intervals."""

    async def run(self, on_list: OnList, on_failure: OnFailure) -> None:
        """Watches until cancelled; of consecutive failures only the first is reported."""
        failed = False
        while True:
            try:
                received = await self._read_if_changed()
                if received is not None:
                    failed = False
                    await on_list(self.name, received)
            except (OSError, EndpointListError) as error:
                self._read_version = None
                if not failed:
                    failed = True
                    text = error.strerror if isinstance(error, OSError) else str(error)
                    await on_failure(self.name, f"{self._path}: {text}")
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def _read_if_changed(self) -> ReceivedList | None:
        status = self._path.stat()
        version = (status.st_mtime_ns, status.st_ino, status.st_size)
        if version == self._read_version:
            return None
        data = await anyio.to_thread.run_sync(self._path.read_bytes)
        if len(data) > MAX_LIST_BYTES:
            raise EndpointListError(f"the list is larger than {MAX_LIST_BYTES} bytes")
        received = self._parser.parse(data, self._clock(), time.time() * 1000)
        self._read_version = version
        return received
