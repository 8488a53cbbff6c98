"""``winchdyke waits``: who waited for whom, from the ledgers of gateways."""

from __future__ import annotations

import dataclasses
import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

LEDGERS = click.argument(
    "ledgers", nargs=-1, required=True, type=click.Path(path_type=Path), metavar="LEDGER..."
)


@click.group("waits")
def command() -> None:
    """Who waited for whom. A LEDGER is a folder that a gateway writes, or one segment of it; several are merged."""


def _when(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        found = datetime.fromisoformat(text)
    except ValueError:
        raise click.ClickException(
            f"{text!r} is no time; write it like 2026-12-01T20:00 (UTC) or with +01:00"
        ) from None
    return (found if found.tzinfo else found.replace(tzinfo=UTC)).timestamp() * 1000


def _summary(
    ledgers: tuple[Path, ...], since: str | None, until: str | None, node: str | None, off_ms: float = 0.0
) -> tuple[Any, list[str]]:
    from winchdyke.latency_attribution import ledger
    from winchdyke.latency_attribution.merge import ContentionTimeline
    from winchdyke.latency_attribution.report import summed
    from winchdyke.latency_attribution.spans import Account

    found = ledger.Recovered()
    try:
        # Two passes, so that no more than sums is held: who was at each node, then whom each wait was for.
        crowd = ContentionTimeline(off_ms)
        for each in ledger.read(ledgers):
            crowd.add(each)
        entries = (
            crowd.refine(each) if isinstance(each, Account) else each
            for each in ledger.entries(ledgers, found)
        )
        summary = summed(entries, _when(since), _when(until), node)
        summary.unknown_firsts = crowd.maybe_second_tries()
    except ledger.LedgerError as error:
        raise click.ClickException(str(error)) from None
    return summary, found.losses


@command.command("report")
@LEDGERS
@click.option(
    "--from", "since", help="Only what began at or after this time (ISO 8601, UTC where no zone is given)."
)
@click.option("--to", "until", help="Only what began before this time.")
@click.option("--volume", "volumes", multiple=True, help="Only these courses; several may be given.")
@click.option("--node", help="Only requests that met this node.")
@click.option(
    "--html", type=click.Path(path_type=Path, dir_okay=False), help="Write one self-contained page here."
)
@click.option(
    "--clocks-off",
    default="100ms",
    show_default=True,
    metavar="TIME",
    help="By how much the gateways' clocks may differ, where several ledgers are given.",
)
@click.option("--json", "as_json", is_flag=True, help="The report as JSON.")
def report(
    ledgers: tuple[Path, ...], since: str | None, until: str | None, volumes: tuple[str, ...], node: str | None,
    html: Path | None, clocks_off: str, as_json: bool,
) -> None:  # fmt: skip
    """The worst-served courses, who held them, slow nodes, the worst requests."""
    from winchdyke.config import units

    try:
        off_ms = units.duration(clocks_off)
    except ValueError as error:
        raise click.ClickException(f"--clocks-off: {error}") from None
    summary, losses = _summary(ledgers, since, until, node, off_ms)
    data = summary.data(volumes or None)
    if html is not None:
        from winchdyke.latency_attribution.page import page

        html.write_text(page(data, losses), encoding="utf-8")
        click.echo(f"{html}: written")
    if as_json:
        click.echo(json.dumps({**data, "losses": losses}))
        return
    for loss in losses[:5]:
        click.echo(f"not read: {loss}", err=True)
    if data["minutes_left_out"]:
        said = f"{data['minutes_left_out']} minutes are known as sums alone and can't be parted as asked: left out"
        click.echo(said, err=True)
    click.echo(f"{data['requests']} requests, held {data['held_ms'] / 1000:.2f} s in all")
    for course in data["courses"][:15]:
        click.echo(f"  {_plain(course['sentence'])}")
    click.echo("who held whom (s):")
    for cell in data["matrix"][:15]:
        holder = _plain(f"{cell['kind']} {cell['holder']} {cell['what']}")
        click.echo(f"  {cell['ms'] / 1000:9.2f}  {_plain(cell['waiter'])} <- {holder}")
    if data["folded_ms"]:
        click.echo(
            f"  {data['folded_ms'] / 1000:9.2f}  in cells that were folded; any one may lack {data['cell_error_ms'] / 1000:.2f}"
        )
    click.echo("nodes by what they added beyond their usual:")
    for each in data["nodes"][:10]:
        click.echo(
            f"  {each['node']}: {each['excess_ms'] / 1000:.2f} s in {each['slow']} of {each['attempts']} attempts; "
            f"p50 {each['p50_ms']:.1f} ms, p99 {each['p99_ms']:.1f} ms, usual {each['usual_ms']:.1f} ms"
        )


def _plain(text: str) -> str:
    """A name with nothing in it that a terminal would act on."""
    return "".join(sign if sign.isprintable() else "?" for sign in text)


@command.command("explain")
@click.argument("request")
@LEDGERS
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def explain(request: str, ledgers: tuple[Path, ...], as_json: bool) -> None:
    """Where the time of REQUEST went: its spans, its wait by cause, and who held it."""
    from winchdyke.latency_attribution import ledger
    from winchdyke.latency_attribution.report import explained

    try:
        account = next(
            (each for each in ledger.read(ledgers) if request in (each.request, each.client_request)), None
        )
    except ledger.LedgerError as error:
        raise click.ClickException(str(error)) from None
    if account is None:
        raise click.ClickException(f"no ledger here holds a request {request!r}")
    data = explained(account)
    if as_json:
        click.echo(json.dumps(data))
        return
    said = f"{data['outcome']} ({data['reason']}) in {data['latency_ms']:.2f} ms"
    click.echo(f"{data['request']} {_plain(data['volume'])} {data['class']}: {said}")
    for phase, ms in data["spans_ms"].items():
        click.echo(f"  {phase:9} {ms:10.2f} ms")
    for cause, ms in data["causes_ms"].items():
        click.echo(f"    held by {cause:9} {ms:10.2f} ms")
    for each in data["blame"]:
        click.echo(f"    {each['ms']:10.2f} ms {_plain(each['holder'])}")
    for each in data["attempts"]:
        click.echo(
            f"  at {each['node']}: {each['end']}, {each['out_ms']:.2f} ms out, usually {each['usual_ms']:.2f} ms"
        )


@command.command("diff")
@click.argument("before", type=click.Path(path_type=Path))
@click.argument("after", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def diff(before: Path, after: Path, as_json: bool) -> None:
    """How two evenings differ, course by course: milliseconds held a request."""
    old, new = _summary((before,), None, None, None)[0], _summary((after,), None, None, None)[0]
    rows = []
    for name in sorted({*old.courses, *new.courses}):
        a, b = old.courses.get(name), new.courses.get(name)
        was = a.held / a.requests / 1e6 if a else None
        now = b.held / b.requests / 1e6 if b else None
        rows.append({"volume": name, "before_ms": was, "after_ms": now})
    rows.sort(key=lambda row: -abs((row["after_ms"] or 0) - (row["before_ms"] or 0)))
    if as_json:
        click.echo(json.dumps(rows))
        return
    for row in rows:
        was, now = ("-" if row[key] is None else f"{row[key]:.2f}" for key in ("before_ms", "after_ms"))
        click.echo(f"{_plain(row['volume']):24} {was:>10} -> {now:>10} ms held a request")


@command.command("compact")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False, exists=True))
@click.option("--most", default=1 << 30, show_default=True, help="Bytes that the whole ledger may have.")
@click.option(
    "--older", default=7 * 86400.0, show_default=True, help="Sum up accounts older than so many seconds."
)
@click.option("--gently", is_flag=True, help="Give way to all else on this machine.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def compact(folder: Path, most: int, older: float, gently: bool, as_json: bool) -> None:
    """Sum up old accounts of the ledger in FOLDER by the minute. A gateway does so by itself."""
    import os

    from winchdyke.latency_attribution import compact as compaction

    if gently:
        os.nice(10)
    try:
        done = compaction.compact(folder, most, older)
    except OSError as error:
        raise click.ClickException(
            f"{folder}: {error.strerror}; nothing that was not summed up is lost"
        ) from None
    if as_json:
        click.echo(json.dumps(dataclasses.asdict(done)))
    elif done.busy:
        click.echo("another process is at it")
    else:
        click.echo(f"{done.segments} segments summed up: {done.before} bytes are now {done.after}")
        for loss in done.losses[:5]:
            click.echo(f"not read: {loss}", err=True)


@command.command("top")
@click.argument(
    "folders",
    nargs=-1,
    required=True,
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    metavar="FOLDER...",
)
@click.option("--seconds", default=10.0, show_default=True, help="Show what ended in so many last seconds.")
@click.option("--every", default=1.0, show_default=True, help="Seconds between looks.")
@click.option("--once", is_flag=True, help="Look once and end.")
@click.option("--json", "as_json", is_flag=True, help="A line of JSON for each look.")
def top(folders: tuple[Path, ...], seconds: float, every: float, once: bool, as_json: bool) -> None:
    """Who waits for whom at this moment, from the ledgers of running gateways, until Ctrl-C."""
    import sys
    import time

    from winchdyke.latency_attribution.live import Top

    if seconds <= 0 or every <= 0:
        raise click.ClickException("--seconds and --every are more than 0")
    shown = Top(folders, seconds)
    while True:
        data = shown.look()
        if as_json:
            click.echo(json.dumps(data))
        else:
            if sys.stdout.isatty() and not once:
                click.clear()
            click.echo("\n".join(_top_lines(data)))
        if once:
            return
        time.sleep(every)


def _top_lines(data: dict[str, Any]) -> list[str]:
    lines = []
    for each in data["gateways"]:
        word = "has given no word on what it holds"
        if each["age_s"] is not None:
            total = sum(held["count"] for held in each["held"])
            word = f"holds {total}" + (f", by its word {each['age_s']:.0f} s ago" if each["stale"] else "")
        dropped = f"; {each['dropped']} accounts dropped" if each["dropped"] else ""
        lines.append(f"{_plain(each['gateway'] or each['folder'])} {word}{dropped}")
        lines += [
            f"  shard {held['shard']}, {held['class']}: {held['count']} held, {held['cause']}; "
            + _plain(", ".join(held["holders"]))
            for held in each["held"][:8]
        ]
    lines.append(f"{'course':24}{'per s':>8}{'held ms':>9}{'p99 ms':>9}{'refused':>9}{'failed':>8}  held by")
    lines += [
        f"{_plain(course['volume'])[:23]:24}{course['per_s']:8.1f}{course['held_ms']:9.1f}{course['p99_ms']:9.1f}"
        f"{course['refused']:9}{course['failed']:8}  {_plain(', '.join(course['holders']))}"
        for course in data["courses"][:20]
    ]
    return lines
