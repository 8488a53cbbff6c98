"""Versions and the trail of what was done with them: an SQLite file, synced at each step, with a hash chain over all of it.

The hash of an entry is SHA-256 over the one before it and all its own columns; a version's text is under the hash of the entry
that proposed it. So an entry that is altered, removed or put in between shows, unless all after it are written anew.

History is bounded: :meth:`Trail.prune` moves the oldest entries, and versions that nothing needs, to files beside it
(``trail-SEQ.jsonl``, SEQ the first entry in it), and says so in an entry of its own, with where the gateway stood by then. The chain
goes on over them: an archive that is missing or altered shows as well, where archives are asked for.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
import math
import os
import sqlite3
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from winchdyke.config_rollout.rollout_state import RolloutState, Step, standing
from winchdyke.durable_files import replace_file

FILE = "changes.db"
SCHEMA = """
CREATE TABLE IF NOT EXISTS versions (id INTEGER PRIMARY KEY, parent INTEGER NOT NULL, text TEXT NOT NULL, difference TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS trail (
    seq INTEGER PRIMARY KEY, unix_ms REAL NOT NULL, who TEXT NOT NULL, what TEXT NOT NULL, version INTEGER NOT NULL,
    until_ms REAL NOT NULL, note TEXT NOT NULL, origin TEXT NOT NULL, hash TEXT NOT NULL, at_ms REAL NOT NULL DEFAULT 0);
"""
INSERT = "INSERT INTO trail VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)"
FORMAT = 2  # 2: with at_ms
COLUMNS = "seq, unix_ms, who, what, version, until_ms, note, origin, hash, at_ms"
PASSING = ("SQLITE_FULL", "SQLITE_BUSY", "SQLITE_LOCKED", "SQLITE_IOERR", "SQLITE_CANTOPEN", "SQLITE_READONLY",
           "SQLITE_PERM", "SQLITE_NOMEM", "SQLITE_AUTH", "SQLITE_INTERRUPT", "SQLITE_PROTOCOL")  # fmt: skip
LIKELY = 16  # formats further on that there may be one day; a greater number is damage


class ChangeLogError(Exception):
    """A trail that can't be used, or a step that can't be taken; says what is wrong and what to do.

    ``damaged``: the file itself is no longer what was written.
    """

    def __init__(self, text: str, damaged: bool = False) -> None:
        super().__init__(text)
        self.damaged = damaged


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
    at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Version:
    """The whole settings of a version, the one it was made from, and what differs between them (JSON)."""

    id: int
    parent: int
    text: str
    difference: str


def _hash(before: str, row: tuple[object, ...], text: str, at_ms: float) -> str:
    told = [before, *row, text, at_ms] if at_ms else [before, *row, text]
    return hashlib.sha256(json.dumps(told, ensure_ascii=False).encode()).hexdigest()


def _digest(row: Iterable[object]) -> str:
    return hashlib.sha256(json.dumps(list(row), ensure_ascii=False).encode()).hexdigest()


def _damaged(error: sqlite3.Error) -> bool:
    return not (getattr(error, "sqlite_errorname", "") or "").startswith(PASSING)


class ChangeLog:
    """The versions of one gateway. Any process may add to it; each step is one transaction, synced."""

    def __init__(self, folder: Path, create: bool = True) -> None:
        self.path = folder / FILE
        if not create and not self.path.exists():
            raise ChangeLogError(f"{self.path} is not there; 'winchdyke changes propose' begins it")
        try:
            folder.mkdir(parents=True, exist_ok=True, mode=0o700)
            with self._open() as db:
                found = int(db.execute("PRAGMA user_version").fetchone()[0])
                if found < 0 or found > FORMAT + LIKELY:
                    raise ChangeLogError(f"{self.path} says it is of format {found}, which no trail is", True)
                if found > FORMAT:
                    raise ChangeLogError(
                        f"{self.path} is of format {found}; this version reads up to {FORMAT}: use a newer one"
                    )
                if found < FORMAT:
                    self._bring_up(db, found)
            os.chmod(self.path, 0o600)
        except OSError as error:
            raise ChangeLogError(f"{self.path} can't be used: {error.strerror or error}") from error

    @staticmethod
    def _bring_up(db: sqlite3.Connection, found: int) -> None:
        db.execute("BEGIN IMMEDIATE")
        if int(db.execute("PRAGMA user_version").fetchone()[0]) == found:  # nobody else did so meanwhile
            for statement in SCHEMA.split(";"):
                db.execute(statement)
            if found == 1:
                db.execute("ALTER TABLE trail ADD COLUMN at_ms REAL NOT NULL DEFAULT 0")
            db.execute(f"PRAGMA user_version = {FORMAT}")
        db.execute("COMMIT")

    @contextmanager
    def _open(self) -> Iterator[sqlite3.Connection]:
        db = sqlite3.connect(self.path, timeout=5.0, isolation_level=None)
        try:
            db.execute("PRAGMA journal_mode = WAL")
            db.execute("PRAGMA synchronous = FULL")
            yield db
        except sqlite3.Error as error:
            raise ChangeLogError(
                f"{self.path}: {error}; nothing was changed by this step", _damaged(error)
            ) from error
        finally:
            db.close()

    @contextmanager
    def _reading(self) -> Iterator[sqlite3.Connection]:
        # Guards against reading half of what a move to the archives does: all is read as it was at one moment.
        with self._open() as db:
            db.execute("BEGIN")
            yield db
            db.execute("COMMIT")

    @contextmanager
    def _writing(self) -> Iterator[sqlite3.Connection]:
        with self._open() as db:
            db.execute("BEGIN IMMEDIATE")
            try:
                yield db
                db.execute("COMMIT")
            except BaseException:
                if db.in_transaction:  # SQLite ends it by itself where the disk is full
                    db.execute("ROLLBACK")
                raise

    def propose(
        self, text: str, parent: int, difference: str, who: str, why: str, origin: str, number: int = 0
    ) -> int:
        """Keep a version; its number, which is the next one where none is given."""
        with self._writing() as db:
            version = number or int(db.execute("SELECT COALESCE(MAX(id), 0) + 1 FROM versions").fetchone()[0])
            db.execute("INSERT INTO versions VALUES (?, ?, ?, ?)", (version, parent, text, difference))
            self._add(db, Step("proposed", version), who, why, origin)
            return version

    def add(
        self, step: Step, who: str, note: str = "", origin: str = "", expect: RolloutState | None = None
    ) -> None:
        """Take a step. TrailError where it does not follow, or others have gone on since ``expect``."""
        self.add_all([(step, note)], who, origin, expect)

    def add_all(
        self, steps: list[tuple[Step, str]], who: str, origin: str = "", expect: RolloutState | None = None
    ) -> None:
        """Take several steps, each with its note, all or none."""
        with self._writing() as db:
            now = self._standing(db)
            if expect is not None and now != expect:
                raise ChangeLogError(
                    "another step was taken meanwhile; look at 'winchdyke changes log', and try again"
                )
            for step, note in steps:
                try:
                    now = now.after(step)
                except ValueError as error:
                    raise ChangeLogError(str(error)) from error
                self._add(db, step, who, note, origin)

    def _add(self, db: sqlite3.Connection, step: Step, who: str, note: str, origin: str) -> None:
        last = db.execute("SELECT seq, hash FROM trail ORDER BY seq DESC LIMIT 1").fetchone() or (0, "")
        row = (
            last[0] + 1,
            float(step.unix_ms or time.time() * 1000),
            who,
            step.what,
            step.version,
            float(step.until_ms),
            note,
            origin,
        )
        made = _hash(last[1], row, self._content(db, step), float(step.at_ms))
        db.execute(INSERT, (*row, made, float(step.at_ms)))

    @staticmethod
    def _content(db: sqlite3.Connection, step: Step) -> str:
        if step.what != "proposed":
            return ""
        found = db.execute(
            "SELECT parent, text, difference FROM versions WHERE id = ?", (step.version,)
        ).fetchone()
        return json.dumps(found)

    @staticmethod
    def _standing(db: sqlite3.Connection) -> RolloutState:
        base, after = _base(db)
        rows = db.execute(
            "SELECT what, version, unix_ms, until_ms, at_ms FROM trail WHERE seq > ? ORDER BY seq", (after,)
        )
        return standing((Step(*row) for row in rows), base)

    def standing(self) -> RolloutState:
        """Where the gateway stands."""
        with self._reading() as db:
            return self._standing(db)

    def last(self) -> int:
        """The number of the last entry."""
        with self._reading() as db:
            return int(db.execute("SELECT COALESCE(MAX(seq), 0) FROM trail").fetchone()[0])

    def entries(self) -> list[Entry]:
        """All entries, the oldest first."""
        return self.after(0)

    def after(self, seq: int) -> list[Entry]:
        """The entries behind one, the oldest first."""
        with self._reading() as db:
            return [
                Entry(*row)
                for row in db.execute(f"SELECT {COLUMNS} FROM trail WHERE seq > ? ORDER BY seq", (seq,))
            ]

    def version(self, number: int) -> Version:
        """A version. TrailError where there is none of that number."""
        with self._reading() as db:
            row = db.execute(
                "SELECT id, parent, text, difference FROM versions WHERE id = ?", (number,)
            ).fetchone()
        if row is None:
            raise ChangeLogError(
                f"there is no version {number} here; see 'winchdyke changes log', and the archives beside {self.path}"
            )
        return Version(*row)

    def blame(self) -> dict[str, Entry]:
        """For each value that was ever changed and applied (``kind.name.key``), the entry of its last change, by who asked."""
        entries = self.entries()
        proposed = {entry.version: entry for entry in entries if entry.what == "proposed"}
        found: dict[str, Entry] = {}
        serving = 0
        for entry in entries:
            if entry.what not in ("applied", "undone"):
                continue
            # An undo changes what either version changed: the one that is left, or the one that is gone back to.
            changed = (entry.version,) if entry.what == "applied" else (serving, entry.version)
            asked = proposed.get(entry.version, entry) if entry.what == "applied" else entry
            for version in changed if serving != entry.version else ():
                try:
                    difference = self.version(version).difference
                except ChangeLogError:
                    continue  # in the archives
                for change in json.loads(difference):
                    found[change["path"]] = asked
            serving = entry.version
        return found

    def export(self) -> Iterator[str]:
        """All of it as lines of JSON: the versions, then the trail with its hashes."""
        with self._reading() as db:
            for row in db.execute("SELECT id, parent, text, difference FROM versions ORDER BY id").fetchall():
                yield json.dumps({"version": row}, ensure_ascii=False)
            for row in db.execute(f"SELECT {COLUMNS} FROM trail ORDER BY seq").fetchall():
                yield json.dumps({"entry": row}, ensure_ascii=False)

    def take_in(self, lines: Iterable[str]) -> int:
        """What was exported, into a trail that is empty; TrailError where it is not, or the chain does not fit."""
        with self._writing() as db:
            if db.execute("SELECT COUNT(*) FROM trail").fetchone()[0]:
                raise ChangeLogError(f"{self.path} is not empty; take it in at a folder of its own")
            for number, line in enumerate(lines, 1):
                try:
                    found = json.loads(line)
                    if "version" in found:
                        db.execute("INSERT INTO versions VALUES (?, ?, ?, ?)", found["version"])
                    else:
                        db.execute(INSERT, [*found["entry"], 0.0][:10])
                except (ValueError, KeyError, TypeError, sqlite3.Error) as error:
                    raise ChangeLogError(f"line {number} is no line of an export: {error}") from error
            if said := self._unfit(db):
                raise ChangeLogError(f"the export does not fit together: {said[0]}")
            return int(db.execute("SELECT COUNT(*) FROM trail").fetchone()[0])

    def prune(self, keep: int) -> int:
        """Move all but the last ``keep`` versions, and the entries about them, to an archive; how many entries went."""
        with self._writing() as db:
            now = self._standing(db)
            needed = {now.serving, now.before, now.staged, now.applying}
            newest = db.execute("SELECT id FROM versions ORDER BY id DESC LIMIT ?", (keep,)).fetchall()
            if len(newest) < keep or now.applying:
                return 0
            first = db.execute(
                "SELECT MIN(seq) FROM trail WHERE what = 'proposed' AND version = ?", newest[-1]
            ).fetchone()
            if not first[0]:
                return 0
            base, after = _base(db)
            rows = db.execute(
                f"SELECT {COLUMNS} FROM trail WHERE seq > ? AND seq < ? ORDER BY seq", (after, first[0])
            ).fetchall()
            old = db.execute(
                "SELECT id, parent, text, difference FROM versions WHERE id < ? ORDER BY id", newest[-1]
            ).fetchall()
            gone = [row for row in old if row[0] not in needed]
            kept = {str(row[0]): _digest(row[1:]) for row in old if row[0] in needed}
            if not rows:
                return 0
            cut = Entry(*rows[-1])
            steps = (Step(e.what, e.version, e.unix_ms, e.until_ms, e.at_ms) for e in map(_entry, rows))
            stood = standing(steps, base)
            self._archive(rows, gone)
            told = {"seq": cut.seq, "hash": cut.hash, "standing": dataclasses.asdict(stood), "kept": kept}
            self._add(db, Step("pruned", 0), "gateway", json.dumps(told), "")
            db.execute("DELETE FROM trail WHERE seq <= ?", (cut.seq,))
            db.executemany("DELETE FROM versions WHERE id = ?", [(row[0],) for row in gone])
            return len(rows)

    def _archive(self, rows: list[tuple[object, ...]], gone: list[tuple[object, ...]]) -> None:
        path = self.path.parent / f"trail-{rows[0][0]:08}.jsonl"
        lines = [{"version": row} for row in gone] + [{"entry": row} for row in rows]
        text = "".join(json.dumps(line, ensure_ascii=False) + "\n" for line in lines)
        try:
            replace_file(path, text.encode(), path.with_suffix(".new"))
        except OSError as error:
            raise ChangeLogError(
                f"{path} can't be written: {error.strerror}; nothing was moved there"
            ) from error

    def archives(self) -> list[Path]:
        """The files that hold what was moved out, the oldest first."""
        return sorted(self.path.parent.glob("trail-*.jsonl"))

    def archived(self) -> Iterator[Entry]:
        """The entries that were moved to the archives, the oldest first. TrailError where one can't be read."""
        with self._reading() as db:
            last = (_pruned(db) or {"seq": 0})["seq"]
        for path in self.archives():
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                try:
                    found = json.loads(line)
                    # Beyond the last: written by a move that a kill cut short; they are in the trail still.
                    if "entry" in found and found["entry"][0] <= last:
                        yield Entry(*found["entry"])
                except (ValueError, TypeError) as error:
                    raise ChangeLogError(
                        f"{path}, line {number}: not an entry of a trail: {error}"
                    ) from error

    def whole(self) -> list[Entry]:
        """All entries, those in the archives too, the oldest first, also while some are moved out. TrailError as above.

        Guards against a move between two readings, which hid all that it moved: what is here is read first, so that
        what goes meanwhile is met twice and not never.
        """
        here = self.entries()
        first = here[0].seq if here else math.inf
        return [*(entry for entry in self.archived() if entry.seq < first), *here]

    def verify(self, archives: bool = False) -> list[str]:
        """What does not fit in the chain, in words; nothing where all does. ``archives``: those count as well."""
        said = self._unfit_archives() if archives else []
        with self._reading() as db:
            return said + self._unfit(db)

    def _unfit_archives(self) -> list[str]:
        said: list[str] = []
        versions: dict[int, list[object]] = {}
        entries: list[tuple[str, Entry]] = []
        for path in self.archives():
            for number, line in enumerate(path.read_bytes().splitlines(), 1):
                try:
                    found = json.loads(line)
                    if "version" in found:
                        versions[found["version"][0]] = found["version"][1:]
                    else:
                        entries.append((path.name, Entry(*found["entry"])))
                except (ValueError, TypeError, KeyError, IndexError) as error:
                    said.append(f"{path.name}, line {number}: not a line of a trail: {error}")
        with self._reading() as db:
            told = _pruned(db)
        before = ""
        for name, entry in entries:
            if told is None or entry.seq > told["seq"]:
                continue  # a move that a kill cut short: they are in the trail still
            content = ""
            if entry.what == "proposed":
                if entry.version not in versions:
                    try:
                        made = self.version(entry.version)
                        versions[entry.version] = [made.parent, made.text, made.difference]
                    except ChangeLogError:
                        said.append(f"{name}: version {entry.version} is in none of the archives")
                content = json.dumps(versions.get(entry.version))
            if _hash(before, dataclasses.astuple(entry)[:8], content, entry.at_ms) != entry.hash:
                said.append(f"{name}: entry {entry.seq} was altered, or one before it is not there")
            before = entry.hash
        if told and told["hash"] != before:
            said.append(f"the archives do not end at entry {told['seq']}, as the trail says")
        return said

    def _unfit(self, db: sqlite3.Connection) -> list[str]:
        said: list[str] = []
        told = _pruned(db)
        before, seq = (told["hash"], told["seq"]) if told else ("", 0)
        for row in db.execute(f"SELECT {COLUMNS} FROM trail ORDER BY seq").fetchall():
            entry = Entry(*row)
            if entry.seq != seq + 1:
                said.append(f"entry {seq + 1} is missing before {entry.seq}")
            content = self._content(db, Step(entry.what, entry.version))
            if _hash(before, tuple(row[:8]), content, entry.at_ms) != entry.hash:
                said.append(
                    f"entry {entry.seq} ({entry.what} {entry.version}) was altered, or one before it is not there"
                )
            before, seq = entry.hash, entry.seq
        for number, digest in (told["kept"] if told else {}).items():  # proposed in what was moved out
            row = db.execute(
                "SELECT parent, text, difference FROM versions WHERE id = ?", (number,)
            ).fetchone()
            if row is not None and _digest(row) != digest:
                said.append(f"version {number} was altered")
        return said


def _entry(row: tuple[object, ...]) -> Entry:
    return Entry(*row)  # type: ignore[arg-type]


def _pruned(db: sqlite3.Connection) -> dict[str, Any] | None:
    row = db.execute("SELECT note FROM trail WHERE what = 'pruned' ORDER BY seq DESC LIMIT 1").fetchone()
    try:
        return json.loads(row[0]) if row else None
    except ValueError as error:
        raise ChangeLogError(f"the entry on what was moved out can't be read: {error}", True) from error


def _base(db: sqlite3.Connection) -> tuple[RolloutState, int]:
    told = _pruned(db)
    return (RolloutState(**told["standing"]), told["seq"]) if told else (RolloutState(), 0)
