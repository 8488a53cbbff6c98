"""``winchdyke serve``: runs one gateway."""

from __future__ import annotations

from pathlib import Path

import anyio
import click

from winchdyke.cli.common import FILE, load_config_or_exit


@click.command("serve")
@click.option(
    "-c", "--config", "file", type=FILE, required=True, help="Settings file; check it with 'winchdyke check'."
)
def command(file: Path) -> None:
    """Run a gateway until SIGTERM; before it exits, it answers all accepted requests."""
    from winchdyke.gateway import daemon, logs

    config = load_config_or_exit(file)
    logs.configure(config.log.form, config.log.access)
    try:
        anyio.run(daemon.serve, config)
    except daemon.StartError as error:
        raise click.ClickException(str(error)) from None
    except BaseExceptionGroup as group:
        start_errors, rest = group.split(daemon.StartError)
        if rest is not None or start_errors is None:
            raise
        start_error: BaseException = start_errors
        while isinstance(start_error, BaseExceptionGroup):
            start_error = start_error.exceptions[0]
        raise click.ClickException(str(start_error)) from None
