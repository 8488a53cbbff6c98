"""Kills gateway processes at random points of change cycles, and checks what they serve after each kill against their change logs.

python benchmarks/kills.py [--kills 500] [--workers 6]

In each round a gateway process is started and its version is requested continuously, while an editor proposes, confirms and undoes
versions, and stages them: at once or for a set time, some with a time limit for the confirmation. Then the process is killed with
SIGKILL. Faults are: a gateway that does not start, a change log whose hash chain does not verify, a start that serves another
version than the change log records, a version that was reported as finally applied and is no longer served without an entry that
explains it, and a response under a version that was never served.
"""

from __future__ import annotations

import argparse
import http.client
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from importlib import resources
from pathlib import Path

from winchdyke.config_rollout.change_log import ChangeLog
from winchdyke.config_rollout.operations import ChangeOperations, Confirm, OperationError, Set, Stage, Undo
from winchdyke.config_rollout.rollout_state import RolloutState, recover

START_S = 30.0
RETAINED_VERSIONS = 12  # few, so that old versions are archived during the run


def settings(folder: Path) -> str:
    """Return the embedded settings with ports chosen by the system, a folder for the change log, and no list service."""
    text = resources.files("winchdyke.config").joinpath("defaults.ini").read_text()
    text = text.replace("[gateway]\n", f"[gateway]\nport_file = {folder}/port\n", 1)
    lines = [line for line in text.splitlines() if not line.startswith("port_file =") or str(folder) in line]
    return (
        "\n".join(lines)
        + f"\n[changes]\nfolder = {folder}/changes\nkeep = {RETAINED_VERSIONS}\nclocks_apart = 50ms\n"
    )


class KillRounds:
    """Starts, edits and kills one gateway, and collects the faults."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder, self.draw = folder, random.Random(seed)
        self.file = folder / "g.ini"
        self.file.write_text(settings(folder))
        self.faults: list[str] = []
        self.counts: Counter[str] = Counter()

    def start(self) -> subprocess.Popen[bytes] | None:
        """Start the gateway and wait until it listens; returns None if it does not."""
        port = self.folder / "port"
        port.unlink(missing_ok=True)
        log = open(self.folder / "log", "ab")  # noqa: SIM115
        process = subprocess.Popen(
            [sys.executable, "-m", "winchdyke", "serve", "-c", str(self.file)], stdout=log, stderr=log
        )
        log.close()
        until = time.monotonic() + START_S
        while not port.exists() and process.poll() is None and time.monotonic() < until:
            time.sleep(0.01)
        if port.exists():
            return process
        process.kill()
        process.wait()
        return None

    def version(self) -> int:
        """Return the version of one response; 0 without a response."""
        try:
            host, _, number = (self.folder / "port").read_text().strip().rpartition(":")
            connection = http.client.HTTPConnection(host, int(number), timeout=2)
            connection.request("GET", "/school-1/k", headers={"winchdyke-time-left": "50ms"})
            answer = connection.getresponse()
            answer.read()
            connection.close()
            return int(answer.getheader("winchdyke-version") or 0)
        except (OSError, ValueError, http.client.HTTPException):
            return 0

    def edit(self, change_log: ChangeLog) -> None:
        """Carry out one random operation."""
        operations = ChangeOperations(change_log, "editor", "here")
        try:
            operation = self.draw.choice(("set", "set", "set", "undo", "confirm"))
            if operation == "undo":
                operations.execute(Undo())
            elif operation == "confirm":
                operations.execute(Confirm())
            else:
                weight = f"weight={self.draw.randrange(1, 1_000_000)}"
                proposed = operations.execute(Set("plan", self.draw.choice(("school", "contest")), [weight]))
                at = time.time() * 1000 + 150 if self.draw.random() < 0.3 else 0.0
                within = self.draw.choice((0.0, 0.0, 200.0))
                operations.execute(Stage(proposed["version"], at_ms=at, confirm_within_ms=within))
            self.counts[operation] += 1
        except OperationError as error:
            self.counts["no " + error.code] += 1

    def round(self) -> bool:
        """Start, edit and kill the gateway, and check the result; returns False if the gateway did not start."""
        changes = self.folder / "changes"
        before = ChangeLog(changes).state() if changes.exists() else RolloutState()
        last = ChangeLog(changes).last_seq() if changes.exists() else 0
        process = self.start()
        if process is None:
            self.faults.append("the gateway did not start: " + (self.folder / "log").read_text()[-500:])
            return False
        try:
            change_log = ChangeLog(changes)
            steps, _ = recover(before)
            due = before
            for step in steps:
                due = due.advance(step)
            first = self.version()
            allowed = {entry.version for entry in change_log.entries_after(last)} | {
                due.serving,
                before.serving,
            }
            if last and first not in allowed:
                self.faults.append(f"version {first} after a start; the change log records {due.serving}")
            observed: set[int] = set()
            stop = threading.Event()

            def poll() -> None:
                while not stop.is_set():
                    observed.add(self.version())

            poller = threading.Thread(target=poll)
            poller.start()
            for _ in range(self.draw.randrange(1, 4)):
                self.edit(change_log)
                time.sleep(self.draw.uniform(0.0, 0.3))
            reported = change_log.state()
            process.send_signal(signal.SIGKILL)
            process.wait()
            stop.set()
            poller.join()
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()
        self._check(change_log, reported, observed, last)
        return True

    def _check(self, change_log: ChangeLog, reported: RolloutState, observed: set[int], last: int) -> None:
        self.counts["kills"] += 1
        self.faults += change_log.verify(archives=True)
        entries = [*change_log.archived_entries(), *change_log.entries()]
        served = {e.version for e in entries if e.action in ("applying", "applied", "undoing", "undone")}
        if never_served := observed - served - {0}:
            self.faults.append(f"responses under versions {never_served} that were never served")
        after = change_log.state()
        self.counts["cut while applying"] += bool(after.applying)
        is_final = reported.serving and not reported.confirm_by_ms and not reported.applying
        if is_final and after.serving != reported.serving and not after.applying:
            explaining = [
                e for e in entries if e.action in ("applied", "undone") and e.version == after.serving
            ]
            if not explaining:
                self.faults.append(
                    f"version {reported.serving} was reported applied, and {after.serving} is served"
                )


def run(folder: Path, seed: int, kills: int) -> KillRounds:
    """Kill one gateway a number of times, and stop early if it does not start."""
    rounds = KillRounds(folder, seed)
    for _ in range(kills):
        if not rounds.round():
            break
    return rounds


def main() -> None:
    """Run all workers and print the counts and faults."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--kills", type=int, default=500)
    parser.add_argument("--workers", type=int, default=6)
    arguments = parser.parse_args()
    counts: Counter[str] = Counter()
    faults: list[str] = []
    with tempfile.TemporaryDirectory() as where, ThreadPoolExecutor(arguments.workers) as pool:
        jobs = []
        for number in range(arguments.workers):
            folder = Path(where) / str(number)
            folder.mkdir()
            each = arguments.kills // arguments.workers + (number < arguments.kills % arguments.workers)
            jobs.append(pool.submit(run, folder, number, each))
        for job in jobs:
            counts += job.result().counts
            faults += job.result().faults
    print(", ".join(f"{name} {count}" for name, count in sorted(counts.items())))
    print(f"{len(faults)} faults")
    for text in faults[:20]:
        print(" ", text)
    raise SystemExit(bool(faults))


if __name__ == "__main__":
    main()
