"""The types of values: each one parses and checks values, warns of unlikely ones, and formats them.

A type's ``read`` parses the items of a setting, or raises :class:`InvalidValueError`. ``warning`` says why a
valid value is probably not what was meant. With ``units_optional`` (INI) rates and shares are plain numbers;
the language requires units.
"""

from __future__ import annotations

import difflib
import math
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from winchdyke.config.model import OPERATIONS, Listen
from winchdyke.config.syntax import Item, Word

MS_PER_UNIT = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
BYTES_PER_UNIT = {
    "B": 1,
    "KiB": 1024,
    "MiB": 1024**2,
    "GiB": 1024**3,
    "kB": 1000,
    "MB": 1000**2,
    "GB": 1000**3,
}
TIME_UNIT_NAMES = "ms, s, m, h"
_NUMBER = re.compile(r"([+-]?\d+(?:\.\d+)?)([A-Za-z%/]*)")


class InvalidValueError(Exception):
    """An invalid value: the problem, the fix, the word that it is about, and the diagnostic code."""

    def __init__(self, text: str, fix: str, word: Word | None = None, code: str = "bad-value") -> None:
        super().__init__(text)
        self.fix, self.word, self.code = fix, word, code


def suggest(name: str, known: Iterable[str]) -> str:
    """Return ``did you mean ...?`` with the most similar known name, else a list of known names."""
    names = sorted(set(known))
    similar = difflib.get_close_matches(name, names, 1, 0.6)
    if not similar:
        similar = [each for each in names if each.lower() == name.lower()][:1]
    if similar:
        return f"did you mean {similar[0]!r}?"
    return f"valid here: {', '.join(names[:20])}" if names else "none is defined"


def _split_unit(text: str, word: Word, example: str) -> tuple[float, str]:
    found = _NUMBER.fullmatch(text.replace(" ", ""))
    if not found:
        if re.search(r"\d,\d", text):
            raise InvalidValueError(
                f"{text!r} contains a comma",
                f"write a dot, as in {text.replace(',', '.')}",
                word,
                "bad-number",
            )
        raise InvalidValueError(
            f"{text!r} is not a number with a unit", f"write it like {example}", word, "bad-number"
        )
    number = float(found[1])
    if not math.isfinite(number):
        raise InvalidValueError(f"{text!r} is too large", f"write it like {example}", word, "bad-number")
    return number, found[2]


@dataclass(frozen=True)
class Type:
    """A type of one value.

    ``label`` is its name on the reference page; ``is_list``: it takes several items.
    """

    label: str = "text"
    is_list: bool = False

    def read(self, items: tuple[Item, ...], units_optional: bool = False) -> Any:
        """Return the value of a setting's items. Raises InvalidValueError."""
        if len(items) != 1:
            texts = [" ".join(word.text for word in item) for item in items]
            fix = "keep one"
            if len(items) == 2 and re.fullmatch(r"\d+", texts[0]) and re.match(r"\d", texts[1]):
                fix = f"if it is one number, write a dot: {texts[0]}.{texts[1]}"
            raise InvalidValueError(
                f"takes one value, not {len(items)} ({', '.join(texts)})", fix, items[1][0], "too-many-values"
            )
        return self.read_item(items[0], units_optional)

    def read_item(self, item: Item, units_optional: bool) -> Any:
        """Return the value of one item. Raises InvalidValueError."""
        if len(item) != 1:
            text = " ".join(word.text for word in item)
            raise InvalidValueError(
                f"takes one word, not {text!r}",
                "quote it, or separate values by commas",
                item[1],
                "too-many-words",
            )
        return self.read_word(item[0])

    def read_word(self, word: Word) -> Any:
        """Return the value of one word. Raises InvalidValueError."""
        return word.text

    def warning(self, value: Any) -> str:
        """Return why a valid value is probably a mistake; an empty string if it is not."""
        return ""

    def show(self, value: Any) -> str:
        """Format a value in the syntax of the language."""
        return quoted(str(value))


def quoted(text: str) -> str:
    """Return a word, quoted and escaped if necessary."""
    if text and not re.search(r'[\s{}=,;#"$\\]', text):
        return text
    inner = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\t", "\\t")
    return f'"{inner}"'


def show_number(value: float) -> str:
    """Format a number with as few digits as possible."""
    return repr(int(value)) if float(value).is_integer() and abs(value) < 1e15 else repr(float(value))


@dataclass(frozen=True)
class Duration(Type):
    """A duration, in milliseconds. A value outside ``usual_range`` is valid, but causes a warning."""

    label: str = "time"
    usual_range: tuple[float, float] = (0.0, math.inf)
    allow_zero: bool = True

    def read_word(self, word: Word) -> float:
        number, unit = _split_unit(word.text, word, "400ms")
        if not unit and number:
            fix = f"write one of {TIME_UNIT_NAMES}, as in {word.text}ms"
            raise InvalidValueError(f"{word.text!r} has no unit", fix, word, "no-unit")
        if unit and unit not in MS_PER_UNIT:
            size = unit in BYTES_PER_UNIT
            what = f"{unit!r} is a unit of size, not of time" if size else f"{unit!r} is not a unit of time"
            raise InvalidValueError(what, f"use one of {TIME_UNIT_NAMES}, as in 400ms", word, "bad-unit")
        if number < 0 or (not number and not self.allow_zero):
            raise InvalidValueError(
                f"{word.text!r} is not greater than 0", "write a time greater than 0", word, "out-of-range"
            )
        value = number * (MS_PER_UNIT[unit] if unit else 1)
        if value > 1e13:
            raise InvalidValueError(
                f"{word.text!r} is longer than 300 years", "write a shorter time", word, "out-of-range"
            )
        return value

    def warning(self, value: float) -> str:
        low, high = self.usual_range
        if value and not low <= value <= high:
            long = value > high
            other = value / 1000 if long else value * 1000
            meant = f"; was {self.show(other)} meant?" if low <= other <= high else ""
            kind = "long" if long else "short"
            return f"{self.show(value)} is unusually {kind} here (usually {self.show(low)} to {self.show(high)}){meant}"
        return ""

    def show(self, value: float) -> str:
        if not value:
            return "0"
        for unit in ("h", "m", "s", "ms", "us"):
            number = value / MS_PER_UNIT[unit]
            if (
                number >= 1
                and round(number, 3) * MS_PER_UNIT[unit] == value
                and len(show_number(round(number, 3))) < 8
            ):
                return show_number(round(number, 3)) + unit
        return show_number(value) + "ms"


@dataclass(frozen=True)
class Size(Type):
    """A size, in bytes. A value outside ``usual_range`` is valid, but causes a warning."""

    label: str = "size"
    usual_range: tuple[float, float] = (0.0, math.inf)

    def read_word(self, word: Word) -> int:
        number, unit = _split_unit(word.text, word, "64KiB")
        names = ", ".join(BYTES_PER_UNIT)
        if not unit and number:
            raise InvalidValueError(
                f"{word.text!r} has no unit", f"write one of {names}, as in {word.text}KiB", word, "no-unit"
            )
        if unit and unit not in BYTES_PER_UNIT:
            similar = {
                "K": "KiB",
                "KB": "kB",
                "k": "kB",
                "M": "MiB",
                "G": "GiB",
                "b": "B",
                "Mib": "MiB",
                "mb": "MB",
            }.get(unit)
            fix = f"write {number:g}{similar}" if similar else f"use one of {names}, as in 64KiB"
            what = (
                f"{unit!r} is a unit of time, not of size"
                if unit in MS_PER_UNIT
                else f"{unit!r} is not a unit of size"
            )
            raise InvalidValueError(what, fix, word, "bad-unit")
        if number < 0:
            raise InvalidValueError(
                f"{word.text!r} is less than 0", "write a size of 0 or more", word, "out-of-range"
            )
        value = number * (BYTES_PER_UNIT[unit] if unit else 1)
        if value > 2**60:
            raise InvalidValueError(
                f"{word.text!r} is larger than any store", "write a smaller size", word, "out-of-range"
            )
        return int(value)

    def warning(self, value: int) -> str:
        low, high = self.usual_range
        if value and not low <= value <= high:
            size = "large" if value > high else "small"
            return f"{self.show(value)} is unusually {size} here (usually {self.show(int(low))} to {self.show(int(high))})"
        return ""

    def show(self, value: int) -> str:
        if not value:
            return "0"
        units = ("GiB", "MiB", "KiB", "GB", "MB", "kB", "B")
        return min(
            (f"{value // BYTES_PER_UNIT[unit]}{unit}" for unit in units if value % BYTES_PER_UNIT[unit] == 0),
            key=len,
        )


@dataclass(frozen=True)
class Rate(Type):
    """A rate, in units per second."""

    label: str = "rate"

    def read(self, items: tuple[Item, ...], units_optional: bool = False) -> float:
        if len(items) == 1:
            return float(self.read_item(items[0], units_optional))
        return float(super().read(items, units_optional))

    def read_item(self, item: Item, units_optional: bool) -> float:
        text = "".join(word.text for word in item)
        number, unit = _split_unit(text, item[0], "8 units/s")
        if number < 0:
            raise InvalidValueError(
                f"{text!r} is not a number from 0 to 1e+12",
                "write a rate of 0 or more",
                item[0],
                "out-of-range",
            )
        if unit not in ("units/s", "unit/s") and not (units_optional and not unit) and (unit or number):
            what = f"{text!r} has no unit" if not unit else f"{unit!r} is not a unit of rate"
            raise InvalidValueError(
                what, f"write {number:g} units/s", item[0], "no-unit" if not unit else "bad-unit"
            )
        return number

    def show(self, value: float) -> str:
        return f"{show_number(value)} units/s" if value else "0"


@dataclass(frozen=True)
class Share(Type):
    """A share from 0 to 1, written in percent."""

    label: str = "share"

    def read_word(self, word: Word) -> float:
        return self._value(word, False)

    def read_item(self, item: Item, units_optional: bool) -> float:
        return (
            self._value(item[0], units_optional)
            if len(item) == 1
            else float(super().read_item(item, units_optional))
        )

    def _value(self, word: Word, units_optional: bool) -> float:
        number, unit = _split_unit(word.text, word, "15%")
        if unit != "%" and not (units_optional and not unit) and (unit or number):
            raise InvalidValueError(
                f"{word.text!r} is not a percentage",
                f"write it in percent, as in {number * 100:g}%",
                word,
                "no-unit",
            )
        value = number / 100 if unit == "%" else number
        if not 0 <= value <= 1:
            raise InvalidValueError(
                f"{word.text!r} is not a number from 0 to 1 (0% to 100%)",
                "write 0% to 100%",
                word,
                "out-of-range",
            )
        return value

    def show(self, value: float) -> str:
        return f"{show_number(round(value * 100, 10))}%"


@dataclass(frozen=True)
class Number(Type):
    """A number without a unit, from ``low`` to ``high``."""

    label: str = "number"
    low: float = 0.0
    high: float = 1e12

    def read_word(self, word: Word) -> float:
        try:
            value = float(word.text)
        except ValueError:
            value = math.nan
        if not self.low <= value <= self.high:
            text = f"{word.text!r} is not a number from {self.low:g} to {self.high:g}"
            fix = (
                f"write a dot: {word.text.replace(',', '.')}"
                if "," in word.text
                else "write a plain number, as in 2.5"
            )
            raise InvalidValueError(text, fix, word, "out-of-range")
        return value

    def show(self, value: float) -> str:
        return show_number(value)


@dataclass(frozen=True)
class Count(Type):
    """A whole number from ``low`` to ``high``."""

    label: str = "count"
    low: int = 0
    high: int = 2**31

    def read_word(self, word: Word) -> int:
        if not re.fullmatch(r"-?[0-9]{1,12}", word.text) or not self.low <= int(word.text) <= self.high:
            text = f"{word.text!r} is not a whole number from {self.low} to {self.high}"
            raise InvalidValueError(text, "write a whole number, with no unit", word, "out-of-range")
        return int(word.text)

    def show(self, value: int) -> str:
        return str(value)


@dataclass(frozen=True)
class OneOf(Type):
    """One of the allowed words."""

    label: str = "word"
    allowed: tuple[str, ...] = ()

    def read_word(self, word: Word) -> str:
        if word.text not in self.allowed:
            text = f"{word.text!r} is not one of {', '.join(self.allowed)}"
            raise InvalidValueError(text, suggest(word.text, self.allowed), word, "unknown-word")
        return word.text


@dataclass(frozen=True)
class Flag(Type):
    """A flag, written as ``yes`` or ``no``."""

    label: str = "yes or no"

    def read_word(self, word: Word) -> bool:
        if word.text not in ("yes", "no"):
            meant = {"true": "yes", "on": "yes", "1": "yes", "false": "no", "off": "no", "0": "no"}.get(
                word.text.lower()
            )
            fix = f"write {meant}" if meant else "write yes or no"
            raise InvalidValueError(f"{word.text!r} is neither yes nor no", fix, word, "unknown-word")
        return word.text == "yes"

    def show(self, value: bool) -> str:
        return "yes" if value else "no"


@dataclass(frozen=True)
class Many(Type):
    """Several words of one type, separated by commas. Their order has no meaning; the value is sorted."""

    label: str = "words"
    of: Type = Type()
    is_list: bool = True

    def read(self, items: tuple[Item, ...], units_optional: bool = False) -> tuple[Any, ...]:
        found: list[Any] = []
        for item in items:
            for word in item:
                value = self.of.read_word(word)
                if value in found:
                    raise InvalidValueError(f"{word.text!r} is given twice", "keep one", word, "twice")
                found.append(value)
        return tuple(sorted(found))

    def show(self, value: tuple[Any, ...]) -> str:
        return ", ".join(self.of.show(each) for each in value)


@dataclass(frozen=True)
class Shards(Type):
    """Shards and ranges of shards, such as ``0-3, 7``."""

    label: str = "shards"
    is_list: bool = True

    def read(self, items: tuple[Item, ...], units_optional: bool = False) -> tuple[int, ...]:
        found: list[int] = []
        for word in (word for item in items for word in item):
            ends = re.fullmatch(r"(\d{1,6})(?:-(\d{1,6}))?", word.text)
            if not ends:
                text = f"{word.text!r} is not a shard or a range of shards"
                raise InvalidValueError(text, "write them like 0-3, 7", word, "bad-shards")
            first, last = int(ends[1]), int(ends[2] or ends[1])
            if last < first or last > 100_000:
                text = f"{word.text!r} is not a range from low to high (100000 at most)"
                raise InvalidValueError(
                    text,
                    f"write {last}-{first}" if last < first else "write smaller numbers",
                    word,
                    "bad-shards",
                )
            found += range(first, last + 1)
            if len(set(found)) != len(found):
                raise InvalidValueError(
                    f"{word.text!r} contains a shard that is already listed",
                    "list each shard once",
                    word,
                    "twice",
                )
        return tuple(sorted(found))

    def show(self, value: tuple[int, ...]) -> str:
        runs: list[list[int]] = []
        for shard in value:
            if runs and runs[-1][1] == shard - 1:
                runs[-1][1] = shard
            else:
                runs.append([shard, shard])
        return ", ".join(str(a) if a == b else f"{a}-{b}" for a, b in runs)


@dataclass(frozen=True)
class Address(Type):
    """An address, written as HOST:PORT."""

    label: str = "address"

    def read_word(self, word: Word) -> Listen:
        host, colon, port = word.text.rpartition(":")
        if not colon or not host or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65535:
            raise InvalidValueError(
                f"{word.text!r} is not HOST:PORT", "write it like 127.0.0.1:8080", word, "bad-address"
            )
        return Listen(host.strip("[]"), int(port))

    def show(self, value: Listen) -> str:
        return f"[{value.host}]:{value.port}" if ":" in value.host else f"{value.host}:{value.port}"


@dataclass(frozen=True)
class Url(Type):
    """A URL of the form ``http://HOST:PORT/PATH``; the default path is ``/nodes``."""

    label: str = "URL"

    def read_word(self, word: Word) -> tuple[str, int, str]:
        found = re.fullmatch(r"http://([^/:\s]+):([0-9]{1,5})(/\S*)?", word.text)
        if not found or int(found[2]) > 65535:
            text = f"{word.text!r} is not a URL like http://127.0.0.1:7000/nodes"
            raise InvalidValueError(text, "write http://HOST:PORT/PATH", word, "bad-address")
        return found[1], int(found[2]), found[3] or "/nodes"

    def show(self, value: tuple[str, int, str]) -> str:
        return quoted(f"http://{value[0]}:{value[1]}{value[2]}")


@dataclass(frozen=True)
class Pattern(Type):
    """A volume name, or a prefix of volume names followed by ``*``."""

    label: str = "pattern"

    def read_word(self, word: Word) -> str:
        if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}\*?|\*", word.text):
            star = "*" in word.text[:-1]
            text = f"{word.text!r} is neither a volume name nor a prefix with *"
            fix = (
                "write * only at the end, as in school-*"
                if star
                else "use letters, digits, dots, dashes and underscores"
            )
            raise InvalidValueError(text, fix, word, "bad-pattern")
        return word.text


@dataclass(frozen=True)
class Header(Type):
    """A header and its value, written as ``NAME: VALUE``."""

    label: str = "header"

    def read_item(self, item: Item, units_optional: bool) -> tuple[str, str]:
        text = " ".join(word.text for word in item)
        name, colon, value = text.partition(":")
        if not colon or not re.fullmatch(r"[A-Za-z0-9-]+", name) or not value.strip():
            raise InvalidValueError(
                f"{text!r} is not a header with a value",
                "write it like X-Kind: import",
                item[0],
                "bad-header",
            )
        return name.lower(), value.strip()

    def show(self, value: tuple[str, str]) -> str:
        return f"{value[0]}: {quoted(value[1])}"


@dataclass(frozen=True)
class Sizes(Type):
    """A range of sizes: ``over 1MiB``, ``up to 64KiB``, ``1MiB to 64MiB``.

    It excludes the lower bound and includes the upper one.
    """

    label: str = "sizes"

    def read_item(self, item: Item, units_optional: bool) -> tuple[int, int]:
        words = [word.text for word in item]
        size = Size()
        if len(item) == 2 and words[0] == "over":
            return size.read_word(item[1]), 2**62
        if len(item) == 3 and words[:2] == ["up", "to"]:
            return -1, size.read_word(item[2])
        if len(item) == 3 and words[1] == "to":
            low, high = size.read_word(item[0]), size.read_word(item[2])
            if low >= high:
                raise InvalidValueError(
                    f"{' '.join(words)!r} is an empty range",
                    "write the smaller one first",
                    item[0],
                    "out-of-range",
                )
            return low, high
        fix = "write over 1MiB, up to 64KiB, or 1MiB to 64MiB"
        raise InvalidValueError(f"{' '.join(words)!r} is not a range of sizes", fix, item[0], "bad-sizes")

    def show(self, value: tuple[int, int]) -> str:
        low, high = value
        if high >= 2**62:
            return f"over {Size().show(low)}"
        return f"up to {Size().show(high)}" if low < 0 else f"{Size().show(low)} to {Size().show(high)}"


OPERATION = OneOf("operation", allowed=OPERATIONS)
METHOD = OneOf("method", allowed=("GET", "HEAD", "PUT", "POST", "DELETE"))
