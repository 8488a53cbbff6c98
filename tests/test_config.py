"""Settings: valid ones are loaded; otherwise all mistakes are reported at once, each with its line and fix."""

from __future__ import annotations

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from rig import INI, ONCE, settings

from winchdyke import interface as api
from winchdyke.cli.main import main
from winchdyke.config import ConfigError, parse
from winchdyke.config.units import duration, size


def problems(text: str) -> list[str]:
    with pytest.raises(ConfigError) as caught:
        parse(text, "f.ini")
    return [str(problem) for problem in caught.value.problems]


def ini_with(old: str, new: str) -> str:
    assert old in INI
    return INI.replace(old, new, 1)


def test_the_embedded_defaults_become_the_schedulers_settings():
    config = parse(INI, "defaults.ini")
    scheduler_settings = config.settings()
    assert {kind.name: kind.repeat_safety for kind in scheduler_settings.classes} == {
        "fetch": api.RepeatSafety.IDEMPOTENT, "submit": api.RepeatSafety.IDEMPOTENCY_KEY, "export": api.RepeatSafety.IDEMPOTENT,
    }  # fmt: skip
    assert (
        scheduler_settings.max_attempts,
        scheduler_settings.slow_start_overload_window_ms,
        scheduler_settings.max_retry_after_ms,
        scheduler_settings.retry_budget_ratio,
    ) == (
        3,
        1500.0,
        500.0,
        0.1,
    )
    assert {plan.name: plan.limit_units_per_s for plan in scheduler_settings.plans} == {
        "basic": 240.0,
        "school": 0.0,
        "contest": 0.0,
    }


def test_an_exact_volume_rule_wins_over_a_prefix_and_a_prefix_over_the_catch_all():
    config = settings("\n[volume school-7]\nplan = contest\nshards = 3\n")
    assert config.volume("school-7").plan == "contest"
    assert config.volume("school-8").plan == "school"
    assert config.volume("other").plan == "basic"


def test_a_requested_class_must_allow_the_operation():
    config = settings()
    assert config.kind_for("get", None).rules.name == "fetch"
    assert config.kind_for("get", "export").rules.name == "export"
    assert config.kind_for("put", "export") is None
    assert (
        "once" in ONCE and config.kind_for("put", "once").rules.repeat_safety is api.RepeatSafety.AT_MOST_ONCE
    )


@pytest.mark.parametrize(
    ("old", "new", "line", "said"),
    [
        ("aim = 400ms", "aim = 400", "aim", "'400' has no unit; write one of ms, s, m, h, as in 400ms"),
        ("aim = 400ms", "aim = 400sec", "aim", "'sec' is not a unit of time"),
        ("aim = 400ms", "aim = 4000s", "aim", "is longer than the deadline"),
        ("aim = 400ms", "", "[class fetch]", "aim: is missing and has no default"),
        ("effect = idempotent", "effect = idempotant", "effect", "did you mean 'idempotent'?"),
        ("worth = 2", "wort = 2", "wort", "unknown key; did you mean 'worth'?"),
        ("worth = 2", "worth = a lot", "worth", "'a lot' is not a number from 0 to"),
        ("[class fetch]", "[clas fetch]", "[clas", "unknown section; did you mean 'class'?"),
        ("[class fetch]", "[class]", "[class]", "a class needs a name"),
        ("[limits]", "[limits here]", "[limits", "[limits] takes no name"),
        ("index = 0", "index = 3", "index", "counts from 0 and must be less than gateways = 1"),
        ("listen = 127.0.0.1:0", "listen = here", "listen", "'here' is not HOST:PORT"),
        ("listen = 127.0.0.1:0", "listen = 127.0.0.1:99999", "listen", "is not HOST:PORT"),
        ("list = http://127.0.0.1:7000/nodes", "list = 127.0.0.1", "list", "is not a URL like"),
        ("limit_burst = 480", "limit_burst = 4", "limit_burst", "is less than largest_units = 8"),
        ("memory = 4s", "memory = 0", "memory", "a keyed class must state how long"),
        ("plan = contest", "plan = contst", "plan", "there is no [plan contst]; did you mean 'contest'?"),
        ("shards = 0-7", "shards = 7-0", "shards", "is not a range from low to high"),
        ("shards = 0-7", "shards = 0-7, 3", "shards", "'3' contains a shard that is already listed"),
        ("shards = 0-7", "shards = all", "shards", "is not a shard or a range of shards"),
        ("operations = get\n", "operations = get fly\n", "operations", "'fly' is not one of get, head"),
        ("max_attempts = 3", "max_attempts = 0", "max_attempts", "is not a whole number from 1 to 100"),
        ("body_memory = 256KiB", "body_memory = 256K", "body_memory", "'K' is not a unit of size"),
        ("writes = yes", "writes = true", "writes", "'true' is neither yes nor no"),
        ("seed = 1", "seed = 1\nseed = 2", "seed = 2", "key 'seed' is given twice"),
        ("[nodes]", "[gateway]", "[gateway]", "section [gateway] is given twice"),
        ("seed = 1", "what is this", "what", "neither [section] nor key = value"),
    ],
)
def test_a_mistake_is_reported_with_its_line(old, new, line, said):
    text = ini_with(old, new)
    found = problems(text)
    matching = [problem for problem in found if said in problem]
    assert matching, found
    number = int(matching[0].split(":")[1])
    assert line.strip("[]") in text.splitlines()[number - 1] or line in matching[0]


def test_all_mistakes_are_reported_at_once_in_order_of_line():
    text = (
        ini_with("worth = 2", "worth = x")
        .replace("seed = 1", "seed = one")
        .replace("limit = 240", "limit = -1")
    )
    found = problems(text)
    assert len(found) == 3
    assert [int(problem.split(":")[1]) for problem in found] == sorted(int(p.split(":")[1]) for p in found)


@given(st.text(max_size=300))
def test_any_text_is_loaded_or_rejected_with_reported_mistakes(text):
    try:
        parse(text, "f.ini")
    except ConfigError as error:
        assert error.problems


@given(st.integers(0, 10**6), st.sampled_from(["ms", "s", "m", "h"]))
def test_durations_and_sizes(number, unit):
    assert duration(f"{number}{unit}") == number * {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}[unit]
    assert size(f"{number}KiB") == number * 1024


def test_check_reports_mistakes_and_exits_with_2(tmp_path):
    file = tmp_path / "bad.ini"
    file.write_text(ini_with("aim = 400ms", "aim = 400").replace("seed = 1", "sed = 1"))
    done = CliRunner().invoke(main, ["check", str(file)])
    assert done.exit_code == 2
    assert done.output.count(f"{file}:") == 3
    file.write_text(INI)
    good = CliRunner().invoke(main, ["check", str(file)])
    assert (good.exit_code, "good" in good.output) == (0, True)
    missing = CliRunner().invoke(main, ["serve", "-c", str(tmp_path / "none.ini")])
    assert missing.exit_code == 2
    assert "can't be read: No such file or directory" in missing.output
