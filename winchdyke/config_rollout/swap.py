"""The preparation of a configuration change, done before the instant at which the change takes effect."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from winchdyke import interface as api
from winchdyke.config_rollout.cutover import EffectiveConfig, changed_plans


@dataclass(frozen=True)
class PreparedSwap:
    """The data for a swap of configurations, computed outside the event loop.

    Attributes:
        old: The configuration in effect before the swap.
        new: The configuration in effect after it.
        version: The number of the version in effect after it.
        settings: The scheduler's new settings.
        plans: The new plans of volumes whose plan changes.
        volume_count: The number of the scheduler's volumes that were examined; ``plans`` does not cover volumes added later.
    """

    old: EffectiveConfig
    new: EffectiveConfig
    version: int
    settings: api.Settings
    plans: dict[str, api.Plan]
    volume_count: int


def prepare_swap(
    old: EffectiveConfig, new: EffectiveConfig, version: int, volume_names: Sequence[str]
) -> PreparedSwap:
    """Compute a swap. Too slow for the event loop."""
    return PreparedSwap(
        old, new, version, new.settings(), changed_plans(volume_names, old, new), len(volume_names)
    )
