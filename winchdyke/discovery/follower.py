"""A gateway's view of the nodes while it runs: sources, disk and trials feed the belief; the scheduler hears what it holds."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path

import anyio
import anyio.to_thread
import structlog

from winchdyke import interface as api
from winchdyke.discovery import cache
from winchdyke.discovery.endpoint_view import (
    CachedEndpoint,
    DiscoveryBounds,
    DiscoveryStatus,
    EndpointEvidence,
    EndpointView,
)
from winchdyke.discovery.list_protocol import ReceivedList
from winchdyke.discovery.sources import EndpointSource

TICK_S = 0.02
SAVE_S, CONFIRM_S = 1.0, 60.0  # after a change, and where only the times of confirmation changed
HISTORY_BYTES = 1 << 20


class EndpointFollower:
    """What one gateway believes, kept current. ``post`` takes the scheduler's news, ``trial`` dials a node."""

    def __init__(
        self,
        bounds: DiscoveryBounds,
        sources: list[EndpointSource],
        gateway: str,
        clock: Callable[[], float],
        post: Callable[[api.EndpointList], Awaitable[None]],
        trial: Callable[[str], Awaitable[bool]],
        folder: Path | None = None,
    ) -> None:
        self.sources, self.gateway, self._clock, self._post, self._trial = (
            sources,
            gateway,
            clock,
            post,
            trial,
        )
        self.view = EndpointView(bounds, [source.name for source in sources])
        self.cache_directory = folder
        self._log = structlog.get_logger("nodes")
        self._states: dict[str, tuple[DiscoveryStatus, str]] = {}
        self._members: frozenset[tuple[str, int, str, str]] = frozenset()
        self._saved = -1e18
        self._trouble = ""
        self._trying = False
        self._wake = anyio.Event()

    def request_poll(self) -> None:
        """The scheduler wants the list."""
        for source in self.sources:
            source.request_poll()

    def restore(self) -> None:
        """Take up what is on the disk; what can't be used is said, and nothing is lost by it."""
        if self.cache_directory is None:
            return
        try:
            self.cache_directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        except OSError as error:
            self._log.warning(
                "node-list", trouble=f"{self.cache_directory}: {error.strerror}; no list is kept"
            )
            self.cache_directory = None
            return
        kept, said = cache.load(self.cache_directory)
        for text in said:
            self._log.warning("node-list", trouble=text)
        if kept is not None:
            self.view.restore_cached(kept.endpoints, self._clock())
            age = max(0.0, time.time() - kept.saved_unix_ms / 1000)
            self._log.info("node-list", kept=len(kept.endpoints), age_s=round(age))

    async def run(self) -> None:
        """Follow the sources until cancelled."""
        self.restore()
        async with anyio.create_task_group() as group:
            for source in self.sources:
                group.start_soon(source.run, self._told, self._failed)
            while True:
                now = self._clock()
                self.view.tick(now)
                name = None if self._trying else self.view.next_health_check(now)
                if name is not None:
                    self._trying = True
                    group.start_soon(self._try, name)
                await self._tell()
                await self._save(now)
                self._wake = anyio.Event()
                with anyio.move_on_after(TICK_S):
                    await self._wake.wait()

    async def _try(self, name: str) -> None:
        try:
            # Spread, so that gateways which start together do not come to a node in one moment.
            await anyio.sleep(random.random() * TICK_S)
            await self._trial(name)
        finally:
            self._trying = False
        await self._tell()

    async def _told(self, source: str, heard: ReceivedList) -> None:
        now, unix = self._clock(), time.time() * 1000
        old = heard.kind is api.EndpointListKind.CACHED
        self.view.apply_list(
            source, heard.entries, now, unix, heard.kind is not api.EndpointListKind.CHANGES, heard.version, old
        )  # fmt: skip
        news = self.view.take_changes()
        if source == self.sources[0].name:
            whole = heard.kind is not api.EndpointListKind.CHANGES
            nodes = tuple(self.view.snapshot() if whole else news)
            self._note()
            await self._post(api.EndpointList(heard.kind, nodes))
        elif news:
            await self._say(news)

    async def _failed(self, source: str, why: str) -> None:
        self._log.warning("list-failed", source=source, error=why)
        self.view.mark_source_failed(source, self._clock(), time.time() * 1000)
        if source == self.sources[0].name:
            await self._post(api.EndpointList(api.EndpointListKind.FAILED))
        await self._tell()

    def record_response(self, node: str, word: EndpointEvidence) -> bool:
        """A node answered; whether it is the one that is meant."""
        known = self.view.endpoints.get(node)
        before = known.status if known is not None else None
        fits = self.view.record_response(node, word, self._clock(), time.time() * 1000)
        if known is not None and known.status is not before:
            self._wake.set()  # a drain, a stranger: the scheduler hears of it at once
        return fits

    def record_connect_failure(self, node: str) -> None:
        """A node could not be reached."""
        self.view.record_connect_failure(node, self._clock())

    async def _tell(self) -> None:
        news = self.view.take_changes()
        if news:
            await self._say(news)

    async def _say(self, news: list[api.Endpoint]) -> None:
        self._note()
        if self.view.sources[self.sources[0].name].healthy:
            await self._post(api.EndpointList(api.EndpointListKind.CHANGES, tuple(news)))
        else:
            # As a copy: changes would tell the scheduler that the list is followed, and it would not ask for it again.
            await self._post(api.EndpointList(api.EndpointListKind.CACHED, tuple(self.view.snapshot())))

    def _note(self) -> None:
        notes, self.view.warnings = self.view.warnings, []
        for text in notes:
            self._log.warning("nodes", note=text)
        lines = []
        for known in self.view.endpoints.values():
            if self._states.get(known.name, (None, ""))[0] is not known.status:
                self._log.info("node", node=known.name, state=known.status.value, why=known.reason)
                entry = {
                    "unix_ms": round(time.time() * 1000),
                    "node": known.name,
                    "state": known.status.value,
                    "why": known.reason,
                }
                lines.append(json.dumps(entry))
            self._states[known.name] = known.status, known.reason
        if lines and self.cache_directory is not None:
            self._history(lines)

    def _history(self, lines: list[str]) -> None:
        assert self.cache_directory is not None
        where = self.cache_directory / "history.log"
        try:
            if where.exists() and where.stat().st_size > HISTORY_BYTES:
                where.replace(self.cache_directory / "history.log.1")
            with where.open("a", encoding="utf-8") as file:
                file.write("".join(line + "\n" for line in lines))
        except OSError as error:
            self._complain(error)

    async def _save(self, now: float) -> None:
        if self.cache_directory is None or now - self._saved < SAVE_S * 1000 or not self.view.endpoints:
            return
        members = cache.membership_key(self.view.endpoints.values())
        changed = members != self._members
        if not changed and now - self._saved < CONFIRM_S * 1000:
            return
        nodes: list[CachedEndpoint] = [replace(known) for known in self.view.endpoints.values()]
        kept = cache.CachedEndpointList(time.time() * 1000, self.gateway, nodes)
        self._saved = now
        try:
            await anyio.to_thread.run_sync(
                cache.save, self.cache_directory, kept, changed and bool(self._members)
            )
            self._members, self._trouble = members, ""
        except OSError as error:
            # Guards against a full or read-only disk: the gateway serves on with what it believes, and says so once.
            self._complain(error)

    def _complain(self, error: OSError) -> None:
        said = error.strerror or str(error)
        if said != self._trouble:
            self._trouble = said
            self._log.warning(
                "node-list", trouble=f"{self.cache_directory}: {said}; the list on the disk is not kept up"
            )
