"""The configuration language: broken files and their diagnostics, includes, formatter, diff, routes, commands."""

from __future__ import annotations

import json
import os
import random
import re
from importlib import resources

import pytest
from broken import CASES, GOOD
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from rig import INI

from winchdyke.cli.main import main
from winchdyke.config import ConfigError, defaults, ini, load_all, loading, parse, semantic_diff
from winchdyke.config.diagnostics import Diagnostic, Source
from winchdyke.config.fmt import fmt
from winchdyke.config.loading import load_text
from winchdyke.config.matching import Matcher, Pattern, RequestAttributes, match_linear
from winchdyke.config.serialization import serialize
from winchdyke.config.syntax import Block, Directive, Setting
from winchdyke.config.syntax import parse as statements


def problems(text: str) -> list[Diagnostic]:
    with pytest.raises(ConfigError) as caught:
        load_text(text, "f.conf")
    return caught.value.problems


def test_the_valid_file_has_no_findings():
    assert load_text(GOOD, "f.conf").warnings == []


@pytest.mark.parametrize("case", CASES, ids=[case[0] for case in CASES])
def test_a_broken_file_causes_its_diagnostic(case):
    _, old, new, code, message, fix, line = case
    assert GOOD.count(old) >= 1, "the case does not apply to the valid file"
    text = GOOD.replace(old, new, 1)
    found = problems(text)
    fits = [
        p
        for p in found
        if p.code in code.split("|")
        and any(w in p.text for w in message.split("|"))
        and any(w in p.fix for w in fix.split("|"))
    ]
    assert fits, [str(problem) for problem in found]
    problem = fits[0]
    assert problem.span.source.file == "f.conf"
    assert line in text.split("\n")[problem.line - 1], f"points to line {problem.line}"
    assert problem.fix and "^" in problem.render()


def mutations() -> list[tuple[str, str, int]]:
    """Return generated mistakes in the valid file: the kind of mistake, the text, and the changed line."""
    draw, mutants = random.Random(5), []
    lines = GOOD.split("\n")
    swaps = {
        "ms": "msec",
        "s": "sec",
        "KiB": "KB",
        "MiB": "Mib",
        "GiB": "G",
        "%": "percent",
        "units/s": "unit",
    }
    for at, line in enumerate(lines):
        if line == "}":
            mutants.append(("brace dropped", "\n".join([*lines[:at], "", *lines[at + 1 :]]), at + 1))
        if line.endswith("{"):
            mutants.append(("opening dropped", "\n".join([*lines[:at], line[:-1], *lines[at + 1 :]]), at + 1))
        for unit, other in swaps.items():
            if re.search(rf"\d\s?{re.escape(unit)}$", line):
                mutants.append(
                    (
                        "unit swapped",
                        "\n".join([*lines[:at], line[: -len(unit)] + other, *lines[at + 1 :]]),
                        at + 1,
                    )
                )
        word = re.match(r"\s*([a-z_]{4,})", line)
        if word and not line.startswith("#"):
            place = line.index(word[1]) + draw.randrange(1, len(word[1]) - 1)
            typo = line[:place] + line[place + 1] + line[place] + line[place + 2 :]
            if typo != line:
                mutants.append(("letters swapped", "\n".join([*lines[:at], typo, *lines[at + 1 :]]), at + 1))
    return mutants


def test_generated_mistakes_are_located_within_one_line():
    mutants = mutations()
    located, far = 0, []
    for what, text, line in mutants:
        found = problems(text)
        assert all(p.span.source.file and p.line and p.text and p.fix for p in found), (
            "file, line, mistake, fix"
        )
        if any(abs(problem.line - line) <= 1 for problem in found):
            located += 1
        else:
            far.append((what, line, str(found[0])))
    assert len(mutants) >= 100
    assert located / len(mutants) >= 0.95, (located, len(mutants), far)


def test_several_mistakes_are_all_reported():
    text = GOOD.replace("deadline = 3s", "deadline = 3").replace("effect = keyed", "effect = keeyd")
    text = text.replace("plan = basic", "plan = basc").replace("0-5", "5-0")
    assert len({problem.line for problem in problems(text)}) == 4
    broken = (
        GOOD.replace("weight = 2", "weight = = 2")
        .replace('"archive/"', '"archive/')
        .replace("= 6, 7", "= 6,, 7")
    )
    assert len(problems(broken)) == 3


def test_a_valid_but_doubtful_value_causes_a_warning_with_its_reason():
    def warnings_for(old: str, new: str) -> str:
        assert old in GOOD
        found = load_text(GOOD.replace(old, new, 1), "f.conf").warnings
        return " ".join(str(problem) for problem in found)

    assert "4h is unusually long here" in warnings_for("connect_timeout = 250ms", "connect_timeout = 4h")
    assert "was 250ms meant?" in warnings_for("connect_timeout = 250ms", "connect_timeout = 250s")
    assert "forget its keys after 1s, before its deadline 2.5s" in warnings_for("memory = 4s", "memory = 1s")
    slow = "deadline = 3s", "deadline = 5m"
    waits = GOOD.replace("capacity = 250 units/s", "capacity = 250 units/s\n    answers_in = 10ms").replace(
        *slow
    )
    waits = waits.replace("let aim = 400ms", "let aim = 40s")
    assert "is 40s, and the slowest store answers in 10ms; was 40ms meant?" in str(
        load_text(waits).warnings[0]
    )
    assert "no volume uses it" in warnings_for("plan basic {", "plan idle {\n}\nplan basic {")
    assert "'other' is never used" in warnings_for("let aim", "let other = 1\nlet aim")
    shadow = "route later {\n    volume = school-*\n    key = archive/x\n    class = import\n    priority = -1\n}\n"
    assert "route 'archive' matches all its requests first" in warnings_for(
        "route archive {", shadow + "route archive {"
    )
    twin = 'route twin {\n    volume = school-*\n    key = "archive/"\n    class = import\n}\n'
    assert "both match the same requests" in warnings_for("route archive {", twin + "route archive {")


def files(folder, **texts: str):
    for name, text in texts.items():
        (folder / f"{name}.conf").write_bytes(text.encode() if isinstance(text, str) else text)
    return folder / "main.conf"


def rendered_problems(path) -> str:
    with pytest.raises(ConfigError) as caught:
        load_all(path)
    return "\n".join(problem.render() for problem in caught.value.problems)


def test_included_files_are_merged_and_read_once(tmp_path):
    head, _, tail = GOOD.partition("plan basic {")
    main_file = files(
        tmp_path,
        main='include "a*.conf"\ninclude "both.conf"\n' + head,
        a1='include "both.conf"\n',
        both="plan basic {" + tail,
    )
    assert load_all(main_file).config == load_text(GOOD, "f.conf").config, (
        "a file that is included twice is read once"
    )
    origin = load_all(main_file).origins["plan", "basic", "limit"]
    assert origin.span.source.chain == ((str(main_file), 1), (str(tmp_path / "a1.conf"), 1))


def test_an_include_loop_is_reported_with_all_its_files(tmp_path):
    files(tmp_path, main='include "one.conf"\n', one='include "two.conf"\n', two='include "one.conf"\n')
    output = rendered_problems(tmp_path / "main.conf")
    assert "one.conf -> two.conf -> one.conf" in output
    assert f"included from {tmp_path}/one.conf:1" in output


def test_a_duplicate_name_across_files_is_reported_with_both_places(tmp_path):
    files(tmp_path, main='include "other.conf"\n' + GOOD, other="\n\npool main {\n    shards = 1\n}\n")
    output = rendered_problems(tmp_path / "main.conf")
    assert "given twice" in output and f"{tmp_path}/other.conf:3:1" in output


@pytest.mark.parametrize(
    ("main_text", "said"),
    [
        ('include "none-*.conf"\n', "matches no file"),
        ('include "missing.conf"\n', "can't be read: No such file"),
        ('include "out.conf"\n', "is outside"),
        ('include "../main.conf"\n', "is outside|can't be read"),
    ],
)
def test_an_include_that_cannot_be_resolved_is_reported(tmp_path, main_text, said):
    inner = tmp_path / "inner"
    inner.mkdir()
    (tmp_path / "secret.conf").write_text("pool a {\n    shards = 1\n}\n")
    (inner / "out.conf").symlink_to(tmp_path / "secret.conf")
    assert any(words in rendered_problems(files(inner, main=main_text)) for words in said.split("|"))


@pytest.mark.parametrize(
    ("data", "said"),
    [
        (b"pool a {\n  x = \xff\n}\n", "main.conf:2:7: error[not-utf8]"),
        ("pool a {}".encode("utf-16"), "is UTF-16"),
        (b"pool a {\n\x00\n}\n", "main.conf:2:1: error[control]"),
        (b"", "no listener is defined"),
        (b"# nothing\n", "no listener is defined"),
        (b'key = "open', "never closed"),
        (b"pool a {", "text ends before this block is closed"),
        (b"{" * 10_000, "10000 deep"),
        (b"a {\n" * 10_000, "10000 deep"),
        (b"a {\n" * 30 + b"}\n" * 30, "too deep"),
        (b'include "main.conf"\n', "includes form a loop: main.conf -> main.conf"),
    ],
)
def test_files_that_are_not_settings_are_rejected(tmp_path, data, said):
    (tmp_path / "main.conf").write_bytes(data)
    assert said in rendered_problems(tmp_path / "main.conf")


def test_an_unclosed_block_at_the_end_of_an_included_file_does_not_affect_the_including_file(tmp_path):
    files(tmp_path, main='include "half.conf"\n' + GOOD, half="pool half {\n    shards = 1\n")
    output = rendered_problems(tmp_path / "main.conf")
    assert "half.conf:2:5: error[missing-brace]" in output
    assert f"it begins here: {tmp_path}/half.conf:1:1" in output
    assert "error" not in output.replace("error[missing-brace]", "", 1), "the including file has no errors"


def test_line_ends_byte_order_mark_and_tabs_have_no_meaning(tmp_path):
    (tmp_path / "main.conf").write_bytes(
        b"\xef\xbb\xbf" + GOOD.replace("    ", "\t").replace("\n", "\r\n").encode()
    )
    assert load_all(tmp_path / "main.conf").config == load_text(GOOD, "f").config


def test_a_file_of_50_MB_is_rejected_unread(tmp_path):
    with (tmp_path / "main.conf").open("wb") as file:
        file.truncate(50_000_000)
    assert "is 47 MiB; 8 MiB is the most" in rendered_problems(tmp_path / "main.conf")


def test_a_file_that_changes_while_it_is_read_is_rejected(tmp_path, monkeypatch):
    path = files(tmp_path, main=GOOD)
    real, count = os.fstat, iter(range(100))

    def grows(descriptor: int):
        with path.open("ab") as file:
            file.write(b"# %d\n" % next(count))
        return real(descriptor)

    monkeypatch.setattr("winchdyke.config.sources.os.fstat", grows)
    assert "changes while it is being read" in rendered_problems(path)


def test_an_unreadable_file_is_reported_at_its_include(tmp_path):
    (tmp_path / "folder.conf").mkdir()
    output = rendered_problems(files(tmp_path, main='\ninclude "folder.conf"\n'))
    assert "main.conf:2:9: error[unreadable]" in output and "Is a directory" in output


def test_an_unclosed_string_in_an_included_file_does_not_affect_the_including_file(tmp_path):
    output = rendered_problems(
        files(tmp_path, main='include "half.conf"\n' + GOOD, half='pool a {\n    shards = "1\n}\n')
    )
    assert "half.conf:2:14: error[open-string]" in output
    assert f"included from {tmp_path}/main.conf:1" in output
    assert output.count("error[") == 1


def test_mb_and_mib_differ_and_the_diff_shows_it():
    old, new = (
        load_text(GOOD.replace("body_total = 1GiB", f"body_total = {size}")).config
        for size in ("64MiB", "64MB")
    )
    assert (old.limits.body_total, new.limits.body_total) == (67_108_864, 64_000_000)
    assert [change.text for change in semantic_diff.diff(old, new)] == ["limits: body_total 64MiB -> 64MB"]
    four = load_text(GOOD.replace("deadline = 3s", "deadline = 3000ms")).config
    assert semantic_diff.diff(load_text(GOOD).config, four) == []


def test_references_defaults_templates_and_origins_of_values():
    loaded = load_text(GOOD, "f.conf", {"SHARDS": "0-3"})
    assert loaded.values["class", "fetch"]["aim"] == 400.0
    assert loaded.values["class", "import"]["late_share"] == 0.1
    assert loaded.values["plan", "school"]["weight"] == 2.0
    assert loaded.origins["class", "import", "late_share"].via == "template read"
    assert loaded.origins["plan", "school", "weight"].via == "defaults plan"
    assert loaded.origins["class", "submit", "worth"].via == "built in"
    env = GOOD.replace("shards = 0-5", "shards = $env:SHARDS").replace("= $aim", "= $env:AIM|300ms")
    loaded = load_text(env, "f.conf", {"SHARDS": "0-3"})
    assert loaded.values["pool", "main"]["shards"] == (0, 1, 2, 3)
    assert loaded.values["class", "fetch"]["aim"] == 300.0
    inherits = GOOD.replace("defaults plan {", "defaults volume {\n    pool = slow\n}\n\ndefaults plan {")
    assert load_text(inherits).config.volume("other").shards == tuple(range(8)), (
        "a volume's own shards override the pool of the defaults"
    )
    assert load_text(inherits).config.volume("school-1").shards == (0, 1, 2, 3, 4, 5)
    quoted = GOOD.replace("name = gw-1", 'name = "$env:HOME"')
    assert load_text(quoted).config.gateway.name == "$env:HOME", "references in quotes are not replaced"


def without_spans(found) -> list:
    """Return statements without their spans."""
    out = []
    for each in found:
        words = [(word.text, word.quoted) for word in each.words]
        if isinstance(each, Setting):
            out.append((words, [[(word.text, word.quoted) for word in item] for item in each.items]))
        else:
            out.append((words, without_spans(each.body) if isinstance(each, Block) else None))
        assert isinstance(each, (Setting, Block, Directive))
    return out


WORD = st.from_regex(r"[a-z$][a-z0-9.:%/*-]{0,8}", fullmatch=True) | st.text(
    st.characters(exclude_categories=("Cc", "Cs"), exclude_characters='"\\'), max_size=8
).map(lambda text: f'"{text}"')
COMMENT = st.text(st.characters(exclude_categories=("Cc", "Cs")), max_size=10).map(lambda text: f" # {text}")
END = st.sampled_from(["\n", "\n\n", "\n\n\n", ";", " ;\n"]) | COMMENT.map(lambda comment: comment + "\n")
SETTING = st.tuples(WORD, st.lists(st.lists(WORD, min_size=1, max_size=3), min_size=1, max_size=3)).map(
    lambda parts: f"{parts[0]}={' , '.join(' '.join(item) for item in parts[1])}"
)
DIRECTIVE = st.lists(WORD, min_size=1, max_size=3).map(" ".join)
BODY = st.recursive(
    st.lists(st.tuples(SETTING | DIRECTIVE, END), max_size=4),
    lambda inner: st.lists(
        st.tuples(SETTING | DIRECTIVE, END)
        | st.tuples(WORD, END, inner, END).map(
            lambda parts: (f"{parts[0]} {{{parts[1]}{''.join(a + b for a, b in parts[2])}}}", parts[3])
        ),
        max_size=4,
    ),
    max_leaves=12,
).map(lambda parts: "".join(a + b for a, b in parts))


@given(BODY)
@settings(max_examples=300)
def test_formatting_keeps_meaning_and_comments_and_is_idempotent(text):
    before, wrong = statements(Source("f", text))
    if wrong:
        return
    formatted = fmt(text)
    after, problems_after = statements(Source("f", formatted))
    assert not problems_after, formatted
    assert without_spans(after) == without_spans(before)
    assert fmt(formatted) == formatted
    strip = re.compile(r'"(?:\\.|[^"\\\n])*"|(#[^\n]*)')
    comments = lambda source: [found[1].rstrip() for found in strip.finditer(source) if found[1]]  # noqa: E731
    assert sorted(comments(formatted)) == sorted(comments(text))


def test_the_formatter_keeps_groups_and_comments():
    messy = "# head\n\n\n\npool a{shards=1,  2 # both\n\n\n}\npool b { # why\nshards = 3;}\n"
    assert fmt(messy) == (
        "# head\n\npool a {\n    shards = 1, 2  # both\n}\npool b {  # why\n    shards = 3\n}\n"
    )
    assert fmt(GOOD) == GOOD
    assert fmt(defaults()) == defaults()


@given(st.text(st.sampled_from('ab ={}"#;,\\\n$"') | st.characters(exclude_categories=("Cs",)), max_size=200))
@settings(max_examples=300)
def test_any_text_is_loaded_or_rejected_with_reported_mistakes(text):
    try:
        load_text(text, "f.conf")
    except ConfigError as error:
        assert error.problems
        assert all(problem.text and problem.line >= 1 for problem in error.problems)


@given(
    st.integers(0, 10**6), st.integers(0, len(GOOD)), st.text(st.sampled_from('ab1 ={}"#;,\n'), max_size=3)
)
@settings(max_examples=200)
def test_a_valid_file_with_a_piece_replaced_is_loaded_or_rejected_with_fixes(seed, at, piece):
    end = at + seed % 20
    try:
        load_text(GOOD[:at] + piece + GOOD[end:], "f.conf")
    except ConfigError as error:
        assert all(problem.fix for problem in error.problems), [str(p) for p in error.problems if not p.fix]


def test_converted_ini_has_the_same_meaning():
    loaded = ini.load_text(INI, "d.ini")
    assert load_text(serialize(loaded.values), "made").config == loaded.config == parse(defaults(), "d.conf")
    assert fmt(serialize(loaded.values)) == serialize(loaded.values)
    again = load_text(GOOD)
    assert load_text(serialize(again.values), "made").config == again.config
    assert hash(load_text(GOOD).config) == hash(again.config)


CHANGES = [
    ("deadline = 3s", "deadline = 3500ms"), ("weight = 2", "weight = 3"), ("limit = 240 units/s", "limit = 100 units/s"),
    ("shards = 6, 7", "shards = 6"), ("key = \"archive/\"", "key = old/"), ("size = over 1MiB", "size = over 2MiB"),
    ("effect = keyed", "effect = idempotent"), ("route large {", "route larger {"), ("plan = basic", "plan = school"),
    ("gateways = 2", "gateways = 3"), ("listener inside {", "listener inner {"), ("extra_share = 10%", "extra_share = 20%"),
    ("volume school-* {", "volume schule-* {"), ("also = put", "also = put, post"), ("shard = 3\n", "shard = 4\n"),
]  # fmt: skip


@given(st.sets(st.sampled_from(CHANGES)), st.sets(st.sampled_from(CHANGES)))
@settings(max_examples=60)
def test_an_applied_diff_gives_the_new_settings_and_equal_settings_have_no_diff(left, right):
    def with_changes(changes) -> str:
        text = GOOD
        for old, new in sorted(changes):
            text = text.replace(old, new, 1)
        return text

    old, new = load_text(with_changes(left)).config, load_text(with_changes(right)).config
    changes = semantic_diff.diff(old, new)
    assert semantic_diff.apply(old, changes) == new
    assert bool(changes) == (old != new)
    assert semantic_diff.diff(new, new) == []
    if left == right:
        assert not semantic_diff.find_rerouted_requests(old, new)


def run_diff(old: str, new: str, tmp_path) -> tuple[int, str]:
    files(tmp_path, old=old, new=new)
    done = CliRunner().invoke(
        main, ["config", "diff", str(tmp_path / "old.conf"), str(tmp_path / "new.conf")]
    )
    return done.exit_code, done.output


def test_the_diff_shows_changes_of_meaning_and_ignores_changes_of_text(tmp_path):
    same = GOOD.replace("deadline = 3s", "deadline = 3000ms").replace("template read", "template base")
    same = (
        same.replace("from read", "from base")
        .replace("pool main", "pool first")
        .replace("pool = main", "pool = first")
    )
    blocks = same.split("\n\n")
    assert run_diff(GOOD, "\n\n".join(reversed(blocks)), tmp_path) == (0, "no difference in meaning\n")
    code, output = run_diff(GOOD, GOOD.replace("limit = 240", "limit = 100"), tmp_path)
    assert code == 1
    assert "plan basic: limit 240 units/s -> 100 units/s" in output
    assert "requests of volumes beyond the new limit are refused" in output
    _, output = run_diff(GOOD, GOOD.replace('key = "archive/"', "key = old/"), tmp_path)
    assert "rerouted: GET /school-x/" in output
    assert "class fetch, plan school, shards 6-7" in output
    _, output = run_diff(
        GOOD, GOOD.replace("effect = keyed\n    memory = 4s", "effect = idempotent"), tmp_path
    )
    assert "a rule is loosened" in output
    store = "store 127.0.0.1:5003 {\n    shard = 3\n    capacity = 250 units/s\n}\n"
    _, output = run_diff(GOOD, GOOD.replace(store, ""), tmp_path)
    assert "store 127.0.0.1:5003 is gone\n    risk: shard 3 has no store any more" in output
    files(tmp_path, old=GOOD, new=GOOD.replace("weight = 2", "weight = 3"))
    done = CliRunner().invoke(
        main, ["config", "diff", "--json", str(tmp_path / "old.conf"), str(tmp_path / "new.conf")]
    )
    assert [change["path"] for change in json.loads(done.output)["changes"]] == [
        "plan.basic.weight",
        "plan.school.weight",
    ]


def run_config(*words: str):
    return CliRunner().invoke(main, ["config", *map(str, words)])


def test_the_commands(tmp_path):
    path = files(
        tmp_path,
        main=GOOD,
        bad=GOOD.replace("deadline = 3s", "deadline = 3"),
        messy=GOOD.replace("    ", "  "),
    )
    assert run_config("check", path).output == f"{path}: good\n"
    bad = run_config("check", tmp_path / "bad.conf")
    assert bad.exit_code == 2
    assert "   44 |     deadline = 3\n      |                ^\n" in bad.output
    found = json.loads(run_config("check", "--json", tmp_path / "bad.conf").output)
    assert (found[0]["line"], found[0]["column"], found[0]["code"]) == (44, 16, "no-unit")
    log = json.loads(run_config("check", "--sarif", tmp_path / "bad.conf").output)
    assert log["runs"][0]["results"][0]["locations"][0]["physicalLocation"]["region"]["startLine"] == 44
    assert run_config("fmt", "--check", path).exit_code == 0
    assert run_config("fmt", "--check", tmp_path / "messy.conf").exit_code == 1
    assert run_config("fmt", tmp_path / "messy.conf").exit_code == 0
    assert (tmp_path / "messy.conf").read_text() == GOOD
    assert run_config("fmt", tmp_path / "bad.conf").exit_code == 0, (
        "a file with semantic mistakes can be formatted"
    )
    assert f"from {path}:43:5" in run_config("explain", path, "class.fetch.aim").output
    assert "by template read" in run_config("explain", path, "class.import.late_share").output
    assert "built-in default" in run_config("explain", path, "limits.idle_timeout").output
    assert "did you mean 'fetch'?" in run_config("explain", path, "class.fetsh.aim").output
    met = run_config(
        "route", path, "PUT", "/school-1/archive/a", "--size", "3MB", "--header", "X-Kind: import"
    ).output
    assert "route archive: volume school-*, key archive/*" in met
    assert "before route large" in met
    assert "shards 6-7" in met
    assert (
        "class import"
        in run_config("route", path, "PUT", "/other/a", "--size", "3MB", "--header", "X-Kind: import").output
    )
    assert "none matches" in run_config("route", path, "GET", "/other/a").output
    out = run_config("convert", path).output
    assert load_text(out).config == load_text(GOOD).config
    assert run_config("convert", tmp_path / "none.conf").exit_code == 2


def test_the_reference_page_is_generated_from_the_schema():
    page = run_config("reference").output
    with open("docs/config.md", encoding="utf-8") as file:
        assert file.read() == page, "generate it again: winchdyke config reference > docs/config.md"


def test_the_examples_in_the_guide_are_valid_and_formatted():
    with open("docs/config-language.md", encoding="utf-8") as file:
        guide = re.findall(r"```conf\n(.*?)```", file.read(), re.DOTALL)
    assert len(guide) >= 2
    assert load_text(guide[0]).warnings == []
    for text in guide:
        assert fmt(text) == text


VOLUMES = st.sampled_from(["a", "ab", "abc", "b"])
PATTERNS = st.builds(
    Pattern,
    name=st.integers(0, 10**6).map(str),
    priority=st.integers(-1, 1),
    volume=VOLUMES | st.sampled_from(["*", "a*", "ab*", "b*"]),
    key=st.sampled_from(["", "x", "x/", "x/y", "z"]),
    methods=st.sampled_from([(), ("GET",), ("GET", "PUT")]),
    header=st.none() | st.tuples(st.sampled_from(["h", "i"]), st.sampled_from(["1", "2"])),
    size=st.none() | st.sampled_from([(-1, 10), (10, 2**62), (5, 20)]),
)
REQUESTS = st.builds(
    RequestAttributes,
    method=st.sampled_from(["GET", "PUT", "DELETE"]),
    volume=VOLUMES,
    key=st.sampled_from(["x", "x/y/z", "z", "w", "x/"]),
    size=st.sampled_from([0, 5, 10, 11, 30]),
    headers=st.dictionaries(st.sampled_from(["h", "i"]), st.sampled_from(["1", "2", "3"])),
)


@given(
    st.lists(PATTERNS, max_size=25, unique_by=lambda pattern: pattern.name), st.lists(REQUESTS, max_size=20)
)
@settings(max_examples=300)
def test_the_compiled_matcher_agrees_with_linear_matching(patterns, requests):
    table = [(pattern, pattern) for pattern in patterns]
    compiled = Matcher(table)
    for request in requests:
        assert compiled.match(request) is match_linear(table, request)


@given(PATTERNS, PATTERNS, st.lists(REQUESTS, max_size=20))
@settings(max_examples=300)
def test_a_pattern_that_covers_another_matches_all_its_requests(one, other, requests):
    if one.covers(other):
        assert all(one.matches(request) for request in requests if other.matches(request))


def test_routes_and_listeners_of_a_running_gateway():
    import anyio
    from rig import rig, run_async

    @run_async
    async def play():
        text = serialize(ini.load_text(INI, "d.ini").values) + (
            "\nlistener second {\n    address = 127.0.0.1:0\n}\n"
            "\nroute exports {\n    volume = school-*\n    key = export/\n    method = GET\n    class = export\n}\n"
            '\npool last {\n    shards = 7\n}\n\nroute old {\n    key = "old/"\n    pool = last\n}\n'
        )
        async with rig(loading.load_text(text, "made").config) as it:
            classes = lambda: [seen["class"] for seen in it.record.entries if seen["what"] == "head"]  # noqa: E731
            await it.request("PUT", "/school-1/export/a", b"x")
            await it.request("GET", "/school-1/export/a")
            await it.request("GET", "/school-1/other")
            assert classes() == ["submit", "export", "fetch"]
            await it.request("PUT", "/any/old/thing", b"old")
            assert ("any", "old/thing") in it.stores[7].object_store.objects
            assert (await it.request("GET", "/any/old/thing")).body == b"old"
            assert len(it.gateway.addresses) == 2
            stream = await anyio.connect_tcp(*it.gateway.addresses[1])
            await stream.send(b"GET /any/old/thing HTTP/1.1\r\nhost: t\r\n\r\n")
            assert b"200" in await stream.receive()
            await stream.aclose()

    play()


def test_the_embedded_ini_settings_are_packaged():
    assert resources.files("winchdyke.config").joinpath("defaults.ini").is_file()
