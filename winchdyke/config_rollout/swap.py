"""The work that a change of configuration needs before the instant at which it takes effect."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from winchdyke import interface as api
from winchdyke.config_rollout.cutover import EffectiveConfig, changed_plans


@dataclass(frozen=True)
class PreparedSwap:
    """All that a swap of configurations needs, computed outside the event loop.

    Attributes:
        old: What is in effect before.
        new: What is in effect after.
        version: The number of the version in effect after.
        settings: The scheduler's new settings.
        plans: The new plans of volumes whose plan changes.
        volume_count: How many of the scheduler's volumes were looked at; later ones are not in ``plans`` yet.
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
