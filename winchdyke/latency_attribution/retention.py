"""Chooses the segments of a ledger to compact and deletes files, so that the ledger stays within its size."""

from __future__ import annotations

import contextlib
import time
from pathlib import Path

from winchdyke.latency_attribution.segments import SEGMENT_SUFFIX, SUMS_SUFFIX

# The part of the total size for segments; the rest is for minute sums and the segment being written.
DETAIL_FRACTION = 0.75


def segments_due(directory: Path, max_total_bytes: int, retention_seconds: float) -> list[Path]:
    """Returns the closed segments to compact, the oldest first.

    A segment is due if it is older than the retention time, or while all segments exceed their part of the size.
    """
    segments = sorted(directory.glob(f"*{SEGMENT_SUFFIX}"))
    now_seconds = time.time()
    stats = {path: path.stat() for path in segments}
    detail_bytes = sum(stat.st_size for stat in stats.values())
    due = []
    for path in segments[:-1]:  # the last one may still be written
        is_recent = now_seconds - stats[path].st_mtime < retention_seconds
        if is_recent and detail_bytes <= DETAIL_FRACTION * max_total_bytes:
            break
        due.append(path)
        detail_bytes -= stats[path].st_size
    return due


def delete_oldest_files(directory: Path, max_bytes: int) -> None:
    """Deletes files until the rest fits into ``max_bytes``: first minute sums, then closed segments, the oldest first."""
    files = [
        *sorted(directory.glob(f"*{SUMS_SUFFIX}")),
        *sorted(directory.glob(f"*{SEGMENT_SUFFIX}"))[:-1],
    ]
    sizes: dict[Path, int] = {}
    for path in files:
        with contextlib.suppress(FileNotFoundError):  # compacted since the directory was listed
            sizes[path] = path.stat().st_size
    total_bytes = sum(sizes.values())
    for path, size in sizes.items():
        if total_bytes <= max_bytes:
            return
        total_bytes -= size
        path.unlink(missing_ok=True)
