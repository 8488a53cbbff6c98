"""How thoroughly a scenario exercised each rule, measured from its record. Pure.

A rule without violations counts as tried only if the scenario exercised it enough: :data:`COVERAGE_REQUIREMENTS`. ``exercised``
counts the exchanges, as clients and stores observed them, whose handling depended on the rule. ``bound_usage`` is the largest
part of the rule's bound that was used; 1 is all of it. The JSON report calls them ``held`` and ``near``.

====  =====================================================================================  ===================================
rule  ``exercised``: the number of                                                           ``bound_usage``
====  =====================================================================================  ===================================
1     tries that the gateway answered itself, without a complete answer of a store           longest answer time / client's patience
2     requests with an attempt that may have run and got no answer                           age of repeats / deduplication window
3     tries for volumes with a shard on a draining store, after the grace, while it is up    time of the last request / grace
4     cold starts of stores whose shard had more demand than a cold store can take           units sent / units it can take
5     tries of a key while an earlier try of it is in flight at the same gateway             1 if there was any
6     attempts that were shed in time for a retry, while the budget was used up              retries in a window / retries allowed
7     tries of a volume whose limit had no units left for them                               units sent / units allowed
====  =====================================================================================  ===================================
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from winchdyke.days.script import LARGEST_UNITS, Plan

if TYPE_CHECKING:
    from winchdyke.days.judge import InvariantChecker

Entry = dict[str, Any]  # one entry of the record
EXHAUSTED_BUDGET_ATTEMPTS = 1.0  # a retry budget with fewer attempts left counts as used up


@dataclass(frozen=True)
class CoverageRequirement:
    """The minimum coverage for a rule to count as tried."""

    min_checked: int  # exchanges checked
    min_exercised: int
    min_bound_usage: float


COVERAGE_REQUIREMENTS = {
    1: CoverageRequirement(200, 20, 0.7),
    2: CoverageRequirement(
        200, 5, 0.0
    ),  # no bound: repeats near the end of the deduplication window are rare
    3: CoverageRequirement(
        200, 3, 0.0
    ),  # no bound: a correct gateway stops long before the end of the grace period
    4: CoverageRequirement(2, 2, 0.1),
    5: CoverageRequirement(20, 5, 0.0),
    6: CoverageRequirement(20, 3, 0.8),
    7: CoverageRequirement(50, 20, 0.6),
}


@dataclass
class Coverage:
    """How often a rule was exercised, and the largest part of its bound that was used (1: all of it)."""

    exercised: int = 0
    bound_usage: float = 0.0

    def shortfall(self, rule: int, checked: int) -> str:
        """What is missing for the rule to count as tried; empty if nothing is."""
        requirement = COVERAGE_REQUIREMENTS[rule]
        if checked < requirement.min_checked:
            return f"{checked} checked, {requirement.min_checked} required"
        if self.exercised < requirement.min_exercised:
            return f"exercised {self.exercised} times, {requirement.min_exercised} required"
        if self.bound_usage < requirement.min_bound_usage:
            return f"{self.bound_usage:.0%} of its bound used, {requirement.min_bound_usage:.0%} required"
        return ""


class CoverageMeter:
    """Measures the coverage of each rule in a checker's record."""

    def __init__(self, checker: InvariantChecker) -> None:
        self.checker, self.rules, self.scenario = checker, checker.rules, checker.scenario
        self.tries = {entry["client"]: entry for entry in checker.by_what["try"]}
        self.answers = {entry["client"]: entry for entry in checker.by_what["answer"]}
        self.volumes = {volume.name: volume for volume in self.scenario.volumes}

    def all(self) -> dict[int, Coverage]:
        """The coverage of each rule, by its number."""
        measures = (self.answered, self.effects, self.drains, self.cold, self.order, self.budget, self.limits)
        return {number: measure() for number, measure in enumerate(measures, 1)}

    def answered(self) -> Coverage:
        """Rule 1: tries that the gateway answered itself."""
        coverage = Coverage()
        for client, answer in self.answers.items():
            try_entry = self.tries.get(client)
            if try_entry is None:
                continue
            if not any(entry["what"] == "answered" for entry in self.checker.by_client[client]):
                coverage.exercised += 1
            coverage.bound_usage = max(
                coverage.bound_usage, (answer["t"] - try_entry["t"]) / try_entry["patience"]
            )
        return coverage

    def effects(self) -> Coverage:
        """Rule 2: requests with an attempt that may have run and got no answer."""
        coverage = Coverage()
        for client, entries in self.checker.by_client.items():
            attempts = [entry for entry in entries if entry["what"] in ("head", "unheard")]
            request_class = self.checker.classes.get(attempts[0]["class"]) if attempts else None
            if request_class is None or request_class.effect == "idempotent":
                continue
            first: Entry | None = None
            for attempt in attempts:
                if first is not None and request_class.memory:
                    coverage.bound_usage = max(
                        coverage.bound_usage, (attempt["t"] - first["t"]) / request_class.memory
                    )
                ends = [entry["what"] for entry in entries if entry.get("attempt") == attempt["attempt"]]
                if first is None and self.checker.may_have_run(entries, attempt) and "answered" not in ends:
                    first = attempt
            coverage.exercised += first is not None and client in self.tries
        return coverage

    def _count_tries(self, gateway: str, shard: int, since: float, until: float) -> int:
        """The number of tries at a gateway in a time, for volumes with this shard."""
        count = 0
        for try_entry in self.checker.by_what["try"]:
            if since < try_entry["t"] < until and f"gateway-{try_entry['gateway']}" == gateway:
                volume = self.volumes.get(try_entry["path"].split("/")[1])
                count += volume is not None and shard in volume.shards
        return count

    def drains(self) -> Coverage:
        """Rule 3: tries that could have gone to a draining store."""
        coverage, checker = Coverage(), self.checker
        grace = self.rules.drain_grace
        notices: dict[tuple[str, str, float], float] = {}  # store, gateway, start of the store: first report
        for entry in checker.by_what["told"]:
            for store, state in entry["states"].items():
                if state == "draining":
                    key = store, entry["gateway"], checker.started_at(store, entry["t"])
                    notices.setdefault(key, entry["t"])
        for entry in checker.by_what["said"]:
            if entry["drains"]:
                key = entry["who"], entry["gateway"], checker.started_at(entry["who"], entry["t"])
                notices.setdefault(key, entry["t"])
        for (store, gateway, _), at in notices.items():
            downs = [
                entry["t"] for entry in checker.by_what["down"] if entry["who"] == store and entry["t"] > at
            ]
            until = min(downs, default=at)
            coverage.exercised += self._count_tries(gateway, checker.shard_at(store, at), at + grace, until)
            last = max(
                (head["t"] for head in checker.request_heads
                 if head["who"] == store and head["gateway"] == gateway and at <= head["t"] <= until),
                default=at,
            )  # fmt: skip
            coverage.bound_usage = max(coverage.bound_usage, (last - at) / grace if grace else 0.0)
        return coverage

    def cold(self) -> Coverage:
        """Rule 4: cold stores with more demand than they can take."""
        coverage, checker = Coverage(), self.checker
        for up in checker.by_what["up"]:
            if up["cold"]:
                coverage.exercised += self._peak_demand_units(up) > self._cold_capacity_units(up["shard"])
        coverage.bound_usage = max((entry["part"] for entry in checker.by_what["pressed"]), default=0.0)
        return coverage

    def _cold_capacity_units(self, shard: int) -> float:
        """The units that a store can take in a window directly after a cold start."""
        scenario, rules = self.scenario, self.rules
        speed = scenario.speeds[shard % len(scenario.speeds)] if scenario.speeds else 1.0
        power = scenario.cores * speed * 1000 / scenario.unit_ms * rules.cold_from
        return max(rules.cold_units, rules.fall_multiple * power * rules.fall_window / 1000)

    def _peak_demand_units(self, up: Entry) -> float:
        """The highest demand for a shard in a window while its store is cold, in units; counts volumes on this shard alone."""
        volumes = {volume.name for volume in self.scenario.volumes if volume.shards == [up["shard"]]}
        units = [head["units"] for head in self.checker.request_heads if head["volume"] in volumes]
        if not units:
            return 0.0
        window = self.rules.fall_window
        times = [
            try_entry["t"] for try_entry in self.checker.by_what["try"]
            if try_entry["path"].split("/")[1] in volumes and up["t"] <= try_entry["t"] <= up["t"] + self.rules.warm_after
        ]  # fmt: skip
        peak = max(
            (index - bisect_left(times, now - window) + 1 for index, now in enumerate(times)), default=0
        )
        return float(peak * sum(units) / len(units))

    def order(self) -> Coverage:
        """Rule 5: tries of a key while an earlier try of it is in flight."""
        coverage = Coverage()
        ordered = {request_class.name for request_class in self.scenario.classes if request_class.in_order}
        until: dict[tuple[int, str], float] = {}
        for try_entry in self.checker.by_what["try"]:
            if try_entry["class"] in ordered:
                key = try_entry["gateway"], try_entry["path"]
                end = self.answers.get(try_entry["client"])
                coverage.exercised += try_entry["t"] < until.get(key, 0.0)
                until[key] = max(until.get(key, 0.0), end["t"] if end else try_entry["deadline"])
        coverage.bound_usage = float(coverage.exercised > 0)
        return coverage

    def budget(self) -> Coverage:
        """Rule 6: attempts that were shed while the retry budget was used up."""
        coverage, checker, rules = Coverage(), self.checker, self.rules
        try_times = checker.try_times()
        retries: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
        for head in checker.request_heads:
            if head["attempt"]:
                retries[head["gateway"], checker.process_number(head["gateway"], head["t"])].append(head["t"])
        for process, times in retries.items():
            for at in times:
                used, bound = self._budget_use(times, try_times[process], at)
                coverage.bound_usage = max(coverage.bound_usage, used / bound if bound else 0.0)
        for shed in checker.by_what["shed"]:
            try_entry = self.tries.get(shed["client"])
            may_retry = shed["attempt"] + 1 < rules.max_attempts
            if try_entry is None or not may_retry or shed["t"] > try_entry["deadline"] - 100.0:
                continue
            process = shed["gateway"], checker.process_number(shed["gateway"], shed["t"])
            used, bound = self._budget_use(retries[process], try_times[process], shed["t"])
            coverage.exercised += used + EXHAUSTED_BUDGET_ATTEMPTS > bound
        return coverage

    def _budget_use(self, retries: list[float], try_times: list[float], at: float) -> tuple[float, float]:
        since = at - self.rules.extra_window
        used = bisect_right(retries, at) - bisect_left(retries, since)
        accepted = bisect_right(try_times, at) - bisect_left(try_times, since)
        return float(used), self.rules.extra_free + self.rules.extra_share * accepted

    def limits(self) -> Coverage:
        """Rule 7: tries beyond the limit of a volume."""
        coverage, checker = Coverage(), self.checker
        plans = {plan.name: plan for plan in self.scenario.plans}
        for volume in self.scenario.volumes:
            plan = plans[volume.plan]
            if not plan.limit:
                continue
            sent = list(self._first_attempts(volume.name))
            level, at = plan.limit_burst, 0.0
            for now, units, _ in sent:
                limit, burst = self._limit_at(plan, now)
                level, at = min(burst, level + limit * (now - at) / 1000) - units, now
                coverage.bound_usage = max(coverage.bound_usage, 1 - level / burst)
            mean_units = sum(units for _, units, _ in sent) / len(sent) if sent else 1.0
            for number in volume.gateways:
                gateway = f"gateway-{number}"
                tries = [
                    (try_entry["t"], 0.0)
                    for try_entry in checker.by_what["try"]
                    if try_entry["gateway"] == number and try_entry["path"].startswith(f"/{volume.name}/")
                ]
                sent_here = [(now, units) for now, units, process in sent if process == gateway]
                coverage.exercised += self._count_tries_without_room(
                    plan, len(volume.gateways), sorted([*tries, *sent_here]), mean_units
                )
        return coverage

    def _count_tries_without_room(
        self, plan: Plan, parts: int, arrivals: list[tuple[float, float]], mean_units: float
    ) -> int:
        """The number of tries that came while the gateway's part of the limit had too few units left for an average request.

        ``arrivals`` holds (time, units) of the tries at one gateway, with 0 units, and of the requests it sent; in order of time.
        """
        level, at, count = 0.0, 0.0, 0
        for now, units in arrivals:
            limit, burst = self._limit_at(plan, now)
            level = min(burst / parts, level + limit / parts * (now - at) / 1000) - units if at else -units
            at = now
            count += not units and level < min(mean_units, burst / parts)
        return count

    def _limit_at(self, plan: Plan, at: float) -> tuple[float, float]:
        """A plan's limit and burst at a time, with the change that lowered them."""
        changes = [
            entry for entry in self.checker.by_what["changed"] if entry["how"] == "limit" and entry["version"]
        ]
        if changes and plan.name == "basic" and at >= max(entry["t"] for entry in changes):
            return float(changes[0]["limit"]), float(LARGEST_UNITS)
        return plan.limit, plan.limit_burst

    def _first_attempts(self, volume: str) -> Iterable[tuple[float, float, str]]:
        first: set[str] = set()
        for head in self.checker.request_heads:
            if head["volume"] == volume and head["request"] not in first:
                first.add(head["request"])
                yield head["t"], head["units"], head["gateway"]
