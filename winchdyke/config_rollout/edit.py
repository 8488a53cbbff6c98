"""Edits of settings: single values set, and two edits of one version put together. Pure."""

from __future__ import annotations

import difflib
from collections.abc import Iterable

from winchdyke.config.diagnostics import Source, Span
from winchdyke.config.loading import Values
from winchdyke.config.meaning import Change, apply, table
from winchdyke.config.model import Config
from winchdyke.config.schema import BLOCKS
from winchdyke.config.syntax import Word
from winchdyke.config.types import Wrong
from winchdyke.config.writing import written
from winchdyke.config_rollout.hot_reload import LIVE, LIVE_KEYS, lives, merged


class EditError(Exception):
    """An edit that can't be made; says what is wrong and what to do."""


def text_of(config: Config) -> str:
    """Settings as text; read back, they mean the same."""
    return written(table(config))


def edited(config: Config, kind: str, name: str, values: Iterable[str], new: bool = False) -> str:
    """The text of settings in which a block has other values, each ``KEY=VALUE``; ``new``: one that is not there yet."""
    found = {where: dict(keys) for where, keys in table(config).items()}
    if kind not in LIVE and kind not in LIVE_KEYS:
        can = ", ".join(sorted([*LIVE, *LIVE_KEYS]))
        raise EditError(f"a {kind} can't change in service; what can is {can}")
    if new:
        if (kind, name) in found:
            raise EditError(f"there is a {kind} {name} already; set its values without --new")
        found[kind, name] = {}
    _there(found, kind, name)
    known = BLOCKS[kind].keys
    for text in values:
        key, given, value = text.partition("=")
        key = key.strip()
        if not given or key not in known:
            raise EditError(f"{text!r} is no KEY=VALUE of a {kind}; the keys are {', '.join(known)}")
        if not lives(kind, key):
            can = ", ".join(sorted(LIVE_KEYS[kind]))
            raise EditError(f"{key} of a {kind} can't change in service; what can is {can}")
        span = Span(Source("the command line", text), 1)
        try:
            items = tuple(
                tuple(Word(word, False, span) for word in part.split()) for part in value.split(",")
            )
            found[kind, name][key] = known[key].type.read(items)
        except Wrong as wrong:
            raise EditError(f"{key}: {wrong}; {wrong.fix}") from wrong
    return written(found)


def removed(config: Config, kind: str, name: str) -> str:
    """The text of settings without a block."""
    found = table(config)
    _there(found, kind, name)
    return written({where: keys for where, keys in found.items() if where != (kind, name)})


def _there(found: Values, kind: str, name: str) -> None:
    if (kind, name) not in found:
        there = sorted(each for there, each in found if there == kind)
        near = difflib.get_close_matches(name, there, 1) or there[:5]
        raise EditError(f"there is no {kind} {name}; there is {', '.join(near)}")


def rebased(base: Config, mine: Config, theirs: Config) -> tuple[str, list[tuple[Change, Change]]]:
    """My edit of ``base`` on top of theirs, and the values that both change differently."""
    ours, clashes = merged(base, mine, theirs)
    return ("", clashes) if clashes else (text_of(apply(theirs, ours)), [])
