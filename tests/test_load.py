"""The load tool: times that nothing shifts, latencies that hide no stall, and what it can't read."""

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
from test_s3 import Keys, address, with_s3

from winchdyke.cli.main import main
from winchdyke.load.beside import compare, format_table
from winchdyke.load.report import Results
from winchdyke.load.run import RunSettings, Worker
from winchdyke.load.schedule import Mix, plan_requests


@given(st.integers(0, 99), st.integers(1, 5))
@examples(max_examples=20, deadline=None)
def test_the_times_are_drawn_beforehand_and_workers_share_the_rate(seed, workers):
    mix = Mix({"get": 3.0, "range": 1.0})
    parts = [
        list(plan_requests(seed, 200.0, 20_000.0, mix, ["a", "b"], 50, 1000, n, workers))
        for n in range(workers)
    ]
    again = list(plan_requests(seed, 200.0, 20_000.0, mix, ["a", "b"], 50, 1000, 0, workers))
    assert parts[0] == again
    total = sum(map(len, parts))
    assert 3600 < total < 4400, "4,000 are due; five standard deviations are 316"
    for part in parts:
        assert [wish.at for wish in part] == sorted(wish.at for wish in part)
        assert all(0 <= wish.first < 1000 for wish in part)
    everything = [wish for part in parts for wish in part]
    gets = sum(wish.operation == "get" for wish in everything)
    assert 0.7 < gets / total < 0.8
    assert sum(wish.key == "load-0" for wish in everything) > sum(wish.key == "load-9" for wish in everything)


def test_what_several_processes_saw_is_put_together():
    parts = [Results(), Results()]
    for number, results in enumerate(parts):
        for ms in range(1, 101):
            results.add("get", f"v{number}", "served", float(ms + 100 * number))
        results.add("get", "v", "refused", 5.0)
        results.send_delays.record_value(1000)
    whole = Results()
    for results in parts:
        whole.merge(json.loads(json.dumps(results.pack())))
    data = whole.figures()
    assert data["outcomes"] == {"get": {"served": 200, "refused": 2}}
    assert data["latency_ms"]["get"]["p50"] == pytest.approx(100, rel=0.01)
    assert data["latency_ms"]["get"]["p100"] == pytest.approx(200, rel=0.01)
    assert data["by_volume_ms"]["get v0"]["p100"] == pytest.approx(100, rel=0.01)
    assert "refused 2" in whole.text()


def test_a_stall_is_seen_by_all_whose_time_came_meanwhile():
    """A closed loop would have seen it once for each of its clients."""

    @run_async
    async def run():
        async with rig(unit_ms=0.5) as it:
            host, port = it.gateway.address
            mix = Mix({"get": 1.0})
            asked = RunSettings(
                f"http://{host}:{port}", 100.0, 2000.0, mix, ["school-1"], 50, 1000, 1, False, ("", ""), 5.0
            )
            worker = Worker(asked, 0, 1)

            async def stall() -> None:
                await anyio.sleep(0.8)
                time.sleep(0.6)  # the loop of all stands: gateway, stores and the tool

            async with anyio.create_task_group() as group:
                group.start_soon(stall)
                results = await worker.run()
            found = results.figures()
            asked_for = sum(found["outcomes"]["get"].values())
            assert 150 < asked_for < 260, "what the stall held up was sent after it"
            assert found["latency_ms"]["get"]["p90"] > 150, (
                "a tenth and more of the times came within the stall"
            )
            assert found["sent_late_ms"]["p99"] > 150 and "was behind" in results.text()

    run()


def test_a_signed_mix_of_all_operations_against_the_s3_listener(tmp_path):
    keys = Keys(tmp_path)

    @run_async
    async def run():
        async with rig(with_s3(keys), unit_ms=0.02) as it:
            mix = Mix.read("get=4,range=2,put=4,upload=0.5,list=1")
            access = (keys.key.id, keys.secret)
            asked = RunSettings(
                address(it), 40.0, 1500.0, mix, ["school-1", "contest-1"], 5, 20_000, 2, True, access, 10.0
            )
            worker = Worker(asked, 0, 1)
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
            wrong = RunSettings(
                address(it), 40.0, 300.0, Mix.read("put"), ["school-1"], 5, 100, 2, True, ("x", "y"), 10.0
            )
            told = (await Worker(wrong, 0, 1).run()).figures()["outcomes"]
            assert set(told["put"]) == {"answered 403"}

    run()


def test_the_command_tells_what_it_cant_read_and_what_it_saw(tmp_path):
    def said(*words: str) -> str:
        done = CliRunner().invoke(main, ["load", *words])
        assert done.exit_code, done.output
        return done.output

    assert "no operation 'fly'" in said("http://127.0.0.1:1", "--mix", "fly=1")
    assert "is over 0" in said("http://127.0.0.1:1", "--mix", "get=0")
    assert "is not http://" in said("127.0.0.1:1")
    assert "go together" in said("http://127.0.0.1:1", "--access", "x")
    (tmp_path / "s").write_text("x")
    (tmp_path / "s").chmod(0o644)
    assert "chmod 600" in said("http://127.0.0.1:1", "--access", "x", "--secret", str(tmp_path / "s"))
    done = CliRunner().invoke(
        main, ["load", "http://127.0.0.1:1", "--for", "300ms", "--rate", "30", "--json"]
    )
    assert done.exit_code == 0 and set(json.loads(done.output)["outcomes"]["get"]) == {"cut"}
