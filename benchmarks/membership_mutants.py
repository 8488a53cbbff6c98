"""Runs gateway processes with one membership defence removed at a time, on a day with the faults that need this defence.

    python benchmarks/membership_mutants.py [NAME ...] [--seed 1] [--jobs 2] [--gateways 8]

Each day is played twice, with unmodified gateways and with the defence removed from all of them. Printed are the verdict on
the views, the number of deaths of members that ran and were reachable, the number of suspicions that a gateway raised itself,
and how many of these suspicions it raised within a probe interval after the end of its own pause. Gateways are real processes.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from winchdyke.days import script
from winchdyke.days.members import pause_spans, swim_config_of
from winchdyke.days.script import Event
from winchdyke.membership.datagrams import MemberRecord, MemberState, MessageKind
from winchdyke.membership.local_health import LocalHealth
from winchdyke.membership.log_events import log_event
from winchdyke.membership.probing import Prober
from winchdyke.membership.refutation import Refutation
from winchdyke.membership.swim import SwimProtocol

# The duration of the faults, and that of the recovery in which views converge.
FAULTS_MS, RECOVERY_MS = 12_000.0, 15_000.0


def without_refutation() -> None:
    """A suspected process does not refute."""
    Refutation.handle_record = lambda self, record, reporter: None  # type: ignore[method-assign,assignment]


def without_incarnations() -> None:
    """A suspected process answers without raising its incarnation."""
    original = Refutation.handle_record

    def handle_record(self: Refutation, record: MemberRecord, reporter: str) -> None:
        context = self._context
        if (
            record.generation != context.generation
            or record.state == MemberState.ALIVE
            or record.incarnation < context.incarnation
        ):
            original(self, record, reporter)
            return
        context.gossip.enqueue(context.local_record())
        context.send(reporter, MessageKind.PING, context.new_request_id())

    Refutation.handle_record = handle_record  # type: ignore[method-assign]


def without_indirect_probes() -> None:
    """Other members are not asked to probe, and targets are not contacted over TCP."""
    Prober.request_indirect_probes = lambda self, probe: None  # type: ignore[method-assign,assignment]


def without_local_health() -> None:
    """A process that misses acks keeps its probe interval and timeouts."""
    LocalHealth.degrade = lambda self, by=1: None  # type: ignore[method-assign,assignment]


def without_pause_detection() -> None:
    """A process that was paused treats messages missed meanwhile as silence."""
    SwimProtocol._handle_pause = lambda self, paused_ms: None  # type: ignore[method-assign,assignment]


def _day(seed: int, gateways: int, events: list[Event]) -> script.Scenario:
    day = script.fleet_day(seed, FAULTS_MS + RECOVERY_MS, gateways)
    return msgspec.structs.replace(day, events=events, zones=1)


def long_pauses(seed: int, gateways: int) -> script.Scenario:
    """Two gateways are paused for longer than any suspicion timeout, and continue."""
    return _day(seed, gateways, [Event("gateway-stop", 1000.0, 6000.0, [n]) for n in (0, 1)])


def partial_partition(seed: int, gateways: int) -> script.Scenario:
    """One gateway and half of the others can't reach each other; the rest reach all."""
    group = list(range(1 + gateways // 2))
    return _day(seed, gateways, [Event("link", 500.0, FAULTS_MS - 500.0, group, 0.0, "apart")])


def receives_nothing(seed: int, gateways: int) -> script.Scenario:
    """One gateway receives nothing for 3 s, three times: the fault is its own, not that of the others."""
    events = [Event("link", 500.0 + 4500.0 * n, 3000.0, [0], 0.0, "deaf") for n in range(3)]
    return _day(seed, gateways, events)


def short_pauses(seed: int, gateways: int) -> script.Scenario:
    """Two gateways are paused for 0.9 s repeatedly, while a fifth of all datagrams is lost."""
    loss = Event("link", 500.0, FAULTS_MS - 500.0, [], 0.2, "loss")
    return _day(
        seed,
        gateways,
        [loss, *(Event("gateway-stop", 1000.0 + 1500.0 * n, 900.0, [n % 2]) for n in range(7))],
    )


@dataclass(frozen=True)
class Mutant:
    """The removal of a defence, and a day that needs the defence."""

    remove: Callable[[], None]
    day: Callable[[int, int], script.Scenario]


MUTANTS = {
    "refutation": Mutant(without_refutation, long_pauses),
    "incarnations": Mutant(without_incarnations, long_pauses),
    "indirect": Mutant(without_indirect_probes, partial_partition),
    "health": Mutant(without_local_health, receives_nothing),
    "sleep": Mutant(without_pause_detection, short_pauses),
}


@dataclass(frozen=True)
class PlayResult:
    """The result of one day."""

    kept: bool
    why: str
    dead: int  # transitions to dead, in any view, of reachable members
    suspected: int  # suspicions that the viewing gateway raised itself
    suspected_after_pause: int  # suspicions within a probe interval after that gateway's own pause

    def __str__(self) -> str:
        verdict_text = "kept" if self.kept else "BROKEN"
        return (
            f"{verdict_text:6} dead {self.dead:3}  suspected {self.suspected:3}"
            f"  after a pause {self.suspected_after_pause:2}  {self.why}"
        )


def play_day(name: str, removed: bool, seed: int, gateways: int) -> PlayResult:
    """Plays one day, with or without the defence."""
    from winchdyke.days.run import PROGRAM, run_scenario

    day = MUTANTS[name].day(seed, gateways)
    program = (str(Path(__file__).resolve()), "--as", name) if removed else PROGRAM
    with tempfile.TemporaryDirectory() as folder:
        directory = Path(folder) / "day"
        verdict, record, _ = run_scenario(day, directory, program=program)
        members = verdict.members
        assert members is not None
        offset = next(entry["unix_ms"] - entry["t"] for entry in record if entry["what"] == "clock")
        interval, pauses = swim_config_of(day).probe_interval_ms, pause_spans(record)
        suspected, after_pause = 0, 0
        for gateway in (f"gateway-{n}" for n in range(gateways)):
            for at, row in _suspicions(directory / f"{gateway}.log", offset):
                if str(row.get("text", "")).startswith(f"by {gateway},"):
                    suspected += 1
                    after_pause += any(until <= at < until + interval for _, until in pauses[gateway])
        why = members.violations[0][1] if members.violations else ""
        return PlayResult(members.kept, why, members.checked[0], suspected, after_pause)


def _play_job(job: tuple[str, bool, int, int]) -> PlayResult:
    return play_day(*job)


def _suspicions(log: Path, offset: float) -> list[tuple[float, dict[str, Any]]]:
    event_name = log_event("suspect", "any")
    suspicions = []
    for line in log.read_bytes().splitlines():
        try:
            row = json.loads(line)
        except ValueError:
            continue
        if isinstance(row, dict) and row.get("event") == event_name and "timestamp" in row:
            suspicions.append((row["timestamp"] * 1000 - offset, row))
    return suspicions


def serve_as(name: str, arguments: list[str]) -> None:
    """Runs a gateway with a defence removed."""
    from winchdyke.cli.main import main as command

    MUTANTS[name].remove()
    command(arguments, prog_name="winchdyke")


def main() -> None:
    if sys.argv[1:2] == ["--as"]:
        serve_as(sys.argv[2], sys.argv[3:])
        return
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("names", nargs="*", choices=[*MUTANTS, []], default=[])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=8)
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args()
    names = arguments.names or list(MUTANTS)
    jobs = [
        (name, removed, arguments.seed, arguments.gateways) for name in names for removed in (False, True)
    ]
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for (name, removed, *_), result in zip(jobs, pool.map(_play_job, jobs), strict=True):
            print(f"{name:13}{'removed' if removed else 'unchanged':10} {result}", flush=True)


if __name__ == "__main__":
    main()
