"""Membership: the disk, view and its checker, sources, and starts without discovery on sockets."""

from __future__ import annotations

import dataclasses
import json
import os
import time
from pathlib import Path

import anyio
import msgspec
import pytest
from host import measured
from rig import rig, run_async, settings

from winchdyke import interface as api
from winchdyke.discovery import cache
from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.endpoint_transitions import EndpointTransitions
from winchdyke.discovery.endpoint_view import EndpointView
from winchdyke.discovery.polling import POLL_BURST, PollRateLimiter, jittered_backoff_seconds
from winchdyke.discovery.records import CachedEndpoint, DiscoveryStatus, EndpointEvidence, ListedEndpoint
from winchdyke.model.checker import explore
from winchdyke.model.discovery import DiscoveryModel
from winchdyke.standins.dns import Dns

READY, DRAINING = api.EndpointStatus.READY, api.EndpointStatus.DRAINING
NAMES = [f"10.0.0.{n}:7" for n in range(6)]


def kept(count: int = 2, **changes: object) -> cache.CachedEndpointList:
    nodes = [
        msgspec.structs.replace(
            CachedEndpoint(
                name, n, identity=f"s{n}", status=DiscoveryStatus.USABLE, confirmed_unix_ms=1000.0 + n
            ),
            **changes,
        )
        for n, name in enumerate(NAMES[:count])
    ]
    return cache.CachedEndpointList(1e12, "g", nodes)


def view_of(count: int = 4, **bounds: float) -> EndpointView:
    view = EndpointView(DiscoveryBounds(**bounds))  # type: ignore[arg-type]
    view.apply_list(
        "list", [ListedEndpoint(name, READY, n) for n, name in enumerate(NAMES[:count])], 0.0, version=5
    )
    for name in NAMES[:count]:
        view.record_response(name, EndpointEvidence(f"id-{name}", "b1", 1e6), 1.0)
    return view


# The list on the disk


def test_a_list_cut_at_any_byte_or_damaged_anywhere_falls_back_to_the_one_before(tmp_path):
    cache.save(tmp_path, kept(1), False)
    cache.save(tmp_path, kept(2), True)
    whole = cache.generation_path(tmp_path, 0).read_bytes()
    for size in range(len(whole)):
        cache.generation_path(tmp_path, 0).write_bytes(whole[:size])
        found, said = cache.load(tmp_path)
        assert found is not None and len(found.endpoints) == 1
        assert "nodes.0" in said[0] and "nodes.1" in said[1]
    for at in range(len(whole)):
        cache.generation_path(tmp_path, 0).write_bytes(
            whole[:at] + bytes([whole[at] ^ 0x41]) + whole[at + 1 :]
        )
        found, said = cache.load(tmp_path)
        assert found is not None and len(found.endpoints) == 1 and said


def test_generations_keep_the_lists_before(tmp_path):
    for count in range(1, 6):
        cache.save(tmp_path, kept(count), True)
        cache.save(tmp_path, kept(count), False)
    assert [len(cache.read_generation(cache.generation_path(tmp_path, n)).endpoints) for n in range(3)] == [
        5,
        4,
        3,
    ]
    assert cache.load(tmp_path / "none") == (None, [])


def test_a_newer_format_and_lists_that_others_may_write_are_refused(tmp_path):
    cache.save(tmp_path, kept(1), False)
    where = cache.generation_path(tmp_path, 0)
    assert where.stat().st_mode & 0o777 == 0o600
    whole = where.read_bytes()
    where.write_bytes(whole[:7] + b"\x09" + whole[8:])
    assert "format 9" in cache.load(tmp_path)[1][0]
    where.write_bytes(whole)
    where.chmod(0o666)
    found, said = cache.load(tmp_path)
    assert found is None and "others may write to the file" in said[0] and "chmod" in said[0]
    where.chmod(0o600)
    tmp_path.chmod(0o777)
    assert "others may write to the folder" in cache.load(tmp_path)[1][0]
    tmp_path.chmod(0o700)


@pytest.mark.parametrize("call", ["open", "write", "fsync", "link"])
def test_a_kill_or_a_full_disk_at_any_step_of_writing_leaves_a_whole_list(tmp_path, monkeypatch, call):
    cache.save(tmp_path, kept(1), False)

    def broken(*_: object) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(f"winchdyke.discovery.cache.os.{call}", broken)
    with pytest.raises(OSError):
        cache.save(tmp_path, kept(3), True)
    monkeypatch.undo()
    found, said = cache.load(tmp_path)
    assert found is not None and len(found.endpoints) == 1 and not said
    cache.save(tmp_path, kept(3), True)
    assert len(cache.load(tmp_path)[0].endpoints) == 3


# Belief


def test_what_is_restored_is_tried_singly_the_one_confirmed_last_first_and_counts_as_cold():
    view = EndpointView(DiscoveryBounds(min_health_check_interval_ms=20.0))
    view.restore_cached(kept(3).endpoints, 0.0)
    assert view.take_changes() == []
    assert view.next_health_check(0.0) == NAMES[2]
    assert view.next_health_check(10.0) is None, "one at a time"
    assert view.next_health_check(20.0) == NAMES[1]
    assert view.record_response(NAMES[2], EndpointEvidence("s2"), 30.0)
    (node,) = view.take_changes()
    assert (node.name, node.started_at_ms) == (NAMES[2], 30.0), "no word on its age: cold from now on"
    assert view.record_response(NAMES[1], EndpointEvidence("s1", "b", 3_600_000.0), 40.0)
    assert view.take_changes()[0].started_at_ms == 0.0, "warm by its own word"
    view.record_connect_failure(NAMES[0], 50.0)
    assert not view.is_usable(NAMES[0])


def test_another_identity_at_an_address_is_sent_nothing_until_a_list_knows_it():
    view = view_of()
    assert not view.record_response(NAMES[0], EndpointEvidence("stranger", "b9", 1e6), 2.0)
    view.take_changes()
    view.apply_list(
        "list", [ListedEndpoint(name, READY, n) for n, name in enumerate(NAMES[:4])], 3.0, version=6
    )
    assert view.endpoints[NAMES[0]].status is DiscoveryStatus.ADDRESS_REUSED, "the list is late"
    entries = [
        ListedEndpoint(name, READY, n, identity="stranger" if not n else "")
        for n, name in enumerate(NAMES[:4])
    ]
    view.apply_list("list", entries, 4.0, version=7)
    assert view.is_usable(NAMES[0])


def test_an_empty_list_is_not_believed_while_the_nodes_answer_but_a_drain_is_kept():
    view = view_of(omission_grace_ms=1000.0)
    view.apply_list("list", [ListedEndpoint(NAMES[0], DRAINING, 0)], 5.0, version=6, complete=False)
    view.apply_list("list", [], 10.0, version=7)
    assert [view.is_usable(name) for name in NAMES[:4]] == [False, True, True, True]
    view.record_connect_failure(NAMES[1], 20.0)
    assert view.endpoints[NAMES[1]].status is DiscoveryStatus.REMOVED, "it does not answer: gone at once"
    view.tick(1010.0)
    assert not any(view.is_usable(name) for name in NAMES), "believed once it has stood long enough"


def test_one_node_left_out_is_gone_at_once():
    view = view_of()
    view.apply_list(
        "list", [ListedEndpoint(name, READY, n) for n, name in enumerate(NAMES[:3])], 10.0, version=6
    )
    assert [view.is_usable(name) for name in NAMES[:4]] == [True, True, True, False]


def test_versions_that_go_back_bring_nothing_back_and_take_nothing_away():
    view = view_of()
    view.apply_list(
        "list",
        [ListedEndpoint(NAMES[0], DRAINING, 0), ListedEndpoint(NAMES[1], api.EndpointStatus.REMOVED, 1)],
        5.0,
        version=6,
        complete=False,
    )
    old = [ListedEndpoint(name, READY, n) for n, name in enumerate(NAMES[:3])]
    view.apply_list("list", old, 10.0, version=3)
    states = [view.endpoints[name].status for name in NAMES[:4]]
    assert states == [
        DiscoveryStatus.DRAINING,
        DiscoveryStatus.UNCONFIRMED,
        DiscoveryStatus.USABLE,
        DiscoveryStatus.USABLE,
    ]
    assert any("went back" in note for note in view.warnings)
    # Two lists in turn: neither takes away what the other names.
    for turn in range(4):
        view.apply_list(
            "list",
            old if turn % 2 else [ListedEndpoint(NAMES[3], READY, 3), *old],
            20.0 + turn,
            version=3 + turn % 2,
        )
    assert view.is_usable(NAMES[3])


def test_a_drain_by_its_own_word_outlives_lists_that_do_not_know_it_and_ends_with_a_new_start():
    view = view_of()
    view.record_response(NAMES[0], EndpointEvidence(f"id-{NAMES[0]}", "b1", 1e6, True), 5.0)
    view.apply_list(
        "list", [ListedEndpoint(name, READY, n) for n, name in enumerate(NAMES[:4])], 6.0, version=6
    )
    assert view.endpoints[NAMES[0]].status is DiscoveryStatus.DRAINING
    view.record_response(NAMES[0], EndpointEvidence(f"id-{NAMES[0]}", "b2", 10.0), 7.0)
    assert view.endpoints[NAMES[0]].status is DiscoveryStatus.WARMING_UP


def test_all_doubtful_and_none_answers_is_tried_on_and_on_ever_more_rarely():
    view = EndpointView(
        DiscoveryBounds(min_health_check_interval_ms=1.0, initial_backoff_ms=100.0, max_backoff_ms=1000.0)
    )
    view.restore_cached(kept(2).endpoints, 0.0)
    tries: list[float] = []
    now = 0.0
    while now < 20_000:
        name = view.next_health_check(now)
        if name is not None:
            tries.append(now)
            view.record_connect_failure(name, now)
        now += 1.0
    assert 30 < len(tries) < 60
    assert len([at for at in tries if at > 10_000]) <= 2 * 11


def test_a_node_that_flaps_every_second_is_never_sent_to_while_it_drains():
    view = view_of()
    for turn in range(20):
        state = DRAINING if turn % 2 else READY
        view.apply_list(
            "list", [ListedEndpoint(NAMES[0], state, 0)], 1000.0 * turn, version=6 + turn, complete=False
        )
        assert view.is_usable(NAMES[0]) == (turn % 2 == 0)


def test_a_source_that_fails_hands_over_to_the_next_and_takes_over_again():
    view = EndpointView(DiscoveryBounds(), ("list", "file"))
    view.apply_list("file", [ListedEndpoint(NAMES[0], READY, 0), ListedEndpoint(NAMES[1], READY, 1)], 0.0)
    assert view.is_usable(NAMES[1])
    view.apply_list("list", [ListedEndpoint(NAMES[0], READY, 0)], 1.0)
    assert not view.is_usable(NAMES[1]), "the list service comes first"
    view.mark_source_failed("list", 2.0)
    assert view.is_usable(NAMES[1])
    view.apply_list("list", [ListedEndpoint(NAMES[0], READY, 0)], 3.0)
    assert not view.is_usable(NAMES[1])


def test_calls_to_a_service_are_bounded_and_spread():
    import random

    allowance, now, calls = PollRateLimiter(), 1000.0, 0
    while now < 1060.0:
        now += max(0.001, allowance.take_token(now))
        calls += 1
    assert calls <= POLL_BURST + 2 * 60 + 2
    waits = [jittered_backoff_seconds(4, random.Random(n)) for n in range(200)]
    assert min(waits) < 2.4 and max(waits) > 5.6 and max(waits) <= 6.0


# The checker, and what it catches


def test_every_interleaving_of_one_gateway_and_one_node_keeps_the_rules():
    found = explore(DiscoveryModel(gateways=1, nodes=1, faults=2))
    assert found.complete and not found.violation, found.trace
    assert found.states > 5000


def test_every_interleaving_of_two_gateways_and_two_nodes_to_a_depth():
    found = explore(DiscoveryModel(gateways=2, nodes=2, faults=2), max_depth=4)
    assert not found.violation, found.trace
    assert found.states > 1000


class TrustsAnyIdentity(EndpointView):
    """Takes whoever answers for the store that is meant."""

    def record_response(self, name, evidence, now_ms, unix_ms=0.0):
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.identity = ""
        return super().record_response(name, evidence, now_ms, unix_ms)


class IgnoresUptime(EndpointView):
    """Does not look at a store's own uptime."""

    class transitions_type(EndpointTransitions):
        def _record_uptime(self, endpoint, evidence, restarted, now_ms):
            endpoint.start_time_known = True


class ForgetsDrains(EndpointView):
    """Loses a drain that the list does not know yet."""

    class transitions_type(EndpointTransitions):
        def apply_entry(self, endpoint, entry, source_name, now_ms, unix_ms, is_older):
            endpoint.drain_announced = False
            if endpoint.status is DiscoveryStatus.DRAINING:
                endpoint.status = DiscoveryStatus.USABLE
            super().apply_entry(endpoint, entry, source_name, now_ms, unix_ms, is_older)


class IgnoresOwnDrain(EndpointView):
    """Does not take a store's own report that it drains."""

    def record_response(self, name, evidence, now_ms, unix_ms=0.0):
        evidence = dataclasses.replace(evidence, draining=False)
        return super().record_response(name, evidence, now_ms, unix_ms)


class TrustsMissingStart(EndpointView):
    """Believes a list without a start time against the store's own uptime."""

    class transitions_type(EndpointTransitions):
        def apply_entry(self, endpoint, entry, source_name, now_ms, unix_ms, is_older):
            super().apply_entry(endpoint, entry, source_name, now_ms, unix_ms, is_older)
            if not entry.started_at_ms:
                endpoint.started_at_ms = 0.0
                endpoint.uptime_reported = True
                self._update_warmup(endpoint, now_ms)


@pytest.mark.parametrize(
    ("mutant", "rule"),
    [
        (TrustsAnyIdentity, "identity"),
        (IgnoresUptime, "cold"),
        (ForgetsDrains, "drain"),
        (IgnoresOwnDrain, "drain"),
        (TrustsMissingStart, "cold"),
    ],
)
def test_the_checker_catches_each_mutant_of_the_state_machine(mutant, rule):
    found = explore(DiscoveryModel(gateways=1, nodes=1, faults=2, view_type=mutant))
    assert found.violation.split(":")[0] in rule.split("|"), found


def test_the_checker_shows_why_a_first_connection_asks_who_is_there():
    found = explore(DiscoveryModel(gateways=1, nodes=1, faults=2, checks_identity=False))
    assert found.violation.startswith(("identity", "cold")), found


# On sockets


def with_nodes(**changes: object):
    config = settings()
    return dataclasses.replace(config, nodes=dataclasses.replace(config.nodes, **changes))


def from_disk(it_stores, folder: Path, **changes: object) -> None:
    """The list that a gateway kept an hour ago."""
    nodes = [
        msgspec.structs.replace(
            CachedEndpoint(
                store.name, store.spec.shard, "hall-a", DiscoveryStatus.USABLE, identity=store.identity, confirmed_unix_ms=1e12
            ),
            **changes,
        )
        for store in it_stores
    ]  # fmt: skip
    cache.save(folder, cache.CachedEndpointList(time.time() * 1000 - 3_600_000, "dev", nodes), False)


async def restarted(it, folder: Path, listing: bool = False, **changes: object):
    """A second gateway, started from what is on the disk; discovery is down unless said otherwise."""
    from winchdyke.gateway.daemon import Gateway

    if not listing:
        it.list.kill()
    config = with_nodes(port=it.list.port, keep=str(folder), **changes)
    it.gateway = Gateway(config)
    it.record_events()
    ready = anyio.Event()
    it.group.start_soon(it.gateway.run, ready.set)
    await ready.wait()


def test_a_gateway_starts_from_the_disk_with_discovery_down_and_a_gone_node_and_a_stranger_get_nothing(
    tmp_path,
):
    @run_async
    async def run():
        async with rig() as it:
            from_disk(it.stores, tmp_path)
            gone, stranger = it.stores[0], it.stores[1]
            gone.kill()
            stranger.kill()
            stranger.identity = "another-store"
            await stranger.start(it.group)
            mark = len(it.record.seen)
            began = anyio.current_time()
            await restarted(it, tmp_path)
            paths = {it.store_of(f"/school-1/k{n}").spec.shard: f"/school-1/k{n}" for n in range(200)}
            while (await it.ask("GET", paths[5])).status != 404:
                assert anyio.current_time() - began < 3.0
            await it.until(lambda: sum(it.gateway.discovery.view.is_usable(s.name) for s in it.stores) == 6)
            refused = [
                (await it.ask("GET", paths[shard], winchdyke_time_left="300ms")).status for shard in (0, 1)
            ]
            assert refused == [503, 503]
            assert {(await it.ask("GET", paths[shard])).status for shard in range(2, 8)} == {404}
            heads = [seen["who"] for seen in it.record.seen[mark:] if seen["what"] == "head"]
            assert stranger.name not in heads and gone.name not in heads
            # Doubtful ones are tried one at a time, in an order by chance: it may be the last.
            known = it.gateway.discovery.view.endpoints
            await it.until(lambda: known[stranger.name].status is DiscoveryStatus.ADDRESS_REUSED)
            heads = [seen["who"] for seen in it.record.seen[mark:] if seen["what"] == "head"]
            assert stranger.name not in heads and gone.name not in heads

    run()


def test_a_node_that_drains_while_discovery_is_down_says_so_itself_and_is_left_alone(tmp_path):
    @run_async
    async def run():
        async with rig() as it:
            from_disk(it.stores, tmp_path)
            await restarted(it, tmp_path)
            store = it.store_of("/school-1/object")
            await it.until(lambda: it.gateway.discovery.view.is_usable(store.name))
            assert (await it.ask("GET", "/school-1/object")).status == 404
            store.draining = True
            await it.ask("GET", "/school-1/object", winchdyke_time_left="300ms")
            await it.until(
                lambda: it.gateway.discovery.view.endpoints[store.name].status is DiscoveryStatus.DRAINING
            )
            await anyio.sleep(0.1)
            mark = len(it.record.seen)
            for _ in range(5):
                await it.ask("GET", "/school-1/object", winchdyke_time_left="100ms")
            assert not [
                seen for seen in it.record.seen[mark:] if seen["who"] == store.name and seen["what"] == "head"
            ]
            await anyio.sleep(1.2)
            found, _ = cache.load(tmp_path)
            assert next(known for known in found.endpoints if known.name == store.name).drain_announced, (
                "kept for the next start"
            )

    run()


def test_five_gateways_that_start_together_never_send_a_new_node_more_than_it_bears(tmp_path):
    """Discovery is down, and one node of the list has just started: the stand-in falls over where it is sent too much."""

    @run_async
    async def run():
        async with rig(
            cold_from=0.1, warm_ms=4000.0, fall_window_ms=300.0, cold_units=9.0, unit_ms=2.0
        ) as it:
            from winchdyke.gateway.daemon import Gateway

            fresh = it.stores[3]
            fresh.kill()
            await fresh.start(it.group, cold=True)
            it.list.kill()
            paths = [path for path in (f"/school-1/k{n}" for n in range(400)) if it.store_of(path) is fresh]
            gateways = []
            for number in range(5):
                folder = tmp_path / str(number)
                folder.mkdir(mode=0o700)
                from_disk(it.stores, folder)
                config = with_nodes(port=it.list.port, keep=str(folder))
                rules = dataclasses.replace(
                    config.rules,
                    cold_from=0.1,
                    warm_after=4000.0,
                    fall_window=300.0,
                    cold_units=9.0,
                    fall_multiple=3.0,
                )
                mine = dataclasses.replace(config.gateway, name=f"g{number}", index=number, gateways=5)
                gateways.append(Gateway(dataclasses.replace(config, rules=rules, gateway=mine)))
                it.group.start_soon(gateways[-1].run)
            it.gateway = gateways[0]
            await it.until(lambda: all(g.address[1] for g in gateways))

            async def press(gateway) -> None:
                it.gateway = gateway
                for path in paths * 2:
                    it.gateway = gateway
                    with anyio.move_on_after(0.5):
                        await it.ask("GET", path, winchdyke_time_left="300ms")

            async with anyio.create_task_group() as group:
                for gateway in gateways:
                    for _ in range(3):
                        group.start_soon(press, gateway)
            assert not fresh.fallen
            assert [seen for seen in it.record.seen if seen["what"] == "head" and seen["who"] == fresh.name]

    run()


@pytest.mark.parametrize("how", ["empty", "silence", "error"])
def test_discovery_that_comes_back_empty_or_answers_nothing_takes_no_node_away(tmp_path, how):
    @run_async
    async def run():
        async with rig() as it:
            from_disk(it.stores, tmp_path)
            if how == "empty":
                entries = it.list._entries
                it.list._entries = {}
                assert entries
            else:
                it.list.failing = how
            await restarted(it, tmp_path, listing=True)
            await it.until(lambda: sum(it.gateway.discovery.view.is_usable(s.name) for s in it.stores) == 8)
            assert (await it.ask("GET", "/school-1/object")).status == 404

    run()


def test_a_wall_clock_that_is_wrong_by_a_day_changes_nothing(tmp_path, monkeypatch):
    real = time.time
    monkeypatch.setattr("winchdyke.discovery.follower.time.time", lambda: real() - 86_400)

    @run_async
    async def run():
        async with rig() as it:
            from_disk(it.stores, tmp_path)
            await restarted(it, tmp_path)
            await it.until(lambda: sum(it.gateway.discovery.view.is_usable(s.name) for s in it.stores) == 8)

    run()


def test_a_file_and_dns_stand_in_where_the_list_service_is_down(tmp_path):
    @run_async
    async def run():
        async with rig(listing=False) as it:
            file = tmp_path / "list.json"
            nodes = ",".join(
                f'{{"name": "{s.name}", "state": "ready", "shard": {s.spec.shard}}}' for s in it.stores[:4]
            )
            file.write_text(f'{{"token": "", "form": "full", "nodes": [{nodes}]')
            server = Dns()
            await server.start(it.group)
            server.records = {
                f"{s.spec.shard}.stores.test": [(1, 1, s.port, "127.0.0.1.")] for s in it.stores
            }
            await restarted(it, tmp_path, file=str(file), srv="stores.test", dns=f"127.0.0.1:{server.port}")
            view = it.gateway.discovery.view
            await it.until(lambda: all(view.is_usable(s.name) for s in it.stores))
            file.write_text(f'{{"token": "", "form": "full", "nodes": [{nodes}]}}')  # before it was cut short
            await it.until(lambda: [view.is_usable(s.name) for s in it.stores] == [True] * 4 + [False] * 4)
            file.unlink()
            await it.until(lambda: all(view.is_usable(s.name) for s in it.stores))
            assert (await it.ask("GET", "/school-1/object")).status == 404

    run()


def test_a_folder_that_can_not_be_written_costs_the_list_and_nothing_else(tmp_path):
    @run_async
    async def run():
        blocked = tmp_path / "file"
        blocked.write_text("")
        async with rig(with_nodes(keep=str(blocked / "under"))) as it:
            assert (await it.ask("GET", "/school-1/object")).status == 404

    run()
    assert os.listdir(tmp_path) == ["file"]


@measured
def test_a_short_blind_day_keeps_all_seven_rules():
    """Discovery is down while gateways start anew, stores drain by their own word, and an address is reused."""
    from winchdyke.days import script
    from winchdyke.days.run import run_day

    verdict, seen, ends = run_day(script.blind_day(3, length=9_000.0))
    assert verdict.kept and ends == [0, 0, 0], [r.broken[:2] for r in verdict.rulings]
    assert any(each["what"] == "up" and each.get("stranger") for each in seen)
    assert sum(each["what"] == "said" and each["drains"] for each in seen) > 0


def test_what_is_believed_is_shown_and_explained(tmp_path):
    from click.testing import CliRunner

    from winchdyke.cli.main import main

    def said(*words: str) -> str:
        return CliRunner().invoke(main, ["nodes", *words]).output

    @run_async
    async def run():
        async with rig(with_nodes(keep=str(tmp_path))) as it:
            await it.list.set(it.stores[0].name, "draining", 0, "hall-a")
            await it.until(
                lambda: (
                    it.gateway.discovery.view.endpoints[it.stores[0].name].status is DiscoveryStatus.DRAINING
                )
            )
            await it.until(
                lambda: (
                    cache.load(tmp_path)[0] is not None
                    and cache.load(tmp_path)[0].endpoints[0].drain_announced
                )
            )
            name = it.stores[0].name
            assert "8 nodes" in said("show", str(tmp_path))
            data = json.loads(said("show", "--json", str(tmp_path)))
            assert {row["state"] for row in data["nodes"]} == {"draining", "usable"}
            text = said("explain", name, str(tmp_path))
            assert "draining (drains, by list)" in text and "nothing new goes to it" in text
            assert "usable" in said("history", str(tmp_path), "--node", name)
            assert "is not on the list" in said("explain", "10.0.0.9:1", str(tmp_path))

    run()
    assert "holds no node list" in said("show", str(tmp_path / "none"))


def test_a_restored_list_service_and_one_that_flaps_take_nothing_away_and_send_nothing_to_what_drains():
    @run_async
    async def run():
        async with rig() as it:
            view = it.gateway.discovery.view
            left_out, flapping = it.stores[6], it.stores[7]
            for turn in range(12):
                await it.list.set(flapping.name, "draining" if turn % 2 else "ready", 7, "hall-a")
                if turn % 2:
                    await it.until(lambda: not view.is_usable(flapping.name))
            assert not view.is_usable(flapping.name)
            # Restored from a copy of old: lower versions, one node that it does not know, and no drain.
            del it.list._entries[left_out.name]
            it.list._entries[flapping.name]["state"] = "ready"
            it.list._epoch, it.list._version, it.list._changes = "restored", 3, []
            it.list._news.set()
            it.list._news = anyio.Event()
            source = view.sources["list"]
            await it.until(lambda: source.regressed_since_ms is not None)
            assert view.is_usable(left_out.name) and not view.is_usable(flapping.name)
            path = next(p for p in (f"/school-1/k{n}" for n in range(200)) if it.store_of(p) is left_out)
            assert (await it.ask("GET", path)).status == 404

    run()


def test_a_service_with_blocking_queries_by_an_index_is_followed_and_its_going_back_is_noticed():
    @run_async
    async def run():
        async with rig(listing=False) as it:
            from winchdyke.gateway.daemon import Gateway

            await it.list.start(it.group)
            it.list.by_index = True
            it.gateway = Gateway(with_nodes(port=it.list.port, by_index=True))
            ready = anyio.Event()
            it.group.start_soon(it.gateway.run, ready.set)
            await ready.wait()
            view = it.gateway.discovery.view
            await it.until(lambda: all(view.is_usable(store.name) for store in it.stores))
            source = it.gateway.discovery.sources[0]
            calls = source.poll_count
            await anyio.sleep(0.3)
            assert source.poll_count - calls <= 1, "it waits at the service"
            await it.list.set(it.stores[0].name, "draining", 0, "hall-a")
            await it.until(lambda: view.endpoints[it.stores[0].name].status is DiscoveryStatus.DRAINING)
            it.list._version, it.list._changes = 2, []
            it.list._entries[it.stores[0].name]["state"] = "ready"
            it.list._news.set()
            it.list._news = anyio.Event()
            await it.until(lambda: view.sources["list"].regressed_since_ms is not None)
            assert not view.is_usable(it.stores[0].name), "an older list does not take back a drain"

    run()


SAVING = """
import sys
sys.path.insert(0, "tests")
from pathlib import Path
from test_discovery import kept
from winchdyke.discovery import cache
count = 1
print("on", flush=True)
while True:
    count = count % 6 + 1
    cache.save(Path(sys.argv[1]), kept(count), True)
"""


def test_a_kill_while_the_list_is_written_always_leaves_a_whole_one(tmp_path):
    import random
    import subprocess
    import sys

    cache.save(tmp_path, kept(1), False)
    draw = random.Random(2)
    for _ in range(8):
        process = subprocess.Popen([sys.executable, "-c", SAVING, str(tmp_path)], stdout=subprocess.PIPE)
        assert process.stdout is not None
        process.stdout.readline()
        time.sleep(draw.uniform(0.0, 0.05))
        process.kill()
        process.wait(5)
        process.stdout.close()
        found, said = cache.load(tmp_path)
        assert found is not None and found.endpoints and not said
