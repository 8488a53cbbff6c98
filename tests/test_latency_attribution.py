"""Accounts: spans and blame that add up exactly, waits with the right cause, a ledger that survives, a safe report."""

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
    made = Account(
        request=name, began_unix_ms=1e12, gateway="g", volume="course", class_name="fetch", key="k", outcome="served",
        reason="ok", status=200, latency_ns=30, phases_ns=[("held", 10), ("store", 20)], causes_ns={"window": 10},
        blame=[("volume", "other", "export", 10)], attempt_endpoints=["n"], attempt_outcomes=["served"],
        attempt_times_ns=[20], expected_times_ns=[10],
    )  # fmt: skip
    for key, value in changes.items():
        setattr(made, key, value)
    return made


@given(
    st.lists(
        st.tuples(st.integers(-50, 10**9), st.sampled_from(["held", "dial", "store", "client"])), max_size=30
    )
)
def test_spans_add_up_to_the_latency_exactly_also_where_a_clock_steps_back(marks):
    noted, now = [1000, 0], 1000
    for step, phase in marks:
        now += step
        noted += (now, PHASE_CODES[phase])
    spans = split_into_spans(noted, now)
    assert all(a[2] == b[1] and a[0] != b[0] for a, b in itertools.pairwise(spans))
    assert sum(end - begin for _, begin, end in spans) == spans[-1][2] - 1000
    assert all(end >= begin for _, begin, end in spans)
    assert sum(span for _, span in total_by_phase(spans)) == spans[-1][2] - 1000


@given(
    st.integers(0, 10**12),
    st.dictionaries(st.tuples(st.just("volume"), st.text(max_size=3), st.just("c")), st.floats(0, 1e9)),
)
def test_blame_adds_up_to_the_wait_exactly(whole, parts):
    shares = apportion(whole, parts)
    assert sum(shares.values()) == whole
    assert all(share >= 0 for share in shares.values())


def scheduler(**changes: object) -> Scheduler:
    kinds = (
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
        api.Settings(gateway_count=1, gateway_index=0, classes=kinds, plans=plans, max_attempts=3, **changes),
        1,
        0.0,
    )


def asked(
    name: str, kind: str = "fetch", volume: str = "a", plan: str = "open", key: str = "", units: float = 1.0
) -> api.Request:
    return api.Request(name, kind, plan, volume, key or name, units, 0, 1, 2500.0)


class Scene:
    """A scheduler in virtual time with an observer, and a node that answers when told."""

    def __init__(self, nodes: bool = True, **changes: object) -> None:
        self.now, self.scheduler = 0.0, scheduler(**changes)
        self.observer = QueueObserver(self.scheduler)
        self.sent: list[str] = []
        self.waits: dict[str, tuple[dict, dict]] = {}
        self.began: dict[str, float] = {}
        if nodes:
            self.give(
                api.EndpointList(api.EndpointListKind.FULL, (api.Endpoint("n", api.EndpointStatus.READY, 0),))
            )

    def give(self, *events: api.Event) -> None:
        for event in events:
            if isinstance(event, api.Request):
                self.began[event.request_id] = self.now
                self.observer.record_queued(event.request_id, event.shard, event.request_class, self.now)
        actions = self.scheduler.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, (api.StartAttempt, api.ShedRequest, api.FailRequest)):
                self.waits[action.request_id] = self.observer.record_dequeued(action.request_id, self.now)
                if isinstance(action, api.StartAttempt):
                    self.sent.append(action.request_id)
        self.observer.observe(self.now)

    def pass_time(self, span: float, step: float = 5.0) -> None:
        until = self.now + span
        while self.now < until:
            self.now = min(until, self.now + step)
            self.give(api.TimerFired(0))

    def answer(self, name: str) -> None:
        self.give(api.AttemptEnded(name, 0, "n", api.AttemptOutcome.SERVED, 10.0, True))


def test_an_export_that_holds_up_a_fetch_shows_as_such():
    scene = Scene()
    for number in range(4):
        scene.give(asked(f"e{number}", "export", "big", units=8.0))
    for number in range(6):
        scene.give(asked(f"f{number}", "fetch", "small"))
    held = next(f"f{n}" for n in range(6) if f"f{n}" not in scene.sent)
    scene.pass_time(30)
    for number in range(4):
        scene.answer(f"e{number}")
    holders, causes = scene.waits[held]
    assert sum(holders.values()) == pytest.approx(30.0) == sum(causes.values())
    assert holders["volume", "big", "export"] > 10.0
    assert set(causes) <= {"window", "share", "turn"}


def test_two_courses_that_hold_each_other():
    scene = Scene()
    for number in range(12):
        scene.give(asked(f"r{number}", volume="ab"[number % 2]))
    scene.pass_time(20)
    for name in list(scene.sent):
        scene.answer(name)
    held = {name: scene.waits[name][0] for name in scene.waits if sum(scene.waits[name][0].values()) > 10}
    assert all({"a", "b"} <= {holder[1] for holder in holders} for holders in held.values())
    assert len(held) >= 4


def test_causes_of_their_own():
    scene = Scene()
    scene.pass_time(200)
    scene.give(asked("l1", volume="c", plan="capped"))
    scene.pass_time(600)  # the limit has room for it half a second after the start
    holders, causes = scene.waits["l1"]
    assert "l1" in scene.sent and causes == {"limit": pytest.approx(300.0)}
    assert holders == {("volume", "c", "limit"): pytest.approx(300.0)}
    scene.answer("l1")
    scene.give(asked("o1", "turns", "d", key="same"))
    scene.give(asked("o2", "turns", "e", key="same"))
    scene.pass_time(100)
    scene.answer("o1")
    scene.pass_time(5)
    assert scene.waits["o2"][1]["order"] == pytest.approx(100.0, abs=10)
    assert scene.waits["o2"][0]["volume", "d", "turns"] == pytest.approx(100.0, abs=10)
    gone = Scene()
    gone.give(
        api.EndpointList(api.EndpointListKind.CHANGES, (api.Endpoint("n", api.EndpointStatus.REMOVED, 0),))
    )
    gone.give(asked("x"))
    gone.pass_time(50)
    gone.give(
        api.EndpointList(api.EndpointListKind.CHANGES, (api.Endpoint("m", api.EndpointStatus.READY, 0),))
    )
    if "x" in gone.waits:
        assert gone.waits["x"][1].get("no-node", 0) == pytest.approx(sum(gone.waits["x"][1].values()), abs=1)


def test_a_node_past_its_usual_time_is_its_own_cause():
    scene = Scene()
    for number in range(8):
        scene.give(asked(f"r{number}", volume=f"v{number}"))
    held = next(f"r{n}" for n in range(8) if f"r{n}" not in scene.sent)
    scene.pass_time(400)
    for name in list(scene.sent):
        scene.answer(name)
    holders = scene.waits[held][0]
    assert holders["node", "n", "slow"] > 0.7 * sum(holders.values())


def test_a_look_costs_no_more_with_ten_thousand_waiting(monkeypatch):
    """Counted, not timed: one group and a bounded number of requests are looked at, however many wait."""
    counts = {"groups": 0, "requests": 0}
    group, one = QueueObserver._group_cause, QueueObserver._observe_request

    def counted_group(*words):
        counts["groups"] += 1
        return group(*words)

    def counted_one(*words):
        counts["requests"] += 1
        return one(*words)

    monkeypatch.setattr(QueueObserver, "_group_cause", counted_group)
    monkeypatch.setattr(QueueObserver, "_observe_request", counted_one)
    scene = Scene()
    for number in range(10_000):
        scene.observer._start_wait(f"r{number}", 0, "fetch", number / 10_000)
    counts.update(groups=0, requests=0)
    for look in range(20):
        scene.observer.observe(10.0 + look)
    assert counts["groups"] == 20
    assert counts["requests"] <= 20 * 512
    waits = [scene.observer.record_dequeued(f"r{number}", 50.0)[0] for number in range(10_000)]
    assert sum(waits[0].values()) == pytest.approx(50.0)
    assert not scene.observer._groups and not scene.observer._waiting


def waits(it, folder: Path) -> list[Account]:
    it.gateway.ledger.close()
    return list(ledger.read_accounts([folder]))


def with_ledger(folder: Path, extra: str = ""):
    from winchdyke.config.loading import load_text
    from winchdyke.config.writing import written

    text = written(ini.load_text(INI + ONCE, "d.ini").values)
    return load_text(
        f'{text}\naccounts {{\n    folder = "{folder}"\n    sync = 20ms\n}}\n{extra}', "made"
    ).config


@pytest.mark.parametrize("slow_ms", [20.0, 80.0, 300.0])
@measured
def test_what_a_slow_node_added_is_measured_within_5_percent(tmp_path, slow_ms):
    """One node takes a known time; the report names it, and what was out there is what was put in."""

    @run_async
    async def run():
        async with rig(with_ledger(tmp_path), unit_ms=slow_ms / 10) as it:
            slow = it.store_of("/school-1/object")
            slow.slow = 10.0
            for _ in range(max(6, int(400 / slow_ms))):
                await it.ask("GET", "/school-1/object")
                await it.ask("GET", "/school-1/other-1")
            found = waits(it, tmp_path)
            there = [a for a in found if a.attempt_endpoints == [slow.name]]
            out = min(a.attempt_times_ns[0] for a in there) / 1e6  # the one that the host disturbed least
            assert out == pytest.approx(slow_ms, rel=0.05, abs=2.5), "the host's own time is up to 2.5 ms"
            assert all(sum(span for _, span in a.phases_ns) == a.latency_ns for a in found)

    run()


@measured
def test_a_bad_days_accounts_add_up_and_its_report_stands(tmp_path):
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
    done = CliRunner().invoke(main, ["waits", "report", "--json", *map(str, ledgers)])
    data = json.loads(done.output)
    assert data["requests"] == len(accounts)
    worst = data["worst"][0]["request"]
    assert CliRunner().invoke(main, ["waits", "explain", worst, *map(str, ledgers)]).output.startswith(worst)
    out = CliRunner().invoke(
        main, ["waits", "report", "--html", str(tmp_path / "page.html"), *map(str, ledgers)]
    )
    assert "requests, held" in out.output
    assert "<svg" in (tmp_path / "page.html").read_text()
    same = CliRunner().invoke(main, ["waits", "diff", str(ledgers[0]), str(ledgers[0])])
    assert same.exit_code == 0


def test_second_tries_belong_to_the_first_and_those_elsewhere_are_unknown(tmp_path):
    @run_async
    async def run():
        async with rig(with_ledger(tmp_path)) as it:
            store = it.store_of("/school-1/object")
            store.kill()
            first = await it.ask(
                "PUT", "/school-1/object", b"x", idempotency_key="k", winchdyke_time_left="300ms"
            )
            await store.start(it.group)
            await anyio.sleep(0.6)
            second = await it.ask("PUT", "/school-1/object", b"x", idempotency_key="k")
            assert (first.status, second.status) == (503, 201)
            found = waits(it, tmp_path)
            assert [each.first_request for each in found] == ["", found[0].request]

    run()
    summary = Summary()
    summary.add(account("r1", outcome="refused", client_request="c1", gateway="g1"))
    summary.add(account("r2", outcome="refused", client_request="c2", gateway="g2"))
    assert summary.possible_retries == 1


def segment(folder: Path, count: int) -> tuple[Path, bytes, list[int]]:
    path = folder / f"000000000001{segments.SEGMENT_SUFFIX}"
    data, ends = segments.SEGMENT_HEADER, []
    for number in range(count):
        data += segments.frame_record(msgspec.msgpack.encode(account(f"r{number}")))
        ends.append(len(data))
    path.write_bytes(data)
    return path, data, ends


def test_a_ledger_cut_at_every_byte_gives_all_records_before(tmp_path):
    path, data, ends = segment(tmp_path, 3)
    for size in range(len(data) + 1):
        path.write_bytes(data[:size])
        found = segments.RecoveryReport()
        names = [each.request for each in ledger.read_accounts([tmp_path], found)]
        assert names == [f"r{n}" for n, end in enumerate(ends) if end <= size]
        assert bool(found.lost_bytes) == (size > len(segments.SEGMENT_HEADER) and size not in ends)


def test_a_ledger_with_any_one_byte_flipped_loses_that_record_alone_and_says_so(tmp_path):
    path, data, ends = segment(tmp_path, 3)
    begins = [len(segments.SEGMENT_HEADER), *ends]
    for at in range(len(data)):
        path.write_bytes(data[:at] + bytes([data[at] ^ 0x55]) + data[at + 1 :])
        found = segments.RecoveryReport()
        names = [each.request for each in ledger.read_accounts([tmp_path], found)]
        hit = next((n for n in range(3) if begins[n] <= at < begins[n + 1]), None)
        assert names == [f"r{n}" for n in range(3) if n != hit]
        assert found.losses


def test_a_full_disk_loses_accounts_and_nothing_else(tmp_path, monkeypatch):
    writer = ledger_writer.LedgerWriter(tmp_path, ledger_writer.LedgerBounds(sync_interval_seconds=0.01))
    writer.put(account("r1"))
    until = time.monotonic() + 5
    while not writer.synced and time.monotonic() < until:
        time.sleep(0.01)
    real = os.write

    def full(descriptor: int, data: bytes) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("winchdyke.latency_attribution.ledger_writer.os.write", full)
    writer.put(account("r2"))
    while not writer.failed and time.monotonic() < until:
        time.sleep(0.01)
    monkeypatch.setattr("winchdyke.latency_attribution.ledger_writer.os.write", real)
    writer.put(account("r3"))
    writer.close()
    assert (writer.failed, writer.last_error) == (1, "No space left on device")
    assert [each.request for each in ledger.read_accounts([tmp_path])] == ["r1", "r3"]


def test_what_there_is_no_room_for_is_counted_and_segments_stay_under_their_bound(tmp_path, monkeypatch):
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


KILLED = """
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
            [sys.executable, "-c", KILLED, str(tmp_path), str(number)], stdout=subprocess.PIPE, text=True
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
        found = segments.RecoveryReport()
        names = {each.request for each in ledger.read_accounts([tmp_path], found)}
        assert all(f"{number}-{n}" in names for n in range(synced)), found.losses
        assert render_page(report_data(summarize(ledger.read_accounts([tmp_path]))), found.losses)


@given(st.text(max_size=20), st.text(max_size=20))
@settings(max_examples=40)
def test_no_name_becomes_markup(volume, what):
    summary = Summary()
    summary.add(account(volume=f"<script>{volume}</script>\n", blame=[("volume", f"<b>{what}", "<i>", 10)]))
    made = render_page(report_data(summary), [f"<u>{what}"])
    assert "<script>" not in made and "<b>" not in made and "<i>" not in made and "<u>" not in made


def test_a_course_with_100000_keys_and_many_courses_stay_bounded():
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


def test_unusable_ledgers_are_said(tmp_path):
    for words in (
        ["report", str(tmp_path)],
        ["report", str(tmp_path / "no.waits")],
        ["explain", "x", str(tmp_path)],
    ):
        done = CliRunner().invoke(main, ["waits", *words])
        assert done.exit_code == 1 and done.output.startswith("Error: ")
    segment(tmp_path, 1)
    assert (
        "is no time" in CliRunner().invoke(main, ["waits", "report", "--from", "soon", str(tmp_path)]).output
    )
    assert "no ledger here holds" in CliRunner().invoke(main, ["waits", "explain", "x", str(tmp_path)]).output


def test_rig_settings_keep_no_ledger():
    assert rig_settings().accounts.folder == ""
