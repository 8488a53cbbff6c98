"""Many days one after another or side by side, resumable; what came of each is a line of JSON. Each day is a process of its own."""

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

CORES_EACH = 3  # three gateways, and stand-ins with clients in one more, that are busy by turns
DAY_MOST_S = 300.0  # after which a day is taken for hung
WORST = 3  # broken exchanges that are kept of each rule


class CampaignError(Exception):
    """The campaign can't be played; says what is wrong and what to do."""


class RuleViolation(msgspec.Struct):
    """A rule that a day broke, and how, first."""

    rule: int
    times: int
    first: str


class ScenarioResult(msgspec.Struct):
    """What came of one day."""

    day: str
    seed: int
    mark: str  # of what was played: a day file that has changed is another day
    outcome: str  # kept, broken, untried or failed
    broken: list[RuleViolation] = []
    untried: list[int] = []
    held: list[int] = []
    near: list[float] = []
    figures: dict[str, float] = {}
    trouble: str = ""  # why it could not be played
    seconds: float = 0.0
    logs: str = ""

    @property
    def acceptable(self) -> bool:
        """Whether nothing is wrong with it."""
        return self.outcome in ("kept", "untried")

    @property
    def replay_command(self) -> str:
        """The command that plays it again."""
        return f"winchdyke day run {self.day} --seed {self.seed}"


@dataclass(frozen=True)
class ScenarioRun:
    """One day that is to be played."""

    day: str
    seed: int

    @property
    def mark(self) -> str:
        """What tells this day from an earlier one of its name."""
        path = Path(self.day)
        return xxhash.xxh3_64_hexdigest(path.read_bytes()) if path.is_file() else ""


def parse_seeds(text: str) -> list[int]:
    """``1-20``, ``3,5,8`` or both. CampaignError where it is neither."""
    found: list[int] = []
    for word in text.split(","):
        match = re.fullmatch(r"\s*(\d+)(?:\s*-\s*(\d+))?\s*", word)
        if match is None:
            raise CampaignError(f"{word!r} is no seed: write them as 1-20 or 3,5,8")
        first, last = int(match[1]), int(match[2] or match[1])
        if last < first or last - first >= 10_000:
            raise CampaignError(
                f"{word.strip()!r} runs the wrong way or is too long: write the lower seed first"
            )
        found += range(first, last + 1)
    return list(dict.fromkeys(found))


def read_results(path: Path) -> list[ScenarioResult]:
    """What an earlier stretch came to. A last line that was cut off is passed over: that day is played again."""
    found: list[ScenarioResult] = []
    if path.exists():
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            try:
                found.append(msgspec.json.decode(line, type=ScenarioResult))
            except msgspec.DecodeError as error:
                if line.strip() and number < len(path.read_bytes().splitlines()):
                    raise CampaignError(
                        f"{path}, line {number} is no result of a campaign ({error}): give --out another file"
                    ) from error
    return found


def remaining_runs(asked: Sequence[ScenarioRun], already: Iterable[ScenarioResult]) -> list[ScenarioRun]:
    """The days that are still to be played."""
    known = {(came.day, came.seed, came.mark) for came in already if came.outcome != "failed"}
    return [each for each in asked if (each.day, each.seed, each.mark) not in known]


def default_job_count() -> int:
    """Days at once on this machine."""
    return max(1, (os.cpu_count() or 1) // CORES_EACH)


def run_in_subprocess(asked: ScenarioRun, tree: Path | None = None) -> ScenarioResult:
    """Play one day in a process of its own; ``tree``: a folder whose ``winchdyke`` package plays it."""
    environment = None if tree is None else {**os.environ, "PYTHONPATH": str(tree)}
    began, mark = time.monotonic(), asked.mark
    with tempfile.TemporaryDirectory(prefix="winchdyke-campaign-") as folder:
        out = Path(folder) / "day.json"
        words = ["-m", "winchdyke", "day", "run", asked.day, "--seed", str(asked.seed), "--json", str(out)]
        try:
            ran = subprocess.run(
                [sys.executable, *words], stdin=subprocess.DEVNULL, capture_output=True, timeout=DAY_MOST_S, env=environment,
                cwd=tree, text=True, errors="replace", check=False,
            )  # fmt: skip
        except subprocess.TimeoutExpired:
            trouble = f"not over after {DAY_MOST_S:.0f} s"
            return ScenarioResult(
                asked.day, asked.seed, mark, "failed", trouble=trouble, seconds=time.monotonic() - began
            )
        took = time.monotonic() - began
        if not out.exists():
            said = (ran.stderr or ran.stdout).strip().splitlines()
            return ScenarioResult(
                asked.day,
                asked.seed,
                mark,
                "failed",
                trouble=said[-1] if said else f"ended with {ran.returncode}",
                seconds=took,
            )
        told = json.loads(out.read_text())
    return _came(asked, mark, told, took)


def _came(asked: ScenarioRun, mark: str, told: dict[str, object], took: float) -> ScenarioResult:
    rules: list[dict[str, object]] = told["rules"]  # type: ignore[assignment]
    broken = [
        RuleViolation(rule["rule"], len(rule["broken"]), rule["broken"][0][0])  # type: ignore[arg-type,index]
        for rule in rules
        if rule["broken"]
    ]
    untried = [int(rule["rule"]) for rule in rules if rule["untried"]]  # type: ignore[call-overload]
    ends: list[int] = told["ends"]  # type: ignore[assignment]
    outcome = "broken" if broken else "untried" if untried else "kept"
    trouble = f"gateways ended with {ends}" if any(ends) else ""
    return ScenarioResult(
        asked.day, asked.seed, mark, "broken" if trouble else outcome, broken, untried,
        [int(rule["held"]) for rule in rules], [round(float(rule["near"]), 3) for rule in rules],  # type: ignore[call-overload,arg-type]
        told["figures"], trouble, took, str(told.get("logs", "")),  # type: ignore[arg-type]
    )  # fmt: skip


async def run(
    asked: Sequence[ScenarioRun],
    out: Path,
    jobs: int,
    heard: Callable[[ScenarioResult], None] = lambda _: None,
    play: Callable[[ScenarioRun], ScenarioResult] = run_in_subprocess,
) -> list[ScenarioResult]:
    """Play what is not in ``out`` yet, ``jobs`` at once; each result is there before the next day begins."""
    already = read_results(out)
    turns = anyio.Semaphore(jobs)
    found = list(already)
    with out.open("ab") as file:
        if out.stat().st_size and not out.read_bytes().endswith(b"\n"):
            file.write(b"\n")

        async def one(each: ScenarioRun) -> None:
            async with turns:
                came = await anyio.to_thread.run_sync(play, each, abandon_on_cancel=True)
            file.write(msgspec.json.encode(came) + b"\n")
            file.flush()
            os.fsync(file.fileno())
            found.append(came)
            heard(came)

        async with anyio.create_task_group() as group:
            for each in remaining_runs(asked, already):
                group.start_soon(one, each)
    wanted = {(each.day, each.seed, each.mark) for each in asked}
    latest = {(came.day, came.seed, came.mark): came for came in found}
    return [came for key, came in latest.items() if key in wanted]


def report(came: Sequence[ScenarioResult]) -> str:
    """A table by day, then what broke or could not be played, each with the command that plays it again."""
    by_day: defaultdict[str, list[ScenarioResult]] = defaultdict(list)
    for each in came:
        by_day[each.day].append(each)
    wide = max([len(day) for day in by_day] + [3])
    lines = [
        f"{'day':{wide}}  runs  kept  untried  broken  failed  least held by rule             most of each bound, %"
    ]
    for day, runs in by_day.items():
        counts = [
            sum(each.outcome == word for each in runs) for word in ("kept", "untried", "broken", "failed")
        ]
        told = [each for each in runs if each.held]
        held = " ".join(f"{min(each.held[n] for each in told):>3}" for n in range(len(RULES))) if told else ""
        near = (
            " ".join(f"{max(each.near[n] for each in told) * 100:>3.0f}" for n in range(len(RULES)))
            if told
            else ""
        )
        lines.append(
            f"{day:{wide}}  {len(runs):>4}  {counts[0]:>4}  {counts[1]:>7}  {counts[2]:>6}  {counts[3]:>6}  {held:<29}  {near}"
        )
    for each in came:
        if each.outcome == "untried":
            what = ", ".join(RULES[rule - 1] for rule in each.untried)
            lines.append(f"not tried: {each.day}, seed {each.seed}: {what}")
    for each in came:
        if not each.acceptable:
            lines.append(f"{each.outcome}: {each.replay_command}")
            lines += [
                f"    {RULES[b.rule - 1]}, {b.times} times, first: {b.first[:200]}" for b in each.broken
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
