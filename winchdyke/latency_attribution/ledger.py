"""Reads ledgers: directories with files of segments and of minute sums, or single files."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from winchdyke.latency_attribution.errors import LedgerError
from winchdyke.latency_attribution.records import (
    Account,
    LedgerRecord,
    MinuteSums,
    QueueSnapshot,
    TraceRecord,
)
from winchdyke.latency_attribution.segments import RecoveryReport, ledger_files, recover_payloads
from winchdyke.latency_attribution.spans import account_from_trace

SNAPSHOT_FILE = "now"

_DECODER: msgspec.msgpack.Decoder[LedgerRecord] = msgspec.msgpack.Decoder(LedgerRecord)


def read_entries(
    paths: Iterable[Path], report: RecoveryReport | None = None
) -> Iterator[Account | MinuteSums]:
    """Yields all accounts and minute sums of ledgers; data that can't be read is added to the report.

    Raises:
        LedgerError: A path is no ledger, or can't be read.
    """
    report = report if report is not None else RecoveryReport()
    for path in paths:
        for file in ledger_files(path):
            try:
                data = file.read_bytes()
            except OSError as error:
                raise LedgerError(f"{file} can't be read: {error.strerror}") from error
            for payload in recover_payloads(data, file.name, report):
                entry = decode_record(payload, file.name, report)
                if entry is not None:
                    yield entry


def read_accounts(paths: Iterable[Path], report: RecoveryReport | None = None) -> Iterator[Account]:
    """Yields the accounts of ledgers, without those that were compacted to minute sums.

    Raises:
        LedgerError: A path is no ledger, or can't be read.
    """
    return (entry for entry in read_entries(paths, report) if isinstance(entry, Account))


def decode_record(payload: bytes, name: str, report: RecoveryReport) -> Account | MinuteSums | None:
    """Decodes a record; returns None and adds a loss to the report if its format is unknown."""
    try:
        record = _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        report.records -= 1
        report.losses.append(f"{name}: a record has an unknown format: {error}")
        return None
    if isinstance(record, TraceRecord):
        return account_from_trace(record)
    return record


def read_queue_snapshot(directory: Path) -> QueueSnapshot | None:
    """Returns the requests that a gateway had queued when it last wrote its snapshot; None without a readable one."""
    try:
        return msgspec.msgpack.decode((directory / SNAPSHOT_FILE).read_bytes(), type=QueueSnapshot)
    except (OSError, msgspec.DecodeError):
        return None
