"""The quota of one volume at one gateway: token buckets of its reservation and its limit."""

from __future__ import annotations

from winchdyke import interface as api

LN_2 = 0.693
RATE_HALF_LIFE_MS = 1500.0  # half-life of the volume's rate; close to the 1 s over which plans are measured
USAGE_REPORT_LIFETIME_MS = 2 * RATE_HALF_LIFE_MS
NEVER_MS = -1e18
ROUNDING_UNITS = 1e-6
NEGLIGIBLE_UNITS_PER_S = 0.01


class VolumeQuota:
    """A volume's token buckets and rates at this gateway.

    Each gateway enforces an even share of the limit, without coordination. Its share of the reservation
    follows the reported usage: the rate sent by this gateway, divided by the rate over all gateways.

    Attributes:
        plan: The plan of the volume.
        refilled_at_ms: The time up to which the buckets have been refilled.
        sharing_gateways: Number of gateways that serve the volume.
        own_units_per_s: Rate sent by this gateway.
        own_units_per_s_at_report: Moving average of ``own_units_per_s``, sampled at each usage report.
        total_units_per_s: Rate over all gateways, as last reported.
        reported_at_ms: When the last usage report arrived; ``NEVER_MS`` if none has.
        gateway_fraction: This gateway's share of the reservation, from 0 to 1.
        shards: Shards that requests for the volume at this gateway have used.
        open_requests: Number of its requests that are queued or have an attempt in flight.
        reserved_units: Balance of the reservation's bucket; negative after a request has overdrawn it.
        limit_units: Balance of the limit's bucket.
    """

    def __init__(self, settings: api.Settings, plan: api.Plan, now: float) -> None:
        self.settings = settings
        self.plan = plan
        self.refilled_at_ms = now
        self.sharing_gateways = 1
        self.own_units_per_s = 0.0
        self.own_units_per_s_at_report = 0.0
        self.total_units_per_s = 0.0
        self.reported_at_ms = NEVER_MS
        self.gateway_fraction = 1.0
        self.shards: set[int] = set()
        self.open_requests = 0
        # Both buckets start empty, as a restarted gateway cannot know what it or others have just spent.
        self.reserved_units = 0.0
        self.limit_units = 0.0

    def refill(self, now: float) -> None:
        """Refills both buckets and decays the rate up to now."""
        seconds = (now - self.refilled_at_ms) / 1000
        plan = self.plan
        self.gateway_fraction = self._fraction_of_reservation(now)
        self.own_units_per_s = self.own_units_per_s * 0.5 ** (seconds * 1000 / RATE_HALF_LIFE_MS)
        self.refilled_at_ms = now
        max_reserved = (plan.reserved_units_per_s + self.settings.max_request_units) * self.gateway_fraction
        self.reserved_units = min(
            max_reserved, self.reserved_units + plan.reserved_units_per_s * self.gateway_fraction * seconds
        )
        self.limit_units = min(
            plan.limit_burst_units / self.sharing_gateways,
            self.limit_units + plan.limit_units_per_s / self.sharing_gateways * seconds,
        )

    def is_like_new(self, created_at_ms: float, now: float) -> bool:
        """Refills the quota, and returns whether one that is created now would allow the same.

        Args:
            created_at_ms: The time from which a new quota accrues.
            now: The present time.
        """
        if self.open_requests or now - self.reported_at_ms < USAGE_REPORT_LIFETIME_MS:
            return False
        self.refill(now)
        new = VolumeQuota(self.settings, self.plan, created_at_ms)
        new.sharing_gateways = self.sharing_gateways
        new.refill(now)
        has_reserved = not self.plan.reserved_units_per_s or (
            self.reserved_units >= new.reserved_units - ROUNDING_UNITS
        )
        has_limit = not self.plan.limit_units_per_s or self.limit_units >= new.limit_units - ROUNDING_UNITS
        return has_reserved and has_limit and self.own_units_per_s < NEGLIGIBLE_UNITS_PER_S

    def record_sent(self, units: float) -> None:
        """Charges the first attempt of a request to the reservation, which one request may overdraw."""
        self.reserved_units = max(self.reserved_units - units, -units)
        self.own_units_per_s += units * LN_2 * 1000 / RATE_HALF_LIFE_MS

    def record_usage_report(self, usage_percent: float, now: float) -> None:
        """Records the volume's usage over all gateways, in percent of the plan's expected rate."""
        self.total_units_per_s = self.plan.expected_units_per_s * usage_percent / 100
        self.reported_at_ms = now
        self.own_units_per_s_at_report += 0.5 * (self.own_units_per_s - self.own_units_per_s_at_report)

    def limit_admits_at_ms(self, units: float) -> float:
        """Returns when the limit's bucket will hold this many units. The plan must have a limit."""
        missing_units = units - self.limit_units
        return (
            self.refilled_at_ms + missing_units * self.sharing_gateways / self.plan.limit_units_per_s * 1000
        )

    def _fraction_of_reservation(self, now: float) -> float:
        even = 1.0 / self.sharing_gateways
        if now - self.reported_at_ms >= USAGE_REPORT_LIFETIME_MS:
            return even
        own = self.own_units_per_s_at_report
        observed = (own + even) / (max(self.total_units_per_s, own) + 1.0)
        min_fraction = even / 2 if self.sharing_gateways > 1 else 1.0
        return min(1.0, max(min_fraction, observed))
