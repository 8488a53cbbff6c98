"""Old segments of a ledger become sums by the minute, and the oldest sums go where there is no room.

A segment ``N.waits`` is read, its sums are written to ``N.sums.new``, synced, renamed to ``N.sums``, and only then is the
segment deleted. A reader that finds both believes the segment alone; so a kill at any moment loses nothing and counts
nothing twice. One process at a time works on a folder: it holds a lock that the system lets go of with the process.
"""

from __future__ import annotations

import fcntl
import os
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from winchdyke.durable_files import sync_directory
from winchdyke.latency_attribution.ledger import ENDING, HEAD, SUMS_ENDING, Recovered, framed, read
from winchdyke.latency_attribution.sums import summed_up

DETAIL_PART = (
    0.75  # of the bytes in all that accounts may have; the rest is for sums and the segment being written
)


@dataclass
class Compacted:
    """What was done: segments summed up, bytes before and after, sums deleted, what could not be read."""

    segments: int = 0
    before: int = 0
    after: int = 0
    deleted: int = 0
    busy: bool = False
    losses: list[str] = field(default_factory=list)


def due(folder: Path, total_bytes: int, keep_s: float) -> list[Path]:
    """Closed segments that are to be summed up, the oldest first: past their time, or over the accounts' part."""
    segments = sorted(folder.glob(f"*{ENDING}"))
    now = time.time()
    stats = {path: path.stat() for path in segments}
    whole = sum(stat.st_size for stat in stats.values())
    found = []
    for path in segments[:-1]:  # the last may still be written
        if whole <= DETAIL_PART * total_bytes and now - stats[path].st_mtime < keep_s:
            break
        found.append(path)
        whole -= stats[path].st_size
    return found


def compact(folder: Path, total_bytes: int, keep_s: float) -> Compacted:
    """Sum up what is due. OSError where the folder can't be written to; what is there stays."""
    done = Compacted()
    with (folder / "compact.lock").open("a") as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            done.busy = True
            return done
        for path in due(folder, total_bytes, keep_s):
            _one(path, done)
        sums = sorted(folder.glob(f"*{SUMS_ENDING}"))
        whole = sum(path.stat().st_size for path in (*sums, *folder.glob(f"*{ENDING}")))
        for path in sums:
            if whole <= total_bytes:
                break
            whole -= path.stat().st_size
            path.unlink()
            done.deleted += 1
    return done


def _one(segment: Path, done: Compacted) -> None:
    found = Recovered()
    sums = summed_up(read([segment], found))
    data = HEAD + b"".join(framed(msgspec.msgpack.encode(each)) for each in sums)
    made = segment.with_suffix(SUMS_ENDING)
    new = made.with_name(made.name + ".new")
    with new.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    new.rename(made)
    sync_directory(segment.parent)
    done.before += segment.stat().st_size
    done.after += len(data)
    done.segments += 1
    done.losses += found.losses
    segment.unlink()
