"""The configuration that applies to one request."""

from __future__ import annotations

from winchdyke.config.model import Config, VolumeRule

MAX_CACHED_VOLUMES = 100_000


class ConfigSnapshot:
    """The configuration that applies to a request from its arrival to its last attempt; a change creates a new one.

    Attributes:
        config: The configuration.
        version: The number of its version; 0: the configuration at the start.
        plan_limits_units_per_s: The limit of each plan, in units per second; 0: no limit.
    """

    __slots__ = ("_volume_rules", "config", "plan_limits_units_per_s", "version")

    def __init__(self, config: Config, version: int = 0) -> None:
        self.config = config
        self.version = version
        self.plan_limits_units_per_s = {plan.name: plan.limit_units_per_s for plan in config.plans}
        self._volume_rules: dict[str, VolumeRule | None] = {}

    def volume(self, name: str) -> VolumeRule | None:
        """Return the rule that applies to a volume; None: no rule does."""
        if name not in self._volume_rules:
            if len(self._volume_rules) > MAX_CACHED_VOLUMES:
                self._volume_rules.clear()
            self._volume_rules[name] = self.config.volume(name)
        return self._volume_rules[name]
