"""Gradient2: an adaptive limit on the requests in flight at an endpoint, based on the latency of attempts.

The algorithm follows Netflix's concurrency-limits library: a short-term average of latency is compared with a
long-term one; the limit shrinks with their gradient and grows by about its square root. Latency is divided by
the expected work of the request, so that large requests are not mistaken for congestion.
"""

from __future__ import annotations

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
MAX_LIMIT = 16.0
# With more gateways than this, each one's minimum limit is reduced so that all of them add up to this many
# requests per endpoint.
MAX_UNDIVIDED_GATEWAYS = 6
UPDATE_INTERVAL_MS = 500.0
MIN_SAMPLES = 3
SHORT_AVERAGE_GAIN = 0.15
LONG_AVERAGE_GAIN = 0.01
TOLERANCE = 1.25  # ratio of the short to the long average up to which a rise counts as noise
MIN_GRADIENT = 0.5
SMOOTHING = 0.5
MIN_LATENCY_MS = 1e-6  # avoids division by zero if the clock has not advanced


class Gradient2Limit:
    """The number of requests that this gateway may have in flight at an endpoint.

    Attributes:
        limit: The current limit. A limit below 1 is enforced by a pause after each response.
        min_limit: The lower bound of the limit.
        sharing_gateways: Number of gateways among which the endpoint's limit is divided.
        peak_in_flight: Maximum number of requests in flight since the last update.
        next_update_at_ms: The time from which the limit may next be updated.
        sample_count: Number of latencies recorded since the last update.
        mean_latency_ms: Short-term average of latency.
        mean_expected_ms: Short-term average of the expected work.
        short_ratio: ``mean_latency_ms`` divided by ``mean_expected_ms``.
        long_ratio: Long-term average of ``short_ratio``.
    """

    def __init__(self, now: float) -> None:
        self.sharing_gateways = 1.0
        self.min_limit = MIN_LIMIT
        self.limit = INITIAL_LIMIT
        self.peak_in_flight = 0
        self.next_update_at_ms = now + UPDATE_INTERVAL_MS
        self.sample_count = 0
        self.mean_latency_ms = 0.0
        self.mean_expected_ms = 0.0
        self.long_ratio = 0.0
        self.short_ratio = 1.0

    def divide_among(self, volume_gateways: int, gateway_count: int) -> None:
        """Divides the limit among the gateways that are likely to use the endpoint.

        Otherwise, many gateways with a few requests each could keep an endpoint congested even at their
        minimum limits.

        Args:
            volume_gateways: Number of gateways that serve a volume with data at the endpoint.
            gateway_count: Number of gateways of the deployment.
        """
        sharing_gateways = max(
            self.sharing_gateways, min(volume_gateways, gateway_count / MAX_UNDIVIDED_GATEWAYS)
        )
        self.limit = self.limit * self.sharing_gateways / sharing_gateways
        self.sharing_gateways = sharing_gateways
        self.min_limit = MIN_LIMIT / max(1.0, gateway_count / MAX_UNDIVIDED_GATEWAYS)

    def record(self, latency_ms: float, expected_ms: float) -> None:
        """Adds the latency of an attempt, and that expected without congestion, to the averages."""
        gain = self._gain(SHORT_AVERAGE_GAIN) if self.mean_expected_ms else 1.0
        self.mean_latency_ms += gain * (max(latency_ms, MIN_LATENCY_MS) - self.mean_latency_ms)
        self.mean_expected_ms += gain * (expected_ms - self.mean_expected_ms)
        self.short_ratio = self.mean_latency_ms / self.mean_expected_ms
        long_gain = self._gain(LONG_AVERAGE_GAIN) if self.long_ratio else 1.0
        self.long_ratio += long_gain * (self.short_ratio - self.long_ratio)
        self.sample_count += 1

    def update(self, now: float, max_normal_ratio: float) -> None:
        """Adapts the limit if the update interval has elapsed and there are enough samples.

        ``max_normal_ratio`` bounds the long-term average, so that lasting congestion is not learned as
        normal.
        """
        if now < self.next_update_at_ms or self.sample_count < MIN_SAMPLES / self.sharing_gateways:
            return
        self.long_ratio = min(self.long_ratio, max_normal_ratio)
        gradient = min(1.0, max(MIN_GRADIENT, TOLERANCE * self.long_ratio / self.short_ratio))
        # Growth is scaled down with the gradient: at a limit of 4 it would otherwise cancel out the strongest
        # decrease.
        growth = (gradient - MIN_GRADIENT) / (1 - MIN_GRADIENT) * (2 * self.peak_in_flight >= self.limit)
        # The more gateways share an endpoint, the fewer samples each one has, so each update is larger.
        gain = SMOOTHING ** (1 / self.sharing_gateways)
        headroom = (self.limit / self.sharing_gateways) ** 0.5
        self.limit += gain * (self.limit * gradient + growth * headroom - self.limit)
        self.limit = min(MAX_LIMIT / self.sharing_gateways, max(self.min_limit, self.limit))
        self.next_update_at_ms = now + UPDATE_INTERVAL_MS
        self.sample_count = 0
        self.peak_in_flight = 0

    def reduce_after_shed(self) -> None:
        """Reduces the limit at once, after the endpoint has shed a request."""
        self.limit = max(self.min_limit, self.limit * MIN_GRADIENT)

    def _gain(self, gain: float) -> float:
        """Returns a gain raised as if the samples of all sharing gateways were recorded here."""
        remaining: float = (1 - gain) ** self.sharing_gateways
        return 1 - remaining
