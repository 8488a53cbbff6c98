"""The model against a loopback gateway on the same day: latencies and outcomes side by side.

python benchmarks/model_check.py [--seconds N] [--plot FILE.png]

One gateway, eight stores of one core. The arrivals of the model's scene are sent to a real gateway process's code at the
same moments, by the same names, to the same shards; stores work a unit in the same time. The model leaves out the gateway's
own time, the network's and the host's: its latencies are the lower ones.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

import anyio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from rig import rig
from test_latency_attribution import waits, with_ledger

from winchdyke import interface as api
from winchdyke.latency_attribution.records import Account
from winchdyke.model.world import Simulation, SimulationSetup, Workload, accounts
from winchdyke.placement import shard_of
from winchdyke.standins.record import clock
from winchdyke.standins.wire import LOST

UNIT_MS = 10.0


def scene(rate: float, seconds: float, slow: bool) -> SimulationSetup:
    """Four courses of fetches and, halfway, a burst of exports at one shard."""
    courses = [Workload(f"school-{n}", rate / 4, "fetch", 1.0, "school", tuple(range(8))) for n in range(4)]
    length = seconds * 1000
    courses.append(
        Workload("burst", rate / 2, "export", 4.0, "basic", (0,), begin_ms=length / 3, end_ms=2 * length / 3)
    )
    return SimulationSetup(
        tuple(courses), stores=8, cores=1, unit_ms=UNIT_MS, net_ms=0.0, length_ms=length, seed=5,
        slow=((1, 4.0),) if slow else (), slow_from_ms=length / 2,
    )  # fmt: skip


def path(course: str, shard: int, number: int) -> str:
    """An object of a course that lies at a shard."""
    key = next(k for k in (f"{number}-{n}" for n in range(10_000)) if shard_of(course, k, range(8)) == shard)
    return f"/{course}/{key}"


async def measured(
    folder: Path, chosen: SimulationSetup, arrivals: list[tuple[float, api.Request]]
) -> list[Account]:
    """The accounts of the same arrivals at a gateway on loopback."""
    config = with_ledger(folder)
    async with rig(config, unit_ms=UNIT_MS, cores=1) as it:
        peers = [await it.connect() for _ in range(200)]
        free = list(peers)
        began = clock() + 100

        async def ask(at: float, request: api.Request, where: str) -> None:
            await anyio.sleep(max(0.0, (began + at - clock()) / 1000))
            own = free.pop() if free else await it.connect()
            try:
                await it.ask("GET", where, peer=own, winchdyke_class=request.request_class)
                free.append(own)
            except LOST:
                await anyio.aclose_forcefully(own.stream)

        async def slowing() -> None:
            for number, factor in chosen.slow:
                await anyio.sleep((began + chosen.slow_from_ms - clock()) / 1000)
                it.stores[number].slow = factor

        async with anyio.create_task_group() as group:
            group.start_soon(slowing)
            for number, (at, request) in enumerate(arrivals):
                group.start_soon(ask, at, request, path(request.volume, request.shard, number))
        return waits(it, folder)


def quantile(values: list[float], part: float) -> float:
    """A quantile of sorted values; 0 of none."""
    return sorted(values)[int(part * (len(values) - 1))] if values else 0.0


def figures(found: list[Account], class_name: str) -> dict[str, float]:
    """Of one class: requests, share served and refused, latency of the served and what they were held (ms)."""
    mine = [a for a in found if a.class_name == class_name]
    served = [a.latency_ns / 1e6 for a in mine if a.outcome == "served"]
    held = [a.queued_ns / 1e6 for a in mine]
    count = max(1, len(mine))
    return {
        "requests": len(mine), "served": len(served) / count,
        "p50 ms": quantile(served, 0.5), "p90 ms": quantile(served, 0.9), "p99 ms": quantile(served, 0.99),
        "held ms": sum(held) / count,
    }  # fmt: skip


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seconds", type=float, default=9.0)
    words.add_argument("--plot", type=Path)
    chosen = words.parse_args()
    series: dict[str, tuple[list[float], list[float]]] = {}
    for name, rate, slow in (("calm", 80.0, False), ("busy", 200.0, False), ("a slow node", 120.0, True)):
        made = scene(rate, chosen.seconds, slow)
        with tempfile.TemporaryDirectory() as where:
            world = Simulation(made, scheduler_settings=with_ledger(Path(where)).settings())
            arrivals = world.arrivals()
            model = accounts(world.run())
            real = anyio.run(measured, Path(where), made, arrivals)
        print(f"{name}: {rate:g} fetches/s and, for a third, {rate / 2:g} exports/s at one shard")
        for class_name in ("fetch", "export"):
            a, b = figures(model, class_name), figures(real, class_name)
            for row, found in (("model", a), ("loopback", b)):
                print(
                    f"  {class_name:7}{row:9}"
                    + "".join(f"{key} {value:8.3f}  " for key, value in found.items())
                )
        series[name] = tuple(
            sorted(x.latency_ns / 1e6 for x in found if x.outcome == "served" and x.class_name == "fetch")
            for found in (model, real)
        )  # type: ignore[assignment]
    if chosen.plot:
        plot(series, chosen.plot)


def plot(series: dict[str, tuple[list[float], list[float]]], where: Path) -> None:
    """Latency of fetches by share of requests, model and loopback."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for at, (name, both) in enumerate(series.items()):
        for values, style, who in zip(both, ("--", "-"), ("model", "loopback"), strict=True):
            share = [(n + 1) / len(values) for n in range(len(values))]
            axes.plot(values, share, style, color=f"C{at}", label=f"{name}, {who}")
    axes.set(
        xlabel="latency of served fetches, ms",
        ylabel="share",
        xscale="log",
        title="The model against the loopback gateway",
    )
    axes.grid(True, alpha=0.3)
    axes.legend()
    figure.savefig(where, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
