"""``winchdyke day``: runs scripted fault scenarios (days) against real gateways and checks their traffic."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from winchdyke.cli.common import FILE

if TYPE_CHECKING:
    from winchdyke.days.script import Scenario


@click.group("day")
def command() -> None:
    """Play scripted fault scenarios (days) on loopback and judge them by the seven rules."""


@command.command("list")
def list_days() -> None:
    """List the available days."""
    from winchdyke.days.script import SCENARIOS

    for name, make in SCENARIOS.items():
        click.echo(f"{name}: {(make.__doc__ or '').splitlines()[0]}")


@command.command("run")
@click.argument("name")
@click.option(
    "--seed", type=int, default=None, help="Seed of the day; by default 1, or the seed in a day file."
)
@click.option("--length", type=float, default=None, help="Length in seconds; by default the day's own.")
@click.option(
    "--json",
    "out",
    type=FILE,
    default=None,
    help="Write the verdict, the figures and the record to this file.",
)
@click.option(
    "--keep", type=click.Path(path_type=Path, file_okay=False), help="Keep the gateways' logs in this folder."
)
@click.option(
    "--settings", "more", type=FILE, help="File with settings that are appended to those of each gateway."
)
def run(
    name: str, seed: int | None, length: float | None, out: Path | None, more: Path | None, keep: Path | None
) -> None:
    """Play NAME, a day of 'day list' or a file of 'day from-bench'. Exits with 1 if a rule is broken."""
    from winchdyke.days import judge
    from winchdyke.days.run import ScenarioError, run_scenario

    day = _load_day(name, seed, length)
    try:
        verdict, record, exit_codes = run_scenario(
            day, keep, more.read_text(encoding="utf-8") if more else ""
        )
    except ScenarioError as error:
        raise click.ClickException(str(error)) from None
    click.echo(judge.report(day, verdict))
    if any(exit_codes):
        click.echo(f"  gateways ended with {exit_codes}; 0 is a clean stop")
    if out is not None:
        result = {
            "day": msgspec.to_builtins(day), "kept": verdict.kept, "figures": verdict.figures, "ends": exit_codes,
            "rules": [
                {
                    "rule": rule_result.rule, "checked": rule_result.checked, "broken": rule_result.violations,
                    "held": rule_result.coverage.exercised,
                    "near": rule_result.coverage.bound_usage, "untried": rule_result.untried,
                }
                for rule_result in verdict.rule_results
            ],
            "logs": verdict.log_directory, "record": record,
        }  # fmt: skip
        out.write_text(json.dumps(result))
    if verdict.log_directory:
        click.echo(f"  logs: {verdict.log_directory}")
    if not verdict.kept or any(exit_codes):
        click.echo(f"  again: winchdyke day run {name} --seed {day.seed}")
        raise SystemExit(1)


def _load_day(name: str, seed: int | None, length: float | None = None) -> Scenario:
    """Return a listed day, generated from the seed, or the day in a file, with its seed replaced if one is given."""
    from winchdyke.days import script

    if name in script.SCENARIOS:
        number = 1 if seed is None else seed
        return (
            script.SCENARIOS[name](number)
            if length is None
            else script.SCENARIOS[name](number, length * 1000)
        )
    try:
        day = msgspec.json.decode(Path(name).read_bytes(), type=script.Scenario)
    except (OSError, msgspec.DecodeError) as error:
        raise click.ClickException(
            f"{name!r} is no day of 'winchdyke day list', nor a day file: {error}"
        ) from None
    return day if seed is None else msgspec.structs.replace(day, seed=seed)


@command.command("campaign")
@click.option("--days", required=True, help="Days of 'day list' and day files, separated by commas.")
@click.option("--seeds", "which", default="1-10", show_default=True, help="Seeds, such as 1-20 or 3,5,8.")
@click.option(
    "--jobs",
    type=click.IntRange(1, 64),
    default=None,
    help="Days played at the same time; by default according to the number of cores.",
)
@click.option(
    "--out", type=FILE, default=Path("campaign.jsonl"), show_default=True,
    help="File for the results, one line per day; days with a result there are not played again.",
)  # fmt: skip
@click.option("--json", "as_json", is_flag=True, help="Print the results as JSON instead of a table.")
def campaign(days: str, which: str, jobs: int | None, out: Path, as_json: bool) -> None:
    """Play many days with many seeds.

    Exits with 1 if a rule is broken, and with 2 if a rule was not tried or a day could not be played.
    """
    import anyio

    from winchdyke.days import campaign as campaigns

    names = [name.strip() for name in days.split(",") if name.strip()]
    for name in names:
        _load_day(name, 1)  # reports a wrong name before a campaign that may take hours
    try:
        runs = [campaigns.ScenarioRun(name, seed) for name in names for seed in campaigns.parse_seeds(which)]
        finished, total = 0, len(campaigns.remaining_runs(runs, campaigns.read_results(out)))

        def print_result(result: campaigns.ScenarioResult) -> None:
            nonlocal finished
            finished += 1
            click.echo(
                f"{finished}/{total} {result.day} seed {result.seed}: {result.outcome}, {result.seconds:.0f} s",
                err=True,
            )

        results = anyio.run(campaigns.run, runs, out, jobs or campaigns.default_job_count(), print_result)
    except (campaigns.CampaignError, OSError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(msgspec.json.encode(results).decode() if as_json else campaigns.report(results))
    if any(result.outcome == "broken" for result in results):
        raise SystemExit(1)
    if any(result.outcome != "kept" for result in results):
        raise SystemExit(2)


@command.command("shrink")
@click.argument("name")
@click.option("--seed", type=int, default=None, help="Seed of the day; by default the seed in a day file.")
@click.option(
    "--tries",
    type=click.IntRange(1, 20),
    default=2,
    show_default=True,
    help="Plays without a broken rule before a set of events counts as kept.",
)
@click.option(
    "--most",
    type=click.IntRange(1, 1000),
    default=40,
    show_default=True,
    help="Maximum number of sets of events that are tried.",
)
@click.option("-o", "--out", type=FILE, required=True, help="File for the shrunk day, for 'day run'.")
def shrink(name: str, seed: int | None, tries: int, most: int, out: Path) -> None:
    """Reduce the events of a day that breaks a rule to as few as possible that still break it."""
    from winchdyke.days import script
    from winchdyke.days import shrink as minimizer
    from winchdyke.days.run import ScenarioError, run_scenario

    day = _load_day(name, seed)
    target_rules: set[int] = set()

    def broken_rules(events: list[script.Event]) -> set[int]:
        broken: set[int] = set()
        for _ in range(tries):
            smaller = msgspec.structs.replace(day, events=events)
            try:
                verdict, _, exit_codes = run_scenario(smaller)
            except ScenarioError as error:
                raise click.ClickException(str(error)) from None
            broken |= {rule_result.rule for rule_result in verdict.rule_results if not rule_result.kept} | (
                {0} if any(exit_codes) else set()
            )
            if broken & target_rules if target_rules else broken:
                break
        return broken

    target_rules = broken_rules(day.events)
    if not target_rules:
        raise click.ClickException(
            f"{name} kept all rules in {tries} plays: nothing to shrink; try more --tries"
        )
    click.echo(f"broken: {', '.join(map(str, sorted(target_rules)))}; {len(day.events)} events", err=True)

    def fails(events: list[script.Event]) -> bool:
        still_broken = bool(broken_rules(events) & target_rules)
        click.echo(f"  {len(events)} events: {'still broken' if still_broken else 'kept'}", err=True)
        return still_broken

    events, minimal = minimizer.minimize(day.events, fails, most)
    shrunk = msgspec.structs.replace(day, name=f"{day.name}-shrunk", events=events)
    out.write_bytes(msgspec.json.format(msgspec.json.encode(shrunk)) + b"\n")
    click.echo(
        f"{out}: {len(events)} of {len(day.events)} events{'' if minimal else '; more may be removable with a larger --most'}"
    )
    for event in events:
        click.echo(f"  {event.kind} at {event.at / 1000:.1f} s on {event.on}")
    click.echo(f"again: winchdyke day run {out}")


@command.command("from-bench")
@click.argument("file", type=FILE)
@click.option(
    "--length", type=float, default=20.0, show_default=True, help="Length of the resulting day in seconds."
)
@click.option("-o", "--out", type=FILE, required=True, help="File for the day, for 'day run'.")
def from_bench(file: Path, length: float, out: Path) -> None:
    """Convert FILE, a day printed by the simulator's 'draw', to a day at loopback scale."""
    from winchdyke.days import frombench

    try:
        day = frombench.convert(frombench.read(file.read_bytes()), length)
    except (OSError, frombench.BenchError) as error:
        raise click.ClickException(f"{file}: {error}") from None
    out.write_bytes(msgspec.json.format(msgspec.json.encode(day)) + b"\n")
    troubles = ", ".join(dict.fromkeys(event.kind for event in day.events)) or "none"
    click.echo(
        f"{out}: {day.gateways} gateways, {day.stores} stores, {day.length / 1000:.0f} s, troubles: {troubles}"
    )
    click.echo("Not carried over:")
    for text in day.carried_not:
        click.echo(f"  - {text}")
