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
from winchdyke.config import Config, ConfigError, parse
from winchdyke.config.meaning import diff
from winchdyke.config_rollout import last_known_good
from winchdyke.config_rollout.canary_analysis import Asked, CanaryObserver, Criteria, lowered, touched
from winchdyke.config_rollout.change_log import ChangeLogError
from winchdyke.config_rollout.cutover import Going, Phase, limits_differ, moved, phase
from winchdyke.config_rollout.edit import text_of
from winchdyke.config_rollout.hot_reload import fixed
from winchdyke.config_rollout.last_known_good import GATEWAY
from winchdyke.config_rollout.rollout_state import RolloutState, Step, due, recover

LOOK_S = 0.1
NEAR_MS = 300.0  # before an instant, from which on it is waited for
SAY_S = 10.0  # between words on a trail that can't be written
SLICE = 100  # accounts at once
SPARE = 1.25  # times the versions that are kept, from which on the oldest are moved out


@dataclass(frozen=True)
class Prepared:
    """All that a swap needs, made beside the event loop: ``known`` accounts were looked at for it."""

    before: Going
    after: Going
    version: int
    settings: api.Settings
    plans: dict[str, api.Plan]
    known: int


def prepared(before: Going, after: Going, version: int, names: list[str]) -> Prepared:
    """Work out a swap. Slow: not for the event loop."""
    return Prepared(before, after, version, after.settings(), moved(names, before, after), len(names))


class RolloutController:
    """Follows the trail in a folder. ``swap`` puts settings into service; it runs in the event loop and waits for nothing."""

    def __init__(
        self,
        folder: Path,
        config: Config,
        swap: Callable[[Prepared], None],
        accounts: Callable[[], list[str]],
        clock: Callable[[], float],
        dead: Callable[[], set[int]],
        freshen: Callable[[list[str]], None] = lambda _: None,
        criteria: Criteria | None = None,
    ) -> None:
        self._freshen = freshen
        self.folder, self._swap, self._accounts = folder, swap, accounts
        self._keep, self._apart = config.changes.keep, config.changes.clocks_apart
        self.trail, self._damage = last_known_good.opened(folder)
        self._clock, self._dead, self.watch = clock, dead, CanaryObserver(criteria or Criteria())
        self.wall: Callable[[], float] = lambda: time.time() * 1000  # the clock of stated instants
        self._watched: tuple[float, int, int, Asked, Asked] | None = (
            None  # since, version, before; touched, lowered
        )
        self._going, self._version = Going(config, config), 0
        self._ready: tuple[RolloutState, Config] | None = None  # what is staged, and passed the check
        self._settles = 0.0  # the instant whose lower limits count still
        self._owed: list[tuple[Step, str]] = []  # what could not be written yet
        self._known = 0  # accounts that have the plans of this phase
        self._seen, self._found = -1, RolloutState()
        self._said, self._swaps = 0.0, 0
        self.stopping = False
        self._log = structlog.get_logger("changes")
        self.pause_ms = 0.0  # of the last swap

    def begin(self) -> None:
        """At a start: the old or the new version, whole; the trail says which and why."""
        if self._damage:
            self._log.error("changes", trouble=self._damage)
        found = self.trail.standing()
        if not found.serving:
            own = text_of(self._going.config)
            first = self.trail.propose(own, 0, "[]", GATEWAY, "the gateway's own file", "")
            self.trail.add_all(
                [(Step(what, first), "") for what in ("staged", "applying", "applied")], GATEWAY
            )
            found = self.trail.standing()
        steps, why = recover(found)
        self._owe([(step, why) for step in steps])
        for step in steps:
            found = found.after(step)
        config = self._read(found.serving)
        before, at = Going(self._going.config, self._going.config), Phase.NEW
        if found.instant_ms and found.before:
            at = phase(self.wall(), found.instant_ms, self._apart)
            self._settles = found.instant_ms if at is Phase.NEW_LOWER else 0.0
        old = self._read(found.before) if self._settles else config
        self._serve(prepared(before, Going(old, config, at), found.serving, []))
        self._snapshot(found)
        self._log.info("changes", version=found.serving, why=why)

    def _read(self, version: int) -> Config:
        return parse(self.trail.version(version).text, f"version {version}")

    def _serve(self, swap: Prepared) -> None:
        began = time.perf_counter()
        self._swap(swap)
        self.pause_ms = (time.perf_counter() - began) * 1000
        self._going, self._version, self._known = swap.after, swap.version, swap.known
        self._swaps += 1

    async def _turn(self, after: Going, version: int) -> None:
        names = self._accounts()
        swap = await anyio.to_thread.run_sync(prepared, self._going, after, version, names)
        await self._fresh(swap)
        self._serve(swap)

    async def _fresh(self, swap: Prepared) -> None:
        """All that can be done before the instant, a little at a time."""
        names = list(swap.plans)
        for at in range(0, len(names), SLICE):
            self._freshen(names[at : at + SLICE])
            await anyio.sleep(0)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._look()
            except ChangeLogError as error:
                if self._clock() >= self._said + SAY_S * 1000 or not self._said:
                    self._said = self._clock()
                    self._log.warning("changes", trouble=str(error))
            await anyio.sleep(LOOK_S)

    async def _look(self) -> None:
        if self._owed:
            await anyio.to_thread.run_sync(self._owe, [])
        if self._watched is not None:
            await self._judge(*self._watched)
        if await anyio.to_thread.run_sync(self.trail.last) != self._seen:
            self._found = await anyio.to_thread.run_sync(self._stands)
        await self._phases()
        if self.stopping or self._owed:
            return  # what is staged stays so, for the next start
        found = self._found
        if found.staged and not await self._checked(found):
            return
        left = found.staged_at_ms - self.wall()
        if found.staged and not found.applying and 0 < left < NEAR_MS:
            await anyio.sleep(left / 1000)
        step = due(found, self.wall())
        if step is None:
            return
        if step.what == "undoing":
            await self._undo(step.version, "not confirmed in time")
        elif self._ready is None:
            await self._undo(step.version, "asked for")
        else:
            await self._apply(step, found, self._ready[1])

    def _stands(self) -> RolloutState:
        self._seen = self.trail.last()
        return self.trail.standing()

    async def _phases(self) -> None:
        """The limits that count around an instant."""
        going, found = self._going, self._found
        if self._settles:
            if phase(self.wall(), self._settles, self._apart) is Phase.NEW:
                self._settles = 0.0
                await self._turn(Going(going.new, going.new), self._version)
            elif len(names := self._accounts()) > self._known:
                await self._late(names)
            return
        staged = self._ready if self._ready is not None and self._ready[0].staged == found.staged else None
        at = found.staged_at_ms
        now = phase(self.wall(), at, self._apart) if staged is not None and at else Phase.OLD
        if staged is not None and now is Phase.OLD_LOWER and limits_differ(going.config, staged[1]):
            if going.at is not Phase.OLD_LOWER or going.new is not staged[1]:
                await self._turn(Going(going.config, staged[1], Phase.OLD_LOWER), self._version)
            elif len(names := self._accounts()) > self._known:
                await self._late(names)
        elif going.at is Phase.OLD_LOWER and now is Phase.OLD:  # withdrawn, or put off
            await self._turn(Going(going.config, going.config), self._version)

    async def _late(self, names: list[str]) -> None:
        """Accounts that came in a phase whose limits the scheduler can't tell by their plan's name."""
        new, going = names[self._known :], self._going
        plain = Going(going.config, going.config)
        swap = await anyio.to_thread.run_sync(prepared, plain, going, self._version, new)
        self._serve(Prepared(going, going, self._version, swap.settings, swap.plans, len(names)))

    async def _checked(self, found: RolloutState) -> bool:
        """Whether what is staged passed; it is refused where it does not."""
        if self._ready is not None and self._ready[0] == found:
            return True
        self._ready = None
        made, undo = await anyio.to_thread.run_sync(self._made, found.staged)
        if found.staged == found.serving:
            await self._add(Step("refused", found.staged), "it is served already")
            return False
        if undo and found.staged == found.before:
            return True
        try:
            config = await anyio.to_thread.run_sync(self._read, found.staged)
            needs = fixed(await anyio.to_thread.run_sync(diff, self._going.config, config))
        except ConfigError as error:
            await self._add(Step("refused", found.staged), f"does not pass the check: {error}")
            return False
        if needs:
            await self._add(Step("refused", found.staged), f"needs a start: {', '.join(needs[:5])}")
            return False
        if made != found.serving:
            # Guards against a change that was undone and comes back within another that was made on top of it.
            text = f"made from version {made}, and {found.serving} is served; apply it again, which puts it on top"
            await self._add(Step("refused", found.staged), text)
            return False
        self._ready = found, config
        if found.staged_at_ms > self.wall():
            await self._add(Step("ready", found.staged), "checked")
            self._found = await anyio.to_thread.run_sync(self._stands)
            self._ready = self._found, config
            return self._found.staged == found.staged
        return True

    def _made(self, version: int) -> tuple[int, bool]:
        last = [
            entry for entry in self.trail.entries() if entry.what == "staged" and entry.version == version
        ][-1]
        return self.trail.version(version).parent, last.note == "undo"

    async def _apply(self, step: Step, found: RolloutState, config: Config) -> None:
        old, at = self._going, found.staged_at_ms
        now = phase(self.wall(), at, self._apart)
        if not limits_differ(old.config, config):
            now = Phase.NEW
        after = Going(old.config, config, now) if now is Phase.NEW_LOWER else Going(config, config)
        names = self._accounts()
        swap = await anyio.to_thread.run_sync(prepared, old, after, step.version, names)
        judged = touched(old.config, config), lowered(old.config, config)
        await self._add(step, "", found)
        await self._fresh(swap)
        self._ready = None
        since = (
            self._clock()
        )  # not after the trail is written: what fails meanwhile is the change's, not the time before's
        self._serve(swap)
        applied = Step("applied", step.version, until_ms=found.staged_until_ms)
        try:
            await self._add(applied, f"swapped in {self.pause_ms:.2f} ms")
        except ChangeLogError as error:
            # Guards against settings that are served and would be gone with a kill, where the disk is full.
            await self._turn(Going(old.config, old.config), found.serving)
            self._owed.append(
                (Step("undone", found.serving), f"version {step.version} could not be kept: {error}")
            )
            raise
        self._settles = at if now is Phase.NEW_LOWER else 0.0
        self._watched = since, step.version, found.serving, *judged
        await anyio.to_thread.run_sync(self._housekeeping)

    async def _judge(self, since: float, version: int, before: int, mine: Asked, less: Asked) -> None:
        now = self._clock()
        found = self.watch.verdict(since, now, mine, self._dead(), less)
        if found.bad:
            await self._undo(before, f"version {version} does harm: {found.why}")
        elif now - since >= self.watch.criteria.watch:
            self._log.info("changes", version=version, verdict="good", why=found.why)
            self._watched = None

    async def _undo(self, version: int, why: str) -> None:
        """Back to the version before. It is served even where the trail can't be written: harm goes on otherwise."""
        self._watched, self._ready, self._settles = None, None, 0.0
        config = await anyio.to_thread.run_sync(self._read, version)
        try:
            await self._add(Step("undoing", version), why)
        except ChangeLogError:
            self._owed.append((Step("undoing", version), why))
        await self._turn(Going(config, config), version)
        steps = [(Step("undone", version), f"swapped in {self.pause_ms:.2f} ms")]
        self._log.info("changes", step="undone", version=version, note=steps[0][1])
        await anyio.to_thread.run_sync(self._owe, steps)
        await anyio.to_thread.run_sync(self._housekeeping)

    def _owe(self, steps: list[tuple[Step, str]]) -> None:
        """Write what is owed, in one go; it stays owed where that fails."""
        self._owed += steps
        if self._owed:
            try:
                self.trail.add_all(self._owed, GATEWAY)
            except ChangeLogError as error:
                self._log.warning("changes", trouble=str(error))
            else:
                self._owed.clear()

    def _housekeeping(self) -> None:
        found = self.trail.standing()
        self._snapshot(found)
        if self._swaps % max(1, int(self._keep * (SPARE - 1))) == 0 and (
            gone := self.trail.prune(self._keep)
        ):
            self._log.info("changes", moved_out=gone)

    def _snapshot(self, found: RolloutState) -> None:
        if found.until_ms or found.applying:
            return
        try:
            last_known_good.keep(self.folder, found.serving, self.trail.version(found.serving).text)
        except OSError as error:
            self._log.warning(
                "changes", trouble=f"{last_known_good.SERVED} can't be written: {error.strerror}"
            )

    async def _add(self, step: Step, note: str, expect: RolloutState | None = None) -> None:
        self._log.info("changes", step=step.what, version=step.version, note=note)
        await anyio.to_thread.run_sync(self.trail.add, step, GATEWAY, note, "", expect)
