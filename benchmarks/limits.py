"""Measures what a limited volume transfers with large objects, over both protocols and with one and three gateways, against its limit.

    python -m benchmarks.limits [--seconds 8.3] [--plot docs/figures/limits.png]

Gateways are real processes with the embedded settings, volume ``other`` (plan basic: 240 units of 64 KiB a second, burst 480); three
clients at each upload objects of 16 MiB one after another, wait for their Retry-After, and stop after the given time. The transferred
bytes are those of bodies that the stores received completely. Nothing is simulated: all bytes go over the loopback interface.
"""

from __future__ import annotations

import math
import re
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
import click
import h11

from winchdyke.config import defaults, parse
from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record, clock
from winchdyke.standins.store import DeduplicationGroup, ObjectStore, Store, StoreSpec, UsageMeter
from winchdyke.standins.wire import CONNECTION_ERRORS, Peer

SIZE, CLIENTS, STORES, UNIT = 16 << 20, 3, 8, 64 * 1024
START_S = 15.0


async def _put(peer: Peer, path: str) -> tuple[int, float]:
    """Upload one object; returns the status and the Retry-After in seconds."""
    headers = [("host", "g"), ("content-length", str(SIZE))]
    head: h11.Response | None = None
    async with anyio.create_task_group() as group:

        async def send() -> None:
            try:
                await peer.send(h11.Request(method="PUT", target=path, headers=headers))
                piece = b"x" * (256 * 1024)
                for _ in range(SIZE // len(piece)):
                    await peer.send(h11.Data(data=piece))
                await peer.send(h11.EndOfMessage())
            except (*CONNECTION_ERRORS, h11.LocalProtocolError):
                pass  # the response came before the end of the body

        group.start_soon(send)
        while True:
            event = await peer.event()
            if isinstance(event, h11.Response):
                head = event
            elif not isinstance(event, h11.Data):
                break
        group.cancel_scope.cancel()
    assert head is not None
    after = {name: value for name, value in head.headers}.get(b"retry-after", b"0")
    return head.status_code, float(after)


async def _client(address: tuple[str, int], name: str, until: float, statuses: Counter[int]) -> None:
    number = 0
    while clock() < until:
        number += 1
        try:
            peer = Peer(await anyio.connect_tcp(*address), h11.CLIENT)
            try:
                status, wait = await _put(peer, f"/other/{name}-{number}")
            finally:
                await anyio.aclose_forcefully(peer.stream)
        except CONNECTION_ERRORS:
            status, wait = 0, 0.2
        statuses[status] += 1
        if status >= 500:
            await anyio.sleep(max(0.05, min(wait, (until - clock()) / 1000)))


def _settings(index: int, gateways: int, list_port: int, port_file: Path) -> str:
    text = re.sub(r"list = \S+", f"list = http://127.0.0.1:{list_port}/nodes", defaults())
    own = f'gateway {{\n    name = g{index}\n    index = {index}\n    gateways = {gateways}\n    port_file = "{port_file}"\n'
    text = text.replace("gateway {\n    name = dev\n", own, 1)
    text = text.replace("volume * {\n", f"volume * {{\n    gateways = {gateways}\n", 1)
    return text + "\ns3 {\n    listen = 127.0.0.1:0\n    unsigned = all\n}\n"


async def measure(
    protocol: str, gateways: int, seconds: float
) -> tuple[list[tuple[float, float]], Counter[int]]:
    """Return the transfers as (ms since the start, units), and the counts of the clients' statuses."""
    record, meter, deduplication_group, statuses = (
        Record(),
        UsageMeter(),
        DeduplicationGroup(),
        Counter[int](),
    )
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory(prefix="winchdyke-limits-") as folder:
        async with anyio.create_task_group() as group:
            listing = ListService(record)
            await listing.start(group)
            for shard in range(STORES):
                store = Store(
                    StoreSpec(shard, unit_ms=0.05),
                    ObjectStore(),
                    deduplication_group,
                    meter,
                    record,
                    seed=shard,
                )
                await store.start(group)
                await listing.set(store.name, "ready", shard, "hall-a")
            try:
                addresses = [
                    await _start(Path(folder), index, gateways, listing.port, protocol, processes)
                    for index in range(gateways)
                ]
                await anyio.sleep(0.3)
                began = clock()
                async with anyio.create_task_group() as clients:
                    for index, address in enumerate(addresses):
                        for number in range(CLIENTS):
                            clients.start_soon(
                                _client, address, f"g{index}-{number}", began + seconds * 1000, statuses
                            )
            finally:
                for process in processes:
                    process.terminate()
                for process in processes:
                    process.wait(10)
            group.cancel_scope.cancel()
    transfers = [
        (entry["t"] - began, math.ceil(entry["bytes"] / UNIT))
        for entry in record.entries
        if entry["what"] == "whole" and entry["bytes"]
    ]
    return transfers, statuses


async def _start(
    folder: Path,
    index: int,
    gateways: int,
    list_port: int,
    protocol: str,
    processes: list[subprocess.Popen[bytes]],
) -> tuple[str, int]:
    port_file, settings = folder / f"{index}.port", folder / f"{index}.conf"
    text = _settings(index, gateways, list_port, port_file)
    parse(text, "made")
    settings.write_text(text)
    with (folder / f"{index}.log").open("wb") as log:
        processes.append(
            subprocess.Popen(
                [sys.executable, "-m", "winchdyke", "serve", "-c", str(settings)], stdout=log, stderr=log
            )
        )
    with anyio.fail_after(START_S):
        while not port_file.exists():
            if processes[-1].poll() is not None:
                raise SystemExit((folder / f"{index}.log").read_text())
            await anyio.sleep(0.02)
    where = port_file if protocol == "object" else port_file.with_name(port_file.name + ".s3")
    host, _, port = where.read_text().strip().rpartition(":")
    return host, int(port)


def highest_window_ratio(
    transfers: list[tuple[float, float]], rate: float, burst: float, gateways: int
) -> float:
    """Return the highest ratio over all windows of transferred units to those that limit, burst and one object a gateway allow."""
    found, most = 0.0, burst + gateways * SIZE / UNIT
    for first in range(len(transfers)):
        total = 0.0
        for at, units in transfers[first:]:
            total += units
            found = max(found, total / (rate * (at - transfers[first][0]) / 1000 + most))
    return found


def plot(
    path: Path,
    runs: dict[str, tuple[list[tuple[float, float]], int]],
    rate: float,
    burst: float,
    seconds: float,
) -> None:
    """Plot the transferred units over time, and the maximum allowed."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, (transfers, _) in runs.items():
        total, xs, ys = 0.0, [0.0], [0.0]
        for at, units in transfers:
            total += units
            xs += [at / 1000, at / 1000]
            ys += [ys[-1], total]
        axes.plot(xs, ys, label=name)
    for gateways, line in ((1, "--"), (3, ":")):
        most = burst + gateways * SIZE / UNIT
        axes.plot(
            [0, seconds], [most, most + rate * seconds], "k" + line, label=f"allowed, {gateways} gateway(s)"
        )
    axes.set_xlabel("seconds")
    axes.set_ylabel("units of 64 KiB moved")
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


@click.command()
@click.option("--seconds", default=8.3, show_default=True)
@click.option("--plot", "figure", type=click.Path(path_type=Path), default=None)
def main(seconds: float, figure: Path | None) -> None:
    """Measure, and print a table."""
    plan: Any = next(plan for plan in parse(defaults(), "defaults").plans if plan.limit_units_per_s)
    found: dict[str, tuple[list[tuple[float, float]], int]] = {}
    click.echo("| dialect | gateways | MiB moved | MiB allowed | most of any window | put | refused |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    for protocol in ("object", "s3"):
        for gateways in (1, 3):
            transfers, statuses = anyio.run(measure, protocol, gateways, seconds)
            found[f"{protocol}, {gateways}"] = transfers, gateways
            span = max((at for at, _ in transfers), default=0.0) / 1000
            allowed = (plan.limit_units_per_s * span + plan.limit_burst_units + gateways * SIZE / UNIT) / 16
            part = highest_window_ratio(transfers, plan.limit_units_per_s, plan.limit_burst_units, gateways)
            total = sum(units for _, units in transfers) / 16
            good, bad = sum(n for s, n in statuses.items() if 200 <= s < 300), statuses[503]
            click.echo(
                f"| {protocol} | {gateways} | {total:.0f} | {allowed:.0f} | {part:.2f} | {good} | {bad} |"
            )
    if figure is not None:
        plot(figure, found, plan.limit_units_per_s, plan.limit_burst_units, seconds)


if __name__ == "__main__":
    main()
