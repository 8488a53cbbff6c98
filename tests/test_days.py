"""Scenarios with real gateway processes: a short bad day, a converted day file of the simulator, SIGKILL and SIGTERM."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

import anyio
import msgspec
import pytest
from click.testing import CliRunner
from host import measured
from rig import INI

from winchdyke.cli.main import main
from winchdyke.days import frombench, script
from winchdyke.days.judge import report
from winchdyke.days.run import run_scenario


@measured
def test_a_short_bad_day_keeps_all_seven_rules():
    scenario = script.bad_day(3, length=12_000.0, rate=70.0)
    assert {event.kind for event in scenario.events} >= {
        "deploy", "silent", "lost", "slow", "pauses", "burst", "gateway-kill", "list-down", "leave-upload",
        "leave-download", "hurry",
    }  # fmt: skip
    verdict, record, exit_codes = run_scenario(scenario)
    assert verdict.kept, report(scenario, verdict)
    assert exit_codes == [0, 0, 0], "every gateway exits with 0"
    assert verdict.figures["served"] > 400
    assert {entry["what"] for entry in record} >= {"told", "lost", "unheard", "fallen"} - {"fallen"}
    assert all(result.checked for result in verdict.rule_results if result.rule != 6)


def test_a_scenario_depends_on_its_seed_alone():
    assert script.client_requests(script.bad_day(5)) == script.client_requests(script.bad_day(5))
    assert script.client_requests(script.bad_day(5)) != script.client_requests(script.bad_day(6))


BENCH = {
    "site": "made-here", "kind": "trouble", "length": 40_000_000, "noise": 17, "traffic": {"load": 0.5},
    "clients": {"max_retry_after": 400_000}, "discovery": {"ask": True, "notice": 200_000}, "allow": {"max_attempts": 3},
    "drain_grace": 1_000_000, "fall_multiple": 3.0, "fall_for": 1_500_000,
    "budget": {"share": 0.1, "free": 3.0, "window": 5_000_000},
    "classes": [
        {"name": "look", "share": 0.6, "aim": 400_000, "deadline": 2_000_000, "worth": 2, "effect": "safe", "group": "all",
         "window": 0, "write": False},
        {"name": "save", "share": 0.4, "aim": 500_000, "deadline": 2_000_000, "worth": 3, "effect": "keyed", "group": "cell",
         "window": 4_000_000, "write": True},
    ],
    "tenants": [{"name": "small"}, {"name": "large"}],
    "tiers": [{"kinds": [{"cores": 2, "queue": 50}], "stated_cold_from": 0.25, "stated_cold": 10_000_000}],
    "servers": [{"kind": 0, "cell": n, "speed": 1.0, "up": n < 6} for n in range(7)],
    "balancers": [{}] * 9,
    "troubles": [
        {"kind": "deploy", "at": 8e6, "len": 12e6, "steps": [{"stop": [0, 1], "start": [6]}, {"stop": [2], "start": []}]},
        {"kind": "slow", "at": 4e6, "len": 20e6, "size": 4.0, "on": [3]},
        {"kind": "answer_lost", "at": 4e6, "len": 30e6, "size": 0.3, "on": [4], "how": "reset"},
        {"kind": "tenant_burst", "at": 20e6, "len": 10e6, "size": 3.0, "which": 0},
        {"kind": "moonquake", "at": 1e6, "len": 1e6},
    ],
    "fam": {
        "mean_units": 2.0, "unit_work": 30_000.0, "fresh": [False, True],
        "plans": [
            {"limit": 20, "limit_burst": 50, "price": 1, "rate": 4, "reserve": 0, "slack": 8, "weight": 1},
            {"limit": 0, "limit_burst": 0, "price": 1.2, "rate": 9, "reserve": 7, "slack": 0, "weight": 2},
        ],
        "volumes": [{"base": 1.0, "first": n, "hosts": 2, "nodes": [n % 6, (n + 2) % 6], "plan": n % 2} for n in range(12)],
    },
}  # fmt: skip


@measured
def test_a_day_file_of_the_simulator_is_run_at_loopback_size(tmp_path):
    source, out = tmp_path / "bench.json", tmp_path / "day.json"
    source.write_text(json.dumps(BENCH))
    result = CliRunner().invoke(main, ["day", "from-bench", str(source), "--length", "6", "-o", str(out)])
    assert result.exit_code == 0, result.output
    assert "moonquake" in result.output
    assert "9 gateways and 6 nodes became 4 and" in result.output
    scenario = msgspec.json.decode(out.read_bytes(), type=script.Scenario)
    assert (scenario.must_ask, scenario.length, scenario.rules.extra_share) == (True, 6000.0, 0.1)
    assert {event.kind for event in scenario.events} == {"deploy", "slow", "lost", "burst"}
    assert next(kind for kind in scenario.classes if kind.name == "save").new
    verdict, record, _ = run_scenario(scenario)
    assert verdict.kept, report(scenario, verdict)
    assert any(entry["what"] == "lost" for entry in record)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"site": 3}', json.dumps({**BENCH, "servers": []})])
def test_an_invalid_day_file_is_reported(tmp_path, text):
    source = tmp_path / "bench.json"
    source.write_text(text)
    result = CliRunner().invoke(main, ["day", "from-bench", str(source), "-o", str(tmp_path / "out")])
    assert result.exit_code == 1
    assert result.output.startswith("Error: ") and "day" in result.output
    with pytest.raises(frombench.BenchError):
        frombench.read(text.encode())


def test_an_unknown_scenario_is_reported():
    result = CliRunner().invoke(main, ["day", "run", "no-such"])
    assert (result.exit_code, "is no day of" in result.output) == (1, True)
    assert "bad-day" in CliRunner().invoke(main, ["day", "list"]).output


def start_process(*command: str) -> tuple[subprocess.Popen, str]:
    """Start a winchdyke command; returns the process and the first address that it prints."""
    process = subprocess.Popen(
        [sys.executable, "-m", "winchdyke", *command],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    assert process.stdout is not None
    for line in process.stdout:
        if match := re.search(r"http://127\.0\.0\.1:\d+", line):
            return process, match[0]
    raise AssertionError("the process ended without printing an address")


def send_request(url: str, data: bytes | None = None, method: str | None = None) -> tuple[int, bytes]:
    """Send one request with the standard library's client; returns status and body."""
    try:
        with urllib.request.urlopen(urllib.request.Request(url, data, method=method), timeout=5) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def test_dev_serves_and_exits_with_0_on_sigterm():
    process, url = start_process("dev", "--quiet")
    try:
        deadline = time.monotonic() + 5  # the first endpoint list may not have arrived yet
        while send_request(f"{url}/school-1/a", b"hello", "PUT")[0] != 201:
            assert time.monotonic() < deadline
            time.sleep(0.05)
        assert send_request(f"{url}/school-1/a") == (200, b"hello")
        assert json.loads(send_request(f"{url}/nowhere/../a")[1])["reason"] == "bad-path"
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()


def test_a_port_in_use_is_reported_without_a_traceback():
    process, url = start_process("dev", "--quiet")
    try:
        port = url.rpartition(":")[2]
        result = subprocess.run(
            [sys.executable, "-m", "winchdyke", "dev", "--port", port], capture_output=True, text=True
        )
        assert result.returncode == 1
        assert "Traceback" not in result.stderr
        assert f"can't listen at port {port}" in result.stderr
    finally:
        process.terminate()
        process.wait(10)


def test_a_gateway_serves_again_after_sigkill_and_a_restart(tmp_path):
    dev_process, _ = start_process("dev", "--quiet")
    try:
        # A second gateway, without a list service.
        port_file = tmp_path / "port"
        settings = tmp_path / "g.ini"
        settings.write_text(INI.replace("[gateway]\n", f"[gateway]\nport_file = {port_file}\n", 1))
        command = [sys.executable, "-m", "winchdyke", "serve", "-c", str(settings)]
        for _ in range(2):
            port_file.unlink(missing_ok=True)
            gateway = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
            try:
                deadline = time.monotonic() + 10
                while not port_file.exists() and time.monotonic() < deadline:
                    time.sleep(0.02)
                status, body = send_request(f"http://{port_file.read_text().strip()}/school-1/a")
                assert (status, json.loads(body)["outcome"]) == (503, "refused")
            finally:
                os.kill(gateway.pid, signal.SIGKILL)
                assert gateway.wait(5) == -signal.SIGKILL
    finally:
        dev_process.terminate()
        assert dev_process.wait(10) == 0


@measured
def test_a_gateway_answers_200_requests_in_flight_after_sigterm():
    """A real process has 200 requests in flight or queued when it receives SIGTERM."""
    from winchdyke.days.judge import InvariantChecker
    from winchdyke.days.run import LocalDeployment
    from winchdyke.standins.clients import Clients, PlannedRequest

    scenario = msgspec.structs.replace(script.quiet_day(1), gateways=1, unit_ms=200.0, cores=4, volumes=[])
    volume = script.Volume("course", "contest", list(range(8)), [0], 0.0)
    scenario = msgspec.structs.replace(scenario, volumes=[volume])

    async def play(directory) -> LocalDeployment:
        async with anyio.create_task_group() as group:
            deployment = LocalDeployment(scenario, directory, group)
            await deployment.start()
            clients = Clients(deployment.record, lambda index: deployment.addresses[index], 1)
            requests = [
                PlannedRequest(0.0, 0, "GET", f"/course/k{n}", class_name="fetch", max_tries=1)
                for n in range(200)
            ]
            async with anyio.create_task_group() as client_group:
                clients.start(client_group, requests)
                # 24 attempts fill the gateway's windows; the other requests are queued by then.
                with anyio.fail_after(10):
                    while (
                        sum(entry["what"] == "head" for entry in deployment.record.entries) < 24
                        or sum(entry["what"] == "try" for entry in deployment.record.entries) < 200
                    ):
                        await anyio.sleep(0.02)
                await anyio.sleep(0.25)
                tries = sum(entry["what"] == "try" for entry in deployment.record.entries)
                answered = sum(entry["what"] == "answer" for entry in deployment.record.entries)
                assert (tries, answered < 190) == (200, True)
                await deployment.stop()
            group.cancel_scope.cancel()
        return deployment

    with tempfile.TemporaryDirectory() as directory:
        deployment = anyio.run(play, Path(directory))
    verdict = InvariantChecker(scenario, deployment.record.entries).verdict()
    assert deployment.exit_codes == [0]
    assert verdict.kept, report(scenario, verdict)
    assert verdict.figures["served"] + verdict.figures["refused"] + verdict.figures["failed"] == 200
