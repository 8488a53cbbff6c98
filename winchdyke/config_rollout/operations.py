"""The operations on a change log, shared by the command line and the admin API. Each operation is a struct.

:meth:`ChangeOperations.execute` carries one out and returns plain data for JSON. It does not wait for the gateway, whose steps
appear in the change log.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any, ClassVar

import msgspec

from winchdyke.config import Config, ConfigError, parse
from winchdyke.config.semantic_diff import diff
from winchdyke.config_rollout.change_log import ChangeLog, ChangeLogError, ConcurrentStepError, LogEntry
from winchdyke.config_rollout.edit import Conflict, EditError, rebase, remove_block, set_values
from winchdyke.config_rollout.hot_reload import requiring_restart
from winchdyke.config_rollout.rollout_state import ON_HOLD_MS, RolloutState, Step

MAX_TEXT_CHARACTERS = 4096  # maximum length of a name, a path or a reason
MAX_LISTED_KEYS = 5  # maximum keys in an error that lists changes that need a restart


class OperationError(Exception):
    """An operation that can't be carried out.

    Attributes:
        code: The reason, for programs.
        text: What is wrong and what to do, for people.
        details: More data for programs.
    """

    def __init__(self, code: str, text: str, details: dict[str, Any] | None = None) -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.details = details or {}


class Status(msgspec.Struct, tag="standing", tag_field="op", forbid_unknown_fields=True):
    """Return which versions are served and staged."""


class Show(msgspec.Struct, tag="show", tag_field="op", forbid_unknown_fields=True):
    """Return a version's text and its difference."""

    version: int


class Log(msgspec.Struct, tag="log", tag_field="op", forbid_unknown_fields=True):
    """Return the entries after the number ``after``; ``archives``: archived ones as well."""

    after: int = 0
    archives: bool = False


class Blame(msgspec.Struct, tag="blame", tag_field="op", forbid_unknown_fields=True):
    """Return the entry that last changed each value below a path."""

    path: str = ""


class Verify(msgspec.Struct, tag="verify", tag_field="op", forbid_unknown_fields=True):
    """Verify the hash chain; ``archives``: that of archived entries as well."""

    archives: bool = False


class Propose(msgspec.Struct, tag="propose", tag_field="op", forbid_unknown_fields=True):
    """Store a configuration as a version; ``check``: only return the changes it would make."""

    text: str
    parent: int = 0
    why: str = ""
    check: bool = False


class Set(msgspec.Struct, tag="set", tag_field="op", forbid_unknown_fields=True):
    """Make a version in which one block has other values, is added (``new``) or removed (``remove``)."""

    kind: str
    name: str
    values: list[str] = []
    parent: int = 0
    why: str = ""
    new: bool = False
    remove: bool = False
    check: bool = False


class Stage(msgspec.Struct, tag="stage", tag_field="op", forbid_unknown_fields=True):
    """Have the gateway check a version and apply it: at once, at an instant (Unix ms), or once it is staged again (``hold``)."""

    version: int
    at_ms: float = 0.0
    hold: bool = False
    confirm_within_ms: float = 0.0
    why: str = ""


class Withdraw(msgspec.Struct, tag="withdraw", tag_field="op", forbid_unknown_fields=True):
    """Withdraw the staged version."""

    why: str = ""


class Confirm(msgspec.Struct, tag="confirm", tag_field="op", forbid_unknown_fields=True):
    """Confirm the version that is on trial."""

    why: str = ""


class Undo(msgspec.Struct, tag="undo", tag_field="op", forbid_unknown_fields=True):
    """Return to the previous version."""

    why: str = ""


class Export(msgspec.Struct, tag="export", tag_field="op", forbid_unknown_fields=True):
    """Return all versions and entries as lines of JSON."""


Operation = (
    Status | Show | Log | Blame | Verify | Propose | Set | Stage | Withdraw | Confirm | Undo | Export
)  # fmt: skip
READ_ONLY_OPERATIONS = (Status, Show, Log, Blame, Verify, Export)


def operation_name(operation: Operation) -> str:
    """Return the name of an operation, the value of ``op`` in its JSON."""
    return str(operation.__struct_config__.tag)


def parse_operation(data: bytes | dict[str, Any]) -> Operation:
    """Read an operation from JSON. Raises OperationError if it is not a valid one."""
    try:
        operation: Operation = (
            msgspec.convert(data, type=Operation)
            if isinstance(data, dict)
            else msgspec.json.decode(data, type=Operation)
        )
    except msgspec.MsgspecError as error:
        raise OperationError("not-an-operation", f"not an operation of this API: {error}") from error
    return operation


class ChangeOperations:
    """Carries out operations on a change log for one actor. Reads and writes files: not for the event loop."""

    def __init__(self, change_log: ChangeLog, actor: str, origin: str) -> None:
        self.change_log = change_log
        self.actor = actor
        self.origin = origin

    def execute(self, operation: Operation) -> dict[str, Any]:
        """Carry out an operation and return its result as plain data.

        Raises:
            OperationError: The operation can't be carried out.
        """
        for field in ("why", "name", "path"):
            if len(getattr(operation, field, "")) > MAX_TEXT_CHARACTERS:
                raise OperationError("too-long", f"{field} is longer than {MAX_TEXT_CHARACTERS} characters")
        try:
            return self._HANDLERS[type(operation)](self, operation)
        except ConcurrentStepError as error:
            raise OperationError("conflict", str(error)) from error
        except ChangeLogError as error:
            raise OperationError("trail", str(error)) from error

    # Reading

    def _status(self, _: Status) -> dict[str, Any]:
        state = self.change_log.state()
        on_hold = state.staged_activate_at_ms == ON_HOLD_MS
        activate_at_ms = None if on_hold else state.staged_activate_at_ms or None
        return {
            "serving": state.serving,
            "before": state.previous,
            "trial_until_ms": state.confirm_by_ms or None,
            "staged": state.staged or None,
            "staged_at_ms": activate_at_ms,
            "held": on_hold,
            "applying": state.applying or None,
            "last": self.change_log.last_seq(),
            "now_ms": time.time() * 1000,
        }

    def _show(self, operation: Show) -> dict[str, Any]:
        version = self.change_log.version(operation.version)
        result: dict[str, Any] = {
            "version": version.id,
            "parent": version.parent,
            "text": version.text,
            "difference": json.loads(version.difference),
        }
        for entry in self.change_log.entries():
            if entry.action == "proposed" and entry.version == version.id:
                return result | {
                    "who": entry.actor,
                    "why": entry.note,
                    "unix_ms": entry.unix_ms,
                    "origin": entry.origin,
                }
        return result

    def _log(self, operation: Log) -> dict[str, Any]:
        log = self.change_log
        entries = log.all_entries() if operation.archives else log.entries_after(operation.after)
        return {"entries": [_entry_data(entry) for entry in entries if entry.seq > operation.after]}

    def _blame(self, operation: Blame) -> dict[str, Any]:
        path = operation.path
        return {
            "values": {
                name: _entry_data(entry)
                for name, entry in sorted(self.change_log.blame().items())
                if not path or name == path or name.startswith(path + ".")
            }
        }

    def _verify(self, operation: Verify) -> dict[str, Any]:
        return {
            "wrong": self.change_log.verify(operation.archives),
            "entries": self.change_log.last_seq(),
        }

    def _export(self, _: Export) -> dict[str, Any]:
        return {"lines": list(self.change_log.export_lines())}

    # Making versions

    def _config(self, version: int) -> Config:
        return _parse_config(self.change_log.version(version).text, f"version {version}")

    def _propose(self, operation: Propose) -> dict[str, Any]:
        parent = operation.parent or self.change_log.state().serving
        return self._add_version(self._config(parent), operation.text, parent, operation.why, operation.check)

    def _set(self, operation: Set) -> dict[str, Any]:
        parent = operation.parent or self.change_log.state().serving
        old = self._config(parent)
        try:
            if operation.remove:
                text = remove_block(old, operation.kind, operation.name)
            else:
                text = set_values(old, operation.kind, operation.name, operation.values, operation.new)
        except EditError as error:
            raise OperationError("no-edit", str(error)) from error
        return self._add_version(old, text, parent, operation.why, operation.check)

    def _add_version(
        self, old: Config, text: str, parent: int, reason: str, check_only: bool = False
    ) -> dict[str, Any]:
        new = _parse_config(text, "the new version")
        changes = diff(old, new)
        if not changes:
            raise OperationError("no-difference", f"no value differs from version {parent}")
        if keys := requiring_restart(changes):
            raise OperationError(
                "needs-start",
                f"{', '.join(keys[:MAX_LISTED_KEYS])} can't change in service; change the gateway's"
                " configuration file and restart it",
            )
        result: dict[str, Any] = {"parent": parent, "changes": [change.to_dict() for change in changes]}
        if not check_only:
            difference = json.dumps(result["changes"], default=str)
            result["version"] = self.change_log.add_version(
                text, parent, difference, self.actor, reason, self.origin
            )
        return result

    # Steps

    def _stage(self, operation: Stage) -> dict[str, Any]:
        """Stage a version; one that was not made from the served version is merged with that first."""
        state = self.change_log.state()
        version = operation.version
        merged_from = None
        parent = self.change_log.version(version).parent
        if version == state.serving:
            raise OperationError("served", f"version {version} is served already")
        if parent != state.serving:
            if version == state.previous:
                raise OperationError(
                    "undone", f"version {version} was served before; 'winchdyke changes undo' returns to it"
                )
            merged_from = version
            version = self._merge(parent, version, state.serving, operation.why)
        step = _staged_step(operation, version)
        return self._append_staged(
            state, step, operation.why, f"version {version} is staged instead", self.origin, merged_from
        )

    def _append_staged(
        self,
        state: RolloutState,
        step: Step,
        note: str,
        withdrawal_note: str,
        origin: str,
        merged_from: int | None,
    ) -> dict[str, Any]:
        """Stage a version; if another one is staged, it is withdrawn."""
        steps = [(step, note)]
        withdrawn = state.staged if state.staged and state.staged != step.version else None
        if withdrawn is not None:
            steps.insert(0, (Step("withdrawn", withdrawn), withdrawal_note))
        self.change_log.append_all(steps, self.actor, origin, state)
        return {
            "version": step.version,
            "merged_from": merged_from,
            "withdrawn": withdrawn,
            "after": self.change_log.last_seq() - 1,
        }

    def _merge(self, base: int, own: int, serving: int, reason: str) -> int:
        """Make a version that applies the changes from ``base`` to ``own`` on top of the served one; returns its number."""
        served_config = self._config(serving)
        try:
            text, conflicts = rebase(self._config(base), self._config(own), served_config)
        except OperationError as error:
            raise OperationError(
                "conflict", f"version {own} was made from {base}, which can't be read: {error.text}"
            ) from error
        if conflicts:
            raise _conflict_error(own, base, serving, conflicts)
        note = f"merged from {own}; {reason}".rstrip("; ")
        return int(self._add_version(served_config, text, serving, note)["version"])

    def _withdraw(self, operation: Withdraw) -> dict[str, Any]:
        state = self.change_log.state()
        if not state.staged:
            raise OperationError("nothing-staged", "no version is staged")
        step = Step("withdrawn", state.staged)
        self.change_log.append(step, self.actor, operation.why, self.origin, state)
        return {"version": state.staged}

    def _confirm(self, operation: Confirm) -> dict[str, Any]:
        state = self.change_log.state()
        if not state.confirm_by_ms:
            raise OperationError("no-trial", f"version {state.serving} is not on trial")
        step = Step("confirmed", state.serving)
        self.change_log.append(step, self.actor, operation.why, self.origin, state)
        return {"version": state.serving}

    def _undo(self, operation: Undo) -> dict[str, Any]:
        """Stage the previous version with the note "undo", by which the gateway recognizes an undo."""
        state = self.change_log.state()
        if not state.previous or state.previous == state.serving:
            raise OperationError("nothing-before", "there is no previous version to return to")
        # The staged version was made from the one that is undone: staging it again merges it with the version then served.
        result = self._append_staged(
            state,
            Step("staged", state.previous),
            "undo",
            "the version that it was made from is undone",
            f"{self.origin} {operation.why}".strip(),
            None,
        )
        del result["merged_from"]
        return result

    _HANDLERS: ClassVar[dict[type, Callable[..., dict[str, Any]]]] = {
        Status: _status,
        Show: _show,
        Log: _log,
        Blame: _blame,
        Verify: _verify,
        Propose: _propose,
        Set: _set,
        Stage: _stage,
        Withdraw: _withdraw,
        Confirm: _confirm,
        Undo: _undo,
        Export: _export,
    }


def _staged_step(operation: Stage, version: int) -> Step:
    """Return the step that stages a version; the time for its confirmation runs from its activation."""
    now_ms = time.time() * 1000
    activate_at_ms = ON_HOLD_MS if operation.hold else operation.at_ms
    if activate_at_ms and activate_at_ms < now_ms:
        raise OperationError(
            "past", f"the instant is {(now_ms - activate_at_ms) / 1000:.1f} s in the past; give a later one"
        )
    confirm_by_ms = 0.0
    if operation.confirm_within_ms and not operation.hold:
        confirm_by_ms = max(activate_at_ms, now_ms) + operation.confirm_within_ms
    return Step("staged", version, confirm_by_ms=confirm_by_ms, activate_at_ms=activate_at_ms)


def _parse_config(text: str, name: str) -> Config:
    try:
        return parse(text, name)
    except ConfigError as error:
        raise OperationError("check", f"{name} does not pass the check:\n{error}") from error


def _entry_data(entry: LogEntry) -> dict[str, Any]:
    """Return an entry with the field names of the API."""
    data = {
        "seq": entry.seq,
        "unix_ms": entry.unix_ms,
        "who": entry.actor,
        "what": entry.action,
        "version": entry.version,
        "until_ms": entry.confirm_by_ms,
        "note": entry.note,
        "origin": entry.origin,
        "hash": entry.hash,
        "at_ms": entry.activate_at_ms,
    }
    if entry.activate_at_ms == ON_HOLD_MS:  # JSON has no infinity
        data |= {"held": True, "at_ms": 0.0}
    return data


def _conflict_error(own: int, base: int, serving: int, conflicts: list[Conflict]) -> OperationError:
    lines = [
        f"version {own} was made from {base}, and {serving} is served; both change the same values:",
        *(f"  yours: {conflict.own.text}\n  theirs: {conflict.other.text}" for conflict in conflicts),
        "make a new version from the one that is served",
    ]
    edits = [{"yours": conflict.own.to_dict(), "theirs": conflict.other.to_dict()} for conflict in conflicts]
    return OperationError("conflict", "\n".join(lines), {"edits": edits})
