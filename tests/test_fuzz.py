"""The fuzz target on what fuzzing has found, on its corpus, and for a short seeded stretch."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "fuzz"))
KEPT = sorted([*(ROOT / "fuzz/findings").glob("*"), *(ROOT / "fuzz/corpus").glob("*")])


@pytest.mark.parametrize("path", KEPT, ids=[path.name for path in KEPT])
def test_what_was_found_stays_mended(path):
    from target import one

    one(path.read_bytes())


def test_a_short_seeded_stretch(tmp_path):
    command = [
        sys.executable,
        "fuzz/target.py",
        str(tmp_path),
        "fuzz/corpus",
        "-dict=fuzz/words.dict",
        "-seed=1",
        "-runs=3000",
    ]
    done = subprocess.run(
        [*command, "-max_len=2048", "-timeout=10", f"-artifact_prefix={tmp_path}/"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr[-2000:]
    assert "Done 3000 runs" in done.stderr


def test_a_short_seeded_stretch_of_what_strangers_send_to_s3(tmp_path):
    command = [
        sys.executable,
        "fuzz/signatures.py",
        str(tmp_path),
        "fuzz/signatures",
        "-seed=1",
        "-runs=5000",
    ]
    done = subprocess.run(
        [*command, "-max_len=2048", "-timeout=10", f"-artifact_prefix={tmp_path}/"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stderr[-2000:]
    assert "Done 5000 runs" in done.stderr
