"""Endpoint discovery: cache, endpoint view and its model checker, sources, and starts without a list service."""

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

from winchdyke import interface
from winchdyke.discovery import cache
from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.endpoint_transitions import EndpointTransitions
from winchdyke.discovery.endpoint_view import EndpointView
from winchdyke.discovery.polling import POLL_BURST, PollRateLimiter, jittered_backoff_seconds
from winchdyke.discovery.records import CachedEndpoint, DiscoveryStatus, EndpointEvidence, ListedEndpoint
from winchdyke.model.checker import explore
from winchdyke.model.discovery import DiscoveryModel
from winchdyke.standins.dns import DnsServer

READY, DRAINING = interface.EndpointStatus.READY, interface.EndpointStatus.DRAINING
NAMES = [f"10.0.0.{n}:7" for n in range(6)]


def cached_list(count: int = 2, **changes: object) -> cache.CachedEndpointList:
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


def view_with_usable(count: int = 4, **bounds: float) -> EndpointView:
    view = EndpointView(DiscoveryBounds(**bounds))  # type: ignore[arg-type]
    view.apply_list(
        "list", [ListedEndpoint(name, READY, n) for n, name in enumerate(NAMES[:count])], 0.0, version=5
    )
    for name in NAMES[:count]:
        view.record_response(name, EndpointEvidence(f"id-{name}", "b1", 1e6), 1.0)
    return view


# The cache


def test_a_truncated_or_corrupt_cache_falls_back_to_the_previous_generation(tmp_path):
    cache.save(tmp_path, cached_list(1), False)
    cache.save(tmp_path, cached_list(2), True)
    data = cache.generation_path(tmp_path, 0).read_bytes()
    for size in range(len(data)):
        cache.generation_path(tmp_path, 0).write_bytes(data[:size])
        cached, warnings = cache.load(tmp_path)
        assert cached is not None and len(cached.endpoints) == 1
        assert "nodes.0" in warnings[0] and "nodes.1" in warnings[1]
    for offset in range(len(data)):
        cache.generation_path(tmp_path, 0).write_bytes(
            data[:offset] + bytes([data[offset] ^ 0x41]) + data[offset + 1 :]
        )
        cached, warnings = cache.load(tmp_path)
        assert cached is not None and len(cached.endpoints) == 1 and warnings


def test_generations_retain_the_previous_lists(tmp_path):
    for count in range(1, 6):
        cache.save(tmp_path, cached_list(count), True)
        cache.save(tmp_path, cached_list(count), False)
    assert [len(cache.read_generation(cache.generation_path(tmp_path, n)).endpoints) for n in range(3)] == [
        5,
        4,
        3,
    ]
    assert cache.load(tmp_path / "none") == (None, [])


def test_a_newer_format_and_files_writable_by_others_are_rejected(tmp_path):
    cache.save(tmp_path, cached_list(1), False)
    path = cache.generation_path(tmp_path, 0)
    assert path.stat().st_mode & 0o777 == 0o600
    data = path.read_bytes()
    path.write_bytes(data[:7] + b"\x09" + data[8:])
    assert "format 9" in cache.load(tmp_path)[1][0]
    path.write_bytes(data)
    path.chmod(0o666)
    cached, warnings = cache.load(tmp_path)
    assert cached is None and "others may write to the file" in warnings[0] and "chmod" in warnings[0]
    path.chmod(0o600)
    tmp_path.chmod(0o777)
    assert "others may write to the folder" in cache.load(tmp_path)[1][0]
    tmp_path.chmod(0o700)


@pytest.mark.parametrize("call", ["open", "write", "fsync", "link"])
def test_an_error_at_any_step_of_writing_leaves_a_complete_list(tmp_path, monkeypatch, call):
    cache.save(tmp_path, cached_list(1), False)

    def broken(*_: object) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(f"winchdyke.discovery.cache.os.{call}", broken)
    with pytest.raises(OSError):
        cache.save(tmp_path, cached_list(3), True)
    monkeypatch.undo()
    cached, warnings = cache.load(tmp_path)
    assert cached is not None and len(cached.endpoints) == 1 and not warnings
    cache.save(tmp_path, cached_list(3), True)
    assert len(cache.load(tmp_path)[0].endpoints) == 3


# The endpoint view


def test_restored_endpoints_are_checked_singly_latest_confirmed_first_and_warm_up():
    view = EndpointView(DiscoveryBounds(min_health_check_interval_ms=20.0))
    view.restore_cached(cached_list(3).endpoints, 0.0)
    assert view.take_changes() == []
    assert view.next_health_check(0.0) == NAMES[2]
    assert view.next_health_check(10.0) is None, "the minimum interval between checks has not passed"
    assert view.next_health_check(20.0) == NAMES[1]
    assert view.record_response(NAMES[2], EndpointEvidence("s2"), 30.0)
    (node,) = view.take_changes()
    assert (node.name, node.started_at_ms) == (NAMES[2], 30.0), (
        "without a reported uptime it warms up from now on"
    )
    assert view.record_response(NAMES[1], EndpointEvidence("s1", "b", 3_600_000.0), 40.0)
    assert view.take_changes()[0].started_at_ms == 0.0, "its own uptime is past the warmup"
    view.record_connect_failure(NAMES[0], 50.0)
    assert not view.is_usable(NAMES[0])


def test_a_store_at_a_reused_address_gets_no_requests_until_a_list_names_it():
    view = view_with_usable()
    assert not view.record_response(NAMES[0], EndpointEvidence("stranger", "b9", 1e6), 2.0)
    view.take_changes()
    view.apply_list(
        "list", [ListedEndpoint(name, READY, n) for n, name in enumerate(NAMES[:4])], 3.0, version=6
    )
    assert view.endpoints[NAMES[0]].status is DiscoveryStatus.ADDRESS_REUSED, (
        "the list does not name the new store yet"
    )
    entries = [
        ListedEndpoint(name, READY, n, identity="stranger" if not n else "")
        for n, name in enumerate(NAMES[:4])
    ]
    view.apply_list("list", entries, 4.0, version=7)
    assert view.is_usable(NAMES[0])


def test_an_empty_list_is_not_trusted_while_endpoints_answer_but_a_drain_is_kept():
    view = view_with_usable(omission_grace_ms=1000.0)
    view.apply_list("list", [ListedEndpoint(NAMES[0], DRAINING, 0)], 5.0, version=6, complete=False)
    view.apply_list("list", [], 10.0, version=7)
    assert [view.is_usable(name) for name in NAMES[:4]] == [False, True, True, True]
    view.record_connect_failure(NAMES[1], 20.0)
    assert view.endpoints[NAMES[1]].status is DiscoveryStatus.REMOVED, (
        "an omitted endpoint that does not answer is removed at once"
    )
    view.tick(1010.0)
    assert not any(view.is_usable(name) for name in NAMES), "the list is trusted after the grace period"


def test_a_single_omitted_endpoint_is_removed_at_once():
    view = view_with_usable()
    view.apply_list(
        "list", [ListedEndpoint(name, READY, n) for n, name in enumerate(NAMES[:3])], 10.0, version=6
    )
    assert [view.is_usable(name) for name in NAMES[:4]] == [True, True, True, False]


def test_an_older_list_version_neither_restores_nor_removes_endpoints():
    view = view_with_usable()
    view.apply_list(
        "list",
        [
            ListedEndpoint(NAMES[0], DRAINING, 0),
            ListedEndpoint(NAMES[1], interface.EndpointStatus.REMOVED, 1),
        ],
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
    # Two alternating lists: neither removes the endpoints of the other.
    for turn in range(4):
        view.apply_list(
            "list",
            old if turn % 2 else [ListedEndpoint(NAMES[3], READY, 3), *old],
            20.0 + turn,
            version=3 + turn % 2,
        )
    assert view.is_usable(NAMES[3])


def test_a_reported_drain_outlives_lists_without_it_and_ends_with_a_new_start():
    view = view_with_usable()
    view.record_response(NAMES[0], EndpointEvidence(f"id-{NAMES[0]}", "b1", 1e6, True), 5.0)
    view.apply_list(
        "list", [ListedEndpoint(name, READY, n) for n, name in enumerate(NAMES[:4])], 6.0, version=6
    )
    assert view.endpoints[NAMES[0]].status is DiscoveryStatus.DRAINING
    view.record_response(NAMES[0], EndpointEvidence(f"id-{NAMES[0]}", "b2", 10.0), 7.0)
    assert view.endpoints[NAMES[0]].status is DiscoveryStatus.WARMING_UP


def test_unconfirmed_endpoints_that_never_answer_are_retried_with_backoff():
    view = EndpointView(
        DiscoveryBounds(min_health_check_interval_ms=1.0, initial_backoff_ms=100.0, max_backoff_ms=1000.0)
    )
    view.restore_cached(cached_list(2).endpoints, 0.0)
    attempt_times: list[float] = []
    now = 0.0
    while now < 20_000:
        name = view.next_health_check(now)
        if name is not None:
            attempt_times.append(now)
            view.record_connect_failure(name, now)
        now += 1.0
    assert 30 < len(attempt_times) < 60
    assert len([time_ms for time_ms in attempt_times if time_ms > 10_000]) <= 2 * 11


def test_an_endpoint_that_flaps_every_second_is_unusable_while_it_drains():
    view = view_with_usable()
    for turn in range(20):
        state = DRAINING if turn % 2 else READY
        view.apply_list(
            "list", [ListedEndpoint(NAMES[0], state, 0)], 1000.0 * turn, version=6 + turn, complete=False
        )
        assert view.is_usable(NAMES[0]) == (turn % 2 == 0)


def test_the_next_source_replaces_a_failed_one_until_it_recovers():
    view = EndpointView(DiscoveryBounds(), ("list", "file"))
    view.apply_list("file", [ListedEndpoint(NAMES[0], READY, 0), ListedEndpoint(NAMES[1], READY, 1)], 0.0)
    assert view.is_usable(NAMES[1])
    view.apply_list("list", [ListedEndpoint(NAMES[0], READY, 0)], 1.0)
    assert not view.is_usable(NAMES[1]), "the list service has precedence"
    view.mark_source_failed("list", 2.0)
    assert view.is_usable(NAMES[1])
    view.apply_list("list", [ListedEndpoint(NAMES[0], READY, 0)], 3.0)
    assert not view.is_usable(NAMES[1])


def test_calls_to_a_list_service_are_rate_limited_and_jittered():
    import random

    limiter, now, call_count = PollRateLimiter(), 1000.0, 0
    while now < 1060.0:
        now += max(0.001, limiter.take_token(now))
        call_count += 1
    assert call_count <= POLL_BURST + 2 * 60 + 2
    backoffs = [jittered_backoff_seconds(4, random.Random(n)) for n in range(200)]
    assert min(backoffs) < 2.4 and max(backoffs) > 5.6 and max(backoffs) <= 6.0


# The model checker and mutants that it must detect


def test_every_interleaving_of_one_gateway_and_one_node_satisfies_the_invariants():
    result = explore(DiscoveryModel(gateways=1, nodes=1, faults=2))
    assert result.complete and not result.violation, result.trace
    assert result.states > 5000


def test_interleavings_of_two_gateways_and_two_nodes_up_to_a_depth():
    result = explore(DiscoveryModel(gateways=2, nodes=2, faults=2), max_depth=4)
    assert not result.violation, result.trace
    assert result.states > 1000


class TrustsAnyIdentity(EndpointView):
    """Accepts any store that answers at the address."""

    def record_response(self, name, evidence, now_ms, unix_ms=0.0):
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.identity = ""
        return super().record_response(name, evidence, now_ms, unix_ms)


class IgnoresUptime(EndpointView):
    """Ignores the uptime that a store reports."""

    class transitions_type(EndpointTransitions):
        def _record_uptime(self, endpoint, evidence, restarted, now_ms):
            endpoint.start_time_known = True


class ForgetsDrains(EndpointView):
    """Drops a drain that the list does not contain yet."""

    class transitions_type(EndpointTransitions):
        def apply_entry(self, endpoint, entry, source_name, now_ms, unix_ms, is_older):
            endpoint.drain_announced = False
            if endpoint.status is DiscoveryStatus.DRAINING:
                endpoint.status = DiscoveryStatus.USABLE
            super().apply_entry(endpoint, entry, source_name, now_ms, unix_ms, is_older)


class IgnoresOwnDrain(EndpointView):
    """Ignores a store's own report of a drain."""

    def record_response(self, name, evidence, now_ms, unix_ms=0.0):
        evidence = dataclasses.replace(evidence, draining=False)
        return super().record_response(name, evidence, now_ms, unix_ms)


class TrustsMissingStart(EndpointView):
    """Trusts a list without a start time more than the store's own uptime."""

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
def test_the_checker_detects_each_mutant_of_the_endpoint_view(mutant, rule):
    result = explore(DiscoveryModel(gateways=1, nodes=1, faults=2, view_type=mutant))
    assert result.violation.split(":")[0] in rule.split("|"), result


def test_the_checker_finds_a_violation_without_the_identity_check_of_a_first_connection():
    result = explore(DiscoveryModel(gateways=1, nodes=1, faults=2, checks_identity=False))
    assert result.violation.startswith(("identity", "cold")), result


# On sockets


def settings_with(**changes: object):
    config = settings()
    return dataclasses.replace(config, nodes=dataclasses.replace(config.nodes, **changes))


def write_cache(stores, folder: Path, **changes: object) -> None:
    """Writes the cache that a gateway saved an hour ago."""
    nodes = [
        msgspec.structs.replace(
            CachedEndpoint(
                store.name, store.spec.shard, "hall-a", DiscoveryStatus.USABLE, identity=store.identity, confirmed_unix_ms=1e12
            ),
            **changes,
        )
        for store in stores
    ]  # fmt: skip
    cache.save(folder, cache.CachedEndpointList(time.time() * 1000 - 3_600_000, "dev", nodes), False)


async def restart_from_cache(it, folder: Path, listing: bool = False, **changes: object):
    """Starts a second gateway from the cache; the list service is down unless ``listing`` is set."""
    from winchdyke.gateway.daemon import Gateway

    if not listing:
        it.list.kill()
    config = settings_with(port=it.list.port, keep=str(folder), **changes)
    it.gateway = Gateway(config)
    it.record_events()
    ready = anyio.Event()
    it.group.start_soon(it.gateway.run, ready.set)
    await ready.wait()


def test_a_gateway_started_from_the_cache_sends_nothing_to_stopped_or_replaced_stores(tmp_path):
    @run_async
    async def run():
        async with rig() as it:
            write_cache(it.stores, tmp_path)
            stopped, other_store = it.stores[0], it.stores[1]
            stopped.kill()
            other_store.kill()
            other_store.identity = "another-store"
            await other_store.start(it.group)
            recorded_before = len(it.record.entries)
            started_at = anyio.current_time()
            await restart_from_cache(it, tmp_path)
            paths = {it.store_of(f"/school-1/k{n}").spec.shard: f"/school-1/k{n}" for n in range(200)}
            while (await it.request("GET", paths[5])).status != 404:
                assert anyio.current_time() - started_at < 3.0
            await it.wait_until(
                lambda: sum(it.gateway.discovery.view.is_usable(s.name) for s in it.stores) == 6
            )
            statuses = [
                (await it.request("GET", paths[shard], winchdyke_time_left="300ms")).status
                for shard in (0, 1)
            ]
            assert statuses == [503, 503]
            assert {(await it.request("GET", paths[shard])).status for shard in range(2, 8)} == {404}
            requested = [
                seen["who"] for seen in it.record.entries[recorded_before:] if seen["what"] == "head"
            ]
            assert other_store.name not in requested and stopped.name not in requested
            # Unconfirmed endpoints are checked one at a time, in random order: this one may be the last.
            known = it.gateway.discovery.view.endpoints
            await it.wait_until(lambda: known[other_store.name].status is DiscoveryStatus.ADDRESS_REUSED)
            requested = [
                seen["who"] for seen in it.record.entries[recorded_before:] if seen["what"] == "head"
            ]
            assert other_store.name not in requested and stopped.name not in requested

    run()


def test_a_store_that_reports_its_drain_without_discovery_gets_no_requests(tmp_path):
    @run_async
    async def run():
        async with rig() as it:
            write_cache(it.stores, tmp_path)
            await restart_from_cache(it, tmp_path)
            store = it.store_of("/school-1/object")
            await it.wait_until(lambda: it.gateway.discovery.view.is_usable(store.name))
            assert (await it.request("GET", "/school-1/object")).status == 404
            store.draining = True
            await it.request("GET", "/school-1/object", winchdyke_time_left="300ms")
            await it.wait_until(
                lambda: it.gateway.discovery.view.endpoints[store.name].status is DiscoveryStatus.DRAINING
            )
            await anyio.sleep(0.1)
            recorded_before = len(it.record.entries)
            for _ in range(5):
                await it.request("GET", "/school-1/object", winchdyke_time_left="100ms")
            assert not [
                seen
                for seen in it.record.entries[recorded_before:]
                if seen["who"] == store.name and seen["what"] == "head"
            ]
            await anyio.sleep(1.2)
            cached, _ = cache.load(tmp_path)
            assert next(
                endpoint for endpoint in cached.endpoints if endpoint.name == store.name
            ).drain_announced, "the drain is stored for the next start"

    run()


def test_five_gateways_that_start_together_never_overload_a_new_node(tmp_path):
    """The list service is down, and one store has just started: the stand-in store fails under too much load."""

    @run_async
    async def run():
        async with rig(
            cold_start_capacity=0.1,
            warm_up_ms=4000.0,
            overload_window_ms=300.0,
            min_overload_units=9.0,
            unit_ms=2.0,
        ) as it:
            from winchdyke.gateway.daemon import Gateway

            restarted_store = it.stores[3]
            restarted_store.kill()
            await restarted_store.start(it.group, cold=True)
            it.list.kill()
            paths = [
                path
                for path in (f"/school-1/k{n}" for n in range(400))
                if it.store_of(path) is restarted_store
            ]
            gateways = []
            for number in range(5):
                folder = tmp_path / str(number)
                folder.mkdir(mode=0o700)
                write_cache(it.stores, folder)
                config = settings_with(port=it.list.port, keep=str(folder))
                rules = dataclasses.replace(
                    config.rules,
                    cold_from=0.1,
                    warm_after=4000.0,
                    fall_window=300.0,
                    cold_units=9.0,
                    fall_multiple=3.0,
                )
                gateway_settings = dataclasses.replace(
                    config.gateway, name=f"g{number}", index=number, gateways=5
                )
                gateways.append(Gateway(dataclasses.replace(config, rules=rules, gateway=gateway_settings)))
                it.group.start_soon(gateways[-1].run)
            it.gateway = gateways[0]
            await it.wait_until(lambda: all(g.address[1] for g in gateways))

            async def send_requests(gateway) -> None:
                it.gateway = gateway
                for path in paths * 2:
                    it.gateway = gateway
                    with anyio.move_on_after(0.5):
                        await it.request("GET", path, winchdyke_time_left="300ms")

            async with anyio.create_task_group() as group:
                for gateway in gateways:
                    for _ in range(3):
                        group.start_soon(send_requests, gateway)
            assert not restarted_store.overloaded
            assert [
                seen
                for seen in it.record.entries
                if seen["what"] == "head" and seen["who"] == restarted_store.name
            ]

    run()


@pytest.mark.parametrize("how", ["empty", "silence", "error"])
def test_a_list_service_that_returns_empty_lists_or_errors_removes_no_endpoint(tmp_path, how):
    @run_async
    async def run():
        async with rig() as it:
            write_cache(it.stores, tmp_path)
            if how == "empty":
                entries = it.list._entries
                it.list._entries = {}
                assert entries
            else:
                it.list.failing = how
            await restart_from_cache(it, tmp_path, listing=True)
            await it.wait_until(
                lambda: sum(it.gateway.discovery.view.is_usable(s.name) for s in it.stores) == 8
            )
            assert (await it.request("GET", "/school-1/object")).status == 404

    run()


def test_a_wall_clock_wrong_by_a_day_has_no_effect(tmp_path, monkeypatch):
    real = time.time
    monkeypatch.setattr("winchdyke.discovery.follower.time.time", lambda: real() - 86_400)

    @run_async
    async def run():
        async with rig() as it:
            write_cache(it.stores, tmp_path)
            await restart_from_cache(it, tmp_path)
            await it.wait_until(
                lambda: sum(it.gateway.discovery.view.is_usable(s.name) for s in it.stores) == 8
            )

    run()


def test_file_and_dns_sources_replace_a_list_service_that_is_down(tmp_path):
    @run_async
    async def run():
        async with rig(listing=False) as it:
            file = tmp_path / "list.json"
            nodes = ",".join(
                f'{{"name": "{s.name}", "state": "ready", "shard": {s.spec.shard}}}' for s in it.stores[:4]
            )
            file.write_text(f'{{"token": "", "form": "full", "nodes": [{nodes}]')
            server = DnsServer()
            await server.start(it.group)
            server.records = {
                f"{s.spec.shard}.stores.test": [(1, 1, s.port, "127.0.0.1.")] for s in it.stores
            }
            await restart_from_cache(
                it, tmp_path, file=str(file), srv="stores.test", dns=f"127.0.0.1:{server.port}"
            )
            view = it.gateway.discovery.view
            await it.wait_until(lambda: all(view.is_usable(s.name) for s in it.stores))
            # The complete file, which was truncated before.
            file.write_text(f'{{"token": "", "form": "full", "nodes": [{nodes}]}}')
            await it.wait_until(
                lambda: [view.is_usable(s.name) for s in it.stores] == [True] * 4 + [False] * 4
            )
            file.unlink()
            await it.wait_until(lambda: all(view.is_usable(s.name) for s in it.stores))
            assert (await it.request("GET", "/school-1/object")).status == 404

    run()


def test_an_unwritable_folder_disables_only_the_cache(tmp_path):
    @run_async
    async def run():
        blocked = tmp_path / "file"
        blocked.write_text("")
        async with rig(settings_with(keep=str(blocked / "under"))) as it:
            assert (await it.request("GET", "/school-1/object")).status == 404

    run()
    assert os.listdir(tmp_path) == ["file"]


@measured
def test_a_short_blind_day_keeps_all_seven_rules():
    """The list service is down while gateways restart, stores report drains, and an address is reused."""
    from winchdyke.days import script
    from winchdyke.days.run import run_scenario

    verdict, record, exit_codes = run_scenario(script.blind_day(3, length=9_000.0))
    assert verdict.kept and exit_codes == [0, 0, 0], [r.violations[:2] for r in verdict.rule_results]
    assert any(entry["what"] == "up" and entry.get("stranger") for entry in record)
    assert sum(entry["what"] == "said" and entry["drains"] for entry in record) > 0


def test_the_nodes_command_shows_and_explains_the_endpoint_view(tmp_path):
    from click.testing import CliRunner

    from winchdyke.cli.main import main

    def run_command(*words: str) -> str:
        return CliRunner().invoke(main, ["nodes", *words]).output

    @run_async
    async def run():
        async with rig(settings_with(keep=str(tmp_path))) as it:
            await it.list.set(it.stores[0].name, "draining", 0, "hall-a")
            await it.wait_until(
                lambda: (
                    it.gateway.discovery.view.endpoints[it.stores[0].name].status is DiscoveryStatus.DRAINING
                )
            )
            await it.wait_until(
                lambda: (
                    cache.load(tmp_path)[0] is not None
                    and cache.load(tmp_path)[0].endpoints[0].drain_announced
                )
            )
            name = it.stores[0].name
            assert "8 nodes" in run_command("show", str(tmp_path))
            data = json.loads(run_command("show", "--json", str(tmp_path)))
            assert {row["state"] for row in data["nodes"]} == {"draining", "usable"}
            text = run_command("explain", name, str(tmp_path))
            assert "draining (drains, by list)" in text and "nothing new goes to it" in text
            assert "usable" in run_command("history", str(tmp_path), "--node", name)
            assert "is not on the list" in run_command("explain", "10.0.0.9:1", str(tmp_path))

    run()
    assert "holds no node list" in run_command("show", str(tmp_path / "none"))


def test_a_list_service_restored_from_a_backup_removes_no_endpoint_and_ends_no_drain():
    @run_async
    async def run():
        async with rig() as it:
            view = it.gateway.discovery.view
            omitted, flapping = it.stores[6], it.stores[7]
            for turn in range(12):
                await it.list.set(flapping.name, "draining" if turn % 2 else "ready", 7, "hall-a")
                if turn % 2:
                    await it.wait_until(lambda: not view.is_usable(flapping.name))
            assert not view.is_usable(flapping.name)
            # Restored from an old backup: lower versions, without one of the nodes and without the drain.
            del it.list._entries[omitted.name]
            it.list._entries[flapping.name]["state"] = "ready"
            it.list._epoch, it.list._version, it.list._changes = "restored", 3, []
            it.list._list_changed.set()
            it.list._list_changed = anyio.Event()
            source = view.sources["list"]
            await it.wait_until(lambda: source.regressed_since_ms is not None)
            assert view.is_usable(omitted.name) and not view.is_usable(flapping.name)
            path = next(p for p in (f"/school-1/k{n}" for n in range(200)) if it.store_of(p) is omitted)
            assert (await it.request("GET", path)).status == 404

    run()


def test_a_service_with_blocking_queries_is_followed_and_an_index_that_goes_back_is_detected():
    @run_async
    async def run():
        async with rig(listing=False) as it:
            from winchdyke.gateway.daemon import Gateway

            await it.list.start(it.group)
            it.list.by_index = True
            it.gateway = Gateway(settings_with(port=it.list.port, by_index=True))
            ready = anyio.Event()
            it.group.start_soon(it.gateway.run, ready.set)
            await ready.wait()
            view = it.gateway.discovery.view
            await it.wait_until(lambda: all(view.is_usable(store.name) for store in it.stores))
            source = it.gateway.discovery.sources[0]
            calls = source.poll_count
            await anyio.sleep(0.3)
            assert source.poll_count - calls <= 1, "the call blocks at the service"
            await it.list.set(it.stores[0].name, "draining", 0, "hall-a")
            await it.wait_until(lambda: view.endpoints[it.stores[0].name].status is DiscoveryStatus.DRAINING)
            it.list._version, it.list._changes = 2, []
            it.list._entries[it.stores[0].name]["state"] = "ready"
            it.list._list_changed.set()
            it.list._list_changed = anyio.Event()
            await it.wait_until(lambda: view.sources["list"].regressed_since_ms is not None)
            assert not view.is_usable(it.stores[0].name), "an older list does not end a drain"

    run()


SAVE_PROGRAM = """
import sys
sys.path.insert(0, "tests")
from pathlib import Path
from test_discovery import cached_list
from winchdyke.discovery import cache
count = 1
print("on", flush=True)
while True:
    count = count % 6 + 1
    cache.save(Path(sys.argv[1]), cached_list(count), True)
"""


def test_a_kill_while_the_cache_is_written_leaves_a_complete_list(tmp_path):
    import random
    import subprocess
    import sys

    cache.save(tmp_path, cached_list(1), False)
    rng = random.Random(2)
    for _ in range(8):
        process = subprocess.Popen(
            [sys.executable, "-c", SAVE_PROGRAM, str(tmp_path)], stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        process.stdout.readline()
        time.sleep(rng.uniform(0.0, 0.05))
        process.kill()
        process.wait(5)
        process.stdout.close()
        cached, warnings = cache.load(tmp_path)
        assert cached is not None and cached.endpoints and not warnings
