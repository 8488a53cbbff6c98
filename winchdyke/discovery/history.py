"""The history of endpoint statuses: one line of JSON per change, in two files of bounded size."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from winchdyke.discovery.errors import EndpointCacheError
from winchdyke.discovery.records import DiscoveryStatus

CURRENT_FILE = "history.log"
PREVIOUS_FILE = "history.log.1"
MAX_FILE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class StatusChange:
    """A change of an endpoint's status."""

    unix_ms: int
    endpoint: str
    status: DiscoveryStatus
    reason: str

    def to_json(self) -> str:
        """Returns the stored line without its line break."""
        stored = {
            "unix_ms": self.unix_ms,
            "node": self.endpoint,
            "state": self.status.value,
            "why": self.reason,
        }
        return json.dumps(stored)


def append(directory: Path, changes: Iterable[StatusChange]) -> None:
    """Appends changes; starts a new file if the current one exceeds its size limit. Raises OSError."""
    current = directory / CURRENT_FILE
    if current.exists() and current.stat().st_size > MAX_FILE_BYTES:
        current.replace(directory / PREVIOUS_FILE)
    with current.open("a", encoding="utf-8") as file:
        file.write("".join(change.to_json() + "\n" for change in changes))


def read(directory: Path) -> list[dict[str, Any]]:
    """Returns all stored changes, the oldest first, with their stored keys.

    Raises:
        EndpointCacheError: A file can't be read.
    """
    entries: list[dict[str, Any]] = []
    for name in (PREVIOUS_FILE, CURRENT_FILE):
        path = directory / name
        try:
            lines = path.read_text(encoding="utf-8").splitlines()
        except FileNotFoundError:
            continue
        except OSError as error:
            raise EndpointCacheError(f"{path} can't be read: {error.strerror}") from error
        for line in lines:
            try:
                entries.append(json.loads(line))
            except ValueError:
                continue  # a crash may leave a partial line
    return entries
