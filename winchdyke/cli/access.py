"""``winchdyke access``: access keys of S3 clients; ``winchdyke s3``: the supported S3 operations."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from winchdyke.cli.common import format_unix_ms, parse_duration_ms

PATH = click.Path(path_type=Path, dir_okay=False)
FILE = click.argument("file", type=PATH)
MASTER = click.option(
    "--master", type=PATH, required=True, help="File with the master key; see 'access master'."
)
T = TypeVar("T")


@click.group("access")
def command() -> None:
    """Access keys of S3 clients.

    FILE is the gateway's `s3, keys`; a running gateway applies changes from the next request on.
    """


def _call_or_exit(function: Callable[..., T], *arguments: Any) -> T:
    from winchdyke.auth.keys import AccessKeyFileError

    try:
        return function(*arguments)
    except AccessKeyFileError as error:
        raise click.ClickException(str(error)) from None


def _read_keys_or_empty(file: Path) -> list[Any]:
    from winchdyke.auth.keys import read_keys

    return _call_or_exit(read_keys, file) if file.exists() else []


def _parse_right(text: str) -> Any:
    from winchdyke.auth.keys import ACTIONS, Right

    resource, _, actions = text.rpartition(":")
    volume, _, prefix = resource.partition("/")
    allow = [part.strip() for part in actions.split(",")]
    if not volume or any(action not in ACTIONS for action in allow):
        raise click.ClickException(
            f"--may {text!r} is not VOLUME[/PREFIX]:ACTIONS; actions are {', '.join(ACTIONS)}"
        )
    return Right(volume, prefix, allow)


@command.command("master")
@FILE
def master(file: Path) -> None:
    """Create a master key in FILE; if it has one, add a newer one and then run 'access reseal'."""
    from winchdyke.auth.keys import add_master_key

    _call_or_exit(add_master_key, file)
    click.echo(f"{file}: new master key added")


@command.command("new")
@FILE
@MASTER
@click.option("--who", required=True, help="Owner of the key.")
@click.option(
    "--may",
    "rights",
    multiple=True,
    required=True,
    metavar="VOLUME[/PREFIX]:ACTIONS",
    help="What the key may do, such as 'school-*:read,list'; can be repeated.",
)
@click.option(
    "--for",
    "counts",
    default=None,
    metavar="TIME",
    help="How long the key is valid; without it, indefinitely.",
)
def new(file: Path, master: Path, who: str, rights: tuple[str, ...], counts: str | None) -> None:
    """Create a key; its secret is shown only once."""
    from winchdyke.auth.keys import create_key, write_keys

    now = time.time() * 1000
    until = now + parse_duration_ms(counts, "--for") if counts else 0.0
    keys = _read_keys_or_empty(file)
    key, secret = _call_or_exit(create_key, who, [_parse_right(text) for text in rights], master, now, until)
    _call_or_exit(write_keys, file, [*keys, key])
    click.echo(f"access key  {key.id}\nsecret key  {secret}")


@command.command("withdraw")
@FILE
@click.argument("name", metavar="ID")
@click.option(
    "--within",
    default=None,
    metavar="TIME",
    help="Keep the key valid for this time, for the change to another key.",
)
def withdraw(file: Path, name: str, within: str | None) -> None:
    """Withdraw key ID, at once unless --within is given."""
    from winchdyke.auth.keys import write_keys

    keys = _read_keys_or_empty(file)
    if name not in {key.id for key in keys}:
        raise click.ClickException(f"{file} has no key {name}; 'winchdyke access list {file}' shows them")
    until = time.time() * 1000 + parse_duration_ms(within, "--within") if within else 0.0
    for key in keys:
        if key.id == name and until:
            key.until_ms = min(key.until_ms, until) if key.until_ms else until
    _call_or_exit(write_keys, file, [key for key in keys if key.id != name or until])
    click.echo(f"{name} is withdrawn" + (f" in {within}" if until else ""))


@command.command("reseal")
@FILE
@MASTER
def reseal(file: Path, master: Path) -> None:
    """Encrypt all secrets with the newest master key."""
    from winchdyke.auth.keys import reseal_keys, write_keys

    keys = _call_or_exit(reseal_keys, _read_keys_or_empty(file), master)
    _call_or_exit(write_keys, file, keys)
    click.echo(f"{len(keys)} keys are sealed with the newest master key")


@command.command("list")
@FILE
def show(file: Path) -> None:
    """List the keys, without their secrets."""
    now = time.time() * 1000
    for key in _read_keys_or_empty(file):
        until = format_unix_ms(key.until_ms)
        rights = " ".join(
            f"{r.volume}{'/' + r.prefix if r.prefix else ''}:{','.join(r.allow)}" for r in key.rights
        )
        click.echo(
            f"{key.id:22} {key.who:12} {'valid' if key.is_valid(now) else 'not valid':14} until {until}  {rights}"
        )


@click.group("s3")
def s3_command() -> None:
    """The S3 API."""


@s3_command.command("spoken")
def spoken() -> None:
    """Print the supported and the unsupported S3 operations, as the table in the docs."""
    from winchdyke.s3.requests import SUPPORTED_OPERATIONS, UNSUPPORTED_PARAMETERS

    click.echo("| operation | as | right | notes |\n| --- | --- | --- | --- |")
    for entry in SUPPORTED_OPERATIONS:
        resource = {"service": "/", "bucket": "/BUCKET", "object": "/BUCKET/KEY"}[entry.level]
        query = "&".join(entry.required_query)
        header = f", `{entry.required_header.decode()}`" if entry.required_header else ""
        right = {"own": ""}.get(entry.required_right, entry.required_right)
        click.echo(
            f"| {entry.name} | `{entry.method} {resource}{'?' + query if query else ''}`{header} | {right} | {entry.notes} |"
        )
    click.echo(
        "\nNot spoken (501 `NotImplemented`): "
        + ", ".join(f"`{name}`" for name in sorted(UNSUPPORTED_PARAMETERS))
        + "."
    )
