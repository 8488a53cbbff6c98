"""Membership in virtual time: as it is, plain SWIM, and heartbeats to all, under loss, pauses, one-sided cuts and a split.

    python -m benchmarks.members [--members 24] [--seeds 3] [--plot docs/figures/members.png]

Simulated figures, all of them: real machines on the model's network (winchdyke/model/fleet.py). For each way: ms until a killed
member is dead in every view (median and most over seeds), deaths of members that ran (for each member and hour), bytes a second
that a member sends at rest and in trouble, and ms until all views agree after a split.
"""

from __future__ import annotations

import argparse
import statistics
from dataclasses import replace

from winchdyke.fleet import wire
from winchdyke.fleet.members import events
from winchdyke.fleet.members import machine as m
from winchdyke.fleet.members.book import Member, said
from winchdyke.fleet.members.bounds import Bounds
from winchdyke.fleet.members.machine import Machine
from winchdyke.fleet.wire import State
from winchdyke.model.fleet import Fleet, Links

HOUR = 3_600_000.0
LOST_BEATS = 5.0  # intervals without a heartbeat after which a member is dead


class Plain(Machine):
    """SWIM with suspicion, without Lifeguard's parts, the look at sleep, sight, and TCP beside probes."""

    def _woke(self, late: float) -> None:
        pass

    def _ask_others(self, probe: m._Probe) -> None:
        others = [member for member in self.book.there() if member.name != probe.name]
        helpers = self.random.sample(others, min(self.bounds.helpers, len(others)))
        probe.asked = tuple(helper.name for helper in helpers)
        for name in probe.asked:
            self._tell(name, wire.Kind.ASK, probe.number, target=probe.name)

    def _expire(self, member: Member) -> None:
        self._learn(said(member.entry, State.DEAD, self.own.name), self.own.name)


class Beats(Machine):
    """A heartbeat to everybody each interval; who is not heard for five of them is dead, by the own ears alone."""

    def _woke(self, late: float) -> None:
        pass

    def _answer(self, message: wire.Envelope, what: events.Arrived, kind: wire.Kind, age: int) -> None:
        pass

    def _learn(self, entry: wire.Entry, teller: str) -> None:
        if teller != self.own.name and entry.state != State.ALIVE:
            return
        super()._learn(entry, teller)

    def _time(self) -> None:
        if self.now >= self._probe_at:
            self._probe_at += self.bounds.interval
            for member in self.book.members.values():
                if member.state is not State.LEFT:
                    self._tell(member.name, wire.Kind.PING, entries=[self._self()])
        for member in self.book.members.values():
            late = self.now - max(member.heard, member.since) > LOST_BEATS * self.bounds.interval
            if member.there and late:
                self._learn(said(member.entry, State.DEAD, self.own.name), self.own.name)
            elif member.state is State.DEAD and member.heard > member.since:
                member.entry, member.since = said(member.entry, State.ALIVE, ""), self.now
                self.book.version += 1
        if self.now >= self._seed_at and len(self.book.members) + 1 < self.own.gateways:
            self._try_seed()


SWIM = replace(Bounds(), health_most=0, patience=1.0, sight=-1.0)
WAYS: dict[str, tuple[type[Machine], Bounds]] = {
    "as it is": (Machine, Bounds()),
    "plain SWIM": (Plain, SWIM),
    "heartbeats": (Beats, Bounds()),
}


def made(way: str, members: int, seed: int, zones: int = 1) -> Fleet:
    """A fleet that has settled."""
    make, bounds = WAYS[way]
    fleet = Fleet(members, seed, bounds, zones=zones, make=make)
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


def detection(way: str, members: int, seeds: int, loss: float) -> tuple[float, float, float]:
    """ms to detect (median, most), and false deaths for each member and hour, at a loss."""
    took, wrong, hours = list[float](), 0, 0.0
    for seed in range(seeds):
        fleet = made(way, members, seed)
        fleet.links.loss = loss
        since = fleet.now
        fleet.run(since + 120_000.0)
        wrong += deaths(fleet, since)
        hours += members * 120_000.0 / HOUR
        at = fleet.now
        fleet.kill("g1")
        fleet.run(at + 40_000.0)
        told = [t.at - at for t in fleet.told if t.at >= at and t.member == "g1" and t.state == "dead"]
        took.append(max(told) if len({t for t in told}) else float("inf"))
    return statistics.median(took), max(took), wrong / hours


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


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--members", type=int, default=24)
    words.add_argument("--seeds", type=int, default=3)
    words.add_argument("--large", type=int, default=250)
    words.add_argument("--plot")
    chosen = words.parse_args()
    losses = (0.0, 0.1, 0.2, 0.3, 0.4)
    found = {way: [detection(way, chosen.members, chosen.seeds, loss) for loss in losses] for way in WAYS}
    print(
        f"{chosen.members} members, {chosen.seeds} seeds, interval 1 s: ms to detect (median/most), false deaths a member and hour"
    )
    for way, rows in found.items():
        cells = (f"{median:6.0f}/{most:6.0f} {wrong:7.2f}" for median, most, wrong in rows)
        print(
            f"  {way:11}" + "  ".join(f"{loss:.0%}: {cell}" for loss, cell in zip(losses, cells, strict=True))
        )
    print(
        "trouble for 2 minutes: false deaths a member and hour, bytes/s for each member, ms until views agree after it"
    )
    for what in ("pauses", "one-sided", "split"):
        for way in WAYS:
            wrong, cost, agreed = trouble(way, chosen.members, what)
            print(f"  {what:9} {way:11} {wrong:8.2f} {cost:8.0f} {agreed:8.0f}")
    print(f"bytes/s for each of {chosen.large} members at rest, over 10 s")
    for way in WAYS:
        fleet = Fleet(chosen.large, 1, WAYS[way][1], make=WAYS[way][0])
        fleet.run(14_000.0)
        print(f"  {way:11} {rate(fleet, 9000.0):8.0f}  largest datagram {fleet.largest}")
    if chosen.plot:
        plot(chosen.plot, losses, found)


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
        axes.legend()
    figure.suptitle("Simulated: membership against loss")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    main()
