"""Helpers of the commands for changes: run operations on a folder or at a gateway, and print the results."""

from __future__ import annotations

import getpass
import os
import socket
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from typing import Any

import click

from winchdyke.cli.common import parse_duration_ms

Execute = Callable[..., dict[str, Any]]  # runs an operation, given as keyword arguments

REMOTE_SCHEMES = ("unix:", "http:")
OUTCOME_POLL_SECONDS = 0.05
PENDING_OUTCOMES = ("ready", "refused", "withdrawn")  # outcomes of a version that is applied later
FINAL_OUTCOMES = ("applied", "undone", "refused", "withdrawn")
FAILURES = ("refused", "withdrawn")


def connect(target: str, actor: str | None = None, key_file: Path | None = None) -> Execute:
    """Return a function that runs operations on a folder's change log or through a gateway's admin API.

    The function exits with an error message if an operation fails.
    """
    from winchdyke.config_rollout.change_log import ChangeLogError
    from winchdyke.config_rollout.operations import OperationError

    try:
        if target.startswith(REMOTE_SCHEMES):
            from winchdyke.admin.client import AdminClient

            execute: Execute = AdminClient(target, key_file, actor or "").execute
        else:
            execute = _open_folder(Path(target), actor or getpass.getuser())
    except (OperationError, ChangeLogError) as error:
        raise click.ClickException(str(error)) from None

    def execute_or_exit(**operation: Any) -> dict[str, Any]:
        try:
            return execute(**operation)
        except OperationError as error:
            raise click.ClickException(error.text) from None

    return execute_or_exit


def _open_folder(folder: Path, actor: str) -> Execute:
    from winchdyke.config_rollout.change_log import ChangeLog
    from winchdyke.config_rollout.operations import ChangeOperations, parse_operation

    origin = f"{socket.gethostname()}:{os.getpid()}"
    operations = ChangeOperations(ChangeLog(folder, create=False), actor, origin)

    def execute(**operation: Any) -> dict[str, Any]:
        return operations.execute(parse_operation(operation))

    return execute


def format_changes(changes: list[dict[str, Any]]) -> str:
    """Return a difference as text, one line per changed value."""
    lines = []
    for change in changes:
        risk = f"  [{change['risk']}]" if change.get("risk") else ""
        lines.append(f"  {change['text']}{risk}")
    return "\n".join(lines)


def print_version(created: dict[str, Any]) -> None:
    """Print the number of a new version and its difference."""
    changes = format_changes(created["changes"])
    click.echo(f"version {created['version']}, from {created['parent']}:\n{changes}")


def parse_instant_ms(text: str | None) -> float:
    """Return an instant in Unix ms; 0 if none is given."""
    if not text:
        return 0.0
    if text.startswith("+"):
        return time.time() * 1000 + parse_duration_ms(text[1:], "--at")
    try:
        instant = datetime.fromisoformat(text)
    except ValueError:
        raise click.ClickException(
            f"--at: {text!r} is not a time; write 2026-12-01T18:30:00+01:00, or +10s for 10 s from now"
        ) from None
    return (instant if instant.tzinfo else instant.astimezone()).timestamp() * 1000


def wait_for_outcome(
    execute: Execute, staged: dict[str, Any], wait_seconds: float, is_applied_later: bool = False
) -> None:
    """Follow the change log until the gateway has applied or refused a staged version, and print the outcome.

    ``is_applied_later``: the version is applied at a set time or by a later command; wait only until it is
    checked.
    """
    version = staged["version"]
    if staged.get("merged_from"):
        click.echo(f"merged with the version in service, as version {version}")
    if staged.get("withdrawn"):
        click.echo(f"version {staged['withdrawn']}, which was staged, is withdrawn; apply it again")
    outcomes = PENDING_OUTCOMES if is_applied_later else FINAL_OUTCOMES
    last_seq = staged["after"]
    deadline = time.monotonic() + wait_seconds
    while time.monotonic() < deadline:
        for entry in execute(op="log", after=last_seq)["entries"]:
            last_seq = entry["seq"]
            if entry["version"] == version and entry["what"] in outcomes:
                _print_outcome(entry)
                return
        time.sleep(OUTCOME_POLL_SECONDS)
    if wait_seconds:
        click.echo(f"version {version} is staged; no gateway has taken it up within {wait_seconds:g} s")


def _print_outcome(entry: dict[str, Any]) -> None:
    note = f" ({entry['note']})" if entry["note"] else ""
    text = f"version {entry['version']}: {entry['what']}{note}"
    if entry["what"] in FAILURES:
        raise click.ClickException(text)
    click.echo(text)
