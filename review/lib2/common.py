"""What the cases of the second review share: processes, a record, a small HTTP client, the verdict.

Everything runs on loopback addresses and the real clock. A case is a coroutine that gets a :class:`Case`; it reports each
break of its rule with :meth:`Case.broken` and raises :class:`CouldNotRunError` where the case can't be judged.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PYTHON = str(ROOT / ".venv" / "bin" / "python")
CASE_SECONDS = 110.0
LOGGED_LINES = 20  # of each gateway, at the end of the record; all lines of a store
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be run as it is described, so that it says nothing about the rule."""


@dataclass
class Answer:
    """What a client received: ``status`` is 0 if the connection ended without a whole answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


class Case:
    """One run of a case.

    Attributes:
        trouble: Whether the disruption happens (``TROUBLE=0`` switches it off).
        folder: A temporary folder, deleted at the end.
        breaks: The breaks of the rule that were seen.
    """

    def __init__(self, record: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="winchdyke-review-"))
        self.breaks: list[str] = []
        self.began = time.monotonic()
        self._record = record.open("w", encoding="utf-8")
        self._processes: list[asyncio.subprocess.Process] = []

    @property
    def seconds(self) -> float:
        """The time since the case began."""
        return time.monotonic() - self.began

    def note(self, who: str, what: str, **more: Any) -> None:
        """Write one line to the record: time in seconds, who, what, and details."""
        details = " ".join(f"{name}={value}" for name, value in more.items())
        self._record.write(f"{self.seconds:9.4f} {who:12} {what} {details}".rstrip() + "\n")
        self._record.flush()

    def broken(self, text: str) -> None:
        """Note a break of the rule."""
        self.breaks.append(text)
        self.note("check", "BROKEN", text=text)

    async def spawn(self, name: str, *arguments: str, **variables: str) -> asyncio.subprocess.Process:
        """Start a program of the project with the interpreter that the deploy file's build made."""
        log = (self.folder / f"{name}.log").open("ab")
        environment = {
            key: value for key, value in os.environ.items() if key in ("PATH", "HOME", "LANG", "TMPDIR")
        }
        process = await asyncio.create_subprocess_exec(
            PYTHON,
            *arguments,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**environment, "TMPDIR": str(self.folder), **variables},
        )
        log.close()
        self._processes.append(process)
        self.note(name, "started", pid=process.pid, command=" ".join(arguments))
        return process

    async def kill(
        self, name: str, process: asyncio.subprocess.Process, number: int = signal.SIGKILL
    ) -> None:
        """Send a signal to a process that this case started; wait for its end after SIGKILL."""
        if process.returncode is not None:
            raise CouldNotRunError(f"{name} had ended already, with {process.returncode}")
        process.send_signal(number)
        self.note(name, f"signal {signal.Signals(number).name}")
        if number == signal.SIGKILL:
            await process.wait()

    def log_text(self, name: str) -> str:
        """Return what a program has logged so far."""
        with contextlib.suppress(OSError):
            return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")
        return ""

    async def close(self) -> None:
        """End all processes, add the end of their logs to the record, and delete the temporary folder."""
        for process in self._processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        self.note("case", "end", breaks=len(self.breaks))
        for path in sorted(self.folder.glob("*.log")):
            lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
            shown = lines if path.stem.startswith("store-") else lines[-LOGGED_LINES:]
            self._record.write(
                "\n".join([f"--- {path.name}, {len(shown)} of {len(lines)} lines", *shown]) + "\n"
            )
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_for(condition: Callable[[], Any], seconds: float, what: str) -> None:
    """Wait until a condition holds, which is called every 10 ms; it may be a coroutine function."""
    end = time.monotonic() + seconds
    while True:
        result = condition()
        if isinstance(result, Awaitable):
            result = await result
        if result:
            return
        if time.monotonic() > end:
            raise CouldNotRunError(f"not within {seconds:g} s: {what}")
        await asyncio.sleep(0.01)


_RESERVED: list[socket.socket] = []


def free_port() -> int:
    """Return a loopback port that stays reserved by a bound socket, so that no other process is given it."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    _RESERVED.append(reserved)
    return int(reserved.getsockname()[1])


async def read_answer(reader: asyncio.StreamReader, seconds: float) -> Answer:
    """Read one answer that states its length; status 0 where there is none."""
    try:
        async with asyncio.timeout(seconds):
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            status = int(lines[0].split()[1])
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            return Answer(status, headers, body)
    except TimeoutError:
        return Answer(0, error="no answer in time")
    except (OSError, EOFError, asyncio.LimitOverrunError, ValueError, IndexError) as error:
        return Answer(0, error=f"connection ended: {type(error).__name__}")


async def ask(
    port: int, method: str, path: str, body: bytes | None = None, seconds: float = 6.0, **headers: str
) -> Answer:
    """Send one request on a connection of its own; ``_`` in a header's name stands for ``-``."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError as error:
        return Answer(0, error=f"no connection: {type(error).__name__}")
    try:
        lines = [f"{method} {path} HTTP/1.1", "Host: gateway", "Connection: close"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))
        return await read_answer(reader, seconds)
    finally:
        writer.close()


def run(record: Path, play: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case, and exit with 1 if its rule was broken, 0 if it held, 2 if it could not run.

    ``record``: the file that gets what was sent, answered and run.
    """
    case = Case(record)
    result = COULD_NOT_RUN

    async def whole() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(CASE_SECONDS):
                await play(case)
            return BROKEN if case.breaks else HELD
        finally:
            await case.close()

    try:
        result = asyncio.run(whole())
    finally:
        if result == COULD_NOT_RUN:
            traceback.print_exc()  # whatever the error is, the case says nothing about the rule
        for text in case.breaks:
            print(f"BROKEN: {text}")
        print(json.dumps({"case": record.parent.name, "trouble": case.trouble, "exit": result}))
        sys.exit(result)
