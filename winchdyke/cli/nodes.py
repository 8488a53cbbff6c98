"""``winchdyke nodes``: what a gateway believes of the nodes, from the folder in which it keeps its list."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click

from winchdyke.cli.common import when

FOLDER = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
MEANING = {
    "usable": "requests go to it",
    "cold": "requests go to it, within what a cold node bears",
    "doubtful": "it is tried before anything is sent: it answers nothing yet, or was left out by a list",
    "draining": "nothing new goes to it; that ends with a later start, or where a list says so",
    "gone": "nothing goes to it until a list or the node itself tells of it anew",
    "reused": "another store answers at its address: nothing goes there until a list knows that store",
}


@click.group("nodes")
def command() -> None:
    """What is believed of the nodes, why, and since when. FOLDER is a gateway's `nodes, keep`."""


def _kept(folder: Path) -> Any:
    from winchdyke.discovery import cache

    found, said = cache.load(folder)
    for text in said:
        click.echo(text, err=True)
    if found is None:
        raise click.ClickException(
            f"{folder} holds no node list that can be used; is it a gateway's `nodes, keep`?"
        )
    return found


def _history(folder: Path) -> list[dict[str, Any]]:
    entries: list[dict[str, Any]] = []
    for name in ("history.log.1", "history.log"):
        try:
            lines = (folder / name).read_text(encoding="utf-8").splitlines()
        except FileNotFoundError:
            continue
        except OSError as error:
            raise click.ClickException(f"{folder / name} can't be read: {error.strerror}") from None
        for line in lines:
            try:
                entries.append(json.loads(line))
            except ValueError:
                continue  # a line that a kill cut short
    return entries


def _row(known: Any) -> dict[str, Any]:
    return {
        "node": known.name, "shard": known.shard, "state": known.state.value, "why": known.why,
        "identity": known.identity or None, "confirmed_by": known.by or None, "confirmed_unix_ms": known.confirmed_unix,
        "drained": known.drained,
    }  # fmt: skip


@command.command("show")
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def show(folder: Path, as_json: bool) -> None:
    """All nodes, as the gateway last wrote them (within a second of a change)."""
    kept = _kept(folder)
    rows = [_row(known) for known in sorted(kept.nodes, key=lambda known: (known.shard, known.name))]
    if as_json:
        click.echo(json.dumps({"gateway": kept.gateway, "unix_ms": kept.unix_ms, "nodes": rows}))
        return
    age = max(0.0, time.time() - kept.unix_ms / 1000)
    click.echo(f"{kept.gateway}: {len(rows)} nodes, written {age:.0f} s ago")
    click.echo(f"{'shard':>5}  {'node':22}{'state':10}{'confirmed (UTC)':21}why")
    for row in rows:
        confirmed = when(row["confirmed_unix_ms"], "never")
        click.echo(f"{row['shard']:5}  {row['node']:22}{row['state']:10}{confirmed:21}{row['why']}")


@command.command("history")
@FOLDER
@click.option("--node", help="Only this one.")
@click.option("--json", "as_json", is_flag=True, help="A line of JSON for each change.")
def history(folder: Path, node: str | None, as_json: bool) -> None:
    """Changes of state, the oldest first."""
    for entry in _history(folder):
        if node in (None, entry.get("node")):
            text = f"{when(entry['unix_ms'], 'never')}  {entry['node']:22}{entry['state']:10}{entry['why']}"
            click.echo(json.dumps(entry) if as_json else text)


@command.command("explain")
@click.argument("node")
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def explain(node: str, folder: Path, as_json: bool) -> None:
    """What is believed of NODE, why, and what that means for requests."""
    kept = _kept(folder)
    known = next((known for known in kept.nodes if known.name == node), None)
    if known is None:
        names = ", ".join(sorted(known.name for known in kept.nodes)[:8])
        raise click.ClickException(f"{node} is not on the list in {folder}; there are {names}")
    changes = [entry for entry in _history(folder) if entry.get("node") == node]
    row = _row(known)
    if as_json:
        click.echo(json.dumps({**row, "means": MEANING[row["state"]], "changes": changes[-10:]}))
        return
    click.echo(f"{node}, shard {row['shard']}: {row['state']} ({row['why']})")
    click.echo(f"  {MEANING[row['state']]}")
    click.echo(
        f"  confirmed last by {row['confirmed_by'] or 'nothing'}, {when(row['confirmed_unix_ms'], 'never')} UTC"
    )
    click.echo(f"  identity {row['identity'] or 'not known'}")
    for entry in changes[-5:]:
        click.echo(f"  {when(entry['unix_ms'], 'never')}  {entry['state']:10}{entry['why']}")
