"""The state of one endpoint at this gateway: its concurrency limit, health and slow start."""

from __future__ import annotations

from typing import NamedTuple

from winchdyke import interface as api
from winchdyke.scheduling.concurrency_limit import INITIAL_LIMIT, Gradient2Limit
from winchdyke.scheduling.quota import LN_2

LONG_AGO_MS = -1e18
SLOW_START_UTILIZATION = 1.0  # used fraction of the load that the settings' overload factor allows
SLOW_START_BURST_FRACTION = 0.5  # fraction of a window's units available as a burst; the rest accrues evenly


class InFlightAttempt(NamedTuple):
    """An attempt in flight at an endpoint."""

    sent_at_ms: float
    request_class: str


class EndpointState:
    """The state of one endpoint.

    Attributes:
        name: Its name in the endpoint list.
        shard: The shard it holds.
        zone: Its zone.
        ready: Whether the endpoint list reports it as ready for requests.
        removed: Whether it is no longer in the endpoint list.
        concurrency_limit: The limit of requests in flight at the endpoint.
        started_at_ms: When it started; ``LONG_AGO_MS`` if unknown.
        in_flight: Attempts in flight, by request id and attempt index.
        last_response_at_ms: When it last responded.
        last_answered_sent_at_ms: Latest send time of the attempts that it has answered, other than by
            shedding them.
        suspected_since_ms: When the present suspicion that it is down began; None if it is not suspected.
        limit_before_suspicion: The limit at the time when the endpoint became suspected because of silence.
        restart_suspected: Whether a connection attempt has failed since the last recovery.
        next_health_check_at_ms: When a suspected endpoint may be sent its next single request.
        health_check_interval_ms: The present interval of such requests.
        slow_start_credit_units: Balance of units that may be sent during the slow start.
        slow_start_credit_at_ms: The time up to which the balance has accrued.
        warmup_goodput_units: Units served promptly during the slow start, with exponential decay.
        warmup_goodput_at_ms: The time up to which these units have been decayed.
        overdraft_fraction: Fraction of a request larger than the burst that has to accrue before it is sent.
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
        """Begins the slow start of an endpoint that has restarted.

        The credit starts at 0, because the load that other gateways have just sent is not known.
        """
        self.started_at_ms = started_at_ms
        self.slow_start_credit_units = 0.0
        self.slow_start_credit_at_ms = now
        self.suspected_since_ms = None
        self.overdraft_fraction = overdraft_fraction
        self.warmup_goodput_units = 0.0

    def warmup_fraction(self, settings: api.Settings, now: float) -> float:
        """Returns the fraction of its full capacity that the endpoint is guaranteed to have by now."""
        initial = settings.slow_start_initial_capacity
        gained = (
            (1 - initial) * max(0.0, now - self.started_at_ms) / max(1.0, settings.slow_start_duration_ms)
        )
        return min(1.0, initial + gained)

    def record_warmup_goodput(self, settings: api.Settings, now: float, units: float) -> None:
        """Adds units served promptly to the warm-up goodput, whose half-life is the overload window."""
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
        """Returns whether the slow start admits a request now.

        The credit accrues at the largest of three rates: an even share of the units stated in the settings,
        the rate at which the shard served this gateway while it was warm, and the rate at which the endpoint
        has served this gateway promptly. Over all gateways, each of these adds up to no more than the
        endpoint can serve. The even share alone would leave the endpoint idle if few of many gateways use it.

        Args:
            settings: The scheduler's settings.
            now: The current time (ms).
            units: Work of the request.
            shard_units_per_s: Rate at which warm endpoints of the shard served this gateway.
            sharing_gateways: Estimated number of gateways that use the shard.
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
        # A request larger than the burst overdraws the credit once a random fraction of its units has
        # accrued: otherwise all gateways that learn of a start would send such a request at the same moment.
        needed = min(units, max(burst_units, self.overdraft_fraction * units))
        self.slow_start_credit_units = min(max(burst_units, needed), self.slow_start_credit_units + accrued)
        self.slow_start_credit_at_ms = now
        return self.slow_start_credit_units >= needed
