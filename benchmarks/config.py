"""Settings at scale: reading and checking them, and matching routes against trying each in order.

python benchmarks/config.py [--plot docs/figures/matcher.png]
"""

from __future__ import annotations

import argparse
import random
import resource
import statistics
import time
from pathlib import Path

from winchdyke.config import defaults, loading
from winchdyke.config.matching import Matcher, Pattern, RequestAttributes, match_linear

SIZES = (10, 30, 100, 300, 1000, 3000, 10_000)


def many(volumes: int, routes: int, seed: int = 1) -> str:
    """Blocks of settings: volumes of their own, and routes over them by key, size, header and method."""
    draw = random.Random(seed)
    parts = [
        f"volume course-x{n} {{\n    plan = {draw.choice(PLANS)}\n    shards = {n % 8}\n}}\n"
        for n in range(volumes)
    ]
    for n in range(routes):
        lines = [
            f"volume = course-x{draw.randrange(max(1, volumes))}{draw.choice(['', '*'])}",
            f'key = "part-{n % 97}/{n}"',
        ]
        if n % 3 == 0:
            lines += [f"size = over {draw.randrange(1, 64)}KiB", "method = PUT"]
        if n % 5 == 0:
            lines.append(f"header = X-Kind: kind-{n % 11}")
        lines.append(f"class = {draw.choice(CLASSES)}")
        parts.append(f"route r{n} {{\n" + "".join(f"    {line}\n" for line in lines) + "}\n")
    return "\n".join(parts)


PLANS, CLASSES = ("basic", "school", "contest"), ("fetch", "submit", "export")


def patterns(count: int, draw: random.Random) -> list[Pattern]:
    """Random routes over some hundred volumes."""
    return [
        Pattern(
            f"r{n}",
            draw.randrange(-1, 2),
            f"v{draw.randrange(400)}" + draw.choice(("", "", "*")),
            draw.choice(("", f"k{draw.randrange(50)}/", f"k{draw.randrange(50)}/s{draw.randrange(50)}/")),
            draw.choice(((), ("GET",), ("PUT", "POST"))),
            draw.choice((None, None, ("x-kind", f"kind{draw.randrange(9)}"))),
            draw.choice((None, None, (1024 * draw.randrange(64), 2**62))),
        )
        for n in range(count)
    ]


def random_request(draw: random.Random) -> RequestAttributes:
    """A random request."""
    key = f"k{draw.randrange(50)}/s{draw.randrange(50)}/object"
    headers = {"x-kind": f"kind{draw.randrange(9)}"} if draw.random() < 0.5 else {}
    return RequestAttributes(
        draw.choice(("GET", "PUT", "DELETE")),
        f"v{draw.randrange(400)}",
        key,
        draw.randrange(100_000),
        headers,
    )


def timed(work, requests) -> float:  # type: ignore[no-untyped-def]
    """Microseconds a request, the median of five."""
    runs = []
    for _ in range(5):
        began = time.perf_counter()
        for request in requests:
            work(request)
        runs.append((time.perf_counter() - began) / len(requests) * 1e6)
    return statistics.median(runs)


def matching(plot: Path | None) -> None:
    """The compiled matcher against trying every route in order, on the same random requests."""
    print(f"{'routes':>7} {'compiled us':>12} {'in order us':>12} {'ratio':>8}  same answers")
    rows = []
    for count in SIZES:
        draw = random.Random(count)
        table = [(pattern, pattern) for pattern in patterns(count, draw)]
        requests = [random_request(draw) for _ in range(max(20, 100_000 // count))]
        compiled = Matcher(table)
        same = all(compiled.match(request) is match_linear(table, request) for request in requests)
        fast, slow = (
            timed(compiled.match, requests),
            timed(lambda request, t=table: match_linear(t, request), requests),
        )
        rows.append((count, fast, slow))
        print(f"{count:7} {fast:12.2f} {slow:12.2f} {slow / fast:8.1f}  {'yes' if same else 'NO'}")
    if plot is not None:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, axes = pyplot.subplots(figsize=(7, 4))
        axes.loglog([row[0] for row in rows], [row[2] for row in rows], "o-", label="every route in order")
        axes.loglog([row[0] for row in rows], [row[1] for row in rows], "o-", label="compiled")
        axes.set(xlabel="routes", ylabel="microseconds a request", title="What a request's route costs")
        axes.grid(True, which="both", alpha=0.3)
        axes.legend()
        plot.parent.mkdir(parents=True, exist_ok=True)
        figure.savefig(plot, dpi=110, bbox_inches="tight")


def reading(volumes: int, routes: int) -> None:
    """Time and memory of a file read, checked and made into the model."""
    text = defaults() + "\n" + many(volumes, routes)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    runs = []
    for _ in range(3):
        began = time.perf_counter()
        loaded = loading.load_text(text, "many.conf")
        runs.append(time.perf_counter() - began)
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.perf_counter()
    assert loaded.config.matcher is not None
    compiled = time.perf_counter() - began
    print(
        f"{volumes} volumes, {routes} routes ({len(text) >> 10} KiB): read and checked in {statistics.median(runs):.2f} s, "
        f"{(after - before) / 1024:.0f} MiB more at the peak; routes compiled in {compiled * 1000:.0f} ms; "
        f"{len(loaded.warnings)} warnings"
    )


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--plot", type=Path)
    words.add_argument(
        "--write", type=Path, help="Only write volumes and routes to a file, for day run --settings."
    )
    chosen = words.parse_args()
    if chosen.write:
        chosen.write.write_text(many(5000, 2000).replace("class = export", "class = fetch"), encoding="utf-8")
        return
    reading(100, 50)
    reading(5000, 2000)
    matching(chosen.plot)


if __name__ == "__main__":
    main()
