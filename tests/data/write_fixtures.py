"""Writes the fixtures of stored data that tests/test_stored_data.py reads.

Usage: PYTHONPATH=. python tests/data/write_fixtures.py TARGET

The committed fixtures were written by this script with the code of commit 08f4fc3. They represent data of earlier releases,
so they stay unchanged when the code changes; a new format gets fixtures of its own. The clock and the random sources are replaced
by fixed ones, so each run writes the same bytes, except for the header of the SQLite file, which names the SQLite release that
wrote it. All keys are readable text that is marked as test data; they are used nowhere else.
"""

from __future__ import annotations

import base64
import itertools
import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest.mock import patch

import anyio
import msgspec
from cryptography.fernet import Fernet

from winchdyke import interface as api
from winchdyke.admin import keys as admin_keys
from winchdyke.auth import keys as access_keys
from winchdyke.config_rollout import last_known_good
from winchdyke.config_rollout.change_log import ChangeLog
from winchdyke.config_rollout.rollout_state import ON_HOLD_MS, Step
from winchdyke.discovery import cache as endpoint_cache
from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.follower import EndpointFollower
from winchdyke.discovery.list_protocol import ReceivedList
from winchdyke.discovery.records import CachedEndpoint, DiscoveryStatus, ListedEndpoint
from winchdyke.discovery.sources import OnFailure, OnList
from winchdyke.latency_attribution import compaction, ledger_writer
from winchdyke.latency_attribution.records import Account, QueuedGroup, TraceRecord
from winchdyke.membership import member_cache
from winchdyke.writeback.disk import Folder
from winchdyke.writeback.log import Log, RecordKind
from winchdyke.writeback.record import WriteBackRecord, etag_of

START_S = 1_700_000_000
START_MS = START_S * 1000.0
SEGMENT_BYTES = 4096


@contextmanager
def fixed_clock() -> Iterator[None]:
    """Replaces the wall clock by one that starts at START_S and advances by one second at each call."""
    ticks = itertools.count(START_S)
    with patch("time.time", lambda: float(next(ticks))):
        yield


def difference(old: int, new: int) -> str:
    """Returns the difference of two versions that differ in the number of connections."""
    text = f"limits.connections: {old} -> {new}"
    return json.dumps([{"path": "limits.connections", "old": old, "new": new, "text": text}])


def settings_text(connections: int) -> str:
    """Returns the settings of one version."""
    return f"limits {{\n    connections = {connections}\n}}\n"


def write_changes(folder: Path) -> None:
    """Writes four versions: applied, confirmed, undone and on hold; the entries of the first two are in an archive."""
    change_log = ChangeLog(folder)
    with fixed_clock():
        change_log.add_version(settings_text(100), 0, "[]", "alice", "first settings", "test")
        for action in ("staged", "applying", "applied"):
            change_log.append(Step(action, 1), "gateway")

        change_log.add_version(
            settings_text(200), 1, difference(100, 200), "bob", "more clients in Žďár", "test"
        )
        confirm_by = START_MS + 600_000
        change_log.append(Step("staged", 2, confirm_by_ms=confirm_by), "bob", "on trial", "test")
        change_log.append(Step("applying", 2), "gateway")
        change_log.append(Step("applied", 2, confirm_by_ms=confirm_by), "gateway")
        change_log.append(Step("confirmed", 2), "bob", "works", "test")
        last_known_good.save(folder, 2, settings_text(200))

        change_log.add_version(settings_text(300), 2, difference(200, 300), "alice", "even more", "test")
        change_log.append(
            Step("staged", 3, confirm_by_ms=confirm_by, activate_at_ms=START_MS + 60_000), "alice", "", "test"
        )
        change_log.append(Step("applying", 3), "gateway")
        change_log.append(Step("applied", 3, confirm_by_ms=confirm_by), "gateway")
        change_log.append_all([(Step("undoing", 2), "too many"), (Step("undone", 2), "")], "alice", "test")

        change_log.add_version(settings_text(250), 2, difference(200, 250), "bob", "a middle way", "test")
        change_log.append(Step("staged", 4, activate_at_ms=ON_HOLD_MS), "bob", "", "test")
        change_log.prune(retained_versions=2)


def write_endpoint_lists(folder: Path) -> None:
    """Writes two generations of the endpoint list, the newer one with an endpoint in each state."""
    folder.mkdir(mode=0o700)
    first = CachedEndpoint(
        "192.0.2.1:9000", 0, "east", DiscoveryStatus.USABLE, "on the list", 5.0, "store-1", "boot-1"
    )
    endpoint_cache.save(
        folder, endpoint_cache.CachedEndpointList(START_MS, "gateway-1", [first]), rotate=False
    )
    endpoints = [first]
    for number, state in enumerate(DiscoveryStatus, 2):
        endpoints.append(
            CachedEndpoint(
                f"192.0.2.{number}:9000",
                shard=number,
                zone="west",
                status=state,
                reason=f"test of {state.value}",
                status_since_ms=10.0 * number,
                identity=f"store-{number}",
                boot_id=f"boot-{number}",
                started_at_ms=2.5,
                start_time_known=True,
                uptime_reported=True,
                drain_announced=state is DiscoveryStatus.DRAINING,
                listed=state is DiscoveryStatus.USABLE,
                confirmed_by="list",
                confirmed_unix_ms=START_MS + number,
                last_response_at_ms=100.5,
                omitted_since_ms=50.0 if state is DiscoveryStatus.USABLE else None,
                failed_attempts=number,
                next_attempt_at_ms=200.0,
            )
        )
    endpoint_cache.save(
        folder, endpoint_cache.CachedEndpointList(START_MS + 1000, "gateway-1", endpoints), rotate=True
    )


class ListedOnce:
    """A source of endpoint lists that sends two lists and then ends the run."""

    name = "list"

    def __init__(self, scope: anyio.CancelScope) -> None:
        self._scope = scope

    def request_poll(self) -> None:
        """Does nothing: the lists are sent without a request."""

    async def run(self, on_list: OnList, on_failure: OnFailure) -> None:
        """Sends two endpoints, and then a change: the second one is draining."""
        ready, draining = api.EndpointStatus.READY, api.EndpointStatus.DRAINING
        first = ListedEndpoint("192.0.2.1:9000", ready, 0, identity="store-1")
        second = ListedEndpoint("192.0.2.2:9000", ready, 1, identity="store-2")
        await on_list(self.name, ReceivedList("1", api.EndpointListKind.FULL, (first, second), 1))
        drains = ListedEndpoint("192.0.2.2:9000", draining, 1, identity="store-2")
        await on_list(self.name, ReceivedList("2", api.EndpointListKind.CHANGES, (drains,), 2))
        self._scope.cancel()


async def write_endpoint_history(folder: Path) -> None:
    """Writes the history of endpoint states with a running endpoint follower."""

    async def post(_: api.EndpointList) -> None:
        """Replaces the scheduler."""

    async def probe(_: str) -> bool:
        """Replaces a trial connection to an endpoint."""
        return True

    with anyio.CancelScope() as scope, fixed_clock():
        source = ListedOnce(scope)
        follower = EndpointFollower(
            DiscoveryBounds(), [source], "gateway-1", lambda: 1000.0, post, probe, folder
        )
        await follower.run()


def write_members(folder: Path) -> None:
    """Writes the last incarnation of this gateway, and two members."""
    members = [
        member_cache.KnownMember("gateway-2", "192.0.2.12:7400"),
        member_cache.KnownMember("gateway-3", "[2001:db8::3]:7400"),
    ]
    member_cache.save(folder, member_cache.KnownMembers("gateway-1", 1_700_000_000_123, members))


def write_keys(folder: Path) -> None:
    """Writes keys of the admin API, access keys encrypted with an older and a newer master key, and both master keys."""
    folder.mkdir(mode=0o700)
    secret = base64.b64encode(b"winchdyke test data, not secret!").decode()
    admin = [
        admin_keys.Key("alice-test", secret, "alice", START_MS),
        admin_keys.Key("bob-test", secret, "bob", START_MS, START_MS + 1000),
    ]
    admin_keys.write_keys(folder / "admin-keys.json", admin)

    master = folder / "test-master-keys"
    older = base64.urlsafe_b64encode(b"winchdyke-test-data-older-master")
    newer = base64.urlsafe_b64encode(b"winchdyke-test-data-not-a-secret")
    rights = [
        access_keys.Right("photos-*", "2023/", ["list", "read"]),
        access_keys.Right("logs", "", ["write"]),
    ]
    with fixed_clock(), patch("os.urandom", lambda size: b"test data for IV"[:size]):
        with patch.object(Fernet, "generate_key", lambda: older):
            access_keys.add_master_key(master)
        with (
            patch("secrets.token_urlsafe", lambda _: "test-secret-1"),
            patch("secrets.token_hex", lambda _: "test1"),
        ):
            first, _ = access_keys.create_key("alice", rights, master, START_MS)
        with patch.object(Fernet, "generate_key", lambda: newer):
            access_keys.add_master_key(master)
        with (
            patch("secrets.token_urlsafe", lambda _: "test-secret-2"),
            patch("secrets.token_hex", lambda _: "test2"),
        ):
            second, _ = access_keys.create_key("bob", [], master, START_MS, START_MS + 1000)
    access_keys.write_keys(folder / "access-keys.json", [first, second])


def write_write_back_log(folder: Path) -> None:
    """Writes two segments: one write is done, one may have been sent, one has not been sent; the log is closed."""

    def payload(number: int, body: bytes) -> bytes:
        record = WriteBackRecord(
            volume="photos-1",
            key=f"2023/{number}.jpg",
            class_name="upload",
            repeat_key=f"repeat-{number}",
            passed=[(b"content-type", b"image/jpeg")],
            shard=number,
            units=1.5,
            etag=etag_of(body),
            unix_ms=START_MS + number,
            client_request=f"client-{number}",
            body=body,
        )
        return msgspec.msgpack.encode(record)

    log = Log(Folder(folder), SEGMENT_BYTES, 4 * SEGMENT_BYTES)
    done = log.append(payload(1, b"first body"))
    sent = log.append(payload(2, b"second body"))
    log.sync()
    log.close()

    log = Log(Folder(folder), SEGMENT_BYTES, 4 * SEGMENT_BYTES)
    log.append(payload(3, bytes(range(256))))
    log.sync()
    log.append(sent.to_bytes(8, "little") + b'"tag-before"', RecordKind.SENDING)
    log.sync()
    log.mark_done([done])
    log.close()
    (folder / Folder.LOCK_FILE).unlink()


def account(number: int) -> Account:
    """Returns the account of a request that was queued behind a volume and served by its second endpoint."""
    return Account(
        request=f"request-{number}",
        began_unix_ms=START_MS + 60_000.0 * (number // 3),
        gateway="gateway-1",
        volume=f"volume-{number % 2}",
        class_name="fetch",
        key=f"object-{number}",
        outcome="served",
        reason="",
        status=200,
        latency_ns=5_000_000 + number,
        phases_ns=[("held", 2_000_000 + number), ("store", 3_000_000)],
        causes_ns={"window": 2_000_000 + number},
        blame=[("volume", "volume-9", "export", 2_000_000 + number)],
        attempt_endpoints=["192.0.2.1:9000", "192.0.2.2:9000"],
        attempt_outcomes=["timed-out", "served"],
        client_request=f"client-{number}",
        first_request="request-0" if number == 2 else "",
        units=2.0,
        attempt_times_ns=[1_000_000, 2_000_000],
        expected_times_ns=[1_500_000, 1_000_000],
        timeline=[("held", 0, 2_000_000 + number), ("store", 2_000_000 + number, 3_000_000)],
    )


def trace_record() -> TraceRecord:
    """Returns the trace of a request that was queued for two causes, sent to a store and served."""
    return TraceRecord(
        request="request-noted",
        end_unix_ns=(START_S + 300) * 1_000_000_000,
        gateway="gateway-1",
        volume="volume-1",
        class_name="fetch",
        key="object-noted",
        outcome="served",
        reason="",
        status=206,
        client_request="client-noted",
        first_request="",
        units=1.0,
        end_ns=9_000_000,
        phase_marks=[1_000_000, 0, 1_500_000, 1, 4_500_000, 5, 8_000_000, 6],
        waits=[
            (
                1_500_000,
                4_500_000,
                {("volume", "volume-9", "export"): 2.0, ("node", "192.0.2.1:9000", "slow"): 1.0},
                {"window": 2.0, "pause": 1.0},
            )
        ],
        attempts=[("192.0.2.1:9000", "served", 3.5, 2.0)],
    )


def write_ledger(folder: Path) -> None:
    """Writes a segment compacted to minute sums, a segment with an account and a trace, and a queue snapshot."""
    # The writer's thread reads the clock too, so an advancing clock would give different times in each run.
    with patch("time.time", lambda: float(START_S)):
        writer = ledger_writer.LedgerWriter(folder)
        for number in range(5):
            writer.put(account(number))
        writer.close()
        writer = ledger_writer.LedgerWriter(folder)
        writer.put(account(7))
        writer.put(trace_record())
        queued = QueuedGroup(1, "fetch", 3, "window", [("volume", "volume-9", "export", 0.75)])
        writer.publish_snapshot("gateway-1", [queued])
        writer.close()
    compaction.compact_ledger(folder, max_total_bytes=1 << 30, retention_seconds=0.0)
    (folder / "compact.lock").unlink()


def main() -> None:
    """Writes all fixtures to the folder named on the command line."""
    target = Path(sys.argv[1])
    write_changes(target / "changes")
    write_endpoint_lists(target / "nodes")
    anyio.run(write_endpoint_history, target / "nodes-history")
    write_members(target / "fleet")
    write_keys(target / "keys")
    write_write_back_log(target / "writeback")
    write_ledger(target / "ledger")


if __name__ == "__main__":
    main()
