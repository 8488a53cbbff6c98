"""Gateways that a list service names: where a fleet is joined, beside the seeds of the settings and those kept on the disk.

The service's word is never taken for who is alive: what it names is asked, as any seed is. Where it fails, what it said last goes
on counting, and it is asked again ever more rarely.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import replace

import anyio
import structlog

from winchdyke import interface as api
from winchdyke.config.model import Discovery
from winchdyke.discovery.list_protocol import ReceivedList
from winchdyke.discovery.sources import ListServiceSource, jittered_backoff_seconds

MAX_GATEWAYS = 1024  # gateways of a list that are taken: as many as members


class GatewaySeeds:
    """Follows a list of gateways; ``told`` hears the addresses of those that are ready, each time they change."""

    def __init__(
        self,
        where: tuple[str, int, str],
        nodes: Discovery,
        gateway: str,
        clock: Callable[[], float],
        told: Callable[[tuple[str, ...]], None],
    ) -> None:
        """``where``: host, port and path; asked by the gateway's name, with the times of the list of nodes."""
        host, port, path = where
        self._source = ListServiceSource(replace(nodes, host=host, port=port, path=path), gateway, clock)
        self._told, self._draw = told, random.Random(time.monotonic_ns())
        self._ready: set[str] = set()
        self._failures = 0
        self._log = structlog.get_logger("fleet")

    async def run(self) -> None:
        """Follow the list until cancelled."""
        self._source.request_poll()
        await self._source.run(self._heard, self._failed)

    async def _heard(self, _: str, heard: ReceivedList) -> None:
        self._failures = 0
        before = set(self._ready)
        if heard.kind is not api.EndpointListKind.CHANGES:
            self._ready = set()
        for entry in heard.entries:
            if entry.status is api.EndpointStatus.READY:
                self._ready.add(entry.name)
            else:
                self._ready.discard(entry.name)
        if self._ready != before:
            if len(self._ready) > MAX_GATEWAYS:
                self._log.warning(
                    "fleet", trouble=f"the list names {len(self._ready)} gateways: {MAX_GATEWAYS} are taken"
                )
            self._told(tuple(sorted(self._ready)[:MAX_GATEWAYS]))

    async def _failed(self, _: str, why: str) -> None:
        self._failures += 1
        self._log.warning("fleet", trouble=f"the list of gateways can't be had: {why}; see fleet, list")
        await anyio.sleep(jittered_backoff_seconds(self._failures, self._draw))
        self._source.request_poll()
