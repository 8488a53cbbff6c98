"""How often the verdict on a change errs, over simulated days: good changes undone, bad ones missed, by its thresholds.

python benchmarks/verdict.py [--days 300] [--plot FILE.png]

Each day has three gateways' courses on eight stores in the model, a change to one course halfway, and a rough hour of its own in
two days of three: a surge of that course, a store that slows down by 3 to 8, or a burst of exports beside it. In a bad change
a part of the course's requests goes to a shard that has no node (a fifth to all of them).
"""

from __future__ import annotations

import argparse
import dataclasses
import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from winchdyke.config_rollout.canary_analysis import CanaryCriteria, CanaryObserver
from winchdyke.model.world import Course, Scene, World

LENGTH, APPLIED = 24_000.0, 13_500.0
NOWHERE = 8  # a shard that no store has


class Holed(World):
    """A world with a shard that has no node."""


def day(seed: int) -> tuple[bool, str, list[tuple[float, str, int, str, float]]]:
    """Whether the change was bad, what was rough, and what ended: when, whose, at which shard, how."""
    draw = random.Random(seed)
    bad, rough = bool(seed % 2), draw.choice(("surge", "slow", "burst", "calm"))
    courses = [
        Course(f"course-{n}", draw.uniform(8, 20), "fetch", 2.0, "school", (n % 8, (n + 3) % 8))
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
                mine, name="mine-bad", begin_ms=APPLIED, rate=mine.rate * part, shards=(NOWHERE,)
            )
        )
    slow: tuple[tuple[int, float], ...] = ()
    if rough == "surge":
        courses.append(
            dataclasses.replace(
                mine, name="mine-surge", begin_ms=APPLIED, rate=mine.rate * draw.uniform(1, 6)
            )
        )
    elif rough == "slow":
        slow = ((0, draw.uniform(3, 8)),)
    elif rough == "burst":
        courses.append(
            Course(
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
    scene = Scene(tuple(courses), stores=8, slow=slow, slow_from_ms=APPLIED, length_ms=LENGTH, seed=seed)
    world = Holed(scene)
    shards = {request.request_id: request.shard for _, request in world.arrivals()}
    ended = [
        (
            done.end,
            "mine" if done.course.startswith("mine") else done.course,
            shards[done.id],
            done.outcome,
            done.latency,
        )
        for done in world.run()
    ]
    return bad, rough, sorted(ended)


def judged(ended: list[tuple[float, str, int, str, float]], criteria: CanaryCriteria) -> float | None:
    """After how many milliseconds the change was undone; None where it was not."""
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


def one(seed: int) -> tuple[bool, str, dict[tuple[float, float], float | None]]:
    """A day under several thresholds."""
    bad, rough, ended = day(seed)
    found = {}
    for excess in (0.02, 0.05, 0.10, 0.20):
        for sure in (2.0, 3.0, 4.0, 6.0):
            found[excess, sure] = judged(
                ended, CanaryCriteria(max_excess_ratio=excess, min_standard_errors=sure)
            )
    return bad, rough, found


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--days", type=int, default=300)
    words.add_argument("--first", type=int, default=0, help="the first seed")
    words.add_argument("--plot", type=Path)
    chosen = words.parse_args()
    with ProcessPoolExecutor(4) as pool:
        days = list(pool.map(one, range(chosen.first, chosen.first + chosen.days), chunksize=4))
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
        print(f"  excess {key[0]:.2f}, sure {key[1]:g}: {false:.3f}  {missed:.3f}  {slowest / 1000:.1f} s")
    here = (CanaryCriteria().max_excess_ratio, CanaryCriteria().min_standard_errors)
    print(
        "false undo at",
        here,
        dict(Counter(rough for bad, rough, found in days if not bad and found[here] is not None)),
    )
    print(
        "missed at", here, dict(Counter(rough for bad, rough, found in days if bad and found[here] is None))
    )
    if chosen.plot:
        plot(points, here, chosen.plot)


def plot(
    points: dict[tuple[float, float], tuple[float, float]], here: tuple[float, float], path: Path
) -> None:
    """Missed against false, one line for each excess."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for excess in sorted({key[0] for key in points}):
        line = [points[key] for key in sorted(points) if key[0] == excess]
        axes.plot(
            [100 * a for a, _ in line], [100 * b for _, b in line], "o-", label=f"excess over {excess:.0%}"
        )
    axes.plot(100 * points[here][0], 100 * points[here][1], "k*", markersize=14, label="as set")
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
