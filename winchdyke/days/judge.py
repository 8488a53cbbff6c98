"""Checks the record of a played scenario against seven rules. Pure.

The record holds what clients, stores and the list service observed on their sockets. The checker also takes the scenario:
the numbers of the rules, the request classes and the plans. It reads no gateway logs, and of an answer it takes only the
outcome that the client received: a refusal promises that nothing ran, and this promise is checked.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from winchdyke.days.members import MembershipResult, pause_spans
from winchdyke.days.pressure import Coverage, CoverageMeter
from winchdyke.days.script import LARGEST_UNITS, UNIT_BYTES, Plan, RequestClass, Scenario

TRANSIT_MS = 100.0  # upper bound of a message's time between two sockets of one busy host
MAX_UNSIZED_READS = 3  # reads of unknown size in flight at a gateway for a volume that has used up its limit
Entry = dict[str, Any]  # one entry of the record
# The longest time until all gateways together keep to a lowered limit, and until a harmful change is rolled back.
LOWERED_LIMIT_BOUND_MS, ROLLBACK_BOUND_MS = 5000.0, 10_000.0
RULES = (
    "one final answer, in time", "no duplicate effects", "drains respected", "no cold store overloaded",
    "order within a key", "retry budget", "limits respected",
)  # fmt: skip


@dataclass
class RuleResult:
    """The result of one rule: the number of exchanges checked, the violations, and the coverage."""

    rule: int
    checked: int = 0
    violations: list[tuple[str, Entry]] = field(default_factory=list)
    coverage: Coverage = field(default_factory=Coverage)

    @property
    def kept(self) -> bool:
        """Whether there is no violation."""
        return not self.violations

    @property
    def untried(self) -> str:
        """Why the scenario did not exercise the rule enough; empty if it did."""
        return self.coverage.shortfall(self.rule, self.checked)

    @property
    def summary(self) -> str:
        """The result in a few words, for the report."""
        if self.violations:
            return f"BROKEN {len(self.violations)} times"
        return f"not tried ({self.untried})" if self.untried else "kept"

    def add_violation(self, message: str, entry: Entry) -> None:
        """Record an entry that violates the rule."""
        self.violations.append((message, entry))


@dataclass
class Verdict:
    """The results of the seven rules, and counts of the scenario (tries, answers by outcome, answers within the aim)."""

    rule_results: list[RuleResult]
    figures: dict[str, float]
    log_directory: str = ""  # holds the logs and settings of the gateways; empty if it was deleted
    members: MembershipResult | None = None  # None if the gateways run without membership

    @property
    def kept(self) -> bool:
        """Whether no rule and no membership invariant is violated."""
        return all(result.kept for result in self.rule_results) and (
            self.members is None or self.members.kept
        )

    @property
    def untried(self) -> list[int]:
        """The rules that the scenario did not exercise enough."""
        return [result.rule for result in self.rule_results if result.untried]


class InvariantChecker:
    """Checks one record against the rules of its scenario."""

    def __init__(self, scenario: Scenario, record: Sequence[Entry]) -> None:
        self.scenario, self.rules = scenario, scenario.rules
        self.record = sorted(record, key=lambda entry: entry["t"])
        self.classes: dict[str, RequestClass] = {
            request_class.name: request_class for request_class in scenario.classes
        }
        self.by_what: defaultdict[str, list[Entry]] = defaultdict(list)
        self.by_client: defaultdict[str, list[Entry]] = defaultdict(list)
        for entry in self.record:
            self.by_what[entry["what"]].append(entry)
            if "client" in entry and entry["who"] != "client":
                self.by_client[entry["client"]].append(entry)
        self.corrupted_uploads = {entry["client"] for entry in self.by_what["try"] if entry.get("spoilt")}
        self.request_heads = sorted(
            self.by_what["head"] + self.by_what["unheard"], key=lambda entry: entry["t"]
        )
        self.kill_times: defaultdict[str, list[float]] = defaultdict(list)
        for entry in self.by_what["gateway-down"]:
            self.kill_times[entry["gateway"]].append(entry["t"])

        # Both the kill signal and the confirmed exit of each gateway process.
        self.process_ends: defaultdict[str, list[float]] = defaultdict(list)
        for what in ("gateway-down", "gateway-gone"):
            for entry in self.by_what[what]:
                self.process_ends[entry["gateway"]].append(entry["t"])
        self.pause_spans = pause_spans(self.record)  # times for which gateway processes were stopped

    change_figures: dict[str, float]

    def verdict(self) -> Verdict:
        """Check all seven rules."""
        self.change_figures = {}
        rule_results = [
            self.check_answers(), self.check_effects(), self.check_drains(), self.check_cold_starts(),
            self.check_order(), self.check_retry_budget(), self.check_limits(),
        ]  # fmt: skip
        for number, coverage in CoverageMeter(self).all().items():
            rule_results[number - 1].coverage = coverage
        return Verdict(rule_results, self.figures())

    def started_at(self, store: str, at: float) -> float:
        """The start time of the process that ran as a store at a time; 0 if none ran."""
        ups = [up["t"] for up in self.by_what["up"] if up["who"] == store and up["t"] <= at]
        return float(ups[-1]) if ups else 0.0

    def shard_at(self, store: str, at: float) -> int:
        """The shard of a store at a time; -1 if the store was not running."""
        ups = [up for up in self.by_what["up"] if up["who"] == store and up["t"] <= at]
        return int(ups[-1]["shard"]) if ups else -1

    def try_times(self) -> defaultdict[tuple[str, int], list[float]]:
        """The times of tries, by gateway and process number."""
        times: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
        for entry in self.by_what["try"]:
            gateway = f"gateway-{entry['gateway']}"
            times[gateway, self.process_number(gateway, entry["t"])].append(entry["t"])
        return times

    def process_number(self, gateway: str, at: float) -> int:
        """The number of the gateway's process that ran at a time, counted from 0."""
        return bisect_right(self.kill_times[gateway], at)

    def _was_unavailable(self, gateway: str, since: float, until: float) -> bool:
        if any(stopped <= until and since <= on for stopped, on in self.pause_spans[gateway]):
            return True  # a stopped process can't answer
        return any(since <= at <= until for at in self.process_ends[gateway])

    # Rule 1: one final answer, in time

    def check_answers(self) -> RuleResult:
        """Each try gets exactly one complete answer before its deadline, and nothing is sent for it afterwards."""
        result = RuleResult(1)
        ends: defaultdict[str, list[Entry]] = defaultdict(list)
        for what in ("answer", "cut", "gave-up", "unreachable", "left"):
            for entry in self.by_what[what]:
                ends[entry["client"]].append(entry)
        for try_entry in self.by_what["try"]:
            gateway, latest = (
                f"gateway-{try_entry['gateway']}",
                try_entry["deadline"] + self.rules.answer_slack,
            )
            own_entries = ends[try_entry["client"]]
            if any(entry["what"] == "unreachable" for entry in own_entries):
                continue  # the gateway never accepted the try
            if any(entry["what"] == "left" for entry in own_entries):
                ended_at = min(entry["t"] for entry in own_entries if entry["what"] == "left")
            elif self._was_unavailable(gateway, try_entry["t"] - TRANSIT_MS, latest + TRANSIT_MS):
                continue  # clients retry what a killed gateway had accepted
            else:
                ended_at = self._check_single_answer(result, try_entry, own_entries, latest)
            result.checked += 1
            for entry in self.by_client[try_entry["client"]]:
                if entry["what"] in ("head", "unheard") and entry["t"] > ended_at + TRANSIT_MS:
                    result.add_violation(f"sent {entry['t'] - ended_at:.0f} ms after the final answer", entry)
        return result

    def _check_single_answer(
        self, result: RuleResult, try_entry: Entry, own_entries: list[Entry], latest: float
    ) -> float:
        if len(own_entries) != 1:
            result.add_violation(f"{len(own_entries)} final answers or failures of one try", try_entry)
            return latest
        end = own_entries[0]
        if end["what"] == "gave-up":
            result.add_violation("no answer", try_entry)
        elif end["what"] == "cut":
            store_answers = [
                entry
                for entry in self.by_client[try_entry["client"]]
                if entry["what"] in ("lost", "answered")
            ]
            if not store_answers:
                result.add_violation("the connection was closed without an answer", end)
        elif end["t"] > latest:
            result.add_violation(
                f"answered {end['t'] - try_entry['deadline']:.0f} ms after the client's deadline", end
            )
        elif not end["right"]:
            result.add_violation("a complete body differs from the object", end)
        return float(end["t"])

    # Rule 2: no duplicate effects

    def check_effects(self) -> RuleResult:
        """No request runs more often than its class allows, and only requests that did not run are refused."""
        result = RuleResult(2)
        outcome = {entry["client"]: entry for entry in self.by_what["answer"]}
        for client, entries in self.by_client.items():
            attempts = [entry for entry in entries if entry["what"] in ("head", "unheard")]
            request_class = self.classes.get(attempts[0]["class"]) if attempts else None
            if request_class is None:
                continue
            result.checked += 1
            self._check_concurrent_attempts(result, entries, attempts)
            if request_class.effect == "idempotent":
                continue
            possible_run: Entry | None = None
            for attempt in attempts:
                if possible_run is not None:
                    self._check_repeat(result, request_class, possible_run, attempt)
                elif self.may_have_run(entries, attempt):
                    possible_run = attempt
            ran = [entry for entry in entries if entry["what"] == "effect"]
            if ran and client in self.corrupted_uploads:
                result.add_violation("took effect, although its body does not match its checksum", ran[0])
            if len(ran) > 1:
                result.add_violation(f"took effect {len(ran)} times", ran[1])
            answer = outcome.get(client)
            started = [entry for entry in entries if entry["what"] == "run"]
            everywhere = request_class.effect == "keyed" and request_class.scope == "all"
            if answer and answer["outcome"] == "refused" and started and not everywhere:
                result.add_violation("refused, although it ran", answer)
        return result

    @staticmethod
    def may_have_run(entries: list[Entry], attempt: Entry) -> bool:
        """Whether an attempt may have run: its request arrived, and the store did not shed it."""
        kinds = [entry["what"] for entry in entries if entry.get("attempt") == attempt["attempt"]]
        return "shed" not in kinds and ("whole" in kinds or "run" in kinds or "unheard" in kinds)

    def _check_repeat(
        self, result: RuleResult, request_class: RequestClass, possible_run: Entry, attempt: Entry
    ) -> None:
        if request_class.effect == "at-most-once":
            result.add_violation("sent again, although it may have run", attempt)
        elif attempt["t"] > possible_run["t"] + request_class.memory + TRANSIT_MS:
            result.add_violation(
                f"sent again {attempt['t'] - possible_run['t']:.0f} ms later, after the store's deduplication window",
                attempt,
            )
        elif request_class.scope == "cell" and self._shard(attempt) != self._shard(possible_run):
            result.add_violation("sent again to another shard, which does not deduplicate it", attempt)

    def _shard(self, entry: Entry) -> int:
        return self.shard_at(entry["who"], entry["t"])

    @staticmethod
    def _check_concurrent_attempts(result: RuleResult, entries: list[Entry], attempts: list[Entry]) -> None:
        for attempt in attempts:
            for entry in entries:
                earlier = entry["what"] in ("answered", "shed") and entry["attempt"] < attempt["attempt"]
                if earlier and entry["request"] == attempt["request"] and entry["t"] > attempt["t"] + 5.0:
                    result.add_violation("sent again while an earlier attempt was in flight", attempt)

    # Rule 3: drains respected

    def check_drains(self) -> RuleResult:
        """A store that drains or is removed receives nothing after the grace period; another store at its address, nothing at all.

        The grace period of a gateway starts with the report that reaches it first, from the list service or the store.
        """
        result = RuleResult(3)
        list_reports: defaultdict[tuple[str, int], list[tuple[float, str, dict[str, str]]]] = defaultdict(
            list
        )
        for entry in self.by_what["told"]:
            list_reports[entry["gateway"], self.process_number(entry["gateway"], entry["t"])].append(
                (entry["t"], entry["form"], entry["states"])
            )
        ups: defaultdict[str, list[Entry]] = defaultdict(list)
        for entry in self.by_what["up"]:
            ups[entry["who"]].append(entry)
        # Only a gateway that knew the identity of the previous store can detect that another one uses its address.
        reused_at = {entry["who"]: entry["t"] for entry in self.by_what["up"] if entry.get("stranger")}
        knew_previous = {
            (entry["gateway"], entry["who"])
            for what in ("who", "answered", "said")
            for entry in self.by_what[what]
            if entry["t"] < reused_at.get(entry["who"], 0.0)
        }
        own_drain_reports: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
        for entry in self.by_what["said"]:
            if entry["drains"]:
                own_drain_reports[entry["who"], entry["gateway"]].append(entry["t"])
        for head in self.request_heads:
            up = next((entry for entry in reversed(ups[head["who"]]) if entry["t"] <= head["t"]), None)
            if up is not None and up.get("stranger") and (head["gateway"], head["who"]) in knew_previous:
                result.add_violation("sent to another store at a reused address", head)
            store_start = up["t"] if up is not None else 0.0
            own_report_at = next(
                (at for at in own_drain_reports[head["who"], head["gateway"]] if at >= store_start), None
            )
            process = self.process_number(head["gateway"], head["t"])
            if (
                own_report_at is not None
                and process == self.process_number(head["gateway"], own_report_at)
                and head["t"] > own_report_at + self.rules.drain_grace + TRANSIT_MS
            ):
                result.add_violation(
                    f"sent {head['t'] - own_report_at:.0f} ms after the store itself reported its drain", head
                )
            reports = list_reports[head["gateway"], self.process_number(head["gateway"], head["t"])]
            since: float | None = None
            for at, form, states in reports:
                if at > head["t"]:
                    break
                state = states.get(head["who"], "gone" if form != "changes" else None)
                if state == "ready":
                    since = None
                elif state is not None and since is None:
                    since = at
            result.checked += 1
            if since is not None and head["t"] > since + self.rules.drain_grace + TRANSIT_MS:
                result.add_violation(
                    f"sent {head['t'] - since:.0f} ms after the list reported the drain or removal", head
                )
        return result

    # Rule 4: no cold store overloaded

    def check_cold_starts(self) -> RuleResult:
        """No cold store is overloaded by work of which at least two thirds came from gateways informed of its start."""
        result = RuleResult(4, checked=sum(bool(up["cold"]) for up in self.by_what["up"]))
        for overload in self.by_what["fallen"]:
            started_at = max(
                entry["t"]
                for entry in self.by_what["up"]
                if entry["who"] == overload["who"] and entry["t"] <= overload["t"]
            )
            window_start = max(started_at, overload["t"] - self.rules.fall_window)
            heads = [
                head
                for head in self.request_heads
                if head["who"] == overload["who"] and window_start <= head["t"] <= overload["t"]
            ]
            informed = sum(head["units"] for head in heads if self.was_told_of_start(head, started_at))
            if informed >= 2 / 3 * sum(head["units"] for head in heads):
                result.add_violation(
                    f"overloaded with {overload['sent']:.1f} units; its limit was {overload['most']:.1f}",
                    overload,
                )
        return result

    def was_told_of_start(self, head: Entry, up: float) -> bool:
        """Whether the sending gateway had learnt, from the list or the store, that the store started cold at ``up``."""
        listed = any(
            up <= entry["t"] <= head["t"]
            and entry["gateway"] == head["gateway"]
            and entry["starts"].get(head["who"])
            for entry in self.by_what["told"]
        )
        return listed or any(
            entry["cold"] and up <= entry["t"] <= head["t"]
            and entry["gateway"] == head["gateway"] and entry["who"] == head["who"]
            for entry in self.by_what["said"]
        )  # fmt: skip

    # Rule 5: order within a key

    def check_order(self) -> RuleResult:
        """Requests of one order key run one at a time; after an attempt without an answer the key pauses for the settle time."""
        result = RuleResult(5)
        ordered: defaultdict[tuple[str, int, str], list[Entry]] = defaultdict(list)
        for head in self.request_heads:
            if head["order"]:
                ordered[
                    head["gateway"], self.process_number(head["gateway"], head["t"]), head["order"]
                ].append(head)
        tries = {entry["client"]: entry for entry in self.by_what["try"]}
        for heads in ordered.values():
            for before, after in pairwise(heads):
                if before["request"] == after["request"]:
                    continue
                result.checked += 1
                end, answered = self._attempt_end(before, tries)
                # Gateways give up on an attempt shortly before the client's deadline.
                earliest = end - (5.0 if answered else TRANSIT_MS) + (0.0 if answered else self.rules.settle)
                if after["t"] < earliest:
                    result.add_violation(
                        f"sent {earliest - after['t']:.0f} ms before an earlier request of its key had settled",
                        after,
                    )
        return result

    def _attempt_end(self, head: Entry, tries: dict[str, Entry]) -> tuple[float, bool]:
        """The time an attempt ended, and whether it ended with an answer of the store."""
        own_entries = [
            entry
            for entry in self.by_client[head["client"]]
            if entry.get("attempt") == head["attempt"]
            and entry["request"] == head["request"]
            and entry["t"] >= head["t"]
        ]
        for entry in own_entries:
            if entry["what"] in ("answered", "shed"):
                return entry["t"], True
        resets = [
            entry["t"]
            for entry in own_entries
            if entry["what"] == "cut" or (entry["what"] == "lost" and entry["how"] != "silence")
        ]
        downs = [
            entry["t"]
            for entry in self.by_what["down"]
            if entry["who"] == head["who"] and entry["t"] > head["t"]
        ]
        limit = tries[head["client"]]["deadline"] if head["client"] in tries else head["t"]
        return min([*resets, *downs, limit]), False

    # Rule 6: retry budget

    def check_retry_budget(self) -> RuleResult:
        """Retries stay within the fixed allowance and the share of the accepted requests in each window."""
        result, rules = RuleResult(6), self.rules
        try_times = self.try_times()
        retries: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
        for head in self.request_heads:
            if head["attempt"] == 0:
                continue
            process = head["gateway"], self.process_number(head["gateway"], head["t"])
            times, tries = retries[process], try_times[process]
            times.append(head["t"])
            since = head["t"] - rules.extra_window
            count = len(times) - bisect_left(times, since + TRANSIT_MS)
            accepted = bisect_right(tries, head["t"]) - bisect_left(tries, since - TRANSIT_MS)
            result.checked += 1
            if head["attempt"] >= rules.max_attempts:
                result.add_violation(f"attempt {head['attempt'] + 1} of one request", head)
            if count > rules.extra_free + rules.extra_share * accepted:
                result.add_violation(f"{count} retries for {accepted} accepted requests", head)
        return result

    # Rule 7: limits respected

    def check_limits(self) -> RuleResult:
        """All gateways together never exceed the limit of a volume by more than its slack."""
        result = RuleResult(7)
        plans = {plan.name: plan for plan in self.scenario.plans}
        limited = {
            volume.name: plans[volume.plan] for volume in self.scenario.volumes if plans[volume.plan].limit
        }
        level: dict[str, tuple[float, float]] = {}
        sent: set[str] = set()
        for head in self.request_heads:
            plan = limited.get(head["volume"])
            if plan is None or head["request"] in sent:
                continue
            sent.add(head["request"])
            result.checked += 1
            previous_level, at = level.get(head["volume"], (plan.limit_burst, head["t"]))
            units_left = (
                min(plan.limit_burst, previous_level + plan.limit * (head["t"] - at) / 1000) - head["units"]
            )
            level[head["volume"]] = units_left, head["t"]
            if units_left < -plan.slack - plan.limit * TRANSIT_MS / 1000:
                result.add_violation(f"{-units_left:.1f} units past the limit, {plan.slack:g} allowed", head)
        self._check_bytes(result, limited)
        self._check_lowered_limit(result)
        self._check_settings_versions(result)
        return result

    def _check_bytes(self, result: RuleResult, limited: dict[str, Plan]) -> None:
        """The bytes moved for a limited volume stay within its limit, its burst, and one object for each gateway process."""
        moved: defaultdict[str, list[tuple[float, float, Entry]]] = defaultdict(list)
        counted: set[tuple[str, str]] = set()
        for what in ("whole", "answer"):
            for entry in self.by_what[what]:
                key = entry["request"], what
                volume = entry["volume"] if what == "whole" else entry["path"].split("/")[1]
                if (
                    volume in limited
                    and key not in counted
                    and entry.get("bytes", 0) > 0
                    and entry.get("status", 200) < 300
                ):
                    # Retries count against the gateway's retry budget, not against the limit.
                    counted.add(key)
                    units = float(max(1, math.ceil(entry["bytes"] / UNIT_BYTES)))
                    moved[volume].append((entry["t"], units, entry))
        processes = self.scenario.gateways + sum(len(kill_times) for kill_times in self.kill_times.values())
        for volume, transfers in moved.items():
            plan, largest = limited[volume], max(units for _, units, _ in transfers)
            # Reads of unknown size may exceed the limit by the difference between their estimated and true size.
            burst = plan.limit_burst + processes * (
                largest if largest > LARGEST_UNITS else MAX_UNSIZED_READS * LARGEST_UNITS
            )
            level, at = burst, 0.0
            for now, units, entry in sorted(transfers, key=lambda each: each[0]):
                result.checked += 1
                level, at = min(burst, level + plan.limit * (now - at) / 1000) - units, now
                if level < -plan.slack - plan.limit * TRANSIT_MS / 1000:
                    result.add_violation(f"{-level:.1f} units past the limit, counted in bytes moved", entry)

    def _check_lowered_limit(self, result: RuleResult) -> None:
        """All gateways together keep to a lowered limit, plus slack, within 5 s of the request to change it."""
        changes = [entry for entry in self.by_what["changed"] if entry["how"] == "limit" and entry["version"]]
        for entry in self.by_what["changed"]:
            if not entry["version"]:
                result.add_violation("a requested settings change was not applied", entry)
        if not changes:
            return
        first = min(entry["t"] for entry in self.by_what["changing"] if entry["how"] == "limit")
        since, limit = max(entry["t"] for entry in changes), changes[0]["limit"]
        plans = {plan.name: plan for plan in self.scenario.plans}
        lowered = {volume.name for volume in self.scenario.volumes if volume.plan == "basic"}
        slack, burst, late_ms = plans["basic"].slack, float(LARGEST_UNITS), 0.0
        level: dict[str, tuple[float, float]] = {}
        sent: set[str] = set()
        for head in self.request_heads:
            if head["volume"] not in lowered or head["t"] < since or head["request"] in sent:
                continue
            sent.add(head["request"])
            previous_level, at = level.get(head["volume"], (burst, since))
            units_left = min(burst, previous_level + limit * (head["t"] - at) / 1000) - head["units"]
            if units_left < -slack:
                late_ms = max(late_ms, head["t"] - since)
                if head["t"] > first + LOWERED_LIMIT_BOUND_MS:
                    result.add_violation(
                        f"past the lowered limit {head['t'] - first:.0f} ms after the change was requested",
                        head,
                    )
            level[head["volume"]] = units_left, head["t"]
        for merge in self.by_what["merged"]:
            if "merged with" not in merge["said"] or "other" not in merge["editors"]:
                result.add_violation("one of two concurrent edits is not recorded or not applied", merge)
        self.change_figures["lowered limit holds after ms"] = since - first + late_ms

    def _check_settings_versions(self, result: RuleResult) -> None:
        """Each request is handled under one settings version, and a harmful change is rolled back in time."""
        versions: dict[str, int] = {}
        answer_versions = {entry["client"]: entry.get("version", 0) for entry in self.by_what["answer"]}
        seen_versions: set[int] = set()
        for head in self.request_heads:
            version = versions.setdefault(head["request"], head.get("version", 0))
            seen_versions.add(version)
            if head.get("version", 0) != version or answer_versions.get(head["client"], version) != version:
                result.add_violation("one request handled under two settings versions", head)
        if len(seen_versions) > 1:
            self.change_figures["versions at stores"] = float(len(seen_versions))
        for change in self.by_what["changed"]:
            if change["how"] != "unreachable" or not change["version"]:
                continue
            failure_times = [
                entry["t"] for entry in self.by_what["answer"]
                if entry.get("version") == int(change["version"]) and entry["outcome"] != "served"
                and entry["path"].startswith(f"/{change['volume']}/")
            ]  # fmt: skip
            if failure_times:
                harmful_ms = max(failure_times) - min(failure_times)
                self.change_figures["undone after ms"] = max(
                    self.change_figures.get("undone after ms", 0.0), harmful_ms
                )
                if harmful_ms > ROLLBACK_BOUND_MS + max(
                    (request_class.deadline for request_class in self.scenario.classes), default=0.0
                ):
                    result.add_violation(f"a harmful change was in service for {harmful_ms:.0f} ms", change)

    def figures(self) -> dict[str, float]:
        """Counts and latencies of the whole record, for the report."""
        tries, answers = self.by_what["try"], self.by_what["answer"]
        start_times = {entry["client"]: entry["t"] for entry in tries}
        figures = {"tries": float(len(tries)), "attempts": float(len(self.request_heads))}
        for outcome in ("served", "refused", "failed"):
            figures[outcome] = float(sum(entry["outcome"] == outcome for entry in answers))
        for what in ("cut", "gave-up", "unreachable", "left"):
            figures[what] = float(len(self.by_what[what]))
        served = [entry for entry in answers if entry["outcome"] == "served"]
        aims = {request_class.name: request_class.aim for request_class in self.scenario.classes}
        in_aim = sum(
            entry["t"] - start_times[entry["client"]] <= aims.get(entry["class"], 0.0) for entry in served
        )
        figures["served in aim"] = float(in_aim)
        latencies = sorted(entry["t"] - start_times[entry["client"]] for entry in served)
        for percent in (50, 99):
            figures[f"p{percent} ms"] = latencies[int(len(latencies) * percent / 100)] if latencies else 0.0
        figures |= self.change_figures
        late = [
            entry["t"] - try_entry["deadline"]
            for entry in answers
            for try_entry in [self._try_of(entry)]
            if try_entry
        ]
        figures["latest ms"] = max(late, default=0.0)
        return figures

    def _try_of(self, entry: Entry) -> Entry | None:
        if not hasattr(self, "_tries"):
            self._tries = {try_entry["client"]: try_entry for try_entry in self.by_what["try"]}
        return self._tries.get(entry["client"])


def report(scenario: Scenario, verdict: Verdict) -> str:
    """The verdict as text: one line for each rule, with its first three violations."""
    overall = "all seven rules tried and kept"
    if verdict.untried:
        overall = f"kept where tried; not tried: {', '.join(RULES[rule - 1] for rule in verdict.untried)}"
    lines = [f"{scenario.name}, seed {scenario.seed}: {overall if verdict.kept else 'RULES BROKEN'}"]
    for result in verdict.rule_results:
        coverage = f"exercised {result.coverage.exercised} times, {result.coverage.bound_usage:.0%} of its bound used"
        lines.append(
            f"  {result.rule} {RULES[result.rule - 1]}: {result.summary} ({result.checked} checked, {coverage})"
        )
        lines += [f"      {message}: {entry}" for message, entry in result.violations[:3]]
    lines.append("  " + ", ".join(f"{name} {value:.0f}" for name, value in verdict.figures.items()))
    if verdict.members is not None:
        lines += verdict.members.lines()
    return "\n".join(lines)
