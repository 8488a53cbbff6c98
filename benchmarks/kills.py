"""Whole gateways killed at random points of change cycles: what they serve after each kill, against what their trails say.

python benchmarks/kills.py [--kills 500] [--workers 6]

Each round starts a gateway process, asks it for its version all the while, and an editor proposes, stages (at once, on trial, for
an instant), confirms and undoes beside it; then the process is killed with SIGKILL. Wrong is: a start that is refused, a trail whose
chain does not hold, a start that serves another version than the trail leaves it at, a version reported applied for good that is
gone without an entry that says why, and an answer under a version that was not in service.
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
KEPT = 12  # versions, so that old ones are moved out as well


def settings(folder: Path) -> str:
    """The embedded settings, at ports of the system's, with a folder of changes and no list service."""
    text = resources.files("winchdyke.config").joinpath("defaults.ini").read_text()
    text = text.replace("[gateway]\n", f"[gateway]\nport_file = {folder}/port\n", 1)
    lines = [line for line in text.splitlines() if not line.startswith("port_file =") or str(folder) in line]
    return "\n".join(lines) + f"\n[changes]\nfolder = {folder}/changes\nkeep = {KEPT}\nclocks_apart = 50ms\n"


class Killed:
    """One gateway's rounds."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder, self.draw = folder, random.Random(seed)
        self.file = folder / "g.ini"
        self.file.write_text(settings(folder))
        self.wrong: list[str] = []
        self.counts: Counter[str] = Counter()

    def start(self) -> subprocess.Popen[bytes] | None:
        """A gateway that answers; None where it was refused."""
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
        """The version of one answer; 0 where there was none."""
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

    def edit(self, trail: ChangeLog) -> None:
        """One step of an editor."""
        operations = ChangeOperations(trail, "editor", "here")
        try:
            what = self.draw.choice(("set", "set", "set", "undo", "confirm"))
            if what == "undo":
                operations.execute(Undo())
            elif what == "confirm":
                operations.execute(Confirm())
            else:
                weight = f"weight={self.draw.randrange(1, 1_000_000)}"
                made = operations.execute(Set("plan", self.draw.choice(("school", "contest")), [weight]))
                at = time.time() * 1000 + 150 if self.draw.random() < 0.3 else 0.0
                within = self.draw.choice((0.0, 0.0, 200.0))
                operations.execute(Stage(made["version"], at_ms=at, confirm_within_ms=within))
            self.counts[what] += 1
        except OperationError as error:
            self.counts["no " + error.code] += 1

    def round(self) -> bool:
        """Start, edit, kill; False where the start was refused."""
        changes = self.folder / "changes"
        before = ChangeLog(changes).state() if changes.exists() else RolloutState()
        last = ChangeLog(changes).last_seq() if changes.exists() else 0
        process = self.start()
        if process is None:
            self.wrong.append("a start was refused: " + (self.folder / "log").read_text()[-500:])
            return False
        try:
            trail = ChangeLog(changes)
            steps, _ = recover(before)
            due = before
            for step in steps:
                due = due.advance(step)
            first = self.version()
            mine = {entry.version for entry in trail.entries_after(last)} | {due.serving, before.serving}
            if last and first not in mine:
                self.wrong.append(f"version {first} after a start; the trail leaves it at {due.serving}")
            seen: set[int] = set()
            stop = threading.Event()

            def ask() -> None:
                while not stop.is_set():
                    seen.add(self.version())

            asking = threading.Thread(target=ask)
            asking.start()
            for _ in range(self.draw.randrange(1, 4)):
                self.edit(trail)
                time.sleep(self.draw.uniform(0.0, 0.3))
            reported = trail.state()
            process.send_signal(signal.SIGKILL)
            process.wait()
            stop.set()
            asking.join()
        finally:
            if process.poll() is None:
                process.kill()
                process.wait()
        self._check(trail, reported, seen, last)
        return True

    def _check(self, trail: ChangeLog, reported: RolloutState, seen: set[int], last: int) -> None:
        self.counts["kills"] += 1
        self.wrong += trail.verify(archives=True)
        entries = [*trail.archived_entries(), *trail.entries()]
        served = {e.version for e in entries if e.action in ("applying", "applied", "undoing", "undone")}
        if strange := seen - served - {0}:
            self.wrong.append(f"answers under versions {strange} that were never in service")
        after = trail.state()
        self.counts["cut while applying"] += bool(after.applying)
        good = reported.serving and not reported.confirm_by_ms and not reported.applying
        if good and after.serving != reported.serving and not after.applying:
            said = [e for e in entries if e.action in ("applied", "undone") and e.version == after.serving]
            if not said:
                self.wrong.append(
                    f"version {reported.serving} was reported applied, and {after.serving} is served"
                )


def run(folder: Path, seed: int, kills: int) -> Killed:
    """So many kills of one gateway."""
    killed = Killed(folder, seed)
    for _ in range(kills):
        if not killed.round():
            break
    return killed


def main() -> None:
    """Run, and print what was wrong."""
    asked = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    asked.add_argument("--kills", type=int, default=500)
    asked.add_argument("--workers", type=int, default=6)
    given = asked.parse_args()
    counts: Counter[str] = Counter()
    wrong: list[str] = []
    with tempfile.TemporaryDirectory() as where, ThreadPoolExecutor(given.workers) as pool:
        jobs = []
        for number in range(given.workers):
            folder = Path(where) / str(number)
            folder.mkdir()
            each = given.kills // given.workers + (number < given.kills % given.workers)
            jobs.append(pool.submit(run, folder, number, each))
        for job in jobs:
            counts += job.result().counts
            wrong += job.result().wrong
    print(", ".join(f"{name} {count}" for name, count in sorted(counts.items())))
    print(f"{len(wrong)} wrong")
    for text in wrong[:20]:
        print(" ", text)
    raise SystemExit(bool(wrong))


if __name__ == "__main__":
    main()
