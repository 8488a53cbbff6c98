"""The simulation in virtual time, and blame compared with runs without the blamed workload."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from winchdyke.cli.main import main
from winchdyke.model.world import SimulationSetup, Workload, counterfactual, play


def example_setup(seed: int, burst: float = 60.0, **changes: object) -> SimulationSetup:
    workloads = (
        Workload("school", 20.0, "fetch", 2.0, "school"),
        Workload("burst", burst, "export", 4.0, "basic", begin_ms=2000.0, end_ms=5000.0),
    )
    return SimulationSetup(workloads, seed=seed, length_ms=8000.0, **changes)  # type: ignore[arg-type]


def test_every_request_ends_and_its_blame_adds_up():
    for request in play(example_setup(1)):
        assert request.outcome in ("served", "refused", "failed")
        assert sum(request.blame.values()) == pytest.approx(request.queued_ms) == sum(request.causes.values())
        assert request.queued_ms <= request.latency + 1e-6


def test_runs_are_deterministic_and_omitting_a_workload_changes_no_other_arrival():
    assert play(example_setup(3)) == play(example_setup(3))
    arrivals = [(request.id, request.at) for request in play(example_setup(3)) if request.volume == "school"]
    assert arrivals == [(request.id, request.at) for request in play(example_setup(3), frozenset({"burst"}))]


def test_blame_names_the_workload_whose_removal_shortens_the_queueing():
    """In 20 runs queueing is shorter without the blamed workload; an almost idle workload is hardly blamed."""
    for seed in range(20):
        comparison = counterfactual(example_setup(seed), "school", "burst")
        assert comparison.blamed_ms > 0.1 * comparison.queued_ms, comparison
        assert comparison.reduction_ms > 0.5 * comparison.queued_ms, comparison
    light = example_setup(1, burst=0.5)
    assert (
        counterfactual(light, "school", "burst").blamed_ms
        < 0.05 * counterfactual(example_setup(1), "school", "burst").blamed_ms
    )


def test_requests_for_a_slow_node_are_queued_longer():
    workloads = tuple(Workload(f"c{n}", 8.0, "fetch", 2.0, shards=(n % 2,)) for n in range(4))
    requests = play(SimulationSetup(workloads, stores=2, slow=((1, 6.0),), length_ms=6000.0))
    queued_ms = {
        n: sum(request.queued_ms for request in requests if request.volume == f"c{n}") for n in range(4)
    }
    assert queued_ms[1] + queued_ms[3] > 5 * (queued_ms[0] + queued_ms[2])


def test_many_gateways_finish_all_requests():
    workloads = tuple(
        Workload(f"c{n}", 4.0, shards=(n % 8,), gateways=(n % 30, (n + 7) % 30)) for n in range(40)
    )
    requests = play(SimulationSetup(workloads, gateways=30, stores=8, length_ms=2000.0))
    assert len(requests) > 200
    assert all(request.outcome for request in requests)


def test_an_experiment_is_read_from_a_file_and_simulated(tmp_path):
    file = tmp_path / "e.toml"
    head = 'name = "e"\nsweep = "rate_factor"\nvalues = [0.5, 8]\nseeds = [1]\nlength_ms = 2000.0\n'
    file.write_text(head + '[[courses]]\nname = "c"\nrate = 20.0\n')
    result = CliRunner().invoke(main, ["model", "run", str(file), "--json"])
    light, heavy = json.loads(result.output)
    assert light["served"] == 1.0
    assert heavy["held_ms"] > 10 * light["held_ms"]
    assert "simulated" in CliRunner().invoke(main, ["model", "run", str(file)]).output


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('name = "e"\n', "missing required field `courses`"),
        ('name = "e"\nsweep = "colour"\n[[courses]]\nname = "c"\n', "sweep is 'colour'; it can be gateways"),
        ('name = "e"\ncourse = 1\n', "unknown field `course`|missing required"),
        ("name = e", "Invalid value|line 1"),
        ('name = "e"\nvalues = []\n[[courses]]\nname = "c"\n', "one entry at least"),
    ],
)
def test_an_invalid_experiment_is_reported(tmp_path, text, message):
    file = tmp_path / "e.toml"
    file.write_text(text)
    result = CliRunner().invoke(main, ["model", "run", str(file)])
    assert result.exit_code == 1
    assert any(alternative in result.output for alternative in message.split("|")), result.output


def test_gateways_that_start_without_discovery_use_cached_endpoints_and_send_nothing_to_other_stores():
    arguments = [
        "model",
        "start",
        "--gateways",
        "4",
        "--stores",
        "6",
        "--gone",
        "0.67",
        "--fresh",
        "0.17",
        "--seconds",
        "4",
        "--json",
    ]
    run = lambda *options: json.loads(CliRunner().invoke(main, [*arguments, *options]).output)  # noqa: E731
    belief, outright, wait = run(), run("--policy", "outright"), run("--policy", "wait")
    assert belief["to_strangers"] == 0 < outright["to_strangers"]
    assert belief["pushed_over"] == 0 and belief["first_answer_ms"] < 500
    assert belief["worth"] > 0 == wait["worth"]
    assert run("--policy", "wait", "--down", "0")["worth"] >= belief["worth"]
    assert CliRunner().invoke(main, ["model", "start", "--stores", "0"]).exit_code == 1
