"""Compares the simulation with a gateway on loopback under the same load: latencies and outcomes.

python benchmarks/model_check.py [--seconds N] [--plot FILE.png]

One gateway and eight stores with one core each. The simulated arrivals are sent to the real gateway at the same times, for the
same volumes and shards; a unit takes the stores the same time. The simulation leaves out the time that the gateway, the
network and the host take, so its latencies are lower.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

import anyio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from rig import rig
from test_latency_attribution import close_and_read_ledger, settings_with_ledger

from winchdyke import interface as api
from winchdyke.latency_attribution.records import Account
from winchdyke.model.world import Simulation, SimulationSetup, Workload, accounts
from winchdyke.placement import shard_of
from winchdyke.standins.record import clock
from winchdyke.standins.wire import CONNECTION_ERRORS

UNIT_MS = 10.0


def simulation_setup(rate: float, seconds: float, slow: bool) -> SimulationSetup:
    """Four workloads of fetches and, in the middle third, a burst of exports at one shard."""
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
    """The path of an object of a volume that is placed on a shard."""
    key = next(k for k in (f"{number}-{n}" for n in range(10_000)) if shard_of(course, k, range(8)) == shard)
    return f"/{course}/{key}"


async def measured(
    folder: Path, setup: SimulationSetup, arrivals: list[tuple[float, api.Request]]
) -> list[Account]:
    """Send the arrivals to a gateway on loopback; returns its accounts."""
    config = settings_with_ledger(folder)
    async with rig(config, unit_ms=UNIT_MS, cores=1) as it:
        connections = [await it.connect() for _ in range(200)]
        idle = list(connections)
        started_at = clock() + 100

        async def ask(at: float, request: api.Request, where: str) -> None:
            await anyio.sleep(max(0.0, (started_at + at - clock()) / 1000))
            connection = idle.pop() if idle else await it.connect()
            try:
                await it.request("GET", where, peer=connection, winchdyke_class=request.request_class)
                idle.append(connection)
            except CONNECTION_ERRORS:
                await anyio.aclose_forcefully(connection.stream)

        async def slowing() -> None:
            for number, factor in setup.slow:
                await anyio.sleep((started_at + setup.slow_from_ms - clock()) / 1000)
                it.stores[number].slowdown = factor

        async with anyio.create_task_group() as group:
            group.start_soon(slowing)
            for number, (at, request) in enumerate(arrivals):
                group.start_soon(ask, at, request, path(request.volume, request.shard, number))
        return close_and_read_ledger(it, folder)


def quantile(values: list[float], part: float) -> float:
    """A quantile of the values; 0 if there are none."""
    return sorted(values)[int(part * (len(values) - 1))] if values else 0.0


def figures(found: list[Account], class_name: str) -> dict[str, float]:
    """The results of one class: requests, share served, latency quantiles of those served, and mean queueing time (ms)."""
    class_accounts = [account for account in found if account.class_name == class_name]
    served = [account.latency_ns / 1e6 for account in class_accounts if account.outcome == "served"]
    queued_ms = [account.queued_ns / 1e6 for account in class_accounts]
    count = max(1, len(class_accounts))
    return {
        "requests": len(class_accounts), "served": len(served) / count,
        "p50 ms": quantile(served, 0.5), "p90 ms": quantile(served, 0.9), "p99 ms": quantile(served, 0.99),
        "held ms": sum(queued_ms) / count,
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=9.0)
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    series: dict[str, tuple[list[float], list[float]]] = {}
    for name, rate, slow in (("calm", 80.0, False), ("busy", 200.0, False), ("a slow node", 120.0, True)):
        setup = simulation_setup(rate, arguments.seconds, slow)
        with tempfile.TemporaryDirectory() as where:
            world = Simulation(setup, scheduler_settings=settings_with_ledger(Path(where)).settings())
            arrivals = world.arrivals()
            model = accounts(world.run())
            real = anyio.run(measured, Path(where), setup, arrivals)
        print(f"{name}: {rate:g} fetches/s and, for a third, {rate / 2:g} exports/s at one shard")
        for class_name in ("fetch", "export"):
            simulated, real_figures = figures(model, class_name), figures(real, class_name)
            for row, found in (("model", simulated), ("loopback", real_figures)):
                print(
                    f"  {class_name:7}{row:9}"
                    + "".join(f"{key} {value:8.3f}  " for key, value in found.items())
                )
        series[name] = tuple(
            sorted(x.latency_ns / 1e6 for x in found if x.outcome == "served" and x.class_name == "fetch")
            for found in (model, real)
        )  # type: ignore[assignment]
    if arguments.plot:
        plot(series, arguments.plot)


def plot(series: dict[str, tuple[list[float], list[float]]], where: Path) -> None:
    """Plot the latency distribution of fetches, simulated and measured."""
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
