"""The quota of one volume at one gateway: token buckets of its reservation and its limit."""

from __future__ import annotations

from winchdyke import interface as api

LN_2 = 0.693
RATE_HALF_LIFE_MS = 1500.0  # of the volume's rate: near the second over which plans are measured
USAGE_REPORT_LIFETIME_MS = 2 * RATE_HALF_LIFE_MS
NEVER_MS = -1e18


class VolumeQuota:
    """A volume's token buckets and rates at this gateway.

    Each gateway keeps its own part of the limit, with no agreement among gateways. Its part of the reservation follows
    the reported use: this gateway's rate over the rate at all gateways.

    Attributes:
        plan: The plan of the volume.
        refilled_at_ms: The time up to which the buckets have been filled.
        sharing_gateways: Gateways that serve the volume.
        own_units_per_s: Rate sent by this gateway.
        own_units_per_s_at_report: That rate, averaged over the moments of usage reports.
        total_units_per_s: Rate over all gateways, as last reported.
        reported_at_ms: When it was reported.
        gateway_fraction: This gateway's part of the reservation.
        shards: Shards for which this gateway was asked for the volume.
        reserved_units: Balance of the reservation's bucket; negative while a request is owed.
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
        # Both buckets start empty: a restarted gateway cannot know what it or others have just spent.
        self.reserved_units = 0.0
        self.limit_units = 0.0

    def refill(self, now: float) -> None:
        """Fill both buckets, and let the rate decay, up to now."""
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

    def record_sent(self, units: float) -> None:
        """The first attempt of a request is started: charge the reservation, which may owe one request."""
        self.reserved_units = max(self.reserved_units - units, -units)
        self.own_units_per_s += units * LN_2 * 1000 / RATE_HALF_LIFE_MS

    def record_usage_report(self, usage_percent: float, now: float) -> None:
        """Take in the volume's use over all gateways, in percent of the plan's expected rate."""
        self.total_units_per_s = self.plan.expected_units_per_s * usage_percent / 100
        self.reported_at_ms = now
        self.own_units_per_s_at_report += 0.5 * (self.own_units_per_s - self.own_units_per_s_at_report)

    def limit_admits_at_ms(self, units: float) -> float:
        """When the limit's bucket will hold so many units. The plan has to have a limit."""
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
