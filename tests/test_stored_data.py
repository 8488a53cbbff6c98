"""Data stored by earlier releases (the fixtures in tests/data) must be read with the same values by the current code.

The fixtures were written by tests/data/write_fixtures.py. If a test fails here, data of an earlier release would be lost or
misread: fix the code, not the fixture.
"""

from __future__ import annotations

import json
import shutil
from dataclasses import astuple
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from winchdyke.admin import keys as admin_keys
from winchdyke.auth import keys as access_keys
from winchdyke.cli.main import main
from winchdyke.config_rollout import last_known_good
from winchdyke.config_rollout.change_log import ChangeLogError, Version
from winchdyke.config_rollout.rollout_state import ON_HOLD_MS, RolloutState
from winchdyke.discovery import cache as endpoint_cache
from winchdyke.discovery.records import CachedEndpoint, DiscoveryStatus
from winchdyke.latency_attribution import ledger, records, segments
from winchdyke.latency_attribution.ledger import read_queue_snapshot
from winchdyke.latency_attribution.records import Account, EndpointSum, LatencySum, MinuteSums, VolumeSum
from winchdyke.latency_attribution.sums import new_histogram
from winchdyke.membership import member_cache
from winchdyke.writeback.disk import Folder
from winchdyke.writeback.log import Log, RecoveryReport
from winchdyke.writeback.record import WriteBackRecord

DATA = Path(__file__).parent / "data"
START_MS = 1_700_000_000_000.0
CONFIRM_BY_MS = START_MS + 600_000
SEGMENT_BYTES = 4096


def copied(kind: str, tmp_path: Path) -> Path:
    """Returns a copy of a fixture with access for its owner alone, as the readers require; git does not store these modes."""
    folder = tmp_path / kind
    shutil.copytree(DATA / kind, folder)
    folder.chmod(0o700)
    for path in folder.iterdir():
        path.chmod(0o600)
    return folder


# Change log


def settings_text(connections: int) -> str:
    """Returns the settings of one version in the fixture."""
    return f"limits {{\n    connections = {connections}\n}}\n"


def difference(old: int, new: int) -> str:
    """Returns the difference of two versions in the fixture."""
    text = f"limits.connections: {old} -> {new}"
    return f'[{{"path": "limits.connections", "old": {old}, "new": {new}, "text": "{text}"}}]'


# Actor, action, version, confirm_by_ms, note, origin and activate_at_ms of each entry.
ENTRIES = [
    ("alice", "proposed", 1, 0.0, "first settings", "test", 0.0),
    ("gateway", "staged", 1, 0.0, "", "", 0.0),
    ("gateway", "applying", 1, 0.0, "", "", 0.0),
    ("gateway", "applied", 1, 0.0, "", "", 0.0),
    ("bob", "proposed", 2, 0.0, "more clients in Žďár", "test", 0.0),
    ("bob", "staged", 2, CONFIRM_BY_MS, "on trial", "test", 0.0),
    ("gateway", "applying", 2, 0.0, "", "", 0.0),
    ("gateway", "applied", 2, CONFIRM_BY_MS, "", "", 0.0),
    ("bob", "confirmed", 2, 0.0, "works", "test", 0.0),
    ("alice", "proposed", 3, 0.0, "even more", "test", 0.0),
    ("alice", "staged", 3, CONFIRM_BY_MS, "", "test", START_MS + 60_000),
    ("gateway", "applying", 3, 0.0, "", "", 0.0),
    ("gateway", "applied", 3, CONFIRM_BY_MS, "", "", 0.0),
    ("alice", "undoing", 2, 0.0, "too many", "test", 0.0),
    ("alice", "undone", 2, 0.0, "", "test", 0.0),
    ("bob", "proposed", 4, 0.0, "a middle way", "test", 0.0),
    ("bob", "staged", 4, 0.0, "", "test", ON_HOLD_MS),
]
PRUNED_ENTRIES = 9
LAST_PRUNED_HASH = "24c0e6f8edd65b824f4d56a9f1b1dc61f21309092aa7aec0335f8a0781b49bfd"
LAST_HASH = "e44a4c0519b79c98409d8e83eafdd8a217f99bb05c1a02a77650bb5aa58a1597"


def test_the_change_log_is_read_with_its_archive(tmp_path):
    """Compares all entries, versions, the chain of hashes and the rollout state."""
    change_log, problem = last_known_good.open_change_log(copied("changes", tmp_path))
    assert problem == ""
    assert change_log.verify(archives=True) == []

    entries = change_log.all_entries()
    assert [entry.seq for entry in entries] == list(range(1, len(ENTRIES) + 2))
    assert [entry.unix_ms for entry in entries] == [START_MS + 1000 * n for n in range(len(ENTRIES) + 1)]
    fields = [
        (e.actor, e.action, e.version, e.confirm_by_ms, e.note, e.origin, e.activate_at_ms) for e in entries
    ]
    assert fields[:-1] == ENTRIES
    assert [entry.seq for entry in change_log.archived_entries()] == list(range(1, PRUNED_ENTRIES + 1))
    assert entries[PRUNED_ENTRIES - 1].hash == LAST_PRUNED_HASH
    assert entries[-1].hash == LAST_HASH

    actor, action, version, confirm_by_ms, note, origin, activate_at_ms = fields[-1]
    assert (actor, action, version, confirm_by_ms, origin, activate_at_ms) == (
        "gateway",
        "pruned",
        0,
        0.0,
        "",
        0.0,
    )
    assert json.loads(note) == {
        "seq": PRUNED_ENTRIES,
        "hash": LAST_PRUNED_HASH,
        "standing": {
            "serving": 2,
            "staged": 0,
            "staged_until_ms": CONFIRM_BY_MS,
            "applying": 0,
            "before": 1,
            "until_ms": 0.0,
            "staged_at_ms": 0.0,
            "undoing": False,
            "instant_ms": 0.0,
        },
        "kept": {"2": "b5a967070f323ecb4619a3540c6a50367324b8267881dd35acc17143a6442400"},
    }

    assert change_log.state() == RolloutState(
        serving=2, staged=4, previous=3, staged_activate_at_ms=ON_HOLD_MS
    )
    assert change_log.version(2) == Version(2, 1, settings_text(200), difference(100, 200))
    assert change_log.version(3) == Version(3, 2, settings_text(300), difference(200, 300))
    assert change_log.version(4) == Version(4, 2, settings_text(250), difference(200, 250))
    with pytest.raises(ChangeLogError, match="no version 1"):
        change_log.version(1)
    archived = change_log.archive_paths()[0].read_text(encoding="utf-8").splitlines()
    assert json.loads(archived[0]) == {"version": [1, 0, settings_text(100), "[]"]}
    assert {path: entry.seq for path, entry in change_log.blame().items()} == {"limits.connections": 15}


def test_the_version_that_was_served_last_is_read(tmp_path):
    """Compares its number and text; load() returns None if the checksum does not fit."""
    served = last_known_good.load(copied("changes", tmp_path))
    assert served is not None
    assert (served.version, served.text) == (2, settings_text(200))
    assert served.sha256 == "755c96edcfe5b4ae813ba93cbeb9a012a5c996e4df8a739a587db3364a863b83"


# Endpoints


def test_both_generations_of_the_endpoint_list_are_read(tmp_path):
    """Compares every field of each endpoint."""
    folder = copied("nodes", tmp_path)
    first = CachedEndpoint(
        "192.0.2.1:9000", 0, "east", DiscoveryStatus.USABLE, "on the list", 5.0, "store-1", "boot-1"
    )
    others = [
        CachedEndpoint(
            f"192.0.2.{number}:9000",
            number,
            "west",
            DiscoveryStatus(state),
            f"test of {state}",
            10.0 * number,
            f"store-{number}",
            f"boot-{number}",
            started_at_ms=2.5,
            start_time_known=True,
            uptime_reported=True,
            drain_announced=state == "draining",
            listed=state == "usable",
            confirmed_by="list",
            confirmed_unix_ms=START_MS + number,
            last_response_at_ms=100.5,
            omitted_since_ms=50.0 if state == "usable" else None,
            failed_attempts=number,
            next_attempt_at_ms=200.0,
        )
        for number, state in enumerate(("doubtful", "usable", "cold", "draining", "gone", "reused"), 2)
    ]

    newest, problems = endpoint_cache.load(folder)
    assert problems == []
    assert newest == endpoint_cache.CachedEndpointList(START_MS + 1000, "gateway-1", [first, *others])
    previous = endpoint_cache.read_generation(endpoint_cache.generation_path(folder, 1))
    assert previous == endpoint_cache.CachedEndpointList(START_MS, "gateway-1", [first])


def test_the_endpoint_history_is_read(tmp_path):
    """Compares all lines, in order, as the command prints them."""
    folder = copied("nodes-history", tmp_path)
    result = CliRunner().invoke(main, ["nodes", "history", str(folder), "--json"])
    assert result.exit_code == 0, result.output
    assert [json.loads(line) for line in result.output.splitlines()] == [
        {"unix_ms": 1_700_000_001_000, "node": "192.0.2.1:9000", "state": "usable", "why": "named by list"},
        {"unix_ms": 1_700_000_002_000, "node": "192.0.2.2:9000", "state": "usable", "why": "named by list"},
        {
            "unix_ms": 1_700_000_004_000,
            "node": "192.0.2.2:9000",
            "state": "draining",
            "why": "drains, by list",
        },
    ]


# Membership


def test_the_known_members_are_read(tmp_path):
    """Compares this gateway's name and last incarnation, and the other members in order."""
    known, problem = member_cache.load(copied("fleet", tmp_path))
    assert problem == ""
    assert known == member_cache.KnownMembers(
        "gateway-1",
        1_700_000_000_123,
        [
            member_cache.KnownMember("gateway-2", "192.0.2.12:7400"),
            member_cache.KnownMember("gateway-3", "[2001:db8::3]:7400"),
        ],
    )


# Keys


def test_keys_of_the_admin_api_are_read(tmp_path):
    """Compares ids, owners, times and secrets, and which keys are valid when."""
    path = copied("keys", tmp_path) / "admin-keys.json"
    keys = admin_keys.read_keys(path)
    assert [(key.id, key.who, key.valid_from_ms, key.valid_until_ms) for key in keys] == [
        ("alice-test", "alice", START_MS, 0.0),
        ("bob-test", "bob", START_MS, START_MS + 1000),
    ]
    assert [key.secret_bytes() for key in keys] == [b"winchdyke test data, not secret!"] * 2
    ring = admin_keys.KeyRing(path)
    assert [key.id for key in ring.valid_keys(START_MS - 1)] == []
    assert [key.id for key in ring.valid_keys(START_MS)] == ["alice-test", "bob-test"]
    assert [key.id for key in ring.valid_keys(START_MS + 1000)] == ["alice-test"]


def test_access_keys_are_read_and_their_secrets_decrypted(tmp_path):
    """Keys encrypted with an older and a newer master key; compares their rights and secrets."""
    folder = copied("keys", tmp_path)
    path, master = folder / "access-keys.json", folder / "test-master-keys"
    first, second = access_keys.read_keys(path)
    assert (first.id, first.who, first.since_ms, first.until_ms) == ("WDTEST1", "alice", START_MS, 0.0)
    assert (second.id, second.who, second.since_ms) == ("WDTEST2", "bob", START_MS)
    assert second.until_ms == START_MS + 1000
    assert second.rights == []
    assert first.rights == [
        access_keys.Right("photos-*", "2023/", ["list", "read"]),
        access_keys.Right("logs", "", ["write"]),
    ]
    assert access_keys.read_master_keys(master) == [
        b"d2luY2hkeWtlLXRlc3QtZGF0YS1ub3QtYS1zZWNyZXQ=",
        b"d2luY2hkeWtlLXRlc3QtZGF0YS1vbGRlci1tYXN0ZXI=",
    ]

    access = access_keys.AccessKeyRing(path, master)
    assert access.find("WDTEST1", START_MS) == (first, "test-secret-1")
    assert access.find("WDTEST2", START_MS) == (second, "test-secret-2")
    assert access.find("WDTEST2", START_MS + 1000) is None


# Write-back


def test_the_write_back_log_is_read(tmp_path):
    """Compares the pending writes, those that may have been sent, and each field of the records."""
    log = Log(Folder(copied("writeback", tmp_path)), SEGMENT_BYTES, 4 * SEGMENT_BYTES)
    try:
        assert log.recovery == RecoveryReport(records=7, torn=[], corrupt=[], bytes=1016)
        assert (log.sequence, log.synced, log.epoch) == (7, 7, 3)
        assert {sequence: astuple(location) for sequence, location in log.pending_writes.items()} == {
            2: (1, 248, 142),
            4: (2, 72, 388),
        }
        assert log.sending_notes == {2: b'"tag-before"'}
        records = [
            (sequence, msgspec.msgpack.decode(data, type=WriteBackRecord)) for sequence, data in log.writes()
        ]
    finally:
        log.close()

    expected = [
        (2, 2, b"second body", '"e63aeafc8ca710bbbd371f7d1730c9cc"'),
        (4, 3, bytes(range(256)), '"e2c865db4162bed963bfaa9ef6ac18f0"'),
    ]
    assert records == [
        (
            sequence,
            WriteBackRecord(
                volume="photos-1",
                key=f"2023/{number}.jpg",
                class_name="upload",
                repeat_key=f"repeat-{number}",
                passed=[(b"content-type", b"image/jpeg")],
                shard=number,
                units=1.5,
                etag=etag,
                unix_ms=START_MS + number,
                client_request=f"client-{number}",
                body=body,
            ),
        )
        for sequence, number, body, etag in expected
    ]


# Ledgers


def account(number: int) -> Account:
    """Returns the account of one request in the fixture."""
    held = 2_000_000 + number
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
        latency_ns=held + 3_000_000,
        phases_ns=[("held", held), ("store", 3_000_000)],
        causes_ns={"window": held},
        blame=[("volume", "volume-9", "export", held)],
        attempt_endpoints=["192.0.2.1:9000", "192.0.2.2:9000"],
        attempt_outcomes=["timed-out", "served"],
        client_request=f"client-{number}",
        first_request="request-0" if number == 2 else "",
        units=2.0,
        attempt_times_ns=[1_000_000, 2_000_000],
        expected_times_ns=[1_500_000, 1_000_000],
        timeline=[("held", 0, held), ("store", held, 3_000_000)],
    )


ACCOUNT_OF_TRACE = Account(
    request="request-noted",
    began_unix_ms=START_MS + 299_992,
    gateway="gateway-1",
    volume="volume-1",
    class_name="fetch",
    key="object-noted",
    outcome="served",
    reason="",
    status=206,
    latency_ns=8_000_000,
    phases_ns=[("arriving", 500_000), ("held", 3_000_000), ("store", 3_500_000), ("answer", 1_000_000)],
    causes_ns={"window": 2_000_000, "pause": 1_000_000},
    blame=[("volume", "volume-9", "export", 2_000_000), ("node", "192.0.2.1:9000", "slow", 1_000_000)],
    attempt_endpoints=["192.0.2.1:9000"],
    attempt_outcomes=["served"],
    client_request="client-noted",
    first_request="",
    units=1.0,
    attempt_times_ns=[3_500_000],
    expected_times_ns=[2_000_000],
    timeline=[
        ("arriving", 0, 500_000),
        ("held", 500_000, 3_500_000),
        ("store", 3_500_000, 7_000_000),
        ("answer", 7_000_000, 8_000_000),
    ],
)


def latencies(values: list[int]) -> LatencySum:
    """Returns the sum of latencies in nanoseconds, as stored for a minute."""
    histogram = new_histogram()
    for value in values:
        histogram.record_value(value // 1000)
    return LatencySum(len(values), sum(values), histogram.encode())


def volume_sum(volume: str, numbers: list[int]) -> VolumeSum:
    """Returns the sums of a volume in the minute of the accounts with these numbers."""
    held = sum(2_000_000 + number for number in numbers)
    return VolumeSum(
        volume,
        latencies([5_000_000 + number for number in numbers]),
        held,
        {"served": len(numbers)},
        {"held": held, "store": 3_000_000 * len(numbers)},
        {"window": held},
    )


def minute(number: int, numbers: list[int], volumes: list[VolumeSum], retries: int) -> MinuteSums:
    """Returns the sums of a minute with the accounts of these numbers; ``volumes`` in the order of their first request."""
    count = len(numbers)
    requests = {volume.volume: volume.latency.count for volume in volumes}
    by_held = sorted(volumes, key=lambda volume: -volume.queued_ns)
    return MinuteSums(
        minute=number,
        gateway="gateway-1",
        requests=count,
        queued_ns=sum(volume.queued_ns for volume in volumes),
        volumes=volumes,
        classes=[("fetch", latencies([5_000_000 + each for each in numbers]))],
        endpoints=[
            EndpointSum(
                "192.0.2.1:9000",
                latencies([1_000_000] * count),
                slow_attempts=0,
                expected_ns=1_500_000 * count,
                excess_ns=0,
                excess_ns_by_volume={},
                outcomes={"timed-out": count},
                lost_by_volume=requests,
            ),
            EndpointSum(
                "192.0.2.2:9000",
                latencies([2_000_000] * count),
                slow_attempts=count,
                expected_ns=1_000_000 * count,
                excess_ns=1_000_000 * count,
                excess_ns_by_volume={volume: 1_000_000 * each for volume, each in requests.items()},
                outcomes={"served": count},
                lost_by_volume={},
            ),
        ],
        matrix=[(volume.volume, "volume", "volume-9", "export", volume.queued_ns) for volume in by_held],
        folded_ns=0,
        max_omitted_cell_ns=0,
        retries=retries,
        slowest=[account(each) for each in numbers],
    )


def test_a_ledger_is_read_with_its_minute_sums(tmp_path):
    """Two minutes of sums, then an account and a trace, in order; nothing is lost."""
    folder = copied("ledger", tmp_path)
    recovery = segments.RecoveryReport()
    entries = list(ledger.read_entries([folder], recovery))
    assert recovery == segments.RecoveryReport(records=4, lost_bytes=0, segments=2, losses=[])
    assert entries == [
        minute(
            28_333_333, [0, 1, 2], [volume_sum("volume-0", [0, 2]), volume_sum("volume-1", [1])], retries=1
        ),
        minute(28_333_334, [3, 4], [volume_sum("volume-1", [3]), volume_sum("volume-0", [4])], retries=0),
        account(7),
        ACCOUNT_OF_TRACE,
    ]


def test_the_queue_snapshot_of_a_ledger_is_read(tmp_path):
    """Compares the gateway, the time, and the requests that were queued then."""
    queued = records.QueuedGroup(1, "fetch", 3, "window", [("volume", "volume-9", "export", 0.75)])
    assert read_queue_snapshot(copied("ledger", tmp_path)) == records.QueueSnapshot(
        START_MS, "gateway-1", [queued], 0, 0
    )
