"""Orders drawn from a seed of all that may cross; the rules are read from the bytes that stores and clients saw."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass, field

import pytest
from test_crossings_sends import Dials, leave
from test_platform_sockets import Site, answer, site, until

SEEDS = range(24)
STEPS = 14


@dataclass
class Try:
    """One request of one client, and what is known of it from outside."""

    id: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    answer: asyncio.Task[tuple[int, dict[str, str], bytes]]
    left: bool = False


@dataclass
class Play:
    """A gateway in the middle of its crossings."""

    it: Site
    dials: Dials
    random: random.Random
    tries: list[Try] = field(default_factory=list)
    steps: list[str] = field(default_factory=list)
    out: list[tuple[asyncio.StreamWriter, str]] = field(
        default_factory=list
    )  # begun at the store, not answered
    answered: list[tuple[asyncio.StreamWriter, str]] = field(default_factory=list)
    began: dict[str, int] = field(default_factory=dict)  # id to how often it came to the store whole
    faults: list[str] = field(default_factory=list)
    version: int = 1
    draining: bool = False
    late_ids: set[str] = field(
        default_factory=set
    )  # left, and the gateway has seen it, before anything was written

    def say(self, writer: asyncio.StreamWriter, head: bytes, number: int) -> None:
        name = head.lower().split(b"req-id: ")[1].split(b"\r\n")[0].decode()
        self.began[name] = self.began.get(name, 0) + 1
        if self.draining:
            self.faults.append(f"{name} was sent to a store that drains")
        if name in self.late_ids:
            self.faults.append(f"{name} was sent on after its client had left")
        self.out.append((writer, name))

    async def seen(self) -> None:
        """All sides have had their turns."""
        for _ in range(12):
            await asyncio.sleep(0.002)

    async def ask(self) -> None:
        kind = self.random.choice(["read", "write"])
        data = self.it.request(**{"Req-Kind": kind, "Req-Deadline-Ms": "8000"})
        reader, writer = await self.it.open()
        writer.write(data)
        name = data.lower().split(b"req-id: ")[1].split(b"\r\n")[0].decode()
        self.tries.append(Try(name, reader, writer, asyncio.ensure_future(answer(reader))))

    async def leave(self) -> None:
        waiting = [each for each in self.tries if not each.left and not each.answer.done()]
        if not waiting:
            return
        one = self.random.choice(waiting)
        one.left, gone = True, self.it.gateway.counts["gone"]
        one.answer.cancel()
        leave(one.writer, self.random.choice(["close", "reset"]))
        await self.seen()
        if self.it.gateway.counts["gone"] > gone and one.id not in self.began:
            self.late_ids.add(one.id)

    async def come_up(self) -> None:
        held, self.dials.held = self.dials.held, []
        for link in held:
            if link.sock.fileno() >= 0:
                link.writable()

    def _pick(self, of: list[tuple[asyncio.StreamWriter, str]]) -> tuple[asyncio.StreamWriter, str] | None:
        live = [pair for pair in of if not pair[0].is_closing()]
        return self.random.choice(live) if live else None

    async def answer(self) -> None:
        if (pair := self._pick(self.out)) is not None:
            self.out.remove(pair)
            self.answered.append(pair)
            pair[0].write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(pair[1]), pair[1].encode())
            )

    async def again(self) -> None:
        """A second answer, some milliseconds after the first."""
        if (pair := self._pick(self.answered)) is not None:
            pair[0].write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(pair[1]), pair[1].encode())
            )
            self.answered.clear()

    async def reset(self) -> None:
        if (pair := self._pick(self.out)) is not None:
            self.out = [other for other in self.out if other[0] is not pair[0]]
            leave(pair[0], "reset")

    async def _tell(self, **changes: object) -> None:
        self.version += 1
        self.it.tell(self.version, **changes)
        await until(lambda: self.it.gateway.follower.version == self.version)
        await self.seen()

    async def drain(self) -> None:
        await self._tell(state="terminating")
        self.draining = True

    async def ready(self) -> None:
        self.draining = False
        await self._tell(state="in_service")

    async def restart(self) -> None:
        self.draining = False
        await self._tell(state="in_service", started_ms=self.version)

    async def hup(self) -> None:
        self.it.gateway.reload()


STEPS_OF = (
    "ask",
    "ask",
    "leave",
    "come_up",
    "answer",
    "answer",
    "again",
    "reset",
    "drain",
    "ready",
    "restart",
    "hup",
)


async def played(seed: int, path: object, dials: Dials) -> Play:
    made: list[Play] = []
    async with site(path, lambda *told: made[0].say(*told)) as it:  # type: ignore[arg-type]
        play = Play(it, dials, random.Random(seed))
        made.append(play)
        await play.ask()
        for _ in range(STEPS):
            step = play.random.choice(STEPS_OF)
            play.steps.append(step)
            await getattr(play, step)()
            if play.random.random() < 0.6:
                await play.seen()
        await play.come_up()
        dials.holding = False
        play.steps.append(signal.SIGTERM.name)
        it.gateway.stop()
        for _ in range(60):
            await play.answer()
            await asyncio.sleep(0.005)
        assert it.gateway._leaving is not None
        await until(lambda: it.gateway.over.done(), 8.0)
        for one in play.tries:
            if one.left:
                continue
            status, _, body = await one.answer
            if status == 200 and body != one.id.encode():
                play.faults.append(f"{one.id} was served {body!r}")
            one.writer.close()
        if (
            it.gateway.engine.open_requests
            or it.gateway.engine.disconnected_requests
            or it.gateway.engine._scheduler.requests
        ):
            play.faults.append("something is left behind")
        if it.gateway.counts["sent-late-after-leave"]:
            play.faults.append("the gateway counts a send after a leave")
    return play


@pytest.mark.parametrize("seed", SEEDS)
def test_any_order_keeps_the_rules(tmp_path, monkeypatch, seed):
    play = asyncio.run(played(seed, tmp_path, Dials(monkeypatch)))
    assert not play.faults, f"seed {seed}: {' > '.join(play.steps)}: {play.faults}"
    assert all(count <= 3 for count in play.began.values())
