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
from winchdyke.discovery.endpoint_view import Bounds, CachedEndpoint, EndpointEvidence, EndpointView, State
from winchdyke.discovery.list_protocol import ReceivedList
from winchdyke.discovery.sources import Source

TICK_S = 0.02
SAVE_S, CONFIRM_S = 1.0, 60.0  # after a change, and where only the times of confirmation changed
HISTORY_BYTES = 1 << 20


class EndpointFollower:
    """What one gateway believes, kept current. ``post`` takes the scheduler's news, ``trial`` dials a node."""

    def __init__(
        self,
        bounds: Bounds,
        sources: list[Source],
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
        self.belief = EndpointView(bounds, [source.name for source in sources])
        self.folder = folder
        self._log = structlog.get_logger("nodes")
        self._states: dict[str, tuple[State, str]] = {}
        self._members: frozenset[tuple[str, int, str, str]] = frozenset()
        self._saved = -1e18
        self._trouble = ""
        self._trying = False
        self._wake = anyio.Event()

    def ask(self) -> None:
        """The scheduler wants the list."""
        for source in self.sources:
            source.ask()

    def restore(self) -> None:
        """Take up what is on the disk; what can't be used is said, and nothing is lost by it."""
        if self.folder is None:
            return
        try:
            self.folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        except OSError as error:
            self._log.warning("node-list", trouble=f"{self.folder}: {error.strerror}; no list is kept")
            self.folder = None
            return
        kept, said = cache.load(self.folder)
        for text in said:
            self._log.warning("node-list", trouble=text)
        if kept is not None:
            self.belief.restored(kept.nodes, self._clock())
            age = max(0.0, time.time() - kept.unix_ms / 1000)
            self._log.info("node-list", kept=len(kept.nodes), age_s=round(age))

    async def run(self) -> None:
        """Follow the sources until cancelled."""
        self.restore()
        async with anyio.create_task_group() as group:
            for source in self.sources:
                group.start_soon(source.run, self._told, self._failed)
            while True:
                now = self._clock()
                self.belief.tick(now)
                name = None if self._trying else self.belief.trial(now)
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
        self.belief.listed(
            source, heard.entries, now, unix, heard.kind is not api.EndpointListKind.CHANGES, heard.version, old
        )  # fmt: skip
        news = self.belief.news()
        if source == self.sources[0].name:
            whole = heard.kind is not api.EndpointListKind.CHANGES
            nodes = tuple(self.belief.all() if whole else news)
            self._note()
            await self._post(api.EndpointList(heard.kind, nodes))
        elif news:
            await self._say(news)

    async def _failed(self, source: str, why: str) -> None:
        self._log.warning("list-failed", source=source, error=why)
        self.belief.failed(source, self._clock(), time.time() * 1000)
        if source == self.sources[0].name:
            await self._post(api.EndpointList(api.EndpointListKind.FAILED))
        await self._tell()

    def heard(self, node: str, word: EndpointEvidence) -> bool:
        """A node answered; whether it is the one that is meant."""
        known = self.belief.known.get(node)
        before = known.state if known is not None else None
        fits = self.belief.heard(node, word, self._clock(), time.time() * 1000)
        if known is not None and known.state is not before:
            self._wake.set()  # a drain, a stranger: the scheduler hears of it at once
        return fits

    def refused(self, node: str) -> None:
        """A node could not be reached."""
        self.belief.refused(node, self._clock())

    async def _tell(self) -> None:
        news = self.belief.news()
        if news:
            await self._say(news)

    async def _say(self, news: list[api.Endpoint]) -> None:
        self._note()
        if self.belief.sources[self.sources[0].name].healthy:
            await self._post(api.EndpointList(api.EndpointListKind.CHANGES, tuple(news)))
        else:
            # As a copy: changes would tell the scheduler that the list is followed, and it would not ask for it again.
            await self._post(api.EndpointList(api.EndpointListKind.CACHED, tuple(self.belief.all())))

    def _note(self) -> None:
        notes, self.belief.notes = self.belief.notes, []
        for text in notes:
            self._log.warning("nodes", note=text)
        lines = []
        for known in self.belief.known.values():
            if self._states.get(known.name, (None, ""))[0] is not known.state:
                self._log.info("node", node=known.name, state=known.state.value, why=known.why)
                entry = {
                    "unix_ms": round(time.time() * 1000),
                    "node": known.name,
                    "state": known.state.value,
                    "why": known.why,
                }
                lines.append(json.dumps(entry))
            self._states[known.name] = known.state, known.why
        if lines and self.folder is not None:
            self._history(lines)

    def _history(self, lines: list[str]) -> None:
        assert self.folder is not None
        where = self.folder / "history.log"
        try:
            if where.exists() and where.stat().st_size > HISTORY_BYTES:
                where.replace(self.folder / "history.log.1")
            with where.open("a", encoding="utf-8") as file:
                file.write("".join(line + "\n" for line in lines))
        except OSError as error:
            self._complain(error)

    async def _save(self, now: float) -> None:
        if self.folder is None or now - self._saved < SAVE_S * 1000 or not self.belief.known:
            return
        members = cache.members(self.belief.known.values())
        changed = members != self._members
        if not changed and now - self._saved < CONFIRM_S * 1000:
            return
        nodes: list[CachedEndpoint] = [replace(known) for known in self.belief.known.values()]
        kept = cache.CachedEndpointList(time.time() * 1000, self.gateway, nodes)
        self._saved = now
        try:
            await anyio.to_thread.run_sync(cache.save, self.folder, kept, changed and bool(self._members))
            self._members, self._trouble = members, ""
        except OSError as error:
            # Guards against a full or read-only disk: the gateway serves on with what it believes, and says so once.
            self._complain(error)

    def _complain(self, error: OSError) -> None:
        said = error.strerror or str(error)
        if said != self._trouble:
            self._trouble = said
            self._log.warning(
                "node-list", trouble=f"{self.folder}: {said}; the list on the disk is not kept up"
            )
