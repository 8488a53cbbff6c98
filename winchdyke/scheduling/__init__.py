"""Every decision of the gateway: which request is sent to which endpoint when, which is queued, and which is rejected.

Public names: :class:`Scheduler`, whose events and actions are the types of :mod:`winchdyke.interface`. The package
imports nothing else of the project. It does no I/O, reads no clock and keeps no global state.
"""

from winchdyke.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]
