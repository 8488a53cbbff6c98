"""Gateways named by a list service: seeds of membership in addition to the configured and cached ones.

The list does not determine which gateways are alive: its addresses are contacted like all other seeds. While the service
fails, the last list stays valid and the service is polled with backoff.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import replace

import anyio
import structlog

from winchdyke.config.model import Discovery
from winchdyke.discovery.list_protocol import ReceivedList
from winchdyke.discovery.list_service import ListServiceSource
from winchdyke.discovery.polling import jittered_backoff_seconds
from winchdyke.interface import EndpointListKind, EndpointStatus

MAX_GATEWAYS = 1024  # the maximum number of members that membership tracks


class GatewaySeeds:
    """Follows a list of gateways and passes on the ready ones as seeds."""

    def __init__(
        self,
        address: tuple[str, int, str],
        discovery: Discovery,
        gateway: str,
        clock: Callable[[], float],
        on_change: Callable[[tuple[str, ...]], None],
    ) -> None:
        """Creates a follower of the list at an address; :meth:`run` starts it.

        Args:
            address: Host, port and path of the list.
            discovery: Settings from which the timeouts and the list format are taken.
            gateway: The name sent in each call.
            clock: Monotonic ms.
            on_change: Called with the addresses of all ready gateways whenever they change.
        """
        host, port, path = address
        settings = replace(discovery, host=host, port=port, path=path)
        self._source = ListServiceSource(settings, gateway, clock)
        self._on_change = on_change
        self._rng = random.Random(time.monotonic_ns())
        self._ready: set[str] = set()
        self._failures = 0
        self._log = structlog.get_logger("discovery")

    async def run(self) -> None:
        """Follows the list until cancelled."""
        self._source.request_poll()
        await self._source.run(self._on_list, self._on_failure)

    async def _on_list(self, _: str, received: ReceivedList) -> None:
        self._failures = 0
        ready = set(self._ready) if received.kind is EndpointListKind.CHANGES else set()
        for entry in received.entries:
            if entry.status is EndpointStatus.READY:
                ready.add(entry.name)
            else:
                ready.discard(entry.name)
        if ready == self._ready:
            return
        self._ready = ready
        if len(ready) > MAX_GATEWAYS:
            reason = f"the list contains {len(ready)} gateways; only {MAX_GATEWAYS} are used"
            self._log.warning("gateway_list_truncated", reason=reason)
        self._on_change(tuple(sorted(ready)[:MAX_GATEWAYS]))

    async def _on_failure(self, _: str, error: str) -> None:
        self._failures += 1
        self._log.warning("gateway_list_fetch_failed", error=f"{error}; see fleet, list")
        await anyio.sleep(jittered_backoff_seconds(self._failures, self._rng))
        self._source.request_poll()
