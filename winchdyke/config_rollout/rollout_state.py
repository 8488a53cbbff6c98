"""Where a gateway stands between versions of its settings, from its trail alone. Pure.

    proposed -> staged [-> ready] -> applying -> applied [-> confirmed]   applied, not confirmed in time -> undoing -> undone
                staged -> refused by the gateway, or withdrawn by a person

A version is staged for the moment it arrives, for a stated instant, or held until it is told to go (:data:`HELD`).

Each step is on the trail, synced, before it has any effect. A kill leaves the trail at one of them, and :func:`recover` says
which version is served from then on, whole, and why: the old one unless the new one was applied for good.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

STEPS = (
    "proposed", "staged", "ready", "refused", "withdrawn", "applying", "applied", "confirmed", "undoing", "undone", "pruned",
)  # fmt: skip
HELD = math.inf  # staged, and checked, until it is staged again with an instant or none


@dataclass(frozen=True, slots=True)
class Step:
    """One entry of the trail: what was done with which version; ``until_ms``: confirmed by then, or undone.

    ``at_ms``: the instant (Unix ms, by the gateway's own clock) that it is staged for; 0: as it arrives.
    """

    what: str
    version: int
    unix_ms: float = 0.0
    until_ms: float = 0.0
    at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RolloutState:
    """The version that is served, the one that waits to be applied, the one being applied, and a trial's end."""

    serving: int = 0
    staged: int = 0
    staged_until_ms: float = 0.0
    applying: int = 0
    before: int = 0  # what an undo goes back to
    until_ms: float = 0.0  # 0: what is served was applied for good
    staged_at_ms: float = 0.0
    undoing: bool = False  # what is being applied is an undo: a start finishes it
    instant_ms: float = 0.0  # for which what is applied, or being applied, was staged

    def after(self, step: Step) -> RolloutState:
        """The standing one step on. ValueError where the step does not follow."""
        if step.what == "staged":
            return replace(self, staged=step.version, staged_until_ms=step.until_ms, staged_at_ms=step.at_ms)
        if step.what in ("refused", "withdrawn") and step.version == self.staged:
            return replace(self, staged=0, staged_at_ms=0.0)
        if step.what in ("applying", "undoing"):
            if self.applying:
                raise ValueError(f"version {step.version} is applied while {self.applying} still is")
            if step.what == "undoing" and step.version != self.before:
                raise ValueError(f"an undo goes back to version {self.before}, not to {step.version}")
            mine = step.version == self.staged
            return replace(
                self,
                staged=0 if mine else self.staged,
                staged_at_ms=0.0 if mine else self.staged_at_ms,
                applying=step.version,
                undoing=step.what == "undoing",
                instant_ms=self.staged_at_ms if mine and step.what == "applying" else 0.0,
            )
        if step.what == "applied":
            if self.applying != step.version:
                raise ValueError(f"version {step.version} was applied without being begun")
            return replace(
                self,
                serving=step.version,
                before=self.serving,
                applying=0,
                undoing=False,
                until_ms=step.until_ms,
            )
        if step.what == "confirmed":
            return replace(self, until_ms=0.0)
        if step.what == "undone":
            return replace(
                self,
                serving=step.version,
                applying=0,
                undoing=False,
                before=self.serving if step.version != self.serving else self.before,
                until_ms=0.0,
                instant_ms=0.0,
            )
        if step.what in STEPS:
            return self
        raise ValueError(f"{step.what!r} is no step of a change")


def standing(steps: Iterable[Step], base: RolloutState = RolloutState()) -> RolloutState:
    """Where a trail leaves a gateway; ``base``: what the entries before the first of ``steps`` came to."""
    found = base
    for step in steps:
        found = found.after(step)
    return found


def recover(found: RolloutState) -> tuple[list[Step], str]:
    """The steps that a start adds to a trail that a kill cut, and why; none where nothing was under way."""
    if found.undoing:
        # Guards against a harmful version that is served for good because a kill came between an undo's two entries.
        why = f"ended while version {found.serving} was being undone"
        return [Step("undone", found.applying)], f"{why}: version {found.applying} is served"
    if found.applying and not found.until_ms:
        why = f"ended while version {found.applying} was being applied"
        return [Step("undone", found.serving)], f"{why}: version {found.serving} is served"
    if found.until_ms:
        why = f"ended before version {found.serving} was confirmed"
        return [Step("undone", found.before)], f"{why}: version {found.before} is served again"
    return [], f"version {found.serving} is served" if found.serving else "no version was applied"


def due(found: RolloutState, now_unix_ms: float) -> Step | None:
    """What is to be done now: undo what was not confirmed in time, or begin what is staged."""
    if found.applying:
        return None
    if found.until_ms and now_unix_ms >= found.until_ms:
        return Step("undoing", found.before)
    if found.staged and now_unix_ms >= found.staged_at_ms:
        return Step("applying", found.staged)
    return None
