"""``winchdyke fleet``: the membership as a running gateway sees it, over its admin API."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click

from winchdyke.cli.common import format_unix_ms

STATES = {
    "alive": "it answers, or others say that it does",
    "cut": "it is there by others' word, and this gateway and it do not hear each other both ways: see its link",
    "suspect": "nobody reached it; it is dead unless it is heard in time",
    "dead": "it did not refute that it is gone; it is tried again now and then, and counts for nothing until it answers",
    "left": "it said goodbye",
}
LINKS = {
    "untried": "not probed from here yet",
    "both": "each hears the other",
    "deaf": "heard here; it does not hear this gateway: look at the way from here to there",
    "mute": "it hears this gateway and is not heard here: look at the way from there to here",
    "cut": "neither hears the other, and others reach it: look at both ways between the two hosts",
}
WHERE = click.argument("where")
KEY = click.option(
    "--key",
    type=click.Path(path_type=Path, dir_okay=False),
    help="A file of keys, for an admin API over TCP.",
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@click.group("fleet")
def command() -> None:
    """The gateways that one gateway knows. WHERE is unix:PATH or http://HOST:PORT of its admin API."""


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
    more = f", health {status['health']} (its own answers are late)" if status["health"] else ""
    lines = [
        f"{status['own']} at {status['address']}: {status['alive']} of {1 + len(status['members'])} there{more}"
    ]
    if status["left"]:
        lines.append("  it has left the fleet; see history")
    elif status["alone"]:
        lines.append("  it has heard nobody since its start: are fleet, seeds right, and do they listen?")
    if status["event"] is not None:
        lines.append(f"  {status['event']['text']} since {_format_age(status['event']['since_ms'])} ago")
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
    """All members, as the gateway sees them now."""
    status = _fetch_status(where, key)
    click.echo(json.dumps(status) if as_json else "\n".join(_status_lines(status)))


@command.command("watch")
@WHERE
@KEY
@click.option(
    "--every", type=click.FloatRange(0.2, 60), default=1.0, show_default=True, help="Seconds between looks."
)
@click.option("--times", type=click.IntRange(1), default=None, help="Looks, in place of until Ctrl-C.")
def watch(where: str, key: Path | None, every: float, times: int | None) -> None:
    """Each change as it comes."""
    last, looks = -1.0, 0
    while times is None or looks < times:
        if looks:
            time.sleep(every)
        rows = _fetch_status(where, key)["history"]
        for row in rows:
            if row["unix_ms"] > last:
                click.echo(_history_line(row))
        last = max([last, *(row["unix_ms"] for row in rows)])
        looks += 1


def _history_line(row: dict[str, Any]) -> str:
    return (
        f"{format_unix_ms(row['unix_ms'], 'never')}  {row['code']:15}{row['member']:20}{row.get('text', '')}"
    )


@command.command("history")
@WHERE
@KEY
@click.option("--member", help="Only this one.")
@AS_JSON
def history(where: str, key: Path | None, member: str | None, as_json: bool) -> None:
    """What has changed since the gateway's start, the oldest first (the last 500)."""
    for row in _fetch_status(where, key)["history"]:
        if member in (None, row["member"]):
            click.echo(json.dumps(row) if as_json else _history_line(row))


@command.command("explain")
@click.argument("member")
@WHERE
@KEY
@AS_JSON
def explain(member: str, where: str, key: Path | None, as_json: bool) -> None:
    """What is believed of MEMBER, by whose word, and what to look at."""
    status = _fetch_status(where, key)
    row = next((row for row in status["members"] if row["name"] == member), None)
    if row is None:
        names = ", ".join(row["name"] for row in status["members"][:8]) or "nobody"
        raise click.ClickException(f"{status['own']} knows no {member}; it knows {names}")
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
