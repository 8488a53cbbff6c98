"""``winchdyke changes``: settings as versions, changed while a gateway serves; ``plan``, ``volume`` and ``limit`` for one value."""

from __future__ import annotations

import getpass
import json
import os
import socket
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from typing import Any

import click

from winchdyke.cli.common import span, when

Call = Callable[..., dict[str, Any]]
KINDS = ["plan", "volume", "route", "pool", "template", "peer", "fleet"]


WHERE = click.argument("where", metavar="WHERE")
WHO = click.option("--who", default=None, help="Who does this; the user's name where it is not given.")
WHY = click.option("--why", default="", help="Why; it stays on the trail.")
KEY = click.option(
    "--key", "key_file", type=click.Path(path_type=Path, dir_okay=False), envvar="WINCHDYKE_KEY", default=None,
    help="A file with your key, where WHERE is http://HOST:PORT. [env: WINCHDYKE_KEY]",
)  # fmt: skip
WAIT = click.option(
    "--wait", "wait_s", default=5.0, show_default=True, help="Seconds to wait for the gateway; 0 for none."
)
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
PARENT = click.option(
    "--parent", type=int, default=0, help="The version to begin from; the one served where not given."
)


@click.group("changes")
def command() -> None:
    """Plans, volumes, routes and pools as versions.

    WHERE is a gateway's `changes, folder`, its admin socket as unix:PATH, or http://HOST:PORT with a key.
    """


def _at(
    where: str,
    who: str | None = None,
    key_file: Path | None = None,
    create: bool = False,
    folder: bool = False,
) -> Call:
    """What carries out operations: on a folder's trail, or at a gateway."""
    from winchdyke.config_rollout import operations
    from winchdyke.config_rollout.change_log import ChangeLog, ChangeLogError

    try:
        if where.startswith(("unix:", "http:")):
            if folder:
                raise click.ClickException("this is done on the gateway's own folder alone")
            from winchdyke.admin.client import There

            call: Call = There(where, key_file, who or "").call
        else:
            trail = ChangeLog(Path(where), create)
            worker = operations.ChangeOperations(
                trail, who or getpass.getuser(), f"{socket.gethostname()}:{os.getpid()}"
            )

            def call(**operation: Any) -> dict[str, Any]:
                return worker.do(operations.read(operation))
    except (operations.OperationError, ChangeLogError) as error:
        raise click.ClickException(str(error)) from None

    def asked(**operation: Any) -> dict[str, Any]:
        try:
            return call(**operation)
        except operations.OperationError as error:
            raise click.ClickException(error.text) from None

    return asked


def _changes(found: dict[str, Any]) -> str:
    lines = [f"  {c['text']}" + (f"  [{c['risk']}]" if c.get("risk") else "") for c in found["changes"]]
    return "\n".join(lines)


def _made(found: dict[str, Any]) -> None:
    click.echo(f"version {found['version']}, from {found['parent']}:\n{_changes(found)}")


def _instant(text: str | None) -> float:
    if not text:
        return 0.0
    if text.startswith("+"):
        return time.time() * 1000 + span(text[1:], "--at")
    try:
        at = datetime.fromisoformat(text)
    except ValueError:
        raise click.ClickException(
            f"--at: {text!r} is no instant; give one as 2026-12-01T18:30:00+01:00, or +10s from now"
        ) from None
    return (at if at.tzinfo else at.astimezone()).timestamp() * 1000


@command.command("propose")
@WHERE
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@PARENT
@WHO
@WHY
@KEY
def propose(where: str, file: Path, parent: int, who: str | None, why: str, key_file: Path | None) -> None:
    """Keep the settings in FILE as a version, checked, and say what differs."""
    text = _text(file)
    _made(_at(where, who, key_file)(op="propose", text=text, parent=parent, why=why))


def _text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise click.ClickException(
            f"{file} is no text in UTF-8: {error.reason} at byte {error.start}"
        ) from None


@command.command("check")
@WHERE
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@PARENT
@KEY
def check(where: str, file: Path, parent: int, key_file: Path | None) -> None:
    """Say what the settings in FILE would change, and whether they can in service; nothing is kept."""
    found = _at(where, None, key_file)(op="propose", text=_text(file), parent=parent, check=True)
    click.echo(f"it passes; against version {found['parent']}:\n{_changes(found)}")


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
    where: str, kind: str, name: str, values: tuple[str, ...], new: bool, remove: bool, parent: int,
    who: str | None, why: str, key_file: Path | None,
) -> None:  # fmt: skip
    """Make a version in which a block has other values. `fleet` has no NAME: `set WHERE fleet seeds=HOST:PORT`."""
    if kind == "fleet":
        name, values = "", (name, *values)
    if (remove and (values or new)) or not (remove or values):
        raise click.ClickException("give KEY=VALUE, or --remove alone")
    call = _at(where, who, key_file)
    _made(
        call(
            op="set",
            kind=kind,
            name=name,
            values=list(values),
            parent=parent,
            why=why,
            new=new,
            remove=remove,
        )
    )


def _outcome(
    call: Call, staged: dict[str, Any], wait_s: float, at_ms: float = 0.0, hold: bool = False
) -> None:
    version = staged["version"]
    if staged.get("merged_from"):
        click.echo(f"merged with what is served, as version {version}")
    if staged.get("withdrawn"):
        click.echo(f"version {staged['withdrawn']}, which was staged, is withdrawn; apply it anew")
    until = time.monotonic() + wait_s
    last = staged["after"]
    waits = (
        ("ready", "refused", "withdrawn") if hold or at_ms else ("applied", "undone", "refused", "withdrawn")
    )
    while time.monotonic() < until:
        for entry in call(op="log", after=last)["entries"]:
            last = entry["seq"]
            if entry["version"] == version and entry["what"] in waits:
                said = f"version {version}: {entry['what']}" + (
                    f" ({entry['note']})" if entry["note"] else ""
                )
                if entry["what"] in ("refused", "withdrawn"):
                    raise click.ClickException(said)
                click.echo(said)
                return
        time.sleep(0.05)
    if wait_s:
        click.echo(f"version {version} is staged; no gateway has taken it up within {wait_s:g} s")


@command.command("stage")
@WHERE
@click.argument("version", type=int)
@WAIT
@WHO
@WHY
@KEY
def stage(where: str, version: int, wait_s: float, who: str | None, why: str, key_file: Path | None) -> None:
    """Have the gateway check VERSION and hold it ready, until 'apply' tells it to go."""
    call = _at(where, who, key_file)
    _outcome(call, call(op="stage", version=version, hold=True, why=why), wait_s, hold=True)


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
    where: str, version: int, at: str | None, confirm_within: str | None, wait_s: float, who: str | None, why: str,
    key_file: Path | None,
) -> None:  # fmt: skip
    """Have the gateway apply VERSION at one instant: as it arrives, or at a stated one.

    Where others have gone on since the version it was made from, their values stay where it does not touch them; where both
    touch the same one, nothing is applied and both edits are shown.
    """
    at_ms, within = _instant(at), span(confirm_within, "--confirm-within")
    call = _at(where, who, key_file)
    staged = call(op="stage", version=version, at_ms=at_ms, confirm_within_ms=within, why=why)
    _outcome(call, staged, wait_s, at_ms)


@command.command("withdraw")
@WHERE
@WHO
@WHY
@KEY
def withdraw(where: str, who: str | None, why: str, key_file: Path | None) -> None:
    """Take back what is staged."""
    found = _at(where, who, key_file)(op="withdraw", why=why)
    click.echo(f"version {found['version']} is withdrawn")


@command.command("confirm")
@WHERE
@WHO
@WHY
@KEY
def confirm(where: str, who: str | None, why: str, key_file: Path | None) -> None:
    """Keep what was applied on trial."""
    click.echo(f"version {_at(where, who, key_file)(op='confirm', why=why)['version']} stays")


@command.command("undo")
@WHERE
@WAIT
@WHO
@WHY
@KEY
def undo(where: str, wait_s: float, who: str | None, why: str, key_file: Path | None) -> None:
    """Go back to the version before; again: forward to the one that was undone. What is staged is withdrawn."""
    call = _at(where, who, key_file)
    _outcome(call, call(op="undo", why=why), wait_s)


@command.command("log")
@WHERE
@click.option("--json", "as_json", is_flag=True, help="A line of JSON for each entry.")
@click.option("--archives", is_flag=True, help="What was moved out as well.")
@KEY
def log(where: str, as_json: bool, archives: bool, key_file: Path | None) -> None:
    """All that was done, the oldest first."""
    for entry in _at(where, None, key_file)(op="log", archives=archives)["entries"]:
        text = f"{entry['seq']:5} {when(entry['unix_ms'])} {entry['who']:12} {entry['what']:9} {entry['version']:5}  "
        if entry.get("held"):
            text += "(held) "
        elif entry["at_ms"]:
            text += f"(for {when(entry['at_ms'])}) "
        click.echo(json.dumps(entry) if as_json else (text + entry["note"]).rstrip())


@command.command("show")
@WHERE
@click.argument("version", type=int, required=False)
@click.option(
    "--difference", is_flag=True, help="What differs from the version it was made from, and who made it why."
)
@JSON
@KEY
def show(where: str, version: int | None, difference: bool, as_json: bool, key_file: Path | None) -> None:
    """The settings of VERSION, or where the gateway stands."""
    call = _at(where, None, key_file)
    found = call(op="standing") if version is None else call(op="show", version=version)
    if as_json:
        click.echo(json.dumps(found))
    elif version is not None and difference:
        made = (
            f", by {found['who']} at {when(found['unix_ms'])} from {found['origin']}"
            if "who" in found
            else ""
        )
        why = f": {found['why']}" if found.get("why") else ""
        click.echo(f"version {version}, from {found['parent']}{made}{why}")
        click.echo(_changes({"changes": found["difference"]}))
    elif version is not None:
        click.echo(found["text"], nl=False)
    else:
        until = found["trial_until_ms"]
        click.echo(
            f"version {found['serving']} is served" + (f", on trial until {when(until)}" if until else "")
        )
        if found["staged"]:
            at = (
                "held until told"
                if found["held"]
                else f"for {when(found['staged_at_ms'] or found['now_ms'])}"
            )
            click.echo(f"version {found['staged']} is staged, {at}")


@command.command("verify")
@WHERE
@click.option("--archives", is_flag=True, help="Over what was moved out as well.")
@KEY
def verify(where: str, archives: bool, key_file: Path | None) -> None:
    """Whether the trail is whole: no entry altered, removed or put in between. Ends with 1 where it is not."""
    found = _at(where, None, key_file)(op="verify", archives=archives)
    for text in found["wrong"]:
        click.echo(text)
    if found["wrong"]:
        raise SystemExit(1)
    click.echo(f"{found['entries']} entries, all in the chain")


@command.command("blame")
@WHERE
@click.argument("path", default="", metavar="[KIND.NAME[.KEY]]")
@KEY
def blame(where: str, path: str, key_file: Path | None) -> None:
    """Who changed each value last, in which version, and why."""
    for name, entry in _at(where, None, key_file)(op="blame", path=path)["values"].items():
        text = f"{name:40} version {entry['version']:4} {when(entry['unix_ms'])} {entry['who']:12} {entry['note']}"
        click.echo(text.rstrip())


@command.command("export")
@WHERE
@KEY
def export(where: str, key_file: Path | None) -> None:
    """All versions and the trail as lines of JSON."""
    for line in _at(where, None, key_file)(op="export")["lines"]:
        click.echo(line)


@command.command("import")
@WHERE
@click.argument("file", type=click.File(encoding="utf-8"))
def take_in(where: str, file: Any) -> None:
    """Take in an export at a folder that has none; its hash chain must fit."""
    from winchdyke.config_rollout.change_log import ChangeLog, ChangeLogError

    if where.startswith(("unix:", "http:")):
        raise click.ClickException("this is done on a folder of its own, before a gateway starts with it")
    try:
        count = ChangeLog(Path(where)).take_in(file)
    except ChangeLogError as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{count} entries, all in the chain")


# One value at once: a version made, and applied


def _group(kind: str, text: str) -> click.Group:
    return click.Group(kind, help=text)


plan_command = _group("plan", "A plan's figures, changed in service.")
volume_command = _group("volume", "A volume's plan, shards and gateways, changed in service.")
limit_command = _group("limit", "A plan's limit, changed in service.")


def _set_now(
    kind: str, where: str, name: str, values: list[str], confirm_within: str | None, at: str | None, wait_s: float,
    who: str | None, why: str, key_file: Path | None,
) -> None:  # fmt: skip
    at_ms, within = _instant(at), span(confirm_within, "--confirm-within")
    call = _at(where, who, key_file)
    made = call(op="set", kind=kind, name=name, values=values, why=why)
    _made(made)
    staged = call(op="stage", version=made["version"], at_ms=at_ms, confirm_within_ms=within, why=why)
    _outcome(call, staged, wait_s, at_ms)


def _setting(group: click.Group, kind: str, text: str, metavar: str) -> None:
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
    def set_now(
        where: str, name: str, values: tuple[str, ...], at: str | None, confirm_within: str | None, wait_s: float,
        who: str | None, why: str, key_file: Path | None,
    ) -> None:  # fmt: skip
        given = list(values)
        if kind == "limit":
            if len(given) > 2:
                raise click.ClickException(
                    "give the limit, as 100 units/s, and the burst in units where it changes"
                )
            given = [f"limit={given[0]}", *(f"limit_burst={burst}" for burst in given[1:])]
        _set_now(
            "plan" if kind == "limit" else kind,
            where,
            name,
            given,
            confirm_within,
            at,
            wait_s,
            who,
            why,
            key_file,
        )


_setting(plan_command, "plan", "Set values of plan NAME and apply them.", "KEY=VALUE...")
_setting(volume_command, "volume", "Set values of volume NAME and apply them.", "KEY=VALUE...")
_setting(
    limit_command,
    "limit",
    "Set the limit of plan NAME, as '100 units/s' [BURST], and apply it.",
    "RATE [BURST]",
)
