"""Measures the errors of the canary verdict over simulated days: good changes undone and bad ones missed, by threshold.

python benchmarks/verdict.py [--days 300] [--plot FILE.png]

Each day simulates courses (volumes) on eight stores, a change to one course halfway, and in three days of four a disturbance: a
surge of that course, a store that slows down by a factor of 3 to 8, or a burst of exports beside it. A bad change sends a part of
the course's requests (a fifth to all of them) to a shard without an endpoint.
"""

from __future__ import annotations

import argparse
import dataclasses
import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from winchdyke.config_rollout.canary_analysis import CanaryCriteria, CanaryObserver
from winchdyke.model.world import Simulation, SimulationSetup, Workload

LENGTH, APPLIED = 24_000.0, 13_500.0
SHARD_WITHOUT_STORE = 8


class WorldWithEmptyShard(Simulation):
    """A simulated cluster that has a shard without an endpoint."""


def simulate_day(seed: int) -> tuple[bool, str, list[tuple[float, str, int, str, float]]]:
    """Simulate a day.

    Returns whether the change was bad, the disturbance, and the finished requests as (end, volume, shard, outcome, latency).
    """
    draw = random.Random(seed)
    bad, disturbance = bool(seed % 2), draw.choice(("surge", "slow", "burst", "calm"))
    courses = [
        Workload(f"course-{n}", draw.uniform(8, 20), "fetch", 2.0, "school", (n % 8, (n + 3) % 8))
        for n in range(8)
    ]
    mine = dataclasses.replace(courses[0], name="mine", rate=draw.uniform(15, 40))
    part = draw.choice((0.2, 0.5, 1.0)) if bad else 0.0
    courses += [
        dataclasses.replace(mine, end_ms=APPLIED),
        dataclasses.replace(mine, name="mine-good", begin_ms=APPLIED, rate=max(0.01, mine.rate * (1 - part))),
    ]
    if part:
        courses.append(
            dataclasses.replace(
                mine, name="mine-bad", begin_ms=APPLIED, rate=mine.rate * part, shards=(SHARD_WITHOUT_STORE,)
            )
        )
    slow: tuple[tuple[int, float], ...] = ()
    if disturbance == "surge":
        courses.append(
            dataclasses.replace(
                mine, name="mine-surge", begin_ms=APPLIED, rate=mine.rate * draw.uniform(1, 6)
            )
        )
    elif disturbance == "slow":
        slow = ((0, draw.uniform(3, 8)),)
    elif disturbance == "burst":
        courses.append(
            Workload(
                "burst",
                draw.uniform(40, 150),
                "export",
                4.0,
                "basic",
                (0, 1),
                begin_ms=APPLIED,
                end_ms=APPLIED + 6000,
            )
        )
    scene = SimulationSetup(
        tuple(courses), stores=8, slow=slow, slow_from_ms=APPLIED, length_ms=LENGTH, seed=seed
    )
    world = WorldWithEmptyShard(scene)
    shards = {request.request_id: request.shard for _, request in world.arrivals()}
    ended = [
        (
            done.end,
            "mine" if done.volume.startswith("mine") else done.volume,
            shards[done.id],
            done.outcome,
            done.latency,
        )
        for done in world.run()
    ]
    return bad, disturbance, sorted(ended)


def time_to_undo_ms(
    ended: list[tuple[float, str, int, str, float]], criteria: CanaryCriteria
) -> float | None:
    """Return the milliseconds after which the change was undone; None if it was not."""
    watch, at = CanaryObserver(criteria), 0
    now = APPLIED
    while now < APPLIED + criteria.watch_ms:
        now += 250.0
        while at < len(ended) and ended[at][0] <= now:
            end, volume, shard, outcome, took = ended[at]
            watch.record_request(end, volume, shard, outcome, took)
            at += 1
        if watch.evaluate(APPLIED, now, lambda volume: volume == "mine").harmful:
            return now - APPLIED
    return None


def evaluate_day(seed: int) -> tuple[bool, str, dict[tuple[float, float], float | None]]:
    """Evaluate one day under several thresholds."""
    bad, disturbance, ended = simulate_day(seed)
    found = {}
    for excess in (0.02, 0.05, 0.10, 0.20):
        for standard_errors in (2.0, 3.0, 4.0, 6.0):
            found[excess, standard_errors] = time_to_undo_ms(
                ended, CanaryCriteria(max_excess_ratio=excess, min_standard_errors=standard_errors)
            )
    return bad, disturbance, found


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--days", type=int, default=300)
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    with ProcessPoolExecutor(4) as pool:
        days = list(
            pool.map(evaluate_day, range(arguments.first, arguments.first + arguments.days), chunksize=4)
        )
    goods, bads = sum(not bad for bad, _, _ in days), sum(bad for bad, _, _ in days)
    print(
        f"{goods} good changes, {bads} bad ones (simulated); false undo, missed, and the slowest undo of a bad one"
    )
    points = {}
    for key in days[0][2]:
        false = sum(found[key] is not None for bad, _, found in days if not bad) / goods
        missed = sum(found[key] is None for bad, _, found in days if bad) / bads
        slowest = max((found[key] or 0.0 for bad, _, found in days if bad), default=0.0)
        points[key] = false, missed
        print(
            f"  excess {key[0]:.2f}, standard errors {key[1]:g}: {false:.3f}  {missed:.3f}  {slowest / 1000:.1f} s"
        )
    default_thresholds = (CanaryCriteria().max_excess_ratio, CanaryCriteria().min_standard_errors)
    print(
        "false undo at",
        default_thresholds,
        dict(
            Counter(
                disturbance
                for bad, disturbance, found in days
                if not bad and found[default_thresholds] is not None
            )
        ),
    )
    print(
        "missed at",
        default_thresholds,
        dict(
            Counter(
                disturbance for bad, disturbance, found in days if bad and found[default_thresholds] is None
            )
        ),
    )
    if arguments.plot:
        plot(points, default_thresholds, arguments.plot)


def plot(
    points: dict[tuple[float, float], tuple[float, float]],
    default_thresholds: tuple[float, float],
    path: Path,
) -> None:
    """Plot the missed bad changes against the undone good ones, one line for each excess."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for excess in sorted({key[0] for key in points}):
        line = [points[key] for key in sorted(points) if key[0] == excess]
        axes.plot(
            [100 * a for a, _ in line], [100 * b for _, b in line], "o-", label=f"excess over {excess:.0%}"
        )
    axes.plot(
        100 * points[default_thresholds][0],
        100 * points[default_thresholds][1],
        "k*",
        markersize=14,
        label="as set",
    )
    axes.set(
        xlabel="% of good changes undone",
        ylabel="% of bad changes missed",
        title="The verdict's errors (simulated days)",
    )
    axes.grid(True, alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
