"""Acknowledged writes a second: the log's group commit against a loop of write and fdatasync and against SQLite in WAL mode.

    python -m benchmarks.log [--seconds 1.5] [--plot docs/figures/log.png] [--recovery]

Payloads have 1 KiB. The plain loop and SQLite commit one write at a time under a lock, as a program without group commit
does. Rates depend on the disk and the machine, so compare only the ratios within one run. ``--sync-ms`` lengthens each sync of
the plain loop and of the log by so many milliseconds, to emulate a slower disk; SQLite is left out then. ``--recovery`` writes
a log of 1 GiB and measures its recovery.
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
EXTRA_SYNC_SECONDS = [0.0]  # added to each sync
WRITERS = (1, 4, 16, 64)
Write = Callable[[], None]


def measure(writers: int, seconds: float, write: Write) -> tuple[float, float, float]:
    """Returns writes a second, and the median and 99th percentile of the time to the acknowledgement (ms)."""
    until = time.perf_counter() + seconds
    latencies_ms: list[list[float]] = [[] for _ in range(writers)]

    def run(own_latencies_ms: list[float]) -> None:
        while (began := time.perf_counter()) < until:
            write()
            own_latencies_ms.append((time.perf_counter() - began) * 1000)

    threads = [threading.Thread(target=run, args=(each,)) for each in latencies_ms]
    began = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed_s = time.perf_counter() - began
    ordered_ms = sorted(each for by_writer in latencies_ms for each in by_writer)
    return (
        len(ordered_ms) / elapsed_s,
        ordered_ms[len(ordered_ms) // 2],
        ordered_ms[int(len(ordered_ms) * 0.99)],
    )


def open_plain_loop(folder: Path) -> tuple[Write, Callable[[], None]]:
    """Returns functions that append and fdatasync one write at a time, and that close the file."""
    descriptor, lock = os.open(folder / "plain", os.O_WRONLY | os.O_CREAT | os.O_APPEND), threading.Lock()

    def write() -> None:
        with lock:
            os.write(descriptor, PAYLOAD)
            os.fdatasync(descriptor)
            time.sleep(EXTRA_SYNC_SECONDS[0])

    return write, lambda: os.close(descriptor)


def open_sqlite(folder: Path) -> tuple[Write, Callable[[], None]]:
    """Returns functions that insert and commit one row at a time, in WAL mode with full synchronisation, and that close."""
    database = sqlite3.connect(folder / "db", check_same_thread=False, isolation_level=None)
    database.execute("pragma journal_mode=wal")
    database.execute("pragma synchronous=full")
    database.execute("create table log (id integer primary key, payload blob)")
    lock = threading.Lock()

    def write() -> None:
        with lock:
            database.execute("insert into log (payload) values (?)", (PAYLOAD,))

    return write, database.close


def open_log(folder: Path) -> tuple[Write, Callable[[], None]]:
    """Returns functions that write to the log and that close it; writes are marked as done at once, so it never fills up."""
    disk = Folder(folder / "log")
    if EXTRA_SYNC_SECONDS[0]:
        sync = disk.sync

        def slow_sync(name: str) -> None:
            sync(name)
            time.sleep(EXTRA_SYNC_SECONDS[0])

        disk.sync = slow_sync  # type: ignore[method-assign]
    committer = Committer(Log(disk, 16 << 20, 256 << 20))

    def write() -> None:
        committer.mark_done(committer.write(PAYLOAD).result())

    return write, committer.close


METHODS = {"plain loop": open_plain_loop, "sqlite, WAL": open_sqlite, "log": open_log}


def measure_recovery(log_bytes: int = 1 << 30) -> None:
    """Writes a log of a size, and prints the time and the memory that its recovery takes."""
    with tempfile.TemporaryDirectory(prefix="winchdyke-log-", dir=".") as directory:
        folder = Path(directory)
        log = Log(Folder(folder), 16 << 20, log_bytes + (64 << 20))
        payload = b"r" * (16 << 10)
        while log.used_bytes < log_bytes:
            log.append(payload)
        log.close()
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        began = time.perf_counter()
        recovered = Log(Folder(folder), 16 << 20, log_bytes + (64 << 20))
        elapsed_s = time.perf_counter() - began
        extra_mib = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024
        click.echo(
            f"{recovered.recovery.bytes / 2**20:.0f} MiB, {len(recovered.pending_writes)} records: "
            f"recovered in {elapsed_s:.2f} s, {extra_mib:.1f} MiB more memory"
        )
        recovered.disk.close()


@click.command()
@click.option("--seconds", default=1.5, show_default=True)
@click.option("--rounds", default=3, show_default=True)
@click.option("--sync-ms", default=0.0, show_default=True)
@click.option("--plot", "figure", type=click.Path(path_type=Path), default=None)
@click.option("--recovery", "big", is_flag=True)
def main(seconds: float, rounds: int, sync_ms: float, figure: Path | None, big: bool) -> None:
    """Measures all methods in turn, and prints the medians of the rounds."""
    EXTRA_SYNC_SECONDS[0] = sync_ms / 1000
    if sync_ms:
        del METHODS["sqlite, WAL"]
    others = [name for name in METHODS if name != "log"]
    medians: dict[str, list[tuple[float, float, float]]] = {name: [] for name in METHODS}
    click.echo(
        "| writers | "
        + " | ".join(f"{name}, a second (p50 / p99 ms)" for name in METHODS)
        + " | "
        + " | ".join(f"log / {name}" for name in others)
        + " |"
    )
    click.echo("| --- |" + " --- |" * (2 * len(METHODS) - 1))
    for writers in WRITERS:
        results: dict[str, list[tuple[float, float, float]]] = {name: [] for name in METHODS}
        for _ in range(rounds):
            for name, open_method in METHODS.items():
                with tempfile.TemporaryDirectory(prefix="winchdyke-log-", dir=".") as folder:
                    write, close = open_method(Path(folder))
                    results[name].append(measure(writers, seconds, write))
                    close()
        for name, rounds_of_method in results.items():
            medians[name].append(sorted(rounds_of_method)[len(rounds_of_method) // 2])
        row = {name: medians[name][-1] for name in METHODS}
        cells = " | ".join(f"{each[0]:.0f} ({each[1]:.2f} / {each[2]:.2f})" for each in row.values())
        ratios = " | ".join(f"{row['log'][0] / row[name][0]:.2f}" for name in others)
        click.echo(f"| {writers} | {cells} | {ratios} |")
    if figure is not None:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        plot_figure, axes = pyplot.subplots(figsize=(6, 3.6))
        for name, rows in medians.items():
            axes.plot(WRITERS, [row[0] for row in rows], marker="o", label=name)
        axes.set_xscale("log", base=2)
        axes.set_yscale("log")
        axes.set_xlabel("concurrent writers")
        axes.set_ylabel("acknowledged writes a second")
        axes.legend()
        plot_figure.tight_layout()
        plot_figure.savefig(figure, dpi=110)
    if big:
        measure_recovery()


if __name__ == "__main__":
    main()
