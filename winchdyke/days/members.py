"""Checks what gateways believed of each other against the record of a played scenario. Reads the gateways' logs; else pure.

The record alone says which processes ran, which were stopped, and which links passed messages. The view of each gateway is
read from the timestamped membership events in its log. Three invariants are checked:

    no false death    a view doesn't hold a member dead for longer than the bound while the member runs and can be reached,
                      directly or through one other member
    deaths detected   each view that could learn of the end of a member holds it dead, or restarted, within the bound
    agreement         within the bound after the last fault all views are equal and correct
"""

from __future__ import annotations

import itertools
import json
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread

from winchdyke.days.script import Scenario
from winchdyke.membership.swim_config import SwimConfig

Entry = dict[str, Any]  # one entry of the record
HOST_DELAY_MS = 1500.0  # the longest delay of a process by a busy host
MAX_USABLE_LOSS = 0.65  # share of lost datagrams up to which a link counts as usable
STATE_BY_EVENT = {
    "membership_member_found": "alive",
    "membership_member_restarted": "alive",
    "membership_member_alive": "alive",
    "membership_member_suspect": "suspect",
    "membership_member_dead": "dead",
    "membership_member_left": "left",
}
Span = tuple[float, float]  # start and end, in ms of the record's clock


def pause_spans(record: Sequence[Entry]) -> defaultdict[str, list[tuple[float, float]]]:
    """The spans for which each gateway's process was stopped."""
    result: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    since: dict[str, float] = {}
    for entry in record:
        if entry["what"] == "gateway-stopped":
            since[entry["gateway"]] = entry["t"]
        elif entry["what"] == "gateway-goes-on" and entry["gateway"] in since:
            result[entry["gateway"]].append((since.pop(entry["gateway"]), entry["t"]))
    return result


def swim_config_of(scenario: Scenario) -> SwimConfig:
    """The membership settings of the scenario's gateways."""
    ms = scenario.fleet
    return SwimConfig(
        probe_interval_ms=ms,
        probe_timeout_ms=0.4 * ms,
        state_exchange_interval_ms=30 * ms,
        min_reconnect_backoff_ms=ms,
        max_reconnect_backoff_ms=10 * ms,
    )


@dataclass
class MembershipResult:
    """The results of the three invariants, in the order of ``names``.

    Attributes:
        checked: How often each invariant was checked.
        longest_ms: The longest time measured for each, to compare with its bound.
        bounds_ms: The bound of each invariant.
        violations: The index of the invariant, and a message.
        final_views: The views at the end, read from the admin sockets, by gateway.
    """

    names: tuple[str, ...] = ("no false death", "deaths detected", "agreement")
    checked: list[int] = field(default_factory=lambda: [0, 0, 0])
    longest_ms: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    bounds_ms: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    violations: list[tuple[int, str]] = field(default_factory=list)
    final_views: dict[str, Any] = field(default_factory=dict)

    @property
    def kept(self) -> bool:
        """Whether there is no violation."""
        return not self.violations

    def lines(self) -> list[str]:
        """The results as lines of the report."""
        result = []
        for index, name in enumerate(self.names):
            messages = [message for number, message in self.violations if number == index]
            summary = (
                f"BROKEN {len(messages)} times"
                if messages
                else "kept"
                if self.checked[index]
                else "not tried"
            )
            longest = f"{self.longest_ms[index]:.0f} ms of {self.bounds_ms[index]:.0f} ms used"
            result.append(f"  members, {name}: {summary} ({self.checked[index]} checked, {longest})")
            result += [f"      {message}" for message in messages[:5]]
        return result


class MembershipChecker:
    """Checks the record and the logs of one played scenario."""

    def __init__(self, scenario: Scenario, record: Sequence[Entry], directory: Path) -> None:
        self.scenario, self.record = scenario, sorted(record, key=lambda entry: entry["t"])
        self.names = [f"gateway-{index}" for index in range(scenario.gateways)]
        self.config = swim_config_of(scenario)
        self.end = max(
            (entry["t"] for entry in record if entry["what"] == "settled"), default=self.record[-1]["t"]
        )
        self.offset = next(entry["unix_ms"] - entry["t"] for entry in record if entry["what"] == "clock")
        self.run_spans, self.down_spans = self._find_run_spans()
        self.pause_spans = dict(pause_spans(self.record))
        self.transitions = {name: self._read_transitions(directory / f"{name}.log") for name in self.names}
        self.fault_periods = self._find_fault_periods()

    def _find_run_spans(self) -> tuple[dict[str, list[Span]], dict[str, list[Span]]]:
        """The spans for which each gateway ran, and those from each of its ends to its next start."""
        run_spans: dict[str, list[Span]] = defaultdict(list)
        up: dict[str, float] = {}
        for entry in self.record:
            if entry["what"] == "gateway-up":
                up[entry["gateway"]] = entry["t"]
            elif entry["what"] in ("gateway-down", "gateway-leaves") and entry["gateway"] in up:
                run_spans[entry["gateway"]].append((up.pop(entry["gateway"]), entry["t"]))
        for name, since in up.items():
            run_spans[name].append((since, self.end))
        down_spans: dict[str, list[Span]] = defaultdict(list)
        for name, spans in run_spans.items():
            for index, (_, until) in enumerate(spans):
                following = spans[index + 1][0] if index + 1 < len(spans) else self.end
                if until < self.end:
                    down_spans[name].append((until, following))
        return run_spans, down_spans

    def _read_transitions(self, log: Path) -> list[tuple[float, str, str]]:
        """(time, member, state) in order of time; a start of the viewer's process has member "" and state "began"."""
        result: list[tuple[float, str, str]] = []
        for line in log.read_bytes().splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            if not isinstance(row, dict) or "timestamp" not in row:
                continue
            at = row["timestamp"] * 1000 - self.offset
            if at > self.end:
                break  # the scenario has ended, and all gateways are being stopped
            if row.get("event") == "started":
                result.append((at, "", "began"))
            elif row.get("event") in STATE_BY_EVENT and row.get("member"):
                result.append((at, row["member"], STATE_BY_EVENT[row["event"]]))
        return result

    def _find_fault_periods(self) -> list[tuple[float, float, dict[tuple[str, str], dict[str, Any]]]]:
        """The faults of all links, by the span for which they were in force."""
        now: dict[tuple[str, str], dict[str, Any]] = {}
        result, since = [], self.record[0]["t"]
        for entry in self.record:
            if entry["who"] == "links" and entry["what"] == "set":
                result.append((since, entry["t"], dict(now)))
                since = entry["t"]
                for a, b in entry["pairs"]:
                    now[a, b] = entry["fault"]
        result.append((since, self.end, dict(now)))
        return result

    def verdict(self) -> MembershipResult:
        """Check the three invariants."""
        result, size = MembershipResult(), self.scenario.gateways
        false_death_bound_ms = self.config.convergence_bound_ms(size) + HOST_DELAY_MS
        detection_bound_ms = self.config.detection_bound_ms(size) + HOST_DELAY_MS
        result.bounds_ms = [
            false_death_bound_ms,
            detection_bound_ms,
            self.config.convergence_bound_ms(size) + HOST_DELAY_MS,
        ]
        for viewer in self.names:
            spans = self._states_in_view(viewer)
            for member in self.names:
                if member != viewer:
                    self._check_false_deaths(result, viewer, member, spans[member], false_death_bound_ms)
                    self._check_detections(result, viewer, member, spans[member], detection_bound_ms)
        self._check_agreement(result)
        return result

    def _states_in_view(self, viewer: str) -> dict[str, list[tuple[float, float, str]]]:
        """The states of each member in a viewer's view, with their spans; none while the viewer's process did not run."""
        result: dict[str, list[tuple[float, float, str]]] = {name: [] for name in self.names}
        now: dict[str, tuple[float, str]] = {}

        def close(at: float) -> None:
            for name, (since, state) in now.items():
                result[name].append((since, at, state))
            now.clear()

        for at, member, state in self.transitions[viewer]:
            if state == "began":
                close(at)
            elif member in result:
                if member in now:
                    result[member].append((now[member][0], at, now[member][1]))
                now[member] = at, state
        ends = [until for _, until in self.run_spans.get(viewer, []) if until < self.end]
        close(self.end)
        # The last state in the view of a killed process ends with the process.
        for name, spans in result.items():
            result[name] = [
                (since, min([until, *(end for end in ends if since <= end)]), state)
                for since, until, state in spans
            ]
        return result

    def _reachable_spans(self, viewer: str, member: str) -> list[Span]:
        """The spans for which both ran, and messages passed both ways, directly or through one other running member."""
        times = sorted(
            {
                at
                for name in (viewer, member)
                for span in self.run_spans.get(name, []) + self.pause_spans.get(name, [])
                for at in span
            }
            | {at for since, until, _ in self.fault_periods for at in (since, until)}
            | {
                at
                for name in self.names
                for span in self.run_spans.get(name, []) + self.pause_spans.get(name, [])
                for at in span
            }
        )
        result: list[Span] = []
        for since, until in itertools.pairwise(times):
            middle = (since + until) / 2
            if until <= since or not all(self._is_running(name, middle) for name in (viewer, member)):
                continue
            faults = next((links for a, b, links in self.fault_periods if a <= middle < b), {})
            if not self._has_path(viewer, member, middle, faults):
                continue
            if result and result[-1][1] == since:
                result[-1] = result[-1][0], until
            else:
                result.append((since, until))
        return result

    def _is_running(self, name: str, at: float) -> bool:
        up = any(since <= at < until for since, until in self.run_spans.get(name, []))
        return up and not any(since <= at < until for since, until in self.pause_spans.get(name, []))

    def _has_path(
        self, viewer: str, member: str, at: float, faults: dict[tuple[str, str], dict[str, Any]]
    ) -> bool:
        def passes(a: str, b: str) -> bool:
            fault = faults.get((a, b), {})
            return (
                not fault.get("cut")
                and fault.get("datagrams", True)
                and fault.get("loss", 0.0) <= MAX_USABLE_LOSS
            )

        def passes_both_ways(a: str, b: str) -> bool:
            return passes(a, b) and passes(b, a)

        if passes_both_ways(viewer, member):
            return True
        others = (name for name in self.names if name not in (viewer, member) and self._is_running(name, at))
        return any(passes_both_ways(viewer, other) and passes_both_ways(other, member) for other in others)

    def _check_false_deaths(
        self,
        result: MembershipResult,
        viewer: str,
        member: str,
        spans: list[tuple[float, float, str]],
        bound_ms: float,
    ) -> None:
        reachable = self._reachable_spans(viewer, member)
        for since, until, state in spans:
            if state != "dead":
                continue
            for first, last in reachable:
                length = min(until, last) - max(since, first)
                if length <= 0:
                    continue
                result.checked[0] += 1
                result.longest_ms[0] = max(result.longest_ms[0], length)
                if length > bound_ms:
                    result.violations.append(
                        (0, f"{viewer} held {member} dead for {length:.0f} ms although it could be reached")
                    )

    def _check_detections(
        self,
        result: MembershipResult,
        viewer: str,
        member: str,
        spans: list[tuple[float, float, str]],
        bound_ms: float,
    ) -> None:
        for down, back in self.down_spans.get(member, []):
            if back - down <= bound_ms:
                continue  # it restarted within the bound
            # Viewers that were stopped or cut off between the death and the bound don't count.
            if not self._could_detect(viewer, member, down, down + bound_ms):
                continue
            death_times = [
                since for since, until, state in spans if state in ("dead", "left") and until > down
            ]
            known = any(since <= down < until for since, until, _ in spans)
            if not known:
                continue  # the viewer did not know the member
            result.checked[1] += 1
            took_ms = max(0.0, min(death_times) - down) if death_times else float("inf")
            result.longest_ms[1] = max(result.longest_ms[1], min(took_ms, back - down))
            if took_ms > bound_ms:
                result.violations.append(
                    (
                        1,
                        f"{viewer} did not learn of the end of {member} within {bound_ms:.0f} ms (took {took_ms:.0f} ms)",
                    )
                )

    def _could_detect(self, viewer: str, member: str, since: float, until: float) -> bool:
        """Whether the viewer ran for the whole span, without a stop, and was not cut off from half of the members."""
        if until > self.end or not any(a <= since and until <= b for a, b in self.run_spans.get(viewer, [])):
            return False
        if any(a < until and since < b for a, b in self.pause_spans.get(viewer, [])):
            return False
        for a, b, faults in self.fault_periods:
            if a < until and since < b:
                unreachable = {x for (x, y), fault in faults.items() if fault.get("cut") and y == viewer}
                unreachable |= {y for (x, y), fault in faults.items() if fault.get("cut") and x == viewer}
                if len(unreachable) * 2 >= len(self.names):
                    return False
        return True

    def _check_agreement(self, result: MembershipResult) -> None:
        last_fault_at = max(
            [
                entry["t"]
                for entry in self.record
                if entry["what"] in ("set", "gateway-up", "gateway-goes-on", "gateway-down")
            ],
            default=0.0,
        )
        if self.end - last_fault_at < result.bounds_ms[2]:
            result.violations.append(
                (
                    2,
                    f"the scenario ended {self.end - last_fault_at:.0f} ms after its last fault, before views had to agree",
                )
            )
            return
        for viewer in self.names:
            if not self._is_running(viewer, self.end - 1):
                continue
            spans = self._states_in_view(viewer)
            for member in self.names:
                if member == viewer:
                    continue
                result.checked[2] += 1
                final = spans[member][-1] if spans[member] else (0.0, 0.0, "unknown")
                # The time from the last fault to the last change of this member in the view.
                result.longest_ms[2] = max(result.longest_ms[2], final[0] - last_fault_at)
                is_correct = (
                    (final[2] == "alive")
                    if self._is_running(member, self.end - 1)
                    else final[2] in ("dead", "left")
                )
                if not is_correct:
                    result.violations.append((2, f"at the end {viewer} holds {member} as {final[2]}"))
                elif final[0] - last_fault_at > result.bounds_ms[2]:
                    result.violations.append(
                        (
                            2,
                            f"{viewer} agreed on {member} only {final[0] - last_fault_at:.0f} ms after the last fault",
                        )
                    )


async def read_final_views(names: list[str], directory: Path) -> dict[str, Any]:
    """The current view of each running gateway, from its admin socket, with counts and health."""
    from winchdyke.admin.client import AdminClient
    from winchdyke.config_rollout.operations import OperationError

    result: dict[str, Any] = {}

    def fetch(path: Path) -> dict[str, Any] | None:
        try:
            return AdminClient(f"unix:{path}").fleet_status()
        except OperationError:
            return None

    for index, name in enumerate(names):
        status = await anyio.to_thread.run_sync(fetch, directory / f"members-{index}" / "admin.sock")
        if status is not None:
            rows = {row["name"]: [row["state"], row["life"]] for row in status["members"]}
            result[name] = {
                "members": rows,
                "life": status["life"],
                "counts": status["counts"],
                "health": status["health"],
            }
    return result
