"""``winchdyke config``: checks, formats, compares, explains and converts settings."""

from __future__ import annotations

import json
import re
from pathlib import Path

import click

from winchdyke.cli.common import FILE, load_config_or_exit, load_or_exit
from winchdyke.config import ConfigError, load_all
from winchdyke.config.diagnostics import ERROR, sarif


@click.group("config")
def command() -> None:
    """Work with settings files.

    Exits with 0 if all is well, 1 if there is a finding (differences, not formatted, no such volume), 2 on
    mistakes.
    """


@command.command("check")
@click.argument("file", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="Print findings as JSON.")
@click.option("--sarif", "as_sarif", is_flag=True, help="Print findings as SARIF 2.1.0, for editors and CI.")
def check(file: Path, as_json: bool, as_sarif: bool) -> None:
    """Check FILE and the files it includes, and report every mistake."""
    try:
        problems = load_all(file).warnings
    except ConfigError as error:
        problems = error.problems
    errors = sum(problem.severity == ERROR for problem in problems)
    if as_json:
        click.echo(json.dumps([problem.to_dict() for problem in problems], indent=1))
    elif as_sarif:
        click.echo(json.dumps(sarif(problems), indent=1))
    else:
        for problem in problems:
            click.echo(problem.render())
        click.echo(
            f"{file}: {errors} mistakes, {len(problems) - errors} warnings" if problems else f"{file}: good"
        )
    raise SystemExit(2 if errors else 0)


@command.command("fmt")
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--check", "only", is_flag=True, help="Change nothing; exit with 1 if a file is not formatted.")
def fmt(files: tuple[Path, ...], only: bool) -> None:
    """Format FILES in place; comments are kept."""
    from winchdyke.config.diagnostics import Source
    from winchdyke.config.fmt import fmt as formatted
    from winchdyke.config.sources import UnreadableFileError, read
    from winchdyke.config.syntax import parse

    unformatted = 0
    for file in files:
        try:
            text = read(file)
        except UnreadableFileError as error:
            click.echo(f"{file}:{error.line}:{error.column}: {error}; {error.fix}", err=True)
            raise SystemExit(2) from None
        _, problems = parse(Source(str(file), text))
        if problems:
            for problem in problems:
                click.echo(problem.render(), err=True)
            raise SystemExit(2)
        formatted_text = formatted(text)
        if formatted_text != file.read_bytes().decode("utf-8"):
            unformatted += 1
            click.echo(f"{file}: {'is not formatted' if only else 'formatted'}")
            if not only:
                file.write_text(formatted_text, encoding="utf-8")
    raise SystemExit(1 if only and unformatted else 0)


@command.command("diff")
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@click.option("--json", "as_json", is_flag=True, help="Print changes as JSON.")
def diff(old: Path, new: Path, as_json: bool) -> None:
    """Show the difference in meaning between OLD and NEW, with its risks; differences of form are ignored."""
    from winchdyke.config import semantic_diff

    before, after = load_config_or_exit(old), load_config_or_exit(new)
    changes, rerouted_requests = (
        semantic_diff.diff(before, after),
        semantic_diff.find_rerouted_requests(before, after),
    )
    if as_json:
        result = {
            "changes": [change.to_dict() for change in changes],
            "rerouted": [str(request) for request in rerouted_requests],
        }
        click.echo(json.dumps(result, indent=1))
    else:
        for change in changes:
            click.echo(change.text + (f"\n    risk: {change.risk}" if change.risk else ""))
        for request in rerouted_requests:
            click.echo(f"rerouted: {request}")
        if not changes:
            click.echo("no difference in meaning")
    raise SystemExit(1 if changes else 0)


@command.command("explain")
@click.argument("file", type=FILE)
@click.argument("path", metavar="PATH")
def explain(file: Path, path: str) -> None:
    """Show where the value at PATH, such as class.fetch.aim or limits.connections, comes from."""
    from winchdyke.config.schema import BLOCKS
    from winchdyke.config.semantic_diff import show
    from winchdyke.config.types import suggest

    loaded = load_or_exit(file)
    kind, _, rest = path.partition(".")
    name, _, key = rest.rpartition(".")
    if kind not in BLOCKS:
        raise click.ClickException(f"there is no kind of block {kind!r}; {suggest(kind, BLOCKS)}")
    values = loaded.values.get((kind, name))
    if values is None:
        names = [other_name for other_kind, other_name in loaded.values if other_kind == kind]
        raise click.ClickException(f"there is no {kind} {name!r}; {suggest(name, names)}")
    if key not in values:
        raise click.ClickException(f"{key!r} is not a key of a {kind}; {suggest(key, BLOCKS[kind].keys)}")
    origin = loaded.origins[kind, name, key]
    click.echo(f"{path} = {show(kind, key, values[key])}")
    click.echo(f"  {BLOCKS[kind].keys[key].doc}")
    if origin.span is None:
        click.echo("  the built-in default")
        return
    click.echo(f"  from {origin.span}" + (f", by {origin.via}" if origin.via else ""))
    for place, line in reversed(origin.span.source.chain):
        click.echo(f"    included from {place}:{line}")


@command.command("route")
@click.argument("file", type=FILE)
@click.argument("method", type=click.Choice(["GET", "HEAD", "PUT", "POST", "DELETE"]))
@click.argument("path")
@click.option("--size", default="0", help="Length of the body, such as 3MB.")
@click.option("--header", "headers", multiple=True, help="Header as NAME: VALUE; can be repeated.")
def route(file: Path, method: str, path: str, size: str, headers: tuple[str, ...]) -> None:
    """Show how a request would be handled, and why: its route, class, plan and shard."""
    from winchdyke.config import semantic_diff, units
    from winchdyke.config.matching import RequestAttributes
    from winchdyke.placement import shard_of

    config = load_config_or_exit(file)
    match = re.fullmatch(r"/([^/]+)/?(.*)", path)
    if not match:
        raise click.ClickException(f"{path!r} is not /VOLUME/KEY")
    try:
        length = units.size(size)
    except ValueError as error:
        raise click.ClickException(f"--size: {error}") from None
    pairs = [header.partition(":") for header in headers]
    fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
    request = RequestAttributes(method, match[1], match[2], length, fields)
    volume = config.volume(request.volume)
    if volume is None:
        click.echo(f"404: no volume rule matches {request.volume!r}")
        raise SystemExit(1)
    click.echo(f"volume {volume.pattern}: plan {volume.plan}, {volume.gateways} gateways")
    chosen = config.matcher.match(request)
    others = [
        candidate for candidate in config.routes if candidate.pattern.matches(request) and candidate != chosen
    ]
    if chosen is None:
        click.echo("route: none matches; the operation's default class and the volume's shards apply")
    else:
        click.echo(f"route {chosen.pattern.name}: {_format_conditions(chosen.pattern)}")
        for candidate in sorted(others, key=lambda other: other.pattern.rank, reverse=True)[:5]:
            click.echo(f"  before route {candidate.pattern.name}: {_format_conditions(candidate.pattern)}")
    click.echo(semantic_diff.routing_summary(config, request))
    shards = chosen.shards if chosen and chosen.shards else volume.shards
    if request.key:
        click.echo(f"the object is on shard {shard_of(request.volume, request.key, shards)}")


def _format_conditions(pattern: object) -> str:
    from winchdyke.config.matching import Pattern
    from winchdyke.config.semantic_diff import show

    assert isinstance(pattern, Pattern)
    conditions = [f"volume {pattern.volume}"]
    conditions += [f"key {pattern.key}*"] if pattern.key else []
    conditions += [f"header {show('route', 'header', pattern.header)}"] if pattern.header else []
    conditions += [f"size {show('route', 'size', pattern.size)}"] if pattern.size else []
    conditions += [f"method {', '.join(pattern.methods)}"] if pattern.methods else []
    return ", ".join(conditions) + (f", priority {pattern.priority}" if pattern.priority else "")


@command.command("convert")
@click.argument("file", type=FILE)
@click.option("-o", "--out", type=FILE, help="File to write; by default standard output.")
def convert(file: Path, out: Path | None) -> None:
    """Write the settings in FILE (INI or the language) as one file in the language, without includes."""
    from winchdyke.config.serialization import serialize

    text = serialize(load_or_exit(file).values, f"Made from {file.name} by winchdyke config convert.")
    if out is None:
        click.echo(text, nl=False)
    else:
        out.write_text(text, encoding="utf-8")
        click.echo(f"{out}: written; check it with winchdyke config check {out}")


@command.command("reference")
def reference() -> None:
    """Print the reference page of all settings (docs/config.md)."""
    from winchdyke.config.reference import page

    click.echo(page(), nl=False)
