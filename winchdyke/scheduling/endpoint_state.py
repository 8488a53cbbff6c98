"""What this gateway knows of one endpoint: its concurrency limit, its health and its slow start."""

from __future__ import annotations

from typing import NamedTuple

from winchdyke import interface as api
from winchdyke.scheduling.concurrency_limit import INITIAL_LIMIT, Gradient2Limit
from winchdyke.scheduling.quota import LN_2

LONG_AGO_MS = -1e18
SLOW_START_UTILIZATION = 1.0  # part that is used of the load that the settings' overload factor allows
SLOW_START_BURST_FRACTION = 0.5  # of a window's units that may be sent at once; the rest accrues evenly


class InFlightAttempt(NamedTuple):
    """An attempt in flight at an endpoint."""

    sent_at_ms: float
    request_class: str


class EndpointState:
    """An endpoint as this gateway sees it.

    Attributes:
        name: Its name in the endpoint list.
        shard: The shard it holds.
        zone: Its zone.
        ready: Whether the list says that it takes requests.
        removed: Whether no list names it any more.
        concurrency_limit: How many requests may be in flight there.
        started_at_ms: When it started; long ago where that is not known.
        in_flight: Attempts in flight, by request and index of the attempt.
        last_response_at_ms: When it last answered.
        last_answered_sent_at_ms: When the latest attempt that it answered was sent.
        suspected_since_ms: Since when it is suspected to be down; None while it is not.
        limit_before_suspicion: The limit when silence raised the suspicion.
        restart_suspected: Whether a connection failed since.
        next_health_check_at_ms: When a suspected endpoint is sent its next single request.
        health_check_interval_ms: The interval of such requests, which grows.
        slow_start_credit_units: Units that may be sent while it warms up.
        slow_start_credit_at_ms: The time up to which they have accrued.
        warmup_goodput_units: Units that it served in good time while warming up, decaying.
        warmup_goodput_at_ms: The time up to which they have decayed.
        overdraft_fraction: The part of a request beyond the credit that has to accrue before it is sent.
    """

    def __init__(self, entry: api.Endpoint, now: float) -> None:
        self.name = entry.name
        self.shard = entry.shard
        self.zone = entry.zone
        self.ready = False
        self.removed = False
        self.concurrency_limit = Gradient2Limit(now)
        self.started_at_ms = LONG_AGO_MS
        self.in_flight: dict[tuple[str, int], InFlightAttempt] = {}
        self.last_response_at_ms = now
        self.last_answered_sent_at_ms = LONG_AGO_MS
        self.suspected_since_ms: float | None = None
        self.limit_before_suspicion = INITIAL_LIMIT
        self.restart_suspected = False
        self.next_health_check_at_ms = 0.0
        self.health_check_interval_ms = 0.0
        self.slow_start_credit_units = 0.0
        self.slow_start_credit_at_ms = now
        self.warmup_goodput_units = 0.0
        self.warmup_goodput_at_ms = now
        self.overdraft_fraction = 1.0

    def begin_slow_start(self, started_at_ms: float, now: float, overdraft_fraction: float) -> None:
        """The endpoint has started anew. What other gateways have just sent is not known, so there is no credit yet."""
        self.started_at_ms = started_at_ms
        self.slow_start_credit_units = 0.0
        self.slow_start_credit_at_ms = now
        self.suspected_since_ms = None
        self.overdraft_fraction = overdraft_fraction
        self.warmup_goodput_units = 0.0

    def warmup_fraction(self, settings: api.Settings, now: float) -> float:
        """The least part of its capacity that the endpoint has by now."""
        initial = settings.slow_start_initial_capacity
        gained = (
            (1 - initial) * max(0.0, now - self.started_at_ms) / max(1.0, settings.slow_start_duration_ms)
        )
        return min(1.0, initial + gained)

    def record_warmup_goodput(self, settings: api.Settings, now: float, units: float) -> None:
        """Count units served in good time, decaying over the window in which overload is measured."""
        half_life_ms = max(1.0, settings.slow_start_overload_window_ms)
        decay: float = 0.5 ** ((now - self.warmup_goodput_at_ms) / half_life_ms)
        self.warmup_goodput_units = self.warmup_goodput_units * decay + units
        self.warmup_goodput_at_ms = now

    def admits_during_slow_start(
        self,
        settings: api.Settings,
        now: float,
        units: float,
        shard_units_per_s: float,
        sharing_gateways: float,
    ) -> bool:
        """Whether the endpoint may be sent so many units, by what it bears while it warms up.

        An even part of the stated units would leave an endpoint idle where few of many gateways use it. So the credit
        accrues by the largest of that part, of what its shard served this gateway, and of what the endpoint itself
        served in good time. Over all gateways, each of these sums to no more than the endpoint can do.

        Args:
            settings: The scheduler's settings.
            now: The time (ms).
            units: Work of the request.
            shard_units_per_s: Rate at which this gateway was served by the shard while it was warm.
            sharing_gateways: Estimate of the gateways that use the shard.
        """
        warmup_fraction = self.warmup_fraction(settings, now)
        window_ms = settings.slow_start_overload_window_ms
        if not window_ms or warmup_fraction >= 1:
            return True
        self.record_warmup_goodput(settings, now, 0.0)
        observed = max(
            warmup_fraction * shard_units_per_s * window_ms / 1000, LN_2 * self.warmup_goodput_units
        )
        by_observation = SLOW_START_UTILIZATION * settings.slow_start_overload_factor * observed
        by_settings = (
            warmup_fraction
            * settings.slow_start_initial_units
            / sharing_gateways
            / settings.slow_start_initial_capacity
        )
        window_units = max(by_settings, by_observation)
        accrual = max(by_settings * (1 - SLOW_START_BURST_FRACTION), by_observation)
        accrued = accrual * (now - self.slow_start_credit_at_ms) / window_ms
        burst_units = window_units * SLOW_START_BURST_FRACTION
        # A larger request overdraws the credit, at a moment drawn at random within the time that its units need:
        # all gateways that learn of a start would otherwise send one at the same moment.
        needed = min(units, max(burst_units, self.overdraft_fraction * units))
        self.slow_start_credit_units = min(max(burst_units, needed), self.slow_start_credit_units + accrued)
        self.slow_start_credit_at_ms = now
        return self.slow_start_credit_units >= needed
