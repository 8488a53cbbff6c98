"""``winchdyke standin``: stand-in stores, list service and clients for trying out a gateway."""

from __future__ import annotations

import contextlib
import random
import re
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import click

from winchdyke.cli.common import FILE
from winchdyke.standins.record import Record


@click.group("standin")
def command() -> None:
    """Run stand-ins on loopback until Ctrl-C. With --record they write the observed events to a file."""


def _address(text: str) -> tuple[str, int]:
    match = re.fullmatch(r"(?:http://)?(127\.0\.0\.1|localhost):(\d{1,5})/?", text)
    if not match:
        raise click.ClickException(f"{text!r} is not a loopback address such as 127.0.0.1:8080")
    return "127.0.0.1", int(match[2])


RECORD = click.option(
    "--record", "out", type=FILE, help="Write the observed events to this file as JSON lines, at the end."
)


@command.command("store")
@click.option(
    "--shard",
    "shards",
    type=int,
    multiple=True,
    default=(0,),
    help="Shard of a store; can be repeated for several stores.",
)
@click.option(
    "--unit-ms",
    type=click.FloatRange(0.1),
    default=8.0,
    show_default=True,
    help="Milliseconds of work per unit.",
)
@click.option("--cores", type=click.IntRange(1), default=2, show_default=True)
@click.option(
    "--queue",
    type=click.IntRange(0),
    default=64,
    show_default=True,
    help="Maximum number of queued requests.",
)
@click.option("--cold", is_flag=True, help="Start cold, with part of the capacity at first.")
@click.option("--slow", type=click.FloatRange(1), default=1.0, help="Factor by which stores are slowed down.")
@click.option("--lose", type=click.FloatRange(0, 1), default=0.0, help="Share of responses that are lost.")
@RECORD
def store(
    shards: tuple[int, ...],
    unit_ms: float,
    cores: int,
    queue: int,
    cold: bool,
    slow: float,
    lose: float,
    out: Path | None,
) -> None:
    """Run stores and print one line for each: ADDRESS SHARD."""
    from winchdyke.standins.store import DeduplicationGroup, ObjectStore, Store, StoreSpec, UsageMeter

    record = Record()

    async def run() -> None:
        meter, deduplication_group = UsageMeter(), DeduplicationGroup()
        async with anyio.create_task_group() as group:
            for shard in shards:
                spec = StoreSpec(shard, unit_ms=unit_ms, cores=cores, queue=queue)
                new_store = Store(spec, ObjectStore(), deduplication_group, meter, record, seed=shard)
                await new_store.start(group, cold)
                new_store.slowdown, new_store.lost_share = slow, lose
                click.echo(f"{new_store.name} {shard}")

    _until_stopped(run, record, out)


@command.command("nodes")
@click.argument("nodes", nargs=-1, required=True, metavar="ADDRESS=SHARD...")
@click.option("--late", type=click.FloatRange(0), default=0.0, help="Delay of changes in milliseconds.")
@RECORD
def nodes(nodes: tuple[str, ...], late: float, out: Path | None) -> None:
    """Run a list service that lists each store at ADDRESS as ready for SHARD; prints its own URL."""
    from winchdyke.standins.nodelist import ListService

    record = Record()
    listed = []
    for entry in nodes:
        address, _, shard = entry.partition("=")
        if not shard.isdigit():
            raise click.ClickException(f"{entry!r} is not ADDRESS=SHARD, as in 127.0.0.1:5003=0")
        listed.append((_address(address), int(shard)))

    async def run() -> None:
        async with anyio.create_task_group() as group:
            service = ListService(record)
            await service.start(group)
            for (host, port), shard in listed:
                await service.set(f"{host}:{port}", "ready", shard, "hall-a")
            service.late_ms = late
            click.echo(f"http://127.0.0.1:{service.port}/nodes")

    _until_stopped(run, record, out)


@command.command("clients")
@click.argument("gateways", nargs=-1, required=True, metavar="ADDRESS...")
@click.option(
    "--rate", type=click.FloatRange(0.1, 2000), default=50.0, show_default=True, help="Requests per second."
)
@click.option("--seconds", type=click.FloatRange(0.1, 600), default=10.0, show_default=True)
@click.option("--volume", default="school-1", show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@RECORD
def clients(
    gateways: tuple[str, ...], rate: float, seconds: float, volume: str, seed: int, out: Path | None
) -> None:
    """Send requests to gateways, one third writes and two thirds reads (open loop), and print a summary."""
    from winchdyke.standins.clients import Clients, PlannedRequest

    addresses = [_address(gateway) for gateway in gateways]
    record, rng = Record(), random.Random(seed)
    requests, at = [], 0.0
    while (at := at + rng.expovariate(rate) * 1000) < seconds * 1000:
        is_write = rng.random() < 1 / 3
        path, gateway_index = f"/{volume}/object-{rng.randrange(50)}", rng.randrange(len(addresses))
        requests.append(
            PlannedRequest(
                at,
                gateway_index,
                "PUT" if is_write else "GET",
                path,
                1024 if is_write else 0,
                has_idempotency_key=is_write,
            )
        )
    started_at = time.monotonic()
    anyio.run(Clients(record, lambda index: addresses[index], seed).run, requests)
    answers = [entry for entry in record.entries if entry["what"] == "answer"]
    starts = {entry["client"]: entry["t"] for entry in record.entries if entry["what"] == "try"}
    latencies = sorted(entry["t"] - starts[entry["client"]] for entry in answers)
    click.echo(f"{len(starts)} tries in {time.monotonic() - started_at:.1f} s")
    for answer in sorted({(entry["status"], entry["reason"]) for entry in answers}):
        click.echo(
            f"  {answer[0]} {answer[1]}: {sum((entry['status'], entry['reason']) == answer for entry in answers)}"
        )
    for what in ("cut", "gave-up", "unreachable"):
        if count := sum(entry["what"] == what for entry in record.entries):
            click.echo(f"  {what}: {count}")
    if latencies:
        click.echo(
            f"  p50 {latencies[len(latencies) // 2]:.1f} ms, p99 {latencies[int(len(latencies) * 0.99)]:.1f} ms"
        )
    if out is not None:
        record.save(out)


def _until_stopped(run: Callable[[], Awaitable[None]], record: Record, out: Path | None) -> None:
    try:
        with contextlib.suppress(KeyboardInterrupt):
            anyio.run(run)
    finally:
        if out is not None:
            record.save(out)


@command.command("beside")
@click.argument("log", type=FILE)
@click.argument("records", type=FILE, nargs=-1, required=True, metavar="RECORD...")
def beside_clients(log: Path, records: tuple[Path, ...]) -> None:
    """Compare client latency (LOG of 'load --log') with the stores' part of it (RECORDs of stores)."""
    import json

    from winchdyke.load import beside

    def lines(path: Path) -> list[dict[str, object]]:
        try:
            return [json.loads(line) for line in path.read_text(encoding="utf-8").splitlines()]
        except (OSError, ValueError) as error:
            raise click.ClickException(f"{path} can't be read as JSON lines: {error}") from None

    store_entries = [line for path in records for line in lines(path)]
    click.echo(beside.format_table(beside.compare(lines(log), store_entries)))
