"""The judge of membership: what views said, against the links' record and the processes' own lives. Pure but for reading logs.

Who ran, who was stopped, and which links passed is known from the record alone. What each gateway believed is read from the
lines that its fleet wrote, each with its time. Three things are held:

    no false death    a member that ran, and that the viewer could reach by some way, was not dead in its view for longer than stated
    every death told  a killed member was dead, or seen to have started anew, in every view that could be told, within the stated time
    agreement         the stated time after the last trouble all views are the same, and right
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

Seen = dict[str, Any]
HOST_MS = 1500.0  # by which a busy host may run processes late
USABLE = 0.65  # of the datagrams lost at the most, on a link that counts as a way
TURNS = {
    "membership_member_found": "alive",
    "membership_member_restarted": "alive",
    "membership_member_alive": "alive",
    "membership_member_suspect": "suspect",
    "membership_member_dead": "dead",
    "membership_member_left": "left",
}
Span = tuple[float, float]


def pause_spans(record: Sequence[Seen]) -> defaultdict[str, list[tuple[float, float]]]:
    """From when to when each gateway's process was stopped."""
    found: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    since: dict[str, float] = {}
    for seen in record:
        if seen["what"] == "gateway-stopped":
            since[seen["gateway"]] = seen["t"]
        elif seen["what"] == "gateway-goes-on" and seen["gateway"] in since:
            found[seen["gateway"]].append((since.pop(seen["gateway"]), seen["t"]))
    return found


def swim_config_of(scenario: Scenario) -> SwimConfig:
    """The figures that the day's gateways go by."""
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
    """What holds of the three, with how often each was tried and how near its bound it came."""

    names: tuple[str, ...] = ("no false death", "every death told", "agreement")
    checked: list[int] = field(default_factory=lambda: [0, 0, 0])
    longest_ms: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])  # ms
    bounds: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    violations: list[tuple[int, str]] = field(default_factory=list)
    final_views: dict[str, Any] = field(default_factory=dict)

    @property
    def kept(self) -> bool:
        """Whether all three hold."""
        return not self.violations

    def lines(self) -> list[str]:
        """For people."""
        found = []
        for at, name in enumerate(self.names):
            here = [why for which, why in self.violations if which == at]
            word = f"BROKEN {len(here)} times" if here else "kept" if self.checked[at] else "not tried"
            near = f"{self.longest_ms[at]:.0f} of {self.bounds[at]:.0f} ms at the most"
            found.append(f"  members, {name}: {word} ({self.checked[at]} looked at, {near})")
            found += [f"      {why}" for why in here[:5]]
        return found


class MembershipChecker:
    """One day's record and logs before the judge."""

    def __init__(self, scenario: Scenario, record: Sequence[Seen], where: Path) -> None:
        self.scenario, self.record = scenario, sorted(record, key=lambda seen: seen["t"])
        self.names = [f"gateway-{index}" for index in range(scenario.gateways)]
        self.bounds = swim_config_of(scenario)
        self.end = max(
            (seen["t"] for seen in record if seen["what"] == "settled"), default=self.record[-1]["t"]
        )
        self.offset = next(seen["unix_ms"] - seen["t"] for seen in record if seen["what"] == "clock")
        self.lives, self.gone = self._lives()
        self.stopped = dict(pause_spans(self.record))
        self.turns = {name: self._read(where / f"{name}.log") for name in self.names}
        self.faults = self._faults()

    def _lives(self) -> tuple[dict[str, list[Span]], dict[str, list[Span]]]:
        """When a process ran under each name, and by kill or leave when not: (from the end to the next start)."""
        ran: dict[str, list[Span]] = defaultdict(list)
        up: dict[str, float] = {}
        for seen in self.record:
            if seen["what"] == "gateway-up":
                up[seen["gateway"]] = seen["t"]
            elif seen["what"] in ("gateway-down", "gateway-leaves") and seen["gateway"] in up:
                ran[seen["gateway"]].append((up.pop(seen["gateway"]), seen["t"]))
        for name, since in up.items():
            ran[name].append((since, self.end))
        away: dict[str, list[Span]] = defaultdict(list)
        for name, spans in ran.items():
            for at, (_, until) in enumerate(spans):
                following = spans[at + 1][0] if at + 1 < len(spans) else self.end
                if until < self.end:
                    away[name].append((until, following))
        return ran, away

    def _read(self, log: Path) -> list[tuple[float, str, str]]:
        """(time, member, state) in order; a start of the viewer's process is the member "" in state "began"."""
        found: list[tuple[float, str, str]] = []
        for line in log.read_bytes().splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            if not isinstance(row, dict) or "timestamp" not in row:
                continue
            at = row["timestamp"] * 1000 - self.offset
            if at > self.end:
                break  # the day is over, and all are told to stop
            if row.get("event") == "started":
                found.append((at, "", "began"))
            elif row.get("event") in TURNS and row.get("member"):
                found.append((at, row["member"], TURNS[row["event"]]))
        return found

    def _faults(self) -> list[tuple[float, float, dict[tuple[str, str], dict[str, Any]]]]:
        """From when to when which links had which faults."""
        now: dict[tuple[str, str], dict[str, Any]] = {}
        found, since = [], self.record[0]["t"]
        for seen in self.record:
            if seen["who"] == "links" and seen["what"] == "set":
                found.append((since, seen["t"], dict(now)))
                since = seen["t"]
                for a, b in seen["pairs"]:
                    now[a, b] = seen["fault"]
        found.append((since, self.end, dict(now)))
        return found

    def verdict(self) -> MembershipResult:
        """Judge the three."""
        found, size = MembershipResult(), self.scenario.gateways
        false_most = self.bounds.convergence_bound_ms(size) + HOST_MS
        told_most = self.bounds.detection_bound_ms(size) + HOST_MS
        found.bounds = [false_most, told_most, self.bounds.convergence_bound_ms(size) + HOST_MS]
        for viewer in self.names:
            spans = self._states(viewer)
            for member in self.names:
                if member != viewer:
                    self._false_deaths(found, viewer, member, spans[member], false_most)
                    self._deaths(found, viewer, member, spans[member], told_most)
        self._agreement(found)
        return found

    def _states(self, viewer: str) -> dict[str, list[tuple[float, float, str]]]:
        """What a viewer said of each member, from when to when; nothing where its process did not run."""
        found: dict[str, list[tuple[float, float, str]]] = {name: [] for name in self.names}
        now: dict[str, tuple[float, str]] = {}

        def close(at: float) -> None:
            for name, (since, state) in now.items():
                found[name].append((since, at, state))
            now.clear()

        for at, member, state in self.turns[viewer]:
            if state == "began":
                close(at)
            elif member in found:
                if member in now:
                    found[member].append((now[member][0], at, now[member][1]))
                now[member] = at, state
        ends = [until for _, until in self.lives.get(viewer, []) if until < self.end]
        close(self.end)
        # A process that was killed says nothing more: what it said last ends there.
        for name, spans in found.items():
            found[name] = [
                (since, min([until, *(end for end in ends if since <= end)]), state)
                for since, until, state in spans
            ]
        return found

    def _whole(self, viewer: str, member: str) -> list[Span]:
        """When both ran, unstopped, with a way between them both ways, straight or through one other that ran."""
        times = sorted(
            {
                at
                for name in (viewer, member)
                for span in self.lives.get(name, []) + self.stopped.get(name, [])
                for at in span
            }
            | {at for since, until, _ in self.faults for at in (since, until)}
            | {
                at
                for name in self.names
                for span in self.lives.get(name, []) + self.stopped.get(name, [])
                for at in span
            }
        )
        found: list[Span] = []
        for since, until in itertools.pairwise(times):
            middle = (since + until) / 2
            if until <= since or not all(self._runs(name, middle) for name in (viewer, member)):
                continue
            faults = next((links for a, b, links in self.faults if a <= middle < b), {})
            if not self._way(viewer, member, middle, faults):
                continue
            if found and found[-1][1] == since:
                found[-1] = found[-1][0], until
            else:
                found.append((since, until))
        return found

    def _runs(self, name: str, at: float) -> bool:
        up = any(since <= at < until for since, until in self.lives.get(name, []))
        return up and not any(since <= at < until for since, until in self.stopped.get(name, []))

    def _way(
        self, viewer: str, member: str, at: float, faults: dict[tuple[str, str], dict[str, Any]]
    ) -> bool:
        def passes(a: str, b: str) -> bool:
            fault = faults.get((a, b), {})
            return not fault.get("cut") and fault.get("datagrams", True) and fault.get("loss", 0.0) <= USABLE

        def both(a: str, b: str) -> bool:
            return passes(a, b) and passes(b, a)

        if both(viewer, member):
            return True
        others = (name for name in self.names if name not in (viewer, member) and self._runs(name, at))
        return any(both(viewer, other) and both(other, member) for other in others)

    def _false_deaths(
        self,
        found: MembershipResult,
        viewer: str,
        member: str,
        spans: list[tuple[float, float, str]],
        most: float,
    ) -> None:
        whole = self._whole(viewer, member)
        for since, until, state in spans:
            if state != "dead":
                continue
            for first, last in whole:
                length = min(until, last) - max(since, first)
                if length <= 0:
                    continue
                found.checked[0] += 1
                found.longest_ms[0] = max(found.longest_ms[0], length)
                if length > most:
                    found.violations.append(
                        (0, f"{viewer} held {member} dead for {length:.0f} ms while it could be reached")
                    )

    def _deaths(
        self,
        found: MembershipResult,
        viewer: str,
        member: str,
        spans: list[tuple[float, float, str]],
        most: float,
    ) -> None:
        for down, back in self.gone.get(member, []):
            if back - down <= most:
                continue  # it was back before the time was over
            # The viewer's own time: it ran unstopped, and could hear others, from the death until the bound.
            if not self._calm(viewer, member, down, down + most):
                continue
            gone = [since for since, until, state in spans if state in ("dead", "left") and until > down]
            known = any(since <= down < until for since, until, _ in spans)
            if not known:
                continue  # it had not heard of it
            found.checked[1] += 1
            took = max(0.0, min(gone) - down) if gone else float("inf")
            found.longest_ms[1] = max(found.longest_ms[1], min(took, back - down))
            if took > most:
                found.violations.append(
                    (
                        1,
                        f"{viewer} was not told of the end of {member} within {most:.0f} ms (took {took:.0f})",
                    )
                )

    def _calm(self, viewer: str, member: str, since: float, until: float) -> bool:
        """Whether the viewer ran all the time, and was not cut off from most of the others."""
        if until > self.end or not any(a <= since and until <= b for a, b in self.lives.get(viewer, [])):
            return False
        if any(a < until and since < b for a, b in self.stopped.get(viewer, [])):
            return False
        for a, b, faults in self.faults:
            if a < until and since < b:
                cut = {x for (x, y), fault in faults.items() if fault.get("cut") and y == viewer}
                cut |= {y for (x, y), fault in faults.items() if fault.get("cut") and x == viewer}
                if len(cut) * 2 >= len(self.names):
                    return False
        return True

    def _agreement(self, found: MembershipResult) -> None:
        last = max(
            [
                seen["t"]
                for seen in self.record
                if seen["what"] in ("set", "gateway-up", "gateway-goes-on", "gateway-down")
            ],
            default=0.0,
        )
        if self.end - last < found.bounds[2]:
            found.violations.append(
                (2, f"the day ended {self.end - last:.0f} ms after its last trouble: it is no trial")
            )
            return
        for viewer in self.names:
            if not self._runs(viewer, self.end - 1):
                continue
            spans = self._states(viewer)
            for member in self.names:
                if member == viewer:
                    continue
                found.checked[2] += 1
                final = spans[member][-1] if spans[member] else (0.0, 0.0, "unknown")
                # How long after the last trouble this view still turned.
                found.longest_ms[2] = max(found.longest_ms[2], final[0] - last)
                right = (
                    (final[2] == "alive")
                    if self._runs(member, self.end - 1)
                    else final[2] in ("dead", "left")
                )
                if not right:
                    found.violations.append((2, f"at the end {viewer} holds {member} {final[2]}"))
                elif final[0] - last > found.bounds[2]:
                    found.violations.append(
                        (2, f"{viewer} came to agree on {member} only {final[0] - last:.0f} ms later")
                    )


async def read_final_views(names: list[str], where: Path) -> dict[str, Any]:
    """What each running gateway's admin socket says of the others now: states by member."""
    from winchdyke.admin.client import AdminClient
    from winchdyke.config_rollout.operations import OperationError

    found: dict[str, Any] = {}

    def ask(path: Path) -> dict[str, Any] | None:
        try:
            return AdminClient(f"unix:{path}").fleet_status()
        except OperationError:
            return None

    for index, name in enumerate(names):
        told = await anyio.to_thread.run_sync(ask, where / f"members-{index}" / "admin.sock")
        if told is not None:
            rows = {row["name"]: [row["state"], row["life"]] for row in told["members"]}
            found[name] = {
                "members": rows,
                "life": told["life"],
                "counts": told["counts"],
                "health": told["health"],
            }
    return found
