"""A trail as a gateway finds it at its start: whole, or damaged, and then put aside and begun anew from what is served.

Beside the trail lies ``served.json``, written whole, synced and renamed after each version that is applied for good: its number, its
text, and their SHA-256. A trail whose chain does not fit is renamed, never deleted; its successor begins with that version, and says
why. So a damaged file is no reason to refuse a start, nor to serve what nobody applied.
"""

from __future__ import annotations

import hashlib
import os
import time
from pathlib import Path

import msgspec

from winchdyke.config_rollout.change_log import FILE, ChangeLog, ChangeLogError
from winchdyke.config_rollout.rollout_state import Step
from winchdyke.durable_files import replace_file, sync_directory

SERVED = "served.json"
GATEWAY = "gateway"


class LastKnownGood(msgspec.Struct):
    """A version that was applied for good."""

    version: int
    text: str
    sha256: str


def _digest(version: int, text: str) -> str:
    return hashlib.sha256(f"{version}\n{text}".encode()).hexdigest()


def keep(folder: Path, version: int, text: str) -> None:
    """Write what is served for good. OSError."""
    data = msgspec.json.encode(LastKnownGood(version, text, _digest(version, text)))
    replace_file(folder / SERVED, data, folder / (SERVED + ".new"))


def kept(folder: Path) -> LastKnownGood | None:
    """What was served for good last; None where there is none, or it is damaged."""
    try:
        found = msgspec.json.decode((folder / SERVED).read_bytes(), type=LastKnownGood)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return found if found.sha256 == _digest(found.version, found.text) else None


def opened(folder: Path) -> tuple[ChangeLog, str]:
    """The trail in a folder, and what was wrong with the one that lay there; TrailError where none can be kept there."""
    try:
        trail = ChangeLog(folder)
        said = trail.verify()
    except ChangeLogError as error:
        if not error.damaged:
            raise
        said = [str(error)]
    except (ValueError, TypeError, KeyError) as error:  # values of other types than were written
        said = [f"{folder / FILE} holds what no trail does: {error}"]
    if not said:
        return trail, ""
    aside = f"damaged-{time.time_ns() // 1_000_000}-{FILE}"
    try:
        for end in ("", "-wal", "-shm"):
            if (folder / (FILE + end)).exists():
                os.rename(folder / (FILE + end), folder / (aside + end))
        sync_directory(folder)
    except OSError as error:
        raise ChangeLogError(
            f"{folder / FILE} is damaged, and can't be put aside: {error.strerror}"
        ) from error
    why = f"the trail was damaged ({said[0]}); it is kept as {aside}"
    trail = ChangeLog(folder)
    if found := kept(folder):
        trail.propose(found.text, 0, "[]", GATEWAY, why, "", found.version)
        steps = [(Step(what, found.version), why) for what in ("staged", "applying", "applied")]
        trail.add_all(steps, GATEWAY)
    return trail, why
