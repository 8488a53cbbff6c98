"""A serving gateway and its trail: what is staged is checked once more, applied at one instant, undone where it is not confirmed."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
import anyio.to_thread
import structlog

from winchdyke import interface as api
from winchdyke.changes.edit import text_of
from winchdyke.changes.machine import Step, due, recover
from winchdyke.changes.swap import fixed, moved
from winchdyke.changes.trail import Trail, TrailError
from winchdyke.changes.verdict import Asked, Criteria, Watch, lowered, touched
from winchdyke.config import Config, ConfigError, parse
from winchdyke.config.meaning import diff

LOOK_S = 0.1
GATEWAY = "gateway"


@dataclass(frozen=True)
class Prepared:
    """All that a swap needs, made beside the event loop: ``known`` accounts were looked at for it."""

    old: Config
    config: Config
    version: int
    settings: api.Settings
    plans: dict[str, api.Plan]
    known: int


class Live:
    """Follows the trail in a folder. ``swap`` puts settings into service; it runs in the event loop and waits for nothing."""

    def __init__(
        self,
        folder: Path,
        config: Config,
        swap: Callable[[Prepared], None],
        accounts: Callable[[], list[str]],
        clock: Callable[[], float],
        dead: Callable[[], set[int]],
        criteria: Criteria | None = None,
    ) -> None:
        self.trail, self._config, self._swap, self._accounts = Trail(folder), config, swap, accounts
        self._clock, self._dead, self.watch = clock, dead, Watch(criteria or Criteria())
        self._watched: tuple[float, int, int, Asked, Asked] | None = (
            None  # since, version, before; touched, lowered
        )
        self._seen, self._trial = -1, False
        self._log = structlog.get_logger("changes")
        self.pause_ms = 0.0  # of the last swap

    def begin(self) -> None:
        """At a start: the old or the new version, whole; the trail says which and why."""
        found = self.trail.standing()
        if not self.trail.last():
            first = self.trail.propose(text_of(self._config), 0, "[]", GATEWAY, "the gateway's own file", "")
            for what in ("staged", "applying", "applied"):
                self.trail.add(Step(what, first), GATEWAY)
            found = self.trail.standing()
        steps, why = recover(found)
        for step in steps:
            self.trail.add(step, GATEWAY, why)
        serving = self.trail.standing().serving
        if serving:
            self._serve(self._prepare(serving, []))
        self._log.info("changes", version=serving, why=why)

    def _read(self, version: int) -> Config:
        return parse(self.trail.version(version).text, f"version {version}")

    def _prepare(self, version: int, names: list[str]) -> Prepared:
        config = self._read(version)
        plans = moved(self._config, config, names)
        return Prepared(self._config, config, version, config.settings(), plans, len(names))

    def _serve(self, prepared: Prepared) -> None:
        began = time.perf_counter()
        self._swap(prepared)
        self.pause_ms = (time.perf_counter() - began) * 1000
        self._config = prepared.config

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._look()
            except TrailError as error:
                self._log.warning("changes", trouble=str(error))
            await anyio.sleep(LOOK_S)

    async def _look(self) -> None:
        if self._watched is not None:
            await self._judge(*self._watched)
        last = await anyio.to_thread.run_sync(self.trail.last)
        found = (
            await anyio.to_thread.run_sync(self.trail.standing) if last != self._seen or self._trial else None
        )
        if found is None:
            return
        self._seen, self._trial = last, bool(found.until_ms)
        step = due(found, time.time() * 1000)
        if step is None:
            return
        if step.what == "undoing":
            await self._add(step, "not confirmed in time")
            await self._undo(step.version)
        elif found.serving and await anyio.to_thread.run_sync(self._is_undo, step.version):
            await self._add(Step("undoing", step.version), "asked for")
            await self._undo(step.version)
        else:
            await self._apply(step, found.serving, found.staged_until_ms)

    def _is_undo(self, version: int) -> bool:
        last = [
            entry for entry in self.trail.entries() if entry.what == "staged" and entry.version == version
        ][-1]
        return last.note == "undo"

    async def _apply(self, step: Step, serving: int, until_ms: float) -> None:
        try:
            prepared = await anyio.to_thread.run_sync(self._prepare, step.version, self._accounts())
            config = prepared.config
            needs = fixed(diff(self._config, config))
        except ConfigError as error:
            await self._add(Step("refused", step.version), f"does not pass the check: {error}")
            return
        if needs:
            await self._add(Step("refused", step.version), f"needs a start: {', '.join(needs[:5])}")
            return
        await self._add(step, "")
        old = self._config
        self._serve(prepared)
        self._watched = self._clock(), step.version, serving, touched(old, config), lowered(old, config)
        await self._add(
            Step("applied", step.version, until_ms=until_ms), f"swapped in {self.pause_ms:.2f} ms"
        )

    async def _judge(self, since: float, version: int, before: int, mine: Asked, less: Asked) -> None:
        now = self._clock()
        found = self.watch.verdict(since, now, mine, self._dead(), less)
        if found.bad:
            await self._add(Step("undoing", before), f"version {version} does harm: {found.why}")
            await self._undo(before)
        elif now - since >= self.watch.criteria.watch:
            self._log.info("changes", version=version, verdict="good", why=found.why)
            self._watched = None

    async def _undo(self, version: int) -> None:
        self._watched = None
        self._serve(await anyio.to_thread.run_sync(self._prepare, version, self._accounts()))
        await self._add(Step("undone", version), f"swapped in {self.pause_ms:.2f} ms")

    async def _add(self, step: Step, note: str) -> None:
        self._log.info("changes", step=step.what, version=step.version, note=note)
        await anyio.to_thread.run_sync(self.trail.add, step, GATEWAY, note)
