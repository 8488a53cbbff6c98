"""Membership in virtual time: as it is, plain SWIM, heartbeats and phi accrual, under loss, pauses, one-sided cuts, a split, drift.

    python -m benchmarks.membership_variants [--members 24] [--seeds 3] [--large 250] [--plot docs/figures/members.png]

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

from winchdyke.membership import events
from winchdyke.membership.datagrams import MemberRecord, MemberState, MessageKind
from winchdyke.membership.dissemination import Dissemination
from winchdyke.membership.member import Member
from winchdyke.membership.member_table import with_state
from winchdyke.membership.probing import Probe, Prober
from winchdyke.membership.suspicion import SuspicionMonitor
from winchdyke.membership.swim import SwimProtocol
from winchdyke.membership.swim_config import SwimConfig
from winchdyke.model.fleet import Fleet, Links

HOUR = 3_600_000.0
LOSSES = (0.0, 0.1, 0.2, 0.3, 0.4)
DRIFTS = (0.0, 0.01, 0.05)
MAX_MISSED_HEARTBEATS = 5.0  # intervals
# Phi accrual: the threshold of Hayashibara et al. (2004) that later systems took over, their window and least deviation.
PHI_DEAD = 8.0
PHI_WINDOW = 200
PHI_MIN_DEVIATION_FRACTION = 0.1  # of the probe interval


class PlainProber(Prober):
    """Plain SWIM: asks other members alone, suspects among them, and doesn't use TCP."""

    def request_indirect_probes(self, probe: Probe) -> None:
        members = self._context.table.active_members()
        self.send_ping_reqs(probe, [member for member in members if member.name != probe.target])


class PlainSuspicion(SuspicionMonitor):
    """Ends each suspicion in a death, whatever was received meanwhile."""

    def expire(self, member: Member) -> None:
        self._set_state(member, MemberState.DEAD)


class PlainSwim(SwimProtocol):
    """SWIM with suspicion, without Lifeguard's parts, pause detection, direct evidence, and TCP beside probes."""

    suspicion_type = PlainSuspicion
    prober_type = PlainProber

    def _handle_pause(self, paused_ms: float) -> None:
        pass


class AliveGossip(Dissemination):
    """Believes others' reports of members that are alive only."""

    def apply(self, record: MemberRecord, reporter: str) -> None:
        if reporter == self._context.local.name or record.state == MemberState.ALIVE:
            super().apply(record, reporter)


class Heartbeats(SwimProtocol):
    """A heartbeat to every member each interval; one that is silent for five of them is dead, by direct evidence alone."""

    dissemination_type = AliveGossip

    def _handle_pause(self, paused_ms: float) -> None:
        pass

    def _send_ack(self, event: events.MessageReceived) -> None:
        pass

    def _run_timers(self) -> None:
        context = self.context
        now = context.now
        if now >= self.prober.next_probe_ms:
            self.prober.next_probe_ms += context.config.probe_interval_ms
            self._send_heartbeats()
        for member in context.table.members.values():
            if member.is_active and self._is_silent(member):
                dead = with_state(member.record, MemberState.DEAD, self.local.name)
                self.dissemination.apply(dead, self.local.name)
            elif member.state is MemberState.DEAD and member.last_received_ms > member.state_since_ms:
                member.record = with_state(member.record, MemberState.ALIVE, "")
                member.state_since_ms = now
                context.table.version += 1
        if (
            now >= self.exchanges.reconnect.seed_due_ms
            and len(context.table.members) + 1 < self.local.gateway_count
        ):
            self.exchanges.contact_seed()

    def _send_heartbeats(self) -> None:
        for member in self.context.table.members.values():
            if member.state is not MemberState.LEFT:
                record = self.context.local_record()
                self.context.send(member.name, MessageKind.PING, records=[record])

    def _is_silent(self, member: Member) -> bool:
        silent_ms = self.context.now - max(member.last_received_ms, member.state_since_ms)
        return silent_ms > MAX_MISSED_HEARTBEATS * self.context.config.probe_interval_ms


class PhiAccrual(Heartbeats):
    """Heartbeats to every member, judged by each link's history: dead where one this late has a probability of 10^-8."""

    def __init__(self, local: events.LocalMember, config: SwimConfig, seed: int, now: float) -> None:
        super().__init__(local, config, seed, now)
        self._gaps: defaultdict[str, deque[float]] = defaultdict(lambda: deque(maxlen=PHI_WINDOW))
        self._last_heartbeat_ms: dict[str, float] = {}

    def _handle_message(self, event: events.MessageReceived) -> None:
        super()._handle_message(event)
        name = event.message.sender
        if name in self.table.members and event.message.kind == MessageKind.PING:
            now = self.context.now
            if name in self._last_heartbeat_ms:
                self._gaps[name].append(now - self._last_heartbeat_ms[name])
            self._last_heartbeat_ms[name] = now

    def _is_silent(self, member: Member) -> bool:
        gaps = self._gaps[member.name]
        if len(gaps) < 2:
            return super()._is_silent(member)
        mean = statistics.fmean(gaps)
        min_deviation = PHI_MIN_DEVIATION_FRACTION * self.context.config.probe_interval_ms
        deviation = max(min_deviation, statistics.pstdev(gaps, mean))
        passed = self.context.now - max(self._last_heartbeat_ms[member.name], member.state_since_ms)
        later = 0.5 * math.erfc((passed - mean) / deviation / math.sqrt(2))
        return later < 10.0**-PHI_DEAD


PLAIN_CONFIG = replace(
    SwimConfig(), max_local_health_score=0, max_suspicion_factor=1.0, direct_evidence_intervals=-1.0
)
WAYS: dict[str, tuple[type[SwimProtocol], SwimConfig]] = {
    "as it is": (SwimProtocol, SwimConfig()),
    "plain SWIM": (PlainSwim, PLAIN_CONFIG),
    "heartbeats": (Heartbeats, SwimConfig()),
    "phi accrual": (PhiAccrual, SwimConfig()),
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
