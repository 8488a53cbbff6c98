"""Measures how an apply delays requests in flight: their latency compared with that of other requests of the same run.

python benchmarks/swap_load.py [--volumes 5000] [--applies 30]

One gateway, eight stores and 16 clients run in one process, and all 5,000 volumes have quotas at the scheduler. Two versions
alternate, in which 1 volume or all 5,000 have another plan; each is staged in the change log, checked, observed and applied as in
service. The output is the 50th and 99th percentile latency of requests during a swap, of those while a version is read and checked
outside the event loop, and of all others.
"""

from __future__ import annotations

import argparse
import dataclasses
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import anyio
import anyio.to_thread
import config as many_settings
import h11

from winchdyke import interface as api
from winchdyke.config import Config, defaults, parse
from winchdyke.config.model import Admin, Changes
from winchdyke.config_rollout.operations import ChangeOperations, Propose, Stage
from winchdyke.gateway import logs
from winchdyke.gateway.daemon import Gateway
from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record
from winchdyke.standins.store import DeduplicationGroup, ObjectStore, Store, StoreSpec, UsageMeter
from winchdyke.standins.wire import Peer


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile of a sample; 0 for an empty one."""
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * percent / 100))] if values else 0.0


async def client(
    gateway: Gateway, number: int, request_spans: list[tuple[float, float]], is_running: Callable[[], bool]
) -> None:
    """Send requests one after another and record when each began and ended."""
    peer = Peer(await anyio.connect_tcp(*gateway.address), h11.CLIENT)
    count = 0
    while is_running():
        count += 1
        began = time.perf_counter()
        target = f"/course-x{(number * 331 + count) % 4000}/k{count}"
        await peer.send(h11.Request(method="GET", target=target, headers=[("host", "t")]), h11.EndOfMessage())
        while not isinstance(await peer.event(), h11.EndOfMessage):
            pass
        peer.h11.start_next_cycle()
        request_spans.append((began, time.perf_counter()))
        await anyio.sleep(0.004)


async def run(base: Config, changed: Callable[[str], str], applies: int) -> None:
    """Run the load with its applies, and print the latencies."""
    request_spans: list[tuple[float, float]] = []
    swaps: list[tuple[float, float]] = []
    checks: list[tuple[float, float]] = []
    on = True
    async with anyio.create_task_group() as group:
        record, stores = Record(), ListService(Record())
        await stores.start(group)
        for shard in range(8):
            store = Store(
                StoreSpec(shard, unit_ms=0.5),
                ObjectStore(),
                DeduplicationGroup(),
                UsageMeter(),
                record,
                seed=shard,
            )
            await store.start(group)
            await stores.set(store.name, "ready", shard, "hall-a")
        gateway = Gateway(dataclasses.replace(base, nodes=dataclasses.replace(base.nodes, port=stores.port)))
        assert gateway.rollout is not None
        swap = gateway.rollout._swap

        def timed(prepared: object) -> None:
            began = time.perf_counter()
            swap(prepared)  # type: ignore[arg-type]
            swaps.append((began, time.perf_counter()))

        gateway.rollout._swap = timed
        ready = anyio.Event()
        group.start_soon(gateway.run, ready.set)
        await ready.wait()
        for number in range(4000):
            gateway.scheduler_loop.submit(
                api.Request(f"r{number}", "fetch", "basic", f"course-x{number}", "k", 1.0, 0, 1, 900.0)
            )
        await anyio.sleep(2)
        for number in range(16):
            group.start_soon(client, gateway, number, request_spans, lambda: on)
        await anyio.sleep(3)
        swaps.clear()
        operations = ChangeOperations(gateway.rollout.change_log, "benchmark", "here")
        first = gateway.rollout.change_log.version(1).text
        versions = (changed(first), first)
        for number in range(applies):
            text = versions[number % 2]
            began = time.perf_counter()
            proposed = await anyio.to_thread.run_sync(operations.execute, Propose(text))
            await anyio.to_thread.run_sync(operations.execute, Stage(proposed["version"]))
            while gateway.service.snapshot.version != proposed["version"]:
                await anyio.sleep(0.02)
            checks.append((began, time.perf_counter()))
            await anyio.sleep(1.0)
        on = False
        await anyio.sleep(0.2)
        group.cancel_scope.cancel()

    def during(spans: list[tuple[float, float]], at: tuple[float, float]) -> bool:
        return any(at[0] <= end and start <= at[1] for start, end in spans)

    swapped = [at for at in request_spans if during(swaps, at)]
    checked = [at for at in request_spans if not during(swaps, at) and during(checks, at)]
    others = [at for at in request_spans if not during(swaps, at) and not during(checks, at)]
    print(f"{len(swaps)} swaps, the longest {max(end - start for start, end in swaps) * 1000:.2f} ms")
    for description, found in (("during a swap", swapped), ("during a check", checked), ("others", others)):
        ms = [(end - start) * 1000 for start, end in found]
        print(
            f"{description:22} {len(ms):6} requests, p50 {percentile(ms, 50):.2f} ms, p99 {percentile(ms, 99):.2f} ms"
        )


def main() -> None:
    """Measure both kinds of change, one after the other."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--volumes", type=int, default=5000)
    parser.add_argument("--applies", type=int, default=10)
    arguments = parser.parse_args()
    logs.configure("none")
    many_settings.PLANS = ("basic",)
    plain = parse(defaults() + "\n" + many_settings.many(arguments.volumes, 0))
    for what in ("one volume", "all volumes"):
        with tempfile.TemporaryDirectory() as folder:
            base = dataclasses.replace(plain, changes=Changes(str(Path(folder) / "c")), admin=Admin("none"))
            count = 1 if what == "one volume" else -1

            def changed(text: str, count: int = count) -> str:
                at = text.index("volume course")
                return text[:at] + text[at:].replace("plan = basic", "plan = school", count)

            print(what)
            anyio.run(run, base, changed, arguments.applies)


if __name__ == "__main__":
    main()
