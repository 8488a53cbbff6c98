"""A serving gateway's own entries in its change log: written, or deferred while the disk can't be written."""

from __future__ import annotations

from pathlib import Path

import structlog

from winchdyke.config import Config, parse
from winchdyke.config_rollout import last_known_good
from winchdyke.config_rollout.change_log import ChangeLogError
from winchdyke.config_rollout.edit import config_text
from winchdyke.config_rollout.last_known_good import GATEWAY_ACTOR
from winchdyke.config_rollout.rollout_state import RolloutState, Step

PRUNE_EXCESS_RATIO = 1.25  # approximate ratio of stored to retained versions at which the log is pruned


class GatewayJournal:
    """Writes the gateway's steps, prunes the change log and saves the last known good version.

    Calls read and write files: not for the event loop.
    """

    def __init__(self, folder: Path, retained_versions: int) -> None:
        """Open the change log in a folder. Raises ChangeLogError if the folder can't hold one."""
        self._log = structlog.get_logger("changes")
        self._folder = folder
        self._retained_versions = retained_versions
        self._swaps_between_prunes = max(1, int(retained_versions * (PRUNE_EXCESS_RATIO - 1)))
        self._deferred: list[tuple[Step, str]] = []
        self.change_log, self._damage = last_known_good.open_change_log(folder)

    @property
    def has_deferred_steps(self) -> bool:
        """Whether there are steps that could not be written yet."""
        return bool(self._deferred)

    def begin(self, config: Config) -> RolloutState:
        """Return the state at a start; an empty change log begins with the gateway's own configuration."""
        if self._damage:
            self._log.error("change_log_damaged", error=self._damage)
        state = self.change_log.state()
        if state.serving:
            return state
        version = self.change_log.add_version(
            config_text(config), 0, "[]", GATEWAY_ACTOR, "the gateway's own file", ""
        )
        steps = [(Step(action, version), "") for action in ("staged", "applying", "applied")]
        self.change_log.append_all(steps, GATEWAY_ACTOR)
        return self.change_log.state()

    def read_config(self, version: int) -> Config:
        """Return a version's configuration. Raises ChangeLogError or ConfigError."""
        return parse(self.change_log.version(version).text, f"version {version}")

    def append(self, step: Step, note: str, expected: RolloutState | None = None) -> None:
        """Write a step. Raises ChangeLogError."""
        self.change_log.append(step, GATEWAY_ACTOR, note, "", expected)

    def defer(self, step: Step, note: str) -> None:
        """Keep a step for the next :meth:`flush`."""
        self._deferred.append((step, note))

    def flush(self) -> None:
        """Write all deferred steps in one transaction; they stay deferred if that fails."""
        if not self._deferred:
            return
        try:
            self.change_log.append_all(self._deferred, GATEWAY_ACTOR)
        except ChangeLogError as error:
            self._log.warning("change_log_unavailable", error=str(error))
        else:
            self._deferred.clear()

    def housekeep(self, swap_count: int) -> None:
        """Save the served version if it is final, and prune the change log after every few swaps. Raises ChangeLogError."""
        self.save_last_known_good(self.change_log.state())
        if swap_count % self._swaps_between_prunes:
            return
        if pruned := self.change_log.prune(self._retained_versions):
            self._log.info("change_log_pruned", entries=pruned)

    def save_last_known_good(self, state: RolloutState) -> None:
        """Save the served version, unless it is on trial or another one is being applied."""
        if state.confirm_by_ms or state.applying:
            return
        try:
            last_known_good.save(self._folder, state.serving, self.change_log.version(state.serving).text)
        except OSError as error:
            reason = f"{last_known_good.SERVED_FILE} can't be written: {error.strerror}"
            self._log.warning("last_known_good_write_failed", error=reason)
