"""The membership agent on real sockets: joining, keys, unauthenticated senders, the member cache, the command."""

from __future__ import annotations

import base64
import json
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import pytest
import rig as rigs
from click.testing import CliRunner

from winchdyke.admin import keys
from winchdyke.cli import fleet as command
from winchdyke.config.loading import load_file
from winchdyke.config.meaning import diff
from winchdyke.config.model import Config, Fleet, Listen
from winchdyke.config_rollout.hot_reload import requiring_restart
from winchdyke.discovery.seeds import GatewaySeeds
from winchdyke.membership import datagrams, member_cache
from winchdyke.membership.agent import MembershipAgent
from winchdyke.membership.errors import MembershipError
from winchdyke.membership.resolver import (
    ADDRESS_TTL_MS,
    MAX_HOST_NAMES,
    RETRY_DELAY_MS,
    AddressResolver,
    QueuedDatagram,
    Resolution,
)
from winchdyke.standins.nodelist import ListService
from winchdyke.standins.record import Record

BASE = Path(__file__).resolve().parent.parent / "winchdyke" / "config" / "defaults.conf"


def secret(number: int) -> str:
    return base64.b64encode(bytes([number]) * 32).decode()


def ring(path: Path, *numbers: int) -> None:
    keys.write_keys(path, [keys.Key(f"k{number}", secret(number), "fleet") for number in numbers])


def config(where: Path, name: str, **more: Any) -> Config:
    if not (where / "keys").exists():
        ring(where / "keys", 1)
    base = load_file(BASE).config
    fleet = Fleet(
        Listen("127.0.0.1", 0), keys=str(where / "keys"), interval=100.0, timeout=40.0, exchange=1000.0
    )
    gateway = replace(base.gateway, name=name, gateways=3)
    peers = more.pop("peers", ())
    return replace(base, gateway=gateway, fleet=replace(fleet, **more), peers=peers)


@asynccontextmanager
async def running(*nodes: MembershipAgent) -> AsyncIterator[None]:
    async with anyio.create_task_group() as group:
        for node in nodes:
            if node.protocol is None:
                await node.open()
            group.start_soon(node.run)
        try:
            yield
        finally:
            group.cancel_scope.cancel()
    for node in nodes:
        await node.close()


async def until(what: Callable[[], bool]) -> None:
    with anyio.fail_after(15):
        while not what():
            await anyio.sleep(0.02)


def clock() -> float:
    return time.monotonic() * 1000


def states(node: MembershipAgent) -> dict[str, str]:
    return {row["name"]: row["state"] for row in node.status()["members"]}


def test_two_gateways_join_through_one_seed_and_a_leave_is_received(tmp_path):
    async def play() -> None:
        one = MembershipAgent(config(tmp_path, "one"), clock)
        await one.open()
        two = MembershipAgent(config(tmp_path, "two", seeds=(Listen(*one.address),)), clock)
        async with running(one, two):
            await until(lambda: states(one) == {"two": "alive"} and states(two) == {"one": "alive"})
            await until(lambda: one.status()["members"][0]["link"] == "both")
            assert one.status()["members"][0]["heard_ms"] < 5000
            two.leave()
            await until(lambda: states(one) == {"two": "left"})

    anyio.run(play)


def test_seeds_from_a_list_service_are_joined_though_it_fails_at_first_and_for_good_later(
    tmp_path,
):
    """One is named while two is alone; then three is, in service; then the service is down and the fleet stays."""

    async def play() -> None:
        async with anyio.create_task_group() as group:
            service = ListService(Record())
            await service.start(group)
            service.failing = "error"
            nodes = [MembershipAgent(config(tmp_path, name), clock) for name in ("one", "two", "three")]
            one, two, three = nodes
            async with running(one, two):
                for node in (one, two):
                    group.start_soon(follows(node, service).run)
                await until(lambda: service.refused >= 2)
                assert states(one) == states(two) == {} and two.status()["alone"]
                service.failing = ""
                await service.set(shown(one), "ready", 0, "")
                await until(lambda: states(one) == {"two": "alive"} and states(two) == {"one": "alive"})
                async with running(three):
                    third = follows(three, service)
                    group.start_soon(third.run)
                    await until(lambda: states(three) == {"one": "alive", "two": "alive"})
                    await service.set(shown(one), "draining", 0, "")
                    await service.set(shown(three), "ready", 0, "")
                    await until(lambda: two.protocol.seeds == three.protocol.seeds == (shown(three),))
                    service.kill()
                    await until(lambda: third._failures >= 1)
                    assert three.protocol.seeds == (shown(three),), "what was said last goes on counting"
                    await until(lambda: states(two) == {"one": "alive", "three": "alive"})
            group.cancel_scope.cancel()

    anyio.run(play)


def test_a_serving_gateway_takes_seeds_from_the_list_of_its_settings(tmp_path):
    async def play() -> None:
        async with anyio.create_task_group() as group:
            service = ListService(Record())
            await service.start(group)
            where = ("127.0.0.1", service.port, "/gateways")
            serving = replace(rigs.settings(), fleet=config(tmp_path, "-", list=where).fleet)
            one = MembershipAgent(config(tmp_path, "one"), clock)
            async with running(one), rigs.rig(serving) as it:
                assert it.gateway.membership_agent is not None
                await service.set(shown(one), "ready", 0, "")
                await until(lambda: states(it.gateway.membership_agent) == {"one": "alive"})
            group.cancel_scope.cancel()

    anyio.run(play)


def test_seeds_of_settings_peers_disk_and_list_add_up(tmp_path):
    async def play() -> None:
        member_cache.save(
            tmp_path / "keep",
            member_cache.KnownMembers("one", 1, [member_cache.KnownMember("two", "10.0.0.2:1")]),
        )
        seeds, peer = (Listen("10.0.0.3", 1),), ("four", Listen("10.0.0.4", 1))
        one = MembershipAgent(
            config(tmp_path, "one", seeds=seeds, keep=str(tmp_path / "keep"), peers=(peer,)), clock
        )
        await one.open()
        given = ["10.0.0.3:1", "10.0.0.4:1", "10.0.0.2:1"]
        assert list(one.protocol.seeds) == given
        one.set_listed_seeds(("10.0.0.5:1", "10.0.0.3:1"))
        assert list(one.protocol.seeds) == [*given, "10.0.0.5:1"]
        one.update_config(replace(one.config, peers=()))
        assert (
            list(one.protocol.seeds) == ["10.0.0.3:1", "10.0.0.2:1", "10.0.0.5:1"]
            and one.protocol.address_overrides == {}
        )
        await one.close()

    anyio.run(play)


def follows(node: MembershipAgent, service: ListService) -> GatewaySeeds:
    where = ("127.0.0.1", service.port, "/gateways")
    return GatewaySeeds(where, node.config.nodes, node.config.gateway.name, clock, node.set_listed_seeds)


def shown(node: MembershipAgent) -> str:
    return f"{node.address[0]}:{node.address[1]}"


class Sends:
    """A socket that keeps which hosts were sent to."""

    def __init__(self, inner: socket.socket) -> None:
        self.inner, self.hosts = inner, set[str]()

    def sendto(self, data: bytes, where: tuple[str, int]) -> int:
        self.hosts.add(where[0])
        return self.inner.sendto(data, where)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


def test_a_peer_with_a_host_name_is_joined_and_no_send_blocks_on_a_name_server(tmp_path, monkeypatch):
    """The system looks a name up within sendto: with a name server that is silent, no request is served meanwhile."""
    asked = list[str]()
    answers = anyio.Event()
    real = anyio.getaddrinfo

    async def looked_up(host, port, **more):
        if host != "gateway-one.example":
            return await real(host, port, **more)
        asked.append(host)
        await answers.wait()
        return await real("127.0.0.1", port, **more)

    monkeypatch.setattr(anyio, "getaddrinfo", looked_up)
    monkeypatch.setattr("anyio._core._sockets.getaddrinfo", looked_up)  # what its connections use

    async def play() -> None:
        one = MembershipAgent(config(tmp_path, "one"), clock)
        await one.open()
        peer = ("one", Listen("gateway-one.example", one.address[1]))
        two = MembershipAgent(config(tmp_path, "two", seeds=(Listen(*one.address),), peers=(peer,)), clock)
        await two.open()
        sends = Sends(two.transport._udp)
        two.transport._udp = sends  # type: ignore[assignment]
        async with running(one, two):
            await until(lambda: states(two) == {"one": "alive"} and bool(asked))
            assert not sends.hosts, "held, or lost as on the way, while nobody knows the address"
            answers.set()
            await until(lambda: "127.0.0.1" in sends.hosts)
            await until(lambda: two.status()["members"][0]["link"] == "both")
            assert sends.hosts == {"127.0.0.1"}

    anyio.run(play)


def test_host_names_are_looked_up_once_at_a_time_and_stay_known_while_lookups_fail():
    names = AddressResolver()
    assert names.resolve("10.0.0.1", "1", b"a", 0.0) == Resolution("10.0.0.1", False)
    assert names.resolve("::1", "1", b"a", 0.0) == Resolution("::1", False)
    assert names.resolve("gw", "1", b"a", 0.0) == Resolution("", True)
    assert names.resolve("gw", "2", b"b", 0.0) == Resolution("", False), "under way already"
    for _ in range(10):
        names.resolve("gw", "2", b"c", 0.0)
    assert names.lookup_finished("gw", "10.0.0.2", 1.0) == [
        QueuedDatagram("1", b"a"),
        QueuedDatagram("2", b"b"),
        QueuedDatagram("2", b"c"),
        QueuedDatagram("2", b"c"),
    ]
    assert names.resolve("gw", "1", b"d", 2.0) == Resolution("10.0.0.2", False)
    assert names.resolve("gw", "1", b"d", 1.0 + ADDRESS_TTL_MS) == Resolution("10.0.0.2", True), (
        "used while it is looked up anew"
    )
    assert names.lookup_finished("gw", "", 40_000.0) == []
    assert names.resolve("gw", "1", b"d", 40_001.0) == Resolution("10.0.0.2", False), (
        "no name server: as it was"
    )
    assert names.resolve("gw", "1", b"d", 40_000.0 + RETRY_DELAY_MS) == Resolution("10.0.0.2", True)
    assert names.lookup_finished("gw", "10.0.0.3", 43_000.0) == []
    assert names.resolve("gw", "1", b"d", 43_001.0) == Resolution("10.0.0.3", False), "it has moved"
    assert names.resolve("lost", "1", b"e", 0.0) == Resolution("", True)
    assert names.lookup_finished("lost", "", 1.0) == [] and names.resolve(
        "lost", "1", b"e", 2.0
    ) == Resolution("", False)
    for number in range(2 * MAX_HOST_NAMES):
        names.resolve(f"host-{number}", "1", b"", 0.0)
    assert len(names._hosts) == MAX_HOST_NAMES


def test_a_peer_added_in_service_is_joined(tmp_path):
    async def play() -> None:
        one, two = (MembershipAgent(config(tmp_path, name), clock) for name in ("one", "two"))
        async with running(one, two):
            await anyio.sleep(0.3)
            assert states(one) == {} and one.status()["alone"]
            one.update_config(replace(one.config, peers=(("two", Listen(*two.address)),)))
            await until(lambda: states(one) == {"two": "alive"} and states(two) == {"one": "alive"})

    anyio.run(play)


def test_seeds_added_in_service_are_contacted_and_other_keys_of_the_block_need_a_restart(tmp_path):
    async def play() -> None:
        one, two = (MembershipAgent(config(tmp_path, name), clock) for name in ("one", "two"))
        async with running(one, two):
            await until(lambda: one.protocol is not None and two.protocol is not None)
            assert states(one) == {} and one.status()["alone"]
            fleet = replace(one.config.fleet, seeds=(Listen(*two.address),))
            after = replace(one.config, fleet=fleet)
            assert requiring_restart(diff(one.config, after)) == []
            assert requiring_restart(
                diff(one.config, replace(after, fleet=replace(fleet, interval=300.0)))
            ) == ["fleet interval"]
            one.update_config(after)
            await until(lambda: states(one) == {"two": "alive"} and states(two) == {"one": "alive"})

    anyio.run(play)


def test_keys_rotate_in_service_and_a_withdrawn_key_opens_nothing(tmp_path):
    async def play() -> None:
        one, two = (MembershipAgent(config(tmp_path, name), clock) for name in ("one", "two"))
        await one.open()
        two.config = replace(two.config, peers=(("one", Listen(*one.address)),))
        async with running(one, two):
            await until(lambda: bool(states(one)) and bool(states(two)))
            for numbers in ((1, 2), (2, 1), (2,)):
                ring(tmp_path / "keys", *numbers)
                await anyio.sleep(1.3)
            sealed = [key.id for key in one.keys.ring.valid_keys(time.time() * 1000)]
            assert sealed == ["k2"]
            await anyio.sleep(0.5)
            assert states(one) == {"two": "alive"} and one.status()["members"][0]["heard_ms"] < 1000
            message = datagrams.SwimMessage("two", 1, 1, "one", int(datagrams.MessageKind.PING))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.sendto(datagrams.seal(message, base64.b64decode(secret(1))), one.address)
                await until(lambda: one.counts["dropped:seal"] == 1)

    anyio.run(play)


def test_unauthenticated_datagrams_are_counted_and_not_answered(tmp_path):
    async def play() -> None:
        one = MembershipAgent(config(tmp_path, "one"), clock)
        async with running(one):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                stranger.bind(("127.0.0.1", 0))
                stranger.setblocking(False)
                for data in (
                    b"",
                    b"hello",
                    b"x" * 1500,
                    b"WF\x01\x00" + b"y" * 60,
                    b"WF\x09\x00" + b"y" * 60,
                ):
                    stranger.sendto(data, one.address)
                await until(
                    lambda: sum(n for what, n in one.counts.items() if what.startswith("dropped")) == 5
                )
                await anyio.sleep(0.2)
                with pytest.raises(BlockingIOError):
                    stranger.recv(100)
            async with await anyio.connect_tcp(*one.address) as stream:
                await stream.send(b"\xff\xff\xff\xff" + b"z" * 100)  # an exchange of 4 GiB
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(5):
                    await stream.receive()
            assert one.counts["dropped:too-long"] == 2 and set(states(one)) == set()

    anyio.run(play)


def test_a_failed_start_says_why_and_what_to_do(tmp_path):
    async def play() -> None:
        with pytest.raises(MembershipError, match="see fleet, keys"):
            await MembershipAgent(config(tmp_path, "one", keys=str(tmp_path / "none")), clock).open()
        (tmp_path / "open").write_text("{}")
        (tmp_path / "open").chmod(0o644)
        with pytest.raises(MembershipError, match="chmod 600"):
            await MembershipAgent(config(tmp_path, "one", keys=str(tmp_path / "open")), clock).open()
        with pytest.raises(MembershipError, match=r"gateway, name is .* 64 bytes"):
            await MembershipAgent(config(tmp_path, "n" * 65), clock).open()
        with pytest.raises(MembershipError, match="give HOST:PORT"):
            await MembershipAgent(config(tmp_path, "one", advertise="here"), clock).open()
        one = MembershipAgent(config(tmp_path, "one"), clock)
        await one.open()
        with pytest.raises(MembershipError, match="see fleet, listen"):
            await MembershipAgent(config(tmp_path, "two", listen=Listen(*one.address)), clock).open()
        await one.close()

    anyio.run(play)


def test_cached_members_are_joined_without_seeds_and_generations_only_rise(tmp_path):
    async def play() -> None:
        one = MembershipAgent(config(tmp_path, "one"), clock)
        await one.open()
        two = MembershipAgent(
            config(tmp_path, "two", seeds=(Listen(*one.address),), keep=str(tmp_path / "kept")), clock
        )
        async with running(one, two):
            await until(lambda: (tmp_path / "kept" / member_cache.FILE_NAME).exists() and bool(states(two)))
            await until(
                lambda: bool(
                    (member_cache.load(tmp_path / "kept")[0] or member_cache.KnownMembers("x", 0)).members
                )
            )
            kept, wrong = member_cache.load(tmp_path / "kept")
            assert kept is not None and not wrong and [each.name for each in kept.members] == ["one"]
        far = member_cache.KnownMembers("two", (1 << 60), kept.members)  # a clock that was years ahead
        member_cache.save(tmp_path / "kept", far)
        again = MembershipAgent(config(tmp_path, "two", keep=str(tmp_path / "kept")), clock)
        await again.open()
        assert again.protocol is not None and again.protocol.generation > 1 << 60
        assert again.protocol.seeds == (f"127.0.0.1:{one.address[1]}",)
        await again.close()
        (tmp_path / "kept" / member_cache.FILE_NAME).write_bytes(b"{cut")
        assert member_cache.load(tmp_path / "kept")[1].startswith(str(tmp_path))

    anyio.run(play)


STANDING = {
    "own": "one", "address": "10.0.0.1:7", "zone": "a", "life": 5, "incarnation": 0, "version": 3, "alive": 2, "alone": False,
    "left": False, "health": 2, "slept_ms": 0, "event": {"text": "zone b unreachable", "since_ms": 4000.0}, "counts": {},
    "members": [
        {"name": "two", "address": "10.0.0.2:7", "zone": "b", "index": 9, "life": 6, "incarnation": 1, "state": "cut",
         "since_ms": 200_000, "by": "two", "link": "deaf", "link_since_ms": 10, "heard_ms": None, "index_known": False},
    ],
    "history": [{"unix_ms": 1_700_000_000_000, "code": "found", "member": "two", "text": "at 10.0.0.2:7"}],
}  # fmt: skip


def test_the_command_shows_explains_and_watches(monkeypatch):
    monkeypatch.setattr(command, "_fetch_status", lambda where, key: STANDING)

    def said(*words: str) -> str:
        done = CliRunner().invoke(command.command, list(words))
        assert done.exit_code == 0, done.output
        return done.output

    shown = said("show", "unix:x")
    assert "2 of 2 there" in shown and "zone b unreachable since 4.0 s ago" in shown and "health 2" in shown
    assert "never" in shown and "(index 9 is not in the settings)" in shown and "3 min" in shown
    assert json.loads(said("show", "unix:x", "--json"))["own"] == "one"
    explained = said("explain", "two", "unix:x")
    assert "it does not hear this gateway" in explained and "found" in explained
    assert "found" in said("history", "unix:x") and said("history", "unix:x", "--member", "none") == ""
    assert said("watch", "unix:x", "--times", "2", "--every", "0.2").count("found") == 1
    failed = CliRunner().invoke(command.command, ["explain", "none", "unix:x"])
    assert failed.exit_code == 1 and "knows no none; it knows two" in failed.output


def test_the_command_reports_a_gateway_that_does_not_answer(tmp_path):
    done = CliRunner().invoke(command.command, ["show", f"unix:{tmp_path}/none"])
    assert done.exit_code == 1 and "no gateway answers" in done.output and "Traceback" not in done.output
