"""What a day did to each rule: how often the rule was what held, and how near its bound came. Pure, from traffic alone.

A rule that nothing pressed upon was not tried, whatever its ruling says. ``held`` counts exchanges that might have gone otherwise but
for the rule, as clients and stores saw them; ``near`` is how much of the bound was used at the most, 1 being all of it. What a
day must reach to have tried a rule is in :data:`COVERAGE_REQUIREMENTS`.

====  =====================================================================================  ===================================
rule  ``held``: how many                                                                     ``near``
====  =====================================================================================  ===================================
1     tries that no store answered in full, and the gateway did                              the latest answer in a try's time
2     requests with an attempt that may have run and brought no answer                       repeats' age in the racks' memory
3     tries for a volume with a shard whose store drains, past the grace, while it is up     the last request in the grace
4     cold starts whose shard was asked for more than such a store bears                    units sent, of those that it bears
5     tries of a key whose earlier one is under way at the same gateway                      earliest next one, of the rest it has
6     attempts turned away with time left for another, while the budget was used up          attempts in a window, of those allowed
7     tries of a course that had no room for them                                            units sent, of those allowed
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

Seen = dict[str, Any]
EXHAUSTED_BUDGET_ATTEMPTS = 1.0  # a budget counts as used up with less than so many attempts left


@dataclass(frozen=True)
class CoverageRequirement:
    """What a day must do to a rule to have tried it."""

    min_checked: int  # exchanges looked at
    min_exercised: int
    min_bound_usage: float


COVERAGE_REQUIREMENTS = {
    1: CoverageRequirement(200, 20, 0.7),
    2: CoverageRequirement(200, 5, 0.0),  # a repeat near the end of the memory is a matter of luck
    3: CoverageRequirement(200, 3, 0.0),  # a gateway that stops at once comes nowhere near the grace
    4: CoverageRequirement(2, 2, 0.1),
    5: CoverageRequirement(20, 5, 0.0),
    6: CoverageRequirement(20, 3, 0.8),
    7: CoverageRequirement(50, 20, 0.6),
}


@dataclass
class Coverage:
    """How often a rule was what held, and how much of its bound was used."""

    exercised: int = 0
    bound_usage: float = 0.0

    def shortfall(self, rule: int, looked: int) -> str:
        """Why this is no trial of the rule; empty where it is one."""
        need = COVERAGE_REQUIREMENTS[rule]
        if looked < need.min_checked:
            return f"{looked} looked at, {need.min_checked} wanted"
        if self.exercised < need.min_exercised:
            return f"held {self.exercised} times, {need.min_exercised} wanted"
        if self.bound_usage < need.min_bound_usage:
            return f"{self.bound_usage:.0%} of its bound, {need.min_bound_usage:.0%} wanted"
        return ""


class CoverageMeter:
    """Measures a judge's record."""

    def __init__(self, checker: InvariantChecker) -> None:
        self.checker, self.rules, self.scenario = checker, checker.rules, checker.scenario
        self.tries = {seen["client"]: seen for seen in checker.by_what["try"]}
        self.answers = {seen["client"]: seen for seen in checker.by_what["answer"]}
        self.volumes = {volume.name: volume for volume in self.scenario.volumes}

    def all(self) -> dict[int, Coverage]:
        """The pressure on each rule."""
        ways = (self.answered, self.effects, self.drains, self.cold, self.order, self.budget, self.limits)
        return {number: way() for number, way in enumerate(ways, 1)}

    def answered(self) -> Coverage:
        """Tries answered by the gateway itself."""
        found = Coverage()
        for client, answer in self.answers.items():
            tried = self.tries.get(client)
            if tried is None:
                continue
            if not any(seen["what"] == "answered" for seen in self.checker.by_client[client]):
                found.exercised += 1
            found.bound_usage = max(found.bound_usage, (answer["t"] - tried["t"]) / tried["patience"])
        return found

    def effects(self) -> Coverage:
        """Attempts that may have run, without an answer."""
        found = Coverage()
        for client, seen in self.checker.by_client.items():
            attempts = [entry for entry in seen if entry["what"] in ("head", "unheard")]
            kind = self.checker.kinds.get(attempts[0]["class"]) if attempts else None
            if kind is None or kind.effect == "idempotent":
                continue
            first: Seen | None = None
            for attempt in attempts:
                if first is not None and kind.memory:
                    found.bound_usage = max(found.bound_usage, (attempt["t"] - first["t"]) / kind.memory)
                ends = [entry["what"] for entry in seen if entry.get("attempt") == attempt["attempt"]]
                if first is None and self.checker.may_have_run(seen, attempt) and "answered" not in ends:
                    first = attempt
            found.exercised += first is not None and client in self.tries
        return found

    def _tries_of(self, gateway: str, shard: int, since: float, until: float) -> int:
        """Tries at a gateway for volumes that have a shard, in a time."""
        count = 0
        for tried in self.checker.by_what["try"]:
            if since < tried["t"] < until and f"gateway-{tried['gateway']}" == gateway:
                volume = self.volumes.get(tried["path"].split("/")[1])
                count += volume is not None and shard in volume.shards
        return count

    def drains(self) -> Coverage:
        """Traffic that a draining store would have had."""
        found, checker = Coverage(), self.checker
        grace = self.rules.drain_grace
        notices: dict[tuple[str, str, float], float] = {}  # store, gateway, the store's start: since when
        for seen in checker.by_what["told"]:
            for store, state in seen["states"].items():
                if state == "draining":
                    key = store, seen["gateway"], checker.up_since(store, seen["t"])
                    notices.setdefault(key, seen["t"])
        for seen in checker.by_what["said"]:
            if seen["drains"]:
                key = seen["who"], seen["gateway"], checker.up_since(seen["who"], seen["t"])
                notices.setdefault(key, seen["t"])
        for (store, gateway, _), at in notices.items():
            downs = [seen["t"] for seen in checker.by_what["down"] if seen["who"] == store and seen["t"] > at]
            until = min(downs, default=at)
            found.exercised += self._tries_of(gateway, checker.shard_at(store, at), at + grace, until)
            last = max(
                (head["t"] for head in checker.heads
                 if head["who"] == store and head["gateway"] == gateway and at <= head["t"] <= until),
                default=at,
            )  # fmt: skip
            found.bound_usage = max(found.bound_usage, (last - at) / grace if grace else 0.0)
        return found

    def cold(self) -> Coverage:
        """Cold stores under load from gateways that know."""
        found, checker = Coverage(), self.checker
        for up in checker.by_what["up"]:
            if up["cold"]:
                found.exercised += self._wanted(up) > self._bears(up["shard"])
        found.bound_usage = max((seen["part"] for seen in checker.by_what["pressed"]), default=0.0)
        return found

    def _bears(self, shard: int) -> float:
        """Units in a window that a store bears as it starts cold."""
        scenario, rules = self.scenario, self.rules
        speed = scenario.speeds[shard % len(scenario.speeds)] if scenario.speeds else 1.0
        power = scenario.cores * speed * 1000 / scenario.unit_ms * rules.cold_from
        return max(rules.cold_units, rules.fall_multiple * power * rules.fall_window / 1000)

    def _wanted(self, up: Seen) -> float:
        """The most units in a window that were asked of a shard while its store was cold, by volumes that have no other."""
        mine = {volume.name for volume in self.scenario.volumes if volume.shards == [up["shard"]]}
        units = [head["units"] for head in self.checker.heads if head["volume"] in mine]
        if not units:
            return 0.0
        window = self.rules.fall_window
        times = [
            tried["t"] for tried in self.checker.by_what["try"]
            if tried["path"].split("/")[1] in mine and up["t"] <= tried["t"] <= up["t"] + self.rules.warm_after
        ]  # fmt: skip
        most = max((at - bisect_left(times, now - window) + 1 for at, now in enumerate(times)), default=0)
        return float(most * sum(units) / len(units))

    def order(self) -> Coverage:
        """Tries of a key while its earlier one is out."""
        found = Coverage()
        ordered = {kind.name for kind in self.scenario.classes if kind.in_order}
        until: dict[tuple[int, str], float] = {}
        for tried in self.checker.by_what["try"]:
            if tried["class"] in ordered:
                key = tried["gateway"], tried["path"]
                end = self.answers.get(tried["client"])
                found.exercised += tried["t"] < until.get(key, 0.0)
                until[key] = max(until.get(key, 0.0), end["t"] if end else tried["deadline"])
        found.bound_usage = float(found.exercised > 0)
        return found

    def budget(self) -> Coverage:
        """Attempts turned away while there was nothing left to try them again at once."""
        found, checker, rules = Coverage(), self.checker, self.rules
        taken = checker.taken()
        extra: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
        for head in checker.heads:
            if head["attempt"]:
                extra[head["gateway"], checker.life(head["gateway"], head["t"])].append(head["t"])
        for whose, times in extra.items():
            for at in times:
                used, most = self._budget(times, taken[whose], at)
                found.bound_usage = max(found.bound_usage, used / most if most else 0.0)
        for shed in checker.by_what["shed"]:
            tried = self.tries.get(shed["client"])
            left = shed["attempt"] + 1 < rules.max_attempts
            if tried is None or not left or shed["t"] > tried["deadline"] - 100.0:
                continue
            whose = shed["gateway"], checker.life(shed["gateway"], shed["t"])
            used, most = self._budget(extra[whose], taken[whose], shed["t"])
            found.exercised += used + EXHAUSTED_BUDGET_ATTEMPTS > most
        return found

    def _budget(self, extra: list[float], taken: list[float], at: float) -> tuple[float, float]:
        since = at - self.rules.extra_window
        used = bisect_right(extra, at) - bisect_left(extra, since)
        took = bisect_right(taken, at) - bisect_left(taken, since)
        return float(used), self.rules.extra_free + self.rules.extra_share * took

    def limits(self) -> Coverage:
        """Tries beyond a course's limit."""
        found, checker = Coverage(), self.checker
        plans = {plan.name: plan for plan in self.scenario.plans}
        for volume in self.scenario.volumes:
            plan = plans[volume.plan]
            if not plan.limit:
                continue
            sent = list(self._sent(volume.name))
            level, at = plan.limit_burst, 0.0
            for now, units, _ in sent:
                limit, burst = self._figures(plan, now)
                level, at = min(burst, level + limit * (now - at) / 1000) - units, now
                found.bound_usage = max(found.bound_usage, 1 - level / burst)
            usual = sum(units for _, units, _ in sent) / len(sent) if sent else 1.0
            for number in volume.gateways:
                gateway = f"gateway-{number}"
                tries = [
                    (tried["t"], 0.0)
                    for tried in checker.by_what["try"]
                    if tried["gateway"] == number and tried["path"].startswith(f"/{volume.name}/")
                ]
                mine = [(now, units) for now, units, whose in sent if whose == gateway]
                found.exercised += self._without(plan, len(volume.gateways), sorted([*tries, *mine]), usual)
        return found

    def _without(self, plan: Plan, parts: int, seen: list[tuple[float, float]], usual: float) -> int:
        """Of the tries at one gateway (units 0) those that came when its part of the limit had nothing for a usual one."""
        level, at, count = 0.0, 0.0, 0
        for now, units in seen:
            limit, burst = self._figures(plan, now)
            level = min(burst / parts, level + limit / parts * (now - at) / 1000) - units if at else -units
            at = now
            count += not units and level < min(usual, burst / parts)
        return count

    def _figures(self, plan: Plan, at: float) -> tuple[float, float]:
        """A plan's limit and burst at a time: lowered in service, or as the day has them."""
        changes = [
            seen for seen in self.checker.by_what["changed"] if seen["how"] == "limit" and seen["version"]
        ]
        if changes and plan.name == "basic" and at >= max(seen["t"] for seen in changes):
            return float(changes[0]["limit"]), float(LARGEST_UNITS)
        return plan.limit, plan.limit_burst

    def _sent(self, volume: str) -> Iterable[tuple[float, float, str]]:
        first: set[str] = set()
        for head in self.checker.heads:
            if head["volume"] == volume and head["request"] not in first:
                first.add(head["request"])
                yield head["t"], head["units"], head["gateway"]
