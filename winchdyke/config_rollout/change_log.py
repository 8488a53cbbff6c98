"""The change log: all versions of one gateway's configuration and every step taken with them, in an SQLite file.

Each step is one transaction, synced before it returns. A hash chain covers all entries: an entry's hash is SHA-256 over the
hash before it and all its own columns, and a proposed version's text is part of its entry's hash. So an entry that is altered,
removed or inserted is detected unless all later ones are rewritten too.

History is bounded: :meth:`ChangeLog.prune` moves the oldest entries, and versions that are not needed any more, to archives
(:mod:`winchdyke.config_rollout.change_log_archive`) and records in an entry of its own where the chain continues. An archive
that is missing or altered is detected by ``verify(archives=True)``.
"""

from __future__ import annotations

import json
import math
import os
import sqlite3
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

from winchdyke.config_rollout import change_log_archive
from winchdyke.config_rollout.change_log_records import (
    ENTRY_COLUMNS,
    HASHED_COLUMNS,
    STEP_COLUMNS,
    VERSION_COLUMNS,
    ChangeLogError,
    ConcurrentStepError,
    LogEntry,
    PruneRecord,
    Row,
    Version,
    entry_hash,
    version_content,
    version_digest,
)
from winchdyke.config_rollout.rollout_state import RolloutState, Step, replay

__all__ = ["DATABASE_FILE", "ChangeLog", "ChangeLogError", "ConcurrentStepError", "LogEntry", "Version"]

DATABASE_FILE = "changes.db"
BUSY_TIMEOUT_SECONDS = 5.0
FORMAT_VERSION = 2  # format 2 added the column at_ms
MAX_NEWER_FORMATS = 16  # a format number higher by more than this means damage, not a later format
SCHEMA = """
CREATE TABLE IF NOT EXISTS versions (id INTEGER PRIMARY KEY, parent INTEGER NOT NULL, text TEXT NOT NULL, difference TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS trail (
    seq INTEGER PRIMARY KEY, unix_ms REAL NOT NULL, who TEXT NOT NULL, what TEXT NOT NULL, version INTEGER NOT NULL,
    until_ms REAL NOT NULL, note TEXT NOT NULL, origin TEXT NOT NULL, hash TEXT NOT NULL, at_ms REAL NOT NULL DEFAULT 0);
"""
INSERT_ENTRY = "INSERT INTO trail VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)"
INSERT_VERSION = "INSERT INTO versions VALUES (?, ?, ?, ?)"
TRANSIENT_ERRORS = (  # SQLite's names of errors that do not mean a damaged file
    "SQLITE_FULL", "SQLITE_BUSY", "SQLITE_LOCKED", "SQLITE_IOERR", "SQLITE_CANTOPEN", "SQLITE_READONLY",
    "SQLITE_PERM", "SQLITE_NOMEM", "SQLITE_AUTH", "SQLITE_INTERRUPT", "SQLITE_PROTOCOL",
)  # fmt: skip


def _is_damage(error: sqlite3.Error) -> bool:
    """Return whether an error means a damaged file; the errors in :data:`TRANSIENT_ERRORS` do not."""
    name = getattr(error, "sqlite_errorname", "") or ""
    return not name.startswith(TRANSIENT_ERRORS)


class ChangeLog:
    """The change log of one gateway. Any process may append to it; each step is one synced transaction.

    All methods raise ChangeLogError if the file can't be used.
    """

    def __init__(self, folder: Path, create: bool = True) -> None:
        """Open the change log in a folder. ``create``: create it if it does not exist."""
        self.path = folder / DATABASE_FILE
        if not create and not self.path.exists():
            raise ChangeLogError(f"{self.path} does not exist; 'winchdyke changes propose' creates it")
        try:
            folder.mkdir(parents=True, exist_ok=True, mode=0o700)
            with self._connect() as db:
                self._check_format(db)
            os.chmod(self.path, 0o600)
        except OSError as error:
            raise ChangeLogError(f"{self.path} can't be used: {error.strerror or error}") from error

    def _check_format(self, db: sqlite3.Connection) -> None:
        """Migrate a file of an earlier format. Raises ChangeLogError if the format is later or does not exist."""
        found = _stored_format(db)
        if found < 0 or found > FORMAT_VERSION + MAX_NEWER_FORMATS:
            raise ChangeLogError(f"{self.path} is damaged: it has format {found}, which does not exist", True)
        if found > FORMAT_VERSION:
            raise ChangeLogError(
                f"{self.path} has format {found}, and this version of winchdyke reads up to {FORMAT_VERSION}; use a newer one"
            )
        if found < FORMAT_VERSION:
            self._migrate(db, found)

    @staticmethod
    def _migrate(db: sqlite3.Connection, found: int) -> None:
        """Create the tables that are missing, add the column that format 1 lacks, and set the format, in one transaction."""
        db.execute("BEGIN IMMEDIATE")
        if _stored_format(db) == found:  # no other process has migrated it meanwhile
            for statement in SCHEMA.split(";"):
                db.execute(statement)
            if found == 1:
                db.execute("ALTER TABLE trail ADD COLUMN at_ms REAL NOT NULL DEFAULT 0")
            db.execute(f"PRAGMA user_version = {FORMAT_VERSION}")
        db.execute("COMMIT")

    @contextmanager
    def _connect(self) -> Iterator[sqlite3.Connection]:
        db = sqlite3.connect(self.path, timeout=BUSY_TIMEOUT_SECONDS, isolation_level=None)
        try:
            db.execute("PRAGMA journal_mode = WAL")
            db.execute("PRAGMA synchronous = FULL")
            yield db
        except sqlite3.Error as error:
            raise ChangeLogError(
                f"{self.path}: {error}; nothing was changed by this step", _is_damage(error)
            ) from error
        finally:
            db.close()

    @contextmanager
    def _read_transaction(self) -> Iterator[sqlite3.Connection]:
        # All reads of one transaction see the same snapshot: a concurrent prune is seen completely or not at all.
        with self._connect() as db:
            db.execute("BEGIN")
            yield db
            db.execute("COMMIT")

    @contextmanager
    def _write_transaction(self) -> Iterator[sqlite3.Connection]:
        with self._connect() as db:
            db.execute("BEGIN IMMEDIATE")
            try:
                yield db
                db.execute("COMMIT")
            except BaseException:
                if db.in_transaction:  # SQLite rolls back by itself when the disk is full
                    db.execute("ROLLBACK")
                raise

    # Writing

    def add_version(
        self,
        text: str,
        parent: int,
        difference: str,
        actor: str,
        reason: str,
        origin: str,
        number: int = 0,
    ) -> int:
        """Store a proposed version and return its number; ``number`` 0: the next free one."""
        with self._write_transaction() as db:
            version = number or _scalar(db, "SELECT COALESCE(MAX(id), 0) + 1 FROM versions")
            db.execute(INSERT_VERSION, (version, parent, text, difference))
            self._insert(db, Step("proposed", version), actor, reason, origin)
            return version

    def append(
        self,
        step: Step,
        actor: str,
        note: str = "",
        origin: str = "",
        expected: RolloutState | None = None,
    ) -> None:
        """Append one step. Raises as :meth:`append_all` does."""
        self.append_all([(step, note)], actor, origin, expected)

    def append_all(
        self,
        steps: list[tuple[Step, str]],
        actor: str,
        origin: str = "",
        expected: RolloutState | None = None,
    ) -> None:
        """Append several steps with their notes in one transaction: all or none.

        Raises:
            ConcurrentStepError: The current state is not the ``expected`` one.
            ChangeLogError: A step is not allowed in the state before it.
        """
        with self._write_transaction() as db:
            state = self._state(db)
            if expected is not None and state != expected:
                raise ConcurrentStepError(
                    "another step was taken meanwhile; read 'winchdyke changes log', then try again"
                )
            for step, note in steps:
                try:
                    state = state.advance(step)
                except ValueError as error:
                    raise ChangeLogError(str(error)) from error
                self._insert(db, step, actor, note, origin)

    def _insert(self, db: sqlite3.Connection, step: Step, actor: str, note: str, origin: str) -> None:
        """Append an entry. Its hash covers the previous entry's hash, so that a later alteration of either is detected."""
        last = db.execute("SELECT seq, hash FROM trail ORDER BY seq DESC LIMIT 1").fetchone()
        last_seq, last_hash = last or (0, "")
        hashed_row = (
            last_seq + 1,
            float(step.unix_ms or time.time() * 1000),
            actor,
            step.action,
            step.version,
            float(step.confirm_by_ms),
            note,
            origin,
        )
        activate_at_ms = float(step.activate_at_ms)
        new_hash = entry_hash(
            last_hash, hashed_row, _proposed_content(db, step.action, step.version), activate_at_ms
        )
        db.execute(INSERT_ENTRY, (*hashed_row, new_hash, activate_at_ms))

    # Reading

    @staticmethod
    def _state(db: sqlite3.Connection) -> RolloutState:
        """Return the state after all entries, beginning with the state that the last prune recorded."""
        prune = _last_prune(db)
        rows = db.execute(
            f"SELECT {STEP_COLUMNS} FROM trail WHERE seq > ? ORDER BY seq", (prune.seq if prune else 0,)
        )
        base = prune.state if prune else RolloutState()
        return replay((Step(*row) for row in rows), base)

    def state(self) -> RolloutState:
        """Return the state of the rollout."""
        with self._read_transaction() as db:
            return self._state(db)

    def last_seq(self) -> int:
        """Return the number of the last entry; 0 for an empty change log."""
        with self._read_transaction() as db:
            return _scalar(db, "SELECT COALESCE(MAX(seq), 0) FROM trail")

    def entries(self) -> list[LogEntry]:
        """Return all entries that are not archived, the oldest first."""
        return self.entries_after(0)

    def entries_after(self, seq: int) -> list[LogEntry]:
        """Return the entries after ``seq``, the oldest first."""
        with self._read_transaction() as db:
            rows = db.execute(f"SELECT {ENTRY_COLUMNS} FROM trail WHERE seq > ? ORDER BY seq", (seq,))
            return [LogEntry(*row) for row in rows]

    def version(self, number: int) -> Version:
        """Return a version. Raises ChangeLogError if it does not exist."""
        with self._read_transaction() as db:
            row = db.execute(f"SELECT {VERSION_COLUMNS} FROM versions WHERE id = ?", (number,)).fetchone()
        if row is None:
            raise ChangeLogError(
                f"there is no version {number}; see 'winchdyke changes log' and the archives beside {self.path}"
            )
        return Version(*row)

    def blame(self) -> dict[str, LogEntry]:
        """Return, by path (``kind.name.key``), the entry that last changed each value that was ever applied.

        That is the entry that proposed the change, or the entry of the undo that changed the value.
        """
        entries = self.entries()
        proposals = {entry.version: entry for entry in entries if entry.action == "proposed"}
        last_changes: dict[str, LogEntry] = {}
        serving = 0
        for entry in entries:
            if entry.action not in ("applied", "undone"):
                continue
            if entry.version == serving:
                continue
            if entry.action == "applied":
                responsible = proposals.get(entry.version, entry)
                versions: tuple[int, ...] = (entry.version,)
            else:
                # An undo changes the values that either of the two versions changed.
                responsible = entry
                versions = (serving, entry.version)
            for path in self._changed_paths(versions):
                last_changes[path] = responsible
            serving = entry.version
        return last_changes

    def _changed_paths(self, versions: Iterable[int]) -> Iterator[str]:
        """Yield the paths of the values that the versions changed; archived versions yield none."""
        for number in versions:
            try:
                difference = self.version(number).difference
            except ChangeLogError:
                continue  # the version was archived
            for change in json.loads(difference):
                yield change["path"]

    def export_lines(self) -> Iterator[str]:
        """Yield all versions, then all entries with their hashes, as lines of JSON."""
        with self._read_transaction() as db:
            for row in db.execute(f"SELECT {VERSION_COLUMNS} FROM versions ORDER BY id").fetchall():
                yield json.dumps({"version": row}, ensure_ascii=False)
            for row in db.execute(f"SELECT {ENTRY_COLUMNS} FROM trail ORDER BY seq").fetchall():
                yield json.dumps({"entry": row}, ensure_ascii=False)

    def import_lines(self, lines: Iterable[str]) -> int:
        """Read an export into an empty change log and return how many entries it has.

        Raises:
            ChangeLogError: The change log is not empty, a line can't be read, or the hash chain does not verify.
        """
        with self._write_transaction() as db:
            if _scalar(db, "SELECT COUNT(*) FROM trail"):
                raise ChangeLogError(f"{self.path} is not empty; import into a folder without a change log")
            for number, line in enumerate(lines, 1):
                try:
                    record = json.loads(line)
                    if "version" in record:
                        db.execute(INSERT_VERSION, record["version"])
                    else:
                        db.execute(INSERT_ENTRY, [*record["entry"], 0.0][:10])  # format 1 has no at_ms
                except (ValueError, KeyError, TypeError, sqlite3.Error) as error:
                    raise ChangeLogError(f"line {number} is not a line of an export: {error}") from error
            if faults := _chain_faults(db):
                raise ChangeLogError(f"the hash chain of the export does not verify: {faults[0]}")
            return _scalar(db, "SELECT COUNT(*) FROM trail")

    # Archives

    def prune(self, retained_versions: int) -> int:
        """Move all but the newest versions, and the entries before them, to an archive; returns how many entries were moved.

        Versions that are served, staged, being applied, or the target of an undo stay.
        """
        with self._write_transaction() as db:
            state = self._state(db)
            newest = db.execute(
                "SELECT id FROM versions ORDER BY id DESC LIMIT ?", (retained_versions,)
            ).fetchall()
            if len(newest) < retained_versions or state.applying:
                return 0
            oldest_retained = newest[-1][0]
            first_seq = db.execute(
                "SELECT MIN(seq) FROM trail WHERE what = 'proposed' AND version = ?", (oldest_retained,)
            ).fetchone()[0]
            if not first_seq:
                return 0
            return self._move_to_archive(db, state, first_seq, oldest_retained)

    def _move_to_archive(
        self, db: sqlite3.Connection, state: RolloutState, before_seq: int, before_version: int
    ) -> int:
        """Move entries before ``before_seq`` and versions before ``before_version`` that are not in use to an archive.

        Returns the number of entries. The archive is written before the rows are deleted.
        """
        last_prune = _last_prune(db)
        entry_rows = db.execute(
            f"SELECT {ENTRY_COLUMNS} FROM trail WHERE seq > ? AND seq < ? ORDER BY seq",
            (last_prune.seq if last_prune else 0, before_seq),
        ).fetchall()
        if not entry_rows:
            return 0
        version_rows = db.execute(
            f"SELECT {VERSION_COLUMNS} FROM versions WHERE id < ? ORDER BY id", (before_version,)
        ).fetchall()
        versions_in_use = {state.serving, state.previous, state.staged, state.applying}
        moved_versions = [row for row in version_rows if row[0] not in versions_in_use]
        entries = [LogEntry(*row) for row in entry_rows]
        base = last_prune.state if last_prune else RolloutState()
        record = PruneRecord.create(
            seq=entries[-1].seq,
            last_hash=entries[-1].hash,
            state=replay((entry.step() for entry in entries), base),
            version_digests={
                str(row[0]): version_digest(row[1:]) for row in version_rows if row[0] in versions_in_use
            },
        )
        change_log_archive.write_archive(self.path.parent, entry_rows, moved_versions)
        self._insert(db, Step("pruned", 0), "gateway", record.to_note(), "")
        db.execute("DELETE FROM trail WHERE seq <= ?", (record.seq,))
        db.executemany("DELETE FROM versions WHERE id = ?", [(row[0],) for row in moved_versions])
        return len(entry_rows)

    def archive_paths(self) -> list[Path]:
        """Return the archives, the oldest first."""
        return change_log_archive.archive_paths(self.path.parent)

    def archived_entries(self) -> Iterator[LogEntry]:
        """Yield the archived entries, the oldest first. Raises ChangeLogError if an archive can't be read."""
        with self._read_transaction() as db:
            prune = _last_prune(db)
        yield from change_log_archive.read_entries(self.path.parent, prune.seq if prune else 0)

    def all_entries(self) -> list[LogEntry]:
        """Return all entries, archived ones first, the oldest first. Raises as :meth:`archived_entries` does.

        The database is read before the archives: an entry that a concurrent prune moves is then read twice rather than not at
        all, and returned once.
        """
        entries = self.entries()
        first_seq = entries[0].seq if entries else math.inf
        archived = [entry for entry in self.archived_entries() if entry.seq < first_seq]
        return archived + entries

    # Verification

    def verify(self, archives: bool = False) -> list[str]:
        """Return a description of each fault in the hash chain; empty if it verifies. ``archives``: verify these as well."""
        faults = self._archive_faults() if archives else []
        with self._read_transaction() as db:
            return faults + _chain_faults(db)

    def _archive_faults(self) -> list[str]:
        verifier = change_log_archive.ArchiveVerifier(self.path.parent, self.version)
        with self._read_transaction() as db:
            prune = _last_prune(db)
        return verifier.verify(prune)


def _chain_faults(db: sqlite3.Connection) -> list[str]:
    """Return the faults of the entries and versions in the database; their hash chain begins at the last prune."""
    faults: list[str] = []
    prune = _last_prune(db)
    previous_hash = prune.hash if prune else ""
    previous_seq = prune.seq if prune else 0
    for row in db.execute(f"SELECT {ENTRY_COLUMNS} FROM trail ORDER BY seq").fetchall():
        entry = LogEntry(*row)
        if entry.seq != previous_seq + 1:
            faults.append(f"entry {previous_seq + 1} is missing before {entry.seq}")
        content = _proposed_content(db, entry.action, entry.version)
        if entry_hash(previous_hash, row[:HASHED_COLUMNS], content, entry.activate_at_ms) != entry.hash:
            faults.append(
                f"entry {entry.seq} ({entry.action} {entry.version}) was altered, or the one before it is missing"
            )
        previous_hash = entry.hash
        previous_seq = entry.seq
    return faults + _altered_versions(db, prune)


def _altered_versions(db: sqlite3.Connection, prune: PruneRecord | None) -> list[str]:
    """Check the versions that are still in the database although the entries that proposed them were archived."""
    faults = []
    for number, digest in (prune.version_digests if prune else {}).items():
        row = _version_columns(db, number)
        if row is not None and version_digest(row) != digest:
            faults.append(f"version {number} was altered")
    return faults


def _version_columns(db: sqlite3.Connection, number: int | str) -> Row | None:
    row: Row | None = db.execute(
        "SELECT parent, text, difference FROM versions WHERE id = ?", (number,)
    ).fetchone()
    return row


def _proposed_content(db: sqlite3.Connection, action: str, version: int) -> str:
    """Return what an entry's hash covers of the version that it proposes."""
    if action != "proposed":
        return ""
    return version_content(_version_columns(db, version))


def _last_prune(db: sqlite3.Connection) -> PruneRecord | None:
    """Return the record of the last prune, or None if the log was never pruned."""
    row = db.execute("SELECT note FROM trail WHERE what = 'pruned' ORDER BY seq DESC LIMIT 1").fetchone()
    return PruneRecord.from_note(row[0]) if row else None


def _stored_format(db: sqlite3.Connection) -> int:
    return _scalar(db, "PRAGMA user_version")


def _scalar(db: sqlite3.Connection, statement: str) -> int:
    return int(db.execute(statement).fetchone()[0])
