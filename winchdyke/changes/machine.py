"""Where a gateway stands between versions of its settings, from its trail alone. Pure.

    proposed -> staged -> applying -> applied [-> confirmed]        applied, not confirmed in time -> undoing -> undone

Each step is on the trail, synced, before it has any effect. A kill leaves the trail at one of them, and :func:`recover` says
which version is served from then on, whole, and why: the old one unless the new one was applied for good.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

STEPS = ("proposed", "staged", "refused", "applying", "applied", "confirmed", "undoing", "undone")


@dataclass(frozen=True, slots=True)
class Step:
    """One entry of the trail: what was done with which version; ``until_ms``: confirmed by then, or undone."""

    what: str
    version: int
    unix_ms: float = 0.0
    until_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Standing:
    """The version that is served, the one that waits to be applied, the one being applied, and a trial's end."""

    serving: int = 0
    staged: int = 0
    staged_until_ms: float = 0.0
    applying: int = 0
    before: int = 0  # what an undo goes back to
    until_ms: float = 0.0  # 0: what is served was applied for good

    def after(self, step: Step) -> Standing:
        """The standing one step on. ValueError where the step does not follow."""
        if step.what == "staged":
            return replace(self, staged=step.version, staged_until_ms=step.until_ms)
        if step.what == "refused" and step.version == self.staged:
            return replace(self, staged=0)
        if step.what in ("applying", "undoing"):
            if self.applying and step.what == "applying":
                raise ValueError(f"version {step.version} is applied while {self.applying} still is")
            return replace(
                self, staged=0 if step.version == self.staged else self.staged, applying=step.version
            )
        if step.what == "applied":
            if self.applying != step.version:
                raise ValueError(f"version {step.version} was applied without being begun")
            return replace(
                self, serving=step.version, before=self.serving, applying=0, until_ms=step.until_ms
            )
        if step.what == "confirmed":
            return replace(self, until_ms=0.0)
        if step.what == "undone":
            return replace(self, serving=step.version, applying=0, before=self.serving, until_ms=0.0)
        if step.what in STEPS:
            return self
        raise ValueError(f"{step.what!r} is no step of a change")


def standing(steps: Iterable[Step]) -> Standing:
    """Where a trail leaves a gateway."""
    found = Standing()
    for step in steps:
        found = found.after(step)
    return found


def recover(found: Standing) -> tuple[list[Step], str]:
    """The steps that a start adds to a trail that a kill cut, and why; none where nothing was under way."""
    if found.applying:
        why = f"ended while version {found.applying} was being applied"
        return [Step("undone", found.serving)], f"{why}: version {found.serving} is served"
    if found.until_ms:
        why = f"ended before version {found.serving} was confirmed"
        return [Step("undone", found.before)], f"{why}: version {found.before} is served again"
    return [], f"version {found.serving} is served" if found.serving else "no version was applied"


def due(found: Standing, now_unix_ms: float) -> Step | None:
    """What is to be done now: undo what was not confirmed in time, or begin what is staged."""
    if found.applying:
        return None
    if found.until_ms and now_unix_ms >= found.until_ms:
        return Step("undoing", found.before)
    if found.staged:
        return Step("applying", found.staged)
    return None
