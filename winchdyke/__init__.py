"""winchdyke: the decisions of a host-side scheduler for a shared disk pool."""

from winchdyke.scheduling import Scheduler

__all__ = ["Scheduler"]
