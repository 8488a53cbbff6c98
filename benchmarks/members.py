"""Membership in virtual time: as it is, plain SWIM, heartbeats and phi accrual, under loss, pauses, one-sided cuts, a split, drift.

    python -m benchmarks.members [--members 24] [--seeds 3] [--large 250] [--plot docs/figures/members.png]

Simulated figures, all of them: real machines on the model's network (winchdyke/model/fleet.py). For each way: ms until a killed
member is dead in every view (median and most over seeds), deaths of members that ran (for each member and hour), bytes a second
that a member sends at rest and in trouble, and ms until all views agree after a split.
"""

from __future__ import annotations

import argparse
import math
import statistics
from collections import defaultdict, deque
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from winchdyke.membership import datagrams, events
from winchdyke.membership import swim as m
from winchdyke.membership.datagrams import MemberState
from winchdyke.membership.member_table import Member, with_state
from winchdyke.membership.swim import SwimProtocol
from winchdyke.membership.swim_config import SwimConfig
from winchdyke.model.fleet import Fleet, Links

HOUR = 3_600_000.0
LOSSES = (0.0, 0.1, 0.2, 0.3, 0.4)
DRIFTS = (0.0, 0.01, 0.05)
LOST_BEATS = 5.0  # intervals without a heartbeat after which a member is dead
# Phi accrual: the threshold of Hayashibara et al. (2004) that later systems took over, their window and least deviation.
PHI_DEAD, PHI_WINDOW, PHI_LEAST = 8.0, 200, 0.1


class Plain(SwimProtocol):
    """SWIM with suspicion, without Lifeguard's parts, the look at sleep, sight, and TCP beside probes."""

    def _woke(self, late: float) -> None:
        pass

    def _ask_others(self, probe: m._Probe) -> None:
        others = [member for member in self.table.active_members() if member.name != probe.name]
        helpers = self.random.sample(others, min(self.config.indirect_probe_count, len(others)))
        probe.asked = tuple(helper.name for helper in helpers)
        for name in probe.asked:
            self._tell(name, datagrams.MessageKind.PING_REQ, probe.number, target=probe.name)

    def _expire(self, member: Member) -> None:
        self._learn(with_state(member.record, MemberState.DEAD, self.local.name), self.local.name)


class Beats(SwimProtocol):
    """A heartbeat to everybody each interval; who is not heard for five of them is dead, by the own ears alone."""

    def _woke(self, late: float) -> None:
        pass

    def _answer(
        self,
        message: datagrams.SwimMessage,
        what: events.MessageReceived,
        kind: datagrams.MessageKind,
        age: int,
    ) -> None:
        pass

    def _learn(self, entry: datagrams.MemberRecord, teller: str) -> None:
        if teller != self.local.name and entry.state != MemberState.ALIVE:
            return
        super()._learn(entry, teller)

    def _time(self) -> None:
        if self.now >= self._probe_at:
            self._probe_at += self.config.probe_interval_ms
            for member in self.table.members.values():
                if member.state is not MemberState.LEFT:
                    self._tell(member.name, datagrams.MessageKind.PING, entries=[self._self()])
        for member in self.table.members.values():
            if member.is_active and self._late(member):
                self._learn(with_state(member.record, MemberState.DEAD, self.local.name), self.local.name)
            elif member.state is MemberState.DEAD and member.last_received_ms > member.state_since_ms:
                member.record, member.state_since_ms = (
                    with_state(member.record, MemberState.ALIVE, ""),
                    self.now,
                )
                self.table.version += 1
        if self.now >= self._seed_at and len(self.table.members) + 1 < self.local.gateway_count:
            self._try_seed()

    def _late(self, member: Member) -> bool:
        return (
            self.now - max(member.last_received_ms, member.state_since_ms)
            > LOST_BEATS * self.config.probe_interval_ms
        )


class Phi(Beats):
    """Heartbeats to everybody, judged by each link's own history: dead where one this late is one in 10^8."""

    def __init__(self, own: events.LocalMember, bounds: SwimConfig, seed: int, now: float) -> None:
        super().__init__(own, bounds, seed, now)
        self._gaps: defaultdict[str, deque[float]] = defaultdict(lambda: deque(maxlen=PHI_WINDOW))
        self._last: dict[str, float] = {}

    def _arrived(self, what: events.MessageReceived) -> None:
        super()._arrived(what)
        name = what.message.sender
        if name in self.table.members and what.message.kind == datagrams.MessageKind.PING:
            if name in self._last:
                self._gaps[name].append(self.now - self._last[name])
            self._last[name] = self.now

    def _late(self, member: Member) -> bool:
        gaps = self._gaps[member.name]
        if len(gaps) < 2:
            return super()._late(member)
        mean = statistics.fmean(gaps)
        deviation = max(PHI_LEAST * self.config.probe_interval_ms, statistics.pstdev(gaps, mean))
        passed = self.now - max(self._last[member.name], member.state_since_ms)
        later = 0.5 * math.erfc((passed - mean) / deviation / math.sqrt(2))
        return later < 10.0**-PHI_DEAD


SWIM = replace(
    SwimConfig(), max_local_health_score=0, max_suspicion_factor=1.0, direct_evidence_intervals=-1.0
)
WAYS: dict[str, tuple[type[SwimProtocol], SwimConfig]] = {
    "as it is": (SwimProtocol, SwimConfig()),
    "plain SWIM": (Plain, SWIM),
    "heartbeats": (Beats, SwimConfig()),
    "phi accrual": (Phi, SwimConfig()),
}


def made(way: str, members: int, seed: int, zones: int = 1, drift: float = 0.0) -> Fleet:
    """A fleet that has settled."""
    make, bounds = WAYS[way]
    fleet = Fleet(members, seed, bounds, zones=zones, make=make, drift=drift)
    fleet.run(3000.0)
    fleet.until_agreed(30_000.0)
    fleet.run(fleet.now + 10_000.0)
    return fleet


def deaths(fleet: Fleet, since: float) -> int:
    """Turns to dead, in any view, of members that ran."""
    return sum(t.at >= since and t.state == "dead" and t.member in fleet.lives for t in fleet.told)


def rate(fleet: Fleet, since: float) -> float:
    """Bytes a second of the mean member."""
    found = fleet.rate(since, fleet.now)
    return sum(found) / len(found)


def detection(
    way: str, members: int, seeds: int, loss: float, drift: float = 0.0, length: float = 120_000.0
) -> tuple[float, float, float]:
    """ms to detect (median, most), and false deaths for each member and hour, at a loss, with clocks so far apart."""
    took, wrong, hours = list[float](), 0, 0.0
    for seed in range(seeds):
        fleet = made(way, members, seed, drift=drift)
        fleet.links.loss = loss
        since = fleet.now
        fleet.run(since + length)
        wrong += deaths(fleet, since)
        hours += members * length / HOUR
        at = fleet.now
        fleet.kill("g1")
        while fleet.now < at + 60_000.0 and not _all_know(fleet, at, "g1"):
            fleet.run(fleet.now + 500.0)
        told = [t.at - at for t in fleet.told if t.at >= at and t.member == "g1" and t.state == "dead"]
        took.append(max(told) if _all_know(fleet, at, "g1") else float("inf"))
    return statistics.median(took), max(took), wrong / hours


def _all_know(fleet: Fleet, at: float, member: str) -> bool:
    """Whether every view has called a member dead since a time."""
    knows = {t.viewer for t in fleet.told if t.at >= at and t.member == member and t.state == "dead"}
    return knows >= set(fleet.lives)


def trouble(way: str, members: int, what: str) -> tuple[float, float, float]:
    """False deaths for each member and hour, bytes a second meanwhile, ms until views agree after it."""
    fleet = made(way, members, 5, zones=2)
    since = fleet.now
    if what == "pauses":
        for n in range(12):
            for name in fleet.names[:3]:
                fleet.at(since + 10_000.0 * n, lambda name=name: fleet.pause(name, 4000.0))
    elif what == "one-sided":
        fleet.links.cut = {("g0", name) for name in fleet.names[1 : members // 2]}
    else:
        sides = [[n for n in fleet.names if fleet.zones[n] == zone] for zone in ("zone-0", "zone-1")]
        fleet.links.cut = {(a, b) for a in sides[0] for b in sides[1]} | {
            (b, a) for a in sides[0] for b in sides[1]
        }
    fleet.run(since + 120_000.0)
    wrong, cost = deaths(fleet, since) / (members * 120_000.0 / HOUR), rate(fleet, since)
    fleet.links = Links()
    agreed = fleet.until_agreed(120_000.0)
    return wrong, cost, float("inf") if agreed is None else agreed


def _told(job: tuple[str, int, int, float, float, float]) -> tuple[float, float, float]:
    return detection(*job)


def _troubled(job: tuple[str, int, str]) -> tuple[float, float, float]:
    return trouble(*job)


def _at_rest(way: str, members: int) -> tuple[float, int]:
    fleet = Fleet(members, 1, WAYS[way][1], make=WAYS[way][0])
    fleet.run(14_000.0)
    return rate(fleet, 9000.0), fleet.largest


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--members", type=int, default=24)
    words.add_argument("--seeds", type=int, default=3)
    words.add_argument("--large", type=int, default=250)
    words.add_argument("--length", type=float, default=120.0, help="seconds of loss before the kill")
    words.add_argument("--jobs", type=int, default=1)
    words.add_argument("--only", choices=("loss", "drift", "trouble", "rest"))
    words.add_argument("--ways", nargs="+", choices=list(WAYS), default=list(WAYS))
    words.add_argument("--plot")
    chosen = words.parse_args()
    members, seeds, length, ways = chosen.members, chosen.seeds, 1000 * chosen.length, chosen.ways
    wanted = {chosen.only} if chosen.only else {"loss", "drift", "trouble", "rest"}
    with ProcessPoolExecutor(chosen.jobs) as pool:
        if "loss" in wanted:
            jobs = [(way, members, seeds, loss, 0.0, length) for way in ways for loss in LOSSES]
            rows = list(pool.map(_told, jobs))
            found = {way: rows[len(LOSSES) * n : len(LOSSES) * (n + 1)] for n, way in enumerate(ways)}
            print(
                f"{members} members, {seeds} seeds, interval 1 s: ms to detect (median/most), false deaths a member and hour"
            )
            for way, row in found.items():
                cells = (f"{median:6.0f}/{most:6.0f} {wrong:7.2f}" for median, most, wrong in row)
                print(
                    f"  {way:11}"
                    + "  ".join(f"{loss:.0%}: {c}" for loss, c in zip(LOSSES, cells, strict=True)),
                    flush=True,
                )
        if "drift" in wanted:
            print("clocks up to so far apart, a fifth of datagrams lost")
            jobs = [("as it is", members, seeds, 0.2, drift, length) for drift in DRIFTS]
            for drift, (median, most, wrong) in zip(DRIFTS, pool.map(_told, jobs), strict=True):
                print(f"  {drift:.0%}: {median:6.0f}/{most:6.0f} {wrong:7.2f}", flush=True)
        if "trouble" in wanted:
            print(
                "trouble for 2 minutes: false deaths a member and hour, bytes/s for each member, ms until views agree after it"
            )
            troubles = [(way, members, what) for what in ("pauses", "one-sided", "split") for way in ways]
            for (way, _, what), (wrong, cost, agreed) in zip(
                troubles, pool.map(_troubled, troubles), strict=True
            ):
                print(f"  {what:9} {way:11} {wrong:8.2f} {cost:8.0f} {agreed:8.0f}", flush=True)
        if "rest" in wanted:
            print(f"bytes/s for each of {chosen.large} members at rest, over 5 s")
            for way, (cost, largest) in zip(
                ways, pool.map(_at_rest, ways, [chosen.large] * len(ways)), strict=True
            ):
                print(f"  {way:11} {cost:8.0f}  largest datagram {largest}", flush=True)
    if chosen.plot and "loss" in wanted:  # last: what it needs may not be there
        plot(chosen.plot, LOSSES, found)


def plot(path: str, losses: tuple[float, ...], found: dict[str, list[tuple[float, float, float]]]) -> None:
    """Detection and false deaths against loss."""
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.4))
    for way, rows in found.items():
        left.plot(
            [100 * loss for loss in losses], [median / 1000 for median, _, _ in rows], marker="o", label=way
        )
        right.plot([100 * loss for loss in losses], [wrong for _, _, wrong in rows], marker="o", label=way)
    left.set_ylabel("s until every view has a kill")
    right.set_ylabel("false deaths, a member and hour")
    right.set_yscale("symlog", linthresh=0.1)
    for axes in (left, right):
        axes.set_xlabel("datagrams lost, %")
    right.legend()
    figure.suptitle("Simulated: membership against loss")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    main()
