"""Acknowledged writes a second: the log's group commit, a plain loop of write and fdatasync, and sqlite in WAL mode, in one run.

    python -m benchmarks.log [--seconds 1.5] [--plot docs/figures/log.png] [--recovery]

Payloads of 1 KiB. The plain loop and sqlite commit one at a time under a lock, as a program without group commit does. Rates
depend on the disk and the machine; the ratios in one run are what counts. ``--sync-ms`` makes each sync of the plain loop and of
the log take that much longer, as a slower disk's would. ``--recovery`` writes 1 GiB of log, and times the pass that finds it again.
"""

from __future__ import annotations

import os
import resource
import sqlite3
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import click

from winchdyke.writeback.commit import Committer
from winchdyke.writeback.disk import Folder
from winchdyke.writeback.log import Log

PAYLOAD = b"p" * 1024
SLOW = [0.0]  # seconds that each sync takes longer
WRITERS = (1, 4, 16, 64)
Write = Callable[[], None]


def rate(writers: int, seconds: float, write: Write) -> tuple[float, float, float]:
    """Writes a second, and the median and 99th percentile of an acknowledgement (ms)."""
    until = time.perf_counter() + seconds
    took: list[list[float]] = [[] for _ in range(writers)]

    def run(mine: list[float]) -> None:
        while (began := time.perf_counter()) < until:
            write()
            mine.append((time.perf_counter() - began) * 1000)

    threads = [threading.Thread(target=run, args=(mine,)) for mine in took]
    began = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    span = time.perf_counter() - began
    every = sorted(each for mine in took for each in mine)
    return len(every) / span, every[len(every) // 2], every[int(len(every) * 0.99)]


def plain(folder: Path) -> tuple[Write, Callable[[], None]]:
    """Append and fdatasync, one at a time."""
    descriptor, lock = os.open(folder / "plain", os.O_WRONLY | os.O_CREAT | os.O_APPEND), threading.Lock()

    def write() -> None:
        with lock:
            os.write(descriptor, PAYLOAD)
            os.fdatasync(descriptor)
            time.sleep(SLOW[0])

    return write, lambda: os.close(descriptor)


def sqlite(folder: Path) -> tuple[Write, Callable[[], None]]:
    """A row and a commit, one at a time, in WAL mode with full synchronisation."""
    database = sqlite3.connect(folder / "db", check_same_thread=False, isolation_level=None)
    database.execute("pragma journal_mode=wal")
    database.execute("pragma synchronous=full")
    database.execute("create table log (id integer primary key, payload blob)")
    lock = threading.Lock()

    def write() -> None:
        with lock:
            database.execute("insert into log (payload) values (?)", (PAYLOAD,))

    return write, database.close


def grouped(folder: Path) -> tuple[Write, Callable[[], None]]:
    """The log; what is acknowledged is done at once, so that it never fills up."""
    disk = Folder(folder / "log")
    if SLOW[0]:
        sync = disk.sync

        def slow(name: str) -> None:
            sync(name)
            time.sleep(SLOW[0])

        disk.sync = slow  # type: ignore[method-assign]
    committer = Committer(Log(disk, 16 << 20, 256 << 20))

    def write() -> None:
        committer.mark_done(committer.write(PAYLOAD).result())

    return write, committer.close


WAYS = {"plain loop": plain, "sqlite, WAL": sqlite, "log": grouped}


def recovery(bytes_: int = 1 << 30) -> None:
    """Write so much, and find it again."""
    with tempfile.TemporaryDirectory(prefix="winchdyke-log-", dir=".") as made:
        folder = Path(made)
        log = Log(Folder(folder), 16 << 20, bytes_ + (64 << 20))
        payload = b"r" * (16 << 10)
        while log.used_bytes < bytes_:
            log.append(payload)
        log.close()
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        began = time.perf_counter()
        found = Log(Folder(folder), 16 << 20, bytes_ + (64 << 20))
        took = time.perf_counter() - began
        more = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024
        click.echo(
            f"{found.recovery.bytes / 2**20:.0f} MiB, {len(found.pending_writes)} records: "
            f"found again in {took:.2f} s, {more:.1f} MiB more memory"
        )
        found.disk.close()


@click.command()
@click.option("--seconds", default=1.5, show_default=True)
@click.option("--rounds", default=3, show_default=True)
@click.option("--sync-ms", default=0.0, show_default=True)
@click.option("--plot", "figure", type=click.Path(path_type=Path), default=None)
@click.option("--recovery", "big", is_flag=True)
def main(seconds: float, rounds: int, sync_ms: float, figure: Path | None, big: bool) -> None:
    """Measure in turn, and print medians."""
    SLOW[0] = sync_ms / 1000
    if sync_ms:
        del WAYS["sqlite, WAL"]
    others = [name for name in WAYS if name != "log"]
    found: dict[str, list[tuple[float, float, float]]] = {name: [] for name in WAYS}
    click.echo(
        "| writers | "
        + " | ".join(f"{name}, a second (p50 / p99 ms)" for name in WAYS)
        + " | "
        + " | ".join(f"log / {name}" for name in others)
        + " |"
    )
    click.echo("| --- |" + " --- |" * (2 * len(WAYS) - 1))
    for writers in WRITERS:
        tries: dict[str, list[tuple[float, float, float]]] = {name: [] for name in WAYS}
        for _ in range(rounds):
            for name, make in WAYS.items():
                with tempfile.TemporaryDirectory(prefix="winchdyke-log-", dir=".") as made:
                    write, close = make(Path(made))
                    tries[name].append(rate(writers, seconds, write))
                    close()
        for name, all_of_them in tries.items():
            found[name].append(sorted(all_of_them)[len(all_of_them) // 2])
        row = {name: found[name][-1] for name in WAYS}
        told = " | ".join(f"{each[0]:.0f} ({each[1]:.2f} / {each[2]:.2f})" for each in row.values())
        ratios = " | ".join(f"{row['log'][0] / row[name][0]:.2f}" for name in others)
        click.echo(f"| {writers} | {told} | {ratios} |")
    if figure is not None:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        picture, axes = pyplot.subplots(figsize=(6, 3.6))
        for name, rows in found.items():
            axes.plot(WRITERS, [row[0] for row in rows], marker="o", label=name)
        axes.set_xscale("log", base=2)
        axes.set_yscale("log")
        axes.set_xlabel("writers at once")
        axes.set_ylabel("acknowledged writes a second")
        axes.legend()
        picture.tight_layout()
        picture.savefig(figure, dpi=110)
    if big:
        recovery()


if __name__ == "__main__":
    main()
