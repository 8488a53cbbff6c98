"""A live view of running gateways' ledgers: requests that are queued now, and requests that ended in the last seconds.

Queued requests are read from the file ``now``, which a gateway replaces beside its segments, and ended ones from the ends
of the segments. No request is sent to the gateway.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from winchdyke.latency_attribution.ledger import decode_record, read_queue_snapshot
from winchdyke.latency_attribution.records import Account, QueuedGroup
from winchdyke.latency_attribution.report import percentile_ms
from winchdyke.latency_attribution.segments import (
    SEGMENT_HEADER,
    SEGMENT_SUFFIX,
    RecoveryReport,
    complete_records,
)
from winchdyke.latency_attribution.summary import Summary
from winchdyke.latency_attribution.vocabulary import OUTCOME_FAILED, OUTCOME_REJECTED
from winchdyke.latency_attribution.wording import describe_holder

STALE_AFTER_SECONDS = 5.0
TAIL_BYTES = 1 << 20  # bytes at the end of the newest segment that are read first
MAX_HOLDERS_PER_VOLUME = 2
MAX_HOLDERS_PER_GROUP = 3
NS_PER_MS = 1e6


class LedgerTail:
    """Reads the accounts that are appended to one ledger.

    Attributes:
        recovery: Its ``losses`` describe the records that could not be decoded.
    """

    def __init__(self, directory: Path, tail_bytes: int = TAIL_BYTES) -> None:
        """Starts ``tail_bytes`` before the end of the ledger's newest segment."""
        self.directory = directory
        self.recovery = RecoveryReport()
        self._positions = {path.name: path.stat().st_size for path in directory.glob(f"*{SEGMENT_SUFFIX}")}
        if self._positions:
            newest = max(self._positions)
            self._positions[newest] = max(0, self._positions[newest] - tail_bytes)

    def read_new(self) -> list[Account]:
        """Returns the accounts appended since the last call, without a record that is still incomplete."""
        accounts: list[Account] = []
        for path in sorted(self.directory.glob(f"*{SEGMENT_SUFFIX}")):
            position = self._positions.get(path.name, 0)
            try:
                with path.open("rb") as file:
                    file.seek(position)
                    data = file.read()
            except FileNotFoundError:
                continue  # compacted since the directory was listed
            payloads, end = complete_records(data, 0 if position else len(SEGMENT_HEADER))
            self._positions[path.name] = position + end
            for payload in payloads:
                entry = decode_record(payload, path.name, self.recovery)
                if isinstance(entry, Account):
                    accounts.append(entry)
        return accounts


class LiveView:
    """Figures of the last ``seconds`` of several ledgers."""

    def __init__(self, directories: Iterable[Path], seconds: float) -> None:
        self.directories = list(directories)
        self.seconds = seconds
        self._tails = [LedgerTail(directory) for directory in self.directories]
        self._recent: deque[tuple[float, Account]] = deque()  # end (Unix ms), account

    def snapshot(self, now_ms: float | None = None) -> dict[str, Any]:
        """Returns the current figures with the keys of the command's JSON; times in milliseconds."""
        now_unix_ms = time.time() * 1000 if now_ms is None else now_ms
        self._read_recent(now_unix_ms)
        summary = Summary()
        for _, account in self._recent:
            summary.add(account)
        by_queued = sorted(summary.volumes, key=lambda name: (-summary.volumes[name].queued_ns, name))
        return {
            "seconds": self.seconds,
            "requests": summary.requests,
            "courses": [self._volume_row(summary, name) for name in by_queued],
            "gateways": [_gateway_row(directory, now_unix_ms) for directory in self.directories],
        }

    def _read_recent(self, now_unix_ms: float) -> None:
        for tail in self._tails:
            for account in tail.read_new():
                end_unix_ms = account.began_unix_ms + account.latency_ns / NS_PER_MS
                self._recent.append((end_unix_ms, account))
        begin_unix_ms = now_unix_ms - self.seconds * 1000
        self._recent = deque(entry for entry in self._recent if entry[0] > begin_unix_ms)

    def _volume_row(self, summary: Summary, name: str) -> dict[str, Any]:
        volume = summary.volumes[name]
        return {
            "volume": name,
            "per_s": volume.requests / self.seconds,
            "refused": volume.outcomes[OUTCOME_REJECTED],
            "failed": volume.outcomes[OUTCOME_FAILED],
            "held_ms": volume.queued_ns / NS_PER_MS / volume.requests,
            "p99_ms": percentile_ms(volume.latencies_us, 99),
            "holders": [
                f"{100 * share_ns / volume.queued_ns:.0f}% {describe_holder(holder, name)}"
                for holder, share_ns in summary.holders(name)[:MAX_HOLDERS_PER_VOLUME]
                if volume.queued_ns
            ],
        }


def _gateway_row(directory: Path, now_unix_ms: float) -> dict[str, Any]:
    snapshot = read_queue_snapshot(directory)
    if snapshot is None:
        return {
            "folder": str(directory),
            "gateway": None,
            "age_s": None,
            "stale": True,
            "dropped": 0,
            "held": [],
        }
    age_s = max(0.0, now_unix_ms - snapshot.unix_ms) / 1000
    by_count = sorted(snapshot.groups, key=lambda group: -group.count)
    return {
        "folder": str(directory),
        "gateway": snapshot.gateway,
        "age_s": age_s,
        "stale": age_s > STALE_AFTER_SECONDS,
        "dropped": snapshot.dropped,
        "held": [_group_row(group) for group in by_count],
    }


def _group_row(group: QueuedGroup) -> dict[str, Any]:
    by_share = sorted(group.holders, key=lambda entry: entry[3], reverse=True)
    return {
        "shard": group.shard,
        "class": group.class_name,
        "count": group.count,
        "cause": group.cause,
        "holders": [
            f"{100 * share:.0f}% {describe_holder((kind, name, detail), '')}"
            for kind, name, detail, share in by_share[:MAX_HOLDERS_PER_GROUP]
        ],
    }
