"""``winchdyke load``: requests at a rate, whatever comes back; what clients saw."""

from __future__ import annotations

import json
import multiprocessing
from pathlib import Path
from typing import Any

import anyio
import click


def _work(words: tuple[Any, ...], number: int, workers: int, out: Any, logged: bool) -> None:
    from winchdyke.load.run import RunSettings, Worker

    worker = Worker(RunSettings(*words), number, workers)
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
    help="Requests a second, over all processes.",
)
@click.option("--for", "span", default="10s", show_default=True, metavar="TIME", help="How long to send.")
@click.option(
    "--mix",
    default="get=70,range=10,put=20",
    show_default=True,
    help="Shares of get, range, put, upload, list.",
)
@click.option(
    "--volumes", default="school-1", show_default=True, help="Volumes, each as likely, set apart by commas."
)
@click.option(
    "--objects",
    type=click.IntRange(1),
    default=100,
    show_default=True,
    help="Objects in each, some of them hot.",
)
@click.option("--size", default="64KiB", show_default=True, help="Bytes of each object.")
@click.option("--processes", type=click.IntRange(1, 64), default=1, show_default=True)
@click.option(
    "--seed", type=int, default=1, show_default=True, help="Times, operations and objects are drawn from it."
)
@click.option(
    "--patience",
    default="10s",
    show_default=True,
    metavar="TIME",
    help="How long a client waits for an answer.",
)
@click.option("--s3", is_flag=True, help="URL is an S3 listener.")
@click.option("--access", default="", metavar="ID", help="An S3 access key.")
@click.option(
    "--secret",
    type=click.Path(path_type=Path, dir_okay=False),
    help="An owner-only file with its secret.",
)
@click.option(
    "--log",
    type=click.Path(path_type=Path, dir_okay=False),
    help="A line of JSON for each request; see 'standin beside'.",
)
@click.option("--json", "as_json", is_flag=True, help="All figures as JSON.")
def command(
    url: str, rate: float, span: str, mix: str, volumes: str, objects: int, size: str, processes: int, seed: int,
    patience: str, s3: bool, access: str, secret: Path | None, log: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Send requests to URL at times drawn beforehand (open loop), and tell what came back.

    Latencies count from each request's own time, so a gateway that stalls is seen by all whose time came meanwhile.
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
        asked = Mix.parse(mix), units.duration(span), units.size(size), units.duration(patience)
        word = read_private_file(secret).decode().strip() if secret else ""
    except (ValueError, PrivateFileError) as error:
        raise click.ClickException(str(error)) from None
    if bool(access) != bool(word):
        raise click.ClickException("--access and --secret go together")
    words = (
        url, rate, asked[1], asked[0], volumes.split(","), objects, asked[2], seed, s3, (access, word), asked[3] / 1000,
    )  # fmt: skip
    results, logged = Results(), []
    context = multiprocessing.get_context("spawn")
    running = []
    for number in range(processes):
        mine, theirs = context.Pipe(False)
        process = context.Process(target=_work, args=(words, number, processes, theirs, log is not None))
        process.start()
        theirs.close()
        running.append((process, mine))
    for process, mine in running:
        try:
            packed, lines = mine.recv()
            results.merge(packed)
            logged += lines
        except EOFError:
            click.echo("a worker ended without a word; its requests are not counted", err=True)
        process.join()
    if log is not None:
        log.write_text("".join(json.dumps(line) + "\n" for line in logged))
    click.echo(json.dumps(results.figures()) if as_json else results.text())
