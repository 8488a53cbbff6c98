"""A model of a cutover at a scheduled instant, for the model checker. Gateways have different clocks, are killed, and restart.

Time passes in ticks; each gateway's clock has its own offset. A gateway checks its clock at least once in a tick, at any
moment of it, and stays in the phase that it found until its next check. Invariants:

    lower   while two gateways serve different versions, all running ones apply the lower of the two limits
    done    once all clocks are past the instant by their maximum difference, each serves the new version with its limit

Gateways that learn of the change after its instant are not modelled: they serve the old version until then, which breaks the
first invariant. ``ChangeOperations`` refuses an instant in the past.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, replace

from winchdyke.config_rollout.cutover import Phase, phase_at
from winchdyke.model.checker import InvariantViolation

INSTANT, MAX_CLOCK_DIFFERENCE, END = 4.0, 2.0, 9
OLD, NEW = 1, 2


@dataclass(frozen=True)
class CutoverModel:
    """One state: true time, the phase of each gateway (None: it is down), and whether each has checked its clock in this tick."""

    offsets: tuple[float, ...] = (-0.9, 0.0, 0.9)
    now: int = 0
    phases: tuple[Phase | None, ...] = (Phase.OLD, Phase.OLD, Phase.OLD)
    checked: tuple[bool, ...] = (False, False, False)
    remaining_kills: int = 2
    limits: tuple[int, int] = (5, 2)
    omitted_step: str = ""  # the part that a faulty variant leaves out

    def steps(self) -> Iterable[str]:
        """The names of all steps that are possible now."""
        if (
            all(checked or phase is None for checked, phase in zip(self.checked, self.phases, strict=True))
            and self.now < END
        ):
            yield "tick"
        for number, phase in enumerate(self.phases):
            if phase is None:
                yield f"start {number}"
                continue
            if not self.checked[number]:
                yield f"check {number}"
            if self.remaining_kills:
                yield f"kill {number}"

    def after(self, step: str) -> CutoverModel:
        """The state one step on. Raises InvariantViolation."""
        kind, _, gateway = step.partition(" ")
        if kind == "tick":
            successor = replace(self, now=self.now + 1, checked=(False,) * len(self.offsets))
        elif kind == "kill":
            successor = replace(
                self._with_phase(int(gateway), None), remaining_kills=self.remaining_kills - 1
            )
        else:  # a start checks the clock too: it reads the instant from its change log
            successor = self._with_phase(int(gateway), self._phase(int(gateway), kind == "start"))
        successor._check()
        return successor

    def _phase(self, number: int, start: bool) -> Phase:
        clock = self.now + self.offsets[number]
        phase = phase_at(clock, INSTANT, MAX_CLOCK_DIFFERENCE)
        if self.omitted_step == "early" and phase is Phase.OLD_LOWER:
            return Phase.OLD
        if self.omitted_step == "settle" and phase is Phase.NEW_LOWER:
            return Phase.NEW
        if self.omitted_step == "restart" and start and phase is Phase.NEW_LOWER:
            return Phase.NEW
        return phase

    def _with_phase(self, number: int, phase: Phase | None) -> CutoverModel:
        phases, checked = list(self.phases), list(self.checked)
        phases[number], checked[number] = phase, phase is not None
        return replace(self, phases=tuple(phases), checked=tuple(checked))

    def _check(self) -> None:
        old, new = self.limits
        limit_by_phase = {
            Phase.OLD: old,
            Phase.NEW: new,
            Phase.OLD_LOWER: min(old, new),
            Phase.NEW_LOWER: min(old, new),
        }
        running = [phase for phase in self.phases if phase is not None]
        versions = {NEW if phase in (Phase.NEW, Phase.NEW_LOWER) else OLD for phase in running}
        if len(versions) == 2 and any(limit_by_phase[phase] != min(old, new) for phase in running):
            raise InvariantViolation(
                "lower: two versions are served, and one gateway does not apply the lower limit"
            )
        if (
            self.now >= INSTANT + MAX_CLOCK_DIFFERENCE + 1
            and all(self.checked)
            and any(phase is not Phase.NEW for phase in running)
        ):
            raise InvariantViolation(
                "done: all clocks are past the instant, and a gateway does not serve the new version with its limit"
            )

    def key(self) -> Hashable:
        """The whole state, without constants."""
        return self.now, self.phases, self.checked, self.remaining_kills
