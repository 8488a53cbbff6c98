"""Membership of gateway processes over faulty links; and the checker of their views, which must detect faulty ones."""

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
from winchdyke.days.members import MembershipChecker
from winchdyke.days.run import run_scenario
from winchdyke.membership.log_events import log_event
from winchdyke.standins.links import Fault, Links
from winchdyke.standins.record import Record
from winchdyke.standins.wire import Peer


@measured
def test_views_of_three_gateways_stay_correct_during_faults_stops_and_restarts():
    """Real processes with one-way links, a stopped process, kills, a leave, a partition, and datagram loss throughout."""
    day = script.fleet_day(4, 36_000.0, 3)
    # In a folder of its own: the paths of pytest's folders are too long for a Unix socket.
    verdict, record, exit_codes = run_scenario(day)
    members = verdict.members
    assert members is not None and members.kept, "\n".join(members.lines() if members else [])
    assert verdict.kept and not any(exit_codes)
    assert members.checked[2] == 6  # three views of two others
    counts = next(entry for entry in record if entry["who"] == "links" and entry["what"] == "counts")
    assert counts["lost"] > 10 and counts["passed"] > 150
    assert set(members.final_views) == {"gateway-0", "gateway-1", "gateway-2"}
    # The traffic of membership is bounded.
    assert all(status["counts"]["sent-bytes"] < 200_000 * 36 for status in members.final_views.values())


class RecordedDay:
    """A synthetic record and synthetic logs of a day, for the checker of views."""

    def __init__(self, directory: Path) -> None:
        self.directory, self.day = directory, script.fleet_day(1, 40_000.0, 3)
        self.record: list[dict[str, Any]] = [{"t": 0.0, "who": "day", "what": "clock", "unix_ms": 0.0}]
        self.logs: dict[str, list[tuple[float, str, str]]] = {f"gateway-{n}": [] for n in range(3)}
        for name, entries in self.logs.items():
            self.add_record(1.0, "gateway-up", name)
            entries += [
                (1.0, "", "started"),
                *((2.0, other, "found") for other in self.logs if other != name),
            ]

    def add_record(self, time_ms: float, what: str, gateway: str = "") -> None:
        self.record.append({"t": time_ms, "who": "day", "what": what, "gateway": gateway})

    def add_log_entry(self, time_ms: float, viewer: str, member: str, code: str) -> None:
        self.logs[viewer].append((time_ms, member, code))

    def violations(self) -> list[str]:
        self.record.append({"t": 40_000.0, "who": "day", "what": "settled", "views": {}})
        for name, entries in self.logs.items():
            rows = [
                {"timestamp": time_ms / 1000, "event": "started"}
                if code == "started"
                else {"timestamp": time_ms / 1000, "event": log_event(code, member), "member": member}
                for time_ms, member, code in sorted(entries)
            ]
            (self.directory / f"{name}.log").write_text("\n".join(map(json.dumps, rows)))
        return [
            f"{rule}: {violation}"
            for rule, violation in MembershipChecker(self.day, self.record, self.directory)
            .verdict()
            .violations
        ]


def test_a_day_without_faults_has_no_violation(tmp_path):
    assert not RecordedDay(tmp_path).violations()


def test_a_running_member_that_a_view_holds_dead_is_a_violation(tmp_path):
    recorded = RecordedDay(tmp_path)
    recorded.add_log_entry(5000.0, "gateway-0", "gateway-1", "dead")
    recorded.add_log_entry(30_000.0, "gateway-0", "gateway-1", "alive")
    assert [violation for violation in recorded.violations() if violation.startswith("0:")]


def test_a_gateway_cut_off_from_all_others_may_hold_them_dead(tmp_path):
    recorded = RecordedDay(tmp_path)
    pairs = [["gateway-0", x] for x in ("gateway-1", "gateway-2")] + [
        [x, "gateway-0"] for x in ("gateway-1", "gateway-2")
    ]
    recorded.record.append(
        {"t": 4000.0, "who": "links", "what": "set", "pairs": pairs, "fault": {"cut": True}}
    )
    recorded.record.append({"t": 19_000.0, "who": "links", "what": "set", "pairs": pairs, "fault": {}})
    recorded.add_log_entry(5000.0, "gateway-0", "gateway-1", "dead")
    recorded.add_log_entry(20_000.0, "gateway-0", "gateway-1", "alive")
    assert not recorded.violations()


def test_a_death_that_a_view_did_not_learn_of_is_a_violation(tmp_path):
    recorded = RecordedDay(tmp_path)
    recorded.add_record(5000.0, "gateway-down", "gateway-1")
    recorded.add_record(16_000.0, "gateway-up", "gateway-1")
    recorded.logs["gateway-1"] += [
        (16_000.0, "", "started"),
        *((16_001.0, f"gateway-{n}", "found") for n in (0, 2)),
    ]
    recorded.add_log_entry(8000.0, "gateway-0", "gateway-1", "dead")
    for viewer in ("gateway-0", "gateway-2"):
        recorded.add_log_entry(20_500.0, viewer, "gateway-1", "started-anew")
    assert [violation for violation in recorded.violations() if violation.startswith("1: gateway-2")] and len(
        recorded.violations()
    ) == 1


def test_views_that_differ_at_the_end_are_a_violation(tmp_path):
    recorded = RecordedDay(tmp_path)
    recorded.add_log_entry(39_000.0, "gateway-2", "gateway-0", "dead")
    assert [violation for violation in recorded.violations() if violation.startswith("2:")]


@pytest.mark.parametrize(
    "fault, least, most",
    [(Fault(), 300, 300), (Fault(cut=True), 0, 0), (Fault(loss=0.3), 150, 260), (Fault(loss=0.3, burst=6.0), 110, 290),
     (Fault(copies=1.0), 600, 600), (Fault(large=10), 0, 0), (Fault(datagrams=False), 0, 0), (Fault(streams=False), 300, 300)],
)  # fmt: skip
def test_a_link_applies_its_fault(fault, least, most):
    async def scenario() -> int:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as b,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as a,
        ):
            b.bind(("127.0.0.1", 0))
            b.setblocking(False)
            links = Links(["a", "b"], 1, Record(), lambda name: b.getsockname()[1] if name == "b" else 0)
            await links.start()
            links.set_fault([("a", "b")], fault)
            host, port = links.peers("a")["b"].split(":")
            received = 0
            for number in range(300):
                a.sendto(b"x" * 100 + bytes([number % 256]), (host, int(port)))
                if number % 20 == 19:
                    await asyncio.sleep(0.01)
                    received += _drain(b)
            for _ in range(20):
                await asyncio.sleep(0.01)
                received += _drain(b)
            links.close()
            return received

    assert least <= asyncio.run(scenario()) <= most


def _drain(sock: socket.socket) -> int:
    count = 0
    while True:
        try:
            sock.recv(2000)
        except BlockingIOError:
            return count
        count += 1


def test_an_idle_connection_is_checked_beyond_the_descriptors_that_select_supports():
    """With over 1024 descriptors in one process, as in five days of eight gateways, select failed and ended the day."""
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


def test_the_same_seed_generates_the_same_day():
    one, other = (msgspec.json.encode(script.fleet_day(7, gateways=8)) for _ in range(2))
    assert one == other != msgspec.json.encode(script.fleet_day(8, gateways=8))
