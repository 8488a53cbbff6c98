"""winchdyke: a storage gateway that schedules the reads and writes of a host across storage nodes."""

from winchdyke.scheduling import Scheduler

__all__ = ["Scheduler"]
