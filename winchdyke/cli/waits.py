"""``winchdyke waits``: reports from gateways' ledgers which requests waited, and for which others."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from winchdyke.latency_attribution.compaction import CompactionResult
    from winchdyke.latency_attribution.summary import Summary, VolumeSummary

LEDGERS = click.argument(
    "ledgers", nargs=-1, required=True, type=click.Path(path_type=Path), metavar="LEDGER..."
)
LOW_PRIORITY_NICENESS = 10
MAX_LOSSES = 5
MAX_VOLUMES = 15
MAX_CELLS = 15
MAX_ENDPOINTS = 10
MAX_LIVE_VOLUMES = 20
MAX_LIVE_GROUPS = 8
MAX_VOLUME_CHARS = 23
NS_PER_MS = 1e6


@click.group("waits")
def command() -> None:
    """Report which requests waited for which others.

    A LEDGER is a gateway's folder or one segment; several are merged.
    """


@dataclass(frozen=True)
class LedgerSummary:
    """A summary of ledgers, and descriptions of the parts that could not be read."""

    summary: Summary
    losses: list[str]


def _parse_time(text: str | None) -> float | None:
    """Return an ISO 8601 time as Unix milliseconds; UTC if no zone is given."""
    if text is None:
        return None
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        raise click.ClickException(
            f"{text!r} is no time; write 2026-12-01T20:00 (UTC) or 2026-12-01T20:00+01:00"
        ) from None
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=UTC)
    return parsed.timestamp() * 1000


def _summarize(
    ledgers: tuple[Path, ...],
    since: str | None = None,
    until: str | None = None,
    endpoint: str | None = None,
    clock_skew_ms: float = 0.0,
) -> LedgerSummary:
    """Summarize ledgers.

    They are read twice, so that only sums are kept in memory: first for which requests were in flight where,
    then for what each one waited for.
    """
    from winchdyke.latency_attribution.errors import LedgerError
    from winchdyke.latency_attribution.ledger import read_accounts, read_entries
    from winchdyke.latency_attribution.merge import ContentionTimeline
    from winchdyke.latency_attribution.records import Account
    from winchdyke.latency_attribution.segments import RecoveryReport
    from winchdyke.latency_attribution.summary import summarize

    recovery = RecoveryReport()
    timeline = ContentionTimeline(clock_skew_ms)
    try:
        for account in read_accounts(ledgers):
            timeline.add(account)
        entries = (
            timeline.reattribute(entry) if isinstance(entry, Account) else entry
            for entry in read_entries(ledgers, recovery)
        )
        summary = summarize(entries, _parse_time(since), _parse_time(until), endpoint)
    except LedgerError as error:
        raise click.ClickException(str(error)) from None
    summary.possible_retries = timeline.count_possible_retries()
    return LedgerSummary(summary, recovery.losses)


@command.command("report")
@LEDGERS
@click.option(
    "--from",
    "since",
    help="Only requests that began at or after this time (ISO 8601; UTC unless a zone is given).",
)
@click.option("--to", "until", help="Only requests that began before this time.")
@click.option("--volume", "volumes", multiple=True, help="Only this volume; can be repeated.")
@click.option("--node", help="Only requests with an attempt at this node.")
@click.option(
    "--html",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Write a self-contained HTML page to this file.",
)
@click.option(
    "--clocks-off",
    default="100ms",
    show_default=True,
    metavar="TIME",
    help="Maximum difference between the gateways' clocks, if several ledgers are given.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def report(
    ledgers: tuple[Path, ...],
    since: str | None,
    until: str | None,
    volumes: tuple[str, ...],
    node: str | None,
    html: Path | None,
    clocks_off: str,
    as_json: bool,
) -> None:
    """Report the worst-served volumes, which others held them up, slow nodes, and the worst requests."""
    from winchdyke.config import units
    from winchdyke.latency_attribution.report import report_data

    try:
        clock_skew_ms = units.duration(clocks_off)
    except ValueError as error:
        raise click.ClickException(f"--clocks-off: {error}") from None
    ledger_summary = _summarize(ledgers, since, until, node, clock_skew_ms)
    data = report_data(ledger_summary.summary, volumes or None)
    if html is not None:
        from winchdyke.latency_attribution.page import render_page

        html.write_text(render_page(data, ledger_summary.losses), encoding="utf-8")
        click.echo(f"{html}: written")
    if as_json:
        click.echo(json.dumps({**data, "losses": ledger_summary.losses}))
        return
    _echo_losses(ledger_summary.losses)
    if data["minutes_left_out"]:
        minutes = data["minutes_left_out"]
        click.echo(
            f"{minutes} minutes are left out: they are stored as sums only, which can't be filtered", err=True
        )
    for line in _report_lines(data):
        click.echo(line)


def _echo_losses(losses: list[str]) -> None:
    for loss in losses[:MAX_LOSSES]:
        click.echo(f"not read: {loss}", err=True)


def _report_lines(data: dict[str, Any]) -> Iterator[str]:
    yield f"{data['requests']} requests, held {data['held_ms'] / 1000:.2f} s in all"
    for volume in data["courses"][:MAX_VOLUMES]:
        yield f"  {_printable(volume['sentence'])}"
    yield "waiting volume <- what held it (s):"
    for cell in data["matrix"][:MAX_CELLS]:
        holder = _printable(f"{cell['kind']} {cell['holder']} {cell['what']}")
        yield f"  {cell['ms'] / 1000:9.2f}  {_printable(cell['waiter'])} <- {holder}"
    if data["folded_ms"]:
        error_s = data["cell_error_ms"] / 1000
        yield f"  {data['folded_ms'] / 1000:9.2f}  in cells that were merged; each cell may lack up to {error_s:.2f}"
    yield "nodes by time beyond their usual response times:"
    for endpoint in data["nodes"][:MAX_ENDPOINTS]:
        yield (
            f"  {endpoint['node']}: {endpoint['excess_ms'] / 1000:.2f} s in {endpoint['slow']} of "
            f"{endpoint['attempts']} attempts; p50 {endpoint['p50_ms']:.1f} ms, "
            f"p99 {endpoint['p99_ms']:.1f} ms, usual {endpoint['usual_ms']:.1f} ms"
        )


def _printable(text: str) -> str:
    """Return text with non-printable characters, which a terminal might interpret, replaced by ?."""
    return "".join(char if char.isprintable() else "?" for char in text)


@command.command("explain")
@click.argument("request")
@LEDGERS
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain(request: str, ledgers: tuple[Path, ...], as_json: bool) -> None:
    """Show where the time of REQUEST went: its spans, its wait by cause, and the volumes that held it."""
    from winchdyke.latency_attribution.errors import LedgerError
    from winchdyke.latency_attribution.ledger import read_accounts
    from winchdyke.latency_attribution.report import account_data

    matching = (each for each in read_accounts(ledgers) if request in (each.request, each.client_request))
    try:
        account = next(matching, None)
    except LedgerError as error:
        raise click.ClickException(str(error)) from None
    if account is None:
        raise click.ClickException(f"no ledger here holds a request {request!r}")
    data = account_data(account)
    if as_json:
        click.echo(json.dumps(data))
        return
    for line in _account_lines(data):
        click.echo(line)


def _account_lines(data: dict[str, Any]) -> Iterator[str]:
    ending = f"{data['outcome']} ({data['reason']}) in {data['latency_ms']:.2f} ms"
    yield f"{data['request']} {_printable(data['volume'])} {data['class']}: {ending}"
    for phase, ms in data["spans_ms"].items():
        yield f"  {phase:9} {ms:10.2f} ms"
    for cause, ms in data["causes_ms"].items():
        yield f"    held by {cause:9} {ms:10.2f} ms"
    for entry in data["blame"]:
        yield f"    {entry['ms']:10.2f} ms {_printable(entry['holder'])}"
    for attempt in data["attempts"]:
        times = f"{attempt['out_ms']:.2f} ms out, usually {attempt['usual_ms']:.2f} ms"
        yield f"  at {attempt['node']}: {attempt['end']}, {times}"


@command.command("diff")
@click.argument("before", type=click.Path(path_type=Path))
@click.argument("after", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def diff(before: Path, after: Path, as_json: bool) -> None:
    """Compare two ledgers volume by volume: milliseconds held per request."""
    old = _summarize((before,)).summary.volumes
    new = _summarize((after,)).summary.volumes
    rows: list[dict[str, Any]] = [
        {
            "volume": name,
            "before_ms": _queued_ms_per_request(old.get(name)),
            "after_ms": _queued_ms_per_request(new.get(name)),
        }
        for name in sorted({*old, *new})
    ]
    rows.sort(key=_change_ms, reverse=True)
    if as_json:
        click.echo(json.dumps(rows))
        return
    for row in rows:
        before_text, after_text = (_format_ms(row[key]) for key in ("before_ms", "after_ms"))
        click.echo(
            f"{_printable(row['volume']):24} {before_text:>10} -> {after_text:>10} ms held per request"
        )


def _queued_ms_per_request(volume: VolumeSummary | None) -> float | None:
    return volume.queued_ns / volume.requests / NS_PER_MS if volume is not None else None


def _change_ms(row: dict[str, Any]) -> float:
    return float(abs((row["after_ms"] or 0) - (row["before_ms"] or 0)))


def _format_ms(value_ms: float | None) -> str:
    return "-" if value_ms is None else f"{value_ms:.2f}"


@command.command("compact")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False, exists=True))
@click.option("--most", default=1 << 30, show_default=True, help="Maximum size of the ledger in bytes.")
@click.option(
    "--older", default=7 * 86400.0, show_default=True, help="Sum up accounts older than this many seconds."
)
@click.option("--gently", is_flag=True, help="Run at low CPU priority.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def compact(folder: Path, most: int, older: float, gently: bool, as_json: bool) -> None:
    """Replace old accounts of the ledger in FOLDER by sums per minute, as a gateway does by itself."""
    from winchdyke.latency_attribution.compaction import compact_ledger

    if gently:
        os.nice(LOW_PRIORITY_NICENESS)
    try:
        result = compact_ledger(folder, most, older)
    except OSError as error:
        raise click.ClickException(
            f"{folder}: {error.strerror}; accounts that were not summed up yet are unchanged"
        ) from None
    if as_json:
        click.echo(json.dumps(_compaction_data(result)))
    elif result.busy:
        click.echo("another process is compacting this ledger")
    else:
        sizes = f"{result.bytes_before} bytes are now {result.bytes_after}"
        click.echo(f"{result.segments} segments summed up: {sizes}")
        _echo_losses(result.losses)


def _compaction_data(result: CompactionResult) -> dict[str, Any]:
    """Return a result with the keys of the command's JSON output."""
    return {
        "segments": result.segments,
        "before": result.bytes_before,
        "after": result.bytes_after,
        "deleted": result.deleted_sums,
        "busy": result.busy,
        "losses": result.losses,
    }


@command.command("top")
@click.argument(
    "folders",
    nargs=-1,
    required=True,
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    metavar="FOLDER...",
)
@click.option(
    "--seconds", default=10.0, show_default=True, help="Show requests that ended within this many seconds."
)
@click.option("--every", default=1.0, show_default=True, help="Seconds between updates.")
@click.option("--once", is_flag=True, help="Print once and exit.")
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON per update.")
def top(folders: tuple[Path, ...], seconds: float, every: float, once: bool, as_json: bool) -> None:
    """Show which requests wait for which others now, from the ledgers of running gateways, until Ctrl-C."""
    from winchdyke.latency_attribution.live import LiveView

    if seconds <= 0 or every <= 0:
        raise click.ClickException("--seconds and --every must be more than 0")
    view = LiveView(folders, seconds)
    while True:
        data = view.snapshot()
        if as_json:
            click.echo(json.dumps(data))
        else:
            if sys.stdout.isatty() and not once:
                click.clear()
            click.echo("\n".join([*_gateway_lines(data["gateways"]), *_volume_lines(data["courses"])]))
        if once:
            return
        time.sleep(every)


def _gateway_lines(gateways: list[dict[str, Any]]) -> Iterator[str]:
    for gateway in gateways:
        name = _printable(gateway["gateway"] or gateway["folder"])
        dropped = f"; {gateway['dropped']} accounts dropped" if gateway["dropped"] else ""
        yield f"{name} {_queue_text(gateway)}{dropped}"
        for group in gateway["held"][:MAX_LIVE_GROUPS]:
            holders = _printable(", ".join(group["holders"]))
            counts = f"{group['count']} held, {group['cause']}"
            yield f"  shard {group['shard']}, {group['class']}: {counts}; {holders}"


def _queue_text(gateway: dict[str, Any]) -> str:
    if gateway["age_s"] is None:
        return "has not reported its queue"
    count = sum(group["count"] for group in gateway["held"])
    age = f", reported {gateway['age_s']:.0f} s ago" if gateway["stale"] else ""
    return f"holds {count}{age}"


def _volume_lines(volumes: list[dict[str, Any]]) -> Iterator[str]:
    yield f"{'volume':24}{'per s':>8}{'held ms':>9}{'p99 ms':>9}{'refused':>9}{'failed':>8}  held by"
    for volume in volumes[:MAX_LIVE_VOLUMES]:
        name = _printable(volume["volume"])[:MAX_VOLUME_CHARS]
        figures = f"{volume['per_s']:8.1f}{volume['held_ms']:9.1f}{volume['p99_ms']:9.1f}"
        holders = _printable(", ".join(volume["holders"]))
        yield f"{name:24}{figures}{volume['refused']:9}{volume['failed']:8}  {holders}"
