"""Experiments read from files: a simulation with one value swept, repeated for several seeds; as a table, and as a plot."""

from __future__ import annotations

import dataclasses
import statistics
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from winchdyke.model.world import RequestResult, SimulationSetup, Workload, play

SWEEP_FIELDS = ("gateways", "stores", "cores", "unit_ms", "net_ms", "rate_factor", "slow_factor")


class ExperimentError(Exception):
    """The experiment can't be run; the message says what is wrong."""


class WorkloadGroup(msgspec.Struct, forbid_unknown_fields=True):
    """Several equal workloads, spread over shards and gateways."""

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
    """A simulation and its groups of workloads, the field that is swept and its values, and the seeds."""

    name: str
    courses: list[WorkloadGroup]
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
    """Read an experiment from a TOML file. Raises ExperimentError if it is not valid."""
    try:
        experiment = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Experiment)
    except OSError as error:
        raise ExperimentError(f"{path} can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise ExperimentError(f"{path}: {error}") from error
    if experiment.sweep not in SWEEP_FIELDS:
        raise ExperimentError(f"{path}: sweep is {experiment.sweep!r}; it can be {', '.join(SWEEP_FIELDS)}")
    if not experiment.values or not experiment.seeds or not experiment.courses:
        raise ExperimentError(f"{path}: values, seeds and courses need one entry at least")
    return experiment


def simulation_setup(experiment: Experiment, value: float, seed: int) -> SimulationSetup:
    """The simulation for one value of the sweep and one seed."""
    value_type = type(getattr(experiment, experiment.sweep))
    swept = msgspec.structs.replace(experiment, **{experiment.sweep: value_type(value)})
    workloads = []
    for group in swept.courses:
        for number in range(group.count):
            shards = tuple(sorted({(number + n) % swept.stores for n in range(group.shards)}))
            gateways = tuple(sorted({(number * 7 + n) % swept.gateways for n in range(group.gateways)}))
            workloads.append(
                Workload(
                    f"{group.name}-{number}", group.rate * swept.rate_factor, group.class_name, group.units, group.plan, shards,
                    gateways, group.begin_ms, group.end_ms,
                )
            )  # fmt: skip
    slow = ((swept.slow_store, swept.slow_factor),) if swept.slow_store >= 0 else ()
    return SimulationSetup(
        tuple(workloads), swept.gateways, swept.stores, swept.cores, swept.unit_ms, swept.net_ms, swept.length_ms, seed, slow
    )  # fmt: skip


@dataclass(frozen=True)
class Row:
    """The medians over all seeds for one value of the sweep."""

    value: float
    requests: float
    served: float
    p50_ms: float
    p99_ms: float
    held_ms: float
    blamed_on_volumes: float


def _figures(requests: list[RequestResult]) -> tuple[float, ...]:
    latencies = sorted(done.latency for done in requests if done.outcome == "served") or [0.0]
    queued_ms = sum(done.queued_ms for done in requests)
    volumes = sum(
        share_ms for done in requests for holder, share_ms in done.blame.items() if holder[0] == "volume"
    )
    return (
        float(len(requests)), sum(done.outcome == "served" for done in requests) / max(1, len(requests)),
        latencies[len(latencies) // 2], latencies[int(len(latencies) * 0.99)],
        queued_ms / max(1, len(requests)), volumes / queued_ms if queued_ms else 0.0,
    )  # fmt: skip


def run(experiment: Experiment) -> list[Row]:
    """Simulate every value with every seed."""
    rows = []
    for value in experiment.values:
        runs = [_figures(play(simulation_setup(experiment, value, seed))) for seed in experiment.seeds]
        rows.append(Row(value, *(statistics.median(run[index] for run in runs) for index in range(6))))
    return rows


def table(experiment: Experiment, rows: list[Row]) -> str:
    """The rows as a text table."""
    names = [field.name for field in dataclasses.fields(Row)]
    lines = [f"{experiment.name}: medians of {len(experiment.seeds)} seeds, simulated"]
    lines.append("".join(f"{experiment.sweep if name == 'value' else name:>19}" for name in names))
    lines += ["".join(f"{getattr(row, name):19.3f}" for name in names) for row in rows]
    return "\n".join(lines)


def plot(experiment: Experiment, rows: list[Row], path: Path) -> None:
    """Write a PNG of latency and queueing time over the sweep. Raises ExperimentError if matplotlib is not installed."""
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
        "queueing time per request": [row.held_ms for row in rows],
    }  # fmt: skip
    for name, points in series.items():
        axes.plot(values, points, "o-", label=name)
    axes.set(xlabel=experiment.sweep, ylabel="ms", title=f"{experiment.name} (simulated)")
    axes.grid(True, alpha=0.3)
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")
