"""What several parts need of files."""

from __future__ import annotations

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Bring a folder's own entries to the disk: names that were made, renamed or deleted. OSError."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
