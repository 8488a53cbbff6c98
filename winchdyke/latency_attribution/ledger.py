"""Reads ledgers: directories of segments and sums, or single files of them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from winchdyke.latency_attribution.errors import LedgerError
from winchdyke.latency_attribution.records import Account, Annotation, LedgerRecord, MinuteSums, QueueSnapshot
from winchdyke.latency_attribution.segments import RecoveryReport, ledger_files, recover_payloads
from winchdyke.latency_attribution.spans import account_from_annotation

SNAPSHOT_FILE = "now"

_DECODER: msgspec.msgpack.Decoder[LedgerRecord] = msgspec.msgpack.Decoder(LedgerRecord)


def read_entries(
    paths: Iterable[Path], report: RecoveryReport | None = None
) -> Iterator[Account | MinuteSums]:
    """All accounts and sums of ledgers; what is lost is added to the report.

    Raises:
        LedgerError: A path holds no ledger, or can't be read.
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
    """The accounts in ledgers, without those that are left only in sums. Raises LedgerError."""
    return (entry for entry in read_entries(paths, report) if isinstance(entry, Account))


def decode_record(payload: bytes, name: str, report: RecoveryReport) -> Account | MinuteSums | None:
    """A record's content; None, and an entry in the report, where its form is not known."""
    try:
        record = _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        report.records -= 1
        report.losses.append(f"{name}: a record of another form: {error}")
        return None
    if isinstance(record, Annotation):
        return account_from_annotation(record)
    return record


def read_queue_snapshot(directory: Path) -> QueueSnapshot | None:
    """What a gateway has queued, as it last wrote it; None where it has written nothing."""
    try:
        return msgspec.msgpack.decode((directory / SNAPSHOT_FILE).read_bytes(), type=QueueSnapshot)
    except (OSError, msgspec.DecodeError):
        return None
