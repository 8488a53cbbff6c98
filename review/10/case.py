"""Bad clients by the hundreds at a gateway whose machine has little memory, and a few usual clients beside them."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import common
from platform_rig import Deployment

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
MEMORY_MB = 32  # the page: 32 to 192 MB
DESCRIPTORS = 1024  # the page: 256 to 1,024
BAD_CLIENTS = 600  # at once; the page: by hundreds
BAD_SECONDS = 30.0
USUAL_CLIENTS = 5
PAUSE_SECONDS = 0.1  # of a usual client, between two requests
OWED_SECONDS = 3.0  # how long a bad client waits for an error or a close


def memory_of(pid: int) -> dict[str, float]:
    """Return the memory of a process in MiB: what is its own, without the files that it maps, and all that is resident."""
    found = {"VmRSS": 0.0, "RssAnon": 0.0, "RssShmem": 0.0}
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
            name, _, value = line.partition(":")
            if name in found:
                found[name] = int(value.split()[0]) / 1024
    return {
        "own_mb": round(found["RssAnon"] + found["RssShmem"], 1),
        "resident_mb": round(found["VmRSS"], 1),
    }


def bad_bytes(fleet: Deployment, kind: int) -> bytes:
    """Return what a bad client of a kind sends."""
    _, submit = fleet.request("submit", 0)
    if kind == 0:  # connects and says nothing
        return b""
    if kind == 1:  # hundreds of requests at once
        return b"".join(fleet.request("fetch", 0)[1] for _ in range(200))
    if kind == 2:  # half a request
        return submit.replace(b"Content-Length: 0", b"Content-Length: 65000") + bytes(32_000)
    if kind == 3:  # a head without end
        return submit[:-2] + b"".join(b"X-Line-%d: and so on\r\n" % number for number in range(100))
    return submit.replace(b"Content-Length: 0", b"Content-Length: 60000000") + bytes(
        500_000
    )  # a body of 60 MB


async def bad_client(fleet: Deployment, kind: int) -> None:
    """Send at full speed, read what comes until the connection ends, and leave after the time that is owed."""
    data, received = bad_bytes(fleet, kind), b""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
        try:
            writer.write(data)
            async with asyncio.timeout(OWED_SECONDS):
                while piece := await reader.read(65536):
                    received = received or piece
        finally:
            writer.transport.abort()
    first = received.split(b"\r\n")[0].decode("latin-1")
    fleet.case.note(f"bad-kind-{kind}", "left", sent_bytes=len(data), first_answer=repr(first))


async def crowd(fleet: Deployment, end_s: float) -> None:
    """Keep up the number of bad clients: who is turned away comes again at once."""
    running: set[asyncio.Task[None]] = set()
    sent = 0
    while fleet.case.seconds < end_s and fleet.process.returncode is None:
        while len(running) < BAD_CLIENTS:
            task = asyncio.create_task(bad_client(fleet, sent % 5))
            running.add(task)
            task.add_done_callback(running.discard)
            sent += 1
        await asyncio.sleep(0.02)
    for task in running:
        task.cancel()
    fleet.case.note("bad clients", "stopped", connections=sent)


async def usual_client(fleet: Deployment, number: int, end_s: float) -> None:
    """Send one request after another, each on a connection of its own."""
    case = fleet.case
    while case.seconds < end_s and fleet.process.returncode is None:
        request_id, data = fleet.request("fetch", 1 + number % 3)
        answer = common.Answer(0, error="no connection")
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", fleet.port)
            writer.write(data)
            case.note(f"usual-{number}", "sent", id=request_id)
            answer = await common.read_answer(reader, 4.0)
            writer.close()
        case.note(f"usual-{number}", "answer", id=request_id, status=answer.status, error=answer.error or "-")
        await asyncio.sleep(PAUSE_SECONDS)


async def hold_to_limit(fleet: Deployment, end_s: float) -> None:
    """Do what the platform does: kill the gateway once it is over its memory."""
    case, pid, noted = fleet.case, fleet.process.pid, 0.0
    while case.seconds < end_s:
        memory = memory_of(pid)
        if case.seconds >= noted + 1.0:
            noted = case.seconds
            case.note("platform", "memory", **memory)
        if memory["own_mb"] > MEMORY_MB:
            case.note("platform", "over the limit", limit_mb=MEMORY_MB, **memory)
            await case.kill("gateway", fleet.process)
            case.broken(f"the gateway was killed: {memory['own_mb']} MB in use of {MEMORY_MB}")
            return
        await asyncio.sleep(0.02)


async def play(case: common.Case) -> None:
    """Play the case."""
    fleet = Deployment(case, memory_mb=MEMORY_MB, sockets=DESCRIPTORS)
    await fleet.start()
    start = memory_of(fleet.process.pid)
    case.note("platform", "memory at the start", **start)
    if not 0.0 < start["own_mb"] < MEMORY_MB:
        raise common.CouldNotRunError(f"at its start the gateway takes {start['own_mb']} MB")
    end_s = case.seconds + BAD_SECONDS
    usual = [asyncio.create_task(usual_client(fleet, number, end_s)) for number in range(USUAL_CLIENTS)]
    bad = [asyncio.create_task(crowd(fleet, end_s))] if case.trouble else []
    await hold_to_limit(fleet, end_s)
    await asyncio.gather(*usual, *bad)


common.run(RECORD, play)
