"""The world in which changes are checked: two editors, one gateway that can be killed between any two of its steps, and time.

The trail is the only thing that outlives a kill. Each of the gateway's steps is its own: writing "applying", swapping, writing
"applied", and the same for an undo. Invariants:

    whole      a gateway that has started serves the version that the trail says, and no other
    kept       a version that was reported applied for good, or confirmed, is served until another is applied or it is undone
    known      nothing is ever served that was not staged by an editor, or served before
    trial      what was applied on trial, and not confirmed, is not served once its time is up and the gateway has acted
    gone       what was undone because nobody confirmed it is in nothing that is served later, but where it was staged anew
    finished   an undo that was begun is finished by a start
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, replace

from winchdyke.config_rollout.rollout_state import Step, due_step, recover, replay
from winchdyke.model.checker import InvariantViolation

UNTIL = 2.0


@dataclass(frozen=True)
class RolloutModel:
    """One state: the trail, what the gateway serves (0: it is down), what it is about to write, versions made, and time."""

    trail: tuple[Step, ...] = (Step("staged", 1), Step("applying", 1), Step("applied", 1))
    serves: int = 1
    doing: tuple[str, ...] = ()  # the steps of an apply or an undo that are still to come
    target: int = 0
    until: float = 0.0
    made: int = 1
    parents: tuple[int, ...] = (0, 0)  # by version
    expired: frozenset[int] = frozenset()  # versions that were undone since nobody confirmed them
    now: float = 1.0
    kills: int = 2
    edits: int = 3
    final: int = 1  # the version last reported applied for good
    omitted_step: str = ""  # what a mutant leaves out

    def steps(self) -> Iterable[str]:
        """All that may happen next."""
        found = replay(self.trail)
        if self.edits:
            yield from ("stage", "stage on trial")
            if found.previous and found.previous != found.serving:
                yield "undo"
            if found.staged:
                yield "withdraw"
        if found.confirm_by_ms:
            yield "confirm"
            if self.now < UNTIL + 1:
                yield "time"
        if self.serves and self.kills:
            yield "kill"
        if not self.serves:
            yield "start"
        elif self.doing:
            yield "go on"
        elif due_step(found, self.now) is not None:
            yield "begin"

    def after(self, step: str) -> RolloutModel:
        """The world one step on."""
        made: RolloutModel = getattr(self, "_" + step.replace(" ", "_"))()
        made._check()
        return made

    def _stage(self, until: float = 0.0) -> RolloutModel:
        version = self.made + 1
        return replace(
            self,
            trail=(*self.trail, Step("staged", version, confirm_by_ms=until)),
            made=version,
            parents=(*self.parents, replay(self.trail).serving),
            edits=self.edits - 1,
        )

    def _stage_on_trial(self) -> RolloutModel:
        return self._stage(UNTIL)

    def _undo(self) -> RolloutModel:
        found = replay(self.trail)
        gone = (Step("withdrawn", found.staged),) if found.staged else ()
        # Asked for by a person: what comes back with it, comes back by their will.
        return replace(
            self,
            trail=(*self.trail, *gone, Step("staged", found.previous)),
            edits=self.edits - 1,
            expired=self.expired - {found.previous},
        )

    def _withdraw(self) -> RolloutModel:
        step = Step("withdrawn", replay(self.trail).staged)
        return replace(self, trail=(*self.trail, step), edits=self.edits - 1)

    def _confirm(self) -> RolloutModel:
        version = replay(self.trail).serving
        return replace(self, trail=(*self.trail, Step("confirmed", version)), final=version)

    def _time(self) -> RolloutModel:
        return replace(self, now=self.now + 1)

    def _kill(self) -> RolloutModel:
        return replace(self, serves=0, doing=(), target=0, kills=self.kills - 1)

    def _start(self) -> RolloutModel:
        found = replay(self.trail)
        added = () if self.omitted_step == "recover" else tuple(recover(found)[0])
        trail = (*self.trail, *added)
        serving = replay(trail).serving
        final = serving if added else self.final
        if found.undoing and serving != found.applying:
            raise InvariantViolation("finished: a start left an undo that was begun")
        expired = self.expired | ({found.serving} if found.confirm_by_ms and added else set())
        return replace(self, trail=trail, serves=serving, final=final, expired=frozenset(expired))

    def _begin(self) -> RolloutModel:
        found = replay(self.trail)
        step = due_step(found, self.now)
        assert step is not None
        if step.action == "applying" and step.version == found.previous and step.version != self.made:
            step = Step("undoing", step.version)  # asked for
        undoing = step.action == "undoing"
        expired = self.expired
        if undoing and found.confirm_by_ms and step.version != found.staged:
            expired |= {found.serving}
        if not undoing and self.parents[step.version] != found.serving and self.omitted_step != "parent":
            return replace(self, trail=(*self.trail, Step("refused", step.version)))
        until = 0.0 if undoing else found.staged_confirm_by_ms
        trail = self.trail if self.omitted_step == "begin" else (*self.trail, step)
        return replace(
            self, trail=trail, doing=("swap", "undone" if undoing else "applied"), target=step.version, until=until,
            expired=expired,
        )  # fmt: skip

    def _go_on(self) -> RolloutModel:
        what, *rest = self.doing
        if what == "swap":
            return replace(self, serves=self.target, doing=tuple(rest))
        step = Step(what, self.target, confirm_by_ms=self.until if what == "applied" else 0.0)
        try:
            replay(self.trail).advance(step)
        except ValueError as error:
            raise InvariantViolation(f"known: {error}") from error
        final = self.target if what == "undone" or not self.until else self.final
        return replace(self, trail=(*self.trail, step), doing=tuple(rest), target=0, final=final)

    def _within(self, version: int) -> set[int]:
        found = set()
        while version:
            found.add(version)
            version = self.parents[version]
        return found

    def _check(self) -> None:
        found = replay(self.trail)
        if self.serves and not self.doing and self._within(self.serves) & self.expired:
            raise InvariantViolation("gone: what nobody confirmed is served within another version")
        staged = {step.version for step in self.trail if step.action == "staged"}
        if self.serves and self.serves not in staged:
            raise InvariantViolation("known: a version is served that nobody staged")
        if self.serves and not self.doing and self.serves != found.serving:
            raise InvariantViolation("whole: what is served is not what the trail says")
        if (
            self.serves
            and not self.doing
            and not found.confirm_by_ms
            and not found.applying
            and self.final != found.serving
        ):
            raise InvariantViolation(
                "kept: a version that was reported applied for good is not served, and was not undone"
            )
        if self.serves and not self.doing and found.applying:
            raise InvariantViolation("whole: the trail says that a version is being applied, and nobody does")

    def key(self) -> Hashable:
        """All of it, but for how the trail came to where it stands."""
        staged = frozenset(step.version for step in self.trail if step.action == "staged")
        rest = (
            self.serves,
            self.doing,
            self.target,
            self.until,
            self.made,
            self.now,
            self.kills,
            self.edits,
            self.final,
            self.parents,
            self.expired,
        )
        return replay(self.trail), staged, rest
