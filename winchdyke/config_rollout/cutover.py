"""The version and the limits that a gateway applies around the instant for which a version is staged. Pure.

Gateways apply a version independently, each when its own clock reaches the instant. Let any two clocks be less than
``max_clock_skew_ms`` apart, and the instant be T. By its own clock, a gateway applies

    before T - skew            the old version
    from T - skew to T         the old version, each limit being the lower one of the two versions
    from T to T + skew         the new version, each limit being the lower one of the two versions
    from T + skew on           the new version

When the first gateway changes over its clock reads T, so every other clock reads more than T - skew: all apply the lower limits.
When the last one does, every other clock reads less than T + skew: all still apply them. So from the first changeover to the
last one the sum over all gateways is bounded by the lower limit, without communication. A version that is applied at once has
no such interval: meanwhile the sum lies between the two limits.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable

from winchdyke import interface as api
from winchdyke.config.model import Config


class Phase(enum.Enum):
    """The version in effect, and the limits in effect."""

    OLD = "the old version"
    OLD_LOWER = "the old version, the lower limits"
    NEW_LOWER = "the new version, the lower limits"
    NEW = "the new version"


def phase_at(now_ms: float, activate_at_ms: float, max_clock_skew_ms: float) -> Phase:
    """Return the phase at ``now_ms`` of a version staged for ``activate_at_ms``; 0: it is applied at once."""
    if not activate_at_ms:
        return Phase.NEW
    if now_ms < activate_at_ms - max_clock_skew_ms:
        return Phase.OLD
    if now_ms < activate_at_ms:
        return Phase.OLD_LOWER
    if now_ms < activate_at_ms + max_clock_skew_ms:
        return Phase.NEW_LOWER
    return Phase.NEW


def with_lower_limits(plan: api.Plan, other: api.Plan | None) -> api.Plan:
    """Return ``plan`` with the lower of both plans' limits and bursts; a limit of 0 is no limit."""
    limited = [each for each in (plan, other) if each is not None and each.limit_units_per_s]
    if not limited:
        return plan
    return dataclasses.replace(
        plan,
        limit_units_per_s=min(each.limit_units_per_s for each in limited),
        limit_burst_units=min(each.limit_burst_units for each in limited),
    )


class EffectiveConfig:
    """The configuration that a gateway applies in one phase between two versions."""

    def __init__(self, old: Config, new: Config, phase: Phase = Phase.NEW) -> None:
        self.old = old
        self.new = new
        self.phase = phase
        if phase in (Phase.NEW, Phase.NEW_LOWER):
            self.config = new
            self._other_config = old
        else:
            self.config = old
            self._other_config = new
        self._uses_lower_limits = phase in (Phase.OLD_LOWER, Phase.NEW_LOWER)
        self._plans = _plans_by_name(self.config)
        self._other_plans = _plans_by_name(self._other_config)

    def plan(self, volume_name: str) -> api.Plan | None:
        """Return a volume's plan; None if the version in effect does not have the volume."""
        volume = self.config.volume(volume_name)
        plan = self._plans.get(volume.plan) if volume is not None else None
        if plan is None or not self._uses_lower_limits:
            return plan
        other_volume = self._other_config.volume(volume_name)
        other_plan = self._other_plans.get(other_volume.plan) if other_volume is not None else None
        return with_lower_limits(plan, other_plan)

    def settings(self) -> api.Settings:
        """Return the scheduler's settings; plans of both versions have the lower limits in the phases that use them."""
        settings = self.config.settings()
        if not self._uses_lower_limits:
            return settings
        plans = tuple(with_lower_limits(plan, self._other_plans.get(plan.name)) for plan in settings.plans)
        return dataclasses.replace(settings, plans=plans)


def _plans_by_name(config: Config) -> dict[str, api.Plan]:
    return {plan.name: plan for plan in config.plans}


def changed_plans(
    volume_names: Iterable[str], old: EffectiveConfig, new: EffectiveConfig
) -> dict[str, api.Plan]:
    """Return the new plan of each volume whose plan or whose plan's values change. Too slow for the event loop."""
    changed = {}
    for name in volume_names:
        plan = new.plan(name)
        if plan is not None and plan != old.plan(name):
            changed[name] = plan
    return changed


def limits_differ(old: Config, new: Config) -> bool:
    """Return whether any volume's limit may differ between two versions, so that the phases between them matter."""
    if old.volumes != new.volumes:
        return True
    old_plans = _plans_by_name(old)
    new_plans = _plans_by_name(new)
    return any(
        _limits(old_plans[name]) != _limits(new_plans[name]) for name in old_plans if name in new_plans
    )


def _limits(plan: api.Plan) -> tuple[float, float]:
    return plan.limit_units_per_s, plan.limit_burst_units
