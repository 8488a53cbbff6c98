"""Starts of many gateways without discovery, simulated in the model: value served, first answer, overloads, list calls.

python benchmarks/starts.py [--gateways 12] [--stores 12,40] [--seeds 3] [--plot FILE.png] [--herd]
"""

from __future__ import annotations

import argparse
import statistics
from pathlib import Path

from winchdyke.model.starts import StartupConditions, StartupSimulation, startup_simulation_setup

POLICIES = ("belief", "outright", "wait")


def simulate(
    gateways: int, stores: int, seed: int, start: StartupConditions, length_ms: float
) -> tuple[float, float, int, int, int]:
    """Returns value served in time, first answer in ms, stores overloaded, misdirected requests, peak list calls per second."""
    world = StartupSimulation(startup_simulation_setup(gateways, stores, seed, length_ms), start)
    world.run()
    overloaded = sum(machine.overloaded for machine in world.simulated_stores.values())
    misdirected = sum(machine.misdirected_requests for machine in world.simulated_stores.values())
    return (
        world.value_served(length_ms),
        world.first_served_ms(),
        overloaded,
        misdirected,
        max(world.list_calls.values(), default=0),
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument("--stores", default="12,40")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--gone", default="0,0.05,0.2,0.6", help="fractions of the cached endpoints that have moved"
    )
    parser.add_argument("--down", default="10,600", help="seconds for which discovery is down")
    parser.add_argument("--plot", type=Path)
    parser.add_argument(
        "--herd", action="store_true", help="only the calls at a list service that recovers, by 250 gateways"
    )
    arguments = parser.parse_args()
    if arguments.herd:
        print_call_peaks(arguments.seeds)
        return
    length_ms = arguments.seconds * 1000
    series: dict[str, list[float]] = {}
    print(
        "value served in time, relative to discovery up; first answer; stores overloaded; requests to wrong stores"
    )
    for stores in [int(number) for number in arguments.stores.split(",")]:
        seeds = range(1, arguments.seeds + 1)
        with_discovery = {
            seed: simulate(arguments.gateways, stores, seed, StartupConditions("wait", 0.0, 0.05), length_ms)
            for seed in seeds
        }
        print(
            f"{stores} stores, with discovery: first answer {statistics.median(run[1] for run in with_discovery.values()):.0f} ms"
        )
        for policy in POLICIES:
            plotted_values = []
            for moved_fraction in [float(part) for part in arguments.gone.split(",")]:
                for outage_ms in [1000 * float(part) for part in arguments.down.split(",")]:
                    runs = [
                        simulate(
                            arguments.gateways,
                            stores,
                            seed,
                            StartupConditions(policy, outage_ms, moved_fraction),
                            length_ms,
                        )
                        for seed in seeds
                    ]
                    relative_value = statistics.median(
                        run[0] / with_discovery[seed][0] for seed, run in zip(seeds, runs, strict=True)
                    )
                    first_answer_ms = statistics.median(run[1] for run in runs)
                    overloaded, misdirected = sum(run[2] for run in runs), sum(run[3] for run in runs)
                    print(
                        f"  {policy:9} {moved_fraction:4.0%} moved, down {outage_ms / 1000:3.0f} s: {relative_value:.3f}"
                        f"  {first_answer_ms:7.0f} ms  {overloaded:3}  {misdirected:5}",
                        flush=True,
                    )
                    if outage_ms > 60_000:
                        plotted_values.append(relative_value)
            series[f"{policy}, {stores} stores"] = plotted_values
    if arguments.plot:
        plot(series, arguments.gone.split(","), arguments.plot)


def print_call_peaks(seeds: int) -> None:
    """Prints the peak list calls per second of 250 gateways while discovery is down for 20 s, and after its recovery."""
    for policy in ("belief", "plain"):
        peaks_while_down, peaks_after_recovery = [], []
        for seed in range(1, seeds + 1):
            world = StartupSimulation(
                startup_simulation_setup(250, 40, seed, 24_000.0, 0.05),
                StartupConditions(policy, 20_000.0, 0.05),
            )
            world.run()
            peaks_while_down.append(max(calls for second, calls in world.list_calls.items() if second >= 2))
            peaks_after_recovery.append(
                max(calls for second, calls in world.list_calls.items() if second >= 20)
            )
        print(
            f"{policy:9} peak calls per second, down: {statistics.median(peaks_while_down):.0f}; "
            f"recovered: {statistics.median(peaks_after_recovery):.0f}"
        )


def plot(series: dict[str, list[float]], moved_fractions: list[str], path: Path) -> None:
    """Plots the value served against the fraction of moved endpoints, with discovery down throughout."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, values in series.items():
        axes.plot([100 * float(part) for part in moved_fractions], values, "o-", label=name)
    axes.set(
        xlabel="% of the cached endpoints that have moved",
        ylabel="value served, relative to discovery up",
        ylim=(0, 1.05),
    )
    axes.set_title("30 s from a start without discovery (simulated)")
    axes.grid(True, alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
