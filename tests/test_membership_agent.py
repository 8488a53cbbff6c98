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
from winchdyke.config.model import Config, Fleet, Listen
from winchdyke.config.semantic_diff import diff
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

DEFAULTS_FILE = Path(__file__).resolve().parent.parent / "winchdyke" / "config" / "defaults.conf"


def encoded_secret(number: int) -> str:
    return base64.b64encode(bytes([number]) * 32).decode()


def write_key_file(path: Path, *numbers: int) -> None:
    keys.write_keys(path, [keys.Key(f"k{number}", encoded_secret(number), "fleet") for number in numbers])


def config(directory: Path, name: str, **changes: Any) -> Config:
    if not (directory / "keys").exists():
        write_key_file(directory / "keys", 1)
    base = load_file(DEFAULTS_FILE).config
    fleet = Fleet(
        Listen("127.0.0.1", 0), keys=str(directory / "keys"), interval=100.0, timeout=40.0, exchange=1000.0
    )
    gateway = replace(base.gateway, name=name, gateways=3)
    peers = changes.pop("peers", ())
    return replace(base, gateway=gateway, fleet=replace(fleet, **changes), peers=peers)


@asynccontextmanager
async def running_agents(*agents: MembershipAgent) -> AsyncIterator[None]:
    async with anyio.create_task_group() as group:
        for agent in agents:
            if agent.protocol is None:
                await agent.open()
            group.start_soon(agent.run)
        try:
            yield
        finally:
            group.cancel_scope.cancel()
    for agent in agents:
        await agent.close()


async def wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(15):
        while not condition():
            await anyio.sleep(0.02)


def clock() -> float:
    return time.monotonic() * 1000


def member_states(agent: MembershipAgent) -> dict[str, str]:
    return {row["name"]: row["state"] for row in agent.status()["members"]}


def test_two_gateways_join_through_one_seed_and_a_leave_is_received(tmp_path):
    async def scenario() -> None:
        one = MembershipAgent(config(tmp_path, "one"), clock)
        await one.open()
        two = MembershipAgent(config(tmp_path, "two", seeds=(Listen(*one.address),)), clock)
        async with running_agents(one, two):
            await wait_until(
                lambda: member_states(one) == {"two": "alive"} and member_states(two) == {"one": "alive"}
            )
            await wait_until(lambda: one.status()["members"][0]["link"] == "both")
            assert one.status()["members"][0]["heard_ms"] < 5000
            two.leave()
            await wait_until(lambda: member_states(one) == {"two": "left"})

    anyio.run(scenario)


def test_seeds_from_a_list_service_are_joined_despite_failures_of_the_service(tmp_path):
    """The service fails first, then lists "one", then only "three" as ready, then stops; the members stay joined."""

    async def scenario() -> None:
        async with anyio.create_task_group() as group:
            service = ListService(Record())
            await service.start(group)
            service.failing = "error"
            agents = [MembershipAgent(config(tmp_path, name), clock) for name in ("one", "two", "three")]
            one, two, three = agents
            async with running_agents(one, two):
                for agent in (one, two):
                    group.start_soon(gateway_seeds(agent, service).run)
                await wait_until(lambda: service.error_count >= 2)
                assert member_states(one) == member_states(two) == {} and two.status()["alone"]
                service.failing = ""
                await service.set(address_text(one), "ready", 0, "")
                await wait_until(
                    lambda: member_states(one) == {"two": "alive"} and member_states(two) == {"one": "alive"}
                )
                async with running_agents(three):
                    seeds_of_three = gateway_seeds(three, service)
                    group.start_soon(seeds_of_three.run)
                    await wait_until(lambda: member_states(three) == {"one": "alive", "two": "alive"})
                    await service.set(address_text(one), "draining", 0, "")
                    await service.set(address_text(three), "ready", 0, "")
                    await wait_until(
                        lambda: two.protocol.seeds == three.protocol.seeds == (address_text(three),)
                    )
                    service.kill()
                    await wait_until(lambda: seeds_of_three._failures >= 1)
                    assert three.protocol.seeds == (address_text(three),), "the last list stays valid"
                    await wait_until(lambda: member_states(two) == {"one": "alive", "three": "alive"})
            group.cancel_scope.cancel()

    anyio.run(scenario)


def test_a_running_gateway_joins_seeds_from_its_configured_gateway_list(tmp_path):
    async def scenario() -> None:
        async with anyio.create_task_group() as group:
            service = ListService(Record())
            await service.start(group)
            address = ("127.0.0.1", service.port, "/gateways")
            settings = replace(rigs.settings(), fleet=config(tmp_path, "-", list=address).fleet)
            one = MembershipAgent(config(tmp_path, "one"), clock)
            async with running_agents(one), rigs.rig(settings) as it:
                assert it.gateway.membership_agent is not None
                await service.set(address_text(one), "ready", 0, "")
                await wait_until(lambda: member_states(it.gateway.membership_agent) == {"one": "alive"})
            group.cancel_scope.cancel()

    anyio.run(scenario)


def test_seeds_from_settings_peers_cache_and_list_are_combined(tmp_path):
    async def scenario() -> None:
        member_cache.save(
            tmp_path / "keep",
            member_cache.KnownMembers("one", 1, [member_cache.KnownMember("two", "10.0.0.2:1")]),
        )
        seeds, peer = (Listen("10.0.0.3", 1),), ("four", Listen("10.0.0.4", 1))
        one = MembershipAgent(
            config(tmp_path, "one", seeds=seeds, keep=str(tmp_path / "keep"), peers=(peer,)), clock
        )
        await one.open()
        expected = ["10.0.0.3:1", "10.0.0.4:1", "10.0.0.2:1"]
        assert list(one.protocol.seeds) == expected
        one.set_listed_seeds(("10.0.0.5:1", "10.0.0.3:1"))
        assert list(one.protocol.seeds) == [*expected, "10.0.0.5:1"]
        one.update_config(replace(one.config, peers=()))
        assert (
            list(one.protocol.seeds) == ["10.0.0.3:1", "10.0.0.2:1", "10.0.0.5:1"]
            and one.protocol.address_overrides == {}
        )
        await one.close()

    anyio.run(scenario)


def gateway_seeds(agent: MembershipAgent, service: ListService) -> GatewaySeeds:
    address = ("127.0.0.1", service.port, "/gateways")
    return GatewaySeeds(address, agent.config.nodes, agent.config.gateway.name, clock, agent.set_listed_seeds)


def address_text(agent: MembershipAgent) -> str:
    return f"{agent.address[0]}:{agent.address[1]}"


class RecordingSocket:
    """A socket that records the hosts to which datagrams are sent."""

    def __init__(self, inner: socket.socket) -> None:
        self.inner, self.hosts = inner, set[str]()

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        self.hosts.add(address[0])
        return self.inner.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


def test_a_peer_with_a_host_name_is_joined_and_no_send_blocks_on_a_name_server(tmp_path, monkeypatch):
    """With a host name, sendto would look the name up itself: a silent name server would block the event loop."""
    lookups = list[str]()
    name_server_answers = anyio.Event()
    real_getaddrinfo = anyio.getaddrinfo

    async def fake_getaddrinfo(host, port, **options):
        if host != "gateway-one.example":
            return await real_getaddrinfo(host, port, **options)
        lookups.append(host)
        await name_server_answers.wait()
        return await real_getaddrinfo("127.0.0.1", port, **options)

    monkeypatch.setattr(anyio, "getaddrinfo", fake_getaddrinfo)
    monkeypatch.setattr("anyio._core._sockets.getaddrinfo", fake_getaddrinfo)  # used by anyio's connect_tcp

    async def scenario() -> None:
        one = MembershipAgent(config(tmp_path, "one"), clock)
        await one.open()
        peer = ("one", Listen("gateway-one.example", one.address[1]))
        two = MembershipAgent(config(tmp_path, "two", seeds=(Listen(*one.address),), peers=(peer,)), clock)
        await two.open()
        sending = RecordingSocket(two.transport._udp)
        two.transport._udp = sending  # type: ignore[assignment]
        async with running_agents(one, two):
            await wait_until(lambda: member_states(two) == {"one": "alive"} and bool(lookups))
            assert not sending.hosts, "datagrams are queued or dropped until the address is known"
            name_server_answers.set()
            await wait_until(lambda: "127.0.0.1" in sending.hosts)
            await wait_until(lambda: two.status()["members"][0]["link"] == "both")
            assert sending.hosts == {"127.0.0.1"}

    anyio.run(scenario)


def test_host_names_are_looked_up_once_at_a_time_and_stay_known_while_lookups_fail():
    resolver = AddressResolver()
    assert resolver.resolve("10.0.0.1", "1", b"a", 0.0) == Resolution("10.0.0.1", False)
    assert resolver.resolve("::1", "1", b"a", 0.0) == Resolution("::1", False)
    assert resolver.resolve("gw", "1", b"a", 0.0) == Resolution("", True)
    assert resolver.resolve("gw", "2", b"b", 0.0) == Resolution("", False), (
        "the lookup is already in progress"
    )
    for _ in range(10):
        resolver.resolve("gw", "2", b"c", 0.0)
    assert resolver.lookup_finished("gw", "10.0.0.2", 1.0) == [
        QueuedDatagram("1", b"a"),
        QueuedDatagram("2", b"b"),
        QueuedDatagram("2", b"c"),
        QueuedDatagram("2", b"c"),
    ]
    assert resolver.resolve("gw", "1", b"d", 2.0) == Resolution("10.0.0.2", False)
    assert resolver.resolve("gw", "1", b"d", 1.0 + ADDRESS_TTL_MS) == Resolution("10.0.0.2", True), (
        "the old address is used during the new lookup"
    )
    assert resolver.lookup_finished("gw", "", 40_000.0) == []
    assert resolver.resolve("gw", "1", b"d", 40_001.0) == Resolution("10.0.0.2", False), (
        "a failed lookup keeps the old address"
    )
    assert resolver.resolve("gw", "1", b"d", 40_000.0 + RETRY_DELAY_MS) == Resolution("10.0.0.2", True)
    assert resolver.lookup_finished("gw", "10.0.0.3", 43_000.0) == []
    assert resolver.resolve("gw", "1", b"d", 43_001.0) == Resolution("10.0.0.3", False), (
        "the host has a new address"
    )
    assert resolver.resolve("lost", "1", b"e", 0.0) == Resolution("", True)
    assert resolver.lookup_finished("lost", "", 1.0) == [] and resolver.resolve(
        "lost", "1", b"e", 2.0
    ) == Resolution("", False)
    for number in range(2 * MAX_HOST_NAMES):
        resolver.resolve(f"host-{number}", "1", b"", 0.0)
    assert len(resolver._hosts) == MAX_HOST_NAMES


def test_a_peer_added_at_runtime_is_joined(tmp_path):
    async def scenario() -> None:
        one, two = (MembershipAgent(config(tmp_path, name), clock) for name in ("one", "two"))
        async with running_agents(one, two):
            await anyio.sleep(0.3)
            assert member_states(one) == {} and one.status()["alone"]
            one.update_config(replace(one.config, peers=(("two", Listen(*two.address)),)))
            await wait_until(
                lambda: member_states(one) == {"two": "alive"} and member_states(two) == {"one": "alive"}
            )

    anyio.run(scenario)


def test_seeds_added_at_runtime_are_contacted_and_other_fleet_keys_need_a_restart(tmp_path):
    async def scenario() -> None:
        one, two = (MembershipAgent(config(tmp_path, name), clock) for name in ("one", "two"))
        async with running_agents(one, two):
            await wait_until(lambda: one.protocol is not None and two.protocol is not None)
            assert member_states(one) == {} and one.status()["alone"]
            fleet = replace(one.config.fleet, seeds=(Listen(*two.address),))
            after = replace(one.config, fleet=fleet)
            assert requiring_restart(diff(one.config, after)) == []
            assert requiring_restart(
                diff(one.config, replace(after, fleet=replace(fleet, interval=300.0)))
            ) == ["fleet interval"]
            one.update_config(after)
            await wait_until(
                lambda: member_states(one) == {"two": "alive"} and member_states(two) == {"one": "alive"}
            )

    anyio.run(scenario)


def test_keys_rotate_at_runtime_and_a_withdrawn_key_is_rejected(tmp_path):
    async def scenario() -> None:
        one, two = (MembershipAgent(config(tmp_path, name), clock) for name in ("one", "two"))
        await one.open()
        two.config = replace(two.config, peers=(("one", Listen(*one.address)),))
        async with running_agents(one, two):
            await wait_until(lambda: bool(member_states(one)) and bool(member_states(two)))
            for numbers in ((1, 2), (2, 1), (2,)):
                write_key_file(tmp_path / "keys", *numbers)
                await anyio.sleep(1.3)
            sealed = [key.id for key in one.keys.ring.valid_keys(time.time() * 1000)]
            assert sealed == ["k2"]
            await anyio.sleep(0.5)
            assert member_states(one) == {"two": "alive"} and one.status()["members"][0]["heard_ms"] < 1000
            message = datagrams.SwimMessage("two", 1, 1, "one", int(datagrams.MessageKind.PING))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(datagrams.seal(message, base64.b64decode(encoded_secret(1))), one.address)
                await wait_until(lambda: one.counts["dropped:seal"] == 1)

    anyio.run(scenario)


def test_unauthenticated_datagrams_are_counted_and_not_answered(tmp_path):
    async def scenario() -> None:
        one = MembershipAgent(config(tmp_path, "one"), clock)
        async with running_agents(one):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.bind(("127.0.0.1", 0))
                sender.setblocking(False)
                for data in (
                    b"",
                    b"hello",
                    b"x" * 1500,
                    b"WF\x01\x00" + b"y" * 60,
                    b"WF\x09\x00" + b"y" * 60,
                ):
                    sender.sendto(data, one.address)
                await wait_until(
                    lambda: (
                        sum(count for counter, count in one.counts.items() if counter.startswith("dropped"))
                        == 5
                    )
                )
                await anyio.sleep(0.2)
                with pytest.raises(BlockingIOError):
                    sender.recv(100)
            async with await anyio.connect_tcp(*one.address) as stream:
                await stream.send(b"\xff\xff\xff\xff" + b"z" * 100)  # the length prefix of a message of 4 GiB
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(5):
                    await stream.receive()
            assert one.counts["dropped:too-long"] == 2 and set(member_states(one)) == set()

    anyio.run(scenario)


def test_a_failed_start_reports_the_cause_and_the_remedy(tmp_path):
    async def scenario() -> None:
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

    anyio.run(scenario)


def test_cached_members_are_joined_without_seeds_and_generations_only_increase(tmp_path):
    async def scenario() -> None:
        one = MembershipAgent(config(tmp_path, "one"), clock)
        await one.open()
        two = MembershipAgent(
            config(tmp_path, "two", seeds=(Listen(*one.address),), keep=str(tmp_path / "kept")), clock
        )
        async with running_agents(one, two):
            await wait_until(
                lambda: (tmp_path / "kept" / member_cache.FILE_NAME).exists() and bool(member_states(two))
            )
            await wait_until(
                lambda: bool(
                    (member_cache.load(tmp_path / "kept")[0] or member_cache.KnownMembers("x", 0)).members
                )
            )
            cached, problem = member_cache.load(tmp_path / "kept")
            assert cached is not None and not problem and [each.name for each in cached.members] == ["one"]
        # The stored generation comes from a clock that was years ahead.
        future = member_cache.KnownMembers("two", (1 << 60), cached.members)
        member_cache.save(tmp_path / "kept", future)
        restarted = MembershipAgent(config(tmp_path, "two", keep=str(tmp_path / "kept")), clock)
        await restarted.open()
        assert restarted.protocol is not None and restarted.protocol.generation > 1 << 60
        assert restarted.protocol.seeds == (f"127.0.0.1:{one.address[1]}",)
        await restarted.close()
        (tmp_path / "kept" / member_cache.FILE_NAME).write_bytes(b"{cut")
        assert member_cache.load(tmp_path / "kept")[1].startswith(str(tmp_path))

    anyio.run(scenario)


STATUS = {
    "own": "one", "address": "10.0.0.1:7", "zone": "a", "life": 5, "incarnation": 0, "version": 3, "alive": 2, "alone": False,
    "left": False, "health": 2, "slept_ms": 0, "event": {"text": "zone b unreachable", "since_ms": 4000.0}, "counts": {},
    "members": [
        {"name": "two", "address": "10.0.0.2:7", "zone": "b", "index": 9, "life": 6, "incarnation": 1, "state": "cut",
         "since_ms": 200_000, "by": "two", "link": "deaf", "link_since_ms": 10, "heard_ms": None, "index_known": False},
    ],
    "history": [{"unix_ms": 1_700_000_000_000, "code": "found", "member": "two", "text": "at 10.0.0.2:7"}],
}  # fmt: skip


def test_the_fleet_command_shows_explains_and_watches(monkeypatch):
    monkeypatch.setattr(command, "_fetch_status", lambda where, key: STATUS)

    def run_command(*words: str) -> str:
        done = CliRunner().invoke(command.command, list(words))
        assert done.exit_code == 0, done.output
        return done.output

    output = run_command("show", "unix:x")
    assert (
        "2 of 2 alive" in output and "zone b unreachable, began 4.0 s ago" in output and "health 2" in output
    )
    assert "never" in output and "(index 9 is not in the settings)" in output and "3 min" in output
    assert json.loads(run_command("show", "unix:x", "--json"))["own"] == "one"
    explanation = run_command("explain", "two", "unix:x")
    assert "it does not hear this gateway" in explanation and "found" in explanation
    assert (
        "found" in run_command("history", "unix:x")
        and run_command("history", "unix:x", "--member", "none") == ""
    )
    assert run_command("watch", "unix:x", "--times", "2", "--every", "0.2").count("found") == 1
    failed = CliRunner().invoke(command.command, ["explain", "none", "unix:x"])
    assert failed.exit_code == 1 and "one does not know none; known members: two" in failed.output


def test_the_fleet_command_reports_an_unreachable_gateway(tmp_path):
    done = CliRunner().invoke(command.command, ["show", f"unix:{tmp_path}/none"])
    assert done.exit_code == 1 and "no gateway answers" in done.output and "Traceback" not in done.output
