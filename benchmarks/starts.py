"""Fleets that start without discovery, in the model (simulated): worth served, first answer, stores pushed over, list calls.

python benchmarks/starts.py [--gateways 12] [--stores 12,40] [--seeds 3] [--plot FILE.png] [--herd]
"""

from __future__ import annotations

import argparse
import statistics
from pathlib import Path

from winchdyke.model.starts import Start, Starting, fleet

POLICIES = ("belief", "outright", "wait")


def figures(
    gateways: int, stores: int, seed: int, start: Start, length_ms: float
) -> tuple[float, float, int, int, int]:
    """Worth in time, first answer, stores pushed over, requests to strangers, most list calls in a second."""
    world = Starting(fleet(gateways, stores, seed, length_ms), start)
    world.run()
    fallen = sum(machine.fallen for machine in world.machines.values())
    misled = sum(machine.misled for machine in world.machines.values())
    return world.worth(length_ms), world.first_ms(), fallen, misled, max(world.calls.values(), default=0)


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--gateways", type=int, default=12)
    words.add_argument("--stores", default="12,40")
    words.add_argument("--seeds", type=int, default=3)
    words.add_argument("--seconds", type=float, default=30.0)
    words.add_argument(
        "--gone", default="0,0.05,0.2,0.6", help="parts of the kept list that are elsewhere by now"
    )
    words.add_argument("--down", default="10,600", help="seconds for which discovery is down")
    words.add_argument("--plot", type=Path)
    words.add_argument(
        "--herd", action="store_true", help="only the calls at a list service that comes back to 250 gateways"
    )
    chosen = words.parse_args()
    if chosen.herd:
        herd(chosen.seeds)
        return
    length = chosen.seconds * 1000
    series: dict[str, list[float]] = {}
    print(
        "worth served in time, of that with discovery up; first answer; stores pushed over; requests to strangers"
    )
    for stores in [int(number) for number in chosen.stores.split(",")]:
        seeds = range(1, chosen.seeds + 1)
        best = {
            seed: figures(chosen.gateways, stores, seed, Start("wait", 0.0, 0.05), length) for seed in seeds
        }
        print(
            f"{stores} stores, with discovery: first answer {statistics.median(b[1] for b in best.values()):.0f} ms"
        )
        for policy in POLICIES:
            line = []
            for gone in [float(part) for part in chosen.gone.split(",")]:
                for down in [1000 * float(part) for part in chosen.down.split(",")]:
                    runs = [
                        figures(chosen.gateways, stores, seed, Start(policy, down, gone), length)
                        for seed in seeds
                    ]
                    worth = statistics.median(
                        run[0] / best[seed][0] for seed, run in zip(seeds, runs, strict=True)
                    )
                    first = statistics.median(run[1] for run in runs)
                    fallen, misled = sum(run[2] for run in runs), sum(run[3] for run in runs)
                    print(
                        f"  {policy:9} {gone:4.0%} elsewhere, down {down / 1000:3.0f} s: {worth:.3f}"
                        f"  {first:7.0f} ms  {fallen:3}  {misled:5}",
                        flush=True,
                    )
                    if down > 60_000:
                        line.append(worth)
            series[f"{policy}, {stores} stores"] = line
    if chosen.plot:
        plot(series, chosen.gone.split(","), chosen.plot)


def herd(seeds: int) -> None:
    """250 gateways, discovery down for 20 s: calls in the second in which it is back."""
    for policy in ("belief", "plain"):
        peaks, back = [], []
        for seed in range(1, seeds + 1):
            world = Starting(fleet(250, 40, seed, 24_000.0, 0.05), Start(policy, 20_000.0, 0.05))
            world.run()
            peaks.append(max(calls for second, calls in world.calls.items() if second >= 2))
            back.append(max(calls for second, calls in world.calls.items() if second >= 20))
        print(
            f"{policy:9} most calls in a second, down: {statistics.median(peaks):.0f}; back: {statistics.median(back):.0f}"
        )


def plot(series: dict[str, list[float]], gone: list[str], path: Path) -> None:
    """Worth by how much of the list is elsewhere, discovery down throughout."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, values in series.items():
        axes.plot([100 * float(part) for part in gone], values, "o-", label=name)
    axes.set(
        xlabel="% of the kept list that is elsewhere", ylabel="worth, of that with discovery", ylim=(0, 1.05)
    )
    axes.set_title("30 s from a start without discovery (simulated)")
    axes.grid(True, alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
