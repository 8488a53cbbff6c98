"""Compares two configurations of a gateway in one run by requests per second and CPU time per request.

``large``: 5,000 volumes and 2,000 routes, or a few. ``accounts``: with or without the ledger of latencies. ``fleet``: with 23
other members of a fleet, or without a fleet.

    python benchmarks/two_settings.py large|accounts|fleet [--rounds N] [--seconds S]
"""

from __future__ import annotations

import argparse
import base64
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
import config as settings
import gateway as bench

from winchdyke.admin import keys
from winchdyke.latency_attribution.ledger import read_accounts
from winchdyke.latency_attribution.segments import RecoveryReport
from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record

PATH = "/course-x17/part-5/k-"
PEERS = 23


async def run(comparison: str, rounds: int, seconds: float, directory: Path) -> None:
    """Start both gateways, load them alternately, and print requests per second and their ratio."""
    settings.PLANS, settings.CLASSES = ("plain",), ("fetch", "submit")
    if comparison == "large":
        additions = {
            "without": "",
            "with": settings.many(5000, 2000).replace("class = submit", "class = fetch"),
        }
    elif comparison == "fleet":
        secret = base64.b64encode(bytes(32)).decode()
        keys.write_keys(directory / "fleet.keys", [keys.Key("fleet", secret, "fleet")])
        text = f'fleet {{\n    listen = 127.0.0.1:0\n    keys = "{directory}/fleet.keys"\n}}\n'
        additions = {"without": "", "with": text}
    else:
        additions = {"without": "", "with": f'accounts {{\n    folder = "{directory}/ledger"\n}}\n'}
    processes: list[subprocess.Popen] = []
    ports: dict[str, int] = {}
    pids: dict[str, int] = {}
    try:
        stores = [bench.start_process(str(bench.HERE / "lean.py"), "store") for _ in range(8)]
        processes += [process for process, _ in stores]
        async with anyio.create_task_group() as group:
            listing = ListService(Record())
            await listing.start(group)
            for shard, (_, port) in enumerate(stores):
                await listing.set(f"127.0.0.1:{port}", "ready", shard, "hall")
            for name, text in additions.items():
                port_file, file = directory / f"{name}.port", directory / f"{name}.conf"
                base = bench.SETTINGS.format(port_file=port_file, list_port=listing.port, last=7, log="json")
                converted = subprocess.run(
                    [sys.executable, "-m", "winchdyke", "config", "convert", "/dev/stdin"],
                    input=base, capture_output=True, text=True, check=True,
                )  # fmt: skip
                file.write_text(converted.stdout + "\n" + text, encoding="utf-8")
                command = [sys.executable, "-m", "winchdyke", "serve", "-c", str(file)]
                with (directory / f"{name}.log").open("wb") as out:
                    processes.append(subprocess.Popen(command, stdout=out, stderr=out))
                pids[name] = processes[-1].pid
                while not port_file.exists():
                    await anyio.sleep(0.05)
                ports[name] = int(port_file.read_text().strip().rpartition(":")[2])
            if comparison == "fleet":
                port = (directory / "with.port.fleet").read_text().strip().rpartition(":")[2]
                command = [sys.executable, str(bench.HERE / "peers.py"), str(directory), str(PEERS), port]
                processes.append(subprocess.Popen(command, stderr=subprocess.DEVNULL))
                while not (directory / "peers.ready").exists():
                    await anyio.sleep(0.1)
            await anyio.sleep(0.5)
            await anyio.to_thread.run_sync(measure, ports, pids, rounds, seconds)
            if comparison == "accounts":
                await anyio.sleep(0.5)
                report = RecoveryReport()
                account_count = sum(1 for _ in read_accounts([directory / "ledger"], report))
                size = sum(path.stat().st_size for path in (directory / "ledger").iterdir())
                print(
                    f"{account_count} accounts kept, {size / account_count:.0f} bytes a request, {len(report.losses)} losses"
                )
            group.cancel_scope.cancel()
    finally:
        for process in processes:
            process.kill()


def measure(ports: dict[str, int], pids: dict[str, int], rounds: int, seconds: float) -> None:
    """Measure each gateway with a closed loop of 32 connections, alternately."""
    rates: dict[str, list[float]] = {name: [] for name in ports}
    costs: dict[str, list[float]] = {name: [] for name in ports}
    for number in range(rounds + 1):
        # The order alternates, so that drift on a shared machine affects both alike.
        for name, port in sorted(ports.items(), reverse=bool(number % 2)):
            before = bench.cpu_s(pids[name])
            results = bench.run_client("load", "127.0.0.1", port, "closed", 32, seconds, PATH)
            assert not results["bad"], f"{results['bad']} errors at {name}"
            if number:  # the first round is a warm-up
                rates[name].append(results["per_s"])
                costs[name].append((bench.cpu_s(pids[name]) - before) * 1e6 / results["requests"])
    ratios = [a / b for a, b in zip(rates["with"], rates["without"], strict=True)]
    for name, values in rates.items():
        cost = statistics.median(costs[name])
        print(
            f"{name}: {statistics.median(values):.0f} requests/s, {cost:.0f} us of CPU a request (medians of {rounds})"
        )
    cost_ratios = [a / b for a, b in zip(costs["with"], costs["without"], strict=True)]
    print(f"CPU for a request, with / without: {statistics.median(cost_ratios):.3f}")
    low, _, high = statistics.quantiles(ratios, n=4)
    print(f"middle half of the rounds: {low:.3f} to {high:.3f}")
    print(f"with / without: {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("large", "accounts", "fleet"))
    parser.add_argument("--rounds", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=2.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="winchdyke-bench-") as directory:
        anyio.run(run, arguments.what, arguments.rounds, arguments.seconds, Path(directory))


if __name__ == "__main__":
    main()
