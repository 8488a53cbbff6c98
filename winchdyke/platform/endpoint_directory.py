"""The stores listed by discovery: keeps their addresses for attempts and posts the lists to the scheduler."""

from __future__ import annotations

import time
from collections.abc import Callable

from winchdyke import interface as api
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.interface import EndpointListKind, EndpointStatus
from winchdyke.platform.discovery_protocol import EndpointEntry, EndpointListing
from winchdyke.platform.upstream_connection import EndpointAddress
from winchdyke.platform.upstream_pool import UpstreamPool

MIN_START_MS = 1e-3  # above 0, since 0 means that a store started long ago


class EndpointDirectory:
    """Maps endpoint ids to addresses; ``addresses`` holds all endpoints except removed ones."""

    def __init__(
        self, scheduler_loop: SchedulerLoop, upstream_pool: UpstreamPool, clock: Callable[[], float]
    ) -> None:
        self._scheduler_loop = scheduler_loop
        self._upstream_pool = upstream_pool
        self._clock = clock
        self._started_at_ms: dict[tuple[str, float], float] = {}
        self.addresses: dict[str, EndpointAddress] = {}

    def apply(self, listing: EndpointListing, kind: EndpointListKind) -> None:
        """Apply an endpoint list or a change, and post it to the scheduler."""
        now_ms = self._clock()
        now_unix_ms = time.time() * 1000
        if kind is not EndpointListKind.CHANGES:
            self.addresses = {}
        endpoints = []
        for entry in listing.entries:
            self._update_address(entry)
            started_at_ms = self._start_time(entry, now_ms, now_unix_ms)
            endpoints.append(api.Endpoint(entry.id, entry.state, entry.shard, entry.zone, started_at_ms))
        self._started_at_ms = {
            key: started_at_ms
            for key, started_at_ms in self._started_at_ms.items()
            if key[0] in self.addresses
        }
        self._scheduler_loop.post(api.EndpointList(kind, tuple(endpoints)))

    def _update_address(self, entry: EndpointEntry) -> None:
        address = EndpointAddress(entry.id, entry.address)
        before = self.addresses.get(entry.id)
        if before is not None and (before != address or entry.state is not EndpointStatus.READY):
            self._upstream_pool.close_idle_to(before)
        if entry.state is EndpointStatus.REMOVED:
            self.addresses.pop(entry.id, None)
        else:
            self.addresses[entry.id] = address

    def _start_time(self, entry: EndpointEntry, now_ms: float, now_unix_ms: float) -> float:
        """Return a store's start time on the gateway's clock, 0 if it started long ago.

        The time is converted once and kept. If it were converted again for each list, clock drift would make
        every list look like a restart. A start time in the future is caused by clock skew and counts as now.
        """
        if not entry.started_at_unix_ms:
            return 0.0
        started_at_ms = max(MIN_START_MS, min(now_ms, now_ms - (now_unix_ms - entry.started_at_unix_ms)))
        return self._started_at_ms.setdefault((entry.id, entry.started_at_unix_ms), started_at_ms)
