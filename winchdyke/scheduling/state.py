"""The state of one gateway's scheduler, shared by the modules of this package."""

from __future__ import annotations

import random

from winchdyke import interface as api
from winchdyke.scheduling.endpoint_state import EndpointState
from winchdyke.scheduling.pending_request import PendingRequest
from winchdyke.scheduling.quota import VolumeQuota
from winchdyke.scheduling.retry_budget import RetryBudget
from winchdyke.scheduling.shard import MIN_THROUGHPUT_SPAN_MS, Shard

# Maximum latency of an average request that counts as normal, as a fraction of the tightest latency
# objective.
NORMAL_LATENCY_FRACTION = 0.1
SAFE_LATENCY_FACTOR = 2.0  # time left, in expected latencies, that suffices to meet an objective
SILENCE_OBJECTIVES = 2.0  # silence after which an endpoint is suspected, in units of the shortest objective
SHARD_SHARING_FACTOR = 1.5  # allows for shards that are used more than average or not yet observed
UNIT_COST_GAIN = 0.01
UNIT_COST_QUANTILE = 0.1  # a low quantile of the latency per unit is close to the cost without queueing
WATCH_BACKOFF_MS = 500.0
MAX_WATCH_BACKOFF_MS = 8000.0


class SchedulerState:
    """The state of a scheduler.

    Attributes:
        settings: The settings.
        now: The time of the current batch of events (ms).
        random: The only source of randomness, initialised with the seed.
        classes: Request classes by name.
        plans: Plans by name.
        class_shares: The fraction of a concurrency limit that each class is guaranteed.
        silence_timeout_ms: Silence after which an endpoint with an attempt in flight is suspected.
        longest_deadline_ms: The longest deadline of any class.
        unit_cost_ms: Time per unit without congestion, by class, learned from latencies.
        endpoints: Endpoints by name.
        quotas: Quotas by volume, in the order of their creation.
        quotas_forgotten: How many quotas were dropped so far.
        quotas_to_examine: Names of volumes whose quotas are examined next while there are too many.
        requests: Requests that are not finished or have an attempt in flight, by id, in order of arrival.
        deadline_timers: The request id of each deadline timer.
        shed_requests: When rejected requests were first received, by volume and key.
        shards: Shards by number, of those that an endpoint has been listed for.
        shards_with_queue: Numbers of the shards that may have queued requests.
        settling_keys: By key, when the pause ends that follows an attempt that may still be executed.
        retry_budget: The retry budget.
        last_timer_id: The id of the newest deadline timer.
        watching: Whether changes of the endpoint list are received.
        next_watch_at_ms: When the endpoint list is next requested if changes are not received.
        watch_backoff_ms: The current backoff between such requests.
        started_at_ms: When this scheduler started.
        sweep_timer_set: Whether the timer of the next sweep is set.
        actions: The actions of the current batch.
    """

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        classes = settings.classes
        total_weight = sum(each.priority_weight for each in classes) or 1.0
        shortest_objective_ms = min((each.latency_objective_ms for each in classes), default=0.0)
        self.settings = settings
        self.now = now
        self.random = random.Random(seed)
        self.classes = {each.name: each for each in classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.class_shares = {each.name: each.priority_weight / total_weight for each in classes}
        self.silence_timeout_ms = SILENCE_OBJECTIVES * shortest_objective_ms
        self.longest_deadline_ms = max((each.deadline_ms for each in classes), default=0.0)
        self.unit_cost_ms = {
            each.name: NORMAL_LATENCY_FRACTION / 2 * each.latency_objective_ms / settings.mean_request_units
            for each in classes
        }
        self.endpoints: dict[str, EndpointState] = {}
        self.quotas: dict[str, VolumeQuota] = {}
        self.quotas_forgotten = 0
        self.quotas_to_examine: list[str] = []
        self.requests: dict[str, PendingRequest] = {}
        self.deadline_timers: dict[int, str] = {}
        self.shed_requests: dict[tuple[str, str], float] = {}
        self.shards: dict[int, Shard] = {}
        self.shards_with_queue: set[int] = set()
        self.settling_keys: dict[str, float] = {}
        self.retry_budget = RetryBudget(settings)
        self.last_timer_id = 1
        self.watching = not settings.polls_endpoint_list
        self.next_watch_at_ms = now
        self.watch_backoff_ms = WATCH_BACKOFF_MS
        self.started_at_ms = now
        self.sweep_timer_set = False
        self.actions: list[api.Action] = []

    def expected_work_ms(self, pending: PendingRequest) -> float:
        """Returns the time that a request takes at an endpoint without congestion."""
        return self.unit_cost_ms[pending.request_class.name] * pending.request.units

    def expected_latency_ms(self, pending: PendingRequest, endpoint: EndpointState) -> float:
        """Returns the expected latency of a request at an endpoint, from its recent latencies."""
        return self.expected_work_ms(pending) * max(1.0, endpoint.concurrency_limit.short_ratio)

    def max_normal_ratio(self) -> float:
        """Returns the maximum ratio of latency to expected work that counts as normal for all classes."""
        return min(
            NORMAL_LATENCY_FRACTION
            * each.latency_objective_ms
            / self.unit_cost_ms[each.name]
            / self.settings.mean_request_units
            for each in self.settings.classes
        )

    def learn_unit_cost(self, pending: PendingRequest, latency_ms: float) -> None:
        """Moves the unit cost of the class toward a low quantile of the latency per unit."""
        name = pending.request_class.name
        is_lower = latency_ms / pending.request.units < self.unit_cost_ms[name]
        self.unit_cost_ms[name] *= 1 + UNIT_COST_GAIN * (UNIT_COST_QUANTILE - is_lower)

    @property
    def gateways_sharing_a_shard(self) -> float:
        """The estimated number of gateways that use a shard, from the fraction of shards used by this one.

        With the number of all gateways instead, each of hundreds of gateways would leave an even share of a
        warming endpoint to all the others, few of which use it.
        """
        used = [bool(shard.quotas) for shard in self.shards.values() if shard.endpoints]
        unobserved = max(0.0, 1 - (self.now - self.started_at_ms) / MIN_THROUGHPUT_SPAN_MS)
        used_fraction = (sum(used) + 1) / max(1, len(used)) + unobserved
        return max(1.0, self.settings.gateway_count * min(1.0, SHARD_SHARING_FACTOR * used_fraction))
