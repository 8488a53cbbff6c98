"""Opens the change log at a gateway's start; a damaged one is set aside, and a new one begins with the last known good version.

``served.json`` lies beside the change log and is replaced atomically after each version that is applied and needs no
confirmation. It holds the version's number, its text, and a SHA-256 of both. A change log whose hash chain does not verify is
renamed, never deleted; its successor begins with that version and records the reason. So a damaged file neither prevents a
start nor causes a version to be served that was never applied.
"""

from __future__ import annotations

import hashlib
import os
import time
from pathlib import Path

import msgspec

from winchdyke.config_rollout.change_log import DATABASE_FILE, ChangeLog, ChangeLogError
from winchdyke.config_rollout.rollout_state import Step
from winchdyke.durable_files import replace_file, sync_directory

SERVED_FILE = "served.json"
GATEWAY_ACTOR = "gateway"  # the actor of steps that the gateway itself takes
SQLITE_FILE_SUFFIXES = ("", "-wal", "-shm")


class LastKnownGood(msgspec.Struct):
    """The last version that was applied and needs no confirmation."""

    version: int
    text: str
    sha256: str


def _checksum(version: int, text: str) -> str:
    return hashlib.sha256(f"{version}\n{text}".encode()).hexdigest()


def save(folder: Path, version: int, text: str) -> None:
    """Replace the last known good version. Raises OSError."""
    data = msgspec.json.encode(LastKnownGood(version, text, _checksum(version, text)))
    replace_file(folder / SERVED_FILE, data, folder / (SERVED_FILE + ".new"))


def load(folder: Path) -> LastKnownGood | None:
    """Return the last known good version; None if the file is missing or damaged."""
    try:
        found = msgspec.json.decode((folder / SERVED_FILE).read_bytes(), type=LastKnownGood)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return found if found.sha256 == _checksum(found.version, found.text) else None


def open_change_log(folder: Path) -> tuple[ChangeLog, str]:
    """Open the change log in a folder; returns it with the damage of the one that was replaced, or "".

    Raises:
        ChangeLogError: The folder can't hold a change log.
    """
    try:
        change_log = ChangeLog(folder)
        faults = change_log.verify()
    except ChangeLogError as error:
        if not error.damaged:
            raise
        faults = [str(error)]
    except (ValueError, TypeError, KeyError) as error:  # a damaged value has another type
        faults = [f"{folder / DATABASE_FILE} is damaged: {error}"]
    if not faults:
        return change_log, ""
    aside = _set_aside(folder)
    reason = f"the change log was damaged ({faults[0]}); the damaged file is kept as {aside}"
    change_log = ChangeLog(folder)
    if good := load(folder):
        change_log.add_version(good.text, 0, "[]", GATEWAY_ACTOR, reason, "", good.version)
        steps = [(Step(action, good.version), reason) for action in ("staged", "applying", "applied")]
        change_log.append_all(steps, GATEWAY_ACTOR)
    return change_log, reason


def _set_aside(folder: Path) -> str:
    """Rename the database and its journals; returns the database's new name."""
    aside = f"damaged-{time.time_ns() // 1_000_000}-{DATABASE_FILE}"
    try:
        for suffix in SQLITE_FILE_SUFFIXES:
            if (folder / (DATABASE_FILE + suffix)).exists():
                os.rename(folder / (DATABASE_FILE + suffix), folder / (aside + suffix))
        sync_directory(folder)
    except OSError as error:
        raise ChangeLogError(
            f"{folder / DATABASE_FILE} is damaged and can't be renamed: {error.strerror}"
        ) from error
    return aside
