"""``winchdyke keys``: the keys of the admin API over TCP."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import click

from winchdyke.cli.common import format_unix_ms, parse_duration_ms

FILE = click.argument("file", type=click.Path(path_type=Path, dir_okay=False))


@click.group("keys")
def command() -> None:
    """Keys of the admin API.

    FILE is the gateway's `admin, keys`; a running gateway applies changes from the next request on.
    """


def _read(file: Path, may_be_missing: bool = False) -> list[Any]:
    from winchdyke.admin.keys import KeyFileError, read_keys

    if may_be_missing and not file.exists():
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


def _find(keys: list[Any], key_id: str, file: Path) -> Any:
    for key in keys:
        if key.id == key_id:
            return key
    raise click.ClickException(f"{file} has no key {key_id}; 'winchdyke keys list {file}' shows them")


@command.command("new")
@FILE
@click.option("--who", required=True, help="Owner of the key, who is named in the change log.")
@click.option(
    "--for",
    "lifetime",
    default=None,
    metavar="TIME",
    help="How long the key is valid; without it, indefinitely.",
)
@click.option(
    "--to",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Also write the key to a file for its owner.",
)
def new(file: Path, who: str, lifetime: str | None, to: Path | None) -> None:
    """Create a key, and FILE if it does not exist."""
    from winchdyke.admin.keys import create_key

    keys = _read(file, may_be_missing=True)
    now_ms = time.time() * 1000
    valid_until_ms = now_ms + parse_duration_ms(lifetime, "--for") if lifetime else 0.0
    key = create_key(who, now_ms, valid_until_ms)
    _write(file, [*keys, key])
    if to is not None:
        _write(to, [key])
    click.echo(key.id)


@command.command("rotate")
@FILE
@click.argument("key_id", metavar="ID")
@click.option(
    "--overlap", default="24h", show_default=True, metavar="TIME", help="How long the old key remains valid."
)
@click.option(
    "--to", type=click.Path(path_type=Path, dir_okay=False), help="Write the new key to a file for its owner."
)
def rotate(file: Path, key_id: str, overlap: str, to: Path | None) -> None:
    """Create a new key for the owner of key ID; both are valid during the overlap."""
    from winchdyke.admin.keys import create_key

    keys = _read(file)
    now_ms = time.time() * 1000
    old = _find(keys, key_id, file)
    overlap_end_ms = now_ms + parse_duration_ms(overlap, "--overlap")
    old.valid_until_ms = min(old.valid_until_ms, overlap_end_ms) if old.valid_until_ms else overlap_end_ms
    key = create_key(old.who, now_ms)
    _write(file, [*keys, key])
    if to is not None:
        _write(to, [key])
    click.echo(key.id)


@command.command("withdraw")
@FILE
@click.argument("key_id", metavar="ID")
def withdraw(file: Path, key_id: str) -> None:
    """Withdraw key ID; it is refused from the next request on."""
    keys = _read(file)
    withdrawn = _find(keys, key_id, file)
    _write(file, [key for key in keys if key is not withdrawn])
    click.echo(f"{key_id} is withdrawn")


@command.command("list")
@FILE
def show(file: Path) -> None:
    """List the keys, without their secrets."""
    now_ms = time.time() * 1000
    for key in _read(file):
        validity = "valid" if key.is_valid(now_ms) else "not valid"
        click.echo(f"{key.id:24} {key.who:16} {validity:14} until {format_unix_ms(key.valid_until_ms)}")
