"""What a gateway goes by around the instant that a change is staged for, where clocks differ. Pure.

Gateways share nothing, so each takes up a change when its own clock says so. Let all their clocks be less than ``apart`` from
each other, and the instant be T. By its own clock, a gateway goes by

    before T - apart            the old version
    from T - apart to T         the old version, but each limit the lower of the two
    from T to T + apart         the new version, but each limit the lower of the two
    from T + apart on           the new version

When the first gateway takes up the new version, its clock says T, so all others say more than T - apart: they hold the lower limits.
When the last one does, its clock says T, so all others say less than T + apart: they hold them still. So from the first to the
last the sum over gateways is that of the lower limit, with no word between them. A change that is taken up as it arrives has no
such time: in sum, what holds then lies between the two limits.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable

from winchdyke import interface as api
from winchdyke.config.model import Config


class Phase(enum.Enum):
    """Which version counts, and whose limits."""

    OLD = "the old version"
    OLD_LOWER = "the old version, the lower limits"
    NEW_LOWER = "the new version, the lower limits"
    NEW = "the new version"


def phase(now: float, at: float, apart: float) -> Phase:
    """The phase of a change staged for ``at``, by one clock; all in milliseconds. ``at`` 0: it counts as it arrives."""
    if not at:
        return Phase.NEW
    if now < at - apart:
        return Phase.OLD
    if now < at:
        return Phase.OLD_LOWER
    return Phase.NEW_LOWER if now < at + apart else Phase.NEW


def lower(mine: api.Plan, other: api.Plan | None) -> api.Plan:
    """A plan with the lower of two plans' limits; 0 is no limit."""
    limited = [plan for plan in (mine, other) if plan is not None and plan.limit_units_per_s]
    if not limited:
        return mine
    limit, burst = (
        min(plan.limit_units_per_s for plan in limited),
        min(plan.limit_burst_units for plan in limited),
    )
    return dataclasses.replace(mine, limit_units_per_s=limit, limit_burst_units=burst)


class Going:
    """What a gateway goes by in one phase between two versions."""

    def __init__(self, old: Config, new: Config, at: Phase = Phase.NEW) -> None:
        self.old, self.new, self.at = old, new, at
        after = at in (Phase.NEW, Phase.NEW_LOWER)
        self.config, self._other = (new, old) if after else (old, new)
        self._lower = at in (Phase.OLD_LOWER, Phase.NEW_LOWER)
        self._plans, self._others = _plans(self.config), _plans(self._other)

    def plan(self, name: str) -> api.Plan | None:
        """A volume's plan; None where the version that counts has no such volume."""
        volume = self.config.volume(name)
        mine = self._plans.get(volume.plan) if volume is not None else None
        if mine is None or not self._lower:
            return mine
        volume = self._other.volume(name)
        return lower(mine, self._others.get(volume.plan) if volume is not None else None)

    def settings(self) -> api.Settings:
        """What the scheduler goes by; plans that both versions have carry the lower limits where those count."""
        settings = self.config.settings()
        if not self._lower:
            return settings
        plans = tuple(lower(plan, self._others.get(plan.name)) for plan in settings.plans)
        return dataclasses.replace(settings, plans=plans)


def _plans(config: Config) -> dict[str, api.Plan]:
    return {plan.name: plan for plan in config.plans}


def moved(names: Iterable[str], before: Going, after: Going) -> dict[str, api.Plan]:
    """The accounts among ``names`` whose plan becomes another one, or has other figures. Slow: not for the event loop."""
    found = {}
    for name in names:
        plan = after.plan(name)
        if plan is not None and plan != before.plan(name):
            found[name] = plan
    return found


def limits_differ(old: Config, new: Config) -> bool:
    """Whether two versions may differ in any volume's limit, so that the phases between them count."""
    plans = _plans(old), _plans(new)
    if old.volumes != new.volumes:
        return True
    return any(
        (plan.limit_units_per_s, plan.limit_burst_units) != (other.limit_units_per_s, other.limit_burst_units)
        for name, plan in plans[0].items()
        for other in [plans[1].get(name)]
        if other is not None
    )
