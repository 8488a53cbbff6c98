"""The state of a rollout, computed from the steps in the change log alone. Pure.

    proposed -> staged [-> ready] -> applying -> applied [-> confirmed]   applied, not confirmed in time -> undoing -> undone
                staged -> refused by the gateway, or withdrawn by an operator

A version is staged to be applied at once, at a stated instant, or on hold until it is staged again (:data:`ON_HOLD_MS`).

Each step is written to the change log and synced before it takes effect. After a crash the log therefore ends with one of
these steps, and :func:`recover` decides which complete version is served from then on: the earlier one, unless the new one was
applied without a pending confirmation.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple

ACTIONS = (
    "proposed", "staged", "ready", "refused", "withdrawn", "applying", "applied", "confirmed", "undoing", "undone", "pruned",
)  # fmt: skip
ON_HOLD_MS = math.inf  # the activation time of a version that waits until it is staged again


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a rollout.

    Attributes:
        action: One of :data:`ACTIONS`.
        version: The number of the version that the step concerns.
        unix_ms: The Unix time at which it was taken; 0: not recorded yet.
        confirm_by_ms: The Unix time by which the version has to be confirmed; 0: no confirmation is needed.
        activate_at_ms: The Unix time, by the gateway's own clock, at which a staged version is applied; 0: at once.
    """

    action: str
    version: int
    unix_ms: float = 0.0
    confirm_by_ms: float = 0.0
    activate_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RolloutState:
    """Which versions are served, staged and being applied. Version 0: none.

    Attributes:
        serving: The version in service.
        staged: The version that waits to be applied.
        staged_confirm_by_ms: The Unix time by which the staged version has to be confirmed; 0: no confirmation is needed.
        applying: The version that is being applied or rolled back to.
        previous: The version that an undo returns to.
        confirm_by_ms: The Unix time by which the served version has to be confirmed; 0: it is not on trial.
        staged_activate_at_ms: The Unix time at which the staged version is applied; 0: at once.
        undoing: Whether ``applying`` is the target of an undo, which a restart completes.
        activated_at_ms: The instant for which the version being applied, or applied last, was staged; 0: none.
    """

    serving: int = 0
    staged: int = 0
    staged_confirm_by_ms: float = 0.0
    applying: int = 0
    previous: int = 0
    confirm_by_ms: float = 0.0
    staged_activate_at_ms: float = 0.0
    undoing: bool = False
    activated_at_ms: float = 0.0

    def advance(self, step: Step) -> RolloutState:
        """Return the state after a step.

        Raises:
            ValueError: The step is not allowed in this state, or its action is unknown.
        """
        match step.action:
            case "staged":
                return replace(
                    self,
                    staged=step.version,
                    staged_confirm_by_ms=step.confirm_by_ms,
                    staged_activate_at_ms=step.activate_at_ms,
                )
            case "refused" | "withdrawn" if step.version == self.staged:
                return replace(self, staged=0, staged_activate_at_ms=0.0)
            case "applying" | "undoing":
                return self._begin(step)
            case "applied":
                return self._finish_apply(step)
            case "confirmed":
                return replace(self, confirm_by_ms=0.0)
            case "undone":
                return self._finish_undo(step)
            case action if action in ACTIONS:
                return self
            case action:
                raise ValueError(f"{action!r} is not an action of a change log")

    def _begin(self, step: Step) -> RolloutState:
        """Return the state after an apply or an undo begins. A staged version that it concerns is no longer staged."""
        if self.applying:
            raise ValueError(
                f"version {step.version} can't be applied while {self.applying} is being applied"
            )
        undoing = step.action == "undoing"
        if undoing and step.version != self.previous:
            raise ValueError(f"an undo returns to version {self.previous}, not to {step.version}")
        is_staged = step.version == self.staged
        return replace(
            self,
            staged=0 if is_staged else self.staged,
            staged_activate_at_ms=0.0 if is_staged else self.staged_activate_at_ms,
            applying=step.version,
            undoing=undoing,
            activated_at_ms=self.staged_activate_at_ms if is_staged and not undoing else 0.0,
        )

    def _finish_apply(self, step: Step) -> RolloutState:
        if self.applying != step.version:
            raise ValueError(f"version {step.version} is not being applied, and can't be recorded as applied")
        return replace(
            self,
            serving=step.version,
            previous=self.serving,
            applying=0,
            undoing=False,
            confirm_by_ms=step.confirm_by_ms,
        )

    def _finish_undo(self, step: Step) -> RolloutState:
        """Return the state after an undo. The version that was served becomes the previous one, unless the undo returns to it."""
        return replace(
            self,
            serving=step.version,
            applying=0,
            undoing=False,
            previous=self.serving if step.version != self.serving else self.previous,
            confirm_by_ms=0.0,
            activated_at_ms=0.0,
        )


class Recovery(NamedTuple):
    """The steps that a start appends to an interrupted change log, and the reason for operators."""

    steps: list[Step]
    reason: str


def replay(steps: Iterable[Step], base: RolloutState = RolloutState()) -> RolloutState:
    """Return the state after all steps, beginning with ``base``. Raises ValueError if a step is not allowed."""
    state = base
    for step in steps:
        state = state.advance(step)
    return state


def recover(state: RolloutState) -> Recovery:
    """Return the steps that complete or revert an interrupted apply or undo; none if nothing was interrupted."""
    if state.undoing:
        # An undo may be in response to harm, so an interrupted one is completed and never reverted.
        cause = f"ended while version {state.serving} was being undone"
        return Recovery([Step("undone", state.applying)], f"{cause}: version {state.applying} is served")
    if state.applying and not state.confirm_by_ms:
        cause = f"ended while version {state.applying} was being applied"
        return Recovery([Step("undone", state.serving)], f"{cause}: version {state.serving} is served")
    if state.confirm_by_ms:
        cause = f"ended before version {state.serving} was confirmed"
        return Recovery(
            [Step("undone", state.previous)], f"{cause}: version {state.previous} is served again"
        )
    if state.serving:
        return Recovery([], f"version {state.serving} is served")
    return Recovery([], "no version was applied")


def due_step(state: RolloutState, now_unix_ms: float) -> Step | None:
    """Return the step to take now: undo a version whose trial is over, or apply the staged one; None: neither is due."""
    if state.applying:
        return None
    if state.confirm_by_ms and now_unix_ms >= state.confirm_by_ms:
        return Step("undoing", state.previous)
    if state.staged and now_unix_ms >= state.staged_activate_at_ms:
        return Step("applying", state.staged)
    return None
