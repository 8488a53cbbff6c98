"""Runs many scenarios, several at once, each in its own process. Results are JSON lines, from which a campaign resumes."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec
import xxhash

from winchdyke.days.judge import RULES

CORES_PER_SCENARIO = 3  # three gateways and a process of stand-ins and clients, not all busy at once
SCENARIO_TIMEOUT_S = 300.0  # a scenario that runs longer counts as hung
MAX_KEPT_VIOLATIONS = 3  # violations stored for each rule


class CampaignError(Exception):
    """The campaign can't run; the message says what is wrong and what to do."""


class RuleViolation(msgspec.Struct):
    """A violated rule, the number of violations, and the message of the first."""

    rule: int
    times: int
    first: str


class ScenarioResult(msgspec.Struct):
    """The result of one scenario; a line of the campaign's file."""

    day: str
    seed: int
    mark: str  # hash of the day file, empty for a built-in scenario; a changed file is another scenario
    outcome: str  # kept, broken, untried or failed
    broken: list[RuleViolation] = []
    untried: list[int] = []
    held: list[int] = []
    near: list[float] = []
    figures: dict[str, float] = {}
    trouble: str = ""  # why the run failed, or the exit codes of gateways that ended with an error
    seconds: float = 0.0
    logs: str = ""

    @property
    def acceptable(self) -> bool:
        """Whether the run succeeded and no rule is violated."""
        return self.outcome in ("kept", "untried")

    @property
    def replay_command(self) -> str:
        """The command that runs it again."""
        return f"winchdyke day run {self.day} --seed {self.seed}"


@dataclass(frozen=True)
class ScenarioRun:
    """One scenario to run: a built-in name or a day file, and the seed."""

    day: str
    seed: int

    @property
    def mark(self) -> str:
        """The hash of the day file; empty for a built-in scenario."""
        path = Path(self.day)
        return xxhash.xxh3_64_hexdigest(path.read_bytes()) if path.is_file() else ""


def parse_seeds(text: str) -> list[int]:
    """Parse seeds written as ``1-20``, ``3,5,8`` or both. Raises CampaignError for anything else."""
    seeds: list[int] = []
    for word in text.split(","):
        match = re.fullmatch(r"\s*(\d+)(?:\s*-\s*(\d+))?\s*", word)
        if match is None:
            raise CampaignError(f"{word!r} is not a seed or a range of seeds: write 1-20 or 3,5,8")
        first, last = int(match[1]), int(match[2] or match[1])
        if last < first or last - first >= 10_000:
            raise CampaignError(
                f"{word.strip()!r} is not a range of at most 10000 seeds: write the lower seed first"
            )
        seeds += range(first, last + 1)
    return list(dict.fromkeys(seeds))


def read_results(path: Path) -> list[ScenarioResult]:
    """The results in a campaign's file; none if it does not exist. A truncated last line is ignored, and its scenario run again.

    Raises:
        CampaignError: Another line is not a result.
    """
    results: list[ScenarioResult] = []
    if path.exists():
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            try:
                results.append(msgspec.json.decode(line, type=ScenarioResult))
            except msgspec.DecodeError as error:
                if line.strip() and number < len(path.read_bytes().splitlines()):
                    raise CampaignError(
                        f"{path}, line {number} is not a campaign result ({error}): pass another file with --out"
                    ) from error
    return results


def remaining_runs(runs: Sequence[ScenarioRun], previous: Iterable[ScenarioResult]) -> list[ScenarioRun]:
    """The scenarios without a result; failed runs count as having none."""
    known = {(result.day, result.seed, result.mark) for result in previous if result.outcome != "failed"}
    return [each for each in runs if (each.day, each.seed, each.mark) not in known]


def default_job_count() -> int:
    """The number of scenarios to run at once on this machine."""
    return max(1, (os.cpu_count() or 1) // CORES_PER_SCENARIO)


def run_in_subprocess(scenario_run: ScenarioRun, tree: Path | None = None) -> ScenarioResult:
    """Run one scenario in its own process, with the ``winchdyke`` package in ``tree`` if given."""
    environment = None if tree is None else {**os.environ, "PYTHONPATH": str(tree)}
    started_at, mark = time.monotonic(), scenario_run.mark
    with tempfile.TemporaryDirectory(prefix="winchdyke-campaign-") as folder:
        out = Path(folder) / "day.json"
        arguments = [
            "-m",
            "winchdyke",
            "day",
            "run",
            scenario_run.day,
            "--seed",
            str(scenario_run.seed),
            "--json",
            str(out),
        ]
        try:
            process = subprocess.run(
                [sys.executable, *arguments], stdin=subprocess.DEVNULL, capture_output=True,
                timeout=SCENARIO_TIMEOUT_S, env=environment, cwd=tree, text=True, errors="replace", check=False,
            )  # fmt: skip
        except subprocess.TimeoutExpired:
            trouble = f"did not end within {SCENARIO_TIMEOUT_S:.0f} s"
            return ScenarioResult(
                scenario_run.day,
                scenario_run.seed,
                mark,
                "failed",
                trouble=trouble,
                seconds=time.monotonic() - started_at,
            )
        seconds = time.monotonic() - started_at
        if not out.exists():
            output = (process.stderr or process.stdout).strip().splitlines()
            return ScenarioResult(
                scenario_run.day,
                scenario_run.seed,
                mark,
                "failed",
                trouble=output[-1] if output else f"exited with {process.returncode}",
                seconds=seconds,
            )
        report_data = json.loads(out.read_text())
    return _parse_report(scenario_run, mark, report_data, seconds)


def _parse_report(
    scenario_run: ScenarioRun, mark: str, report_data: dict[str, object], seconds: float
) -> ScenarioResult:
    rules: list[dict[str, object]] = report_data["rules"]  # type: ignore[assignment]
    broken = [
        RuleViolation(rule["rule"], len(rule["broken"]), rule["broken"][0][0])  # type: ignore[arg-type,index]
        for rule in rules
        if rule["broken"]
    ]
    untried = [int(rule["rule"]) for rule in rules if rule["untried"]]  # type: ignore[call-overload]
    ends: list[int] = report_data["ends"]  # type: ignore[assignment]
    outcome = "broken" if broken else "untried" if untried else "kept"
    trouble = f"gateways exited with {ends}" if any(ends) else ""
    return ScenarioResult(
        scenario_run.day, scenario_run.seed, mark, "broken" if trouble else outcome, broken, untried,
        [int(rule["held"]) for rule in rules], [round(float(rule["near"]), 3) for rule in rules],  # type: ignore[call-overload,arg-type]
        report_data["figures"], trouble, seconds, str(report_data.get("logs", "")),  # type: ignore[arg-type]
    )  # fmt: skip


async def run(
    runs: Sequence[ScenarioRun],
    out: Path,
    jobs: int,
    on_result: Callable[[ScenarioResult], None] = lambda _: None,
    play: Callable[[ScenarioRun], ScenarioResult] = run_in_subprocess,
) -> list[ScenarioResult]:
    """Run the scenarios that have no result in ``out``, ``jobs`` at once, and append each result as soon as it is known.

    Returns the latest result of each of ``runs``; ``on_result`` is called with each new one.
    """
    previous = read_results(out)
    slots = anyio.Semaphore(jobs)
    results = list(previous)
    with out.open("ab") as file:
        if out.stat().st_size and not out.read_bytes().endswith(b"\n"):
            file.write(b"\n")

        async def run_one(each: ScenarioRun) -> None:
            async with slots:
                result = await anyio.to_thread.run_sync(play, each, abandon_on_cancel=True)
            file.write(msgspec.json.encode(result) + b"\n")
            file.flush()
            os.fsync(file.fileno())
            results.append(result)
            on_result(result)

        async with anyio.create_task_group() as group:
            for each in remaining_runs(runs, previous):
                group.start_soon(run_one, each)
    run_keys = {(each.day, each.seed, each.mark) for each in runs}
    latest = {(result.day, result.seed, result.mark): result for result in results}
    return [result for key, result in latest.items() if key in run_keys]


def report(results: Sequence[ScenarioResult]) -> str:
    """A table by scenario, then each one not tried, violated or failed, with the command that runs it again."""
    by_day: defaultdict[str, list[ScenarioResult]] = defaultdict(list)
    for each in results:
        by_day[each.day].append(each)
    width = max([len(day) for day in by_day] + [3])
    lines = [
        f"{'day':{width}}  runs  kept  untried  broken  failed  least exercised, by rule       most of each bound used, %"
    ]
    for day, runs in by_day.items():
        counts = [
            sum(each.outcome == outcome for each in runs)
            for outcome in ("kept", "untried", "broken", "failed")
        ]
        finished = [each for each in runs if each.held]
        held = (
            " ".join(f"{min(each.held[n] for each in finished):>3}" for n in range(len(RULES)))
            if finished
            else ""
        )
        near = (
            " ".join(f"{max(each.near[n] for each in finished) * 100:>3.0f}" for n in range(len(RULES)))
            if finished
            else ""
        )
        lines.append(
            f"{day:{width}}  {len(runs):>4}  {counts[0]:>4}  {counts[1]:>7}  {counts[2]:>6}  {counts[3]:>6}  {held:<29}  {near}"
        )
    for each in results:
        if each.outcome == "untried":
            rules = ", ".join(RULES[rule - 1] for rule in each.untried)
            lines.append(f"not tried: {each.day}, seed {each.seed}: {rules}")
    for each in results:
        if not each.acceptable:
            lines.append(f"{each.outcome}: {each.replay_command}")
            lines += [
                f"    {RULES[violation.rule - 1]}, {violation.times} times, first: {violation.first[:200]}"
                for violation in each.broken
            ]
            if each.trouble:
                lines.append(f"    {each.trouble}")
            if each.logs:
                lines.append(f"    logs: {each.logs}")
            if each.broken:
                lines.append(
                    f"    fewer events: winchdyke day shrink {each.day} --seed {each.seed} -o shrunk.json"
                )
    return "\n".join(lines)
