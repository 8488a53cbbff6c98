"""Gateway, pass-through and store in one run: requests a second, added latency, CPU, MB/s, memory.

The three are measured in turn, round after round, and compared within a round: machines are shared and noisy, so
only the ratios of one run say anything. Loopback only; about two minutes.

    python benchmarks/gateway.py [--rounds N] [--seconds S] [--json FILE]
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio

from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record

HERE = Path(__file__).parent
STORES, CONNECTIONS, MIB, MOVES = 4, 32, 64, 4
SETTINGS = """
[gateway]
name = bench
listen = 127.0.0.1:0
log = {log}
port_file = {port_file}
[nodes]
list = http://127.0.0.1:{list_port}/nodes
[limits]
body_total = 4GiB
[rules]
max_attempts = 3
max_retry_after = 500ms
[class fetch]
operations = get head list
worth = 2
aim = 400ms
deadline = 3s
effect = idempotent
[class submit]
operations = put post delete
worth = 3
aim = 500ms
deadline = 3s
effect = keyed
memory = 4s
writes = yes
[plan plain]
usual_rate = 10000
reserve = 10000
[volume *]
plan = plain
shards = 0-{last}
"""


def started(*command: str) -> tuple[subprocess.Popen, int]:
    """A Python process of ours, and the port it prints."""
    process = subprocess.Popen(
        [sys.executable, *command], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    assert process.stdout is not None
    return process, int(process.stdout.readline())


def cpu_s(pid: int) -> float:
    """CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mib(pid: int) -> float:
    """Resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def lean(*words: object) -> dict:
    """Run a lean client to its end."""
    done = subprocess.run(
        [sys.executable, str(HERE / "lean.py"), *map(str, words)], capture_output=True, text=True, check=True
    )
    return json.loads(done.stdout)


class Target:
    """What is loaded: its port and, where its CPU is counted, its process."""

    def __init__(self, name: str, port: int, pid: int | None) -> None:
        self.name, self.port, self.pid = name, port, pid

    def throughput(self, seconds: float) -> dict:
        """Closed loop."""
        before = cpu_s(self.pid) if self.pid else 0.0
        found = lean("load", "127.0.0.1", self.port, "closed", CONNECTIONS, seconds, "/v/k-")
        found["cpu_us"] = (cpu_s(self.pid) - before) * 1e6 / found["requests"] if self.pid else 0.0
        return found

    def latency(self, rate: float, seconds: float) -> dict:
        """Open loop."""
        return lean("load", "127.0.0.1", self.port, "open", rate, seconds, "/v/k-")

    def move(self, how: str) -> tuple[dict, float, float]:
        """A large object, and the memory before and at the most while it streams."""
        before = peak = memory_mib(self.pid) if self.pid else 0.0
        words = ["move", "127.0.0.1", str(self.port), how, str(MIB), str(MOVES), "/v/"]
        process = subprocess.Popen(
            [sys.executable, str(HERE / "lean.py"), *words], stdout=subprocess.PIPE, text=True
        )
        while process.poll() is None:
            peak = max(peak, memory_mib(self.pid)) if self.pid else 0.0
            time.sleep(0.02)
        assert process.stdout is not None
        return json.loads(process.stdout.read()), before, peak


def measured(targets: list[Target], rounds: int, seconds: float) -> dict:
    """All figures, by name of what was measured and of the target."""
    found: dict[str, dict[str, list[float]]] = {}

    def note(what: str, target: Target, value: float) -> None:
        found.setdefault(what, {}).setdefault(target.name, []).append(value)

    for target in targets:
        target.throughput(1.0)  # warm-up
    for _ in range(rounds):
        for target in targets:
            run = target.throughput(seconds)
            note("requests/s", target, run["per_s"])
            note("answers that were errors", target, run["bad"])
            note("CPU us a request", target, run["cpu_us"])
        half = found["requests/s"]["gateway"][-1] / 2
        for target in targets:
            run = target.latency(half, seconds)
            note("p50 ms at half load", target, run["p50"])
            note("p99 ms at half load", target, run["p99"])
            note("answers that were errors", target, run["bad"])
        for how in ("get", "put"):
            for target in targets:
                run, before, peak = target.move(how)
                note(f"MB/s {how} {MIB} MiB", target, run["mb_per_s"])
                note(f"MiB of memory more, {how}", target, peak - before)
                note("answers that were errors", target, run["bad"])
    return found


def told(found: dict) -> list[str]:
    """The figures as lines: medians, and ratios taken round by round."""
    lines = [f"{'':28} {'store':>10} {'pass':>10} {'gateway':>10}  gateway/pass (min-max)"]
    for what, by in found.items():
        medians = [statistics.median(by[name]) for name in ("store", "pass", "gateway")]
        ratios = [a / b for a, b in zip(by["gateway"], by["pass"], strict=True) if b]
        ratio = f"{statistics.median(ratios):.2f} ({min(ratios):.2f}-{max(ratios):.2f})" if ratios else "-"
        if what == "answers that were errors":
            medians, ratio = [float(sum(by[name])) for name in ("store", "pass", "gateway")], "sums"
        lines.append(f"{what:28} " + " ".join(f"{value:10.2f}" for value in medians) + f"  {ratio}")
    for name in ("p50", "p99"):
        by = found[f"{name} ms at half load"]
        added = [a - b for a, b in zip(by["gateway"], by["store"], strict=True)]
        over = [a - b for a, b in zip(by["gateway"], by["pass"], strict=True)]
        lines.append(
            f"{name} added at half load: {statistics.median(added):.2f} ms over the store, "
            f"{statistics.median(over):.2f} ms over the pass-through"
        )
    return lines


async def run(rounds: int, seconds: float, log: str, where: Path) -> dict:
    processes: list[subprocess.Popen] = []
    try:
        stores = [started(str(HERE / "lean.py"), "store") for _ in range(STORES)]
        processes += [process for process, _ in stores]
        ports = [port for _, port in stores]
        passing, pass_port = started(str(HERE / "passthrough.py"), *map(str, ports))
        processes.append(passing)
        async with anyio.create_task_group() as group:
            listing = ListService(Record())
            await listing.start(group)
            for shard, port in enumerate(ports):
                await listing.set(f"127.0.0.1:{port}", "ready", shard, "hall")
            port_file, settings = where / "port", where / "bench.ini"
            settings.write_text(
                SETTINGS.format(port_file=port_file, list_port=listing.port, last=STORES - 1, log=log)
            )
            command = [sys.executable, "-m", "winchdyke", "serve", "-c", str(settings)]
            with (where / "gateway.log").open("wb") as out:
                gateway = subprocess.Popen(command, stdout=out, stderr=out)
            processes.append(gateway)
            while not port_file.exists():
                await anyio.sleep(0.02)
            port = int(port_file.read_text().strip().rpartition(":")[2])
            await anyio.sleep(0.3)
            targets = [
                Target("store", ports[0], None), Target("pass", pass_port, passing.pid), Target("gateway", port, gateway.pid),
            ]  # fmt: skip
            found = await anyio.to_thread.run_sync(measured, targets, rounds, seconds)
            group.cancel_scope.cancel()
        return found
    finally:
        for process in processes:
            process.kill()


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--rounds", type=int, default=5)
    words.add_argument("--seconds", type=float, default=3.0)
    words.add_argument("--log", choices=("json", "none"), default="json")
    words.add_argument("--json", type=Path)
    chosen = words.parse_args()
    with tempfile.TemporaryDirectory(prefix="winchdyke-bench-") as where:
        found = anyio.run(run, chosen.rounds, chosen.seconds, chosen.log, Path(where))
    print("\n".join(told(found)))
    if chosen.json:
        chosen.json.write_text(json.dumps(found))


if __name__ == "__main__":
    main()
