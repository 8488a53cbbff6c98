"""Carries out a graceful shutdown by its schedule: closing connections, answering what is open, and the end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.platform.client_connections import ClientConnections
from winchdyke.platform.client_idle_eviction import IdleEviction
from winchdyke.platform.client_listener import ClientListener
from winchdyke.platform.graceful_shutdown import ShutdownSchedule, shutdown_schedule

SHUTDOWN_CHECK_SECONDS = 0.02  # between looks at what is still open


class ShutdownSequence:
    """One shutdown. ``schedule`` is None before it starts; ``finished`` is done when nothing is open any more."""

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
    def answer_by_ms(self) -> float:
        """When open requests are answered, whatever has become of them; infinite before a shutdown."""
        return float("inf") if self.schedule is None else self.schedule.answer_by_ms

    def start(self, longest_deadline_ms: float) -> None:
        """Begin, for classes with such a longest deadline."""
        self.schedule = shutdown_schedule(self._clock(), longest_deadline_ms)
        self._eviction.idle_limits_suspended = True

    def advance(self) -> None:
        """Do what is due by now, and come back until the end."""
        schedule = self.schedule
        assert schedule is not None
        now_ms = self._clock()
        if now_ms >= schedule.closing_from_ms:
            self._clients.close_after_response = True
            self._eviction.close_idle()
        if now_ms >= schedule.answer_by_ms and self._scheduler_loop.open_requests:
            # The process is ended at a time that nobody tells beforehand, and what is open then would be lost.
            self._scheduler_loop.finish_all("stopping")
        if (
            not self._is_settled(schedule, now_ms)
            or self._scheduler_loop.open_requests
            or not self._process_pending()
        ):
            self._loop.call_later(SHUTDOWN_CHECK_SECONDS, self.advance)
        elif not self.finished.done():
            self._listener.close()
            self._clients.close_all()
            self.finished.set_result(None)

    def _is_settled(self, schedule: ShutdownSchedule, now_ms: float) -> bool:
        """Whether no request can be on its way any more, or none that is waited for."""
        if not self._clients.close_after_response or now_ms < schedule.earliest_exit_ms:
            return False
        return now_ms >= schedule.answer_by_ms or not self._clients.has_unsettled

    def _process_pending(self) -> bool:
        """Take all that stands in the queue or in a socket; whether no response is owed.

        Called in the turn of the event loop that ends the process: what came before it was taken, and would be lost.
        """
        while not self._listener.accept_pending():
            pass
        self._clients.process_pending()
        return not self._clients.awaiting_count
