"""What the sub-commands share."""

from __future__ import annotations

from pathlib import Path

import click

from winchdyke.config import Config, ConfigError, Loaded, load_all


def settings_from(path: Path) -> Config:
    """The settings in a file; where they can't be used, every mistake is printed and the command ends with 2."""
    return loaded_from(path).config


def loaded_from(path: Path) -> Loaded:
    """The same, with where each value came from."""
    try:
        return load_all(path)
    except ConfigError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        count = len(error.problems)
        click.echo(f"{path}: {count} mistake{'s' if count > 1 else ''}; nothing was started", err=True)
        raise SystemExit(2) from None


FILE = click.Path(path_type=Path, dir_okay=False)
