"""The scheduler: decides which requests are sent where and when, which are queued, and which are rejected.

The public class is :class:`Scheduler`; its events and actions are defined in :mod:`winchdyke.interface`. The
package imports nothing else of the project, does no I/O, reads no clock and keeps no global state.
"""

from winchdyke.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]
