"""Latency attribution: spans and blame that add up exactly, causes of waits, crash-safe ledgers, reports."""

from __future__ import annotations

import itertools
import json
import os
import random
import subprocess
import sys
import time
from pathlib import Path

import anyio
import msgspec
import pytest
from click.testing import CliRunner
from host import measured
from hypothesis import given, settings
from hypothesis import strategies as st
from rig import INI, ONCE, rig, run_async
from rig import settings as rig_settings

from winchdyke import Scheduler
from winchdyke import interface as api
from winchdyke.cli.main import main
from winchdyke.config import ini
from winchdyke.days import script
from winchdyke.days.run import run_scenario
from winchdyke.latency_attribution import ledger, ledger_writer, segments
from winchdyke.latency_attribution.apportionment import apportion
from winchdyke.latency_attribution.page import render_page
from winchdyke.latency_attribution.queue_observer import QueueObserver
from winchdyke.latency_attribution.records import Account
from winchdyke.latency_attribution.report import report_data
from winchdyke.latency_attribution.spans import split_into_spans, total_by_phase
from winchdyke.latency_attribution.summary import Summary, summarize
from winchdyke.latency_attribution.vocabulary import PHASE_CODES


def account(name: str = "r1", **changes: object) -> Account:
    result = Account(
        request=name, began_unix_ms=1e12, gateway="g", volume="course", class_name="fetch", key="k", outcome="served",
        reason="ok", status=200, latency_ns=30, phases_ns=[("held", 10), ("store", 20)], causes_ns={"window": 10},
        blame=[("volume", "other", "export", 10)], attempt_endpoints=["n"], attempt_outcomes=["served"],
        attempt_times_ns=[20], expected_times_ns=[10],
    )  # fmt: skip
    for key, value in changes.items():
        setattr(result, key, value)
    return result


@given(
    st.lists(
        st.tuples(st.integers(-50, 10**9), st.sampled_from(["held", "dial", "store", "client"])), max_size=30
    )
)
def test_spans_add_up_exactly_to_the_latency_even_if_the_clock_steps_back(marks):
    phase_marks, now = [1000, 0], 1000
    for step, phase in marks:
        now += step
        phase_marks += (now, PHASE_CODES[phase])
    spans = split_into_spans(phase_marks, now)
    assert all(a[2] == b[1] and a[0] != b[0] for a, b in itertools.pairwise(spans))
    assert sum(end - begin for _, begin, end in spans) == spans[-1][2] - 1000
    assert all(end >= begin for _, begin, end in spans)
    assert sum(span for _, span in total_by_phase(spans)) == spans[-1][2] - 1000


@given(
    st.integers(0, 10**12),
    st.dictionaries(st.tuples(st.just("volume"), st.text(max_size=3), st.just("c")), st.floats(0, 1e9)),
)
def test_blame_adds_up_exactly_to_the_wait(total_ns, weights):
    shares = apportion(total_ns, weights)
    assert sum(shares.values()) == total_ns
    assert all(share >= 0 for share in shares.values())


def make_scheduler(**changes: object) -> Scheduler:
    classes = (
        api.RequestClass(
            "fetch", 2.0, 400.0, 3000.0, 0.1, api.RepeatSafety.IDEMPOTENT, api.DeduplicationScope.ALL, 0.0
        ),
        api.RequestClass(
            "export", 1.0, 1500.0, 5000.0, 0.1, api.RepeatSafety.IDEMPOTENT, api.DeduplicationScope.ALL, 0.0
        ),
        api.RequestClass(
            "turns",
            1.0,
            500.0,
            3000.0,
            0.1,
            api.RepeatSafety.IDEMPOTENT,
            api.DeduplicationScope.ALL,
            0.0,
            in_order=True,
        ),
    )
    plans = (
        api.Plan("open", 1.0, 1.0, 10.0, 0.0),
        api.Plan("capped", 1.0, 1.0, 10.0, 0.0, limit_units_per_s=2.0, limit_burst_units=8.0),
    )
    return Scheduler(
        api.Settings(
            gateway_count=1, gateway_index=0, classes=classes, plans=plans, max_attempts=3, **changes
        ),
        1,
        0.0,
    )


def make_request(
    name: str,
    class_name: str = "fetch",
    volume: str = "a",
    plan: str = "open",
    key: str = "",
    units: float = 1.0,
) -> api.Request:
    return api.Request(name, class_name, plan, volume, key or name, units, 0, 1, 2500.0)


class ObservedScheduler:
    """A scheduler with an observer in virtual time, and an endpoint whose responses the test triggers."""

    def __init__(self, with_endpoint: bool = True, **changes: object) -> None:
        self.now_ms, self.scheduler = 0.0, make_scheduler(**changes)
        self.observer = QueueObserver(self.scheduler)
        self.sent: list[str] = []
        self.waits: dict[str, tuple[dict, dict]] = {}
        self.queued_at_ms: dict[str, float] = {}
        if with_endpoint:
            self.handle(
                api.EndpointList(api.EndpointListKind.FULL, (api.Endpoint("n", api.EndpointStatus.READY, 0),))
            )

    def handle(self, *events: api.Event) -> None:
        """Passes events to the scheduler, and its actions and state to the observer."""
        for event in events:
            if isinstance(event, api.Request):
                self.queued_at_ms[event.request_id] = self.now_ms
                self.observer.record_queued(event.request_id, event.shard, event.request_class, self.now_ms)
        actions = self.scheduler.handle(self.now_ms, list(events))
        for action in actions:
            if isinstance(action, (api.StartAttempt, api.ShedRequest, api.FailRequest)):
                self.waits[action.request_id] = self.observer.record_dequeued(action.request_id, self.now_ms)
                if isinstance(action, api.StartAttempt):
                    self.sent.append(action.request_id)
        self.observer.observe(self.now_ms)

    def advance(self, duration_ms: float, step_ms: float = 5.0) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + step_ms)
            self.handle(api.TimerFired(0))

    def complete(self, name: str) -> None:
        self.handle(api.AttemptEnded(name, 0, "n", api.AttemptOutcome.SERVED, 10.0, True))


def test_a_wait_behind_an_export_is_attributed_to_the_export():
    observed = ObservedScheduler()
    for number in range(4):
        observed.handle(make_request(f"e{number}", "export", "big", units=8.0))
    for number in range(6):
        observed.handle(make_request(f"f{number}", "fetch", "small"))
    held = next(f"f{n}" for n in range(6) if f"f{n}" not in observed.sent)
    observed.advance(30)
    for number in range(4):
        observed.complete(f"e{number}")
    holders, causes = observed.waits[held]
    assert sum(holders.values()) == pytest.approx(30.0) == sum(causes.values())
    assert holders["volume", "big", "export"] > 10.0
    assert set(causes) <= {"window", "share", "turn"}


def test_two_volumes_that_delay_each_other_are_both_blamed():
    observed = ObservedScheduler()
    for number in range(12):
        observed.handle(make_request(f"r{number}", volume="ab"[number % 2]))
    observed.advance(20)
    for name in list(observed.sent):
        observed.complete(name)
    held = {
        name: observed.waits[name][0] for name in observed.waits if sum(observed.waits[name][0].values()) > 10
    }
    assert all({"a", "b"} <= {holder[1] for holder in holders} for holders in held.values())
    assert len(held) >= 4


def test_quota_key_order_and_a_missing_endpoint_are_causes():
    observed = ObservedScheduler()
    observed.advance(200)
    observed.handle(make_request("l1", volume="c", plan="capped"))
    observed.advance(600)  # the quota admits it half a second after the start
    holders, causes = observed.waits["l1"]
    assert "l1" in observed.sent and causes == {"limit": pytest.approx(300.0)}
    assert holders == {("volume", "c", "limit"): pytest.approx(300.0)}
    observed.complete("l1")
    observed.handle(make_request("o1", "turns", "d", key="same"))
    observed.handle(make_request("o2", "turns", "e", key="same"))
    observed.advance(100)
    observed.complete("o1")
    observed.advance(5)
    assert observed.waits["o2"][1]["order"] == pytest.approx(100.0, abs=10)
    assert observed.waits["o2"][0]["volume", "d", "turns"] == pytest.approx(100.0, abs=10)
    without_endpoint = ObservedScheduler()
    without_endpoint.handle(
        api.EndpointList(api.EndpointListKind.CHANGES, (api.Endpoint("n", api.EndpointStatus.REMOVED, 0),))
    )
    without_endpoint.handle(make_request("x"))
    without_endpoint.advance(50)
    without_endpoint.handle(
        api.EndpointList(api.EndpointListKind.CHANGES, (api.Endpoint("m", api.EndpointStatus.READY, 0),))
    )
    if "x" in without_endpoint.waits:
        assert without_endpoint.waits["x"][1].get("no-node", 0) == pytest.approx(
            sum(without_endpoint.waits["x"][1].values()), abs=1
        )


def test_a_wait_for_attempts_past_their_expected_time_is_attributed_to_the_endpoint():
    observed = ObservedScheduler()
    for number in range(8):
        observed.handle(make_request(f"r{number}", volume=f"v{number}"))
    held = next(f"r{n}" for n in range(8) if f"r{n}" not in observed.sent)
    observed.advance(400)
    for name in list(observed.sent):
        observed.complete(name)
    holders = observed.waits[held][0]
    assert holders["node", "n", "slow"] > 0.7 * sum(holders.values())


def test_an_observation_costs_no_more_with_ten_thousand_queued_requests(monkeypatch):
    """Counts calls instead of time: one group and a bounded number of requests are observed each time."""
    counts = {"groups": 0, "requests": 0}
    group_cause, observe_request = QueueObserver._group_cause, QueueObserver._observe_request

    def count_group_cause(*arguments):
        counts["groups"] += 1
        return group_cause(*arguments)

    def count_observe_request(*arguments):
        counts["requests"] += 1
        return observe_request(*arguments)

    monkeypatch.setattr(QueueObserver, "_group_cause", count_group_cause)
    monkeypatch.setattr(QueueObserver, "_observe_request", count_observe_request)
    observed = ObservedScheduler()
    for number in range(10_000):
        observed.observer._start_wait(f"r{number}", 0, "fetch", number / 10_000)
    counts.update(groups=0, requests=0)
    for number in range(20):
        observed.observer.observe(10.0 + number)
    assert counts["groups"] == 20
    assert counts["requests"] <= 20 * 512
    waits = [observed.observer.record_dequeued(f"r{number}", 50.0)[0] for number in range(10_000)]
    assert sum(waits[0].values()) == pytest.approx(50.0)
    assert not observed.observer._groups and not observed.observer._waiting


def close_and_read_ledger(it, folder: Path) -> list[Account]:
    """Closes the gateway's ledger, so that all accounts are written, and reads them."""
    it.gateway.ledger.close()
    return list(ledger.read_accounts([folder]))


def settings_with_ledger(folder: Path, extra: str = ""):
    from winchdyke.config.loading import load_text
    from winchdyke.config.serialization import serialize

    text = serialize(ini.load_text(INI + ONCE, "d.ini").values)
    return load_text(
        f'{text}\naccounts {{\n    folder = "{folder}"\n    sync = 20ms\n}}\n{extra}', "made"
    ).config


@pytest.mark.parametrize("slow_ms", [20.0, 80.0, 300.0])
@measured
def test_the_time_added_by_a_slow_endpoint_is_measured_within_5_percent(tmp_path, slow_ms):
    """One endpoint is slowed by a known time, which its attempts in the ledger must show."""

    @run_async
    async def run():
        async with rig(settings_with_ledger(tmp_path), unit_ms=slow_ms / 10) as it:
            slow = it.store_of("/school-1/object")
            slow.slowdown = 10.0
            for _ in range(max(6, int(400 / slow_ms))):
                await it.request("GET", "/school-1/object")
                await it.request("GET", "/school-1/other-1")
            accounts = close_and_read_ledger(it, tmp_path)
            at_slow = [a for a in accounts if a.attempt_endpoints == [slow.name]]
            # The attempt least disturbed by the host.
            attempt_ms = min(a.attempt_times_ns[0] for a in at_slow) / 1e6
            assert attempt_ms == pytest.approx(slow_ms, rel=0.05, abs=2.5), (
                "the host's own time is up to 2.5 ms"
            )
            assert all(sum(span for _, span in a.phases_ns) == a.latency_ns for a in accounts)

    run()


@measured
def test_the_accounts_of_a_simulated_day_with_faults_add_up_and_are_reported(tmp_path):
    day = script.bad_day(4, length=8_000.0, rate=80.0)
    ledgers = [tmp_path / f"gateway-{n}" for n in range(3)]
    more = f'\naccounts {{\n    folder = "{tmp_path}/$"\n}}\n'
    verdict, _, ends = run_scenario(day, extra_settings=more.replace("$", "{name}"))
    assert verdict.kept and ends == [0, 0, 0]
    accounts = list(ledger.read_accounts(ledgers))
    assert len(accounts) > 500
    for each in accounts:
        assert sum(span for _, span in each.phases_ns) == each.latency_ns
        assert sum(share for *_, share in each.blame) == each.queued_ns
        assert sum(each.causes_ns.values()) == each.queued_ns
    summary = summarize(accounts)
    assert sum(summary.matrix.values()) == summary.queued_ns
    result = CliRunner().invoke(main, ["waits", "report", "--json", *map(str, ledgers)])
    data = json.loads(result.output)
    assert data["requests"] == len(accounts)
    slowest = data["worst"][0]["request"]
    assert (
        CliRunner().invoke(main, ["waits", "explain", slowest, *map(str, ledgers)]).output.startswith(slowest)
    )
    html_result = CliRunner().invoke(
        main, ["waits", "report", "--html", str(tmp_path / "page.html"), *map(str, ledgers)]
    )
    assert "requests, held" in html_result.output
    assert "<svg" in (tmp_path / "page.html").read_text()
    diff_result = CliRunner().invoke(main, ["waits", "diff", str(ledgers[0]), str(ledgers[0])])
    assert diff_result.exit_code == 0


def test_retries_refer_to_the_first_request_and_those_at_another_gateway_are_possible_retries(tmp_path):
    @run_async
    async def run():
        async with rig(settings_with_ledger(tmp_path)) as it:
            store = it.store_of("/school-1/object")
            store.kill()
            first = await it.request(
                "PUT", "/school-1/object", b"x", idempotency_key="k", winchdyke_time_left="300ms"
            )
            await store.start(it.group)
            await anyio.sleep(0.6)
            second = await it.request("PUT", "/school-1/object", b"x", idempotency_key="k")
            assert (first.status, second.status) == (503, 201)
            accounts = close_and_read_ledger(it, tmp_path)
            assert [each.first_request for each in accounts] == ["", accounts[0].request]

    run()
    summary = Summary()
    summary.add(account("r1", outcome="refused", client_request="c1", gateway="g1"))
    summary.add(account("r2", outcome="refused", client_request="c2", gateway="g2"))
    assert summary.possible_retries == 1


def segment(folder: Path, count: int) -> tuple[Path, bytes, list[int]]:
    """Writes a segment; returns its path, its bytes, and the offset at which each record ends."""
    path = folder / f"000000000001{segments.SEGMENT_SUFFIX}"
    data, ends = segments.SEGMENT_HEADER, []
    for number in range(count):
        data += segments.frame_record(msgspec.msgpack.encode(account(f"r{number}")))
        ends.append(len(data))
    path.write_bytes(data)
    return path, data, ends


def test_a_ledger_truncated_at_any_byte_yields_all_records_before_it(tmp_path):
    path, data, ends = segment(tmp_path, 3)
    for size in range(len(data) + 1):
        path.write_bytes(data[:size])
        recovery = segments.RecoveryReport()
        names = [each.request for each in ledger.read_accounts([tmp_path], recovery)]
        assert names == [f"r{n}" for n, end in enumerate(ends) if end <= size]
        assert bool(recovery.lost_bytes) == (size > len(segments.SEGMENT_HEADER) and size not in ends)


def test_a_damaged_byte_loses_only_its_record_and_is_reported(tmp_path):
    path, data, ends = segment(tmp_path, 3)
    begins = [len(segments.SEGMENT_HEADER), *ends]
    for offset in range(len(data)):
        path.write_bytes(data[:offset] + bytes([data[offset] ^ 0x55]) + data[offset + 1 :])
        recovery = segments.RecoveryReport()
        names = [each.request for each in ledger.read_accounts([tmp_path], recovery)]
        damaged = next((n for n in range(3) if begins[n] <= offset < begins[n + 1]), None)
        assert names == [f"r{n}" for n in range(3) if n != damaged]
        assert recovery.losses


def test_a_full_disk_loses_only_accounts(tmp_path, monkeypatch):
    writer = ledger_writer.LedgerWriter(tmp_path, ledger_writer.LedgerBounds(sync_interval_seconds=0.01))
    writer.put(account("r1"))
    until = time.monotonic() + 5
    while not writer.synced and time.monotonic() < until:
        time.sleep(0.01)
    original_write = os.write

    def fail_with_full_disk(descriptor: int, data: bytes) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("winchdyke.latency_attribution.ledger_writer.os.write", fail_with_full_disk)
    writer.put(account("r2"))
    while not writer.failed and time.monotonic() < until:
        time.sleep(0.01)
    monkeypatch.setattr("winchdyke.latency_attribution.ledger_writer.os.write", original_write)
    writer.put(account("r3"))
    writer.close()
    assert (writer.failed, writer.last_error) == (1, "No space left on device")
    assert [each.request for each in ledger.read_accounts([tmp_path])] == ["r1", "r3"]


def test_dropped_accounts_are_counted_and_segments_stay_within_their_bound(tmp_path, monkeypatch):
    monkeypatch.setattr("winchdyke.latency_attribution.ledger_writer.BATCH_RECORDS", 5)
    writer = ledger_writer.LedgerWriter(tmp_path, ledger_writer.LedgerBounds(max_queued_accounts=0))
    writer.put(account())
    assert writer.dropped == 1
    writer.close()
    writer = ledger_writer.LedgerWriter(
        tmp_path,
        ledger_writer.LedgerBounds(
            max_segment_bytes=2000, max_total_bytes=10_000, sync_interval_seconds=0.01
        ),
    )
    for number in range(400):
        writer.put(account(f"r{number}"))
        if number % 10 == 0:
            time.sleep(0.002)
    writer.close()
    sizes = [path.stat().st_size for path in tmp_path.glob(f"*{segments.SEGMENT_SUFFIX}")]
    assert sum(sizes) < 40_000 and len(sizes) > 1
    assert [each.request for each in ledger.read_accounts([tmp_path])][-1] == "r399"


WRITER_PROGRAM = """
import sys, time
sys.path.insert(0, "tests")
from pathlib import Path
from test_latency_attribution import account
from winchdyke.latency_attribution import ledger_writer
writer = ledger_writer.LedgerWriter(
    Path(sys.argv[1]), ledger_writer.LedgerBounds(sync_interval_seconds=0.002, max_segment_bytes=20000)
)
number = 0
while True:
    for _ in range(20):
        writer.put(account(f"{sys.argv[2]}-{number}"))
        number += 1
    print(writer.synced, flush=True)
    time.sleep(0.0005)
"""


def test_no_synced_record_is_lost_by_kills_at_random_moments(
    tmp_path, rounds: int = int(os.environ.get("WAITS_KILLS", "6"))
):
    draw = random.Random(3)
    for number in range(rounds):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER_PROGRAM, str(tmp_path), str(number)],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert process.stdout is not None
        synced = 0
        lines = draw.randrange(1, 60)
        for line in process.stdout:
            synced = int(line)
            lines -= 1
            if lines <= 0:
                break
        process.kill()
        process.wait(5)
        process.stdout.close()
        recovery = segments.RecoveryReport()
        names = {each.request for each in ledger.read_accounts([tmp_path], recovery)}
        assert all(f"{number}-{n}" in names for n in range(synced)), recovery.losses
        assert render_page(report_data(summarize(ledger.read_accounts([tmp_path]))), recovery.losses)


@given(st.text(max_size=20), st.text(max_size=20))
@settings(max_examples=40)
def test_names_are_escaped_in_the_page(volume, detail):
    summary = Summary()
    summary.add(account(volume=f"<script>{volume}</script>\n", blame=[("volume", f"<b>{detail}", "<i>", 10)]))
    page = render_page(report_data(summary), [f"<u>{detail}"])
    assert "<script>" not in page and "<b>" not in page and "<i>" not in page and "<u>" not in page


def test_a_summary_of_many_volumes_holders_and_keys_stays_bounded():
    summary = Summary()
    for number in range(20_000):
        summary.add(
            account(
                f"r{number}",
                key=f"k{number}",
                volume=f"v{number % 300}",
                blame=[("volume", f"h{number % 9000}", "c", 10)],
            )
        )
    assert len(summary.matrix) <= 2 * 2000 + 300
    assert sum(summary.matrix.values()) == summary.queued_ns
    assert summary.folded_ns <= summary.queued_ns


def test_unusable_ledgers_and_arguments_are_reported(tmp_path):
    for arguments in (
        ["report", str(tmp_path)],
        ["report", str(tmp_path / "no.waits")],
        ["explain", "x", str(tmp_path)],
    ):
        result = CliRunner().invoke(main, ["waits", *arguments])
        assert result.exit_code == 1 and result.output.startswith("Error: ")
    segment(tmp_path, 1)
    assert (
        "is no time" in CliRunner().invoke(main, ["waits", "report", "--from", "soon", str(tmp_path)]).output
    )
    assert "no ledger here holds" in CliRunner().invoke(main, ["waits", "explain", "x", str(tmp_path)]).output


def test_the_rig_has_no_ledger_by_default():
    assert rig_settings().accounts.folder == ""
