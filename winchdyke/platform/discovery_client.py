"""Keeps a watch on discovery open: reconnects if it ends or goes silent, and moves to a new address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from winchdyke.peer_limits.turn_budget import TurnBudget
from winchdyke.platform.configuration import Address
from winchdyke.platform.discovery_protocol import EndpointListError, EndpointListing
from winchdyke.platform.discovery_watch import ENDED, EndpointWatch

# Discovery sends an empty line every 2 s, so this timeout detects a dead watch almost at once. If a watch goes
# silent, the platform regards the gateway as notified of a missed change 6 s later, and immediately of anything
# that discovery sends when it returns. Until a new watch receives data, a store's drain may go unnoticed.
WATCH_SILENCE_SECONDS = 2.25
SILENCE_CHECK_SECONDS = 0.1
MIN_BACKOFF_SECONDS = 0.05  # doubles with each consecutive failure; the first retry is immediate
MAX_BACKOFF_SECONDS = 1.0
MAX_COUNTED_FAILURES = 8


class DiscoveryClient:
    """Keeps a watch open and delivers each endpoint list and each change, in order.

    Attributes:
        version: The version of the present endpoint list.
        first_response: Done once discovery has sent any data.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        version: int,
        on_endpoint_list: Callable[[EndpointListing], None],
        turn_budget: TurnBudget,
    ) -> None:
        self.loop = loop
        self.turn_budget = turn_budget
        self.address = address
        self.version = version
        self.first_response: asyncio.Future[None] = loop.create_future()
        self._on_endpoint_list = on_endpoint_list
        self._watch: EndpointWatch | None = None
        # The watch at the previous address, kept until the new watch receives data.
        self._previous_watch: EndpointWatch | None = None
        self._needs_full_list = False
        self._failures = 0
        self._stopped = False
        self._task: asyncio.Task[None] | None = None
        self._log = structlog.get_logger("discovery")
        self._start_watch()
        loop.call_later(SILENCE_CHECK_SECONDS, self._check_silence)

    def change_address(self, address: Address) -> None:
        """Watch discovery at another address; the present watch is kept until the new one receives data."""
        if address == self.address:
            return
        self.address = address
        watch = self._watch
        self._watch = None
        self._failures = 0
        # The address may change again before the new watch has received data. Keep the last watch that has.
        if watch is not None and watch.has_received_data:
            superseded = self._previous_watch
            self._previous_watch = watch
        else:
            superseded = watch
        if superseded is not None:
            superseded.abort()
        self._start_watch()

    def stop(self) -> None:
        """Abort all watches and start no new ones."""
        self._stopped = True
        for watch in (self._watch, self._previous_watch):
            if watch is not None:
                watch.abort()

    def handle_activity(self, watch: EndpointWatch) -> None:
        """Record that a watch has received data, even an empty line; it then replaces the previous watch."""
        if watch is self._watch and self._previous_watch is not None:
            self._previous_watch.abort()
            self._previous_watch = None
        if not self.first_response.done():
            self.first_response.set_result(None)

    def handle_endpoint_list(self, watch: EndpointWatch, listing: EndpointListing) -> None:
        """Apply an endpoint list or a change.

        Raises EndpointListError if discovery's version numbers were reset and no full list was sent.
        """
        if listing.version < watch.requested_version and not listing.full:
            raise EndpointListError(
                f"received changes of version {listing.version} although only changes after "
                f"version {watch.requested_version} were requested"
            )
        self.handle_activity(watch)
        if listing.version < self.version and watch.requested_version <= listing.version:
            return  # the other watch delivered a newer version; even a full list would undo a drain
        if not listing.full and listing.version == self.version:
            return  # already received from the watch at the other address
        self.version = listing.version
        self._needs_full_list = False
        # Discovery may have reset its version numbers; later ones then count from the new number.
        watch.requested_version = min(watch.requested_version, listing.version)
        self._on_endpoint_list(listing)

    def handle_unreadable(self, watch: EndpointWatch, error: str) -> None:
        """Close a watch that sent an invalid message, and request the full list next."""
        self._needs_full_list = True
        self.handle_watch_closed(watch, f"unreadable: {error}")

    def handle_watch_closed(self, watch: EndpointWatch, reason: str) -> None:
        """Close a watch and reconnect: at once after a first failure, else with backoff."""
        watch.abort()
        if watch is self._previous_watch:
            self._previous_watch = None
        if watch is not self._watch or self._stopped:
            return
        self._watch = None
        # A watch that receives data and then ends within MAX_BACKOFF_SECONDS must not reset the backoff.
        if watch.has_received_data and self.loop.time() - watch.started_at >= MAX_BACKOFF_SECONDS:
            self._failures = 0
        if reason != ENDED and not self._failures:
            self._log.warning("discovery_watch_lost", reason=reason)
        backoff_seconds = self._next_backoff_seconds()
        self.loop.call_later(backoff_seconds, self._retry)

    def _next_backoff_seconds(self) -> float:
        failures = self._failures
        self._failures = min(failures + 1, MAX_COUNTED_FAILURES)
        if not failures:
            return 0.0
        return min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2.0**failures)

    def _retry(self) -> None:
        if self._watch is None:
            self._start_watch()

    def _start_watch(self) -> None:
        if self._stopped:
            return
        if self._watch is not None:
            self._watch.abort()
        watch = EndpointWatch(self, self._needs_full_list, self.version)
        self._watch = watch
        self._task = self.loop.create_task(self._connect(watch))

    async def _connect(self, watch: EndpointWatch) -> None:
        try:
            async with asyncio.timeout(WATCH_SILENCE_SECONDS):
                await self.loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError) as error:
            self.handle_watch_closed(watch, str(error) or "no connection")

    def _check_silence(self) -> None:
        if self._stopped:
            return
        watch = self._watch
        if watch is not None and self.loop.time() - watch.last_received_at > WATCH_SILENCE_SECONDS:
            self.handle_watch_closed(watch, "silent")
        self.loop.call_later(SILENCE_CHECK_SECONDS, self._check_silence)
