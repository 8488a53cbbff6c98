"""``winchdyke check``: checks settings and summarizes them."""

from __future__ import annotations

from pathlib import Path

import click

from winchdyke.cli.common import FILE, load_config_or_exit


@click.command("check")
@click.argument("file", type=FILE)
def command(file: Path) -> None:
    """Check the settings in FILE and report every mistake with file, line and key."""
    config = load_config_or_exit(file)
    names = ", ".join(kind.rules.name for kind in config.kinds)
    click.echo(
        f"{file}: good. Gateway {config.gateway.index + 1} of {config.gateway.gateways}; classes {names}; "
        f"{len(config.plans)} plans; {len(config.volumes)} volume rules"
    )
