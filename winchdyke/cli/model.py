"""``winchdyke model``: experiments in virtual time with the real scheduler."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path

import click

from winchdyke.cli.common import FILE


@click.group("model")
def command() -> None:
    """Simulate gateways, stores and clients in virtual time. Output is marked as simulated."""


@command.command("run")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="Print the table as JSON.")
@click.option("--plot", "picture", type=FILE, help="Write a plot (PNG) to this file; requires matplotlib.")
def run(file: Path, as_json: bool, picture: Path | None) -> None:
    """Run the experiment in FILE (TOML; see docs/model.md)."""
    from winchdyke.model import experiment

    try:
        loaded = experiment.read(file)
        rows = experiment.run(loaded)
        if picture is not None:
            experiment.plot(loaded, rows, picture)
    except experiment.ExperimentError as error:
        raise click.ClickException(str(error)) from None
    click.echo(
        json.dumps([dataclasses.asdict(row) for row in rows]) if as_json else experiment.table(loaded, rows)
    )


@command.command("start")
@click.option(
    "--policy",
    type=click.Choice(["belief", "outright", "wait", "plain"]),
    default="belief",
    show_default=True,
)
@click.option("--gateways", default=12, show_default=True)
@click.option("--stores", default=12, show_default=True)
@click.option("--down", default=600.0, show_default=True, help="Seconds for which discovery is down.")
@click.option(
    "--gone", default=0.05, show_default=True, help="Share of the nodes on the cached list that have moved."
)
@click.option("--fresh", default=0.1, show_default=True, help="Share of the nodes that have just started.")
@click.option(
    "--load", default=0.5, show_default=True, help="Requested work as a share of the capacity of all stores."
)
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def start(
    policy: str, gateways: int, stores: int, down: float, gone: float, fresh: float, load: float, seconds: float, seed: int,
    as_json: bool,
) -> None:  # fmt: skip
    """Simulate a fleet that starts from cached lists while discovery is down; see docs/discovery.md."""
    from winchdyke.model.starts import StartupConditions, StartupSimulation, startup_simulation_setup

    if min(gateways, stores) < 1 or not 0 <= gone + fresh <= 1 or min(load, seconds) <= 0:
        raise click.ClickException(
            "--gateways and --stores must be 1 or more, --load and --seconds greater than 0, --gone plus --fresh from 0 to 1"
        )
    simulation = StartupSimulation(
        startup_simulation_setup(gateways, stores, seed, seconds * 1000, load),
        StartupConditions(policy, down * 1000, gone, fresh),
    )
    results = simulation.run()
    data = {
        "requests": len(results), "served": sum(result.outcome == "served" for result in results),
        "worth": simulation.value_served(seconds * 1000),
        "first_answer_ms": None if not any(result.outcome == "served" for result in results) else simulation.first_served_ms(),
        "pushed_over": sum(store.overloaded for store in simulation.simulated_stores.values()),
        "to_strangers": sum(store.misdirected_requests for store in simulation.simulated_stores.values()),
        "list_calls_in_a_second": max(simulation.list_calls.values(), default=0),
    }  # fmt: skip
    click.echo(
        json.dumps(data)
        if as_json
        else "simulated: " + ", ".join(f"{key} {value}" for key, value in data.items())
    )
