"""The memory that this process has in use, as the system reports it."""

from __future__ import annotations

import resource
from pathlib import Path

OWN_MEMORY_FIELDS = ("RssAnon", "RssShmem")
STATUS_PATH = Path("/proc/self/status")


def own_memory_bytes(status_path: Path = STATUS_PATH) -> int:
    """Return the resident memory of the process itself, without the files that it maps.

    Where the system doesn't tell them apart, this is the peak of all resident memory, which is more.
    """
    try:
        lines = status_path.read_text(encoding="ascii").splitlines()
        kibibytes = [int(line.split()[1]) for line in lines if line.split(":")[0] in OWN_MEMORY_FIELDS]
    except (OSError, ValueError, IndexError):
        kibibytes = []
    if not kibibytes:
        kibibytes = [resource.getrusage(resource.RUSAGE_SELF).ru_maxrss]
    return sum(kibibytes) * 1024
