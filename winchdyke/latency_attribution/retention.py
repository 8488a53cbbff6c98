"""Which segments of a ledger are to be compacted, and which files are deleted, to stay within its size."""

from __future__ import annotations

import contextlib
import time
from pathlib import Path

from winchdyke.latency_attribution.segments import SEGMENT_SUFFIX, SUMS_SUFFIX

DETAIL_FRACTION = 0.75  # of the total size, for accounts; the rest is for sums and the segment being written


def segments_due(directory: Path, max_total_bytes: int, retention_seconds: float) -> list[Path]:
    """Closed segments to be compacted, the oldest first: past their time, or beyond the size for accounts."""
    segments = sorted(directory.glob(f"*{SEGMENT_SUFFIX}"))
    now_seconds = time.time()
    stats = {path: path.stat() for path in segments}
    detail_bytes = sum(stat.st_size for stat in stats.values())
    due = []
    for path in segments[:-1]:  # the last one may still be written to
        is_recent = now_seconds - stats[path].st_mtime < retention_seconds
        if is_recent and detail_bytes <= DETAIL_FRACTION * max_total_bytes:
            break
        due.append(path)
        detail_bytes -= stats[path].st_size
    return due


def delete_oldest_files(directory: Path, max_bytes: int) -> None:
    """Delete files until the rest has a size: first sums, then closed segments, the oldest first."""
    files = [
        *sorted(directory.glob(f"*{SUMS_SUFFIX}")),
        *sorted(directory.glob(f"*{SEGMENT_SUFFIX}"))[:-1],
    ]
    sizes: dict[Path, int] = {}
    for path in files:
        with contextlib.suppress(FileNotFoundError):  # compacted meanwhile
            sizes[path] = path.stat().st_size
    total_bytes = sum(sizes.values())
    for path, size in sizes.items():
        if total_bytes <= max_bytes:
            return
        total_bytes -= size
        path.unlink(missing_ok=True)
