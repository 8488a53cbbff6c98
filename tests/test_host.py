"""Runs of measured tests on a stalled host: which runs are void, and which count."""

from __future__ import annotations

import warnings

import pytest
from host import MAX_RUNS, STALL_MS, STALL_WINDOW_S, StallMonitor, measured, stalled_ms


class FakeHost:
    """A host with an adjustable stalled time."""

    def __init__(self) -> None:
        self.stalled_total_ms = 0.0

    def read_stalled_ms(self) -> float:
        return self.stalled_total_ms


def measured_test(host, failing_runs, stall_ms):
    """Return a measured test that fails in its first runs, on a host that is stalled for ``stall_ms`` in each run; and its runs."""
    runs = []

    def test(tmp_path):
        runs.append(tmp_path)
        host.stalled_total_ms += stall_ms
        assert len(runs) > failing_runs, f"run {len(runs)}"

    return measured(test, host.read_stalled_ms), runs


def test_a_failure_on_a_host_without_stalls_counts_at_once(tmp_path):
    test, runs = measured_test(FakeHost(), 1, STALL_MS - 1)
    with pytest.raises(AssertionError, match="run 1"):
        test(tmp_path=tmp_path)
    assert len(runs) == 1


def test_a_failed_run_on_a_stalled_host_is_void_and_the_next_run_has_its_own_folder(tmp_path):
    test, runs = measured_test(FakeHost(), 2, STALL_MS)
    with warnings.catch_warnings(record=True) as caught:
        warnings.simplefilter("always")
        test(tmp_path=tmp_path)
    assert [path.name for path in runs] == ["run-1", "run-2", "run-3"]
    assert len(caught) == 2 and "run 1 is void: the host was stalled for 50 ms" in str(caught[0].message)


@pytest.mark.filterwarnings("ignore:run .* is void")
def test_a_test_that_fails_in_every_run_fails(tmp_path):
    test, runs = measured_test(FakeHost(), 99, 10 * STALL_MS)
    with pytest.raises(AssertionError, match=f"run {MAX_RUNS}"):
        test(tmp_path=tmp_path)
    assert len(runs) == MAX_RUNS


def test_stalls_are_added_up_within_half_a_second_only():
    host = FakeHost()
    monitor = StallMonitor(host.read_stalled_ms)
    for step in range(200):  # 10 s with 1% stalled: 100 ms in total
        monitor.sample(step * 0.05)
        host.stalled_total_ms += 0.5
    assert monitor.longest_stall_ms == pytest.approx(STALL_WINDOW_S * 10, rel=0.2)
    host.stalled_total_ms += 60.0
    monitor.sample(10.0)
    assert monitor.longest_stall_ms >= 60.0


def test_stalled_time_is_read_from_proc_and_is_0_without_reports(tmp_path):
    assert stalled_ms(tmp_path) == 0.0
    (tmp_path / "pressure").mkdir()
    (tmp_path / "stat").write_text(
        "cpu  27198 0 1859 364851 494 0 562 1471 0 0\ncpu0 1 0 1 1 1 0 1 999 0 0\n"
    )
    (tmp_path / "pressure" / "cpu").write_text(
        "some avg10=1.09 avg60=0.86 avg300=0.35 total=2420513\nfull avg10=0.00 avg60=0.00 avg300=0.00 total=77\n"
    )
    assert stalled_ms(tmp_path) == pytest.approx(14_710.0 + 2_420.513)
    (tmp_path / "stat").write_text("cpu\n")
    (tmp_path / "pressure" / "cpu").write_text("")
    assert stalled_ms(tmp_path) == 0.0
