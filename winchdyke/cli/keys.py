"""``winchdyke keys``: who may use the admin API over TCP."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import click

from winchdyke.cli.common import span, when

FILE = click.argument("file", type=click.Path(path_type=Path, dir_okay=False))


@click.group("keys")
def command() -> None:
    """Keys of the admin API. FILE is a gateway's `admin, keys`; a running gateway goes by it from the next request on."""


def _read(file: Path, none_yet: bool = False) -> list[Any]:
    from winchdyke.admin.keys import KeyFileError, read_keys

    if none_yet and not file.exists():
        return []
    try:
        return read_keys(file)
    except KeyFileError as error:
        raise click.ClickException(str(error)) from None


def _write(file: Path, keys: list[Any]) -> None:
    from winchdyke.admin.keys import KeyFileError, write_keys

    try:
        write_keys(file, keys)
    except KeyFileError as error:
        raise click.ClickException(str(error)) from None


def _mine(keys: list[Any], name: str, file: Path) -> Any:
    for key in keys:
        if key.id == name:
            return key
    raise click.ClickException(f"{file} has no key {name}; 'winchdyke keys list {file}' shows them")


@command.command("new")
@FILE
@click.option("--who", required=True, help="Whose it is; it stands on the trail of what is done with it.")
@click.option(
    "--for", "counts", default=None, metavar="TIME", help="How long it counts; for good where not given."
)
@click.option(
    "--to", type=click.Path(path_type=Path, dir_okay=False), help="Write it to a file for its owner, too."
)
def new(file: Path, who: str, counts: str | None, to: Path | None) -> None:
    """Make a key, and the file where there is none."""
    from winchdyke.admin.keys import create_key

    keys, now = _read(file, none_yet=True), time.time() * 1000
    key = create_key(who, now, now + span(counts, "--for") if counts else 0.0)
    _write(file, [*keys, key])
    if to is not None:
        _write(to, [key])
    click.echo(key.id)


@command.command("rotate")
@FILE
@click.argument("name", metavar="ID")
@click.option(
    "--overlap", default="24h", show_default=True, metavar="TIME", help="How long the old one counts still."
)
@click.option(
    "--to", type=click.Path(path_type=Path, dir_okay=False), help="Write the new one to a file for its owner."
)
def rotate(file: Path, name: str, overlap: str, to: Path | None) -> None:
    """Make another key for the owner of key ID; both count for a while."""
    from winchdyke.admin.keys import create_key

    keys, now = _read(file), time.time() * 1000
    old = _mine(keys, name, file)
    end = now + span(overlap, "--overlap")
    old.until_ms = min(old.until_ms, end) if old.until_ms else end
    key = create_key(old.who, now)
    _write(file, [*keys, key])
    if to is not None:
        _write(to, [key])
    click.echo(key.id)


@command.command("withdraw")
@FILE
@click.argument("name", metavar="ID")
def withdraw(file: Path, name: str) -> None:
    """Take key ID away; it is refused from the next request on."""
    keys = _read(file)
    gone = _mine(keys, name, file)
    _write(file, [key for key in keys if key is not gone])
    click.echo(f"{name} is withdrawn")


@command.command("list")
@FILE
def show(file: Path) -> None:
    """The keys, without their secrets."""
    now = time.time() * 1000
    for key in _read(file):
        until = when(key.until_ms)
        click.echo(
            f"{key.id:24} {key.who:16} {'counts' if key.good(now) else 'does not count':14} until {until}"
        )
