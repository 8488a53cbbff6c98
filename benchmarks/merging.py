"""Error of latency attribution by merged ledgers, by number of gateways and clock offset, simulated in the model.

python benchmarks/merging.py [--gateways 1,5,20,60,120,250] [--seeds 2] [--plot FILE.png]

The scene has 40 stores, fetches of many volumes through a few gateways each, a burst of exports through many gateways at one
store, and another store that becomes slow by itself halfway. The figure is the share of all waiting time that is attributed to
another holder than the model's complete knowledge attributes it to (half the sum of the differences over all cells).
"""

from __future__ import annotations

import argparse
import random
import statistics
from collections import Counter
from pathlib import Path

from winchdyke.latency_attribution.merge import merge_accounts
from winchdyke.latency_attribution.records import Account
from winchdyke.model.world import Simulation, SimulationSetup, Workload, accounts

CLOCK_OFFSETS_MS = (0.0, 50.0, 250.0, 1000.0)
Matrix = Counter[tuple[str, tuple[str, str, str]]]


def blame_matrix(accounts_: list[Account]) -> Matrix:
    """Returns the waiting time in ms by volume and holder."""
    cells: Matrix = Counter()
    for account in accounts_:
        for kind, name, what, share in account.blame:
            cells[account.volume, (kind, name, what)] += share / 1e6  # type: ignore[assignment]
    return cells


def misattributed_share(actual: Matrix, expected: Matrix) -> float:
    """Returns the share of the waiting time that is attributed to another holder than expected."""
    return (
        sum(abs(actual[cell] - expected[cell]) for cell in {*actual, *expected}) / 2 / sum(expected.values())
    )


def seconds_attributed(cells: Matrix, kind: str, name: str) -> float:
    """Returns the seconds attributed to a holder."""
    return sum(ms for (_, holder), ms in cells.items() if holder[:2] == (kind, name)) / 1000


def scene(gateways: int, seed: int) -> SimulationSetup:
    """Returns a scene whose load does not depend on the number of gateways."""
    courses = [
        Workload(
            f"course-{n}", 5.0, "fetch", 2.0, shards=(n % 40, (n + 11) % 40),
            gateways=tuple(sorted({(n * 7 + step) % gateways for step in range(8)})),
        )
        for n in range(80)
    ]  # fmt: skip
    through = tuple(range(0, gateways, 2))
    courses.append(
        Workload("burst", 150.0, "export", 4.0, "basic", (0, 1), through, begin_ms=2000.0, end_ms=5000.0)
    )
    return SimulationSetup(
        tuple(courses), gateways=gateways, stores=40, slow=((2, 8.0),), slow_from_ms=4000.0,
        length_ms=8000.0, seed=seed,
    )  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--gateways", default="1,5,20,60,120,250")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    gateway_counts = [int(number) for number in arguments.gateways.split(",")]
    rows: dict[int, list[float]] = {}
    columns = ["alone", *(f"off {offset_ms:g} ms" for offset_ms in CLOCK_OFFSETS_MS)]
    print(
        f"{'gateways':>9}"
        + "".join(f"{column_name:>13}" for column_name in columns)
        + "   slow node, s: alone, merged, all"
    )
    for gateways in gateway_counts:
        seed_rows: list[list[float]] = []
        slow_node_seconds: list[tuple[float, float, float]] = []
        for seed in range(1, arguments.seeds + 1):
            world = Simulation(scene(gateways, seed), omniscient=True)
            requests = world.run()
            expected: Matrix = Counter()
            for request in requests:
                for holder, ms in request.true_blame.items():
                    expected[request.volume, holder] += ms  # type: ignore[assignment]
            rng = random.Random(seed)
            unmerged = blame_matrix(accounts(requests))
            row = [misattributed_share(unmerged, expected)]
            for offset_ms in CLOCK_OFFSETS_MS:
                clocks = {gateway: rng.uniform(-offset_ms, offset_ms) for gateway in range(gateways)}
                merged = blame_matrix(merge_accounts(accounts(requests, clocks), offset_ms))
                row.append(misattributed_share(merged, expected))
                if not offset_ms:
                    slow_node_seconds.append(
                        (
                            seconds_attributed(unmerged, "node", "n2"),
                            seconds_attributed(merged, "node", "n2"),
                            seconds_attributed(expected, "node", "n2"),
                        )
                    )
            seed_rows.append(row)
        rows[gateways] = [statistics.median(column) for column in zip(*seed_rows, strict=True)]
        slow_node_text = ", ".join(
            f"{statistics.median(column):.1f}" for column in zip(*slow_node_seconds, strict=True)
        )
        print(
            f"{gateways:9}" + "".join(f"{value:13.3f}" for value in rows[gateways]) + f"   {slow_node_text}",
            flush=True,
        )
    if arguments.plot:
        plot(rows, columns, arguments.plot)


def plot(rows: dict[int, list[float]], columns: list[str], path: Path) -> None:
    """Plots the table."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for index, column_name in enumerate(columns):
        axes.plot(
            list(rows),
            [row[index] for row in rows.values()],
            "o-",
            label="each gateway alone" if not index else f"merged, clocks {column_name}",
        )
    axes.set(
        xlabel="gateways",
        ylabel="share of waiting time misattributed",
        title="Error of latency attribution (simulated)",
    )
    axes.set_ylim(bottom=0)
    axes.grid(True, alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
