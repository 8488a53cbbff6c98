"""Route matching: compiles routes into a matcher whose cost does not grow with their number.

Free of side effects.

A pattern has conditions on volume, key, method, header and size. Of all patterns that match a request the one
with the highest rank wins: by priority, then by how specific its volume, key, header, size and method are, in
this order, then the first by name. The order of routes in files has no meaning.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")
Rank = tuple[int, int, int, int, int, int, int]
ANY_SIZE = (-1, 2**62)


@dataclass(frozen=True, slots=True)
class Pattern:
    """The conditions of a route.

    ``volume`` may end in ``*``. ``key`` is a prefix. No methods: any method. ``size`` excludes its lower
    bound and includes its upper bound.
    """

    name: str
    priority: int = 0
    volume: str = "*"
    key: str = ""
    methods: tuple[str, ...] = ()
    header: tuple[str, str] | None = None
    size: tuple[int, int] | None = None

    @property
    def rank(self) -> Rank:
        """The sort key of a pattern; the highest rank wins."""
        star = self.volume.endswith("*")
        return (
            self.priority, not star, len(self.volume), len(self.key), self.header is not None, self.size is not None,
            bool(self.methods),
        )  # fmt: skip

    def matches(self, request: RequestAttributes) -> bool:
        """Return whether a request matches."""
        volume = (
            request.volume.startswith(self.volume[:-1])
            if self.volume.endswith("*")
            else request.volume == self.volume
        )
        return (
            volume
            and request.key.startswith(self.key)
            and (not self.methods or request.method in self.methods)
            and (self.header is None or request.headers.get(self.header[0]) == self.header[1])
            and (self.size is None or self.size[0] < request.size <= self.size[1])
        )

    def covers(self, other: Pattern) -> bool:
        """Return whether every request that matches ``other`` matches this pattern too."""
        low, high = self.size or ANY_SIZE
        other_low, other_high = other.size or ANY_SIZE
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
    """The attributes of a request that routes match on.

    ``size`` is 0 if undeclared; header names are in lower case.
    """

    method: str
    volume: str
    key: str
    size: int = 0
    headers: Mapping[str, str] = {}


@dataclass(frozen=True, slots=True)
class Route:
    """A route: its pattern, and the class and shards that it assigns; empty if it does not assign one."""

    pattern: Pattern
    class_name: str = ""
    shards: tuple[int, ...] = ()


def match_linear(patterns: Sequence[tuple[Pattern, T]], request: RequestAttributes) -> T | None:
    """Match by trying every pattern: the reference that the compiled matcher must agree with."""
    found = [(pattern, value) for pattern, value in patterns if pattern.matches(request)]
    if not found:
        return None
    return min(found, key=lambda entry: (tuple(-part for part in entry[0].rank), entry[0].name))[1]


class _Leaf(Generic[T]):
    """The patterns with one volume condition and one key prefix, indexed by method and header."""

    __slots__ = ("_by_header", "_without_header")

    def __init__(self) -> None:
        self._without_header: dict[str, list[tuple[Pattern, T]]] = {}
        self._by_header: dict[str, dict[str, dict[str, list[tuple[Pattern, T]]]]] = {}

    def add(self, pattern: Pattern, value: T) -> None:
        into = self._without_header
        if pattern.header is not None:
            into = self._by_header.setdefault(pattern.header[0], {}).setdefault(pattern.header[1], {})
        for method in pattern.methods or ("",):
            into.setdefault(method, []).append((pattern, value))

    def sort_by_rank(self) -> None:
        tables = [
            self._without_header,
            *(table for values in self._by_header.values() for table in values.values()),
        ]
        for table in tables:
            for entries in table.values():
                entries.sort(key=lambda entry: (tuple(-part for part in entry[0].rank), entry[0].name))

    def find(self, request: RequestAttributes, found: list[tuple[Pattern, T]]) -> None:
        tables = [self._without_header]
        for name, values in self._by_header.items():
            table = values.get(request.headers.get(name, "\0"))
            if table is not None:
                tables.append(table)
        for table in tables:
            for method in ("", request.method):
                for pattern, value in table.get(method, ()):
                    size = pattern.size
                    if size is None or size[0] < request.size <= size[1]:
                        found.append((pattern, value))
                        break


class Matcher(Generic[T]):
    """Compiled patterns.

    The cost of a lookup depends on the number of distinct prefix lengths, not of patterns.
    """

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
        self._exact = {name: self._freeze(keys) for name, keys in exact.items()}
        self._prefixes = [
            (length, {name: self._freeze(keys) for name, keys in table.items()})
            for length, table in sorted(prefixes.items())
        ]

    @staticmethod
    def _freeze(keys: dict[str, _Leaf[T]]) -> tuple[dict[str, _Leaf[T]], tuple[int, ...]]:
        for leaf in keys.values():
            leaf.sort_by_rank()
        return keys, tuple(sorted({len(key) for key in keys}))

    def match(self, request: RequestAttributes) -> T | None:
        """Return the value of the highest-ranking pattern that matches; None if no pattern matches."""
        found: list[tuple[Pattern, T]] = []
        tables = []
        if request.volume in self._exact:
            tables.append(self._exact[request.volume])
        for length, by_prefix in self._prefixes:
            table = by_prefix.get(request.volume[:length])
            if table is not None and len(request.volume) >= length:
                tables.append(table)
        for keys, lengths in tables:
            for length in lengths:
                leaf = keys.get(request.key[:length])
                if leaf is not None:
                    leaf.find(request, found)
        if not found:
            return None
        if len(found) == 1:
            return found[0][1]
        return min(found, key=lambda entry: (tuple(-part for part in entry[0].rank), entry[0].name))[1]
