"""Measures large settings: loading and checking them, and compiled route matching compared with linear matching.

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


def generate_settings(volumes: int, routes: int, seed: int = 1) -> str:
    """Return settings with many volumes, and routes over them by key, size, header and method."""
    rng = random.Random(seed)
    parts = [
        f"volume course-x{n} {{\n    plan = {rng.choice(PLANS)}\n    shards = {n % 8}\n}}\n"
        for n in range(volumes)
    ]
    for n in range(routes):
        lines = [
            f"volume = course-x{rng.randrange(max(1, volumes))}{rng.choice(['', '*'])}",
            f'key = "part-{n % 97}/{n}"',
        ]
        if n % 3 == 0:
            lines += [f"size = over {rng.randrange(1, 64)}KiB", "method = PUT"]
        if n % 5 == 0:
            lines.append(f"header = X-Kind: kind-{n % 11}")
        lines.append(f"class = {rng.choice(CLASSES)}")
        parts.append(f"route r{n} {{\n" + "".join(f"    {line}\n" for line in lines) + "}\n")
    return "\n".join(parts)


PLANS, CLASSES = ("basic", "school", "contest"), ("fetch", "submit", "export")


def random_patterns(count: int, rng: random.Random) -> list[Pattern]:
    """Return random routes over 400 volumes."""
    return [
        Pattern(
            f"r{n}",
            rng.randrange(-1, 2),
            f"v{rng.randrange(400)}" + rng.choice(("", "", "*")),
            rng.choice(("", f"k{rng.randrange(50)}/", f"k{rng.randrange(50)}/s{rng.randrange(50)}/")),
            rng.choice(((), ("GET",), ("PUT", "POST"))),
            rng.choice((None, None, ("x-kind", f"kind{rng.randrange(9)}"))),
            rng.choice((None, None, (1024 * rng.randrange(64), 2**62))),
        )
        for n in range(count)
    ]


def random_request(rng: random.Random) -> RequestAttributes:
    """Return a random request."""
    key = f"k{rng.randrange(50)}/s{rng.randrange(50)}/object"
    headers = {"x-kind": f"kind{rng.randrange(9)}"} if rng.random() < 0.5 else {}
    return RequestAttributes(
        rng.choice(("GET", "PUT", "DELETE")),
        f"v{rng.randrange(400)}",
        key,
        rng.randrange(100_000),
        headers,
    )


def time_per_request_us(work, requests) -> float:  # type: ignore[no-untyped-def]
    """Return the microseconds per request, the median of five runs."""
    runs = []
    for _ in range(5):
        began = time.perf_counter()
        for request in requests:
            work(request)
        runs.append((time.perf_counter() - began) / len(requests) * 1e6)
    return statistics.median(runs)


def measure_matching(plot: Path | None) -> None:
    """Compare the compiled matcher with linear matching on the same random requests."""
    print(f"{'routes':>7} {'compiled us':>12} {'linear us':>12} {'ratio':>8}  same answers")
    rows = []
    for count in SIZES:
        rng = random.Random(count)
        table = [(pattern, pattern) for pattern in random_patterns(count, rng)]
        requests = [random_request(rng) for _ in range(max(20, 100_000 // count))]
        compiled = Matcher(table)
        same = all(compiled.match(request) is match_linear(table, request) for request in requests)
        fast, slow = (
            time_per_request_us(compiled.match, requests),
            time_per_request_us(lambda request, t=table: match_linear(t, request), requests),
        )
        rows.append((count, fast, slow))
        print(f"{count:7} {fast:12.2f} {slow:12.2f} {slow / fast:8.1f}  {'yes' if same else 'NO'}")
    if plot is not None:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, axes = pyplot.subplots(figsize=(7, 4))
        axes.loglog([row[0] for row in rows], [row[2] for row in rows], "o-", label="linear")
        axes.loglog([row[0] for row in rows], [row[1] for row in rows], "o-", label="compiled")
        axes.set(
            xlabel="routes",
            ylabel="microseconds per request",
            title="Cost of matching a request to its route",
        )
        axes.grid(True, which="both", alpha=0.3)
        axes.legend()
        plot.parent.mkdir(parents=True, exist_ok=True)
        figure.savefig(plot, dpi=110, bbox_inches="tight")


def measure_loading(volumes: int, routes: int) -> None:
    """Measure the time and memory for loading a file: parsing, checking and building the model."""
    text = defaults() + "\n" + generate_settings(volumes, routes)
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
        f"{volumes} volumes, {routes} routes ({len(text) >> 10} KiB): loaded in {statistics.median(runs):.2f} s, "
        f"{(after - before) / 1024:.0f} MiB added to peak memory; routes compiled in {compiled * 1000:.0f} ms; "
        f"{len(loaded.warnings)} warnings"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plot", type=Path)
    parser.add_argument(
        "--write", type=Path, help="Only write the volumes and routes to this file, for day run --settings."
    )
    arguments = parser.parse_args()
    if arguments.write:
        arguments.write.write_text(
            generate_settings(5000, 2000).replace("class = export", "class = fetch"), encoding="utf-8"
        )
        return
    measure_loading(100, 50)
    measure_loading(5000, 2000)
    measure_matching(arguments.plot)


if __name__ == "__main__":
    main()
