"""``winchdyke changes``: settings as versions, changed while a gateway serves."""

from __future__ import annotations

import dataclasses
import getpass
import json
import os
import socket
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

FOLDER = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
WHO = click.option("--who", default=None, help="Who does this; the user's name where it is not given.")
WHY = click.option("--why", default="", help="Why; it stays on the trail.")


@click.group("changes")
def command() -> None:
    """Plans, volumes, routes and pools as versions. FOLDER is a gateway's `changes, folder`."""


def _trail(folder: Path, create: bool = False) -> Any:
    from winchdyke.changes.trail import Trail, TrailError

    try:
        return Trail(folder, create)
    except TrailError as error:
        raise click.ClickException(str(error)) from None


def _failing(call: Any, *words: Any, **more: Any) -> Any:
    from winchdyke.changes.trail import TrailError

    try:
        return call(*words, **more)
    except TrailError as error:
        raise click.ClickException(str(error)) from None


def _me(who: str | None) -> tuple[str, str]:
    return who or getpass.getuser(), f"{socket.gethostname()}:{os.getpid()}"


def _config(text: str, name: str) -> Any:
    from winchdyke.config import ConfigError, parse

    try:
        return parse(text, name)
    except ConfigError as error:
        raise click.ClickException(f"{name} does not pass the check:\n{error}") from None


def _shown(changes: list[Any]) -> list[str]:
    return [f"  {change.text}" + (f"  [{change.risk}]" if change.risk else "") for change in changes]


def _keep(trail: Any, old: Any, text: str, parent: int, who: str | None, why: str) -> tuple[int, list[Any]]:
    from winchdyke.changes.swap import fixed
    from winchdyke.config.meaning import diff

    new = _config(text, "the new version")
    changes = diff(old, new)
    if not changes:
        raise click.ClickException(f"nothing differs from version {parent}")
    if needs := fixed(changes):
        raise click.ClickException(
            f"{', '.join(needs[:5])} can't change in service; put that into the gateway's file and start it anew"
        )
    name, origin = _me(who)
    data = json.dumps([change.data() for change in changes], default=str)
    return _failing(trail.propose, text, parent, data, name, why, origin), changes


@command.command("propose")
@FOLDER
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@click.option(
    "--parent", type=int, default=None, help="The version it was made from; the one served where not given."
)
@WHO
@WHY
def propose(folder: Path, file: Path, parent: int | None, who: str | None, why: str) -> None:
    """Keep the settings in FILE as a version, checked, and say what differs."""
    trail = _trail(folder)
    parent = parent or _failing(trail.standing).serving
    old = _config(_failing(trail.version, parent).text, f"version {parent}")
    version, changes = _keep(trail, old, file.read_text(encoding="utf-8"), parent, who, why)
    click.echo(f"version {version}, from {parent}:")
    click.echo("\n".join(_shown(changes)))


@command.command("set")
@FOLDER
@click.argument("kind", type=click.Choice(["plan", "volume"]))
@click.argument("name")
@click.argument("values", nargs=-1, required=True, metavar="KEY=VALUE...")
@click.option("--parent", type=int, default=None, help="The version to edit; the one served where not given.")
@WHO
@WHY
def set_values(
    folder: Path, kind: str, name: str, values: tuple[str, ...], parent: int | None, who: str | None, why: str
) -> None:
    """Make a version in which a plan or a volume has other values."""
    from winchdyke.changes.edit import EditError, edited

    trail = _trail(folder)
    parent = parent or _failing(trail.standing).serving
    old = _config(_failing(trail.version, parent).text, f"version {parent}")
    try:
        text = edited(old, kind, name, values)
    except EditError as error:
        raise click.ClickException(str(error)) from None
    version, changes = _keep(trail, old, text, parent, who, why)
    click.echo(f"version {version}, from {parent}:")
    click.echo("\n".join(_shown(changes)))


@command.command("apply")
@FOLDER
@click.argument("version", type=int)
@click.option(
    "--confirm-within",
    default=None,
    metavar="TIME",
    help="Undo it by itself where it is not confirmed in time.",
)
@click.option(
    "--wait", "wait_s", default=5.0, show_default=True, help="Seconds to wait for the gateway; 0 for none."
)
@WHO
@WHY
def apply(
    folder: Path, version: int, confirm_within: str | None, wait_s: float, who: str | None, why: str
) -> None:
    """Stage VERSION for the gateway, which applies it at one instant.

    Where others have gone on since the version it was made from, their values stay where it does not touch them; where both
    touch the same one, nothing is applied and both edits are shown.
    """
    from winchdyke.changes.edit import rebased
    from winchdyke.changes.machine import Step
    from winchdyke.config import units

    trail = _trail(folder)
    found = _failing(trail.standing)
    made = _failing(trail.version, version)
    try:
        until = time.time() * 1000 + units.duration(confirm_within) if confirm_within else 0.0
    except ValueError as error:
        raise click.ClickException(f"--confirm-within: {error}") from None
    name, origin = _me(who)
    if made.parent != found.serving and version != found.serving:
        base, mine, theirs = (
            _config(_failing(trail.version, number).text, f"version {number}")
            for number in (made.parent, version, found.serving)
        )
        text, clashes = rebased(base, mine, theirs)
        if clashes:
            lines = [f"  yours: {a.text}\n  theirs: {b.text}" for a, b in clashes]
            raise click.ClickException(
                f"version {version} was made from {made.parent}, and {found.serving} is served; both change the same:\n"
                + "\n".join(lines) + "\nmake a version from the one that is served"
            )  # fmt: skip
        version, _ = _keep(trail, theirs, text, found.serving, who, f"merged from {version}; {why}")
        click.echo(f"merged with what is served, as version {version}")
    _failing(trail.add, Step("staged", version, until_ms=until), name, why, origin, expect=found)
    if wait_s:
        _wait(trail, version, wait_s)


def _wait(trail: Any, version: int, wait_s: float) -> None:
    until = time.monotonic() + wait_s
    while time.monotonic() < until:
        last = [entry for entry in _failing(trail.entries) if entry.version == version][-1]
        if last.what in ("applied", "undone", "refused"):
            said = f"version {version}: {last.what}" + (f" ({last.note})" if last.note else "")
            if last.what == "refused":
                raise click.ClickException(said)
            click.echo(said)
            return
        time.sleep(0.05)
    click.echo(f"version {version} is staged; no gateway has taken it up within {wait_s:g} s")


@command.command("confirm")
@FOLDER
@WHO
def confirm(folder: Path, who: str | None) -> None:
    """Keep what was applied on trial."""
    from winchdyke.changes.machine import Step

    trail = _trail(folder)
    found = _failing(trail.standing)
    if not found.until_ms:
        raise click.ClickException(f"version {found.serving} is not on trial")
    name, origin = _me(who)
    _failing(trail.add, Step("confirmed", found.serving), name, "", origin, expect=found)
    click.echo(f"version {found.serving} stays")


@command.command("undo")
@FOLDER
@click.option(
    "--wait", "wait_s", default=5.0, show_default=True, help="Seconds to wait for the gateway; 0 for none."
)
@WHO
@WHY
def undo(folder: Path, wait_s: float, who: str | None, why: str) -> None:
    """Go back to the version before; again: forward to the one that was undone."""
    from winchdyke.changes.machine import Step

    trail = _trail(folder)
    found = _failing(trail.standing)
    if not found.before:
        raise click.ClickException("there is no version before the one that is served")
    name, origin = _me(who)
    _failing(trail.add, Step("staged", found.before), name, "undo", f"{origin} {why}".strip(), expect=found)
    if wait_s:
        _wait(trail, found.before, wait_s)


@command.command("log")
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="A line of JSON for each entry.")
def log(folder: Path, as_json: bool) -> None:
    """All that was done, the oldest first."""
    for entry in _failing(_trail(folder).entries):
        when = datetime.fromtimestamp(entry.unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
        text = f"{entry.seq:5} {when} {entry.who:12} {entry.what:9} {entry.version:5}  {entry.note}"
        click.echo(json.dumps(dataclasses.asdict(entry)) if as_json else text.rstrip())


@command.command("show")
@FOLDER
@click.argument("version", type=int, required=False)
def show(folder: Path, version: int | None) -> None:
    """The settings of VERSION, or where the gateway stands."""
    trail = _trail(folder)
    if version is not None:
        click.echo(_failing(trail.version, version).text, nl=False)
        return
    found = _failing(trail.standing)
    click.echo(f"version {found.serving} is served" + (", on trial" if found.until_ms else ""))
    if found.staged:
        click.echo(f"version {found.staged} is staged")


@command.command("verify")
@FOLDER
def verify(folder: Path) -> None:
    """Whether the trail is whole: no entry altered, removed or put in between. Ends with 1 where it is not."""
    trail = _trail(folder)
    said = _failing(trail.verify)
    for text in said:
        click.echo(text)
    if said:
        raise SystemExit(1)
    click.echo(f"{_failing(trail.last)} entries, all in the chain")


@command.command("blame")
@FOLDER
@click.argument("path", required=False, metavar="[KIND.NAME[.KEY]]")
def blame(folder: Path, path: str | None) -> None:
    """Who changed each value last, in which version, and why."""
    for name, entry in sorted(_failing(_trail(folder).blame).items()):
        if path is None or name == path or name.startswith(path + "."):
            when = datetime.fromtimestamp(entry.unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
            click.echo(f"{name:40} version {entry.version:4} {when} {entry.who:12} {entry.note}".rstrip())


@command.command("export")
@FOLDER
def export(folder: Path) -> None:
    """All versions and the trail as lines of JSON."""
    for line in _failing(lambda: list(_trail(folder).export())):
        click.echo(line)


@command.command("import")
@FOLDER
@click.argument("file", type=click.File(encoding="utf-8"))
def take_in(folder: Path, file: Any) -> None:
    """Take in an export at a FOLDER that has none; its hash chain must fit."""
    count = _failing(_trail(folder, create=True).take_in, file)
    click.echo(f"{count} entries, all in the chain")
