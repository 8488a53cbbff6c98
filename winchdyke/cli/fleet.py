"""``winchdyke fleet``: shows the membership as a running gateway sees it, through its admin API."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click

from winchdyke.cli.common import format_unix_ms

STATES = {
    "alive": "it answers this gateway, or other members report that it does",
    "cut": "it is alive according to other members, but the link to this gateway does not work both ways: see its link",
    "suspect": "no member reached it; it is declared dead unless it answers in time",
    "dead": "it did not refute the suspicion in time; it is probed now and then, and ignored until it answers",
    "left": "it announced that it left",
}
LINKS = {
    "untried": "not probed by this gateway yet",
    "both": "messages arrive in both directions",
    "deaf": "it is heard here, but it does not hear this gateway: check the path from here to it",
    "mute": "it hears this gateway, but is not heard here: check the path from it to here",
    "cut": "neither hears the other, but other members reach it: check both paths between the two hosts",
}
WHERE = click.argument("where")
KEY = click.option(
    "--key",
    type=click.Path(path_type=Path, dir_okay=False),
    help="File with the admin key; needed if WHERE is an http:// address.",
)
AS_JSON = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON: one object; 'history' prints one object per line."
)


@click.group("fleet")
def command() -> None:
    """Show the gateways that one gateway knows. WHERE is unix:PATH or http://HOST:PORT of its admin API."""


def _fetch_status(where: str, key: Path | None) -> dict[str, Any]:
    from winchdyke.admin.client import AdminClient
    from winchdyke.config_rollout.operations import OperationError

    try:
        return AdminClient(where, key).fleet_status()
    except OperationError as error:
        raise click.ClickException(error.text) from None


def _format_age(ms: float | None) -> str:
    if ms is None:
        return "never"
    return f"{ms / 1000:.1f} s" if ms < 120_000 else f"{ms / 60_000:.0f} min"


def _status_lines(status: dict[str, Any]) -> list[str]:
    health_note = f", health {status['health']} (its own responses are late)" if status["health"] else ""
    lines = [
        f"{status['own']} at {status['address']}: {status['alive']} of {1 + len(status['members'])} alive{health_note}"
    ]
    if status["left"]:
        lines.append("  it has left the fleet; see 'winchdyke fleet history'")
    elif status["alone"]:
        lines.append(
            "  it has not heard from any gateway since its start; check that `fleet, seeds` is correct and that gateways listen there"
        )
    if status["event"] is not None:
        lines.append(f"  {status['event']['text']}, began {_format_age(status['event']['since_ms'])} ago")
    lines.append(f"{'member':20}{'state':9}{'for':>9}  {'link':9}{'heard':>9}  {'zone':10}{'address':22}by")
    for row in status["members"]:
        note = "" if row["index_known"] else f"  (index {row['index']} is not in the settings)"
        lines.append(
            f"{row['name']:20}{row['state']:9}{_format_age(row['since_ms']):>9}  {row['link']:9}{_format_age(row['heard_ms']):>9}  "
            f"{row['zone']:10}{row['address']:22}{row['by']}{note}"
        )
    return lines


@command.command("show")
@WHERE
@KEY
@AS_JSON
def show(where: str, key: Path | None, as_json: bool) -> None:
    """Show the gateway at WHERE and the state of every other member that it knows."""
    status = _fetch_status(where, key)
    click.echo(json.dumps(status) if as_json else "\n".join(_status_lines(status)))


@command.command("watch")
@WHERE
@KEY
@click.option(
    "--every", type=click.FloatRange(0.2, 60), default=1.0, show_default=True, help="Seconds between polls."
)
@click.option(
    "--times", type=click.IntRange(1), default=None, help="Number of polls; without it, poll until Ctrl-C."
)
def watch(where: str, key: Path | None, every: float, times: int | None) -> None:
    """Print each change when it occurs."""
    last_shown_unix_ms, poll_count = -1.0, 0
    while times is None or poll_count < times:
        if poll_count:
            time.sleep(every)
        rows = _fetch_status(where, key)["history"]
        for row in rows:
            if row["unix_ms"] > last_shown_unix_ms:
                click.echo(_history_line(row))
        last_shown_unix_ms = max([last_shown_unix_ms, *(row["unix_ms"] for row in rows)])
        poll_count += 1


def _history_line(row: dict[str, Any]) -> str:
    return (
        f"{format_unix_ms(row['unix_ms'], 'never')}  {row['code']:15}{row['member']:20}{row.get('text', '')}"
    )


@command.command("history")
@WHERE
@KEY
@click.option("--member", help="Show this member only.")
@AS_JSON
def history(where: str, key: Path | None, member: str | None, as_json: bool) -> None:
    """Show the last 500 changes since the gateway's start, the oldest first."""
    for row in _fetch_status(where, key)["history"]:
        if member in (None, row["member"]):
            click.echo(json.dumps(row) if as_json else _history_line(row))


@command.command("explain")
@click.argument("member")
@WHERE
@KEY
@AS_JSON
def explain(member: str, where: str, key: Path | None, as_json: bool) -> None:
    """Show the state of MEMBER, who reported it, and what to check."""
    status = _fetch_status(where, key)
    row = next((row for row in status["members"] if row["name"] == member), None)
    if row is None:
        names = ", ".join(row["name"] for row in status["members"][:8]) or "none"
        raise click.ClickException(f"{status['own']} does not know {member}; known members: {names}")
    changes = [entry for entry in status["history"] if entry["member"] == member]
    if as_json:
        means = {"means": STATES[row["state"]], "link_means": LINKS[row["link"]]}
        click.echo(json.dumps({**row, **means, "changes": changes[-10:]}))
        return
    click.echo(
        f"{member} at {row['address']}: {row['state']} for {_format_age(row['since_ms'])}, by {row['by']}"
    )
    click.echo(f"  {STATES[row['state']]}")
    click.echo(f"  link {row['link']}: {LINKS[row['link']]}")
    click.echo(
        f"  heard directly {_format_age(row['heard_ms'])}{' ago' if row['heard_ms'] is not None else ''}"
    )
    click.echo(f"  life {row['life']}, incarnation {row['incarnation']}")
    for entry in changes[-5:]:
        click.echo(f"  {_history_line(entry)}")
