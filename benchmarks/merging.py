"""Blame from merged ledgers against one that sees all, in the model (simulated), by gateways and by clocks that are off.

python benchmarks/merging.py [--gateways 1,5,20,60,120,250] [--seeds 2] [--plot FILE.png]

A fleet of 40 stores; courses of fetches, each through a few gateways; a burst of exports through many at one store; another
store that becomes slow by itself halfway. The figure is the share of all waiting that is put on another holder than one that
sees all puts it on (half the sum of differences, cell by cell).
"""

from __future__ import annotations

import argparse
import random
import statistics
from collections import Counter
from pathlib import Path

from winchdyke.latency_attribution.merge import merge_accounts
from winchdyke.latency_attribution.records import Account
from winchdyke.model.world import Course, Scene, World, accounts

OFFS = (0.0, 50.0, 250.0, 1000.0)
Matrix = Counter[tuple[str, tuple[str, str, str]]]


def matrix(found: list[Account]) -> Matrix:
    """Milliseconds by waiter and holder."""
    cells: Matrix = Counter()
    for account in found:
        for kind, name, what, share in account.blame:
            cells[account.volume, (kind, name, what)] += share / 1e6  # type: ignore[assignment]
    return cells


def apart(a: Matrix, b: Matrix) -> float:
    """The share of the waiting that is put on another holder."""
    return sum(abs(a[cell] - b[cell]) for cell in {*a, *b}) / 2 / sum(b.values())


def of(cells: Matrix, kind: str, name: str) -> float:
    """Seconds put on a holder."""
    return sum(ms for (_, holder), ms in cells.items() if holder[:2] == (kind, name)) / 1000


def scene(gateways: int, seed: int) -> Scene:
    """The same load, however many gateways it comes through."""
    courses = [
        Course(
            f"course-{n}", 5.0, "fetch", 2.0, shards=(n % 40, (n + 11) % 40),
            gateways=tuple(sorted({(n * 7 + step) % gateways for step in range(8)})),
        )
        for n in range(80)
    ]  # fmt: skip
    through = tuple(range(0, gateways, 2))
    courses.append(
        Course("burst", 150.0, "export", 4.0, "basic", (0, 1), through, begin_ms=2000.0, end_ms=5000.0)
    )
    return Scene(
        tuple(courses), gateways=gateways, stores=40, slow=((2, 8.0),), slow_from_ms=4000.0,
        length_ms=8000.0, seed=seed,
    )  # fmt: skip


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--gateways", default="1,5,20,60,120,250")
    words.add_argument("--seeds", type=int, default=2)
    words.add_argument("--plot", type=Path)
    chosen = words.parse_args()
    fleet = [int(number) for number in chosen.gateways.split(",")]
    rows: dict[int, list[float]] = {}
    heads = ["alone", *(f"off {off:g} ms" for off in OFFS)]
    print(
        f"{'gateways':>9}" + "".join(f"{head:>13}" for head in heads) + "   slow node, s: alone, merged, all"
    )
    for gateways in fleet:
        found: list[list[float]] = []
        node: list[tuple[float, float, float]] = []
        for seed in range(1, chosen.seeds + 1):
            world = World(scene(gateways, seed), seeing=True)
            done = world.run()
            truth: Matrix = Counter()
            for each in done:
                for holder, ms in each.seen.items():
                    truth[each.course, holder] += ms  # type: ignore[assignment]
            draw = random.Random(seed)
            alone = matrix(accounts(done))
            line = [apart(alone, truth)]
            for off in OFFS:
                clocks = {gateway: draw.uniform(-off, off) for gateway in range(gateways)}
                both = matrix(merge_accounts(accounts(done, clocks), off))
                line.append(apart(both, truth))
                if not off:
                    node.append((of(alone, "node", "n2"), of(both, "node", "n2"), of(truth, "node", "n2")))
            found.append(line)
        rows[gateways] = [statistics.median(column) for column in zip(*found, strict=True)]
        at = ", ".join(f"{statistics.median(column):.1f}" for column in zip(*node, strict=True))
        print(
            f"{gateways:9}" + "".join(f"{value:13.3f}" for value in rows[gateways]) + f"   {at}", flush=True
        )
    if chosen.plot:
        plot(rows, heads, chosen.plot)


def plot(rows: dict[int, list[float]], heads: list[str], path: Path) -> None:
    """The table as a picture."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for at, head in enumerate(heads):
        axes.plot(
            list(rows),
            [line[at] for line in rows.values()],
            "o-",
            label="each gateway alone" if not at else f"merged, clocks {head}",
        )
    axes.set(
        xlabel="gateways",
        ylabel="share of the waiting put elsewhere",
        title="Blame against one that sees all (simulated)",
    )
    axes.set_ylim(bottom=0)
    axes.grid(True, alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
