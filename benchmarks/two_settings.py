"""Two settings of a gateway against each other in one run, requests a second and CPU for a request:

5,000 volumes and 2,000 routes against a handful (``large``); accounts kept against none (``accounts``); 23 other members of a
fleet against none (``fleet``).

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


async def run(what: str, rounds: int, seconds: float, where: Path) -> None:
    """Start both, load them in turn, and print requests a second and their ratio."""
    settings.PLANS, settings.CLASSES = ("plain",), ("fetch", "submit")
    if what == "large":
        more = {"without": "", "with": settings.many(5000, 2000).replace("class = submit", "class = fetch")}
    elif what == "fleet":
        secret = base64.b64encode(bytes(32)).decode()
        keys.write_keys(where / "fleet.keys", [keys.Key("fleet", secret, "fleet")])
        text = f'fleet {{\n    listen = 127.0.0.1:0\n    keys = "{where}/fleet.keys"\n}}\n'
        more = {"without": "", "with": text}
    else:
        more = {"without": "", "with": f'accounts {{\n    folder = "{where}/ledger"\n}}\n'}
    processes: list[subprocess.Popen] = []
    ports: dict[str, int] = {}
    pids: dict[str, int] = {}
    try:
        stores = [bench.started(str(bench.HERE / "lean.py"), "store") for _ in range(8)]
        processes += [process for process, _ in stores]
        async with anyio.create_task_group() as group:
            listing = ListService(Record())
            await listing.start(group)
            for shard, (_, port) in enumerate(stores):
                await listing.set(f"127.0.0.1:{port}", "ready", shard, "hall")
            for name, text in more.items():
                port_file, file = where / f"{name}.port", where / f"{name}.conf"
                base = bench.SETTINGS.format(port_file=port_file, list_port=listing.port, last=7, log="json")
                made = subprocess.run(
                    [sys.executable, "-m", "winchdyke", "config", "convert", "/dev/stdin"],
                    input=base, capture_output=True, text=True, check=True,
                )  # fmt: skip
                file.write_text(made.stdout + "\n" + text, encoding="utf-8")
                command = [sys.executable, "-m", "winchdyke", "serve", "-c", str(file)]
                with (where / f"{name}.log").open("wb") as out:
                    processes.append(subprocess.Popen(command, stdout=out, stderr=out))
                pids[name] = processes[-1].pid
                while not port_file.exists():
                    await anyio.sleep(0.05)
                ports[name] = int(port_file.read_text().strip().rpartition(":")[2])
            if what == "fleet":
                port = (where / "with.port.fleet").read_text().strip().rpartition(":")[2]
                command = [sys.executable, str(bench.HERE / "peers.py"), str(where), str(PEERS), port]
                processes.append(subprocess.Popen(command, stderr=subprocess.DEVNULL))
                while not (where / "peers.ready").exists():
                    await anyio.sleep(0.1)
            await anyio.sleep(0.5)
            await anyio.to_thread.run_sync(measured, ports, pids, rounds, seconds)
            if what == "accounts":
                await anyio.sleep(0.5)
                found = RecoveryReport()
                kept = sum(1 for _ in read_accounts([where / "ledger"], found))
                size = sum(path.stat().st_size for path in (where / "ledger").iterdir())
                print(f"{kept} accounts kept, {size / kept:.0f} bytes a request, {len(found.losses)} losses")
            group.cancel_scope.cancel()
    finally:
        for process in processes:
            process.kill()


def measured(ports: dict[str, int], pids: dict[str, int], rounds: int, seconds: float) -> None:
    """Closed loop of 32 connections, in turn."""
    rates: dict[str, list[float]] = {name: [] for name in ports}
    costs: dict[str, list[float]] = {name: [] for name in ports}
    for number in range(rounds + 1):
        # In turn the other way round, so that what drifts on a shared machine falls on both alike.
        for name, port in sorted(ports.items(), reverse=bool(number % 2)):
            before = bench.cpu_s(pids[name])
            found = bench.lean("load", "127.0.0.1", port, "closed", 32, seconds, PATH)
            assert not found["bad"], f"{found['bad']} errors at {name}"
            if number:  # the first round warms up
                rates[name].append(found["per_s"])
                costs[name].append((bench.cpu_s(pids[name]) - before) * 1e6 / found["requests"])
    ratios = [a / b for a, b in zip(rates["with"], rates["without"], strict=True)]
    for name, values in rates.items():
        cost = statistics.median(costs[name])
        print(
            f"{name}: {statistics.median(values):.0f} requests/s, {cost:.0f} us of CPU a request (medians of {rounds})"
        )
    paid = [a / b for a, b in zip(costs["with"], costs["without"], strict=True)]
    print(f"CPU for a request, with / without: {statistics.median(paid):.3f}")
    low, _, high = statistics.quantiles(ratios, n=4)
    print(f"middle half of the rounds: {low:.3f} to {high:.3f}")
    print(f"with / without: {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})")


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("what", choices=("large", "accounts", "fleet"))
    words.add_argument("--rounds", type=int, default=9)
    words.add_argument("--seconds", type=float, default=2.0)
    chosen = words.parse_args()
    with tempfile.TemporaryDirectory(prefix="winchdyke-bench-") as where:
        anyio.run(run, chosen.what, chosen.rounds, chosen.seconds, Path(where))


if __name__ == "__main__":
    main()
