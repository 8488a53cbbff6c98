"""Routes compiled into a matcher whose cost does not grow with their number. Pure.

A pattern says what it wants of volume, key, method, header and size. Of those that match, the one of the highest rank
counts: priority, then how much is said of volume, key, header, size and method, in this order, then the name. The order
in which routes stand in files means nothing.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")
Rank = tuple[int, int, int, int, int, int, int]
NO_SIZE = (-1, 2**62)


@dataclass(frozen=True, slots=True)
class Pattern:
    """What a route asks of a request. ``volume`` may end in ``*``; ``key`` is a prefix; empty methods are all."""

    name: str
    priority: int = 0
    volume: str = "*"
    key: str = ""
    methods: tuple[str, ...] = ()
    header: tuple[str, str] | None = None
    size: tuple[int, int] | None = None

    @property
    def rank(self) -> Rank:
        """Higher counts first."""
        star = self.volume.endswith("*")
        return (
            self.priority, not star, len(self.volume), len(self.key), self.header is not None, self.size is not None,
            bool(self.methods),
        )  # fmt: skip

    def takes(self, asked: RequestAttributes) -> bool:
        """Whether a request matches."""
        volume = (
            asked.volume.startswith(self.volume[:-1])
            if self.volume.endswith("*")
            else asked.volume == self.volume
        )
        return (
            volume
            and asked.key.startswith(self.key)
            and (not self.methods or asked.method in self.methods)
            and (self.header is None or asked.headers.get(self.header[0]) == self.header[1])
            and (self.size is None or self.size[0] < asked.size <= self.size[1])
        )

    def covers(self, other: Pattern) -> bool:
        """Whether all that matches another matches this one too."""
        low, high = self.size or NO_SIZE
        other_low, other_high = other.size or NO_SIZE
        star = self.volume.endswith("*")
        volume = other.volume.startswith(self.volume[:-1]) if star else self.volume == other.volume
        return (
            volume
            and other.key.startswith(self.key)
            and (not self.methods or (bool(other.methods) and set(other.methods) <= set(self.methods)))
            and (self.header is None or self.header == other.header)
            and (self.size is None or (other.size is not None and low <= other_low and other_high <= high))
        )


class RequestAttributes(NamedTuple):
    """A request as far as routes care. ``size`` is 0 where none is stated; header names are in lower case."""

    method: str
    volume: str
    key: str
    size: int = 0
    headers: Mapping[str, str] = {}


@dataclass(frozen=True, slots=True)
class Route:
    """A route: its pattern, and the class and the shards it gives (empty: not this)."""

    pattern: Pattern
    class_name: str = ""
    shards: tuple[int, ...] = ()


def best(patterns: Sequence[tuple[Pattern, T]], asked: RequestAttributes) -> T | None:
    """The plain way, which tries them all: what the compiled matcher must agree with."""
    found = [(pattern, value) for pattern, value in patterns if pattern.takes(asked)]
    if not found:
        return None
    return min(found, key=lambda entry: (tuple(-part for part in entry[0].rank), entry[0].name))[1]


class _Leaf(Generic[T]):
    """Patterns of one volume pattern and one key prefix, by method and header."""

    __slots__ = ("_headed", "_plain")

    def __init__(self) -> None:
        self._plain: dict[str, list[tuple[Pattern, T]]] = {}
        self._headed: dict[str, dict[str, dict[str, list[tuple[Pattern, T]]]]] = {}

    def add(self, pattern: Pattern, value: T) -> None:
        into = self._plain
        if pattern.header is not None:
            into = self._headed.setdefault(pattern.header[0], {}).setdefault(pattern.header[1], {})
        for method in pattern.methods or ("",):
            into.setdefault(method, []).append((pattern, value))

    def close(self) -> None:
        tables = [self._plain, *(table for values in self._headed.values() for table in values.values())]
        for table in tables:
            for entries in table.values():
                entries.sort(key=lambda entry: (tuple(-part for part in entry[0].rank), entry[0].name))

    def find(self, asked: RequestAttributes, found: list[tuple[Pattern, T]]) -> None:
        tables = [self._plain]
        for name, values in self._headed.items():
            table = values.get(asked.headers.get(name, "\0"))
            if table is not None:
                tables.append(table)
        for table in tables:
            for method in ("", asked.method):
                for pattern, value in table.get(method, ()):
                    size = pattern.size
                    if size is None or size[0] < asked.size <= size[1]:
                        found.append((pattern, value))
                        break


class Matcher(Generic[T]):
    """Compiled patterns. A look-up costs by how many lengths of volume and key prefixes there are, not by their number."""

    def __init__(self, patterns: Sequence[tuple[Pattern, T]]) -> None:
        exact: dict[str, dict[str, _Leaf[T]]] = {}
        prefixes: dict[int, dict[str, dict[str, _Leaf[T]]]] = {}
        for pattern, value in patterns:
            if pattern.volume.endswith("*"):
                table = prefixes.setdefault(len(pattern.volume) - 1, {})
                keys = table.setdefault(pattern.volume[:-1], {})
            else:
                keys = exact.setdefault(pattern.volume, {})
            keys.setdefault(pattern.key, _Leaf()).add(pattern, value)
        self._exact = {name: self._close(keys) for name, keys in exact.items()}
        self._prefixes = [
            (length, {name: self._close(keys) for name, keys in table.items()})
            for length, table in sorted(prefixes.items())
        ]

    @staticmethod
    def _close(keys: dict[str, _Leaf[T]]) -> tuple[dict[str, _Leaf[T]], tuple[int, ...]]:
        for leaf in keys.values():
            leaf.close()
        return keys, tuple(sorted({len(key) for key in keys}))

    def match(self, asked: RequestAttributes) -> T | None:
        """What the request matches; None where nothing does."""
        found: list[tuple[Pattern, T]] = []
        tables = []
        if asked.volume in self._exact:
            tables.append(self._exact[asked.volume])
        for length, by_prefix in self._prefixes:
            table = by_prefix.get(asked.volume[:length])
            if table is not None and len(asked.volume) >= length:
                tables.append(table)
        for keys, lengths in tables:
            for length in lengths:
                leaf = keys.get(asked.key[:length])
                if leaf is not None:
                    leaf.find(asked, found)
        if not found:
            return None
        if len(found) == 1:
            return found[0][1]
        return min(found, key=lambda entry: (tuple(-part for part in entry[0].rank), entry[0].name))[1]
