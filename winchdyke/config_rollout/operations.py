"""All that can be asked about changes, the same from the command line and over the admin API. Each operation is a plain value.

:meth:`Desk.do` carries one out on a trail and gives back plain data for JSON. It waits for no gateway: what a gateway then does is
read from the trail.
"""

from __future__ import annotations

import dataclasses
import json
import time
from typing import Any

import msgspec

from winchdyke.config import Config, ConfigError, parse
from winchdyke.config.meaning import Change, diff
from winchdyke.config_rollout.change_log import ChangeLog, ChangeLogError
from winchdyke.config_rollout.edit import EditError, edited, rebased, removed
from winchdyke.config_rollout.hot_reload import fixed
from winchdyke.config_rollout.rollout_state import HELD, RolloutState, Step

WORD = 4096  # most characters of a name or a reason


class OperationError(Exception):
    """An operation that can't be done; ``code`` is for programs, ``text`` for people."""

    def __init__(self, code: str, text: str, more: dict[str, Any] | None = None) -> None:
        super().__init__(text)
        self.code, self.text, self.more = code, text, more or {}


class Stand(msgspec.Struct, tag="standing", tag_field="op", forbid_unknown_fields=True):
    """Where the gateway stands."""


class Show(msgspec.Struct, tag="show", tag_field="op", forbid_unknown_fields=True):
    """A version, whole and by its difference."""

    version: int


class Log(msgspec.Struct, tag="log", tag_field="op", forbid_unknown_fields=True):
    """The trail's entries behind one; ``archives``: those moved out as well."""

    after: int = 0
    archives: bool = False


class Blame(msgspec.Struct, tag="blame", tag_field="op", forbid_unknown_fields=True):
    """Who changed each value last, below a path."""

    path: str = ""


class Verify(msgspec.Struct, tag="verify", tag_field="op", forbid_unknown_fields=True):
    """Whether the chain holds; ``archives``: over those as well."""

    archives: bool = False


class Propose(msgspec.Struct, tag="propose", tag_field="op", forbid_unknown_fields=True):
    """Keep settings as a version; ``check``: only say what it would change."""

    text: str
    parent: int = 0
    why: str = ""
    check: bool = False


class Set(msgspec.Struct, tag="set", tag_field="op", forbid_unknown_fields=True):
    """Make a version with other values of one block, or without it; ``new``: a block that is not there yet."""

    kind: str
    name: str
    values: list[str] = []
    parent: int = 0
    why: str = ""
    new: bool = False
    remove: bool = False
    check: bool = False


class Stage(msgspec.Struct, tag="stage", tag_field="op", forbid_unknown_fields=True):
    """Have a version checked by the gateway, and applied: as it arrives, at an instant (Unix ms), or held till told again."""

    version: int
    at_ms: float = 0.0
    hold: bool = False
    confirm_within_ms: float = 0.0
    why: str = ""


class Withdraw(msgspec.Struct, tag="withdraw", tag_field="op", forbid_unknown_fields=True):
    """Take back what is staged."""

    why: str = ""


class Confirm(msgspec.Struct, tag="confirm", tag_field="op", forbid_unknown_fields=True):
    """Keep what is on trial."""

    why: str = ""


class Undo(msgspec.Struct, tag="undo", tag_field="op", forbid_unknown_fields=True):
    """Go back to the version before."""

    why: str = ""


class Export(msgspec.Struct, tag="export", tag_field="op", forbid_unknown_fields=True):
    """All versions and entries, as lines of JSON."""


Operation = (
    Stand | Show | Log | Blame | Verify | Propose | Set | Stage | Withdraw | Confirm | Undo | Export
)  # fmt: skip
READING = (Stand, Show, Log, Blame, Verify, Export)


def read(data: bytes | dict[str, Any]) -> Operation:
    """An operation from JSON; DeskError where it is none."""
    try:
        found: Operation = (
            msgspec.convert(data, type=Operation)
            if isinstance(data, dict)
            else msgspec.json.decode(data, type=Operation)
        )
        return found
    except msgspec.MsgspecError as error:
        raise OperationError("not-an-operation", f"not an operation of this API: {error}") from error


class ChangeOperations:
    """Carries out operations on a trail for one person. Calls read and write files: not for the event loop."""

    def __init__(self, trail: ChangeLog, who: str, origin: str) -> None:
        self.trail, self.who, self.origin = trail, who, origin

    def do(self, operation: Operation) -> dict[str, Any]:
        """The result, as plain data. DeskError with what is wrong and what to do."""
        for word in ("why", "name", "path"):
            if len(getattr(operation, word, "")) > WORD:
                raise OperationError("too-long", f"{word} is longer than {WORD} characters")
        try:
            result: dict[str, Any] = getattr(self, "_" + type(operation).__name__.lower())(operation)
        except ChangeLogError as error:
            code = "conflict" if "meanwhile" in str(error) else "trail"
            raise OperationError(code, str(error)) from error
        return result

    # What is read

    def _stand(self, _: Stand) -> dict[str, Any]:
        found = self.trail.standing()
        held = found.staged_at_ms == HELD
        at = None if held or not found.staged_at_ms else found.staged_at_ms
        return {
            "serving": found.serving, "before": found.before, "trial_until_ms": found.until_ms or None,
            "staged": found.staged or None, "staged_at_ms": at, "held": held, "applying": found.applying or None,
            "last": self.trail.last(), "now_ms": time.time() * 1000,
        }  # fmt: skip

    def _show(self, operation: Show) -> dict[str, Any]:
        made = self.trail.version(operation.version)
        entry = next(
            (
                entry
                for entry in self.trail.entries()
                if entry.what == "proposed" and entry.version == made.id
            ),
            None,
        )
        found: dict[str, Any] = {"version": made.id, "parent": made.parent, "text": made.text}
        found["difference"] = json.loads(made.difference)
        if entry is not None:
            found |= {"who": entry.who, "why": entry.note, "unix_ms": entry.unix_ms, "origin": entry.origin}
        return found

    def _log(self, operation: Log) -> dict[str, Any]:
        entries = self.trail.whole() if operation.archives else self.trail.after(operation.after)
        return {"entries": [_told(entry) for entry in entries if entry.seq > operation.after]}

    def _blame(self, operation: Blame) -> dict[str, Any]:
        path = operation.path
        found = self.trail.blame().items()
        return {
            "values": {
                name: _told(entry)
                for name, entry in sorted(found)
                if not path or name == path or name.startswith(path + ".")
            }
        }

    def _verify(self, operation: Verify) -> dict[str, Any]:
        return {"wrong": self.trail.verify(operation.archives), "entries": self.trail.last()}

    def _export(self, _: Export) -> dict[str, Any]:
        return {"lines": list(self.trail.export())}

    # What is changed

    def _config(self, version: int) -> Config:
        return _parsed(self.trail.version(version).text, f"version {version}")

    def _propose(self, operation: Propose) -> dict[str, Any]:
        parent = operation.parent or self.trail.standing().serving
        return self._keep(self._config(parent), operation.text, parent, operation.why, operation.check)

    def _set(self, operation: Set) -> dict[str, Any]:
        parent = operation.parent or self.trail.standing().serving
        old = self._config(parent)
        try:
            if operation.remove:
                text = removed(old, operation.kind, operation.name)
            else:
                text = edited(old, operation.kind, operation.name, operation.values, operation.new)
        except EditError as error:
            raise OperationError("no-edit", str(error)) from error
        return self._keep(old, text, parent, operation.why, operation.check)

    def _keep(self, old: Config, text: str, parent: int, why: str, check: bool = False) -> dict[str, Any]:
        new = _parsed(text, "the new version")
        changes = diff(old, new)
        if not changes:
            raise OperationError("no-difference", f"nothing differs from version {parent}")
        if needs := fixed(changes):
            raise OperationError(
                "needs-start",
                f"{', '.join(needs[:5])} can't change in service; put that into the gateway's file and start it anew",
            )
        found: dict[str, Any] = {"parent": parent, "changes": [change.data() for change in changes]}
        if not check:
            data = json.dumps(found["changes"], default=str)
            found["version"] = self.trail.propose(text, parent, data, self.who, why, self.origin)
        return found

    def _stage(self, operation: Stage) -> dict[str, Any]:
        found = self.trail.standing()
        version, merged = operation.version, None
        made = self.trail.version(version)
        if version == found.serving:
            raise OperationError("served", f"version {version} is served already")
        if made.parent != found.serving:
            if version == found.before:
                raise OperationError(
                    "undone", f"version {version} was served before; 'winchdyke changes undo' goes back to it"
                )
            merged = version
            version = self._merge(made.parent, version, found, operation.why)
        now = time.time() * 1000
        at = HELD if operation.hold else operation.at_ms
        if at and at < now:
            raise OperationError("past", f"the instant is {(now - at) / 1000:.1f} s in the past")
        until = 0.0
        if operation.confirm_within_ms and not operation.hold:
            until = max(at, now) + operation.confirm_within_ms
        steps = [(Step("staged", version, until_ms=until, at_ms=at), operation.why)]
        if found.staged and found.staged != version:
            steps.insert(0, (Step("withdrawn", found.staged), f"version {version} is staged instead"))
        self.trail.add_all(steps, self.who, self.origin, found)
        return {
            "version": version, "merged_from": merged, "withdrawn": found.staged if len(steps) > 1 else None,
            "after": self.trail.last() - 1,
        }  # fmt: skip

    def _merge(self, base: int, mine: int, found: RolloutState, why: str) -> int:
        theirs = self._config(found.serving)
        try:
            text, clashes = rebased(self._config(base), self._config(mine), theirs)
        except OperationError as error:
            raise OperationError(
                "conflict", f"version {mine} was made from {base}, which can't be read: {error.text}"
            ) from error
        if clashes:
            raise OperationError("conflict", *_clashing(mine, base, found.serving, clashes))
        made = self._keep(theirs, text, found.serving, f"merged from {mine}; {why}".rstrip("; "))
        return int(made["version"])

    def _withdraw(self, operation: Withdraw) -> dict[str, Any]:
        found = self.trail.standing()
        if not found.staged:
            raise OperationError("nothing-staged", "no version is staged")
        self.trail.add_all([(Step("withdrawn", found.staged), operation.why)], self.who, self.origin, found)
        return {"version": found.staged}

    def _confirm(self, operation: Confirm) -> dict[str, Any]:
        found = self.trail.standing()
        if not found.until_ms:
            raise OperationError("no-trial", f"version {found.serving} is not on trial")
        step = Step("confirmed", found.serving)
        self.trail.add_all([(step, operation.why)], self.who, self.origin, found)
        return {"version": found.serving}

    def _undo(self, operation: Undo) -> dict[str, Any]:
        found = self.trail.standing()
        if not found.before or found.before == found.serving:
            raise OperationError("nothing-before", "there is no version before the one that is served")
        steps = [(Step("staged", found.before), "undo")]
        if found.staged and found.staged != found.before:
            # What is staged was made on top of what is undone: it has to be applied anew, which puts it on what is served.
            steps.insert(0, (Step("withdrawn", found.staged), "what it was made from is undone"))
        origin = f"{self.origin} {operation.why}".strip()
        self.trail.add_all(steps, self.who, origin, found)
        return {
            "version": found.before, "withdrawn": found.staged if len(steps) > 1 else None,
            "after": self.trail.last() - 1,
        }  # fmt: skip


def _parsed(text: str, name: str) -> Config:
    try:
        return parse(text, name)
    except ConfigError as error:
        raise OperationError("check", f"{name} does not pass the check:\n{error}") from error


def _told(entry: Any) -> dict[str, Any]:
    told = dataclasses.asdict(entry)
    return told | {"held": True, "at_ms": 0.0} if entry.at_ms == HELD else told


def _clashing(
    mine: int, base: int, serving: int, clashes: list[tuple[Change, Change]]
) -> tuple[str, dict[str, Any]]:
    lines = [f"  yours: {a.text}\n  theirs: {b.text}" for a, b in clashes]
    text = (
        f"version {mine} was made from {base}, and {serving} is served; both change the same:\n"
        + "\n".join(lines)
        + "\nmake a version from the one that is served"
    )
    return text, {"edits": [{"yours": a.data(), "theirs": b.data()} for a, b in clashes]}
