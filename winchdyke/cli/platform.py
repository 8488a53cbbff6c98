"""``winchdyke platform``: runs one gateway that speaks the platform's protocol."""

from __future__ import annotations

import sys

import click


@click.command("platform")
def command() -> None:
    """Run a gateway as the platform starts it: configured by NODE_CONFIG, until SIGTERM."""
    from winchdyke.platform.__main__ import main

    sys.exit(main())
