"""``winchdyke load``: sends requests at a fixed rate (open loop) and reports the responses."""

from __future__ import annotations

import json
import multiprocessing
from pathlib import Path
from typing import Any

import anyio
import click


def _run_worker(worker_args: tuple[Any, ...], number: int, workers: int, out: Any, logged: bool) -> None:
    from winchdyke.load.run import RunSettings, Worker

    worker = Worker(RunSettings(*worker_args), number, workers)
    worker.log = [] if logged else None
    anyio.run(worker.run)
    out.send((worker.results.pack(), worker.log or []))


@click.command("load")
@click.argument("url")
@click.option(
    "--rate",
    type=click.FloatRange(0.1),
    default=100.0,
    show_default=True,
    help="Requests per second, over all processes.",
)
@click.option("--for", "span", default="10s", show_default=True, metavar="TIME", help="How long to send.")
@click.option(
    "--mix",
    default="get=70,range=10,put=20",
    show_default=True,
    help="Shares of get, range, put, upload, list.",
)
@click.option(
    "--volumes",
    default="school-1",
    show_default=True,
    help="Volumes, separated by commas; each has the same share.",
)
@click.option(
    "--objects",
    type=click.IntRange(1),
    default=100,
    show_default=True,
    help="Objects per volume, some of them hot.",
)
@click.option("--size", default="64KiB", show_default=True, help="Size of each object.")
@click.option("--processes", type=click.IntRange(1, 64), default=1, show_default=True)
@click.option(
    "--seed", type=int, default=1, show_default=True, help="Seed of the random times, operations and objects."
)
@click.option(
    "--patience",
    default="10s",
    show_default=True,
    metavar="TIME",
    help="How long a client waits for a response.",
)
@click.option("--s3", is_flag=True, help="URL is an S3 listener.")
@click.option("--access", default="", metavar="ID", help="S3 access key.")
@click.option(
    "--secret",
    type=click.Path(path_type=Path, dir_okay=False),
    help="File with the secret of the access key, readable by its owner only.",
)
@click.option(
    "--log",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Write one line of JSON per request to this file, for 'standin beside'.",
)
@click.option("--json", "as_json", is_flag=True, help="Print all results as JSON.")
def command(
    url: str, rate: float, span: str, mix: str, volumes: str, objects: int, size: str, processes: int, seed: int,
    patience: str, s3: bool, access: str, secret: Path | None, log: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Send requests to URL at times drawn in advance (open loop), and report the responses.

    Latency is measured from the scheduled time of a request, so a stalled gateway delays all requests
    scheduled meanwhile.
    """
    from urllib.parse import urlsplit

    from winchdyke.config import units
    from winchdyke.durable_files import PrivateFileError, read_private_file
    from winchdyke.load.report import Results
    from winchdyke.load.schedule import Mix

    try:
        parts = urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(f"{url!r} is not http://HOST:PORT")
        workload = Mix.parse(mix), units.duration(span), units.size(size), units.duration(patience)
        secret_text = read_private_file(secret).decode().strip() if secret else ""
    except (ValueError, PrivateFileError) as error:
        raise click.ClickException(str(error)) from None
    if bool(access) != bool(secret_text):
        raise click.ClickException("--access and --secret go together: give both or neither")
    worker_args = (
        url, rate, workload[1], workload[0], volumes.split(","), objects, workload[2], seed, s3,
        (access, secret_text), workload[3] / 1000,
    )  # fmt: skip
    results, logged = Results(), []
    context = multiprocessing.get_context("spawn")
    running = []
    for number in range(processes):
        receiver, sender = context.Pipe(False)
        process = context.Process(
            target=_run_worker, args=(worker_args, number, processes, sender, log is not None)
        )
        process.start()
        sender.close()
        running.append((process, receiver))
    for process, receiver in running:
        try:
            packed, lines = receiver.recv()
            results.merge(packed)
            logged += lines
        except EOFError:
            click.echo("a worker process ended without results; its requests are not counted", err=True)
        process.join()
    if log is not None:
        log.write_text("".join(json.dumps(line) + "\n" for line in logged))
    click.echo(json.dumps(results.figures()) if as_json else results.text())
