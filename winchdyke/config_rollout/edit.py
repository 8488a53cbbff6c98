"""Edits of a configuration: single values set, blocks removed, and two edits of one version merged. Pure."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass

from winchdyke.config.diagnostics import Source, Span
from winchdyke.config.loading import Values
from winchdyke.config.model import Config
from winchdyke.config.schema import BLOCKS
from winchdyke.config.semantic_diff import Change, apply, diff, to_values
from winchdyke.config.serialization import serialize
from winchdyke.config.syntax import Word
from winchdyke.config.types import InvalidValueError
from winchdyke.config_rollout.hot_reload import RELOADABLE_BLOCKS, RELOADABLE_KEYS, is_reloadable


class EditError(Exception):
    """An edit that can't be made; its text says what is wrong and what to do."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """One value that two edits of the same version change differently."""

    own: Change
    other: Change


def config_text(config: Config) -> str:
    """Return a configuration as text; parsed again, it is equal."""
    return serialize(to_values(config))


def set_values(config: Config, kind: str, name: str, assignments: Iterable[str], is_new: bool = False) -> str:
    """Return the text of a configuration in which a block has other values.

    ``assignments``: each ``KEY=VALUE``. ``is_new``: the block is added.

    Raises:
        EditError: The block or a key does not exist or can't change without a restart, or a value does not parse.
    """
    values = {block: dict(keys) for block, keys in to_values(config).items()}
    if kind not in RELOADABLE_BLOCKS and kind not in RELOADABLE_KEYS:
        reloadable = ", ".join(sorted([*RELOADABLE_BLOCKS, *RELOADABLE_KEYS]))
        raise EditError(f"a {kind} can't change in service; these can: {reloadable}")
    if is_new:
        if (kind, name) in values:
            raise EditError(f"the {kind} {name} exists already; set its values without --new")
        values[kind, name] = {}
    _require_block(values, kind, name)
    for assignment in assignments:
        key, value = _parse_assignment(kind, assignment)
        values[kind, name][key] = value
    return serialize(values)


def _parse_assignment(kind: str, assignment: str) -> tuple[str, object]:
    """Return the key and the value of a ``KEY=VALUE``. Raises EditError if either is not allowed."""
    known_keys = BLOCKS[kind].keys
    key, separator, text = assignment.partition("=")
    key = key.strip()
    if not separator or key not in known_keys:
        raise EditError(
            f"{assignment!r} is not KEY=VALUE with a key of a {kind}; the keys are {', '.join(known_keys)}"
        )
    if not is_reloadable(kind, key):
        reloadable = ", ".join(sorted(RELOADABLE_KEYS[kind]))
        raise EditError(f"{key} of a {kind} can't change in service; these can: {reloadable}")
    span = Span(Source("the command line", assignment), 1)
    items = tuple(tuple(Word(word, False, span) for word in item.split()) for item in text.split(","))
    try:
        return key, known_keys[key].type.read(items)
    except InvalidValueError as error:
        raise EditError(f"{key}: {error}; {error.fix}") from error


def remove_block(config: Config, kind: str, name: str) -> str:
    """Return the text of a configuration without one block. Raises EditError if the block does not exist."""
    values = to_values(config)
    _require_block(values, kind, name)
    return serialize({block: keys for block, keys in values.items() if block != (kind, name)})


def _require_block(values: Values, kind: str, name: str) -> None:
    if (kind, name) in values:
        return
    names = sorted(block_name for block_kind, block_name in values if block_kind == kind)
    suggestions = difflib.get_close_matches(name, names, 1) or names[:5]
    raise EditError(f"there is no {kind} {name}; existing: {', '.join(suggestions)}")


def rebase(base: Config, own: Config, other: Config) -> tuple[str, list[Conflict]]:
    """Apply the changes from ``base`` to ``own`` on top of ``other``.

    Returns the text of the merged configuration, or "" and the values that both sides change differently.
    """
    own_changes = diff(base, own)
    conflicts = find_conflicts(own_changes, diff(base, other))
    if conflicts:
        return "", conflicts
    return config_text(apply(other, own_changes)), []


def find_conflicts(own_changes: list[Change], other_changes: list[Change]) -> list[Conflict]:
    """Return each pair of changes that give one value, or a block and a value in it, different new values."""
    return [Conflict(own, other) for own in own_changes for other in other_changes if _conflicts(own, other)]


def _conflicts(own: Change, other: Change) -> bool:
    """Return whether two changes give one value, or a block and a value in it, different new values."""
    if (own.kind, own.name) != (other.kind, other.name):
        return False
    same_value = own.key == other.key or not own.key or not other.key
    return same_value and bool(own.new != other.new)
