"""Decides whether an applied change does harm, by comparing affected requests with earlier and with unaffected ones. Pure.

Finished requests are counted by group (affected by the change or not), by shard, and by second. For each shard, the failure
ratio of the affected group (refused or failed requests) is compared with the ratio expected without the change: the group's own
ratio before, plus the rise of the unaffected group at the same shard (an endpoint that died, a busy hour), or, if higher,
the ratio that a higher load alone explains (the same goodput out of more requests). A change is harmful if the excess is large,
statistically significant, and based on enough requests.

Assumptions: a higher load leaves the goodput unchanged, and the unaffected group shows faults of a shard itself. For a shard that
no unaffected volume uses, only the endpoint list (``shards_without_endpoint``) shows that its endpoints are gone.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from functools import cache

from winchdyke import interface as api
from winchdyke.config.model import Config

VolumePredicate = Callable[[str], bool]
Sample = tuple[str, int, str]  # volume, shard and outcome of finished requests

LISTING_SHARD = -1
MIN_GROUP_REQUESTS = 5  # minimum requests of a group at a shard for its latency and failure rise to count
SHARD_FAULT_LATENCY_RATIO = 2.0  # a larger rise of the unaffected group's latency is a fault of the shard
SHARD_FAULT_FAILURE_RISE = 0.05  # a larger rise of the unaffected group's failure ratio is one too
MOVED_LOAD_RATIO = 1.5  # a larger growth of a shard's load: the change moved requests to it, or the load rose
MIN_SHARD_STANDARD_ERRORS = 2.0  # minimum excess at a shard, in standard errors; a smaller one is not counted
MIN_VARIANCE = 0.01  # minimum variance of an outcome, so that a ratio near 0 still has a standard error
MAX_VARIANCE = 0.25  # maximum variance of a Bernoulli outcome, reached at a ratio of 0.5


@dataclass(frozen=True, slots=True)
class CanaryCriteria:
    """The periods that are compared, and the thresholds above which a change is harmful.

    Attributes:
        watch_ms: How long a change is observed.
        baseline_ms: The time before the change with which it is compared.
        min_requests: The number of affected requests that have to finish before a verdict is given.
        max_excess_ratio: The fraction of affected requests that may be refused or fail beyond the expected ratio.
        min_standard_errors: The number of standard errors by which the excess has to differ from zero.
    """

    watch_ms: float = 10_000.0
    baseline_ms: float = 30_000.0
    min_requests: int = 10
    max_excess_ratio: float = 0.02
    min_standard_errors: float = 4.0


@dataclass
class ShardCounts:
    """Finished requests of one group by shard: all, the refused or failed ones, and the summed latency of the served ones."""

    ended: Counter[int] = field(default_factory=Counter)
    failed: Counter[int] = field(default_factory=Counter)
    served_ms: Counter[int] = field(default_factory=Counter)

    def served(self, shard: int) -> int:
        """Return the number of requests at a shard that were neither refused nor failed."""
        return self.ended[shard] - self.failed[shard]

    def mean_latency_ms(self, shard: int) -> float:
        """Return the mean latency at a shard; 0 if too few requests were served."""
        served = self.served(shard)
        return self.served_ms[shard] / served if served >= MIN_GROUP_REQUESTS else 0.0

    def failure_ratio(self, shard: int) -> float:
        """Return the failure ratio at a shard, smoothed so that few requests give no extreme value; 0 without requests."""
        if not self.ended[shard]:
            return 0.0
        return (self.failed[shard] + 0.5) / (self.ended[shard] + 1.0)

    def overall_failure_ratio(self) -> float:
        """Return the failure ratio over all shards."""
        return sum(self.failed.values()) / max(1, sum(self.ended.values()))


@dataclass(frozen=True, slots=True)
class Comparison:
    """The counts of both groups before and after a change, and the length of both periods in seconds."""

    affected_before: ShardCounts = field(default_factory=ShardCounts)
    affected_after: ShardCounts = field(default_factory=ShardCounts)
    unaffected_before: ShardCounts = field(default_factory=ShardCounts)
    unaffected_after: ShardCounts = field(default_factory=ShardCounts)
    before_seconds: float = 1.0
    after_seconds: float = 1.0

    def group(self, affected: bool, after: bool) -> ShardCounts:
        """Return the counts of one group on one side of the change."""
        if affected:
            return self.affected_after if after else self.affected_before
        return self.unaffected_after if after else self.unaffected_before

    def load_ratio(self) -> float:
        """Return the affected group's request rate over all shards, relative to the rate before the change."""
        rate_after = sum(self.affected_after.ended.values()) / self.after_seconds
        rate_before = sum(self.affected_before.ended.values()) / self.before_seconds
        return rate_after / max(1e-9, rate_before)

    def shard_load_ratio(self, shard: int) -> float:
        """Return the affected group's request rate at one shard, relative to before; 1 if the group did not use it before."""
        ended_before = self.affected_before.ended[shard]
        if not ended_before:
            return 1.0
        rate_after = self.affected_after.ended[shard] / self.after_seconds
        return rate_after / max(1e-9, ended_before / self.before_seconds)


@dataclass(frozen=True, slots=True)
class CanaryVerdict:
    """The verdict so far. ``harmful``: the change is to be rolled back; ``reason``: an explanation for operators."""

    harmful: bool
    reason: str
    excess_ratio: float = 0.0
    standard_errors: float = 0.0
    requests: int = 0


class CanaryObserver:
    """Counts finished requests by second, so that the time after a change can be compared with the time before it."""

    def __init__(self, criteria: CanaryCriteria = CanaryCriteria()) -> None:
        self.criteria = criteria
        self._counts: defaultdict[int, Counter[Sample]] = defaultdict(Counter)
        self._latencies_ms: defaultdict[int, Counter[Sample]] = defaultdict(Counter)

    def record_request(
        self, now_ms: float, volume: str, shard: int, outcome: str, latency_ms: float = 0.0
    ) -> None:
        """Count a request that ended as "served", "refused" or "failed"; a listing has :data:`LISTING_SHARD`."""
        second = int(now_ms // 1000)
        if second not in self._counts:
            self._forget_before(
                second - int((self.criteria.baseline_ms + self.criteria.watch_ms) // 1000) - 2
            )
        self._counts[second][volume, shard, outcome] += 1
        self._latencies_ms[second][volume, shard, outcome] += latency_ms  # type: ignore[assignment]

    def _forget_before(self, oldest_second: int) -> None:
        """Delete the counts and latencies of all seconds before ``oldest_second``."""
        for second in [second for second in self._counts if second < oldest_second]:
            del self._counts[second]
            self._latencies_ms.pop(second, None)

    def evaluate(
        self,
        applied_at_ms: float,
        now_ms: float,
        is_affected: VolumePredicate,
        shards_without_endpoint: Iterable[int] = (),
        has_lowered_limit: VolumePredicate = lambda _: False,
    ) -> CanaryVerdict:
        """Return the verdict at ``now_ms`` on a change that was applied at ``applied_at_ms``."""
        applied_second = int(applied_at_ms // 1000)
        first_second = applied_second - int(self.criteria.baseline_ms // 1000)
        seconds_before = [second for second in self._counts if first_second <= second < applied_second]
        comparison = Comparison(
            before_seconds=max(1.0, len(seconds_before)),
            after_seconds=max(1.0, now_ms / 1000 - applied_second - 1),
        )
        for second, counts in self._counts.items():
            # The second of the change has requests under both versions.
            if second < first_second or second == applied_second:
                continue
            for (volume, shard, outcome), count in counts.items():
                # After a limit was lowered, refusals are intended.
                expected = outcome == "served" or (outcome == "refused" and has_lowered_limit(volume))
                group = comparison.group(is_affected(volume), second > applied_second)
                group.ended[shard] += count
                group.failed[shard] += 0 if expected else count
                if outcome == "served":
                    group.served_ms[shard] += self._latencies_ms[second][volume, shard, outcome]
        return evaluate_counts(comparison, self.criteria, frozenset(shards_without_endpoint))


def evaluate_counts(
    comparison: Comparison, criteria: CanaryCriteria, shards_without_endpoint: frozenset[int]
) -> CanaryVerdict:
    """Return the verdict on the counts before and after a change."""
    requests = 0.0
    failed = 0.0
    expected = 0.0
    excess = 0.0
    variance = 0.0
    growth = comparison.load_ratio()
    overall_ratio = comparison.affected_before.overall_failure_ratio()
    for shard, count in comparison.affected_after.ended.items():
        if shard in shards_without_endpoint:
            continue
        ratio = _expected_failure_ratio(comparison, shard, growth, overall_ratio)
        if ratio is None:
            continue
        shard_failed = comparison.affected_after.failed[shard]
        requests += count
        failed += shard_failed
        expected += ratio * count
        shard_excess = shard_failed - ratio * count
        shard_variance = _excess_variance(ratio, count, comparison.affected_before.ended[shard])
        # A shard with fewer failures than expected does not offset the excess of another one.
        if shard_excess > MIN_SHARD_STANDARD_ERRORS * math.sqrt(shard_variance):
            excess += shard_excess
            variance += shard_variance
    request_count = int(requests)
    if request_count < criteria.min_requests:
        reason = f"{request_count} requests so far; {criteria.min_requests} are needed"
        return CanaryVerdict(False, reason, requests=request_count)
    excess_ratio = excess / requests
    standard_errors = excess / math.sqrt(variance) if variance else 0.0
    reason = f"{failed / requests:.0%} of {request_count} requests refused or failed, {expected / requests:.0%} expected"
    harmful = excess_ratio > criteria.max_excess_ratio and standard_errors > criteria.min_standard_errors
    return CanaryVerdict(harmful, reason, excess_ratio, standard_errors, request_count)


def _expected_failure_ratio(
    comparison: Comparison, shard: int, growth: float, overall_ratio: float
) -> float | None:
    """Return the affected group's expected failure ratio at a shard without the change; None if the shard allows no comparison.

    ``growth`` and ``overall_ratio``: the group's load relative to before, and its failure ratio before, over all shards.
    """
    affected_before = comparison.affected_before
    unaffected_before = comparison.unaffected_before
    unaffected_after = comparison.unaffected_after
    has_reference = unaffected_before.served(shard) >= MIN_GROUP_REQUESTS
    if has_reference and unaffected_after.served(shard) < MIN_GROUP_REQUESTS:
        return None  # too few unaffected requests have finished to tell whether the shard itself is at fault
    ratio_before = affected_before.failure_ratio(shard)
    rise = 0.0
    if unaffected_after.ended[shard] >= MIN_GROUP_REQUESTS:
        rise = unaffected_after.failure_ratio(shard) - unaffected_before.failure_ratio(shard)
    load_ratio = comparison.shard_load_ratio(shard)
    moved_ratio = load_ratio / growth if growth > 0 else 1.0
    if moved_ratio > MOVED_LOAD_RATIO and affected_before.ended[shard]:
        # For requests that the change moved here, the group's overall failure ratio is expected: the shard may have had
        # many failures before, and moving requests to it is then harmful.
        stayed_fraction = 1 / moved_ratio
        ratio_before = stayed_fraction * ratio_before + (1 - stayed_fraction) * overall_ratio
        load_ratio = growth
    latency_before_ms = unaffected_before.mean_latency_ms(shard)
    latency_rose = unaffected_after.mean_latency_ms(shard) > SHARD_FAULT_LATENCY_RATIO * latency_before_ms > 0
    shard_fault = latency_rose or rise > SHARD_FAULT_FAILURE_RISE
    if shard_fault and affected_before.ended[shard] and load_ratio < MOVED_LOAD_RATIO:
        return None  # the load is as before, and unaffected requests fail or slow down too
    ratio_by_load = 1 - (1 - ratio_before) / load_ratio if load_ratio > 1 else 0.0
    return min(1.0, max(ratio_before + max(0.0, rise), ratio_by_load))


def _excess_variance(ratio: float, count_after: int, count_before: int) -> float:
    """Return the variance of the failures above ``ratio``, which itself was estimated from ``count_before`` requests."""
    variance = min(MAX_VARIANCE, max(ratio * (1 - ratio), MIN_VARIANCE))
    return variance * count_after + variance * count_after * count_after / max(1, count_before)


def affected_volumes(old: Config, new: Config) -> VolumePredicate:
    """Return a predicate for volumes that a change affects: by their block, their plan's values, or a route that may match them."""
    old_plans = {plan.name: plan for plan in old.plans}
    new_plans = {plan.name: plan for plan in new.plans}
    route_patterns = {route.pattern.volume for route in set(old.routes) ^ set(new.routes)}

    @cache
    def is_affected(volume: str) -> bool:
        before = old.volume(volume)
        after = new.volume(volume)
        if before is None or after is None:
            return before is not after
        if (before.plan, before.shards, before.gateways) != (after.plan, after.shards, after.gateways):
            return True
        if old_plans.get(before.plan) != new_plans.get(after.plan):
            return True
        return any(fnmatchcase(volume, pattern) for pattern in route_patterns)

    return is_affected


def volumes_with_lowered_limit(old: Config, new: Config) -> VolumePredicate:
    """Return a predicate for volumes with a lower limit or burst than before, or with a limit for the first time."""
    old_plans = {plan.name: plan for plan in old.plans}
    new_plans = {plan.name: plan for plan in new.plans}

    def plan_of(volume: str, config: Config, plans: dict[str, api.Plan]) -> api.Plan | None:
        block = config.volume(volume)
        return plans.get(block.plan) if block is not None else None

    @cache
    def has_lowered_limit(volume: str) -> bool:
        before = plan_of(volume, old, old_plans)
        after = plan_of(volume, new, new_plans)
        if before is None or after is None or not after.limit_units_per_s:
            return False
        return (
            not before.limit_units_per_s
            or after.limit_units_per_s < before.limit_units_per_s
            or after.limit_burst_units < before.limit_burst_units
        )

    return has_lowered_limit
