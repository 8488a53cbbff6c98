"""Measures gateway, pass-through proxy and store in one run: requests per second, added latency, CPU, MB/s, memory.

The three are measured alternately in several rounds and compared within each round: machines are shared and noisy, so that
only ratios within one run are meaningful. Uses the loopback interface only; takes about two minutes.

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
STORES, CONNECTIONS, OBJECT_MIB, TRANSFERS = 4, 32, 64, 4
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


def start_process(*command: str) -> tuple[subprocess.Popen, int]:
    """Start a Python process of the benchmark; return it and the port that it prints."""
    process = subprocess.Popen(
        [sys.executable, *command], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    assert process.stdout is not None
    return process, int(process.stdout.readline())


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mib(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def run_client(*arguments: object) -> dict:
    """Run a client of ``lean.py`` to its end, and return its results."""
    done = subprocess.run(
        [sys.executable, str(HERE / "lean.py"), *map(str, arguments)],
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(done.stdout)


class Target:
    """A load target: its port, and its process if CPU and memory are measured."""

    def __init__(self, name: str, port: int, pid: int | None) -> None:
        self.name, self.port, self.pid = name, port, pid

    def throughput(self, seconds: float) -> dict:
        """Measure with a closed loop."""
        before = cpu_s(self.pid) if self.pid else 0.0
        results = run_client("load", "127.0.0.1", self.port, "closed", CONNECTIONS, seconds, "/v/k-")
        results["cpu_us"] = (cpu_s(self.pid) - before) * 1e6 / results["requests"] if self.pid else 0.0
        return results

    def latency(self, rate: float, seconds: float) -> dict:
        """Measure with an open loop of ``rate`` requests per second."""
        return run_client("load", "127.0.0.1", self.port, "open", rate, seconds, "/v/k-")

    def transfer(self, method: str) -> tuple[dict, float, float]:
        """Transfer a large object; return the results, and the memory before and at its peak (MiB)."""
        before = peak = memory_mib(self.pid) if self.pid else 0.0
        arguments = ["move", "127.0.0.1", str(self.port), method, str(OBJECT_MIB), str(TRANSFERS), "/v/"]
        process = subprocess.Popen(
            [sys.executable, str(HERE / "lean.py"), *arguments], stdout=subprocess.PIPE, text=True
        )
        while process.poll() is None:
            peak = max(peak, memory_mib(self.pid)) if self.pid else 0.0
            time.sleep(0.02)
        assert process.stdout is not None
        return json.loads(process.stdout.read()), before, peak


def measure(targets: list[Target], rounds: int, seconds: float) -> dict:
    """Return all measured values, by the names of the quantity and of the target."""
    results: dict[str, dict[str, list[float]]] = {}

    def record(quantity: str, target: Target, value: float) -> None:
        results.setdefault(quantity, {}).setdefault(target.name, []).append(value)

    for target in targets:
        target.throughput(1.0)  # warm-up
    for _ in range(rounds):
        for target in targets:
            run = target.throughput(seconds)
            record("requests/s", target, run["per_s"])
            record("answers that were errors", target, run["bad"])
            record("CPU us a request", target, run["cpu_us"])
        half_rate = results["requests/s"]["gateway"][-1] / 2
        for target in targets:
            run = target.latency(half_rate, seconds)
            record("p50 ms at half load", target, run["p50"])
            record("p99 ms at half load", target, run["p99"])
            record("answers that were errors", target, run["bad"])
        for method in ("get", "put"):
            for target in targets:
                run, before, peak = target.transfer(method)
                record(f"MB/s {method} {OBJECT_MIB} MiB", target, run["mb_per_s"])
                record(f"MiB of memory more, {method}", target, peak - before)
                record("answers that were errors", target, run["bad"])
    return results


def format_results(results: dict) -> list[str]:
    """Format the results as lines: medians, and ratios within each round."""
    lines = [f"{'':28} {'store':>10} {'pass':>10} {'gateway':>10}  gateway/pass (min-max)"]
    for quantity, values in results.items():
        medians = [statistics.median(values[name]) for name in ("store", "pass", "gateway")]
        ratios = [a / b for a, b in zip(values["gateway"], values["pass"], strict=True) if b]
        ratio = f"{statistics.median(ratios):.2f} ({min(ratios):.2f}-{max(ratios):.2f})" if ratios else "-"
        if quantity == "answers that were errors":
            medians, ratio = [float(sum(values[name])) for name in ("store", "pass", "gateway")], "sums"
        lines.append(f"{quantity:28} " + " ".join(f"{value:10.2f}" for value in medians) + f"  {ratio}")
    for name in ("p50", "p99"):
        values = results[f"{name} ms at half load"]
        over_store = [a - b for a, b in zip(values["gateway"], values["store"], strict=True)]
        over_pass_through = [a - b for a, b in zip(values["gateway"], values["pass"], strict=True)]
        lines.append(
            f"{name} added at half load: {statistics.median(over_store):.2f} ms over the store, "
            f"{statistics.median(over_pass_through):.2f} ms over the pass-through"
        )
    return lines


async def run(rounds: int, seconds: float, log: str, directory: Path) -> dict:
    """Start all processes, with files in a directory, and return the measured values."""
    processes: list[subprocess.Popen] = []
    try:
        stores = [start_process(str(HERE / "lean.py"), "store") for _ in range(STORES)]
        processes += [process for process, _ in stores]
        ports = [port for _, port in stores]
        pass_through, pass_port = start_process(str(HERE / "passthrough.py"), *map(str, ports))
        processes.append(pass_through)
        async with anyio.create_task_group() as group:
            listing = ListService(Record())
            await listing.start(group)
            for shard, port in enumerate(ports):
                await listing.set(f"127.0.0.1:{port}", "ready", shard, "hall")
            port_file, settings = directory / "port", directory / "bench.ini"
            settings.write_text(
                SETTINGS.format(port_file=port_file, list_port=listing.port, last=STORES - 1, log=log)
            )
            command = [sys.executable, "-m", "winchdyke", "serve", "-c", str(settings)]
            with (directory / "gateway.log").open("wb") as out:
                gateway = subprocess.Popen(command, stdout=out, stderr=out)
            processes.append(gateway)
            while not port_file.exists():
                await anyio.sleep(0.02)
            port = int(port_file.read_text().strip().rpartition(":")[2])
            await anyio.sleep(0.3)
            targets = [
                Target("store", ports[0], None), Target("pass", pass_port, pass_through.pid), Target("gateway", port, gateway.pid),
            ]  # fmt: skip
            results = await anyio.to_thread.run_sync(measure, targets, rounds, seconds)
            group.cancel_scope.cancel()
        return results
    finally:
        for process in processes:
            process.kill()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--log", choices=("json", "none"), default="json")
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="winchdyke-bench-") as directory:
        results = anyio.run(run, arguments.rounds, arguments.seconds, arguments.log, Path(directory))
    print("\n".join(format_results(results)))
    if arguments.json:
        arguments.json.write_text(json.dumps(results))


if __name__ == "__main__":
    main()
