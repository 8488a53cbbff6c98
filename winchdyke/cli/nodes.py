"""``winchdyke nodes``: shows a gateway's endpoint view from its cache directory."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from winchdyke.cli.common import format_unix_ms

if TYPE_CHECKING:
    from winchdyke.discovery.cache import CachedEndpointList
    from winchdyke.discovery.records import CachedEndpoint

FOLDER = click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
MEANING_BY_STATE = {
    "usable": "requests go to it",
    "cold": "requests go to it, up to the capacity of a node that is warming up",
    "doubtful": "it is probed before requests go to it: it has not answered yet, or a list left it out",
    "draining": "nothing new goes to it until it restarts, or a list ends the drain",
    "gone": "nothing goes to it until a list or the node itself announces it again",
    "reused": "another store answers at its address; nothing goes there until a list contains that store",
}
MAX_CHANGES_AS_JSON = 10
MAX_CHANGES_AS_TEXT = 5
MAX_NAMES_IN_ERROR = 8


@click.group("nodes")
def command() -> None:
    """Show the state of the nodes as a gateway sees it, and why. FOLDER is the gateway's `nodes, keep`."""


def _load_cache(directory: Path) -> CachedEndpointList:
    from winchdyke.discovery import cache

    loaded = cache.load(directory)
    for warning in loaded.warnings:
        click.echo(warning, err=True)
    if loaded.cached is None:
        raise click.ClickException(
            f"{directory} holds no node list that is usable; is it a gateway's `nodes, keep`?"
        )
    return loaded.cached


def _load_history(directory: Path) -> list[dict[str, Any]]:
    from winchdyke.discovery import history
    from winchdyke.discovery.errors import EndpointCacheError

    try:
        return history.read(directory)
    except EndpointCacheError as error:
        raise click.ClickException(str(error)) from None


def _row(endpoint: CachedEndpoint) -> dict[str, Any]:
    return {
        "node": endpoint.name,
        "shard": endpoint.shard,
        "state": endpoint.status.value,
        "why": endpoint.reason,
        "identity": endpoint.identity or None,
        "confirmed_by": endpoint.confirmed_by or None,
        "confirmed_unix_ms": endpoint.confirmed_unix_ms,
        "drained": endpoint.drain_announced,
    }


@command.command("show")
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def show(folder: Path, as_json: bool) -> None:
    """Show all nodes, as the gateway last saved them (within a second of a change)."""
    cached = _load_cache(folder)
    endpoints = sorted(cached.endpoints, key=lambda endpoint: (endpoint.shard, endpoint.name))
    rows = [_row(endpoint) for endpoint in endpoints]
    if as_json:
        click.echo(json.dumps({"gateway": cached.gateway, "unix_ms": cached.saved_unix_ms, "nodes": rows}))
        return
    age_s = max(0.0, time.time() - cached.saved_unix_ms / 1000)
    click.echo(f"{cached.gateway}: {len(rows)} nodes, written {age_s:.0f} s ago")
    click.echo(f"{'shard':>5}  {'node':22}{'state':10}{'confirmed (UTC)':21}why")
    for row in rows:
        confirmed = format_unix_ms(row["confirmed_unix_ms"], "never")
        click.echo(f"{row['shard']:5}  {row['node']:22}{row['state']:10}{confirmed:21}{row['why']}")


@command.command("history")
@FOLDER
@click.option("--node", help="Show this node only.")
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON per change.")
def history(folder: Path, node: str | None, as_json: bool) -> None:
    """Show changes of state, the oldest first."""
    for entry in _load_history(folder):
        if node in (None, entry.get("node")):
            text = f"{format_unix_ms(entry['unix_ms'], 'never')}  {entry['node']:22}{entry['state']:10}{entry['why']}"
            click.echo(json.dumps(entry) if as_json else text)


@command.command("explain")
@click.argument("node")
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain(node: str, folder: Path, as_json: bool) -> None:
    """Show the state of NODE, why it is so, and what that means for requests."""
    cached = _load_cache(folder)
    endpoint = next((endpoint for endpoint in cached.endpoints if endpoint.name == node), None)
    if endpoint is None:
        names = sorted(endpoint.name for endpoint in cached.endpoints)[:MAX_NAMES_IN_ERROR]
        raise click.ClickException(f"{node} is not on the list in {folder}; listed nodes: {', '.join(names)}")
    changes = [entry for entry in _load_history(folder) if entry.get("node") == node]
    row = _row(endpoint)
    meaning = MEANING_BY_STATE[row["state"]]
    if as_json:
        click.echo(json.dumps({**row, "means": meaning, "changes": changes[-MAX_CHANGES_AS_JSON:]}))
        return
    confirmed = format_unix_ms(row["confirmed_unix_ms"], "never")
    click.echo(f"{node}, shard {row['shard']}: {row['state']} ({row['why']})")
    click.echo(f"  {meaning}")
    click.echo(f"  confirmed last by {row['confirmed_by'] or 'nothing'}, {confirmed} UTC")
    click.echo(f"  identity {row['identity'] or 'unknown'}")
    for entry in changes[-MAX_CHANGES_AS_TEXT:]:
        click.echo(f"  {format_unix_ms(entry['unix_ms'], 'never')}  {entry['state']:10}{entry['why']}")
