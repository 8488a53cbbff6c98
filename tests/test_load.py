"""The load generator: planned request times, latencies that include stalls, and rejected arguments."""

from __future__ import annotations

import json
import time

import anyio
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st
from rig import rig, run_async
from test_s3 import AccessKeys, s3_settings, s3_url

from winchdyke.cli.main import main
from winchdyke.load.beside import compare, format_table
from winchdyke.load.report import Results
from winchdyke.load.run import RunSettings, Worker
from winchdyke.load.schedule import Mix, plan_requests


@given(st.integers(0, 99), st.integers(1, 5))
@examples(max_examples=20, deadline=None)
def test_request_times_depend_only_on_the_seed_and_workers_share_the_rate(seed, workers):
    mix = Mix({"get": 3.0, "range": 1.0})
    parts = [
        list(plan_requests(seed, 200.0, 20_000.0, mix, ["a", "b"], 50, 1000, n, workers))
        for n in range(workers)
    ]
    same_seed = list(plan_requests(seed, 200.0, 20_000.0, mix, ["a", "b"], 50, 1000, 0, workers))
    assert parts[0] == same_seed
    total = sum(map(len, parts))
    assert 3600 < total < 4400, "4,000 are due; five standard deviations are 316"
    for part in parts:
        assert [request.at for request in part] == sorted(request.at for request in part)
        assert all(0 <= request.first < 1000 for request in part)
    requests = [request for part in parts for request in part]
    gets = sum(request.operation == "get" for request in requests)
    assert 0.7 < gets / total < 0.8
    assert sum(request.key == "load-0" for request in requests) > sum(
        request.key == "load-9" for request in requests
    )


def test_results_of_several_processes_are_merged():
    parts = [Results(), Results()]
    for number, results in enumerate(parts):
        for ms in range(1, 101):
            results.add("get", f"v{number}", "served", float(ms + 100 * number))
        results.add("get", "v", "refused", 5.0)
        results.send_delays.record_value(1000)
    merged = Results()
    for results in parts:
        merged.merge(json.loads(json.dumps(results.pack())))
    data = merged.figures()
    assert data["outcomes"] == {"get": {"served": 200, "refused": 2}}
    assert data["latency_ms"]["get"]["p50"] == pytest.approx(100, rel=0.01)
    assert data["latency_ms"]["get"]["p100"] == pytest.approx(200, rel=0.01)
    assert data["by_volume_ms"]["get v0"]["p100"] == pytest.approx(100, rel=0.01)
    assert "refused 2" in merged.text()


def test_a_stall_delays_all_requests_planned_during_it():
    """A closed loop would record it only once per client."""

    @run_async
    async def run():
        async with rig(unit_ms=0.5) as it:
            host, port = it.gateway.address
            mix = Mix({"get": 1.0})
            run_settings = RunSettings(
                f"http://{host}:{port}", 100.0, 2000.0, mix, ["school-1"], 50, 1000, 1, False, ("", ""), 5.0
            )
            worker = Worker(run_settings, 0, 1)

            async def stall() -> None:
                await anyio.sleep(0.8)
                time.sleep(0.6)  # blocks the event loop that gateway, stores and load generator share

            async with anyio.create_task_group() as group:
                group.start_soon(stall)
                results = await worker.run()
            figures = results.figures()
            request_count = sum(figures["outcomes"]["get"].values())
            assert 150 < request_count < 260, "requests planned during the stall are sent after it"
            assert figures["latency_ms"]["get"]["p90"] > 150, (
                "more than a tenth of the requests were planned during the stall"
            )
            assert figures["sent_late_ms"]["p99"] > 150 and "was behind" in results.text()

    run()


def test_a_signed_mix_of_all_operations_against_the_s3_listener(tmp_path):
    keys = AccessKeys(tmp_path)

    @run_async
    async def run():
        async with rig(s3_settings(keys), unit_ms=0.02) as it:
            mix = Mix.parse("get=4,range=2,put=4,upload=0.5,list=1")
            access = (keys.key.id, keys.secret)
            run_settings = RunSettings(
                s3_url(it), 40.0, 1500.0, mix, ["school-1", "contest-1"], 5, 20_000, 2, True, access, 10.0
            )
            worker = Worker(run_settings, 0, 1)
            worker.log = []
            results = await worker.run()
            rows = compare(worker.log, it.record.entries)
            assert rows["put"].attempts == len(rows["put"].waited) and rows["upload"].attempts >= 5 * len(
                rows["upload"].waited
            )
            assert all(0 < row.figures()["store share"] < 1 for row in rows.values() if row.waited)
            assert "store p99" in format_table(rows)
            outcomes = results.figures()["outcomes"]
            assert set(outcomes) == {"get", "range", "put", "upload", "list"}
            assert all(set(each) == {"served"} for each in outcomes.values()), outcomes
            wrong_key = RunSettings(
                s3_url(it), 40.0, 300.0, Mix.parse("put"), ["school-1"], 5, 100, 2, True, ("x", "y"), 10.0
            )
            rejected = (await Worker(wrong_key, 0, 1).run()).figures()["outcomes"]
            assert set(rejected["put"]) == {"answered 403"}

    run()


def test_the_command_rejects_invalid_arguments_and_reports_outcomes(tmp_path):
    def error_text(*arguments: str) -> str:
        done = CliRunner().invoke(main, ["load", *arguments])
        assert done.exit_code, done.output
        return done.output

    assert "no operation 'fly'" in error_text("http://127.0.0.1:1", "--mix", "fly=1")
    assert "must be above 0" in error_text("http://127.0.0.1:1", "--mix", "get=0")
    assert "is not http://" in error_text("127.0.0.1:1")
    assert "go together" in error_text("http://127.0.0.1:1", "--access", "x")
    (tmp_path / "s").write_text("x")
    (tmp_path / "s").chmod(0o644)
    assert "chmod 600" in error_text("http://127.0.0.1:1", "--access", "x", "--secret", str(tmp_path / "s"))
    done = CliRunner().invoke(
        main, ["load", "http://127.0.0.1:1", "--for", "300ms", "--rate", "30", "--json"]
    )
    assert done.exit_code == 0 and set(json.loads(done.output)["outcomes"]["get"]) == {"cut"}
