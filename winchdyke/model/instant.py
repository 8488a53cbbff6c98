"""The world in which changes at a stated instant are checked: gateways with clocks apart, that look late, are killed, and start.

Time goes in whole ticks; each gateway's clock is off by its own share. A gateway looks when it likes, at least once a tick: what it
goes by is what it saw at its last look. Invariants:

    lower   while two gateways serve different versions, each one that serves holds the lower of the two limits
    done    once all clocks are past the instant by what they may be apart, each serves the new version with its limit

A gateway that learns of the change only when its instant is gone is told of apart: it holds the old version till then, so the
first holds only among those that know of it in time; ``ChangeOperations`` refuses an instant in the past.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass, replace

from winchdyke.config_rollout.cutover import Phase, phase_at
from winchdyke.model.checker import InvariantViolation

AT, APART, END = 4.0, 2.0, 9
OLD, NEW = 1, 2


@dataclass(frozen=True)
class CutoverModel:
    """One state: true time, what each gateway goes by (None: it is down), and whether each has looked in this tick."""

    offsets: tuple[float, ...] = (-0.9, 0.0, 0.9)
    now: int = 0
    going: tuple[Phase | None, ...] = (Phase.OLD, Phase.OLD, Phase.OLD)
    looked: tuple[bool, ...] = (False, False, False)
    kills: int = 2
    limits: tuple[int, int] = (5, 2)
    omitted_step: str = ""  # what a mutant leaves out

    def steps(self) -> Iterable[str]:
        """All that may happen next."""
        if (
            all(seen or going is None for seen, going in zip(self.looked, self.going, strict=True))
            and self.now < END
        ):
            yield "tick"
        for number, going in enumerate(self.going):
            if going is None:
                yield f"start {number}"
                continue
            if not self.looked[number]:
                yield f"look {number}"
            if self.kills:
                yield f"kill {number}"

    def after(self, step: str) -> CutoverModel:
        """The world one step on."""
        what, _, which = step.partition(" ")
        if what == "tick":
            made = replace(self, now=self.now + 1, looked=(False,) * len(self.offsets))
        elif what == "kill":
            made = replace(self._with(int(which), None), kills=self.kills - 1)
        else:  # a start looks as well: it knows the instant from its trail
            made = self._with(int(which), self._phase(int(which), what == "start"))
        made._check()
        return made

    def _phase(self, number: int, start: bool) -> Phase:
        clock = self.now + self.offsets[number]
        found = phase_at(clock, AT, APART)
        if self.omitted_step == "early" and found is Phase.OLD_LOWER:
            return Phase.OLD
        if self.omitted_step == "settle" and found is Phase.NEW_LOWER:
            return Phase.NEW
        if self.omitted_step == "restart" and start and found is Phase.NEW_LOWER:
            return Phase.NEW
        return found

    def _with(self, number: int, going: Phase | None) -> CutoverModel:
        changed, looked = list(self.going), list(self.looked)
        changed[number], looked[number] = going, going is not None
        return replace(self, going=tuple(changed), looked=tuple(looked))

    def _check(self) -> None:
        old, new = self.limits
        held = {
            Phase.OLD: old,
            Phase.NEW: new,
            Phase.OLD_LOWER: min(old, new),
            Phase.NEW_LOWER: min(old, new),
        }
        up = [going for going in self.going if going is not None]
        versions = {NEW if going in (Phase.NEW, Phase.NEW_LOWER) else OLD for going in up}
        if len(versions) == 2 and any(held[going] != min(old, new) for going in up):
            raise InvariantViolation(
                "lower: two versions are served, and one of them with a limit that is not the lower one"
            )
        if self.now >= AT + APART + 1 and all(self.looked) and any(going is not Phase.NEW for going in up):
            raise InvariantViolation(
                "done: the instant is long gone, and the new version does not count everywhere"
            )

    def key(self) -> Hashable:
        """All of it."""
        return self.now, self.going, self.looked, self.kills
