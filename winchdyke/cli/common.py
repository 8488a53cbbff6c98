"""Helpers shared by the subcommands."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import click

from winchdyke.config import Config, ConfigError, Loaded, load_all


def load_config_or_exit(path: Path) -> Config:
    """Load the settings in a file. If they are not valid, print every mistake and exit with status 2."""
    return load_or_exit(path).config


def load_or_exit(path: Path) -> Loaded:
    """Like ``load_config_or_exit``, with the origin of each value."""
    try:
        return load_all(path)
    except ConfigError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        count = len(error.problems)
        click.echo(f"{path}: {count} mistake{'s' if count > 1 else ''}; nothing was started", err=True)
        raise SystemExit(2) from None


def parse_duration_ms(text: str | None, option: str) -> float:
    """Return the milliseconds of an option's value, such as 60s; 0 if the option was not given."""
    from winchdyke.config import units

    try:
        return units.duration(text) if text else 0.0
    except ValueError as error:
        raise click.ClickException(f"{option}: {error}") from None


def format_unix_ms(unix_ms: float, none: str = "-") -> str:
    """Format a Unix time in ms as UTC; ``none`` if it is 0."""
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S") if unix_ms else none


FILE = click.Path(path_type=Path, dir_okay=False)
