"""What stand-ins saw: one flat list of exchanges, in order of time, on the host's monotonic clock (milliseconds)."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

Entry = dict[str, Any]


def clock() -> float:
    """Milliseconds, the same clock in every process of this host."""
    return time.monotonic() * 1000


class Record:
    """A list of what was seen. ``what`` names the kind of entry, ``who`` the stand-in that saw it."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []

    def note(self, who: str, what: str, **more: Any) -> Entry:
        """Write down something seen now."""
        entry = {"t": clock(), "who": who, "what": what, **more}
        self.entries.append(entry)
        return entry

    def save(self, path: Path) -> None:
        """Write it as JSON lines."""
        with path.open("w", encoding="utf-8") as file:
            for entry in self.entries:
                file.write(json.dumps(entry, separators=(",", ":")) + "\n")
