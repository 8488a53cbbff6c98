"""Gateways that know each other, as processes with links between them; and the judge of their views, seen to fail."""

from __future__ import annotations

import asyncio
import fcntl
import json
import resource
import socket
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import h11
import msgspec
import pytest
from host import measured

from winchdyke.days import script
from winchdyke.days.members import Views
from winchdyke.days.run import run_day
from winchdyke.membership.log_events import log_event
from winchdyke.standins.links import Fault, Links
from winchdyke.standins.record import Record
from winchdyke.standins.wire import Peer


@measured
def test_three_gateways_lose_links_are_stopped_killed_and_started_and_their_views_hold():
    """Real processes: a deaf one, one stopped, kills, a leave, a cut, datagrams lost all the while."""
    day = script.fleet_day(4, 36_000.0, 3)
    verdict, seen, ends = run_day(
        day
    )  # in a folder of its own: pytest's are too deep for a unix socket's path
    members = verdict.members
    assert members is not None and members.kept, "\n".join(members.lines() if members else [])
    assert verdict.kept and not any(ends)
    assert members.tried[2] == 6  # three views of two others
    counts = next(each for each in seen if each["who"] == "links" and each["what"] == "counts")
    assert counts["lost"] > 10 and counts["passed"] > 150
    assert set(members.settled) == {"gateway-0", "gateway-1", "gateway-2"}
    # What it costs, and what it writes: bounded, and only where `fleet` was given.
    assert all(told["counts"]["sent-bytes"] < 200_000 * 36 for told in members.settled.values())


class Story:
    """A day's record and logs, made up."""

    def __init__(self, where: Path) -> None:
        self.where, self.day = where, script.fleet_day(1, 40_000.0, 3)
        self.record: list[dict[str, Any]] = [{"t": 0.0, "who": "day", "what": "clock", "unix_ms": 0.0}]
        self.logs: dict[str, list[tuple[float, str, str]]] = {f"gateway-{n}": [] for n in range(3)}
        for name, lines in self.logs.items():
            self.note(1.0, "gateway-up", name)
            lines += [(1.0, "", "started"), *((2.0, other, "found") for other in self.logs if other != name)]

    def note(self, at: float, what: str, gateway: str = "") -> None:
        self.record.append({"t": at, "who": "day", "what": what, "gateway": gateway})

    def says(self, at: float, viewer: str, member: str, code: str) -> None:
        self.logs[viewer].append((at, member, code))

    def broken(self) -> list[str]:
        self.record.append({"t": 40_000.0, "who": "day", "what": "settled", "views": {}})
        for name, lines in self.logs.items():
            rows = [
                {"timestamp": at / 1000, "event": "started"}
                if code == "started"
                else {"timestamp": at / 1000, "event": log_event(code, member), "member": member}
                for at, member, code in sorted(lines)
            ]
            (self.where / f"{name}.log").write_text("\n".join(map(json.dumps, rows)))
        return [f"{which}: {why}" for which, why in Views(self.day, self.record, self.where).verdict().broken]


def test_the_judge_lets_a_good_day_pass(tmp_path):
    assert not Story(tmp_path).broken()


def test_the_judge_tells_a_member_that_is_held_dead_while_it_runs(tmp_path):
    story = Story(tmp_path)
    story.says(5000.0, "gateway-0", "gateway-1", "dead")
    story.says(30_000.0, "gateway-0", "gateway-1", "alive")
    assert [why for why in story.broken() if why.startswith("0:")]


def test_the_judge_does_not_hold_a_death_against_who_was_cut_off_from_all(tmp_path):
    story = Story(tmp_path)
    pairs = [["gateway-0", x] for x in ("gateway-1", "gateway-2")] + [
        [x, "gateway-0"] for x in ("gateway-1", "gateway-2")
    ]
    story.record.append({"t": 4000.0, "who": "links", "what": "set", "pairs": pairs, "fault": {"cut": True}})
    story.record.append({"t": 19_000.0, "who": "links", "what": "set", "pairs": pairs, "fault": {}})
    story.says(5000.0, "gateway-0", "gateway-1", "dead")
    story.says(20_000.0, "gateway-0", "gateway-1", "alive")
    assert not story.broken()


def test_the_judge_tells_a_death_that_a_view_did_not_learn_of(tmp_path):
    story = Story(tmp_path)
    story.note(5000.0, "gateway-down", "gateway-1")
    story.note(16_000.0, "gateway-up", "gateway-1")
    story.logs["gateway-1"] += [
        (16_000.0, "", "started"),
        *((16_001.0, f"gateway-{n}", "found") for n in (0, 2)),
    ]
    story.says(8000.0, "gateway-0", "gateway-1", "dead")
    for viewer in ("gateway-0", "gateway-2"):
        story.says(20_500.0, viewer, "gateway-1", "started-anew")
    assert [why for why in story.broken() if why.startswith("1: gateway-2")] and len(story.broken()) == 1


def test_the_judge_tells_views_that_differ_at_the_end(tmp_path):
    story = Story(tmp_path)
    story.says(39_000.0, "gateway-2", "gateway-0", "dead")
    assert [why for why in story.broken() if why.startswith("2:")]


@pytest.mark.parametrize(
    "fault, least, most",
    [(Fault(), 300, 300), (Fault(cut=True), 0, 0), (Fault(loss=0.3), 150, 260), (Fault(loss=0.3, burst=6.0), 110, 290),
     (Fault(copies=1.0), 600, 600), (Fault(large=10), 0, 0), (Fault(datagrams=False), 0, 0), (Fault(streams=False), 300, 300)],
)  # fmt: skip
def test_a_link_does_what_its_fault_says(fault, least, most):
    async def play() -> int:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as b,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as a,
        ):
            b.bind(("127.0.0.1", 0))
            b.setblocking(False)
            links = Links(["a", "b"], 1, Record(), lambda name: b.getsockname()[1] if name == "b" else 0)
            await links.start()
            links.set([("a", "b")], fault)
            host, port = links.peers("a")["b"].split(":")
            got = 0
            for n in range(300):
                a.sendto(b"x" * 100 + bytes([n % 256]), (host, int(port)))
                if n % 20 == 19:
                    await asyncio.sleep(0.01)
                    got += _drained(b)
            for _ in range(20):
                await asyncio.sleep(0.01)
                got += _drained(b)
            links.close()
            return got

    assert least <= asyncio.run(play()) <= most


def _drained(sock: socket.socket) -> int:
    found = 0
    while True:
        try:
            sock.recv(2000)
        except BlockingIOError:
            return found
        found += 1


def test_stand_ins_look_at_connections_past_the_descriptors_that_select_takes():
    """Five days of eight gateways in one process: a client's look at an idle connection ended the day."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(limits[0], 2048), limits[1]))
    one, other = socket.socketpair()
    high = socket.socket(fileno=fcntl.fcntl(one, fcntl.F_DUPFD, 1100))
    try:
        peer = Peer(SimpleNamespace(extra=lambda _: high), h11.CLIENT)  # type: ignore[arg-type]
        assert peer.quiet()
        other.send(b"x")
        assert not peer.quiet()
        high.recv(1)
        assert peer.quiet()
        other.close()
        assert not peer.quiet()
    finally:
        for each in (one, other, high):
            each.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


def test_the_same_seed_draws_the_same_day():
    one, other = (msgspec.json.encode(script.fleet_day(7, gateways=8)) for _ in range(2))
    assert one == other != msgspec.json.encode(script.fleet_day(8, gateways=8))
