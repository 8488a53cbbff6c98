"""Settings as INI: read, checked whole, and turned into the typed model. Every mistake is told at once."""

from __future__ import annotations

import configparser
import difflib
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from importlib import resources
from pathlib import Path
from typing import Any

from winchdyke import interface as api
from winchdyke.config import model
from winchdyke.config.units import duration, size


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake: where it stands, and what to do about it."""

    file: str
    line: int
    where: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.where}: {self.text}"


class ConfigError(Exception):
    """Settings that can't be used; ``problems`` holds every mistake found."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def whole(low: int, high: int = 2**31) -> Callable[[str], int]:
    """A converter for whole numbers within bounds."""

    def convert(text: str) -> int:
        if not re.fullmatch(r"-?\d+", text) or not low <= int(text) <= high:
            raise ValueError(f"{text!r} is not a whole number from {low} to {high}")
        return int(text)

    return convert


def real(low: float, high: float = 1e12) -> Callable[[str], float]:
    """A converter for numbers within bounds."""

    def convert(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not low <= value <= high:
            raise ValueError(f"{text!r} is not a number from {low:g} to {high:g}")
        return value

    return convert


def word(*allowed: str) -> Callable[[str], str]:
    """A converter for one of a few words."""

    def convert(text: str) -> str:
        if text not in allowed:
            near = difflib.get_close_matches(text, allowed, 1)
            hint = f"; did you mean {near[0]!r}?" if near else ""
            raise ValueError(f"{text!r} is none of {', '.join(allowed)}{hint}")
        return text

    return convert


def yes(text: str) -> bool:
    """``yes`` or ``no``."""
    return word("yes", "no")(text) == "yes"


def several(convert: Callable[[str], str]) -> Callable[[str], tuple[str, ...]]:
    """A converter for words set apart by spaces or commas."""
    return lambda text: tuple(convert(part) for part in re.split(r"[,\s]+", text) if part)


def numbers(text: str) -> tuple[int, ...]:
    """Shards such as ``0-3, 7``."""
    found: list[int] = []
    for part in re.split(r"[,\s]+", text.strip()):
        ends = re.fullmatch(r"(\d+)(?:-(\d+))?", part)
        if not ends:
            raise ValueError(f"{part!r} is not a shard or a range of shards; write them like 0-3, 7")
        first, last = int(ends[1]), int(ends[2] or ends[1])
        if last < first or last > 100_000:
            raise ValueError(f"{part!r} is not a range from low to high (100000 at most)")
        found += range(first, last + 1)
    if len(set(found)) != len(found):
        raise ValueError("a shard is named twice")
    return tuple(found)


def listen(text: str) -> model.Listen:
    """``HOST:PORT``; port 0 lets the system choose."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not HOST:PORT; write it like 127.0.0.1:8080")
    return model.Listen(host.strip("[]"), int(port))


def url(text: str) -> tuple[str, int, str]:
    """``http://HOST:PORT/PATH`` in its parts."""
    found = re.fullmatch(r"http://([^/:\s]+):(\d{1,5})(/\S*)?", text)
    if not found:
        raise ValueError(f"{text!r} is not an address like http://127.0.0.1:7000/nodes")
    return found[1], int(found[2]), found[3] or "/nodes"


@dataclass(frozen=True, slots=True)
class Key:
    """A key of a section: how its text is read, and its default text (None: it must be given)."""

    read: Callable[[str], Any]
    default: str | None = None


SECTIONS: dict[str, dict[str, Key]] = {
    "gateway": {
        "name": Key(str, "gateway"),
        "index": Key(whole(0), "0"),
        "gateways": Key(whole(1), "1"),
        "listen": Key(listen),
        "zone": Key(str, ""),
        "seed": Key(whole(0), "1"),
        "log": Key(word("json", "console", "none"), "json"),
        "port_file": Key(str, ""),
    },
    "limits": {
        "header_bytes": Key(size, "16KiB"),
        "header_timeout": Key(duration, "10s"),
        "idle_timeout": Key(duration, "75s"),
        "stream_idle": Key(duration, "30s"),
        "answer_margin": Key(duration, "25ms"),
        "connections": Key(whole(1), "1000"),
        "body_memory": Key(size, "256KiB"),
        "body_total": Key(size, "1GiB"),
        "object_bytes": Key(size, "5GiB"),
        "connect_timeout": Key(duration, "250ms"),
        "pool_idle": Key(duration, "30s"),
        "pool_per_node": Key(whole(1), "32"),
        "tick": Key(duration, "1ms"),
    },
    "nodes": {
        "list": Key(url),
        "discovery": Key(word("pushed", "asked"), "pushed"),
        "wait": Key(duration, "10s"),
        "timeout": Key(duration, "2s"),
    },
    "rules": {
        "mean_units": Key(real(1e-9), "1"),
        "largest_units": Key(real(1e-9), "8"),
        "fair_worth": Key(real(0, 1), "0.3"),
        "idle_worth": Key(real(0, 1), "0.08"),
        "meter": Key(duration, "0"),
        "max_attempts": Key(whole(1, 100), "3"),
        "may_cancel": Key(yes, "no"),
        "max_retry_after": Key(duration, "1s"),
        "cold_from": Key(real(0, 1), "1"),
        "warm_after": Key(duration, "0"),
        "fall_multiple": Key(real(0), "0"),
        "fall_window": Key(duration, "0"),
        "cold_units": Key(real(0), "0"),
        "settle": Key(duration, "0"),
        "extra_window": Key(duration, "0"),
        "extra_free": Key(real(0), "0"),
        "extra_share": Key(real(0), "0"),
    },
    "class": {
        "operations": Key(several(word(*model.OPERATIONS))),
        "worth": Key(real(0), "1"),
        "aim": Key(duration),
        "deadline": Key(duration),
        "late_share": Key(real(0, 1), "0"),
        "effect": Key(word("idempotent", "keyed", "at-most-once")),
        "scope": Key(word("all", "zone", "cell"), "cell"),
        "memory": Key(duration, "0"),
        "streamed": Key(yes, "no"),
        "in_order": Key(yes, "no"),
        "writes": Key(yes, "no"),
        "unit_bytes": Key(size, "64KiB"),
        "usual_units": Key(real(0), "1"),
    },
    "plan": {
        "worth_factor": Key(real(0), "1"),
        "weight": Key(real(0), "1"),
        "usual_rate": Key(real(0), "0"),
        "reserve": Key(real(0), "0"),
        "limit": Key(real(0), "0"),
        "limit_burst": Key(real(0), "0"),
    },
    "volume": {
        "plan": Key(str),
        "shards": Key(numbers),
        "gateways": Key(whole(1), "1"),
    },
}
NAMED = ("class", "plan", "volume")
RENAMED = {
    "meter": "meter_ms", "max_retry_after": "max_retry_after_ms", "warm_after": "warm_after_ms",
    "fall_window": "fall_window_ms", "settle": "settle_ms", "extra_window": "extra_window_ms",
}  # fmt: skip
EFFECTS = {
    "idempotent": api.Effect.IDEMPOTENT,
    "keyed": api.Effect.KEYED,
    "at-most-once": api.Effect.AT_MOST_ONCE,
}
SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}


def _lines(text: str) -> dict[tuple[str, str], int]:
    """The line of each section (with an empty key) and of each of its keys."""
    found: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), 1):
        if head := re.match(r"\[([^]]+)\]", line):
            section = head[1]
            found.setdefault((section, ""), number)
        elif key := re.match(r"([^\s#;=:][^=:]*?)\s*[=:]", line):
            found.setdefault((section, key[1].lower()), number)
    return found


def _hint(name: str, known: Iterable[str]) -> str:
    near = difflib.get_close_matches(name, list(known), 1, 0.6)
    return f"did you mean {near[0]!r}?" if near else f"known here: {', '.join(known)}"


class _Reading:
    """One file being checked: its values, and the mistakes found so far."""

    def __init__(self, text: str, file: str) -> None:
        self.file, self.lines = file, _lines(text)
        self.problems: list[Problem] = []
        self.sections: dict[str, dict[str, Any]] = {}
        parser = configparser.ConfigParser(
            interpolation=None, inline_comment_prefixes=("#",), delimiters=("=",)
        )
        try:
            parser.read_string(text, source=file)
        except configparser.Error as error:
            self._broken(error)
            return
        for section in parser.sections():
            self._section(section, dict(parser[section]))
        for section in ("gateway", "nodes", "limits", "rules"):
            if section not in self.sections:
                self._section(section, {})

    def _broken(self, error: configparser.Error) -> None:
        line = getattr(error, "lineno", None) or 1
        text = error.message.split("]: ")[-1].replace("\n", " ")
        if isinstance(error, configparser.DuplicateOptionError):
            text = f"key {error.option!r} is given twice in [{error.section}]; keep one"
        elif isinstance(error, configparser.DuplicateSectionError):
            text = f"section [{error.section}] is given twice; merge the two"
        elif isinstance(error, configparser.MissingSectionHeaderError):
            text = "settings begin with a section such as [gateway]"
        elif isinstance(error, configparser.ParsingError):
            for at, _ in error.errors:
                self.problems.append(Problem(self.file, at, "syntax", "neither [section] nor key = value"))
            return
        self.problems.append(Problem(self.file, line, "syntax", text))

    def add(self, section: str, key: str, text: str) -> None:
        line = self.lines.get((section, key)) or self.lines.get((section, "")) or 1
        where = f"[{section}] {key}" if key else f"[{section}]"
        self.problems.append(Problem(self.file, line, where, text))

    def _section(self, section: str, given: dict[str, str]) -> None:
        kind, _, name = section.partition(" ")
        if kind not in SECTIONS or (kind in NAMED) != bool(name.strip()):
            if kind in NAMED:
                self.add(section, "", f"a {kind} needs a name, as in [{kind} NAME]")
            elif kind in SECTIONS:
                self.add(section, "", f"[{kind}] takes no name")
            else:
                self.add(section, "", f"no section of this name; {_hint(kind, SECTIONS)}")
            return
        keys = SECTIONS[kind]
        for key in given:
            if key not in keys:
                self.add(section, key, f"no key of this name; {_hint(key, keys)}")
        values = self.sections[section] = {}
        for key, rule in keys.items():
            text = given.get(key, rule.default)
            if text is None:
                self.add(section, key, "is missing and has no default")
                continue
            try:
                values[key] = rule.read(text.strip())
            except ValueError as error:
                self.add(section, key, str(error))

    def named(self, kind: str) -> dict[str, dict[str, Any]]:
        head = kind + " "
        return {
            name[len(head) :].strip(): values
            for name, values in self.sections.items()
            if name.startswith(head)
        }

    def across(self) -> None:
        """What only shows between keys and sections."""
        gateway, plans = self.sections.get("gateway", {}), self.named("plan")
        if gateway.get("index", 0) >= gateway.get("gateways", 1):
            self.add(
                "gateway", "index", f"counts from 0 and must be under gateways = {gateway.get('gateways', 1)}"
            )
        for kind in NAMED:
            if not self.named(kind):
                self.problems.append(
                    Problem(self.file, 1, f"[{kind} NAME]", f"no {kind} is set up; at least one is needed")
                )
        for name, values in self.named("class").items():
            section = f"class {name}"
            if values.get("aim", 0) > values.get("deadline", float("inf")):
                self.add(section, "aim", "is longer than the deadline")
            if values.get("deadline", 1) <= 0:
                self.add(section, "deadline", "must be over 0")
            if values.get("effect") == "keyed" and not values.get("memory", 1):
                self.add(section, "memory", "a keyed class states how long stores drop its repeats")
        rules = self.sections.get("rules", {})
        for name, values in plans.items():
            largest = rules.get("largest_units", 0)
            if values.get("limit") and values.get("limit_burst", 0) < largest:
                self.add(
                    f"plan {name}", "limit_burst", f"is under largest_units = {largest:g}, so those never fit"
                )
        for name, values in self.named("volume").items():
            plan = values.get("plan")
            if plan is not None and plan not in plans:
                self.add(f"volume {name}", "plan", f"there is no [plan {plan}]; {_hint(plan, plans)}")
            if values.get("gateways", 1) > gateway.get("gateways", 1):
                self.add(f"volume {name}", "gateways", "is more than [gateway] gateways")


def parse(text: str, file: str = "settings") -> model.Config:
    """The settings in a text; ConfigError holds every mistake."""
    reading = _Reading(text, file)
    if reading.sections:
        reading.across()
    if reading.problems:
        raise ConfigError(sorted(reading.problems, key=lambda problem: problem.line))
    one, named = reading.sections, reading.named
    host, port, path = one["nodes"].pop("list")
    must_ask = one["nodes"].pop("discovery") == "asked"
    kinds = []
    for name, values in named("class").items():
        rules = api.RequestClass(
            name=name,
            worth=values["worth"],
            aim_ms=values["aim"],
            deadline_ms=values["deadline"],
            late_share=values["late_share"],
            effect=EFFECTS[values["effect"]],
            scope=SCOPES[values["scope"]],
            memory_ms=values["memory"],
            streamed=values["streamed"],
            in_order=values["in_order"],
            writes=values["writes"],
        )
        kinds.append(
            model.Kind(rules, values["operations"], max(1, values["unit_bytes"]), values["usual_units"])
        )
    return model.Config(
        gateway=model.Gateway(**one["gateway"]),
        limits=model.Limits(**one["limits"]),
        nodes=model.Discovery(host, port, path, must_ask, **one["nodes"]),
        kinds=tuple(kinds),
        plans=tuple(api.Plan(name, **values) for name, values in named("plan").items()),
        volumes=tuple(model.VolumeRule(name, **values) for name, values in named("volume").items()),
        rules={RENAMED.get(key, key): value for key, value in one["rules"].items()},
    )


def load(path: Path) -> model.Config:
    """The settings in a file; ConfigError also where it can't be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not UTF-8 text"
        raise ConfigError([Problem(str(path), 1, "file", f"can't be read: {reason}")]) from error
    return parse(text, str(path))


def defaults() -> str:
    """The embedded settings that ``winchdyke dev`` starts from."""
    return resources.files("winchdyke.config").joinpath("defaults.ini").read_text(encoding="utf-8")
