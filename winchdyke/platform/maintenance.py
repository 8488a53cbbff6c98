"""Periodic work: closes expired store connections, finishes overdue requests and logs the ``state`` line."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable
from typing import Any

import structlog

from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.platform.client_connections import ClientConnections
from winchdyke.platform.endpoint_directory import EndpointDirectory
from winchdyke.platform.request_forwarding import RequestForwarder
from winchdyke.platform.upstream_pool import UpstreamPool

MAINTENANCE_INTERVAL_SECONDS = 0.25
STATE_LOG_SECONDS = 10.0


class Maintenance:
    """Runs on event loop timers from ``start`` until the process ends."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        scheduler_loop: SchedulerLoop,
        clients: ClientConnections,
        upstream_pool: UpstreamPool,
        endpoints: EndpointDirectory,
        forwarder: RequestForwarder,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._scheduler_loop = scheduler_loop
        self._clients = clients
        self._upstream_pool = upstream_pool
        self._endpoints = endpoints
        self._forwarder = forwarder
        self._log = structlog.get_logger("gateway")
        self._expected_at = loop.time()
        self._worst_lag_seconds = 0.0

    def start(self) -> None:
        """Run the first maintenance now and set the timers."""
        self._run()
        self._loop.call_later(STATE_LOG_SECONDS, self._log_state)

    def _run(self) -> None:
        now = self._loop.time()
        self._worst_lag_seconds = max(self._worst_lag_seconds, now - self._expected_at)
        self._expected_at = now + MAINTENANCE_INTERVAL_SECONDS
        self._upstream_pool.close_expired(set(self._endpoints.addresses.values()))
        self._scheduler_loop.finish_overdue(self._clock())
        self._loop.call_later(MAINTENANCE_INTERVAL_SECONDS, self._run)

    def _log_state(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._log.info(
            "state",
            **self._counts(),
            client_connections=self._clients.count,
            open_requests=self._clients.awaiting_count,
            store_connections=len(self._upstream_pool.connections),
            turns_deferred=self._clients.turn_budget.deferred_count,
            request_memory_bytes=self._clients.memory.requests.used_bytes,
            response_memory_bytes=self._clients.memory.responses.used_bytes,
            worst_lag_ms=round(self._worst_lag_seconds * 1000, 1),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            memory_mb=memory_mb(),
        )
        self._worst_lag_seconds = 0.0
        self._loop.call_later(STATE_LOG_SECONDS, self._log_state)

    def _counts(self) -> dict[str, Any]:
        counts: dict[str, Any] = dict(self._forwarder.counts)
        counts |= {f"client:{key}": value for key, value in self._clients.counts.items()}
        counts |= {f"store:{key}": value for key, value in self._upstream_pool.counts.items()}
        return counts


def memory_mb() -> float:
    """Return the process's resident memory in MiB, 0 if the system doesn't provide it."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            resident_pages = int(file.read().split()[1])
    except (OSError, ValueError):
        return 0.0
    return round(resident_pages * resource.getpagesize() / 2**20, 1)
