"""Compares membership with plain SWIM, heartbeats and phi accrual in virtual time, under datagram loss, pauses, partitions, drift.

    python -m benchmarks.membership_variants [--members 24] [--seeds 3] [--large 250] [--plot docs/figures/members.png]

All figures are simulated: the real protocol on the model's network (winchdyke/model/fleet.py). For each variant: ms until a killed
member is dead in every view (median and maximum over seeds), false deaths per member and hour, bytes per second that a member sends
at rest and during faults, and ms until all views agree after a partition.
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

HOUR_MS = 3_600_000.0
LOSS_FRACTIONS = (0.0, 0.1, 0.2, 0.3, 0.4)
DRIFT_FRACTIONS = (0.0, 0.01, 0.05)
MAX_MISSED_HEARTBEATS = 5.0  # intervals
# Phi accrual (Hayashibara et al., 2004): the threshold, window and minimum deviation that later systems adopted.
PHI_DEAD = 8.0
PHI_WINDOW = 200
PHI_MIN_DEVIATION_FRACTION = 0.1  # of the probe interval


class PlainProber(Prober):
    """Plain SWIM: sends ping-reqs, also to suspects, and does not contact targets over TCP."""

    def request_indirect_probes(self, probe: Probe) -> None:
        members = self._context.table.active_members()
        self.send_ping_reqs(probe, [member for member in members if member.name != probe.target])


class PlainSuspicion(SuspicionMonitor):
    """Declares a suspect dead at the timeout, whatever was received meanwhile."""

    def expire(self, member: Member) -> None:
        self._set_state(member, MemberState.DEAD)


class PlainSwim(SwimProtocol):
    """SWIM with suspicion, but without Lifeguard, pause detection, direct evidence and probes over TCP."""

    suspicion_type = PlainSuspicion
    prober_type = PlainProber

    def _handle_pause(self, paused_ms: float) -> None:
        pass


class AliveGossip(Dissemination):
    """Accepts only reports of alive members from others."""

    def apply(self, record: MemberRecord, reporter: str) -> None:
        if reporter == self._context.local.name or record.state == MemberState.ALIVE:
            super().apply(record, reporter)


class Heartbeats(SwimProtocol):
    """A heartbeat to every member per interval; a member is dead after five silent intervals, by direct evidence only."""

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
    """Heartbeats with a history per link: a member is dead when a heartbeat this late has a probability of 10^-8."""

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
        elapsed_ms = self.context.now - max(self._last_heartbeat_ms[member.name], member.state_since_ms)
        probability = 0.5 * math.erfc((elapsed_ms - mean) / deviation / math.sqrt(2))
        return probability < 10.0**-PHI_DEAD


PLAIN_CONFIG = replace(
    SwimConfig(), max_local_health_score=0, max_suspicion_factor=1.0, direct_evidence_intervals=-1.0
)
VARIANTS: dict[str, tuple[type[SwimProtocol], SwimConfig]] = {
    "as it is": (SwimProtocol, SwimConfig()),
    "plain SWIM": (PlainSwim, PLAIN_CONFIG),
    "heartbeats": (Heartbeats, SwimConfig()),
    "phi accrual": (PhiAccrual, SwimConfig()),
}


def settled_fleet(variant: str, members: int, seed: int, zones: int = 1, drift: float = 0.0) -> Fleet:
    """Returns a fleet whose views have converged and that has run for another 10 s."""
    make, config = VARIANTS[variant]
    fleet = Fleet(members, seed, config, zones=zones, make=make, drift=drift)
    fleet.run(3000.0)
    fleet.until_agreed(30_000.0)
    fleet.run(fleet.now + 10_000.0)
    return fleet


def false_deaths(fleet: Fleet, since: float) -> int:
    """Returns the number of transitions to dead of running members, in all views."""
    return sum(
        transition.at >= since and transition.state == "dead" and transition.member in fleet.processes
        for transition in fleet.transitions
    )


def mean_bytes_per_second(fleet: Fleet, since: float) -> float:
    """Returns the mean number of bytes per second that a member sent."""
    rates = fleet.bytes_per_second(since, fleet.now)
    return sum(rates) / len(rates)


def measure_detection(
    variant: str, members: int, seeds: int, loss: float, drift: float = 0.0, length_ms: float = 120_000.0
) -> tuple[float, float, float]:
    """Returns ms to detect a kill (median, maximum) and false deaths per member and hour, at a loss and a clock drift."""
    detection_ms, deaths, hours = list[float](), 0, 0.0
    for seed in range(seeds):
        fleet = settled_fleet(variant, members, seed, drift=drift)
        fleet.links.loss = loss
        since = fleet.now
        fleet.run(since + length_ms)
        deaths += false_deaths(fleet, since)
        hours += members * length_ms / HOUR_MS
        killed_at_ms = fleet.now
        fleet.kill("g1")
        while fleet.now < killed_at_ms + 60_000.0 and not _death_is_known_to_all(fleet, killed_at_ms, "g1"):
            fleet.run(fleet.now + 500.0)
        times_ms = [
            transition.at - killed_at_ms
            for transition in fleet.transitions
            if transition.at >= killed_at_ms and transition.member == "g1" and transition.state == "dead"
        ]
        detection_ms.append(
            max(times_ms) if _death_is_known_to_all(fleet, killed_at_ms, "g1") else float("inf")
        )
    return statistics.median(detection_ms), max(detection_ms), deaths / hours


def _death_is_known_to_all(fleet: Fleet, since: float, member: str) -> bool:
    """Whether every view has declared a member dead since a time."""
    viewers = {
        transition.viewer
        for transition in fleet.transitions
        if transition.at >= since and transition.member == member and transition.state == "dead"
    }
    return viewers >= set(fleet.processes)


def measure_faults(variant: str, members: int, fault: str) -> tuple[float, float, float]:
    """Returns false deaths per member and hour, bytes per second during faults, and ms until views agree afterwards."""
    fleet = settled_fleet(variant, members, 5, zones=2)
    since = fleet.now
    if fault == "pauses":
        for n in range(12):
            for name in fleet.names[:3]:
                fleet.at(since + 10_000.0 * n, lambda name=name: fleet.pause(name, 4000.0))
    elif fault == "one-sided":
        fleet.links.cut = {("g0", name) for name in fleet.names[1 : members // 2]}
    else:
        sides = [[n for n in fleet.names if fleet.zones[n] == zone] for zone in ("zone-0", "zone-1")]
        fleet.links.cut = {(a, b) for a in sides[0] for b in sides[1]} | {
            (b, a) for a in sides[0] for b in sides[1]
        }
    fleet.run(since + 120_000.0)
    deaths, bytes_per_second = (
        false_deaths(fleet, since) / (members * 120_000.0 / HOUR_MS),
        mean_bytes_per_second(fleet, since),
    )
    fleet.links = Links()
    agreed = fleet.until_agreed(120_000.0)
    return deaths, bytes_per_second, float("inf") if agreed is None else agreed


def _detection_job(job: tuple[str, int, int, float, float, float]) -> tuple[float, float, float]:
    return measure_detection(*job)


def _faults_job(job: tuple[str, int, str]) -> tuple[float, float, float]:
    return measure_faults(*job)


def _rate_at_rest(variant: str, members: int) -> tuple[float, int]:
    fleet = Fleet(members, 1, VARIANTS[variant][1], make=VARIANTS[variant][0])
    fleet.run(14_000.0)
    return mean_bytes_per_second(fleet, 9000.0), fleet.largest_datagram


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--members", type=int, default=24)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--large", type=int, default=250)
    parser.add_argument("--length", type=float, default=120.0, help="seconds of loss before the kill")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--only", choices=("loss", "drift", "trouble", "rest"))
    parser.add_argument("--ways", nargs="+", choices=list(VARIANTS), default=list(VARIANTS))
    parser.add_argument("--plot")
    arguments = parser.parse_args()
    members, seeds, length_ms, variants = (
        arguments.members,
        arguments.seeds,
        1000 * arguments.length,
        arguments.ways,
    )
    selected = {arguments.only} if arguments.only else {"loss", "drift", "trouble", "rest"}
    with ProcessPoolExecutor(arguments.jobs) as pool:
        if "loss" in selected:
            jobs = [
                (variant, members, seeds, loss, 0.0, length_ms)
                for variant in variants
                for loss in LOSS_FRACTIONS
            ]
            results = list(pool.map(_detection_job, jobs))
            results_by_variant = {
                variant: results[len(LOSS_FRACTIONS) * n : len(LOSS_FRACTIONS) * (n + 1)]
                for n, variant in enumerate(variants)
            }
            print(
                f"{members} members, {seeds} seeds, interval 1 s: ms to detect (median/max), false deaths per member and hour"
            )
            for variant, variant_results in results_by_variant.items():
                cells = (
                    f"{median:6.0f}/{most:6.0f} {deaths:7.2f}" for median, most, deaths in variant_results
                )
                print(
                    f"  {variant:11}"
                    + "  ".join(
                        f"{loss:.0%}: {cell}" for loss, cell in zip(LOSS_FRACTIONS, cells, strict=True)
                    ),
                    flush=True,
                )
        if "drift" in selected:
            print("by clock drift, with a fifth of datagrams lost")
            jobs = [("as it is", members, seeds, 0.2, drift, length_ms) for drift in DRIFT_FRACTIONS]
            for drift, (median, most, deaths) in zip(
                DRIFT_FRACTIONS, pool.map(_detection_job, jobs), strict=True
            ):
                print(f"  {drift:.0%}: {median:6.0f}/{most:6.0f} {deaths:7.2f}", flush=True)
        if "trouble" in selected:
            print(
                "faults for 2 minutes: false deaths per member and hour, bytes/s per member, ms until views agree afterwards"
            )
            jobs_with_faults = [
                (variant, members, fault)
                for fault in ("pauses", "one-sided", "split")
                for variant in variants
            ]
            for (variant, _, fault), (deaths, bytes_per_second, agreed) in zip(
                jobs_with_faults, pool.map(_faults_job, jobs_with_faults), strict=True
            ):
                print(
                    f"  {fault:9} {variant:11} {deaths:8.2f} {bytes_per_second:8.0f} {agreed:8.0f}",
                    flush=True,
                )
        if "rest" in selected:
            print(f"bytes/s per member of {arguments.large} at rest, over 5 s")
            for variant, (bytes_per_second, largest) in zip(
                variants, pool.map(_rate_at_rest, variants, [arguments.large] * len(variants)), strict=True
            ):
                print(f"  {variant:11} {bytes_per_second:8.0f}  largest datagram {largest}", flush=True)
    if arguments.plot and "loss" in selected:  # last, since matplotlib may not be installed
        plot(arguments.plot, LOSS_FRACTIONS, results_by_variant)


def plot(
    path: str,
    loss_fractions: tuple[float, ...],
    results_by_variant: dict[str, list[tuple[float, float, float]]],
) -> None:
    """Plots detection times and false deaths against datagram loss."""
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.4))
    for variant, results in results_by_variant.items():
        left.plot(
            [100 * loss for loss in loss_fractions],
            [median / 1000 for median, _, _ in results],
            marker="o",
            label=variant,
        )
        right.plot(
            [100 * loss for loss in loss_fractions],
            [deaths for _, _, deaths in results],
            marker="o",
            label=variant,
        )
    left.set_ylabel("s until a kill is known in every view")
    right.set_ylabel("false deaths per member and hour")
    right.set_yscale("symlog", linthresh=0.1)
    for axes in (left, right):
        axes.set_xlabel("datagrams lost, %")
    right.legend()
    figure.suptitle("Simulated: membership against loss")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    main()
