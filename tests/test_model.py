"""The model in virtual time, and blame held against scenes in which the blamed course never came."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from winchdyke.cli.main import main
from winchdyke.model.world import SimulationSetup, Workload, counterfactual, play


def scene(seed: int, burst: float = 60.0, **changes: object) -> SimulationSetup:
    courses = (
        Workload("school", 20.0, "fetch", 2.0, "school"),
        Workload("burst", burst, "export", 4.0, "basic", begin_ms=2000.0, end_ms=5000.0),
    )
    return SimulationSetup(courses, seed=seed, length_ms=8000.0, **changes)  # type: ignore[arg-type]


def test_every_request_ends_once_and_its_blame_adds_up():
    for done in play(scene(1)):
        assert done.outcome in ("served", "refused", "failed")
        assert sum(done.blame.values()) == pytest.approx(done.queued_ms) == sum(done.causes.values())
        assert done.queued_ms <= done.latency + 1e-6


def test_a_seed_is_a_run_and_a_course_that_is_left_out_changes_no_other_arrival():
    assert play(scene(3)) == play(scene(3))
    whole = [(done.id, done.at) for done in play(scene(3)) if done.volume == "school"]
    assert whole == [(done.id, done.at) for done in play(scene(3), frozenset({"burst"}))]


def test_blame_points_to_the_course_without_which_the_wait_falls():
    """Twenty scenes: the wait falls where the blamed course is taken away, and not where an idle one is."""
    for seed in range(20):
        check = counterfactual(scene(seed), "school", "burst")
        assert check.blamed_ms > 0.1 * check.queued_ms, check
        assert check.reduction_ms > 0.5 * check.queued_ms, check
    calm = scene(1, burst=0.5)
    assert (
        counterfactual(calm, "school", "burst").blamed_ms
        < 0.05 * counterfactual(scene(1), "school", "burst").blamed_ms
    )


def test_a_slow_node_is_blamed_in_the_model_too():
    courses = tuple(Workload(f"c{n}", 8.0, "fetch", 2.0, shards=(n % 2,)) for n in range(4))
    found = play(SimulationSetup(courses, stores=2, slow=((1, 6.0),), length_ms=6000.0))
    held = {n: sum(done.queued_ms for done in found if done.volume == f"c{n}") for n in range(4)}
    assert held[1] + held[3] > 5 * (held[0] + held[2])


def test_many_gateways_end_all_they_take():
    courses = tuple(
        Workload(f"c{n}", 4.0, shards=(n % 8,), gateways=(n % 30, (n + 7) % 30)) for n in range(40)
    )
    found = play(SimulationSetup(courses, gateways=30, stores=8, length_ms=2000.0))
    assert len(found) > 200
    assert all(done.outcome for done in found)


def test_an_experiment_from_a_file(tmp_path):
    file = tmp_path / "e.toml"
    head = 'name = "e"\nsweep = "rate_factor"\nvalues = [0.5, 8]\nseeds = [1]\nlength_ms = 2000.0\n'
    file.write_text(head + '[[courses]]\nname = "c"\nrate = 20.0\n')
    done = CliRunner().invoke(main, ["model", "run", str(file), "--json"])
    calm, full = json.loads(done.output)
    assert calm["served"] == 1.0
    assert full["held_ms"] > 10 * calm["held_ms"]
    assert "simulated" in CliRunner().invoke(main, ["model", "run", str(file)]).output


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('name = "e"\n', "missing required field `courses`"),
        ('name = "e"\nsweep = "colour"\n[[courses]]\nname = "c"\n', "sweep is 'colour'; it can be gateways"),
        ('name = "e"\ncourse = 1\n', "unknown field `course`|missing required"),
        ("name = e", "Invalid value|line 1"),
        ('name = "e"\nvalues = []\n[[courses]]\nname = "c"\n', "one entry at least"),
    ],
)
def test_what_is_no_experiment_is_said(tmp_path, text, said):
    file = tmp_path / "e.toml"
    file.write_text(text)
    done = CliRunner().invoke(main, ["model", "run", str(file)])
    assert done.exit_code == 1
    assert any(words in done.output for words in said.split("|")), done.output


def test_a_fleet_that_starts_without_discovery_serves_from_its_list_and_sends_strangers_nothing():
    words = [
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
    run = lambda *more: json.loads(CliRunner().invoke(main, [*words, *more]).output)  # noqa: E731
    belief, outright, wait = run(), run("--policy", "outright"), run("--policy", "wait")
    assert belief["to_strangers"] == 0 < outright["to_strangers"]
    assert belief["pushed_over"] == 0 and belief["first_answer_ms"] < 500
    assert belief["worth"] > 0 == wait["worth"]
    assert run("--policy", "wait", "--down", "0")["worth"] >= belief["worth"]
    assert CliRunner().invoke(main, ["model", "start", "--stores", "0"]).exit_code == 1
