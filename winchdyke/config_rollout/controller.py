"""Follows a serving gateway's change log: checks staged versions, applies each at its activation time, and rolls back harmful ones."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
import anyio.to_thread
import structlog

from winchdyke.config import Config, ConfigError
from winchdyke.config.semantic_diff import diff
from winchdyke.config_rollout.canary_analysis import (
    CanaryCriteria,
    CanaryObserver,
    VolumePredicate,
    affected_volumes,
    volumes_with_lowered_limit,
)
from winchdyke.config_rollout.change_log import ChangeLogError
from winchdyke.config_rollout.cutover import EffectiveConfig, Phase, limits_differ, phase_at
from winchdyke.config_rollout.hot_reload import requiring_restart
from winchdyke.config_rollout.journal import GatewayJournal
from winchdyke.config_rollout.rollout_state import RolloutState, Step, due_step, recover
from winchdyke.config_rollout.swap import PreparedSwap, prepare_swap

POLL_SECONDS = 0.1
PRECISE_WAIT_MS = 300.0  # this close to an activation instant, the controller sleeps until exactly then
ERROR_LOG_INTERVAL_SECONDS = 10.0
REFILL_BATCH_VOLUMES = 100
MAX_LISTED_KEYS = 5  # maximum keys in a note that lists changes that need a restart


@dataclass(frozen=True, slots=True)
class CheckedVersion:
    """A staged version that passed the check, and the state of the rollout at that time."""

    state: RolloutState
    config: Config


@dataclass(frozen=True, slots=True)
class ObservedChange:
    """A change that was applied and is being observed for harm."""

    applied_at_ms: float
    version: int
    previous: int
    is_affected: VolumePredicate
    has_lowered_limit: VolumePredicate


class RolloutController:
    """Follows the change log in a folder.

    Attributes:
        change_log: The change log in the folder, also for other readers and writers in this process.
        canary: Counts finished requests; its owner calls ``record_request`` for each.
        wall_clock_ms: The clock for activation instants, in Unix ms.
        last_swap_ms: How long the last swap occupied the event loop.
        stopping: Set at shutdown: no staged version is checked or applied, and no undo is begun that an operator requested or
            that is due for lack of a confirmation; they wait for the next start. The controller still writes deferred steps,
            observes the last change and undoes it if it does harm, and changes the limits around an activation time.
    """

    def __init__(
        self,
        folder: Path,
        config: Config,
        swap: Callable[[PreparedSwap], None],
        volume_names: Callable[[], list[str]],
        clock_ms: Callable[[], float],
        shards_without_endpoint: Callable[[], set[int]],
        refill_quotas: Callable[[list[str]], None] = lambda _: None,
        criteria: CanaryCriteria | None = None,
    ) -> None:
        """Open the change log. Raises ChangeLogError.

        ``swap``: puts a configuration into service; runs in the event loop without waiting. ``volume_names``: the volumes that
        the scheduler has quotas for, in the order in which they were added. ``clock_ms``: the scheduler's monotonic clock.
        """
        self.folder = folder
        self._swap = swap
        self._volume_names = volume_names
        self._clock_ms = clock_ms
        self._shards_without_endpoint = shards_without_endpoint
        self._refill_quotas = refill_quotas
        self._max_clock_skew_ms = config.changes.clocks_apart
        self._journal = GatewayJournal(folder, config.changes.keep)
        self.change_log = self._journal.change_log
        self.canary = CanaryObserver(criteria or CanaryCriteria())
        self.wall_clock_ms: Callable[[], float] = lambda: time.time() * 1000
        self.last_swap_ms = 0.0
        self.stopping = False
        self._log = structlog.get_logger("changes")
        # The same version twice: no change is in progress, and its limits apply as they are.
        self._effective = EffectiveConfig(config, config)
        self._version = 0
        # The number of volumes with a plan of the current phase; volumes added later have none yet.
        self._volumes_with_phase_plans = 0
        self._swap_count = 0
        self._checked: CheckedVersion | None = None
        self._observed: ObservedChange | None = None
        # The activation time (Unix ms) of the served version while the lower limits are still in effect after it (NEW_LOWER);
        # 0: the served version is not in that phase.
        self._settling_instant_ms = 0.0
        self._last_read_seq = -1
        self._state = RolloutState()
        self._error_logged_at_ms = 0.0

    def start(self) -> None:
        """Serve the version that the change log records, after completing the steps that a crash interrupted."""
        state = self._journal.begin(self._effective.config)
        recovery = recover(state)
        for step in recovery.steps:
            self._journal.defer(step, recovery.reason)
        self._journal.flush()
        for step in recovery.steps:
            state = state.advance(step)
        config = self._journal.read_config(state.serving)
        phase = Phase.NEW
        if state.activated_at_ms and state.previous:
            phase = self._phase_at(state.activated_at_ms)
            self._settling_instant_ms = state.activated_at_ms if phase is Phase.NEW_LOWER else 0.0
        old = self._journal.read_config(state.previous) if self._settling_instant_ms else config
        initial = EffectiveConfig(self._effective.config, self._effective.config)
        self._serve(prepare_swap(initial, EffectiveConfig(old, config, phase), state.serving, []))
        self._journal.save_last_known_good(state)
        self._log.info("config_version_served", version=state.serving, reason=recovery.reason)

    async def run(self) -> None:
        """Follow the change log until cancelled."""
        while True:
            try:
                await self._poll()
            except ChangeLogError as error:
                self._log_unavailable(error)
            await anyio.sleep(POLL_SECONDS)

    def _log_unavailable(self, error: ChangeLogError) -> None:
        """Log that the change log can't be used, at most once in ``ERROR_LOG_INTERVAL_SECONDS``."""
        now_ms = self._clock_ms()
        next_ms = self._error_logged_at_ms + ERROR_LOG_INTERVAL_SECONDS * 1000
        if now_ms >= next_ms or not self._error_logged_at_ms:
            self._error_logged_at_ms = now_ms
            self._log.warning("change_log_unavailable", error=str(error))

    async def _poll(self) -> None:
        """Write deferred steps, evaluate the last change, update the phase, and take the step that is due."""
        if self._journal.has_deferred_steps:
            await anyio.to_thread.run_sync(self._journal.flush)
        if self._observed is not None:
            await self._evaluate_canary(self._observed)
        if await anyio.to_thread.run_sync(self.change_log.last_seq) != self._last_read_seq:
            self._state = await anyio.to_thread.run_sync(self._read_state)
        await self._update_phase()
        if self.stopping or self._journal.has_deferred_steps:
            return
        state = self._state
        if state.staged and not await self._check_staged(state):
            return
        wait_ms = state.staged_activate_at_ms - self.wall_clock_ms()
        if state.staged and not state.applying and 0 < wait_ms < PRECISE_WAIT_MS:
            await anyio.sleep(wait_ms / 1000)
        step = due_step(state, self.wall_clock_ms())
        if step is None:
            return
        if step.action == "undoing":
            await self._undo(step.version, "not confirmed in time")
        elif self._checked is None:
            await self._undo(step.version, "asked for")
        else:
            await self._apply(step, state, self._checked.config)

    def _read_state(self) -> RolloutState:
        """Return the state that the change log records, and note the last entry that it covers."""
        self._last_read_seq = self.change_log.last_seq()
        return self.change_log.state()

    # Swaps

    def _serve(self, swap: PreparedSwap) -> None:
        """Put a prepared swap into service, in the event loop and without waiting."""
        began = time.perf_counter()
        self._swap(swap)
        self.last_swap_ms = (time.perf_counter() - began) * 1000
        self._effective = swap.new
        self._version = swap.version
        self._volumes_with_phase_plans = swap.volume_count
        self._swap_count += 1

    async def _change_to(self, new: EffectiveConfig, version: int) -> None:
        """Prepare a swap in a thread, and put it into service."""
        names = self._volume_names()
        swap = await anyio.to_thread.run_sync(prepare_swap, self._effective, new, version, names)
        await self._refill_ahead(swap)
        self._serve(swap)

    async def _refill_ahead(self, swap: PreparedSwap) -> None:
        """Refill the quotas of a swap in batches, and let other tasks run between them, so that the swap itself is short."""
        names = list(swap.plans)
        for first in range(0, len(names), REFILL_BATCH_VOLUMES):
            self._refill_quotas(names[first : first + REFILL_BATCH_VOLUMES])
            await anyio.sleep(0)

    # The phases around an instant

    def _phase_at(self, activate_at_ms: float) -> Phase:
        return phase_at(self.wall_clock_ms(), activate_at_ms, self._max_clock_skew_ms)

    async def _update_phase(self) -> None:
        """Put the lower limits into effect shortly before an activation instant, and end them after it."""
        if self._settling_instant_ms:
            await self._settle()
            return
        effective = self._effective
        checked = self._checked
        phase = Phase.OLD
        if checked is not None and checked.state.staged != self._state.staged:
            checked = None
        if checked is not None and self._state.staged_activate_at_ms:
            phase = self._phase_at(self._state.staged_activate_at_ms)
        if (
            checked is not None
            and phase is Phase.OLD_LOWER
            and limits_differ(effective.config, checked.config)
        ):
            if effective.phase is not Phase.OLD_LOWER or effective.new is not checked.config:
                lower = EffectiveConfig(effective.config, checked.config, Phase.OLD_LOWER)
                await self._change_to(lower, self._version)
            else:
                await self._cover_new_volumes()
        elif effective.phase is Phase.OLD_LOWER and phase is Phase.OLD:
            # The version was withdrawn, or staged for a later instant.
            await self._change_to(EffectiveConfig(effective.config, effective.config), self._version)

    async def _settle(self) -> None:
        """End the lower limits once the time after the activation has passed; until then, apply them to new volumes too."""
        new = self._effective.new
        if self._phase_at(self._settling_instant_ms) is Phase.NEW:
            self._settling_instant_ms = 0.0
            await self._change_to(EffectiveConfig(new, new), self._version)
        else:
            await self._cover_new_volumes()

    async def _cover_new_volumes(self) -> None:
        """Give volumes that were added during a phase the plans of that phase.

        The scheduler finds a new volume's plan by its name alone, which does not cover a volume that changes its plan.
        """
        names = self._volume_names()
        if len(names) <= self._volumes_with_phase_plans:
            return
        new_names = names[self._volumes_with_phase_plans :]
        effective = self._effective
        plain = EffectiveConfig(effective.config, effective.config)
        swap = await anyio.to_thread.run_sync(prepare_swap, plain, effective, self._version, new_names)
        self._serve(PreparedSwap(effective, effective, self._version, swap.settings, swap.plans, len(names)))

    # Checking

    async def _check_staged(self, state: RolloutState) -> bool:
        """Return whether the staged version may be applied; refuse it otherwise."""
        if self._checked is not None and self._checked.state == state:
            return True
        self._checked = None
        parent, is_undo = await anyio.to_thread.run_sync(self._staged_from, state.staged)
        if state.staged == state.serving:
            return await self._refuse(state, "it is served already")
        if is_undo and state.staged == state.previous:
            return True
        try:
            config = await anyio.to_thread.run_sync(self._journal.read_config, state.staged)
            changes = await anyio.to_thread.run_sync(diff, self._effective.config, config)
        except ConfigError as error:
            return await self._refuse(state, f"does not pass the check: {error}")
        if keys := requiring_restart(changes):
            return await self._refuse(state, f"needs a restart: {', '.join(keys[:MAX_LISTED_KEYS])}")
        if parent != state.serving:
            # It may contain a change that was undone after it was made.
            return await self._refuse(
                state,
                f"made from version {parent}, but {state.serving} is served; apply it again to merge it with that one",
            )
        self._checked = CheckedVersion(state, config)
        if state.staged_activate_at_ms <= self.wall_clock_ms():
            return True
        await self._append(Step("ready", state.staged), "checked")
        self._state = await anyio.to_thread.run_sync(self._read_state)
        self._checked = CheckedVersion(self._state, config)
        return self._state.staged == state.staged

    def _staged_from(self, version: int) -> tuple[int, bool]:
        """Return a staged version's parent, and whether it was staged by an undo."""
        staged = [
            entry
            for entry in self.change_log.entries()
            if entry.action == "staged" and entry.version == version
        ]
        return self.change_log.version(version).parent, staged[-1].note == "undo"

    async def _refuse(self, state: RolloutState, reason: str) -> bool:
        """Record that the staged version is refused; returns False."""
        await self._append(Step("refused", state.staged), reason)
        return False

    # Applying and undoing

    async def _apply(self, step: Step, state: RolloutState, config: Config) -> None:
        """Apply the staged version: record the step, swap, record the result, and begin to observe the change."""
        old = self._effective
        activate_at_ms = state.staged_activate_at_ms
        phase = self._phase_at(activate_at_ms)
        if not limits_differ(old.config, config):
            phase = Phase.NEW
        settles = phase is Phase.NEW_LOWER
        new = EffectiveConfig(old.config, config, phase) if settles else EffectiveConfig(config, config)
        names = self._volume_names()
        swap = await anyio.to_thread.run_sync(prepare_swap, old, new, step.version, names)
        is_affected = affected_volumes(old.config, config)
        has_lowered_limit = volumes_with_lowered_limit(old.config, config)
        await self._append(step, "", state)
        await self._refill_ahead(swap)
        self._checked = None
        # The time is taken before the log is written, since failures during the write are due to the change.
        applied_at_ms = self._clock_ms()
        self._serve(swap)
        await self._record_applied(step.version, state, old)
        self._settling_instant_ms = activate_at_ms if settles else 0.0
        self._observed = ObservedChange(
            applied_at_ms, step.version, state.serving, is_affected, has_lowered_limit
        )
        await self._housekeep()

    async def _record_applied(self, version: int, state: RolloutState, old: EffectiveConfig) -> None:
        """Record that a version was applied; if that fails, serve the old one again. Raises ChangeLogError."""
        applied = Step("applied", version, confirm_by_ms=state.staged_confirm_by_ms)
        try:
            await self._append(applied, f"swapped in {self.last_swap_ms:.2f} ms")
        except ChangeLogError as error:
            # A version that is not in the log would be lost in a crash, so the old one is served again.
            await self._change_to(EffectiveConfig(old.config, old.config), state.serving)
            self._journal.defer(
                Step("undone", state.serving), f"version {version} could not be recorded: {error}"
            )
            raise

    async def _evaluate_canary(self, observed: ObservedChange) -> None:
        """Undo the observed change if it does harm; stop observing it once ``watch_ms`` have passed without harm."""
        now_ms = self._clock_ms()
        verdict = self.canary.evaluate(
            observed.applied_at_ms,
            now_ms,
            observed.is_affected,
            self._shards_without_endpoint(),
            observed.has_lowered_limit,
        )
        if verdict.harmful:
            await self._undo(observed.previous, f"version {observed.version} does harm: {verdict.reason}")
        elif now_ms - observed.applied_at_ms >= self.canary.criteria.watch_ms:
            self._log.info("config_canary_passed", version=observed.version, reason=verdict.reason)
            self._observed = None

    async def _undo(self, target_version: int, reason: str) -> None:
        """Serve an earlier version again.

        The undo is carried out even if the change log can't be written, because the current version may do harm. The target's
        text is read from the change log, however: raises ChangeLogError if that fails.

        ``target_version``: the number of the version to serve again. ``reason``: the note of the step.
        """
        self._observed = None
        self._checked = None
        self._settling_instant_ms = 0.0
        config = await anyio.to_thread.run_sync(self._journal.read_config, target_version)
        step = Step("undoing", target_version)
        try:
            await self._append(step, reason)
        except ChangeLogError:
            self._journal.defer(step, reason)
        await self._change_to(EffectiveConfig(config, config), target_version)
        undone = Step("undone", target_version)
        note = f"swapped in {self.last_swap_ms:.2f} ms"
        self._log_step(undone, note)
        # The target is served already. A deferred step is written after those deferred before it, and again if a write fails.
        self._journal.defer(undone, note)
        await anyio.to_thread.run_sync(self._journal.flush)
        await self._housekeep()

    async def _append(self, step: Step, note: str, expected: RolloutState | None = None) -> None:
        self._log_step(step, note)
        await anyio.to_thread.run_sync(self._journal.append, step, note, expected)

    def _log_step(self, step: Step, note: str) -> None:
        self._log.info("config_rollout_step", action=step.action, version=step.version, note=note)

    async def _housekeep(self) -> None:
        await anyio.to_thread.run_sync(self._journal.housekeep, self._swap_count)
