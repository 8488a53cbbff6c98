"""``winchdyke model``: experiments in virtual time with the real module."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path

import click

from winchdyke.cli.common import FILE


@click.group("model")
def command() -> None:
    """Gateways, stores and clients in virtual time. Figures are simulated, and say so."""


@command.command("run")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="The table as JSON.")
@click.option("--plot", "picture", type=FILE, help="Write a plot (PNG) here; needs matplotlib.")
def run(file: Path, as_json: bool, picture: Path | None) -> None:
    """Run the experiment in FILE (TOML; see docs/model.md)."""
    from winchdyke.model import experiment

    try:
        made = experiment.read(file)
        rows = experiment.run(made)
        if picture is not None:
            experiment.plot(made, rows, picture)
    except experiment.ExperimentError as error:
        raise click.ClickException(str(error)) from None
    click.echo(
        json.dumps([dataclasses.asdict(row) for row in rows]) if as_json else experiment.table(made, rows)
    )
