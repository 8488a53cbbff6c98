"""Carries out a graceful shutdown on its schedule: closes connections and finishes open requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.platform.client_connections import ClientConnections
from winchdyke.platform.client_idle_eviction import IdleEviction
from winchdyke.platform.client_listener import ClientListener
from winchdyke.platform.graceful_shutdown import ShutdownSchedule, shutdown_schedule

SHUTDOWN_CHECK_SECONDS = 0.02  # interval at which the progress of a shutdown is checked


class ShutdownSequence:
    """One shutdown. ``schedule`` is None before it starts; ``finished`` is done once everything is closed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        scheduler_loop: SchedulerLoop,
        clients: ClientConnections,
        eviction: IdleEviction,
        listener: ClientListener,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._scheduler_loop = scheduler_loop
        self._clients = clients
        self._eviction = eviction
        self._listener = listener
        self.schedule: ShutdownSchedule | None = None
        self.finished: asyncio.Future[None] = loop.create_future()

    @property
    def respond_by_ms(self) -> float:
        """When every open request gets a final response; infinite before a shutdown."""
        return float("inf") if self.schedule is None else self.schedule.respond_by_ms

    def start(self, longest_deadline_ms: float) -> None:
        """Start the shutdown, given the longest deadline of any request class."""
        self.schedule = shutdown_schedule(self._clock(), longest_deadline_ms)
        self._eviction.idle_limits_suspended = True

    def advance(self) -> None:
        """Perform the steps that are due, and schedule the next check unless the shutdown has finished."""
        schedule = self.schedule
        assert schedule is not None
        now_ms = self._clock()
        if now_ms >= schedule.close_connections_from_ms:
            self._clients.close_after_response = True
            self._eviction.close_idle()
        if now_ms >= schedule.respond_by_ms and self._scheduler_loop.open_requests:
            # The platform doesn't announce when it kills the process, and open requests would be lost.
            self._scheduler_loop.finish_all("stopping")
        if (
            not self._may_finish(schedule, now_ms)
            or self._scheduler_loop.open_requests
            or not self._process_pending()
        ):
            self._loop.call_later(SHUTDOWN_CHECK_SECONDS, self.advance)
        elif not self.finished.done():
            self._listener.close()
            self._clients.close_all()
            self.finished.set_result(None)

    def _may_finish(self, schedule: ShutdownSchedule, now_ms: float) -> bool:
        """Return whether no request can still arrive, or the shutdown no longer waits for one."""
        if not self._clients.close_after_response or now_ms < schedule.earliest_exit_ms:
            return False
        return now_ms >= schedule.respond_by_ms or not self._clients.has_unfinished

    def _process_pending(self) -> bool:
        """Accept all waiting connections and read all waiting data; return whether nothing is pending.

        Called in the last turn of the event loop: the kernel has accepted this data, so the requests in it
        would be lost if the process exited now.
        """
        while not self._listener.accept_pending():
            pass
        self._clients.process_pending()
        return not self._clients.awaiting_count and not self._clients.turn_budget.has_deferred
