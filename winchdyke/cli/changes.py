"""``winchdyke changes``: applies versions of the settings in service; ``plan``, ``volume``, ``limit``: one value."""

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
WHO = click.option("--who", "actor", default=None, help="Who makes the change; by default the user's name.")
WHY = click.option("--why", "reason", default="", help="Reason, recorded in the change log.")
KEY = click.option(
    "--key",
    "key_file",
    type=click.Path(path_type=Path, dir_okay=False),
    envvar="WINCHDYKE_KEY",
    default=None,
    help="File with your key, for WHERE = http://HOST:PORT. [env: WINCHDYKE_KEY]",
)
WAIT = click.option(
    "--wait",
    "wait_seconds",
    default=5.0,
    show_default=True,
    help="Seconds to wait for the gateway; 0: do not wait.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
PARENT = click.option(
    "--parent", type=int, default=0, help="Version to start from; by default the one in service."
)
FILE = click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))


@click.group("changes")
def command() -> None:
    """Change plans, volumes, routes and pools in service, as versions.

    WHERE is a gateway's `changes, folder`, its admin socket as unix:PATH, or http://HOST:PORT with a key.
    """


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise click.ClickException(
            f"{file} is not UTF-8 text: {error.reason} at byte {error.start}"
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
    """Check the settings in FILE, store them as a version, and show the difference."""
    text = _read_text(file)
    execute = connect(target, actor, key_file)
    print_version(execute(op="propose", text=text, parent=parent, why=reason))


@command.command("check")
@WHERE
@FILE
@PARENT
@KEY
def check(target: str, file: Path, parent: int, key_file: Path | None) -> None:
    """Show what the settings in FILE would change, and whether that is possible in service; store nothing."""
    execute = connect(target, None, key_file)
    result = execute(op="propose", text=_read_text(file), parent=parent, check=True)
    click.echo(f"valid; compared with version {result['parent']}:\n{format_changes(result['changes'])}")


@command.command("set")
@WHERE
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("name")
@click.argument("values", nargs=-1, metavar="KEY=VALUE...")
@click.option("--new", is_flag=True, help="Add the block.")
@click.option("--remove", is_flag=True, help="Remove the block.")
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
    """Create a version with changed values of one block.

    `fleet` has no NAME: `set WHERE fleet seeds=HOST:PORT`.
    """
    if kind == "fleet":
        values = (name, *values)
        name = ""
    if (remove and (values or new)) or not (remove or values):
        raise click.ClickException("give KEY=VALUE arguments, or --remove without any")
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
    """Have the gateway check VERSION and hold it ready until 'apply'."""
    execute = connect(target, actor, key_file)
    staged = execute(op="stage", version=version, hold=True, why=reason)
    wait_for_outcome(execute, staged, wait_seconds, is_applied_later=True)


@command.command("apply")
@WHERE
@click.argument("version", type=int)
@click.option(
    "--at",
    default=None,
    metavar="INSTANT",
    help="When to apply it, by each gateway's clock: ISO 8601, or +TIME.",
)
@click.option(
    "--confirm-within",
    default=None,
    metavar="TIME",
    help="Roll back automatically unless confirmed in time.",
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
    """Have the gateway apply VERSION, at once or at a set time.

    Other changes made since the parent of VERSION are kept if they concern other values. If both change the
    same value, nothing is applied and both changes are shown.
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
    """Withdraw the staged version."""
    execute = connect(target, actor, key_file)
    click.echo(f"version {execute(op='withdraw', why=reason)['version']} is withdrawn")


@command.command("confirm")
@WHERE
@WHO
@WHY
@KEY
def confirm(target: str, actor: str | None, reason: str, key_file: Path | None) -> None:
    """Keep the version that was applied on trial."""
    execute = connect(target, actor, key_file)
    click.echo(f"version {execute(op='confirm', why=reason)['version']} stays")


@command.command("undo")
@WHERE
@WAIT
@WHO
@WHY
@KEY
def undo(target: str, wait_seconds: float, actor: str | None, reason: str, key_file: Path | None) -> None:
    """Go back to the previous version; a second undo restores the later one.

    A staged version is withdrawn.
    """
    execute = connect(target, actor, key_file)
    wait_for_outcome(execute, execute(op="undo", why=reason), wait_seconds)


@command.command("log")
@WHERE
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON per entry.")
@click.option("--archives", is_flag=True, help="Include archived entries.")
@KEY
def log(target: str, as_json: bool, archives: bool, key_file: Path | None) -> None:
    """Show the change log, the oldest entry first."""
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
    "--difference",
    is_flag=True,
    help="Show the difference from the parent version, the author and the reason.",
)
@JSON
@KEY
def show(target: str, version: int | None, difference: bool, as_json: bool, key_file: Path | None) -> None:
    """Show the settings of VERSION; without VERSION, which versions are in service and staged."""
    execute = connect(target, None, key_file)
    result = execute(op="standing") if version is None else execute(op="show", version=version)
    if as_json:
        click.echo(json.dumps(result))
    elif version is None:
        _print_status(result)
    elif difference:
        _print_difference(result)
    else:
        click.echo(result["text"], nl=False)


def _print_status(status: dict[str, Any]) -> None:
    until_ms = status["trial_until_ms"]
    trial = f", on trial until {format_unix_ms(until_ms)}" if until_ms else ""
    click.echo(f"version {status['serving']} is served{trial}")
    if not status["staged"]:
        return
    activation = "held until 'changes apply'"
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
@click.option("--archives", is_flag=True, help="Include archived entries.")
@KEY
def verify(target: str, archives: bool, key_file: Path | None) -> None:
    """Verify that no entry of the change log was altered, removed or inserted. Exits with 1 if one was."""
    execute = connect(target, None, key_file)
    result = execute(op="verify", archives=archives)
    for text in result["wrong"]:
        click.echo(text)
    if result["wrong"]:
        raise SystemExit(1)
    click.echo(f"{result['entries']} entries, all in the chain")


@command.command("blame")
@WHERE
@click.argument("path", default="", metavar="[KIND.NAME[.KEY]]")
@KEY
def blame(target: str, path: str, key_file: Path | None) -> None:
    """Show who last changed each value, in which version, and why."""
    execute = connect(target, None, key_file)
    for name, entry in execute(op="blame", path=path)["values"].items():
        text = f"{name:40} version {entry['version']:4} {format_unix_ms(entry['unix_ms'])} {entry['who']:12} {entry['note']}"
        click.echo(text.rstrip())


@command.command("export")
@WHERE
@KEY
def export(target: str, key_file: Path | None) -> None:
    """Print all versions and the change log as lines of JSON."""
    execute = connect(target, None, key_file)
    for line in execute(op="export")["lines"]:
        click.echo(line)


@command.command("import")
@WHERE
@click.argument("file", type=click.File(encoding="utf-8"))
def import_file(target: str, file: Any) -> None:
    """Import an export into a folder without a change log; its hash chain must be intact."""
    from winchdyke.config_rollout.change_log import ChangeLog, ChangeLogError

    if target.startswith(REMOTE_SCHEMES):
        raise click.ClickException(
            "import works on a folder only; run it before a gateway starts with that folder"
        )
    try:
        count = ChangeLog(Path(target)).import_lines(file)
    except ChangeLogError as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{count} entries, all in the chain")


# Commands that change single values: they create a version and apply it.


plan_command = click.Group("plan", help="Change a plan's values in service.")
volume_command = click.Group("volume", help="Change a volume's plan, shards and gateways in service.")
limit_command = click.Group("limit", help="Change a plan's limit in service.")


def _add_set_command(
    group: click.Group,
    kind: str,
    text: str,
    metavar: str,
    to_assignments: Callable[[tuple[str, ...]], list[str]] = list,
) -> None:
    """Add ``set`` to a group. ``to_assignments`` converts the command's arguments to ``KEY=VALUE``."""

    @group.command("set", help=text)
    @WHERE
    @click.argument("name")
    @click.argument("values", nargs=-1, required=True, metavar=metavar)
    @click.option("--at", default=None, metavar="INSTANT", help="When to apply it: ISO 8601, or +TIME.")
    @click.option(
        "--confirm-within",
        default=None,
        metavar="TIME",
        help="Roll back automatically unless confirmed in time.",
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
        created = execute(op="set", kind=kind, name=name, values=assignments, why=reason)
        print_version(created)
        staged = execute(
            op="stage",
            version=created["version"],
            at_ms=activate_at_ms,
            confirm_within_ms=confirm_within_ms,
            why=reason,
        )
        wait_for_outcome(execute, staged, wait_seconds, is_applied_later=bool(activate_at_ms))


def _limit_assignments(values: tuple[str, ...]) -> list[str]:
    if len(values) > 2:
        raise click.ClickException("give the limit, such as '100 units/s', and optionally the burst in units")
    return [f"limit={values[0]}", *(f"limit_burst={burst}" for burst in values[1:])]


_add_set_command(plan_command, "plan", "Set values of plan NAME and apply them.", "KEY=VALUE...")
_add_set_command(volume_command, "volume", "Set values of volume NAME and apply them.", "KEY=VALUE...")
_add_set_command(
    limit_command,
    "plan",
    "Set the limit of plan NAME, such as '100 units/s', and optionally its burst in units; apply it.",
    "RATE [BURST]",
    _limit_assignments,
)
