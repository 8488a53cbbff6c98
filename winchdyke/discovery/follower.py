"""Runs endpoint discovery: feeds lists, responses and time into the endpoint view and publishes its changes."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import structlog

from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.endpoint_view import EndpointView
from winchdyke.discovery.history import StatusChange
from winchdyke.discovery.list_protocol import ReceivedList
from winchdyke.discovery.persistence import ViewPersistence
from winchdyke.discovery.records import DiscoveryStatus, EndpointEvidence
from winchdyke.discovery.sources import EndpointSource
from winchdyke.interface import Endpoint, EndpointList, EndpointListKind

TICK_SECONDS = 0.02


class EndpointFollower:
    """Keeps one gateway's endpoint view current.

    Attributes:
        view: The endpoint view.
        sources: The sources of lists, in order of precedence.
    """

    def __init__(
        self,
        bounds: DiscoveryBounds,
        sources: list[EndpointSource],
        gateway: str,
        clock: Callable[[], float],
        publish: Callable[[EndpointList], Awaitable[None]],
        check_health: Callable[[str], Awaitable[bool]],
        cache_directory: Path | None = None,
    ) -> None:
        """``clock``: monotonic ms; ``publish`` sends lists to the scheduler; ``check_health`` connects to an endpoint."""
        self.view = EndpointView(bounds, [source.name for source in sources])
        self.sources = sources
        self._clock = clock
        self._publish = publish
        self._check_health = check_health
        self._persistence = ViewPersistence(cache_directory, gateway)
        self._log = structlog.get_logger("discovery")
        self._logged_statuses: dict[str, DiscoveryStatus] = {}
        self._health_check_running = False
        self._wakeup = anyio.Event()

    def request_poll(self) -> None:
        """Polls all sources now, at the scheduler's request."""
        for source in self.sources:
            source.request_poll()

    def restore(self) -> None:
        """Loads the cache into the view."""
        cached = self._persistence.load()
        if cached is not None:
            self.view.restore_cached(cached.endpoints, self._clock())

    async def run(self) -> None:
        """Follows the sources until cancelled."""
        self.restore()
        async with anyio.create_task_group() as group:
            for source in self.sources:
                group.start_soon(source.run, self._on_list, self._on_failure)
            while True:
                now_ms = self._clock()
                self.view.tick(now_ms)
                name = None if self._health_check_running else self.view.next_health_check(now_ms)
                if name is not None:
                    self._health_check_running = True
                    group.start_soon(self._run_health_check, name)
                await self._publish_changes()
                await self._persistence.save_if_due(self.view.endpoints.values(), now_ms)
                self._wakeup = anyio.Event()
                with anyio.move_on_after(TICK_SECONDS):
                    await self._wakeup.wait()

    def record_response(self, name: str, evidence: EndpointEvidence) -> bool:
        """Records an endpoint's response. Returns whether requests may be sent on its connection."""
        endpoint = self.view.endpoints.get(name)
        status_before = endpoint.status if endpoint is not None else None
        accepted = self.view.record_response(name, evidence, self._clock(), time.time() * 1000)
        if endpoint is not None and endpoint.status is not status_before:
            self._wakeup.set()  # publish a drain or a reused address without waiting for the next tick
        return accepted

    def record_connect_failure(self, name: str) -> None:
        """Records a failed connection to an endpoint."""
        self.view.record_connect_failure(name, self._clock())

    async def _run_health_check(self, name: str) -> None:
        try:
            # Jitter, so that gateways that start together do not connect to an endpoint at the same moment.
            await anyio.sleep(random.random() * TICK_SECONDS)
            await self._check_health(name)
        finally:
            self._health_check_running = False
        await self._publish_changes()

    async def _on_list(self, source_name: str, received: ReceivedList) -> None:
        complete = received.kind is not EndpointListKind.CHANGES
        self.view.apply_list(
            source_name,
            received.entries,
            self._clock(),
            time.time() * 1000,
            complete=complete,
            version=received.version,
            is_cached_copy=received.kind is EndpointListKind.CACHED,
        )
        changes = self.view.take_changes()
        if source_name == self.sources[0].name:
            endpoints = self.view.snapshot() if complete else changes
            self._log_changes()
            await self._publish(EndpointList(received.kind, tuple(endpoints)))
        elif changes:
            await self._publish_list(changes)

    async def _on_failure(self, source_name: str, error: str) -> None:
        self._log.warning("endpoint_list_fetch_failed", source=source_name, error=error)
        self.view.mark_source_failed(source_name, self._clock(), time.time() * 1000)
        if source_name == self.sources[0].name:
            await self._publish(EndpointList(EndpointListKind.FAILED))
        await self._publish_changes()

    async def _publish_changes(self) -> None:
        changes = self.view.take_changes()
        if changes:
            await self._publish_list(changes)

    async def _publish_list(self, changes: list[Endpoint]) -> None:
        self._log_changes()
        if self.view.sources[self.sources[0].name].healthy:
            await self._publish(EndpointList(EndpointListKind.CHANGES, tuple(changes)))
        else:
            # A CHANGES list would indicate that the first source works, and the scheduler would not request a poll.
            await self._publish(EndpointList(EndpointListKind.CACHED, tuple(self.view.snapshot())))

    def _log_changes(self) -> None:
        """Logs the view's warnings, and each endpoint whose status changed since the last call."""
        warnings = self.view.warnings
        self.view.warnings = []
        for text in warnings:
            self._log.warning("endpoint_list_suspect", reason=text)
        changes = []
        for endpoint in self.view.endpoints.values():
            if self._logged_statuses.get(endpoint.name) is endpoint.status:
                continue
            self._logged_statuses[endpoint.name] = endpoint.status
            self._log.info(
                "endpoint_status_changed",
                endpoint=endpoint.name,
                status=endpoint.status.value,
                reason=endpoint.reason,
            )
            unix_ms = round(time.time() * 1000)
            changes.append(StatusChange(unix_ms, endpoint.name, endpoint.status, endpoint.reason))
        self._persistence.append_history(changes)
