"""The records of the change log: entries, versions, their hashes, and the stored names of their fields. Pure.

The stored names (columns of the database, keys of JSON) and the hashed texts never change; :data:`STORED_STATE_KEYS` maps them
to the names used in the code.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from winchdyke.config_rollout.rollout_state import RolloutState, Step

Row = Sequence[Any]

# The columns are in the order of the fields of LogEntry, Step and Version.
ENTRY_COLUMNS = "seq, unix_ms, who, what, version, until_ms, note, origin, hash, at_ms"
# Number of an entry's first columns that are hashed; at_ms is hashed separately, and only if it is not 0.
HASHED_COLUMNS = 8
STEP_COLUMNS = "what, version, unix_ms, until_ms, at_ms"
VERSION_COLUMNS = "id, parent, text, difference"
STORED_STATE_KEYS = {
    "serving": "serving",
    "staged": "staged",
    "staged_until_ms": "staged_confirm_by_ms",
    "applying": "applying",
    "before": "previous",
    "until_ms": "confirm_by_ms",
    "staged_at_ms": "staged_activate_at_ms",
    "undoing": "undoing",
    "instant_ms": "activated_at_ms",
}


class ChangeLogError(Exception):
    """A change log that can't be used, or a step that can't be taken; its text says what is wrong and what to do.

    ``damaged``: the stored data is not what was written.
    """

    def __init__(self, text: str, damaged: bool = False) -> None:
        super().__init__(text)
        self.damaged = damaged


class ConcurrentStepError(ChangeLogError):
    """A step that was refused because another process has taken one meanwhile."""


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the change log; the fields are in the order of the stored columns.

    Attributes:
        seq: The entry's number, from 1 on, without gaps.
        unix_ms: When the step was taken.
        actor: Who took it.
        action: The kind of step (one of ``rollout_state.ACTIONS``).
        version: The version that the step concerns.
        confirm_by_ms: The Unix time by which the version has to be confirmed; 0: no confirmation is needed.
        note: The reason, or the result.
        origin: Where the step was requested from.
        hash: The entry's link in the hash chain (:func:`entry_hash`).
        activate_at_ms: The Unix time at which the staged version is applied; 0: at once.
    """

    seq: int
    unix_ms: float
    actor: str
    action: str
    version: int
    confirm_by_ms: float
    note: str
    origin: str
    hash: str
    activate_at_ms: float = 0.0

    def step(self) -> Step:
        """Return the step that the entry records."""
        return Step(self.action, self.version, self.unix_ms, self.confirm_by_ms, self.activate_at_ms)

    def hashed_values(self) -> tuple[object, ...]:
        """Return the values that the entry's hash covers, without the activation time."""
        return dataclasses.astuple(self)[:HASHED_COLUMNS]


@dataclass(frozen=True, slots=True)
class Version:
    """The text of one version, the version that it was made from, and the difference between the two as JSON."""

    id: int
    parent: int
    text: str
    difference: str


def entry_hash(
    previous_hash: str, values: Iterable[object], version_content: str, activate_at_ms: float
) -> str:
    """Return the SHA-256 of an entry: over the hash before it, its values, and the version that it proposes.

    ``version_content``: :func:`version_content` of a proposed version; "" for all other actions.
    """
    hashed = [previous_hash, *values, version_content]
    if activate_at_ms:  # entries of format 1 have none, so their hashes stay valid
        hashed.append(activate_at_ms)
    return hashlib.sha256(json.dumps(hashed, ensure_ascii=False).encode()).hexdigest()


def version_content(columns: Row | None) -> str:
    """Return the text that is hashed for a version: its parent, text and difference as JSON; ``null`` without a version."""
    return json.dumps(columns)


def version_digest(columns: Iterable[object]) -> str:
    """Return the SHA-256 of parent, text and difference of a version whose proposal was archived."""
    return hashlib.sha256(json.dumps(list(columns), ensure_ascii=False).encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class PruneRecord:
    """The stored content of a ``pruned`` entry: which entries were moved to an archive, and the state after them.

    Each property raises ChangeLogError if its own value is damaged, so that the other values stay usable.
    """

    stored: dict[str, Any]

    @classmethod
    def create(
        cls, seq: int, last_hash: str, state: RolloutState, version_digests: dict[str, str]
    ) -> PruneRecord:
        """Return a new record; the arguments are the values of the properties, ``last_hash`` that of ``hash``."""
        stored_state = {key: getattr(state, field) for key, field in STORED_STATE_KEYS.items()}
        return cls({"seq": seq, "hash": last_hash, "standing": stored_state, "kept": version_digests})

    @classmethod
    def from_note(cls, note: str) -> PruneRecord:
        """Read a record from the note of its entry. Raises ChangeLogError if it is not JSON."""
        try:
            return cls(json.loads(note))
        except ValueError as error:
            raise _damaged_prune(error) from error

    def to_note(self) -> str:
        """Return the record as the note of its entry."""
        return json.dumps(self.stored)

    @property
    def seq(self) -> int:
        """The last entry that was moved."""
        seq: int = self._value("seq")
        return seq

    @property
    def hash(self) -> str:
        """The hash of that entry, from which the chain continues."""
        last_hash: str = self._value("hash")
        return last_hash

    @property
    def state(self) -> RolloutState:
        """The state of the rollout after that entry."""
        stored_state = self._value("standing")
        try:
            return RolloutState(**{STORED_STATE_KEYS[key]: value for key, value in stored_state.items()})
        except (KeyError, AttributeError) as error:
            raise _damaged_prune(error) from error

    @property
    def version_digests(self) -> dict[str, str]:
        """The digests of versions that stay although their proposal was moved, by version number (as text)."""
        digests: dict[str, str] = self._value("kept")
        return digests

    def _value(self, key: str) -> Any:
        try:
            return self.stored[key]
        except (KeyError, TypeError) as error:
            raise _damaged_prune(error) from error


def _damaged_prune(error: Exception) -> ChangeLogError:
    return ChangeLogError(f"the entry that records a prune can't be read: {error}", damaged=True)
