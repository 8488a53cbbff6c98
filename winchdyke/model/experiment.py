"""Experiments: a scene from a file, one value of it swept, repeated by seeds; a table, and a plot where asked for."""

from __future__ import annotations

import dataclasses
import statistics
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from winchdyke.model.world import RequestResult, SimulationSetup, Workload, play

SWEPT = ("gateways", "stores", "cores", "unit_ms", "net_ms", "rate_factor", "slow_factor")


class ExperimentError(Exception):
    """An experiment that can't be run; says what is wrong."""


class Group(msgspec.Struct, forbid_unknown_fields=True):
    """Several courses alike, spread over shards and gateways."""

    name: str
    count: int = 1
    rate: float = 10.0
    class_name: str = "fetch"
    units: float = 2.0
    plan: str = "school"
    shards: int = 1
    gateways: int = 1
    begin_ms: float = 0.0
    end_ms: float = 1e12


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """What to run: the scene's figures, its groups of courses, what is swept over which values, and the seeds."""

    name: str
    courses: list[Group]
    sweep: str = "gateways"
    values: tuple[float, ...] = (1.0,)
    seeds: tuple[int, ...] = (1, 2, 3)
    gateways: int = 1
    stores: int = 1
    cores: int = 2
    unit_ms: float = 10.0
    net_ms: float = 0.5
    length_ms: float = 10_000.0
    slow_store: int = -1
    slow_factor: float = 1.0
    rate_factor: float = 1.0


def read(path: Path) -> Experiment:
    """An experiment from a TOML file. ExperimentError says what is wrong with it."""
    try:
        found = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Experiment)
    except OSError as error:
        raise ExperimentError(f"{path} can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise ExperimentError(f"{path}: {error}") from error
    if found.sweep not in SWEPT:
        raise ExperimentError(f"{path}: sweep is {found.sweep!r}; it can be {', '.join(SWEPT)}")
    if not found.values or not found.seeds or not found.courses:
        raise ExperimentError(f"{path}: values, seeds and courses need one entry at least")
    return found


def simulation_setup(experiment: Experiment, value: float, seed: int) -> SimulationSetup:
    """The scene at one value of the sweep."""
    kind = type(getattr(experiment, experiment.sweep))
    made = msgspec.structs.replace(experiment, **{experiment.sweep: kind(value)})
    courses = []
    for group in made.courses:
        for number in range(group.count):
            shards = tuple(sorted({(number + n) % made.stores for n in range(group.shards)}))
            gateways = tuple(sorted({(number * 7 + n) % made.gateways for n in range(group.gateways)}))
            courses.append(
                Workload(
                    f"{group.name}-{number}", group.rate * made.rate_factor, group.class_name, group.units, group.plan, shards,
                    gateways, group.begin_ms, group.end_ms,
                )
            )  # fmt: skip
    slow = ((made.slow_store, made.slow_factor),) if made.slow_store >= 0 else ()
    return SimulationSetup(
        tuple(courses), made.gateways, made.stores, made.cores, made.unit_ms, made.net_ms, made.length_ms, seed, slow
    )  # fmt: skip


@dataclass(frozen=True)
class Row:
    """One value of the sweep: medians over the seeds."""

    value: float
    requests: float
    served: float
    p50_ms: float
    p99_ms: float
    held_ms: float
    blamed_on_volumes: float


def _figures(found: list[RequestResult]) -> tuple[float, ...]:
    waits = sorted(done.latency for done in found if done.outcome == "served") or [0.0]
    held = sum(done.queued_ms for done in found)
    volumes = sum(v for done in found for holder, v in done.blame.items() if holder[0] == "volume")
    return (
        float(len(found)), sum(done.outcome == "served" for done in found) / max(1, len(found)),
        waits[len(waits) // 2], waits[int(len(waits) * 0.99)], held / max(1, len(found)), volumes / held if held else 0.0,
    )  # fmt: skip


def run(experiment: Experiment) -> list[Row]:
    """Every value with every seed. Simulated figures."""
    rows = []
    for value in experiment.values:
        runs = [_figures(play(simulation_setup(experiment, value, seed))) for seed in experiment.seeds]
        rows.append(Row(value, *(statistics.median(run[at] for run in runs) for at in range(6))))
    return rows


def table(experiment: Experiment, rows: list[Row]) -> str:
    """The rows as text."""
    names = [field.name for field in dataclasses.fields(Row)]
    lines = [f"{experiment.name}: medians of {len(experiment.seeds)} seeds, simulated"]
    lines.append("".join(f"{experiment.sweep if name == 'value' else name:>19}" for name in names))
    lines += ["".join(f"{getattr(row, name):19.3f}" for name in names) for row in rows]
    return "\n".join(lines)


def plot(experiment: Experiment, rows: list[Row], path: Path) -> None:
    """Latency and waiting over the sweep, as a PNG. ExperimentError where matplotlib is not installed."""
    try:
        import matplotlib
    except ImportError as error:
        raise ExperimentError("plots need matplotlib: pip install -r requirements-plots.txt") from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    values = [row.value for row in rows]
    series: dict[str, Any] = {
        "p50": [row.p50_ms for row in rows], "p99": [row.p99_ms for row in rows],
        "held a request": [row.held_ms for row in rows],
    }  # fmt: skip
    for name, points in series.items():
        axes.plot(values, points, "o-", label=name)
    axes.set(xlabel=experiment.sweep, ylabel="ms", title=f"{experiment.name} (simulated)")
    axes.grid(True, alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")
