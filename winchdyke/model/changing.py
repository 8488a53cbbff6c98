"""A model of settings rollouts for the model checker: editors, time, and one gateway that can be killed between its steps.

Only the change log survives a kill. Writing "applying", swapping the settings, and writing "applied" are separate steps, and
so are those of an undo. Invariants:

    whole      a running gateway serves the version that the change log names
    kept       a version that was applied without a trial, or confirmed, is served until another is applied or it is undone
    known      each version that is served was staged by an editor
    trial      a version applied on trial and not confirmed is not served after its deadline, once the gateway has acted on it
    gone       a version undone for lack of confirmation is no ancestor of a version served later, unless it is staged again
    finished   a start finishes an undo that had begun
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, replace

from winchdyke.config_rollout.rollout_state import Step, due_step, recover, replay
from winchdyke.model.checker import InvariantViolation

CONFIRM_BY = 2.0


@dataclass(frozen=True)
class RolloutModel:
    """One state of the model.

    Attributes:
        change_log: The steps written so far.
        serving: The version that the gateway serves; 0 while it is down.
        pending_steps: The remaining steps of an apply or an undo.
        target: The version that these steps apply.
        confirm_by: The time by which that version must be confirmed; 0 without a trial.
        version_count: Versions created so far.
        parents: The version on which each was based, by version.
        expired: Versions undone for lack of confirmation.
        remaining_kills: Kills that may still happen.
        remaining_edits: Edits that may still happen.
        final_version: The version that was last applied without a trial, or confirmed.
        omitted_step: The part that a faulty variant leaves out.
    """

    change_log: tuple[Step, ...] = (Step("staged", 1), Step("applying", 1), Step("applied", 1))
    serving: int = 1
    pending_steps: tuple[str, ...] = ()
    target: int = 0
    confirm_by: float = 0.0
    version_count: int = 1
    parents: tuple[int, ...] = (0, 0)
    expired: frozenset[int] = frozenset()
    now: float = 1.0
    remaining_kills: int = 2
    remaining_edits: int = 3
    final_version: int = 1
    omitted_step: str = ""

    def steps(self) -> Iterable[str]:
        """The names of all steps that are possible now."""
        state = replay(self.change_log)
        if self.remaining_edits:
            yield from ("stage", "stage on trial")
            if state.previous and state.previous != state.serving:
                yield "undo"
            if state.staged:
                yield "withdraw"
        if state.confirm_by_ms:
            yield "confirm"
            if self.now < CONFIRM_BY + 1:
                yield "time"
        if self.serving and self.remaining_kills:
            yield "kill"
        if not self.serving:
            yield "start"
        elif self.pending_steps:
            yield "go on"
        elif due_step(state, self.now) is not None:
            yield "begin"

    def after(self, step: str) -> RolloutModel:
        """The state one step on. Raises InvariantViolation."""
        successor: RolloutModel = getattr(self, "_" + step.replace(" ", "_"))()
        successor._check()
        return successor

    def _stage(self, confirm_by: float = 0.0) -> RolloutModel:
        version = self.version_count + 1
        return replace(
            self,
            change_log=(*self.change_log, Step("staged", version, confirm_by_ms=confirm_by)),
            version_count=version,
            parents=(*self.parents, replay(self.change_log).serving),
            remaining_edits=self.remaining_edits - 1,
        )

    def _stage_on_trial(self) -> RolloutModel:
        return self._stage(CONFIRM_BY)

    def _undo(self) -> RolloutModel:
        state = replay(self.change_log)
        withdrawal = (Step("withdrawn", state.staged),) if state.staged else ()
        # An undo by an operator deliberately restores the previous version, even an expired one.
        return replace(
            self,
            change_log=(*self.change_log, *withdrawal, Step("staged", state.previous)),
            remaining_edits=self.remaining_edits - 1,
            expired=self.expired - {state.previous},
        )

    def _withdraw(self) -> RolloutModel:
        step = Step("withdrawn", replay(self.change_log).staged)
        return replace(self, change_log=(*self.change_log, step), remaining_edits=self.remaining_edits - 1)

    def _confirm(self) -> RolloutModel:
        version = replay(self.change_log).serving
        return replace(self, change_log=(*self.change_log, Step("confirmed", version)), final_version=version)

    def _time(self) -> RolloutModel:
        return replace(self, now=self.now + 1)

    def _kill(self) -> RolloutModel:
        return replace(self, serving=0, pending_steps=(), target=0, remaining_kills=self.remaining_kills - 1)

    def _start(self) -> RolloutModel:
        state = replay(self.change_log)
        recovery_steps = () if self.omitted_step == "recover" else tuple(recover(state)[0])
        change_log = (*self.change_log, *recovery_steps)
        serving = replay(change_log).serving
        final_version = serving if recovery_steps else self.final_version
        if state.undoing and serving != state.applying:
            raise InvariantViolation("finished: a start did not finish an undo that had begun")
        expired = self.expired | ({state.serving} if state.confirm_by_ms and recovery_steps else set())
        return replace(
            self,
            change_log=change_log,
            serving=serving,
            final_version=final_version,
            expired=frozenset(expired),
        )

    def _begin(self) -> RolloutModel:
        state = replay(self.change_log)
        step = due_step(state, self.now)
        assert step is not None
        if (
            step.action == "applying"
            and step.version == state.previous
            and step.version != self.version_count
        ):
            step = Step("undoing", step.version)  # an undo by an operator
        undoing = step.action == "undoing"
        expired = self.expired
        if undoing and state.confirm_by_ms and step.version != state.staged:
            expired |= {state.serving}
        if not undoing and self.parents[step.version] != state.serving and self.omitted_step != "parent":
            return replace(self, change_log=(*self.change_log, Step("refused", step.version)))
        confirm_by = 0.0 if undoing else state.staged_confirm_by_ms
        change_log = self.change_log if self.omitted_step == "begin" else (*self.change_log, step)
        return replace(
            self, change_log=change_log, pending_steps=("swap", "undone" if undoing else "applied"),
            target=step.version, confirm_by=confirm_by, expired=expired,
        )  # fmt: skip

    def _go_on(self) -> RolloutModel:
        action, *rest = self.pending_steps
        if action == "swap":
            return replace(self, serving=self.target, pending_steps=tuple(rest))
        step = Step(action, self.target, confirm_by_ms=self.confirm_by if action == "applied" else 0.0)
        try:
            replay(self.change_log).advance(step)
        except ValueError as error:
            raise InvariantViolation(f"known: {error}") from error
        final_version = self.target if action == "undone" or not self.confirm_by else self.final_version
        return replace(
            self,
            change_log=(*self.change_log, step),
            pending_steps=tuple(rest),
            target=0,
            final_version=final_version,
        )

    def _ancestors(self, version: int) -> set[int]:
        ancestors = set()
        while version:
            ancestors.add(version)
            version = self.parents[version]
        return ancestors

    def _check(self) -> None:
        state = replay(self.change_log)
        if self.serving and not self.pending_steps and self._ancestors(self.serving) & self.expired:
            raise InvariantViolation(
                "gone: a version that was not confirmed in time is an ancestor of the served version"
            )
        staged = {step.version for step in self.change_log if step.action == "staged"}
        if self.serving and self.serving not in staged:
            raise InvariantViolation("known: a version is served that was never staged")
        if self.serving and not self.pending_steps and self.serving != state.serving:
            raise InvariantViolation("whole: the served version is not the one that the change log names")
        if (
            self.serving
            and not self.pending_steps
            and not state.confirm_by_ms
            and not state.applying
            and self.final_version != state.serving
        ):
            raise InvariantViolation(
                "kept: a version that was applied without a trial, or confirmed, is not served although it was not undone"
            )
        if self.serving and not self.pending_steps and state.applying:
            raise InvariantViolation(
                "whole: the change log says that a version is being applied, but no steps are pending"
            )

    def key(self) -> Hashable:
        """The whole state, with the change log reduced to its staged versions and the state that it replays to."""
        staged = frozenset(step.version for step in self.change_log if step.action == "staged")
        rest = (
            self.serving,
            self.pending_steps,
            self.target,
            self.confirm_by,
            self.version_count,
            self.now,
            self.remaining_kills,
            self.remaining_edits,
            self.final_version,
            self.parents,
            self.expired,
        )
        return replay(self.change_log), staged, rest
