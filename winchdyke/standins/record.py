"""The record of what emulators observe, as entries in order of time (monotonic clock, milliseconds)."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

Entry = dict[str, Any]


def clock() -> float:
    """Return the monotonic time in milliseconds; all processes of a host share this clock."""
    return time.monotonic() * 1000


class Record:
    """Entries with a time (``t``), a kind (``what``) and the emulator that added them (``who``)."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []

    def note(self, who: str, what: str, **more: Any) -> Entry:
        """Add an entry at the current time, and return it."""
        entry = {"t": clock(), "who": who, "what": what, **more}
        self.entries.append(entry)
        return entry

    def save(self, path: Path) -> None:
        """Write the entries as JSON lines."""
        with path.open("w", encoding="utf-8") as file:
            for entry in self.entries:
                file.write(json.dumps(entry, separators=(",", ":")) + "\n")
