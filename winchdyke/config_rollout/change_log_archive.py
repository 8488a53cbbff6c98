"""The archives beside a change log: entries and versions that were pruned from it, one file for each prune.

An archive is ``trail-SEQ.jsonl``, SEQ being its first entry. Each line is JSON, ``{"version": [...]}`` or ``{"entry": [...]}``,
with the columns of the database. An interrupted prune leaves an archive with entries that are still in the database; readers ignore
entries after the last one that the change log records as moved.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from winchdyke.config_rollout.change_log_records import (
    ChangeLogError,
    LogEntry,
    PruneRecord,
    Row,
    Version,
    entry_hash,
    version_content,
)
from winchdyke.durable_files import replace_file

FindVersion = Callable[[int], Version]  # raises ChangeLogError if the version does not exist


def archive_paths(folder: Path) -> list[Path]:
    """Return the archives in a folder, the oldest first."""
    return sorted(folder.glob("trail-*.jsonl"))


def write_archive(folder: Path, entry_rows: Sequence[Row], version_rows: Sequence[Row]) -> None:
    """Write one archive, durably. Raises ChangeLogError."""
    path = folder / f"trail-{entry_rows[0][0]:08}.jsonl"
    lines = [{"version": row} for row in version_rows] + [{"entry": row} for row in entry_rows]
    text = "".join(json.dumps(line, ensure_ascii=False) + "\n" for line in lines)
    try:
        replace_file(path, text.encode(), path.with_suffix(".new"))
    except OSError as error:
        raise ChangeLogError(f"{path} can't be written: {error.strerror}; no entries were moved") from error


def read_entries(folder: Path, last_seq: int) -> Iterator[LogEntry]:
    """Yield the archived entries up to ``last_seq``, the oldest first. Raises ChangeLogError if a line can't be read."""
    for path in archive_paths(folder):
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
            try:
                record = json.loads(line)
                if "entry" in record and record["entry"][0] <= last_seq:
                    yield LogEntry(*record["entry"])
            except (ValueError, TypeError) as error:
                raise ChangeLogError(
                    f"{path}, line {number}: not an entry of a change log: {error}"
                ) from error


class ArchiveVerifier:
    """Follows the hash chain over all archives and collects a description of each fault."""

    def __init__(self, folder: Path, find_version: FindVersion) -> None:
        self.faults: list[str] = []
        self._find_version = find_version
        self._versions: dict[int, Row] = {}
        self._entries: list[tuple[str, LogEntry]] = []  # entries with the file names of their archives
        for path in archive_paths(folder):
            self._read(path)

    def _read(self, path: Path) -> None:
        """Read an archive's versions and entries; a line that can't be read is added to the faults."""
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            try:
                record = json.loads(line)
                if "version" in record:
                    self._versions[record["version"][0]] = record["version"][1:]
                else:
                    self._entries.append((path.name, LogEntry(*record["entry"])))
            except (ValueError, TypeError, KeyError, IndexError) as error:
                self.faults.append(f"{path.name}, line {number}: not a line of an archive: {error}")

    def verify(self, prune: PruneRecord | None) -> list[str]:
        """Return the faults. ``prune``: the last prune that the change log records."""
        previous_hash = ""
        for archive, entry in self._entries:
            if prune is None or entry.seq > prune.seq:
                continue  # an interrupted prune wrote the entry, which is still in the database
            content = self._proposed_content(archive, entry)
            if entry_hash(previous_hash, entry.hashed_values(), content, entry.activate_at_ms) != entry.hash:
                self.faults.append(
                    f"{archive}: entry {entry.seq} was altered, or the one before it is missing"
                )
            previous_hash = entry.hash
        if prune is not None and prune.hash != previous_hash:
            self.faults.append(
                f"the archives do not end at entry {prune.seq}, which the change log records as the last one moved"
            )
        return self.faults

    def _proposed_content(self, archive: str, entry: LogEntry) -> str:
        """Return what an entry's hash covers of the version that it proposes; a version in no archive is looked up in the log."""
        if entry.action != "proposed":
            return ""
        if entry.version not in self._versions:
            try:
                version = self._find_version(entry.version)
                self._versions[entry.version] = [version.parent, version.text, version.difference]
            except ChangeLogError:
                self.faults.append(f"{archive}: version {entry.version} is missing from the archives")
        return version_content(self._versions.get(entry.version))
