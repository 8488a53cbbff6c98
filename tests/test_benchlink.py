"""Tests of the simulator's adapter: its replies on the wire, and its errors for malformed input."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from winchdyke.benchlink import WireError, serve

ROOT = Path(__file__).parent.parent
INFO = {
    "balancers": 2,
    "index": 0,
    "unknown_key": {"x": 1},
    "classes": [
        {"name": "read", "worth": 2.0, "promise_ms": 300.0, "deadline_ms": 2000.0, "effect": "idempotent"}
    ],
    "grades": [{"name": "gold", "usual_rate": 5.0, "reservation": 5.0, "proportion": 2.0}],
    "policy_limits": {"max_attempts": 3},
}


def start(instance: str) -> str:
    return (
        f"POWER_ON\t{instance}\t7\t{json.dumps(INFO)}\n"
        f"MEMBERS\t{instance}\t2\t1\t1\nM\t1\tz\t-\t10.0.0.1:1\tkind\t1\t0\n"
    )


def demand(instance: str, name: str) -> str:
    return f"DEMAND\t{instance}\t{name}\tread\tgold\tk\t900.0\tv\t2\t0\t1\t0\n"


def reply(text: str) -> str:
    sink = io.StringIO()
    serve(io.StringIO(text), sink)
    return sink.getvalue()


def test_a_request_is_sent_and_an_empty_batch_is_answered():
    out = reply("CLOCK\t1\nFLUSH\n\nCLOCK\t2\n" + start("gateway/0") + demand("gateway/0", "a") + "FLUSH\n")
    assert out.startswith("NEXT\n")
    assert "ISSUE\tgateway/0\ta\t10.0.0.1:1\t0.000\n" in out
    assert out.endswith("NEXT\n")


def test_instances_share_no_state():
    def lines(text: str, instance: str) -> list[str]:
        return [line for line in reply(text).splitlines() if f"\t{instance}" in line]

    def batches(names: list[str]) -> str:
        start_lines = "CLOCK\t1\n" + "".join(start(instance) for instance in names) + "FLUSH\n"
        demands = "".join(demand(instance, f"{instance[-1]}{n}") for n in range(9) for instance in names)
        return start_lines + "CLOCK\t5\n" + demands + "FLUSH\n"

    both = batches(["gateway/0", "gateway/1"])
    for instance in ("gateway/0", "gateway/1"):
        assert lines(both, instance) == lines(batches([instance]), instance)


def test_a_killed_instance_loses_its_state_and_can_start_again():
    out = reply(
        "CLOCK\t1\n"
        + start("gateway/0")
        + demand("gateway/0", "a")
        + "KILLED\tgateway/0\n"
        + start("gateway/0")
        + demand("gateway/0", "b")
        + "FLUSH\n"
    )
    assert "\ta\t" not in out
    assert "ISSUE\tgateway/0\tb" in out


def test_an_abandoned_attempt_is_not_reported_on_the_wire():
    out = reply(
        "CLOCK\t1\n"
        + start("gateway/0")
        + demand("gateway/0", "a")
        + "FLUSH\nCLOCK\t2\nMEMBERS\tgateway/0\t1\t2\t1\nM\t1\tz\t-\t10.0.0.1:1\tkind\t2\t0\nVANISHED\tgateway/0\ta\nFLUSH\n"
    )
    assert "ISSUE\tgateway/0\ta" in out and out.endswith("NEXT\n") and "AbandonAttempt" not in out


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("DEMAND\tgateway/0\ta\n", "line 5: DEMAND: a field is missing"),
        ("DEMAND\tgateway/0\ta\tread\tgold\tk\tsoon\tv\t2\t0\t1\t0\n", "DEMAND: could not convert"),
        ("DEMAND\tgateway/0\ta\tnone\tgold\tk\t9\tv\t2\t0\t1\t0\n", "line 5: DEMAND: unknown class 'none'"),
        ("HELLO\tgateway/0\n", "HELLO: unknown message"),
        ("VANISHED\tgateway/9\ta\n", "'gateway/9' is not running"),
        ("POWER_ON\tgateway/1\t7\t{}\n", "POWER_ON"),
        ("POWER_ON\tgateway/1\t7\t{nonsense\n", "POWER_ON"),
    ],
)
def test_malformed_input_raises_an_error_with_its_line_number(line, message):
    with pytest.raises(WireError, match="line") as error:
        reply("CLOCK\t1\n" + start("gateway/0") + line + "FLUSH\n")
    assert message in str(error.value)


def test_the_program_prints_one_error_line_and_exits_with_status_1():
    result = subprocess.run(
        [sys.executable, "-m", "winchdyke.benchlink"],
        input="CLOCK\tnever\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert result.returncode == 1
    assert result.stderr.startswith("benchlink: line 1: CLOCK") and result.stderr.count("\n") == 1
