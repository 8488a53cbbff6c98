"""Versions and the trail of what was done with them: an SQLite file, synced at each step, with a hash chain over all of it.

The hash of an entry is SHA-256 over the one before it and all its own columns; a version's text is under the hash of the entry
that proposed it. So an entry that is altered, removed or put in between shows, unless all after it are written anew.
"""

from __future__ import annotations

import hashlib
import json
import os
import sqlite3
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from winchdyke.changes.machine import Standing, Step, standing

FILE = "changes.db"
SCHEMA = """
CREATE TABLE IF NOT EXISTS versions (id INTEGER PRIMARY KEY, parent INTEGER NOT NULL, text TEXT NOT NULL, difference TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS trail (
    seq INTEGER PRIMARY KEY, unix_ms REAL NOT NULL, who TEXT NOT NULL, what TEXT NOT NULL, version INTEGER NOT NULL,
    until_ms REAL NOT NULL, note TEXT NOT NULL, origin TEXT NOT NULL, hash TEXT NOT NULL);
PRAGMA user_version = 1;
"""


class TrailError(Exception):
    """A trail that can't be used, or a step that can't be taken; says what is wrong and what to do."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the trail."""

    seq: int
    unix_ms: float
    who: str
    what: str
    version: int
    until_ms: float
    note: str
    origin: str
    hash: str


@dataclass(frozen=True, slots=True)
class Version:
    """The whole settings of a version, the one it was made from, and what differs between them (JSON)."""

    id: int
    parent: int
    text: str
    difference: str


def _hash(before: str, row: tuple[object, ...], text: str) -> str:
    return hashlib.sha256(json.dumps([before, *row, text], ensure_ascii=False).encode()).hexdigest()


class Trail:
    """The versions of one gateway. Any process may add to it; each step is one transaction, synced."""

    def __init__(self, folder: Path, create: bool = True) -> None:
        self.path = folder / FILE
        if not create and not self.path.exists():
            raise TrailError(f"{self.path} is not there; 'winchdyke changes propose' begins it")
        try:
            folder.mkdir(parents=True, exist_ok=True, mode=0o700)
            with self._open() as db:
                db.executescript(SCHEMA)
            os.chmod(self.path, 0o600)
        except (OSError, sqlite3.Error) as error:
            raise TrailError(f"{self.path} can't be used: {error}") from error

    @contextmanager
    def _open(self) -> Iterator[sqlite3.Connection]:
        db = sqlite3.connect(self.path, timeout=5.0, isolation_level=None)
        try:
            db.execute("PRAGMA journal_mode = WAL")
            db.execute("PRAGMA synchronous = FULL")
            yield db
        except sqlite3.Error as error:
            raise TrailError(f"{self.path}: {error}; nothing was changed by this step") from error
        finally:
            db.close()

    @contextmanager
    def _writing(self) -> Iterator[sqlite3.Connection]:
        with self._open() as db:
            db.execute("BEGIN IMMEDIATE")
            try:
                yield db
            except BaseException:
                db.execute("ROLLBACK")
                raise
            db.execute("COMMIT")

    def propose(self, text: str, parent: int, difference: str, who: str, why: str, origin: str) -> int:
        """Keep a version; its number."""
        with self._writing() as db:
            version = int(db.execute("SELECT COALESCE(MAX(id), 0) + 1 FROM versions").fetchone()[0])
            db.execute("INSERT INTO versions VALUES (?, ?, ?, ?)", (version, parent, text, difference))
            self._add(db, Step("proposed", version), who, why, origin)
            return version

    def add(
        self, step: Step, who: str, note: str = "", origin: str = "", expect: Standing | None = None
    ) -> None:
        """Take a step. TrailError where it does not follow, or others have gone on since ``expect``."""
        with self._writing() as db:
            now = standing(self._steps(db))
            if expect is not None and now != expect:
                raise TrailError(
                    "another step was taken meanwhile; look at 'winchdyke changes log', and try again"
                )
            try:
                now.after(step)
            except ValueError as error:
                raise TrailError(str(error)) from error
            self._add(db, step, who, note, origin)

    def _add(self, db: sqlite3.Connection, step: Step, who: str, note: str, origin: str) -> None:
        last = db.execute("SELECT seq, hash FROM trail ORDER BY seq DESC LIMIT 1").fetchone() or (0, "")
        row = (
            last[0] + 1,
            step.unix_ms or time.time() * 1000,
            who,
            step.what,
            step.version,
            step.until_ms,
            note,
            origin,
        )
        db.execute(
            "INSERT INTO trail VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (*row, _hash(last[1], row, self._content(db, step))),
        )

    @staticmethod
    def _content(db: sqlite3.Connection, step: Step) -> str:
        if step.what != "proposed":
            return ""
        found = db.execute(
            "SELECT parent, text, difference FROM versions WHERE id = ?", (step.version,)
        ).fetchone()
        return json.dumps(found)

    @staticmethod
    def _steps(db: sqlite3.Connection) -> list[Step]:
        rows = db.execute("SELECT what, version, unix_ms, until_ms FROM trail ORDER BY seq")
        return [Step(*row) for row in rows]

    def standing(self) -> Standing:
        """Where the gateway stands."""
        with self._open() as db:
            return standing(self._steps(db))

    def last(self) -> int:
        """The number of the last entry."""
        with self._open() as db:
            return int(db.execute("SELECT COALESCE(MAX(seq), 0) FROM trail").fetchone()[0])

    def entries(self) -> list[Entry]:
        """All entries, the oldest first."""
        with self._open() as db:
            return [Entry(*row) for row in db.execute("SELECT * FROM trail ORDER BY seq")]

    def version(self, number: int) -> Version:
        """A version. TrailError where there is none of that number."""
        with self._open() as db:
            row = db.execute(
                "SELECT id, parent, text, difference FROM versions WHERE id = ?", (number,)
            ).fetchone()
        if row is None:
            raise TrailError(f"there is no version {number}; see 'winchdyke changes log'")
        return Version(*row)

    def blame(self) -> dict[str, Entry]:
        """For each value that was ever changed and applied (``kind.name.key``), the entry of its last change, by who asked."""
        entries = self.entries()
        proposed = {entry.version: entry for entry in entries if entry.what == "proposed"}
        found: dict[str, Entry] = {}
        for entry in entries:
            if entry.what in ("applied", "undone") and entry.version in proposed:
                asked = proposed[entry.version] if entry.what == "applied" else entry
                for change in json.loads(self.version(entry.version).difference):
                    found[change["path"]] = asked
        return found

    def export(self) -> Iterator[str]:
        """All of it as lines of JSON: the versions, then the trail with its hashes."""
        with self._open() as db:
            for row in db.execute("SELECT id, parent, text, difference FROM versions ORDER BY id").fetchall():
                yield json.dumps({"version": row}, ensure_ascii=False)
            for row in db.execute("SELECT * FROM trail ORDER BY seq").fetchall():
                yield json.dumps({"entry": row}, ensure_ascii=False)

    def take_in(self, lines: Iterable[str]) -> int:
        """What was exported, into a trail that is empty; TrailError where it is not, or the chain does not fit."""
        with self._writing() as db:
            if db.execute("SELECT COUNT(*) FROM trail").fetchone()[0]:
                raise TrailError(f"{self.path} is not empty; take it in at a folder of its own")
            for number, line in enumerate(lines, 1):
                try:
                    found = json.loads(line)
                    if "version" in found:
                        db.execute("INSERT INTO versions VALUES (?, ?, ?, ?)", found["version"])
                    else:
                        db.execute("INSERT INTO trail VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)", found["entry"])
                except (ValueError, KeyError, TypeError, sqlite3.Error) as error:
                    raise TrailError(f"line {number} is no line of an export: {error}") from error
            if said := self._unfit(db):
                raise TrailError(f"the export does not fit together: {said[0]}")
            return int(db.execute("SELECT COUNT(*) FROM trail").fetchone()[0])

    def verify(self) -> list[str]:
        """What does not fit in the chain, in words; nothing where all does."""
        with self._open() as db:
            return self._unfit(db)

    def _unfit(self, db: sqlite3.Connection) -> list[str]:
        said: list[str] = []
        before, seq = "", 0
        for row in db.execute("SELECT * FROM trail ORDER BY seq").fetchall():
            entry = Entry(*row)
            if entry.seq != seq + 1:
                said.append(f"entry {seq + 1} is missing before {entry.seq}")
            content = self._content(db, Step(entry.what, entry.version))
            if _hash(before, tuple(row[:-1]), content) != entry.hash:
                said.append(
                    f"entry {entry.seq} ({entry.what} {entry.version}) was altered, or one before it is not there"
                )
            before, seq = entry.hash, entry.seq
        return said
