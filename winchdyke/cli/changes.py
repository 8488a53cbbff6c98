"""``winchdyke changes``: settings as versions, changed while a gateway serves; ``plan``, ``volume`` and ``limit`` for one value."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from winchdyke.cli.common import format_unix_ms, parse_duration_ms
from winchdyke.cli.rollout_client import (
    REMOTE_SCHEMES,
    connect,
    format_changes,
    parse_instant_ms,
    print_version,
    wait_for_outcome,
)

KINDS = ["plan", "volume", "route", "pool", "template", "peer", "fleet"]

WHERE = click.argument("target", metavar="WHERE")
WHO = click.option(
    "--who", "actor", default=None, help="Who does this; the user's name where it is not given."
)
WHY = click.option("--why", "reason", default="", help="Why; it stays in the change log.")
KEY = click.option(
    "--key",
    "key_file",
    type=click.Path(path_type=Path, dir_okay=False),
    envvar="WINCHDYKE_KEY",
    default=None,
    help="A file with your key, where WHERE is http://HOST:PORT. [env: WINCHDYKE_KEY]",
)
WAIT = click.option(
    "--wait",
    "wait_seconds",
    default=5.0,
    show_default=True,
    help="Seconds to wait for the gateway; 0 for none.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
PARENT = click.option(
    "--parent", type=int, default=0, help="The version to begin from; the one served where not given."
)
FILE = click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))


@click.group("changes")
def command() -> None:
    """Plans, volumes, routes and pools as versions.

    WHERE is a gateway's `changes, folder`, its admin socket as unix:PATH, or http://HOST:PORT with a key.
    """


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise click.ClickException(
            f"{file} is no text in UTF-8: {error.reason} at byte {error.start}"
        ) from None


@command.command("propose")
@WHERE
@FILE
@PARENT
@WHO
@WHY
@KEY
def propose(
    target: str, file: Path, parent: int, actor: str | None, reason: str, key_file: Path | None
) -> None:
    """Keep the settings in FILE as a version, checked, and say what differs."""
    text = _read_text(file)
    execute = connect(target, actor, key_file)
    print_version(execute(op="propose", text=text, parent=parent, why=reason))


@command.command("check")
@WHERE
@FILE
@PARENT
@KEY
def check(target: str, file: Path, parent: int, key_file: Path | None) -> None:
    """Say what the settings in FILE would change, and whether they can in service; nothing is kept."""
    execute = connect(target, None, key_file)
    found = execute(op="propose", text=_read_text(file), parent=parent, check=True)
    click.echo(f"it passes; against version {found['parent']}:\n{format_changes(found['changes'])}")


@command.command("set")
@WHERE
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("name")
@click.argument("values", nargs=-1, metavar="KEY=VALUE...")
@click.option("--new", is_flag=True, help="The block is not there yet.")
@click.option("--remove", is_flag=True, help="Take the block away.")
@PARENT
@WHO
@WHY
@KEY
def set_values(
    target: str,
    kind: str,
    name: str,
    values: tuple[str, ...],
    new: bool,
    remove: bool,
    parent: int,
    actor: str | None,
    reason: str,
    key_file: Path | None,
) -> None:
    """Make a version in which a block has other values. `fleet` has no NAME: `set WHERE fleet seeds=HOST:PORT`."""
    if kind == "fleet":
        values = (name, *values)
        name = ""
    if (remove and (values or new)) or not (remove or values):
        raise click.ClickException("give KEY=VALUE, or --remove alone")
    execute = connect(target, actor, key_file)
    print_version(
        execute(
            op="set",
            kind=kind,
            name=name,
            values=list(values),
            parent=parent,
            why=reason,
            new=new,
            remove=remove,
        )
    )


@command.command("stage")
@WHERE
@click.argument("version", type=int)
@WAIT
@WHO
@WHY
@KEY
def stage(
    target: str, version: int, wait_seconds: float, actor: str | None, reason: str, key_file: Path | None
) -> None:
    """Have the gateway check VERSION and hold it ready, until 'apply' tells it to go."""
    execute = connect(target, actor, key_file)
    staged = execute(op="stage", version=version, hold=True, why=reason)
    wait_for_outcome(execute, staged, wait_seconds, is_applied_later=True)


@command.command("apply")
@WHERE
@click.argument("version", type=int)
@click.option(
    "--at", default=None, metavar="INSTANT", help="When, by each gateway's clock: ISO 8601, or +TIME."
)
@click.option(
    "--confirm-within",
    default=None,
    metavar="TIME",
    help="Undo it by itself where it is not confirmed in time.",
)
@WAIT
@WHO
@WHY
@KEY
def apply(
    target: str,
    version: int,
    at: str | None,
    confirm_within: str | None,
    wait_seconds: float,
    actor: str | None,
    reason: str,
    key_file: Path | None,
) -> None:
    """Have the gateway apply VERSION at one instant: as it arrives, or at a stated one.

    Where others have gone on since the version it was made from, their values stay where it does not touch them; where both
    touch the same one, nothing is applied and both edits are shown.
    """
    activate_at_ms = parse_instant_ms(at)
    confirm_within_ms = parse_duration_ms(confirm_within, "--confirm-within")
    execute = connect(target, actor, key_file)
    staged = execute(
        op="stage", version=version, at_ms=activate_at_ms, confirm_within_ms=confirm_within_ms, why=reason
    )
    wait_for_outcome(execute, staged, wait_seconds, is_applied_later=bool(activate_at_ms))


@command.command("withdraw")
@WHERE
@WHO
@WHY
@KEY
def withdraw(target: str, actor: str | None, reason: str, key_file: Path | None) -> None:
    """Take back what is staged."""
    execute = connect(target, actor, key_file)
    click.echo(f"version {execute(op='withdraw', why=reason)['version']} is withdrawn")


@command.command("confirm")
@WHERE
@WHO
@WHY
@KEY
def confirm(target: str, actor: str | None, reason: str, key_file: Path | None) -> None:
    """Keep what was applied on trial."""
    execute = connect(target, actor, key_file)
    click.echo(f"version {execute(op='confirm', why=reason)['version']} stays")


@command.command("undo")
@WHERE
@WAIT
@WHO
@WHY
@KEY
def undo(target: str, wait_seconds: float, actor: str | None, reason: str, key_file: Path | None) -> None:
    """Go back to the version before; again: forward to the one that was undone. What is staged is withdrawn."""
    execute = connect(target, actor, key_file)
    wait_for_outcome(execute, execute(op="undo", why=reason), wait_seconds)


@command.command("log")
@WHERE
@click.option("--json", "as_json", is_flag=True, help="A line of JSON for each entry.")
@click.option("--archives", is_flag=True, help="What was moved out as well.")
@KEY
def log(target: str, as_json: bool, archives: bool, key_file: Path | None) -> None:
    """All that was done, the oldest first."""
    execute = connect(target, None, key_file)
    for entry in execute(op="log", archives=archives)["entries"]:
        click.echo(json.dumps(entry) if as_json else _format_entry(entry))


def _format_entry(entry: dict[str, Any]) -> str:
    start = f"{entry['seq']:5} {format_unix_ms(entry['unix_ms'])} {entry['who']:12} {entry['what']:9} {entry['version']:5}  "
    activation = ""
    if entry.get("held"):
        activation = "(held) "
    elif entry["at_ms"]:
        activation = f"(for {format_unix_ms(entry['at_ms'])}) "
    return f"{start}{activation}{entry['note']}".rstrip()


@command.command("show")
@WHERE
@click.argument("version", type=int, required=False)
@click.option(
    "--difference", is_flag=True, help="What differs from the version it was made from, and who made it why."
)
@JSON
@KEY
def show(target: str, version: int | None, difference: bool, as_json: bool, key_file: Path | None) -> None:
    """The settings of VERSION, or where the gateway stands."""
    execute = connect(target, None, key_file)
    found = execute(op="standing") if version is None else execute(op="show", version=version)
    if as_json:
        click.echo(json.dumps(found))
    elif version is None:
        _print_status(found)
    elif difference:
        _print_difference(found)
    else:
        click.echo(found["text"], nl=False)


def _print_status(status: dict[str, Any]) -> None:
    until_ms = status["trial_until_ms"]
    trial = f", on trial until {format_unix_ms(until_ms)}" if until_ms else ""
    click.echo(f"version {status['serving']} is served{trial}")
    if not status["staged"]:
        return
    activation = "held until told"
    if not status["held"]:
        activation = f"for {format_unix_ms(status['staged_at_ms'] or status['now_ms'])}"
    click.echo(f"version {status['staged']} is staged, {activation}")


def _print_difference(version: dict[str, Any]) -> None:
    proposal = ""
    if "who" in version:
        proposal = f", by {version['who']} at {format_unix_ms(version['unix_ms'])} from {version['origin']}"
    reason = f": {version['why']}" if version.get("why") else ""
    click.echo(f"version {version['version']}, from {version['parent']}{proposal}{reason}")
    click.echo(format_changes(version["difference"]))


@command.command("verify")
@WHERE
@click.option("--archives", is_flag=True, help="Over what was moved out as well.")
@KEY
def verify(target: str, archives: bool, key_file: Path | None) -> None:
    """Whether the change log is complete: no entry altered, removed or inserted. Ends with 1 where it is not."""
    execute = connect(target, None, key_file)
    found = execute(op="verify", archives=archives)
    for text in found["wrong"]:
        click.echo(text)
    if found["wrong"]:
        raise SystemExit(1)
    click.echo(f"{found['entries']} entries, all in the chain")


@command.command("blame")
@WHERE
@click.argument("path", default="", metavar="[KIND.NAME[.KEY]]")
@KEY
def blame(target: str, path: str, key_file: Path | None) -> None:
    """Who changed each value last, in which version, and why."""
    execute = connect(target, None, key_file)
    for name, entry in execute(op="blame", path=path)["values"].items():
        text = f"{name:40} version {entry['version']:4} {format_unix_ms(entry['unix_ms'])} {entry['who']:12} {entry['note']}"
        click.echo(text.rstrip())


@command.command("export")
@WHERE
@KEY
def export(target: str, key_file: Path | None) -> None:
    """All versions and the change log as lines of JSON."""
    execute = connect(target, None, key_file)
    for line in execute(op="export")["lines"]:
        click.echo(line)


@command.command("import")
@WHERE
@click.argument("file", type=click.File(encoding="utf-8"))
def import_file(target: str, file: Any) -> None:
    """Take in an export at a folder that has none; its hash chain must fit."""
    from winchdyke.config_rollout.change_log import ChangeLog, ChangeLogError

    if target.startswith(REMOTE_SCHEMES):
        raise click.ClickException("this is done on a folder of its own, before a gateway starts with it")
    try:
        count = ChangeLog(Path(target)).import_lines(file)
    except ChangeLogError as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{count} entries, all in the chain")


# Single values: a version is made, and applied


plan_command = click.Group("plan", help="A plan's figures, changed in service.")
volume_command = click.Group("volume", help="A volume's plan, shards and gateways, changed in service.")
limit_command = click.Group("limit", help="A plan's limit, changed in service.")


def _add_set_command(
    group: click.Group,
    kind: str,
    text: str,
    metavar: str,
    to_assignments: Callable[[tuple[str, ...]], list[str]] = list,
) -> None:
    """Add ``set`` to a group. ``to_assignments``: makes ``KEY=VALUE`` of the command's arguments."""

    @group.command("set", help=text)
    @WHERE
    @click.argument("name")
    @click.argument("values", nargs=-1, required=True, metavar=metavar)
    @click.option("--at", default=None, metavar="INSTANT", help="When: ISO 8601, or +TIME.")
    @click.option(
        "--confirm-within", default=None, metavar="TIME", help="Undo it where it is not confirmed in time."
    )
    @WAIT
    @WHO
    @WHY
    @KEY
    def set_and_apply(
        target: str,
        name: str,
        values: tuple[str, ...],
        at: str | None,
        confirm_within: str | None,
        wait_seconds: float,
        actor: str | None,
        reason: str,
        key_file: Path | None,
    ) -> None:
        assignments = to_assignments(values)
        activate_at_ms = parse_instant_ms(at)
        confirm_within_ms = parse_duration_ms(confirm_within, "--confirm-within")
        execute = connect(target, actor, key_file)
        made = execute(op="set", kind=kind, name=name, values=assignments, why=reason)
        print_version(made)
        staged = execute(
            op="stage",
            version=made["version"],
            at_ms=activate_at_ms,
            confirm_within_ms=confirm_within_ms,
            why=reason,
        )
        wait_for_outcome(execute, staged, wait_seconds, is_applied_later=bool(activate_at_ms))


def _limit_assignments(values: tuple[str, ...]) -> list[str]:
    if len(values) > 2:
        raise click.ClickException("give the limit, as 100 units/s, and the burst in units where it changes")
    return [f"limit={values[0]}", *(f"limit_burst={burst}" for burst in values[1:])]


_add_set_command(plan_command, "plan", "Set values of plan NAME and apply them.", "KEY=VALUE...")
_add_set_command(volume_command, "volume", "Set values of volume NAME and apply them.", "KEY=VALUE...")
_add_set_command(
    limit_command,
    "plan",
    "Set the limit of plan NAME, as '100 units/s' [BURST], and apply it.",
    "RATE [BURST]",
    _limit_assignments,
)
