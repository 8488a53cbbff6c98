"""The ``winchdyke`` command, which contains all subcommands."""

from __future__ import annotations

import click

from winchdyke.cli import (
    access,
    changes,
    check,
    config,
    day,
    dev,
    fleet,
    keys,
    load,
    model,
    nodes,
    platform,
    serve,
    standin,
    waits,
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="winchdyke")
def main() -> None:
    """A storage gateway: it schedules a host's reads and writes across storage nodes."""


for command in (
    serve.command,
    platform.command,
    check.command,
    config.command,
    dev.command,
    day.command,
    standin.command,
    waits.command,
    model.command,
    nodes.command,
    fleet.command,
    changes.command,
    changes.plan_command,
    changes.volume_command,
    changes.limit_command,
    keys.command,
    access.command,
    access.s3_command,
    load.command,
):
    main.add_command(command)
