"""Membership on processes with one defence taken out at a time: what tells, on a day that needs the defence.

    python benchmarks/membership_mutants.py [NAME ...] [--seed 1] [--jobs 2] [--gateways 8]

Each day is played twice, with the gateways as they are and with all of them mutants. Told: the judge's verdict, and by the
gateways' own lines how often one that ran and could be reached was dead in a view, how often one was suspected by a gateway on its own
word, and how often a gateway that had slept did so within an interval of its return. Gateways are real processes.
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
from winchdyke.days.members import bounds_of, stops
from winchdyke.days.script import Event
from winchdyke.membership.datagrams import MemberRecord, MemberState, MessageKind
from winchdyke.membership.local_health import LocalHealth
from winchdyke.membership.log_events import log_event
from winchdyke.membership.probing import Prober
from winchdyke.membership.refutation import Refutation
from winchdyke.membership.swim import SwimProtocol

FAULTS_MS, CALM_MS = 12_000.0, 15_000.0  # of trouble, and after it for views to agree


def without_refutation() -> None:
    """A suspected process says nothing."""
    Refutation.handle_record = lambda self, record, reporter: None  # type: ignore[method-assign,assignment]


def without_incarnations() -> None:
    """A suspected process answers under the incarnation that is suspected."""
    before = Refutation.handle_record

    def handle_record(self: Refutation, record: MemberRecord, reporter: str) -> None:
        context = self._context
        if (
            record.generation != context.generation
            or record.state == MemberState.ALIVE
            or record.incarnation < context.incarnation
        ):
            before(self, record, reporter)
            return
        context.gossip.enqueue(context.local_record())
        context.send(reporter, MessageKind.PING, context.new_request_id())

    Refutation.handle_record = handle_record  # type: ignore[method-assign]


def without_indirect_probes() -> None:
    """No other member is asked to probe, and TCP is not used."""
    Prober.request_indirect_probes = lambda self, probe: None  # type: ignore[method-assign,assignment]


def without_local_health() -> None:
    """A process that misses acks keeps its probe interval and timeouts."""
    LocalHealth.degrade = lambda self, by=1: None  # type: ignore[method-assign,assignment]


def without_pause_detection() -> None:
    """A process that was paused takes what it missed for silence."""
    SwimProtocol._handle_pause = lambda self, paused_ms: None  # type: ignore[method-assign,assignment]


def _day(seed: int, gateways: int, events: list[Event]) -> script.Day:
    day = script.fleet_day(seed, FAULTS_MS + CALM_MS, gateways)
    return msgspec.structs.replace(day, events=events, zones=1)


def stopped(seed: int, gateways: int) -> script.Day:
    """Two stand still for longer than any suspicion, and go on."""
    return _day(seed, gateways, [Event("gateway-stop", 1000.0, 6000.0, [n]) for n in (0, 1)])


def deaf(seed: int, gateways: int) -> script.Day:
    """One and half of the others do not hear each other; the rest hear all."""
    some = list(range(1 + gateways // 2))
    return _day(seed, gateways, [Event("link", 500.0, FAULTS_MS - 500.0, some, 0.0, "apart")])


def hears_nothing(seed: int, gateways: int) -> script.Day:
    """One hears nobody for 3 s, three times: its own ears fail, and not the others."""
    times = [Event("link", 500.0 + 4500.0 * n, 3000.0, [0], 0.0, "deaf") for n in range(3)]
    return _day(seed, gateways, times)


def naps(seed: int, gateways: int) -> script.Day:
    """Two are stopped for 0.9 s again and again, while a fifth of all datagrams is lost."""
    loss = Event("link", 500.0, FAULTS_MS - 500.0, [], 0.2, "loss")
    return _day(
        seed,
        gateways,
        [loss, *(Event("gateway-stop", 1000.0 + 1500.0 * n, 900.0, [n % 2]) for n in range(7))],
    )


@dataclass(frozen=True)
class Mutant:
    """A defence taken out, and a day that needs it."""

    remove: Callable[[], None]
    day: Callable[[int, int], script.Day]


MUTANTS = {
    "refutation": Mutant(without_refutation, stopped),
    "incarnations": Mutant(without_incarnations, stopped),
    "indirect": Mutant(without_indirect_probes, deaf),
    "health": Mutant(without_local_health, hears_nothing),
    "sleep": Mutant(without_pause_detection, naps),
}


@dataclass(frozen=True)
class Told:
    """What a play shows."""

    kept: bool
    why: str
    dead: int  # turns to dead, in any view, of members that could be reached
    suspected: int  # by a gateway, on its own word
    on_waking: int  # of these, within an interval of the end of a stop of the gateway that says so

    def __str__(self) -> str:
        word = "kept" if self.kept else "BROKEN"
        return f"{word:6} dead {self.dead:3}  suspected {self.suspected:3}  on waking {self.on_waking:2}  {self.why}"


def play(name: str, taken_out: bool, seed: int, gateways: int) -> Told:
    """One day, as it is or with the defence out."""
    from winchdyke.days.run import PROGRAM, run_day

    day = MUTANTS[name].day(seed, gateways)
    program = (str(Path(__file__).resolve()), "--as", name) if taken_out else PROGRAM
    with tempfile.TemporaryDirectory() as folder:
        where = Path(folder) / "day"
        verdict, seen, _ = run_day(day, where, program=program)
        members = verdict.members
        assert members is not None
        offset = next(each["unix_ms"] - each["t"] for each in seen if each["what"] == "clock")
        interval, halts = bounds_of(day).probe_interval_ms, stops(seen)
        suspected, waking = 0, 0
        for gateway in (f"gateway-{n}" for n in range(gateways)):
            for at, row in _suspicions(where / f"{gateway}.log", offset):
                if str(row.get("text", "")).startswith(f"by {gateway},"):
                    suspected += 1
                    waking += any(until <= at < until + interval for _, until in halts[gateway])
        why = members.broken[0][1] if members.broken else ""
        return Told(members.kept, why, members.tried[0], suspected, waking)


def _played(job: tuple[str, bool, int, int]) -> Told:
    return play(*job)


def _suspicions(log: Path, offset: float) -> list[tuple[float, dict[str, Any]]]:
    wanted = log_event("suspect", "any")
    found = []
    for line in log.read_bytes().splitlines():
        try:
            row = json.loads(line)
        except ValueError:
            continue
        if isinstance(row, dict) and row.get("event") == wanted and "timestamp" in row:
            found.append((row["timestamp"] * 1000 - offset, row))
    return found


def serve_as(name: str, arguments: list[str]) -> None:
    """Be the gateway with a defence out."""
    from winchdyke.cli.main import main as command

    MUTANTS[name].remove()
    command(arguments, prog_name="winchdyke")


def main() -> None:
    if sys.argv[1:2] == ["--as"]:
        serve_as(sys.argv[2], sys.argv[3:])
        return
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("names", nargs="*", choices=[*MUTANTS, []], default=[])
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--gateways", type=int, default=8)
    words.add_argument("--jobs", type=int, default=2)
    chosen = words.parse_args()
    names = chosen.names or list(MUTANTS)
    jobs = [(name, out, chosen.seed, chosen.gateways) for name in names for out in (False, True)]
    with ProcessPoolExecutor(chosen.jobs) as pool:
        for (name, out, *_), told in zip(jobs, pool.map(_played, jobs), strict=True):
            print(f"{name:13}{'taken out' if out else 'as it is':10} {told}", flush=True)


if __name__ == "__main__":
    main()
